package main

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"github.com/cassiasill/cassiasill/internal/placement"
	"github.com/cassiasill/cassiasill/internal/sketch"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// slopesCommand measures the planner's time and memory.
type slopesCommand struct {
	output
	Rounds int `long:"rounds" default:"5" description:"planning rounds per case"`
}

// Execute implements flags.Commander.
func (c *slopesCommand) Execute([]string) error {
	r := report{
		Subcommand: "slopes",
		CaseNames:  []string{"servers", "slices"},
		Columns:    []string{"median ms", "lowest ms", "highest ms", "allocated MB", "moves"},
	}
	for _, servers := range []int{10, 100, 1000, 1900} {
		for _, n := range []int{1_000, 10_000, 100_000} {
			if n >= servers {
				r.Rows = append(r.Rows, c.measure(servers, n))
			}
		}
	}
	return c.finish(r)
}

// measure plans several rounds of a shifting Zipf load.
func (c *slopesCommand) measure(servers, n int) row {
	fleet := make([]placement.Server, servers)
	for i := range fleet {
		fleet[i] = placement.Server{
			Name:             topology.ServerName(fmt.Sprintf("server-%04d", i)),
			AvailabilityZone: topology.AvailabilityZone(fmt.Sprintf("zone-%02d", i%20)),
		}
	}
	policy := placement.DefaultPolicy()
	policy.SlicesPerServer = max(n/servers, 1)
	policy.MaxSlicesPerServer = policy.SlicesPerServer * 2
	assignment := placement.InitialAssignment("bench", fleet, policy.SlicesPerServer)
	random := rand.New(rand.NewPCG(c.Seed, 1))
	var times []float64
	var allocated uint64
	moves := 0
	for range max(c.Rounds, 1) {
		view := shiftedLoad(random)
		in := placement.Input{
			Assignment: assignment, Servers: fleet, Load: view.Load, Samples: view.Samples(), Policy: policy,
			Budget: placement.Budget{LoadPerMinute: 0.02, Window: time.Minute, ConcurrentMoves: 64},
		}
		for _, k := range view.HeavyKeys() {
			in.HeavyKeys = append(in.HeavyKeys, placement.HeavyKey{Hash: k.Hash, Load: k.Load - k.Error})
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		start := time.Now()
		plan := placement.ComputePlan(in)
		times = append(times, float64(time.Since(start))/float64(time.Millisecond))
		runtime.ReadMemStats(&after)
		allocated = max(allocated, after.TotalAlloc-before.TotalAlloc)
		moves += len(plan.Moves)
		assignment = plan.Next
	}
	slices.SortFunc(times, cmp.Compare[float64])
	return row{
		Case: []string{fmt.Sprint(servers), fmt.Sprint(policy.SlicesPerServer * servers)},
		Figures: map[string]float64{
			"median ms": times[len(times)/2], "lowest ms": times[0], "highest ms": times[len(times)-1],
			"allocated MB": float64(allocated) / (1 << 20), "moves": float64(moves),
		},
	}
}

// shiftedLoad returns counts of a Zipf load with new hot keys.
func shiftedLoad(random *rand.Rand) *sketch.View {
	s := sketch.New(sketch.Config{Cells: 1 << 16, Keys: 4096, HalfLife: 5 * time.Second})
	for range 200_000 {
		s.Add(topology.Hash(random.Uint64()), 20)
	}
	for rank := range 4000 {
		s.Add(topology.Hash(random.Uint64()), 200_000/math.Pow(float64(rank+1), 1))
	}
	s.Decay(time.Second)
	return s.View()
}
