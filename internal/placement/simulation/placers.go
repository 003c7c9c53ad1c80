package simulation

import (
	"fmt"
	"slices"
	"time"

	"github.com/cassiasill/cassiasill/internal/placement"
	"github.com/cassiasill/cassiasill/internal/placement/baseline"
	"github.com/cassiasill/cassiasill/internal/sketch"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// Placers returns the names of the placements. The first is the planner.
func Placers() []string {
	return []string{"planner", "static", "rendezvous", "bounded-keys", "bounded-load"}
}

func newPlacer(name string) (placer, error) {
	switch name {
	case "planner":
		return &plannerPlacer{}, nil
	case "static", "rendezvous", "bounded-keys":
		return &keyPlacer{kind: name}, nil
	case "bounded-load":
		return &loadPlacer{}, nil
	}
	return nil, fmt.Errorf("no placement %q", name)
}

// plannerPlacer runs the planner of package placement.
type plannerPlacer struct {
	assignment *topology.Assignment
	recent     []placement.RecentMove
	movedAt    []int
}

func (p *plannerPlacer) sliceCount() int { return len(p.assignment.Slices) }

func (p *plannerPlacer) start(w *world) error {
	p.assignment = placement.InitialAssignment("bench", w.visible(0), w.options.Policy.SlicesPerServer)
	for _, s := range p.assignment.Slices {
		lo, hi := w.keysIn(s.Range)
		for k := lo; k < hi; k++ {
			w.owners[k] = int16(serverIndex(s.Owner))
		}
	}
	return nil
}

func (p *plannerPlacer) step(w *world, view *sketch.View, second int) error {
	in := placement.Input{
		Service: "bench", Assignment: p.assignment, Servers: w.visible(second),
		Weights: w.options.Weights, Budget: w.options.Budget, Policy: w.options.Policy, MoveGap: w.options.MoveGap,
	}
	if view != nil {
		in.Load, in.Samples = view.Load, view.Samples()
		for _, k := range view.HeavyKeys() {
			in.HeavyKeys = append(in.HeavyKeys, placement.HeavyKey{Hash: k.Hash, Load: k.Load - k.Error})
		}
	}
	p.forgetMoves(second)
	for i, m := range p.recent {
		m.Age = time.Duration(second-p.movedAt[i]) * time.Second
		in.Recent = append(in.Recent, m)
	}
	plan := placement.ComputePlan(in)
	if err := plan.Next.Validate(); err != nil {
		return err
	}
	for _, m := range plan.Moves {
		lo, hi := w.keysIn(m.Range)
		w.assign(lo, hi, serverIndex(m.To))
		p.recent = append(p.recent, placement.RecentMove{Range: m.Range, Share: m.Share})
		p.movedAt = append(p.movedAt, second)
	}
	p.assignment = plan.Next
	return nil
}

// forgetMoves drops moves that are too old to affect the budget.
func (p *plannerPlacer) forgetMoves(second int) {
	const maxAgeSeconds = 3600
	old := 0
	for old < len(p.movedAt) && second-p.movedAt[old] > maxAgeSeconds {
		old++
	}
	p.recent, p.movedAt = p.recent[old:], p.movedAt[old:]
}

// serverIndex returns the index of the server. It is the inverse of serverName.
func serverIndex(server topology.ServerName) int {
	i := -1
	if _, err := fmt.Sscanf(string(server), "server-%d", &i); err != nil {
		panic(err)
	}
	return i
}

// assignableServers returns the servers to which the leader would assign keys.
func assignableServers(w *world, second int) (names []topology.ServerName, indexes []int) {
	for _, s := range w.visible(second) {
		if s.State == placement.StateReady || s.State == placement.StateReturning {
			names = append(names, s.Name)
			indexes = append(indexes, serverIndex(s.Name))
		}
	}
	return names, indexes
}

// keyPlacer places each key independently and changes only with the fleet.
type keyPlacer struct {
	kind    string
	current []topology.ServerName
}

func (p *keyPlacer) sliceCount() int { return 0 }

func (p *keyPlacer) start(w *world) error {
	p.place(w, 0, func(k, server int) { w.owners[k] = int16(server) })
	return nil
}

func (p *keyPlacer) step(w *world, _ *sketch.View, second int) error {
	p.place(w, second, func(k, server int) { w.assign(k, k+1, server) })
	return nil
}

// place assigns all keys if the servers changed.
func (p *keyPlacer) place(w *world, second int, assign func(key, server int)) {
	names, indexes := assignableServers(w, second)
	if slices.Equal(names, p.current) {
		return
	}
	p.current = names
	switch p.kind {
	case "static":
		for k, h := range w.load.hashes {
			assign(k, indexes[baseline.Static(h, len(indexes))])
		}
	case "rendezvous":
		r := baseline.NewRendezvous(names)
		for k, h := range w.load.hashes {
			assign(k, indexes[r.Place(h)])
		}
	default:
		items := make([]baseline.Item, len(w.load.hashes))
		for k, h := range w.load.hashes {
			items[k] = baseline.Item{Hash: h, Load: 1}
		}
		for k, server := range baseline.NewBoundedLoad(names, virtualServers, 1.1).Place(items) {
			assign(k, indexes[server])
		}
	}
}

const (
	// virtualServers is the number of ring points per server, a common choice
	// for consistent hashing.
	virtualServers = 100
	// partsPerServer and heavyItems give loadPlacer the same resolution as the
	// planner. loadEverySeconds is the time between two of its placements, which
	// avoids churn from every change of the samples.
	partsPerServer   = 64
	heavyItems       = 64
	loadEverySeconds = 60
)

// loadPlacer is consistent hashing with bounded loads, by the measured load of
// ring parts and heavy keys.
type loadPlacer struct {
	parts   []topology.Range
	current []topology.ServerName
}

func (p *loadPlacer) sliceCount() int { return len(p.parts) }

func (p *loadPlacer) start(w *world) error {
	names, indexes := assignableServers(w, 0)
	n := partsPerServer * len(names)
	for i := range n {
		first := topology.Hash(^uint64(0) / uint64(n) * uint64(i))
		if i > 0 {
			p.parts[i-1].Last = first - 1
		}
		p.parts = append(p.parts, topology.Range{First: first, Last: topology.FullRange.Last})
	}
	p.current = names
	p.place(w, names, indexes, nil, func(r topology.Range, server int) {
		lo, hi := w.keysIn(r)
		for k := lo; k < hi; k++ {
			w.owners[k] = int16(server)
		}
	})
	return nil
}

func (p *loadPlacer) step(w *world, view *sketch.View, second int) error {
	names, indexes := assignableServers(w, second)
	if view == nil || slices.Equal(names, p.current) && second%loadEverySeconds != 0 {
		return nil
	}
	p.current = names
	p.place(w, names, indexes, view, func(r topology.Range, server int) {
		lo, hi := w.keysIn(r)
		w.assign(lo, hi, server)
	})
	return nil
}

// place assigns heavy keys and the rest of each part.
func (p *loadPlacer) place(w *world, names []topology.ServerName, indexes []int, view *sketch.View, assign func(topology.Range, int)) {
	var items []baseline.Item
	var ranges []topology.Range
	if view != nil {
		for _, k := range view.HeavyKeys()[:min(heavyItems, len(view.HeavyKeys()))] {
			items = append(items, baseline.Item{Hash: k.Hash, Load: k.Load - k.Error})
			ranges = append(ranges, topology.Range{First: k.Hash, Last: k.Hash})
		}
	}
	heavy := len(items)
	for _, r := range p.parts {
		load := 1.0
		if view != nil {
			load = view.Load(r)
			for i := range heavy {
				if r.Contains(items[i].Hash) {
					load -= items[i].Load
				}
			}
		}
		items = append(items, baseline.Item{Hash: r.First, Load: max(load, 0)})
		ranges = append(ranges, r)
	}
	placed := baseline.NewBoundedLoad(names, virtualServers, 1.1).Place(items)
	// The assignment of a part must not move the heavy keys in it, so it is
	// applied to the ranges around them.
	for i := heavy; i < len(items); i++ {
		var inside []topology.Range
		for j := range heavy {
			if ranges[i].Contains(ranges[j].First) {
				inside = append(inside, ranges[j])
			}
		}
		for _, r := range topology.SubtractRanges([]topology.Range{ranges[i]}, inside) {
			assign(r, indexes[placed[i]])
		}
	}
	for i := range heavy {
		assign(ranges[i], indexes[placed[i]])
	}
}
