package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cassiasill/cassiasill/internal/placement"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// fleet returns n ready servers in three availability zones.
func fleet(n int) []placement.Server {
	out := make([]placement.Server, n)
	for i := range out {
		out[i] = placement.Server{
			Name:             topology.ServerName(fmt.Sprintf("finishes-%02d", i)),
			AvailabilityZone: topology.AvailabilityZone(fmt.Sprintf("zone-%d", i%3)),
		}
	}
	return out
}

// keys is the true load by position.
type keys map[topology.Hash]float64

func (k keys) in(r topology.Range) float64 {
	sum := 0.0
	for h, load := range k {
		if r.Contains(h) {
			sum += load
		}
	}
	return sum
}

func (k keys) heavy() []placement.HeavyKey {
	var out []placement.HeavyKey
	for h, load := range k {
		out = append(out, placement.HeavyKey{Hash: h, Load: load})
	}
	slices.SortFunc(out, func(a, b placement.HeavyKey) int { return int(b.Load - a.Load) })
	return out
}

// evenLoad is proportional to the width of a range.
func evenLoad(r topology.Range) float64 { return 1000 * float64(r.Last-r.First) / (1 << 64) }

// loadOf sums a load over the slices of each owner.
func loadOf(a *topology.Assignment, load func(topology.Range) float64) map[topology.ServerName]float64 {
	out := map[topology.ServerName]float64{}
	for _, s := range a.Slices {
		out[s.Owner] += load(s.Range)
	}
	return out
}

func stateOf(servers []placement.Server, name topology.ServerName) placement.ServerState {
	for _, s := range servers {
		if s.Name == name {
			return s.State
		}
	}
	return placement.StateLost
}

// Guards, for any fleet, load, rules and earlier moves, against missing or
// duplicate positions, moves to servers that may not own the slice, moves over
// budget, keys that stay at a server that may not own them, and changes of moving
// ranges.
func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := fleet(rapid.IntRange(1, 9).Draw(t, "servers"))
		in := placement.Input{Servers: servers, Assignment: placement.InitialAssignment("finishes", servers, 4)}
		for i := range servers {
			servers[i].State = rapid.SampledFrom([]placement.ServerState{placement.StateReady, placement.StateReady, placement.StateReturning, placement.StateDraining, placement.StateLost}).Draw(t, "state")
			servers[i].Since = time.Duration(rapid.IntRange(0, 90).Draw(t, "since")) * time.Second
		}
		load := keys{}
		for _, k := range rapid.SliceOfN(rapid.IntRange(0, 4000), 0, 30).Draw(t, "keys") {
			load[topology.HashKey(fmt.Sprint(k))] = float64(k)
		}
		in.Load, in.HeavyKeys = load.in, load.heavy()
		denied := rapid.SliceOfN(rapid.IntRange(0, len(servers)*2), 0, 6).Draw(t, "denied")
		in.Eligible = func(r topology.Range, s topology.ServerName) bool {
			i := slices.IndexFunc(servers, func(x placement.Server) bool { return x.Name == s })
			return !slices.Contains(denied, i+int(r.First>>63)*len(servers))
		}
		moving := in.Assignment.Slices[rapid.IntRange(0, len(in.Assignment.Slices)-1).Draw(t, "moving")]
		in.Recent = []placement.RecentMove{{Range: moving.Range, Share: 0.001, InFlight: true}}
		in.Budget = placement.Budget{LoadPerMinute: rapid.SampledFrom([]float64{0.001, 0.02, 0.5}).Draw(t, "budget"), Window: time.Minute, ConcurrentMoves: 5}
		plan := placement.ComputePlan(in)

		assert.NilError(t, plan.Next.Validate())
		assert.Assert(t, slices.ContainsFunc(plan.Next.Slices, func(s topology.Slice) bool {
			return s.Range == moving.Range && s.Owner == moving.Owner
		}), "a moving range was changed")
		share, voluntary := 0.001, 0
		for _, m := range plan.Moves {
			assert.Assert(t, in.Eligible(m.Range, m.To), "move of %s to ineligible %s", m.Range, m.To)
			to := stateOf(servers, m.To)
			assert.Assert(t, to == placement.StateReady || to == placement.StateReturning, "move to unavailable %s", m.To)
			before := in.Assignment.Slices[in.Assignment.FindSlice(m.Range.First)]
			assert.Equal(t, before.Owner, m.From)
			if !m.Reason.Forced() {
				share += m.Share
				voluntary++
			}
		}
		if voluntary > 0 {
			assert.Assert(t, share <= in.Budget.LoadPerMinute+1e-9, "%.4f of the load moved", share)
			assert.Assert(t, voluntary <= 4, "%d moves with one in flight", voluntary)
		}
		for _, s := range plan.Next.Slices {
			checkSlice(t, in, plan, s, s.Range == moving.Range)
		}
	})
}

// checkSlice asserts that a slice's owner and successors may own it, or that the
// slice keeps its owner if no server may own it.
func checkSlice(t *rapid.T, in placement.Input, plan placement.Plan, s topology.Slice, moving bool) {
	usable := func(name topology.ServerName) bool {
		state := stateOf(in.Servers, name)
		return (state == placement.StateReady || state == placement.StateReturning) && in.Eligible(s.Range, name)
	}
	anyUsable := slices.ContainsFunc(in.Servers, func(x placement.Server) bool { return usable(x.Name) })
	switch {
	case moving:
	case anyUsable:
		assert.Assert(t, usable(s.Owner), "%s stays at %s", s.Range, s.Owner)
	default:
		assert.Equal(t, in.Assignment.Slices[in.Assignment.FindSlice(s.Range.First)].Owner, s.Owner)
	}
	for i, name := range s.Successors {
		assert.Assert(t, usable(name) && name != s.Owner && slices.Index(s.Successors, name) == i, "successor %s of %s", name, s.Range)
	}
}

// Guards against plans that never converge: under a constant load, repeated plans
// reach a state without further changes.
func TestPlanSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := fleet(rapid.IntRange(2, 8).Draw(t, "servers"))
		load := keys{}
		for _, k := range rapid.SliceOfN(rapid.IntRange(1, 4000), 1, 40).Draw(t, "keys") {
			load[topology.HashKey(fmt.Sprint(k))] = float64(k)
		}
		in := placement.Input{
			Servers: servers, Load: load.in, HeavyKeys: load.heavy(),
			Budget:     placement.Budget{LoadPerMinute: 1, Window: time.Minute, ConcurrentMoves: 8},
			Assignment: placement.InitialAssignment("finishes", servers, 4),
		}
		for range 60 {
			plan := placement.ComputePlan(in)
			if plan.Empty() {
				return
			}
			in.Assignment = plan.Next
		}
		t.Fatal("the plan still changes after 60 rounds")
	})
}
