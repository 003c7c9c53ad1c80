package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/cassiasill/cassiasill/internal/placement"
	"github.com/cassiasill/cassiasill/internal/routing"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// routingCommand measures lookups.
type routingCommand struct {
	output
	Lookups int `long:"lookups" default:"5000000" description:"lookups per run"`
	Runs    int `long:"runs" default:"5" description:"runs per case, for the spread"`
}

// Execute implements flags.Commander.
func (c *routingCommand) Execute([]string) error {
	r := report{
		Subcommand: "routing",
		CaseNames:  []string{"servers", "slices", "swaps"},
		Columns:    []string{"median ns", "lowest ns", "highest ns", "swap ms"},
	}
	for _, size := range [][2]int{{12, 1_000}, {1900, 10_000}, {1900, 100_000}} {
		for _, swaps := range []bool{false, true} {
			line, err := c.measure(size[0], size[1], swaps)
			if err != nil {
				return err
			}
			r.Rows = append(r.Rows, line)
		}
	}
	return c.finish(r)
}

// measure times lookups at random positions, with or without concurrent swaps
// every 10 ms.
func (c *routingCommand) measure(servers, n int, swaps bool) (row, error) {
	table := routeTable(servers, n)
	subject := routing.NewTable(routing.Service{Name: table.Service, Validity: time.Hour})
	if _, err := subject.Update(table, time.Now()); err != nil {
		return row{}, err
	}
	random := rand.New(rand.NewPCG(c.Seed, 2))
	positions := make([]topology.Hash, 1<<16)
	for i := range positions {
		positions[i] = topology.Hash(random.Uint64())
	}
	var done atomic.Bool
	var swapTimes []float64
	var swapError error
	var group conc.WaitGroup
	if swaps {
		group.Go(func() {
			for next := table; !done.Load() && swapError == nil; time.Sleep(10 * time.Millisecond) {
				next.Version.Sequence++
				start := time.Now()
				_, swapError = subject.Update(next, start)
				swapTimes = append(swapTimes, float64(time.Since(start))/float64(time.Millisecond))
			}
		})
	}
	var times []float64
	for range max(c.Runs, 1) {
		start := time.Now()
		for i := range c.Lookups {
			if subject.Owner(table.Service, positions[i&(1<<16-1)]).Server == "" {
				return row{}, fmt.Errorf("no owner at %d", i)
			}
		}
		times = append(times, float64(time.Since(start))/float64(c.Lookups))
	}
	done.Store(true)
	group.Wait()
	if swapError != nil {
		return row{}, swapError
	}
	slices.Sort(times)
	slices.Sort(swapTimes)
	figures := map[string]float64{"median ns": times[len(times)/2], "lowest ns": times[0], "highest ns": times[len(times)-1]}
	if len(swapTimes) > 0 {
		figures["swap ms"] = swapTimes[len(swapTimes)/2]
	}
	return row{Case: []string{fmt.Sprint(servers), fmt.Sprint(len(table.Routes)), fmt.Sprint(swaps)}, Figures: figures}, nil
}

// routeTable returns the routes of an initial assignment.
func routeTable(servers, n int) topology.RouteTable {
	fleet := make([]placement.Server, servers)
	for i := range fleet {
		fleet[i] = placement.Server{Name: topology.ServerName(fmt.Sprintf("server-%04d", i))}
	}
	a := placement.InitialAssignment("bench", fleet, max(n/servers, 1))
	table := topology.RouteTable{Service: a.Service, Version: topology.Version{Term: 1, Sequence: 1}}
	for _, s := range a.Slices {
		table.Routes = append(table.Routes, topology.Route{Range: s.Range, Server: s.Owner, Token: table.Version, Held: true})
	}
	return table
}
