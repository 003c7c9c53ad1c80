package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/placement"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// rounds computes plans for the given number of rounds, two seconds apart, and
// returns all moves.
func rounds(t *testing.T, in *placement.Input, most int) []placement.Move {
	t.Helper()
	var all []placement.Move
	for range most {
		plan := placement.ComputePlan(*in)
		assert.NilError(t, plan.Next.Validate())
		in.Assignment = plan.Next
		for i := range in.Recent {
			in.Recent[i].Age += 2 * time.Second
		}
		for i := range in.Servers {
			in.Servers[i].Since += 2 * time.Second
		}
		for _, m := range plan.Moves {
			in.Recent = append(in.Recent, placement.RecentMove{Range: m.Range, Share: m.Share})
		}
		all = append(all, plan.Moves...)
	}
	return all
}

// Guards against moves that a change of the fleet does not require, and against
// load that concentrates on few of the remaining servers.
func TestFleetChanges(t *testing.T) {
	const n = 12
	for _, c := range []struct {
		name   string
		change func(servers []placement.Server) []placement.Server
		// reasons are those that moves may have; if empty, no move is expected
		reasons []placement.Reason
		// from holds the servers that may lose slices; nil means any
		from []int
		// least and most bound the moved share of the load; highest bounds the
		// load of a server relative to the mean
		least, most, highest float64
	}{
		{name: "nothing", change: func(s []placement.Server) []placement.Server { return s }, highest: 1.001},
		{name: "drain", change: set(placement.StateDraining, 3), reasons: []placement.Reason{placement.ReasonDraining}, from: []int{3}, least: 1. / n, most: 1. / n, highest: 1.15},
		{name: "loss", change: set(placement.StateLost, 3), reasons: []placement.Reason{placement.ReasonLost}, from: []int{3}, least: 1. / n, most: 1. / n, highest: 1.15},
		{name: "loss of an availability zone", change: set(placement.StateLost, 0, 3, 6, 9), reasons: []placement.Reason{placement.ReasonLost}, from: []int{0, 3, 6, 9}, least: 4. / n, most: 4. / n, highest: 1.15},
		{name: "loss of the server from the input", change: func(s []placement.Server) []placement.Server { return s[:n-1] }, reasons: []placement.Reason{placement.ReasonLost}, from: []int{n - 1}, least: 1. / n, most: 1. / n, highest: 1.15},
		// A joining server receives at most its fair share and about the
		// low-water utilization at least.
		{name: "join", change: func(s []placement.Server) []placement.Server {
			return append(s, placement.Server{Name: "joined", AvailabilityZone: "zone-0", State: placement.StateReturning})
		}, reasons: []placement.Reason{placement.ReasonBalance, placement.ReasonFill}, least: 0.5 / (n + 1), most: 1. / (n + 1), highest: 1.15},
	} {
		t.Run(c.name, func(t *testing.T) {
			servers := fleet(n)
			in := placement.Input{Assignment: placement.InitialAssignment("finishes", servers, 16), Load: evenLoad}
			in.Servers = c.change(slices.Clone(servers))
			moves := rounds(t, &in, 150)
			share := 0.0
			for _, m := range moves {
				share += m.Share
				assert.Assert(t, slices.Contains(c.reasons, m.Reason), "%s -> %s: %s", m.From, m.To, m.Reason)
				assert.Assert(t, c.from == nil || slices.ContainsFunc(c.from, func(i int) bool { return servers[i].Name == m.From }), "from %s: %s", m.From, m.Reason)
			}
			assert.Assert(t, share >= c.least-1e-6 && share <= c.most+1e-6, "%.4f of the load moved, expected %.4f to %.4f", share, c.least, c.most)
			available := 0
			for _, s := range in.Servers {
				if s.State == placement.StateReady || s.State == placement.StateReturning {
					available++
				}
			}
			mean := evenLoad(topology.FullRange) / float64(available)
			for server, load := range loadOf(in.Assignment, evenLoad) {
				assert.Assert(t, load <= c.highest*mean, "%s has %.3f of the mean", server, load/mean)
			}
		})
	}
}

// set returns a change of the state of some servers.
func set(state placement.ServerState, indexes ...int) func([]placement.Server) []placement.Server {
	return func(servers []placement.Server) []placement.Server {
		for _, i := range indexes {
			servers[i].State = state
		}
		return servers
	}
}

// Guards against full load on a cold server: while it warms up, its load stays
// below its ramped capacity's share plus the tolerance.
func TestReturningServerWarmsUp(t *testing.T) {
	servers := fleet(6)
	in := placement.Input{
		Servers: servers, Assignment: placement.InitialAssignment("finishes", servers[1:], 32), Load: evenLoad,
		Budget: placement.Budget{LoadPerMinute: 1, Window: time.Minute, ConcurrentMoves: 8},
	}
	servers[0].State = placement.StateReturning
	fair := evenLoad(topology.FullRange) / 6
	for in.Servers[0].Since < 30*time.Second {
		ramp := 0.2 + 0.8*in.Servers[0].Since.Seconds()/60
		rounds(t, &in, 1)
		load := loadOf(in.Assignment, evenLoad)[servers[0].Name]
		assert.Assert(t, load <= fair*(ramp+0.15), "%.2f of the fair share at a ramp of %.2f", load/fair, ramp)
	}
	rounds(t, &in, 60)
	assert.Assert(t, loadOf(in.Assignment, evenLoad)[servers[0].Name] >= 0.6*fair, "never filled")
}

