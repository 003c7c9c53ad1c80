package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// moveForced moves every slice whose owner may not keep it, the heaviest first.
func (p *planner) moveForced() {
	type forced struct {
		slice  int
		reason Reason
	}
	var list []forced
	for i := range p.slices {
		if reason, ok := p.mustMove(&p.slices[i]); ok && !p.slices[i].fixed {
			list = append(list, forced{i, reason})
		}
	}
	slices.SortStableFunc(list, func(a, b forced) int { return cmp.Compare(p.slices[b.slice].load, p.slices[a.slice].load) })
	for _, f := range list {
		to := noServer
		if f.reason == ReasonLost {
			// The leader has already granted the slice to this successor.
			to = p.liveSuccessor(&p.slices[f.slice])
		}
		if to == noServer {
			to = p.leastUsed(&p.slices[f.slice])
		}
		if to == noServer {
			p.plan.Warnings = append(p.plan.Warnings, Warning{
				Kind: WarningNoEligibleServer, Range: p.slices[f.slice].Range, Owner: p.slices[f.slice].Owner,
			})
			continue
		}
		p.move(f.slice, to, f.reason)
	}
}

// mustMove reports whether and why the owner of s may not keep it.
func (p *planner) mustMove(s *slice) (Reason, bool) {
	switch {
	case s.owner == noServer || p.servers[s.owner].State == Gone:
		return ReasonLost, true
	case p.servers[s.owner].State == Draining:
		return ReasonDraining, true
	case !p.eligible(s.Range, s.owner):
		return ReasonIneligible, true
	}
	return "", false
}

// liveSuccessor returns the first available and eligible successor of s.
func (p *planner) liveSuccessor(s *slice) int {
	for _, name := range s.Successors {
		if i, ok := p.byName[name]; ok && p.servers[i].capacity > 0 && p.eligible(s.Range, i) {
			return i
		}
	}
	return noServer
}

// leastUsed returns the eligible available server with the lowest utilization
// after it received s, other than its owner.
func (p *planner) leastUsed(s *slice) int {
	best, bestUse := noServer, 0.0
	for _, i := range p.available {
		if i == s.owner {
			continue
		}
		use := (p.servers[i].load + s.load) / p.servers[i].capacity
		if (best == noServer || use < bestUse) && p.eligible(s.Range, i) {
			best, bestUse = i, use
		}
	}
	return best
}

// candidate is a possible voluntary move.
type candidate struct {
	slice, to int
	net       float64
}

// moveVoluntary moves load from the most to the least used servers while the
// gain exceeds the price and the budget lasts.
func (p *planner) moveVoluntary() {
	load, moves := p.budget()
	moves -= p.rejoin(moves)
	if p.blind || len(p.available) < 2 {
		return
	}
	full := p.in.Budget.capacity() * p.total
	order := slices.Clone(p.available)
	byUse := func(a, b int) int {
		return cmp.Or(cmp.Compare(p.servers[b].utilization(), p.servers[a].utilization()), cmp.Compare(a, b))
	}
	slices.SortFunc(order, byUse)
	for source := 0; source < len(order) && moves > 0 && load > 0; {
		highest, lowest := &p.servers[order[source]], &p.servers[order[len(order)-1]]
		used := 1 - load/full
		scarcity := p.in.Policy.Scarcity * used
		reason := ReasonBalance
		if highest.utilization() <= 1+p.tolerance+scarcity {
			reason = ReasonFill
			// Filling relieves no overused server, therefore it yields to
			// scarcity sooner than balancing does.
			if lowest.utilization() >= p.in.Policy.LowWater-3*scarcity || highest.utilization() <= 1 {
				return
			}
		}
		best, ok := p.bestMove(order[source], order[source+1:], load, p.cost+scarcity)
		if !ok {
			source++
			continue
		}
		p.move(best.slice, best.to, reason)
		load -= p.slices[best.slice].load
		moves--
		p.slices[best.slice].dwelling = true
		// Servers before source have no worthwhile move and stay in place.
		slices.SortFunc(order[source:], byUse)
	}
}

