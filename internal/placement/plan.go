package placement

import (
	"cmp"
	"slices"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// noServer is the owner index of a slice whose owner is not in the input.
const noServer = -1

// slice is a slice of the assignment with its load.
type slice struct {
	topology.Slice
	// load is relative to the fair share.
	load  float64
	owner int // index into planner.servers, or noServer
	// moving is true while an earlier move of the slice is in flight. Such a
	// slice does not change.
	moving bool
	// recentlyMoved is true if the slice moved less than Policy.Dwell ago or is
	// moving.
	recentlyMoved bool
	// isolated is true for a single position that needs a separate slice.
	isolated      bool
	previousOwner topology.ServerName // owner before the plan's move, if any
}

// server is an available or unavailable server with its planned load.
type server struct {
	Server
	capacity float64 // effective, relative to the mean of the available servers
	load     float64 // sum of its slices' loads
	owned    []int   // indexes into planner.slices
}

// utilization returns the load relative to the capacity; 1 is the mean.
func (s *server) utilization() float64 { return s.load / s.capacity }

// planner is the state of one planning round.
type planner struct {
	in            Input
	slices        []slice
	servers       []server
	byName        map[topology.ServerName]int
	available     []int
	zones         int     // availability zones with available servers
	fair          float64 // load of a fair share in the unit of Input.Load
	total         float64 // relative to the fair share: the sum of capacities
	tooFewSamples bool    // too few samples to estimate loads
	moveCost      float64
	tolerance     float64
	plan          Plan
}

// ComputePlan plans one round. The input is not modified.
func ComputePlan(in Input) Plan {
	if in.Policy == (Policy{}) {
		in.Policy = DefaultPolicy()
	}
	if in.Budget == (Budget{}) {
		in.Budget = DefaultBudget()
	}
	p := &planner{in: in, byName: make(map[topology.ServerName]int, len(in.Servers))}
	p.loadServers()
	p.loadSlices()
	if len(p.available) > 0 {
		p.split()
		p.merge()
		p.collectOwned()
		p.plan.Imbalance = p.imbalance()
		p.moveForced()
		p.moveVoluntary()
	}
	p.chooseSuccessors()
	p.buildNext()
	return p.plan
}

// loadServers reads the servers and their effective capacities.
func (p *planner) loadServers() {
	p.servers = make([]server, len(p.in.Servers))
	capacity := 0.0
	zones := map[topology.AvailabilityZone]bool{}
	for i, s := range p.in.Servers {
		p.servers[i] = server{Server: s, capacity: effectiveCapacity(s, p.in.Policy)}
		p.byName[s.Name] = i
		if p.servers[i].capacity > 0 {
			p.available = append(p.available, i)
			capacity += p.servers[i].capacity
			zones[s.AvailabilityZone] = true
		}
	}
	p.zones = len(zones)
	for _, i := range p.available {
		p.servers[i].capacity *= float64(len(p.available)) / capacity
	}
	p.total = float64(len(p.available))
	p.moveCost = moveCost(&p.in)
	p.tolerance = tolerance(&p.in, p.moveCost, len(p.available))
}

// loadSlices reads the assignment and the loads. If there are too few samples, it
// uses the width of a slice as its load.
func (p *planner) loadSlices() {
	p.slices = make([]slice, len(p.in.Assignment.Slices), len(p.in.Assignment.Slices)+16)
	p.tooFewSamples = p.in.Load == nil || p.in.Samples > 0 && p.in.Samples < p.in.Policy.MinimumSamples
	sum := 0.0
	for i, s := range p.in.Assignment.Slices {
		p.slices[i] = slice{Slice: s, owner: noServer}
		if owner, ok := p.byName[s.Owner]; ok {
			p.slices[i].owner = owner
		}
		if !p.tooFewSamples {
			p.slices[i].load = max(p.in.Load(s.Range), 0)
			sum += p.slices[i].load
		}
	}
	p.tooFewSamples = p.tooFewSamples || sum <= 0
	if p.tooFewSamples {
		sum = 1
		for i := range p.slices {
			p.slices[i].load = width(p.slices[i].Range)
		}
	} else {
		sum = p.scaleByServer(sum)
	}
	p.fair = sum / max(p.total, 1)
	for i := range p.slices {
		p.slices[i].load /= p.fair
	}
	p.markRecentMoves()
}

// scaleByServer scales the loads of each server's slices so that they add up to
// the load measured for the server, because requests cost more on some servers
// than on others. It returns the new sum.
func (p *planner) scaleByServer(sum float64) float64 {
	counted := make([]float64, len(p.servers))
	for _, s := range p.slices {
		if s.owner != noServer {
			counted[s.owner] += s.load
		}
	}
	factor := make([]float64, len(p.servers))
	for i := range p.servers {
		factor[i] = 1
		if r, ok := p.reading(p.servers[i].Server); ok && counted[i] > 0 {
			// The bounds keep a wrong report from emptying or overloading a server.
			factor[i] = min(max(r/counted[i], 0.5), 2)
		}
	}
	scaled := 0.0
	for i := range p.slices {
		if o := p.slices[i].owner; o != noServer {
			p.slices[i].load *= factor[o]
		}
		scaled += p.slices[i].load
	}
	if scaled <= 0 {
		return sum
	}
	return scaled
}

// reading returns the recent observed load of the server or, without one, the
// recent reported load.
func (p *planner) reading(s Server) (float64, bool) {
	for _, r := range []Reading{s.Observed, s.Reported} {
		if r.Known && r.Age <= p.in.Policy.ReadingMaxAge && r.Value >= 0 {
			return r.Value, true
		}
	}
	return 0, false
}

// markRecentMoves marks slices that are being moved or were moved recently.
func (p *planner) markRecentMoves() {
	for _, m := range p.in.Recent {
		if !m.InFlight && m.Age >= p.in.Policy.Dwell {
			continue
		}
		for i := p.findSlice(m.Range.First); i < len(p.slices) && p.slices[i].Range.First <= m.Range.Last; i++ {
			p.slices[i].recentlyMoved = true
			p.slices[i].moving = p.slices[i].moving || m.InFlight
		}
	}
}

// findSlice returns the index of the slice that contains h.
func (p *planner) findSlice(h topology.Hash) int {
	i, _ := slices.BinarySearchFunc(p.slices, h, func(s slice, h topology.Hash) int {
		return cmp.Compare(s.Range.Last, h)
	})
	return i
}

// collectOwned fills the servers' lists of slices and sums of loads.
func (p *planner) collectOwned() {
	for i := range p.slices {
		if o := p.slices[i].owner; o != noServer {
			p.servers[o].owned = append(p.servers[o].owned, i)
			p.servers[o].load += p.slices[i].load
		}
	}
}

// imbalance returns the maximum utilization of the available servers; the mean
// is 1.
func (p *planner) imbalance() float64 {
	highest := 0.0
	for _, i := range p.available {
		highest = max(highest, p.servers[i].utilization())
	}
	return highest
}

// eligible reports whether the server may own the range.
func (p *planner) eligible(r topology.Range, server int) bool {
	return p.in.Eligible == nil || p.in.Eligible(r, p.servers[server].Name)
}

// moveSlice records the move of slice i to server to and applies it.
func (p *planner) moveSlice(i, to int, reason Reason) {
	s := &p.slices[i]
	if s.owner != noServer {
		from := &p.servers[s.owner]
		from.load -= s.load
		from.owned = slices.DeleteFunc(from.owned, func(j int) bool { return j == i })
	}
	p.plan.Moves = append(p.plan.Moves, Move{
		Range: s.Range, From: s.Owner, To: p.servers[to].Name, Reason: reason, Share: s.load / max(p.total, 1),
	})
	s.previousOwner, s.Owner, s.owner = s.Owner, p.servers[to].Name, to
	p.servers[to].load += s.load
	p.servers[to].owned = append(p.servers[to].owned, i)
}

// buildNext builds the next assignment from the slices.
func (p *planner) buildNext() {
	next := &topology.Assignment{Service: p.in.Assignment.Service, Version: p.in.Assignment.Version}
	next.Slices = make([]topology.Slice, len(p.slices))
	for i, s := range p.slices {
		next.Slices[i] = s.Slice
	}
	p.plan.Next = next
}

// width returns the share of the ring that r covers.
func width(r topology.Range) float64 {
	return (float64(r.Last-r.First) + 1) / (1 << 64)
}
