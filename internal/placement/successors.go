package placement

import (
	"cmp"
	"slices"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// successorCandidates is the number of servers that are compared for each
// successor. In a small fleet this covers all servers. In a large fleet it spreads
// the load evenly enough and keeps planning linear in the number of slices.
const successorCandidates = 24

// takeoverLoad holds the load that each server would receive as a successor.
type takeoverLoad struct {
	// byZone is the load that a server receives when a whole availability zone
	// is lost, and byOwner when one server is lost.
	byZone  map[topology.AvailabilityZone][]float64
	byOwner map[[2]int]float64
}

// chooseSuccessors keeps valid successors and chooses new ones for the other
// slices, so that the load of a lost server or availability zone spreads evenly
// over the remaining servers.
func (p *planner) chooseSuccessors() {
	ranks := [topology.MaxSuccessors]takeoverLoad{}
	for i := range ranks {
		ranks[i] = takeoverLoad{byZone: map[topology.AvailabilityZone][]float64{}, byOwner: map[[2]int]float64{}}
	}
	var unassigned []int
	for i := range p.slices {
		if p.successorsValid(&p.slices[i]) {
			for rank, name := range p.slices[i].Successors {
				p.addTakeover(&ranks[rank], &p.slices[i], p.byName[name])
			}
		} else {
			unassigned = append(unassigned, i)
		}
	}
	// Slices with the highest load come first, because the lighter ones can then
	// even out the differences.
	slices.SortStableFunc(unassigned, func(a, b int) int { return cmp.Compare(p.slices[b].load, p.slices[a].load) })
	for _, i := range unassigned {
		s := &p.slices[i]
		before := s.Successors
		s.Successors = nil
		for rank := range ranks {
			best := p.bestSuccessor(s, i, &ranks[rank])
			if best == noServer {
				break
			}
			s.Successors = append(s.Successors, p.servers[best].Name)
			p.addTakeover(&ranks[rank], s, best)
		}
		if !slices.Equal(before, s.Successors) {
			p.plan.SuccessorChanges++
		}
	}
}

// successorsValid reports whether s has topology.MaxSuccessors successors and all
// of them may take it over.
func (p *planner) successorsValid(s *slice) bool {
	if len(s.Successors) != topology.MaxSuccessors {
		return false
	}
	for rank, name := range s.Successors {
		i, ok := p.byName[name]
		if !ok || i == s.owner || p.servers[i].capacity == 0 || !p.eligible(s.Range, i) || slices.Index(s.Successors, name) != rank {
			return false
		}
		if p.sharesZone(s, i, rank) && p.hasOtherZone(s) {
			return false
		}
	}
	return true
}

// sharesZone reports whether server i, as the first successor, is in the owner's
// availability zone. It is false for other ranks.
func (p *planner) sharesZone(s *slice, i, rank int) bool {
	return rank == 0 && s.owner != noServer && p.servers[i].AvailabilityZone == p.servers[s.owner].AvailabilityZone
}

// hasOtherZone reports whether an eligible available server lies in another
// availability zone than the owner.
func (p *planner) hasOtherZone(s *slice) bool {
	return p.zones > 1 && slices.ContainsFunc(p.available, func(i int) bool {
		return p.servers[i].AvailabilityZone != p.servers[s.owner].AvailabilityZone && p.eligible(s.Range, i)
	})
}

// bestSuccessor returns the best next successor of s, or noServer.
func (p *planner) bestSuccessor(s *slice, index int, t *takeoverLoad) int {
	n := len(p.available)
	if n == 0 {
		return noServer
	}
	best, bestPenalty := noServer, 0.0
	consider := func(i int) {
		if i == s.owner || slices.Contains(s.Successors, p.servers[i].Name) || !p.eligible(s.Range, i) {
			return
		}
		if penalty := p.successorPenalty(s, i, t); best == noServer || penalty < bestPenalty {
			best, bestPenalty = i, penalty
		}
	}
	// The multiplication by the golden ratio varies the first candidate from
	// slice to slice.
	start := int(uint64(index) * 0x9e3779b97f4a7c15 >> 33 % uint64(n))
	for k := range min(n, successorCandidates) {
		consider(p.available[(start+k*max(n/successorCandidates, 1))%n])
	}
	if best == noServer || bestPenalty >= zonePenalty && p.zones > 1 {
		for _, i := range p.available {
			consider(i)
		}
	}
	return best
}

// zonePenalty is higher than the penalty of any load.
const zonePenalty = 1e9

// successorPenalty returns the penalty of server i as the next successor of s; the
// lowest is best.
func (p *planner) successorPenalty(s *slice, i int, t *takeoverLoad) float64 {
	c := &p.servers[i]
	penalty := 0.0
	if s.owner != noServer {
		zone := p.servers[s.owner].AvailabilityZone
		if c.AvailabilityZone == zone {
			penalty += zonePenalty
		}
		if loads := t.byZone[zone]; loads != nil {
			penalty += loads[i] / c.capacity
		}
		penalty += float64(len(p.available)) * t.byOwner[[2]int{s.owner, i}] / c.capacity
	}
	for _, name := range s.Successors {
		if p.servers[p.byName[name]].AvailabilityZone == c.AvailabilityZone {
			// The second successor is for the loss of the first one's zone.
			penalty += zonePenalty / 2
		}
	}
	return penalty
}

// addTakeover adds the load of s to the load that server i would receive.
func (p *planner) addTakeover(t *takeoverLoad, s *slice, i int) {
	if s.owner == noServer {
		return
	}
	zone := p.servers[s.owner].AvailabilityZone
	if t.byZone[zone] == nil {
		t.byZone[zone] = make([]float64, len(p.servers))
	}
	// A small constant makes idle slices spread as well.
	load := s.load + 1e-6
	t.byZone[zone][i] += load
	t.byOwner[[2]int{s.owner, i}] += load
}