// budget returns the load, relative to the fair share, and the number of moves
// that may still be planned. The budget is a bucket that refills at the rate and
// holds what the rate gives in one window.
func (p *planner) budget() (float64, int) {
	b := p.in.Budget
	moves := b.ConcurrentMoves
	recent := slices.Clone(p.in.Recent)
	slices.SortStableFunc(recent, func(x, y RecentMove) int { return cmp.Compare(y.Age, x.Age) })
	used, since := 0.0, time.Duration(0)
	for _, m := range recent {
		used = max(used-b.LoadPerMinute*(since-m.Age).Minutes(), 0)
		// Forced moves may exceed the bucket; the excess is not a debt, because
		// balance must be restored soon after a large loss.
		used = min(used+m.Share, b.capacity())
		since = m.Age
		if m.InFlight {
			moves--
		}
	}
	used = max(used-b.LoadPerMinute*since.Minutes(), 0)
	for _, m := range p.plan.Moves {
		used += m.Share
		moves--
	}
	return (b.capacity() - used) * p.total, moves
}

// targetsPerMove is the number of least used servers considered as targets.
const targetsPerMove = 8

// bestMove returns the move from source with the highest gain net of its price
// per load.
func (p *planner) bestMove(source int, others []int, budget, price float64) (candidate, bool) {
	best := candidate{}
	targets := others[max(len(others)-targetsPerMove, 0):]
	for _, i := range p.servers[source].owned {
		s := &p.slices[i]
		if s.fixed || s.dwelling || s.load > budget || s.load <= 0 {
			continue
		}
		to := p.lastEligible(s.Range, targets)
		if to == noServer {
			to = p.lastEligible(s.Range, others)
		}
		if to == noServer {
			continue
		}
		if net := p.gain(source, to, s.load) - price*s.load; net > best.net+1e-12 {
			best = candidate{slice: i, to: to, net: net}
		}
	}
	return best, best.net > 0
}

// lastEligible returns the last of the servers that may own r.
func (p *planner) lastEligible(r topology.Range, servers []int) int {
	for i := len(servers) - 1; i >= 0; i-- {
		if p.eligible(r, servers[i]) {
			return servers[i]
		}
	}
	return noServer
}

// gain returns the reduction of the squared deviations when load moves.
func (p *planner) gain(from, to int, load float64) float64 {
	a, b := &p.servers[from], &p.servers[to]
	return p.deviation(a, a.load) + p.deviation(b, b.load) - p.deviation(a, a.load-load) - p.deviation(b, b.load+load)
}

// deviation prices the deviation of a server from the mean. The square makes
// the marginal gain of a move fall as the server approaches the mean, so that
// the weights set where moves stop to pay.
func (p *planner) deviation(s *server, load float64) float64 {
	d := load/s.capacity - 1
	if d < 0 {
		return s.capacity * d * d * p.in.Policy.DeficitWeight
	}
	return s.capacity * d * d
}

// rejoinPerRound bounds the moves that only tidy the assignment.
const rejoinPerRound = 2

// rejoin moves cold fragments, left behind by former hot keys, back to the owner
// of their neighbors, so that the next round merges them. Without it the
// assignment would grow with every hot key. It returns the number of moves.
func (p *planner) rejoin(moves int) int {
	base := p.in.Policy.SlicesPerServer * len(p.available)
	if p.blind || len(p.slices) <= base+base/4 {
		return 0
	}
	done := 0
	for i := 1; i < len(p.slices)-1 && done < min(moves, rejoinPerRound); i++ {
		s, left, right := &p.slices[i], &p.slices[i-1], &p.slices[i+1]
		if s.own || s.fixed || s.dwelling || s.owner == left.owner || left.owner != right.owner || left.owner == noServer {
			continue
		}
		if s.owner == noServer || p.servers[left.owner].capacity == 0 || s.from != "" || !p.eligible(s.Range, left.owner) {
			continue
		}
		if s.load < p.in.Policy.MergeShare/4 && (p.cold(*left, *s) || p.cold(*s, *right)) {
			p.move(i, left.owner, ReasonRejoin)
			done++
		}
	}
	return done
}