// Guards against a hot key that still shares its slice after one round, against
// splits of cold slices, and against fragments that are never merged.
func TestHeavyKeyGetsOwnSliceAndLosesIt(t *testing.T) {
	servers := fleet(12)
	hot := topology.HashKey("brass cup pull")
	load := func(r topology.Range) float64 {
		if r.Contains(hot) {
			return evenLoad(r) + 60
		}
		return evenLoad(r)
	}
	in := placement.Input{
		Servers: servers, Assignment: placement.InitialAssignment("finishes", servers, 16), Load: load,
		HeavyKeys: []placement.HeavyKey{{Hash: hot, Load: 60}},
	}
	before := len(in.Assignment.Slices)
	rounds(t, &in, 1)
	assert.Equal(t, in.Assignment.Slices[in.Assignment.FindSlice(hot)].Range, topology.Range{First: hot, Last: hot})
	assert.Equal(t, len(in.Assignment.Slices), before+2)
	rounds(t, &in, 60)
	in.Load, in.HeavyKeys = evenLoad, nil
	rounds(t, &in, 60)
	assert.Assert(t, in.Assignment.Slices[in.Assignment.FindSlice(hot)].Range != topology.Range{First: hot, Last: hot}, "the cold key keeps its slice")
}

// Guards against weights without effect: the deployment with the highest weight
// on imbalance balances more closely, and the one with the highest weight on
// unavailable time moves less.
func TestWeightsMatter(t *testing.T) {
	results := map[string][2]float64{}
	for name, w := range map[string]placement.Weights{
		"aserrin": {Imbalance: 1, Churn: 1, UnavailableTime: 3},
		"adinkra": {Imbalance: 3, Churn: 1, UnavailableTime: 1},
	} {
		servers := fleet(12)
		in := placement.Input{Servers: servers, Assignment: placement.InitialAssignment("finishes", servers, 16), Weights: w}
		favored := servers[0].Name
		initial := in.Assignment
		in.Load = func(r topology.Range) float64 {
			if initial.Slices[initial.FindSlice(r.First)].Owner == favored {
				return 1.4 * evenLoad(r)
			}
			return evenLoad(r)
		}
		moved := 0.0
		for _, m := range rounds(t, &in, 100) {
			moved += m.Share
		}
		results[name] = [2]float64{loadOf(in.Assignment, in.Load)[favored], moved}
	}
	assert.Assert(t, results["adinkra"][0] < results["aserrin"][0], "load of the hottest server: %v", results)
	assert.Assert(t, results["adinkra"][1] > results["aserrin"][1], "share moved: %v", results)
}

// Guards against a server's report that overrides the load observed by hosts, and
// against the use of an old report.
func TestObservedLoadOutranksReports(t *testing.T) {
	exact := placement.Reading{Value: 1000. / 6, Known: true}
	high := placement.Reading{Value: 1000. / 3, Known: true}
	old := high
	old.Age = time.Minute
	for _, c := range []struct {
		name               string
		observed, reported placement.Reading
		moves              bool
	}{
		{"report alone", placement.Reading{}, high, true},
		{"observed and report", exact, high, false},
		{"observed high", high, exact, true},
		{"old report", placement.Reading{}, old, false},
		{"old observation, recent report", old, high, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			servers := fleet(6)
			servers[2].Observed, servers[2].Reported = c.observed, c.reported
			plan := placement.ComputePlan(placement.Input{Servers: servers, Assignment: placement.InitialAssignment("finishes", servers, 16), Load: evenLoad})
			assert.Equal(t, len(plan.Moves) > 0, c.moves)
		})
	}
}

// Guards against successors in the owner's availability zone and against
// successors that concentrate the load of a lost server or availability zone.
func TestSuccessorsSpread(t *testing.T) {
	for _, n := range []int{12, 15, 100} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			servers := fleet(n)
			zone := map[topology.ServerName]topology.AvailabilityZone{}
			for _, s := range servers {
				zone[s.Name] = s.AvailabilityZone
			}
			a := placement.InitialAssignment("finishes", servers, 64)
			byServer := map[topology.ServerName]map[topology.ServerName]int{}
			byZone := map[topology.AvailabilityZone]map[topology.ServerName]int{}
			for _, s := range a.Slices {
				assert.Equal(t, len(s.Successors), topology.MaxSuccessors)
				assert.Assert(t, zone[s.Owner] != zone[s.Successors[0]], "%s is followed by %s", s.Owner, s.Successors[0])
				if byServer[s.Owner] == nil {
					byServer[s.Owner] = map[topology.ServerName]int{}
				}
				if byZone[zone[s.Owner]] == nil {
					byZone[zone[s.Owner]] = map[topology.ServerName]int{}
				}
				byServer[s.Owner][s.Successors[0]]++
				byZone[zone[s.Owner]][s.Successors[0]]++
			}
			others := float64(n) * 2 / 3
			for owner, counts := range byServer {
				for successor, k := range counts {
					// At most twice the even share, rounded up.
					assert.Assert(t, float64(k) <= 2*64/others+1, "%s takes %d of 64 slices of %s", successor, k, owner)
				}
			}
			for z, counts := range byZone {
				for successor, k := range counts {
					// A third of all slices spread over the other zones.
					assert.Assert(t, float64(k) <= 1.25*32+1, "%s takes %d slices of %s", successor, k, z)
				}
			}
		})
	}
}
