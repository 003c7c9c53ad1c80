package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// moveForced moves every slice whose owner may not keep it, in descending order
// of load.
func (p *planner) moveForced() {
	type forced struct {
		slice  int
		reason Reason
	}
	var list []forced
	for i := range p.slices {
		if reason, ok := p.mustMove(&p.slices[i]); ok && !p.slices[i].moving {
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
			to = p.leastUtilized(&p.slices[f.slice])
		}
		if to == noServer {
			p.plan.Warnings = append(p.plan.Warnings, Warning{
				Kind: WarningNoEligibleServer, Range: p.slices[f.slice].Range, Owner: p.slices[f.slice].Owner,
			})
			continue
		}
		p.moveSlice(f.slice, to, f.reason)
	}
}

// mustMove reports whether and why the owner of s may not keep it.
func (p *planner) mustMove(s *slice) (Reason, bool) {
	switch {
	case s.owner == noServer || p.servers[s.owner].State == StateLost:
		return ReasonLost, true
	case p.servers[s.owner].State == StateDraining:
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

// leastUtilized returns the eligible available server, other than the owner of s,
// that would have the lowest utilization with s.
func (p *planner) leastUtilized(s *slice) int {
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

// moveVoluntary moves load from the most to the least utilized servers while the
// gain exceeds the cost and the budget allows it.
func (p *planner) moveVoluntary() {
	load, moves := p.budget()
	moves -= p.rejoinFragments(moves)
	if p.tooFewSamples || len(p.available) < 2 {
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
			// Filling does not relieve an overused server, so it stops at a
			// lower use of the budget than balancing.
			if lowest.utilization() >= p.in.Policy.LowWater-3*scarcity || highest.utilization() <= 1 {
				return
			}
		}
		best, ok := p.bestMove(order[source], order[source+1:], load, p.moveCost+scarcity)
		if !ok {
			source++
			continue
		}
		p.moveSlice(best.slice, best.to, reason)
		load -= p.slices[best.slice].load
		moves--
		p.slices[best.slice].recentlyMoved = true
		// Servers before source have no move with a net gain and keep their order.
		slices.SortFunc(order[source:], byUse)
	}
}

// budget returns the load, relative to the fair share, and the number of moves
// that may still be planned. The budget is a token bucket that refills at
// LoadPerMinute and holds at most the refill of one window.
func (p *planner) budget() (float64, int) {
	b := p.in.Budget
	moves := b.ConcurrentMoves
	recent := slices.Clone(p.in.Recent)
	slices.SortStableFunc(recent, func(x, y RecentMove) int { return cmp.Compare(y.Age, x.Age) })
	used, since := 0.0, time.Duration(0)
	for _, m := range recent {
		used = max(used-b.LoadPerMinute*(since-m.Age).Minutes(), 0)
		// Forced moves may exceed the bucket. The excess does not reduce later
		// budget, because balance must be restored soon after a large loss.
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

// targetsPerMove is the number of least utilized servers that are considered first
// as targets of a move.
const targetsPerMove = 8

// bestMove returns the move from source with the highest gain after its cost. The
// cost is price per unit of load.
func (p *planner) bestMove(source int, others []int, budget, price float64) (candidate, bool) {
	best := candidate{}
	targets := others[max(len(others)-targetsPerMove, 0):]
	for _, i := range p.servers[source].owned {
		s := &p.slices[i]
		if s.moving || s.recentlyMoved || s.load > budget || s.load <= 0 {
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

// lastEligible returns the last of the servers that may own r, or noServer.
func (p *planner) lastEligible(r topology.Range, servers []int) int {
	for i := len(servers) - 1; i >= 0; i-- {
		if p.eligible(r, servers[i]) {
			return servers[i]
		}
	}
	return noServer
}

// gain returns by how much the weighted squared deviations decrease when load
// moves between two servers.
func (p *planner) gain(from, to int, load float64) float64 {
	a, b := &p.servers[from], &p.servers[to]
	return p.deviation(a, a.load) + p.deviation(b, b.load) - p.deviation(a, a.load-load) - p.deviation(b, b.load+load)
}

// deviation returns the weighted squared deviation of a server from the mean. The
// square reduces the marginal gain of a move as the server approaches the mean,
// so the weights determine where a move no longer has a net gain.
func (p *planner) deviation(s *server, load float64) float64 {
	d := load/s.capacity - 1
	if d < 0 {
		return s.capacity * d * d * p.in.Policy.DeficitWeight
	}
	return s.capacity * d * d
}

// rejoinPerRound bounds the moves per round that only reduce the number of slices.
const rejoinPerRound = 2

// rejoinFragments moves cold fragments that remain from former hot keys to the owner of
// their neighbors, so that the next round can merge them. Without these moves the
// assignment would grow with every hot key. It returns the number of moves.
func (p *planner) rejoinFragments(moves int) int {
	base := p.in.Policy.SlicesPerServer * len(p.available)
	if p.tooFewSamples || len(p.slices) <= base+base/4 {
		return 0
	}
	done := 0
	for i := 1; i < len(p.slices)-1 && done < min(moves, rejoinPerRound); i++ {
		s, left, right := &p.slices[i], &p.slices[i-1], &p.slices[i+1]
		if s.isolated || s.moving || s.recentlyMoved || s.owner == left.owner || left.owner != right.owner || left.owner == noServer {
			continue
		}
		if s.owner == noServer || p.servers[left.owner].capacity == 0 || s.previousOwner != "" || !p.eligible(s.Range, left.owner) {
			continue
		}
		if s.load < p.in.Policy.MergeShare/4 && (p.fitOneSlice(*left, *s) || p.fitOneSlice(*s, *right)) {
			p.moveSlice(i, left.owner, ReasonRejoin)
			done++
		}
	}
	return done
}
