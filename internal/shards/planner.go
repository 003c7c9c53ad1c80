package shards

import (
	"cmp"
	"math"
	"slices"
)

// Candidate is a server that may own positions.
type Candidate struct {
	ID   string
	Born int64
	// Capacity is its slots times its speed.
	Capacity float64
}

// Load estimates the requests of each position.
type Load struct {
	// Rates holds requests per second by position.
	Rates []float64
	// Samples is the number of requests behind the rates.
	Samples float64
}

// Settings of the planner.
const (
	// moveThreshold is the load over the mean, relative to capacity, from which
	// a server gives positions away; below it the gain is smaller than the
	// wait of the requests for what moves.
	moveThreshold = 1.2
	// settleThreshold ends a round of moves; the gap to moveThreshold keeps
	// positions from moving back and forth.
	settleThreshold = 1.06
	// minPiece is the least part of the wanted load that is worth a move while
	// other ways are left; minGain is the least part of the server's load.
	minPiece, minGain = 0.4, 0.04
	// largerCapacity is how much larger a server must be to take over a
	// position that is too much for its owner.
	largerCapacity = 1.2
	// maxMoves bounds one round, so that a measurement follows soon.
	maxMoves = 8
	// maxRanges bounds the ranges per server, each of which is one renewal.
	maxRanges = 12
	// maxHeirs bounds the servers among which a lost range is split.
	maxHeirs = 4
	// baseShare is the part of the load that counts as spread evenly, so that
	// positions without traffic are spread as well.
	baseShare = 0.03
)

// Initial spreads all positions over the candidates in proportion to their
// capacity. The result has version 1.
func Initial(candidates []Candidate) *Assignment {
	a := &Assignment{Version: 1}
	if len(candidates) == 0 {
		a.Ranges = []Range{{From: 0, To: Positions - 1}}
		return a
	}
	total := 0.0
	for _, c := range candidates {
		total += c.Capacity
	}
	start, sum := 0, 0.0
	for i, c := range candidates {
		sum += c.Capacity
		end := int(math.Round(sum / total * Positions))
		if i == len(candidates)-1 {
			end = Positions
		}
		if end > start {
			a.Ranges = append(a.Ranges, Range{From: uint16(start), To: uint16(end - 1), Owner: c.ID, Born: c.Born, Token: 1})
		}
		start = end
	}
	return a
}

// plan is the load of each candidate while moves are being found.
type plan struct {
	rates   []float64
	prefix  []float64 // prefix[i] is the load of positions below i
	servers map[string]*planned
	order   []*planned
}

type planned struct {
	Candidate
	load   float64
	ranges []Range // held, in order
}

func (p *planned) utilization() float64 { return p.load / p.Capacity }

// Plan returns the moves that bring the busiest servers down. Positions whose
// owner is no candidate are not its matter: see Orphans.
func Plan(a *Assignment, candidates []Candidate, load Load) []Move {
	if len(candidates) < 2 {
		return nil
	}
	p := newPlan(a, candidates, load)
	total, capacity := 0.0, 0.0
	for _, s := range p.order {
		total += s.load
		capacity += s.Capacity
	}
	mean := total / capacity
	var moves []Move
	settled := make(map[string]bool) // servers that no move can help
	for len(moves) < maxMoves {
		hot, cold := p.extremes(settled)
		if hot == nil {
			break
		}
		threshold := settleThreshold
		if len(moves) == 0 {
			threshold = moveThreshold
		}
		// A server's rate is known to about one over the root of its samples, and
		// the busiest of many is above it by chance.
		noise := 2 / math.Sqrt(max(load.Samples*hot.load/max(total, 1e-9), 1))
		if hot.utilization() < mean*(threshold+noise) {
			break
		}
		piece, target, ok := p.relief(hot, cold)
		if !ok {
			settled[hot.ID] = true
			continue
		}
		moves = append(moves, Move{From: piece.From, To: piece.To, Target: target.ID})
		p.apply(hot, target, piece)
	}
	return moves
}

// extremes returns the busiest server that is not settled, nil if there is
// none, and the least busy one.
func (p *plan) extremes(settled map[string]bool) (hot, cold *planned) {
	for _, s := range p.order {
		if !settled[s.ID] && (hot == nil || s.utilization() > hot.utilization()) {
			hot = s
		}
		if len(s.ranges) < maxRanges && (cold == nil || s.utilization() < cold.utilization()) {
			cold = s
		}
	}
	if cold == nil || cold == hot {
		return nil, nil
	}
	return hot, cold
}

// relief returns the piece that hot should give away, and to whom. If a single
// position is more than the difference between hot and cold, it belongs alone
// on the server with the most capacity: it goes there, or, on it already,
// everything else goes away.
func (p *plan) relief(hot, cold *planned) (Range, *planned, bool) {
	wanted := (hot.load*cold.Capacity - cold.load*hot.Capacity) / (hot.Capacity + cold.Capacity)
	if piece, ok := p.cut(hot, wanted, minPiece); ok {
		return piece, cold, true
	}
	position, load := p.heaviest(hot)
	largest := slices.MaxFunc(p.order, func(x, y *planned) int { return cmp.Compare(x.Capacity, y.Capacity) })
	if load > wanted && largest.Capacity > hot.Capacity*largerCapacity && load/largest.Capacity < hot.utilization() {
		return Range{From: position, To: position}, largest, true
	}
	piece, ok := p.cut(hot, wanted, 0)
	return piece, cold, ok
}

