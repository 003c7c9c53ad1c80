package balance

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cassiasill/cassiasill/internal/admission"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// Options describes one run.
type Options struct {
	Service  string
	Policy   string
	Hosts    int
	Load     float64 // offered work relative to the capacity
	Duration time.Duration
	Warmup   time.Duration
	Seed     uint64
	// Fault is one of Faults. It starts with the measurement and concerns the
	// first server, except for the outage: all servers freeze for 3 s, callers
	// resend what fails, and the measurement begins 3 s after the end.
	Fault string
	// Flood adds one caller that alone offers this multiple of the capacity.
	Flood float64
	// Queue is the length of a server's queue, 8 if zero.
	Queue int
	// Believed is the number of live hosts that every host believes in, Hosts
	// if zero.
	Believed int
}

// Faults lists the values of Options.Fault.
var Faults = []string{"none", "slow", "frozen", "cold", "lying", "shedding", "outage"}

// Result holds the figures of one run. The flooding caller counts for goodput
// and sheds only.
type Result struct {
	P50, P99         time.Duration // of answered requests
	Answered         float64       // share of requests answered before their deadline
	Goodput          float64       // useful slot time relative to all slot time
	Bookings         float64       // share of bookings answered before their deadline
	BookingsP99      time.Duration
	MaxMean          float64 // work done per server, maximum over mean
	ShedsPerRequest  float64 // sheds by servers per request offered
	SendsPerRequest  float64
	Refused, Expired float64 // shares of the requests refused, and sent but late
	Requests         int
}

type simulation struct {
	options  Options
	workload workload
	clock    clock
	random   *rand.Rand
	hosts    []*simHost
	servers  []*modelServer
	byName   map[topology.ServerName]*modelServer

	latency, bookingLatency *hdrhistogram.Histogram
	useful                  time.Duration
	count                   counts
}

type counts struct {
	offered, answered, bookings, bookingsAnswered, refused, late, sends, all int
}

// simHost is one entry host: a scheduler and its retry budget.
type simHost struct {
	zone      topology.AvailabilityZone
	scheduler *admission.Scheduler
	armed     time.Duration
	budget    float64
}

// The model's constants: latencies between availability zones as in the
// deployments, and a health endpoint that is read every 200 ms.
const (
	localLatency   = 250 * time.Microsecond
	remoteLatency  = 1500 * time.Microsecond
	reportInterval = 200 * time.Millisecond
	reportLag      = 150 * time.Millisecond
	callers        = 40
	retryShare     = 0.1
	zones          = 3
	tail           = 6 * time.Second // longer than any deadline
	outageTime     = 3 * time.Second
	recoveryTime   = 3 * time.Second // the design's bound on unserved time
	maxResends     = 2
	resendAfter    = 200 * time.Millisecond
)

// Run performs one run. The same options give the same result.
func Run(o Options) (Result, error) {
	s, err := newSimulation(o)
	if err != nil {
		return Result{}, err
	}
	s.offer(o.Load, "")
	if o.Flood > 0 {
		s.offer(o.Flood, "flood")
	}
	s.report()
	if o.Fault == "outage" {
		s.scheduleOutage()
	} else {
		s.clock.at(o.Warmup, s.startFault)
	}
	s.clock.runUntil(o.Warmup)
	for _, m := range s.servers {
		m.busy, m.sheds = 0, 0
	}
	s.clock.runUntil(o.Warmup + o.Duration)
	result := s.perServer()
	// The load goes on until the last measured request has its answer.
	s.clock.runUntil(o.Warmup + o.Duration + tail)
	s.perRequest(&result)
	return result, nil
}

func newSimulation(o Options) (*simulation, error) {
	w, err := findWorkload(o.Service)
	if err != nil {
		return nil, err
	}
	if o.Hosts <= 0 || o.Load <= 0 || o.Duration <= 0 {
		return nil, fmt.Errorf("hosts, load and duration must be positive")
	}
	if o.Queue == 0 {
		o.Queue = 8
	}
	if o.Believed == 0 {
		o.Believed = o.Hosts
	}
	s := &simulation{
		options: o, workload: w, random: rand.New(rand.NewPCG(o.Seed, 1)),
		byName:         map[topology.ServerName]*modelServer{},
		latency:        hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
		bookingLatency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3),
	}
	config := admission.ServiceConfig{Name: topology.ServiceName(w.name)}
	for i := range w.servers {
		m := &modelServer{
			clock: &s.clock, name: topology.ServerName(fmt.Sprintf("%s-%d", w.name, i)), zone: zoneOf(i),
			slots: 2, limit: o.Queue, factor: 1,
		}
		s.servers = append(s.servers, m)
		s.byName[m.name] = m
		config.Servers = append(config.Servers, admission.ServerConfig{Name: m.name, AvailabilityZone: m.zone})
	}
	for i := range o.Hosts {
		config.AvailabilityZone = zoneOf(i)
		if config.Policy, err = newPolicy(o.Policy); err != nil {
			return nil, err
		}
		h := &simHost{zone: zoneOf(i), armed: -1}
		h.scheduler = admission.NewScheduler(config, rand.New(rand.NewPCG(o.Seed, uint64(i)+2)))
		h.scheduler.SetHosts(0, i%o.Believed, o.Believed)
		s.hosts = append(s.hosts, h)
	}
	return s, nil
}

func zoneOf(i int) topology.AvailabilityZone {
	return topology.AvailabilityZone(fmt.Sprintf("zone-%d", i%zones))
}

