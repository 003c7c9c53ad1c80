package balance

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sourcegraph/conc/iter"
)

// Command is the command with its options; zero options are not useful, the
// defaults are in the tags.
type Command struct {
	Services []string      `long:"service" description:"service whose load is modelled (repeatable; default all)"`
	Policies []string      `long:"policy" description:"policy (repeatable; default all)"`
	Hosts    []int         `long:"hosts" description:"entry hosts (repeatable; default 3 and 12)"`
	Loads    []float64     `long:"load" description:"offered work relative to capacity (repeatable; default 0.5, 0.9, 1, 1.5 and 3)"`
	Faults   []string      `long:"fault" default:"none" description:"fault of one server: none, slow, frozen, cold, lying, shedding"`
	Floods   []float64     `long:"flood" default:"0" description:"load of one flooding caller, relative to capacity"`
	Duration time.Duration `long:"duration" default:"30s" description:"measured time, virtual"`
	Warmup   time.Duration `long:"warmup" default:"10s" description:"time before the measurement, virtual"`
	Queue    int           `long:"queue" default:"8" description:"length of a server's queue"`
	Believed int           `long:"believed-hosts" description:"number of hosts that each host believes in (default: the true one)"`
	Seeds    int           `long:"seeds" default:"3" description:"runs per row, with seeds seed, seed+1, …"`
	Seed     uint64        `long:"seed" default:"1" description:"first seed"`
	Parallel int           `long:"parallel" default:"4" description:"runs at once"`
	Plot     string        `long:"plot" description:"write goodput over load per policy to this SVG file"`
}

// Execute runs the benchmark and writes CSV to standard output, one row per
// combination, with the mean of the seeds' runs and their spread.
func (a *Command) Execute([]string) error { return a.write(os.Stdout) }

func (a *Command) write(out io.Writer) error {
	if len(a.Services) == 0 {
		for _, w := range workloads {
			a.Services = append(a.Services, w.name)
		}
	}
	if len(a.Hosts) == 0 {
		a.Hosts = []int{3, 12}
	}
	if len(a.Loads) == 0 {
		a.Loads = []float64{0.5, 0.9, 1, 1.5, 3}
	}
	if len(a.Policies) == 0 {
		a.Policies = Policies
	}
	for _, fault := range a.Faults {
		if !slices.Contains(Faults, fault) {
			return fmt.Errorf("unknown fault %q", fault)
		}
	}
	rows, err := a.run()
	if err != nil {
		return err
	}
	if a.Plot != "" {
		if err := plotRows(rows, a.Plot); err != nil {
			return err
		}
	}
	return writeRows(out, rows)
}

// Row is the outcome of one combination of options.
type Row struct {
	Options Options
	Runs    []Result
}

// combinations lists the options of every row. The policy makes no difference
// to requests that are pinned, so such a service gets one row for all.
func (a *Command) combinations() []Options {
	var out []Options
	for _, service := range a.Services {
		policies := a.Policies
		if w, err := findWorkload(service); err == nil && w.pinned {
			policies = policies[:1]
		}
		for _, hosts := range a.Hosts {
			for _, fault := range a.Faults {
				for _, flood := range a.Floods {
					for _, load := range a.Loads {
						for _, policy := range policies {
							out = append(out, Options{
								Service: service, Policy: policy, Hosts: hosts, Load: load, Fault: fault, Flood: flood,
								Duration: a.Duration, Warmup: a.Warmup, Queue: a.Queue, Believed: a.Believed,
							})
						}
					}
				}
			}
		}
	}
	return out
}

func (a *Command) run() ([]Row, error) {
	combinations := a.combinations()
	rows := make([]Row, len(combinations))
	type task struct{ row, seed int }
	var tasks []task
	for i, o := range combinations {
		rows[i] = Row{Options: o, Runs: make([]Result, a.Seeds)}
		for seed := range a.Seeds {
			tasks = append(tasks, task{i, seed})
		}
	}
	errs := make([]error, len(tasks))
	iter.Iterator[task]{MaxGoroutines: a.Parallel}.ForEachIdx(tasks, func(i int, t *task) {
		o := combinations[t.row]
		o.Seed = a.Seed + uint64(t.seed)
		rows[t.row].Runs[t.seed], errs[i] = Run(o)
	})
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return rows, nil
}

// columns are the figures of a row; a spread is the difference between the
// highest and the lowest run.
var columns = []struct {
	name   string
	spread bool
	value  func(Result) float64
}{
	{"p50_ms", false, func(r Result) float64 { return r.P50.Seconds() * 1e3 }},
	{"p99_ms", true, func(r Result) float64 { return r.P99.Seconds() * 1e3 }},
	{"unanswered", false, func(r Result) float64 { return 1 - r.Answered }},
	{"goodput", true, func(r Result) float64 { return r.Goodput }},
	{"bookings", true, func(r Result) float64 { return r.Bookings }},
	{"bookings_p99_ms", false, func(r Result) float64 { return r.BookingsP99.Seconds() * 1e3 }},
	{"max_mean", false, func(r Result) float64 { return r.MaxMean }},
	{"sheds_per_request", false, func(r Result) float64 { return r.ShedsPerRequest }},
	{"sends_per_request", false, func(r Result) float64 { return r.SendsPerRequest }},
	{"late", false, func(r Result) float64 { return r.Expired }},
}

// mean returns the mean and the spread of a figure over the runs.
func (r Row) mean(value func(Result) float64) (mean, spread float64) {
	lowest, highest := value(r.Runs[0]), value(r.Runs[0])
	for _, run := range r.Runs {
		v := value(run)
		mean += v / float64(len(r.Runs))
		lowest, highest = min(lowest, v), max(highest, v)
	}
	return mean, highest - lowest
}

func writeRows(out io.Writer, rows []Row) error {
	w := csv.NewWriter(out)
	header := []string{"service", "hosts", "fault", "flood", "load", "policy"}
	for _, c := range columns {
		header = append(header, c.name)
		if c.spread {
			header = append(header, c.name+"_spread")
		}
	}
	if err := w.Write(header); err != nil {
		return err
	}
	for _, r := range rows {
		o := r.Options
		record := []string{o.Service, strconv.Itoa(o.Hosts), o.Fault, fmt.Sprint(o.Flood), fmt.Sprint(o.Load), o.Policy}
		load, err := findWorkload(o.Service)
		if err != nil {
			return err
		}
		for _, c := range columns {
			mean, spread := r.mean(c.value)
			cells := []string{strconv.FormatFloat(mean, 'f', 4, 64), strconv.FormatFloat(spread, 'f', 4, 64)}
			if strings.HasPrefix(c.name, "bookings") && !load.hasBookings() {
				cells = []string{"", ""}
			}
			if !c.spread {
				cells = cells[:1]
			}
			record = append(record, cells...)
		}
		if err := w.Write(record); err != nil {
			return err
		}
	}
	w.Flush()
	return w.Error()
}