// heaviest returns the position of the server's ranges with the highest load.
func (p *plan) heaviest(s *planned) (position uint16, load float64) {
	for _, r := range s.ranges {
		for i := int(r.From); i <= int(r.To); i++ {
			if l := p.prefix[i+1] - p.prefix[i]; l > load {
				position, load = uint16(i), l
			}
		}
	}
	return position, load
}

func newPlan(a *Assignment, candidates []Candidate, load Load) *plan {
	p := &plan{rates: load.Rates, prefix: make([]float64, Positions+1), servers: make(map[string]*planned)}
	sum := 0.0
	for _, r := range load.Rates {
		sum += r
	}
	base := max(sum*baseShare, 1e-3) / Positions
	for i := range Positions {
		p.prefix[i+1] = p.prefix[i] + base
		if i < len(load.Rates) {
			p.prefix[i+1] += load.Rates[i]
		}
	}
	for _, c := range candidates {
		s := &planned{Candidate: c}
		p.servers[c.ID] = s
		p.order = append(p.order, s)
	}
	for _, r := range a.Ranges {
		id := r.Owner
		if r.Released != 0 {
			id = r.Target
		}
		if s := p.servers[id]; s != nil {
			s.load += p.loadOf(r)
			if r.Held() {
				s.ranges = append(s.ranges, r)
			}
		}
	}
	return p
}

func (p *plan) loadOf(r Range) float64 { return p.prefix[int(r.To)+1] - p.prefix[r.From] }

// cut finds the narrowest piece of the server's ranges whose load is close to
// wanted, and at least the given part of it. Narrow pieces move few keys; hot
// keys are neighbours.
func (p *plan) cut(s *planned, wanted, least float64) (Range, bool) {
	best, bestCost := Range{}, math.Inf(1)
	for _, r := range s.ranges {
		end := int(r.From)
		for start := int(r.From); start <= int(r.To); start++ {
			end = max(end, start)
			for end <= int(r.To) && p.prefix[end+1]-p.prefix[start] <= wanted {
				end++
			}
			if end == start {
				continue // one position alone is too much
			}
			got := p.prefix[end] - p.prefix[start]
			miss := (wanted - got) / wanted
			if got < wanted*least || got < minGain*s.load {
				continue
			}
			width := float64(end-start) / Positions
			// A piece inside a range costs one more renewal than one at its edge.
			edges := 0.0
			if start > int(r.From) && end <= int(r.To) {
				edges = 0.02
			}
			if cost := miss + width + edges; cost < bestCost {
				best, bestCost = Range{From: uint16(start), To: uint16(end - 1)}, cost
			}
			if end > int(r.To) {
				break // later starts only shorten the piece
			}
		}
	}
	return best, !math.IsInf(bestCost, 1)
}

func (p *plan) apply(hot, cold *planned, piece Range) {
	load := p.loadOf(piece)
	hot.load -= load
	cold.load += load
	var left []Range
	for _, r := range hot.ranges {
		if piece.From < r.From || piece.To > r.To {
			left = append(left, r)
			continue
		}
		if piece.From > r.From {
			left = append(left, Range{From: r.From, To: piece.From - 1})
		}
		if piece.To < r.To {
			left = append(left, Range{From: piece.To + 1, To: r.To})
		}
	}
	hot.ranges = left
	// The piece is not added to cold's ranges: it must arrive before it can
	// move again.
}

// Heirs returns for each of the ranges, which have lost their owner, pieces
// with new owners, so that the load spreads over all candidates.
func Heirs(a *Assignment, lost []Range, candidates []Candidate, load Load) []Move {
	if len(candidates) == 0 {
		return nil
	}
	p := newPlan(a, candidates, load)
	var moves []Move
	for _, r := range lost {
		least := p.loadOf(r) / maxHeirs
		for start := int(r.From); start <= int(r.To); {
			cold := slices.MinFunc(p.order, func(x, y *planned) int { return cmp.Compare(x.utilization(), y.utilization()) })
			end := p.fill(start, int(r.To), cold, least)
			piece := Range{From: uint16(start), To: uint16(end)}
			cold.load += p.loadOf(piece)
			moves = append(moves, Move{From: piece.From, To: piece.To, Target: cold.ID})
			start = end + 1
		}
	}
	return moves
}

// fill returns the last position of a piece from start that brings the server
// up to the mean, but holds at least the given load.
func (p *plan) fill(start, last int, s *planned, least float64) int {
	total, capacity := 0.0, 0.0
	for _, o := range p.order {
		total += o.load
		capacity += o.Capacity
	}
	rest := p.prefix[last+1] - p.prefix[start]
	room := max((total+rest)/capacity*s.Capacity-s.load, least)
	end := start
	for end < last && p.prefix[end+2]-p.prefix[start] <= room {
		end++
	}
	return end
}
