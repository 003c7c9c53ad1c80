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
	// maxMoves bounds one round, so that a measurement follows soon.
	maxMoves = 8
	// maxRanges bounds the ranges per server, each of which is one renewal.
	maxRanges = 12
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
	for len(moves) < maxMoves {
		hot := slices.MaxFunc(p.order, func(x, y *planned) int { return cmp.Compare(x.utilization(), y.utilization()) })
		cold := slices.MinFunc(p.order, func(x, y *planned) int { return cmp.Compare(x.utilization(), y.utilization()) })
		threshold := settleThreshold
		if len(moves) == 0 {
			threshold = moveThreshold
		}
		// A server's rate is known to about one over the root of its samples.
		share := hot.load / max(total, 1e-9)
		noise := 1 / math.Sqrt(max(load.Samples*share, 1))
		if hot.utilization() < mean*(threshold+noise) || len(cold.ranges) >= maxRanges {
			break
		}
		wanted := (hot.load*cold.Capacity - cold.load*hot.Capacity) / (hot.Capacity + cold.Capacity)
		piece, ok := p.cut(hot, wanted)
		if !ok {
			break
		}
		moves = append(moves, Move{From: piece.From, To: piece.To, Target: cold.ID})
		p.apply(hot, cold, piece)
	}
	return moves
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
// wanted. Narrow pieces move few keys; hot keys are neighbours.
func (p *plan) cut(s *planned, wanted float64) (Range, bool) {
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
			if miss > 0.6 {
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
		for start := int(r.From); start <= int(r.To); {
			cold := slices.MinFunc(p.order, func(x, y *planned) int { return cmp.Compare(x.utilization(), y.utilization()) })
			end := p.fill(start, int(r.To), cold)
			piece := Range{From: uint16(start), To: uint16(end)}
			cold.load += p.loadOf(piece)
			moves = append(moves, Move{From: piece.From, To: piece.To, Target: cold.ID})
			start = end + 1
		}
	}
	return moves
}

// fill returns the last position of a piece from start that brings the server
// up to the mean, at least a quarter of what remains, so that a range is not
// cut into crumbs.
func (p *plan) fill(start, last int, s *planned) int {
	total, capacity := 0.0, 0.0
	for _, o := range p.order {
		total += o.load
		capacity += o.Capacity
	}
	rest := p.prefix[last+1] - p.prefix[start]
	room := max((total+rest)/capacity*s.Capacity-s.load, rest/4)
	end := start
	for end < last && p.prefix[end+2]-p.prefix[start] <= room {
		end++
	}
	return end
}