// offer schedules the arrivals of one source at load times the capacity.
func (s *simulation) offer(load float64, caller topology.Caller) {
	capacity := 0
	for _, m := range s.servers {
		capacity += m.slots
	}
	work := s.workload.meanWork()
	if caller != "" {
		work = s.workload.kinds[0].mean
	}
	mean := float64(work) / float64(capacity) / load
	end := s.options.Warmup + s.options.Duration + tail
	var next func()
	next = func() {
		s.request(caller)
		if at := s.clock.now + time.Duration(s.random.ExpFloat64()*mean); at < end {
			s.clock.at(at, next)
		}
	}
	s.clock.at(0, next)
}

// simRequest is one caller's request in progress.
type simRequest struct {
	kind     kind
	caller   topology.Caller
	work     time.Duration
	start    time.Duration
	pinned   topology.ServerName
	tried    []topology.ServerName
	resends  int
	measured bool
}

func (s *simulation) request(caller topology.Caller) {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	k := s.workload.pick(s.random)
	flood := caller != ""
	if !flood {
		caller = topology.Caller(fmt.Sprintf("caller-%d", s.random.IntN(callers)))
	}
	if flood {
		k = s.workload.kinds[0] // the flood uses the most important class
	}
	r := &simRequest{kind: k, caller: caller, work: k.work(s.random), start: s.clock.now}
	r.measured = s.inWindow()
	if s.workload.pinned {
		r.pinned = s.servers[s.workload.pinnedServer(s.random)].name
	}
	if r.measured {
		s.count.all++
		if !flood {
			s.count.offered++
			if k.class == admission.ClassBooking {
				s.count.bookings++
			}
		}
	}
	h.budget = min(h.budget+retryShare, 10)
	s.admit(h, r)
}

func (s *simulation) admit(h *simHost, r *simRequest) {
	h.scheduler.Arrive(s.clock.now, admission.Arrival{
		Caller: r.caller, Class: r.kind.class, Deadline: r.start + r.kind.deadline, Server: r.pinned, Exclude: r.tried,
	}, func(g admission.Decision) {
		if g.RefusalKind != "" {
			s.fail(r, &s.count.refused)
			return
		}
		s.send(h, r, g)
	})
	s.arm(h)
}

func (s *simulation) fail(r *simRequest, counter *int) {
	if r.measured && r.caller != "flood" {
		*counter++
	}
	if s.options.Fault == "outage" && r.resends < maxResends {
		again := *r
		again.resends++
		again.tried = nil
		s.clock.after(resendAfter, func() {
			again.start, again.measured = s.clock.now, false
			s.admit(s.hosts[s.random.IntN(len(s.hosts))], &again)
		})
	}
}

// inWindow tells whether now belongs to the measurement.
func (s *simulation) inWindow() bool {
	return s.clock.now >= s.options.Warmup && s.clock.now < s.options.Warmup+s.options.Duration
}

// arm schedules the host's next timer.
func (s *simulation) arm(h *simHost) {
	next := h.scheduler.NextEvent()
	if next > s.clock.now+time.Hour || (h.armed >= s.clock.now && h.armed <= next) {
		return
	}
	h.armed = max(next, s.clock.now)
	at := h.armed
	s.clock.at(at, func() {
		if h.armed != at {
			return
		}
		h.armed = -1
		h.scheduler.Expire(s.clock.now)
		s.arm(h)
	})
}

func (s *simulation) send(h *simHost, r *simRequest, g admission.Decision) {
	m := s.byName[g.Server]
	travel := localLatency
	if m.zone != h.zone {
		travel = remoteLatency
	}
	sent := s.clock.now
	if r.measured {
		s.count.sends++
	}
	ended := false
	j := &job{work: r.work}
	j.end = func(shed bool) {
		s.clock.after(travel, func() {
			if ended {
				return
			}
			ended = true
			outcome := admission.OutcomeOK
			if shed {
				outcome = admission.OutcomeShed
			}
			h.scheduler.Done(s.clock.now, g, outcome, s.clock.now-sent)
			s.arm(h)
			if shed {
				s.retry(h, r, g.Server)
				return
			}
			s.answer(r)
		})
	}
	s.clock.after(travel, func() { m.arrive(j) })
	s.clock.at(r.start+r.kind.deadline, func() {
		if ended {
			return
		}
		ended = true
		s.fail(r, &s.count.late)
		s.clock.after(travel, func() { m.cancel(j) })
		h.scheduler.Done(s.clock.now, g, admission.OutcomeTimeout, s.clock.now-sent)
		s.arm(h)
	})
}

// retry sends a shed request elsewhere within the retry budget, as the request
// path does.
func (s *simulation) retry(h *simHost, r *simRequest, tried topology.ServerName) {
	if h.budget < 1 || h.scheduler.Overloaded(s.clock.now, r.kind.class) {
		s.fail(r, &s.count.refused)
		return
	}
	h.budget--
	if r.pinned == "" {
		r.tried = append(r.tried, tried)
	}
	s.clock.after(time.Duration(s.random.ExpFloat64()*float64(5*time.Millisecond)), func() { s.admit(h, r) })
}

func (s *simulation) answer(r *simRequest) {
	if s.inWindow() {
		s.useful += r.work
	}
	if !r.measured || r.caller == "flood" {
		return
	}
	s.count.answered++
	micros := int64((s.clock.now - r.start) / time.Microsecond)
	_ = s.latency.RecordValue(micros) // within range: a deadline bounds it
	if r.kind.class == admission.ClassBooking {
		s.count.bookingsAnswered++
		_ = s.bookingLatency.RecordValue(micros)
	}
}
