package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/cassiasill/cassiasill/internal/placement"
	"github.com/cassiasill/cassiasill/internal/placement/simulation"
	"github.com/cassiasill/cassiasill/internal/sketch"
)

// deployment is the shape of one deployment's service divided by key, with the
// weights of its objective.
type deployment struct {
	name    string
	servers int
	hosts   int
	weights placement.Weights
}

func deployments() []deployment {
	return []deployment{
		{"aserrin", 15, 11, placement.Weights{Imbalance: 1, Churn: 1, UnavailableTime: 3}},
		{"adinkra", 12, 11, placement.Weights{Imbalance: 3, Churn: 1, UnavailableTime: 1}},
	}
}

// placementCommand compares placements.
type placementCommand struct {
	output
	Deployments []string      `long:"deployment" choice:"aserrin" choice:"adinkra" description:"deployment (default: all)"`
	Scenarios   []string      `long:"scenario" description:"scenario (default: all)"`
	Placers     []string      `long:"placement" description:"placement (default: all)"`
	Duration    time.Duration `long:"duration" default:"30m" description:"simulated time"`
	Warmup      time.Duration `long:"warmup" default:"5m" description:"simulated time that is left out of the figures"`
	PlanEvery   time.Duration `long:"plan-every" default:"2s" description:"time between planning rounds"`
	Keys        int           `long:"keys" default:"1000000" description:"number of keys"`
	Requests    float64       `long:"requests" default:"300" description:"requests per second and server"`
	MoveGap     time.Duration `long:"move-gap" default:"20ms" description:"time for which a moving key is not served"`
	LossGap     time.Duration `long:"loss-gap" default:"1900ms" description:"time for which a lost server's keys are not served"`
	Budget      float64       `long:"budget" description:"share of the load that may move per minute (default: the planner's)"`
	Window      time.Duration `long:"budget-window" description:"time over which the budget is averaged (default: the planner's)"`
	Parallel    int           `long:"parallel" default:"4" description:"runs at once"`
}

// Execute implements flags.Commander.
func (c *placementCommand) Execute([]string) error {
	r := report{
		Subcommand: "placement",
		CaseNames:  []string{"deployment", "scenario", "placement"},
		Columns: []string{
			"max/mean", "p99", "bound", "churn %/min", "worst min %", "%/h",
			"unavailable s/h", "key-seconds/h", "settle s", "slices", "score aserrin", "score adinkra",
		},
	}
	runs := pool.New().WithErrors().WithMaxGoroutines(max(c.Parallel, 1))
	var rows []*row
	for _, d := range deployments() {
		for _, s := range simulation.Scenarios() {
			for _, p := range simulation.Placers() {
				if selected(c.Deployments, d.name) && selected(c.Scenarios, s.Name) && selected(c.Placers, p) {
					line := &row{}
					rows = append(rows, line)
					runs.Go(func() (err error) {
						*line, err = c.run(d, s, p)
						return err
					})
				}
			}
		}
	}
	if err := runs.Wait(); err != nil {
		return err
	}
	for _, line := range rows {
		r.Rows = append(r.Rows, *line)
	}
	return c.finish(r)
}

// run simulates one case.
func (c *placementCommand) run(d deployment, s simulation.Scenario, placer string) (row, error) {
	budget := placement.DefaultBudget()
	if c.Budget > 0 {
		budget.LoadPerMinute = c.Budget
	}
	if c.Window > 0 {
		budget.Window = c.Window
	}
	f, err := simulation.Run(s, placer, simulation.Options{
		Servers: d.servers, Hosts: d.hosts, Weights: d.weights, Keys: c.Keys, RequestsPerServer: c.Requests,
		Duration: c.Duration, Warmup: c.Warmup, PlanEvery: c.PlanEvery, MoveGap: c.MoveGap, LossGap: c.LossGap,
		Budget: budget, Policy: placement.DefaultPolicy(), Sketch: sketch.DefaultConfig(),
		// Half of the 4 KB/s that a node may send, at one message per round.
		MessageBytes: 2048 * max(int(c.PlanEvery/time.Second), 1), Seed: c.Seed,
	})
	if err != nil {
		return row{}, fmt.Errorf("%s: %w", strings.Join([]string{d.name, s.Name, placer}, " "), err)
	}
	figures := map[string]float64{
		"max/mean": f.Imbalance, "p99": f.ImbalanceP99, "bound": f.Bound,
		"churn %/min": f.Churn * 100, "worst min %": f.ChurnWorstMinute * 100, "%/h": f.ChurnPerHour * 100,
		"unavailable s/h": f.UnavailableTime, "key-seconds/h": f.UnservedKeySeconds,
		"settle s": float64(f.SettleSeconds), "slices": float64(f.Slices),
	}
	for _, other := range deployments() {
		figures["score "+other.name] = f.Score(other.weights)
	}
	return row{Case: []string{d.name, s.Name, placer}, Figures: figures}, nil
}

// selected reports whether name is in list; an empty list selects all.
func selected(list []string, name string) bool {
	return len(list) == 0 || slices.Contains(list, name)
}
