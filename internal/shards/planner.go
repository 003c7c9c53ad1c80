package shards

import (
	"cmp"
	"math"
	"slices"
)

// Candidate is a server that may own positions.
type Candidate struct {
	ID          string
	Incarnation int64
	// Capacity is the server's slots times its relative speed.
	Capacity float64
	// MaxRate is the server's rate limit in requests per second; 0 if it has none.
	MaxRate float64
}

// Load is the estimated request rate of each position.
type Load struct {
	// Rates holds requests per second by position.
	Rates []float64
	// Samples is the number of requests that the rates were computed from.
	Samples float64
	// RecentRates and RecentSamples are the same over a shorter time; RecentRates is nil
	// if there are none.
	RecentRates   []float64
	RecentSamples float64
	// RecentWindowRatio is the shorter time relative to the longer one.
	RecentWindowRatio float64
}

// Parameters of the planner.
const (
	// moveThresholdRatio is the ratio of a server's utilization to the mean above
	// which positions move away from it. Below it the gain is smaller than the wait
	// of the requests for the positions that move.
	moveThresholdRatio = 1.2
	// stopThresholdRatio is the ratio below which a round that has begun stops. The
	// gap to moveThresholdRatio (hysteresis) keeps positions from moving back and
	// forth.
	stopThresholdRatio = 1.06
	// minPieceShare is the least share of the load to be moved that a piece must have
	// before other moves are considered. minGainShare is the least share of the
	// server's load that any piece must have.
	minPieceShare, minGainShare = 0.4, 0.04
	// minCapacityRatio is how many times the capacity of the owner a server must have
	// to take over a position whose load is too high for the owner.
	minCapacityRatio = 1.2
	// maxRateLimitUse is the share of a server's rate limit that its positions may use
	// on average. Requests arrive at random, so a server at its limit has to reject
	// many of them.
	maxRateLimitUse = 0.7
	// maxMovesPerRound bounds one round, so that the load is measured again soon.
	maxMovesPerRound = 8
	// maxRangesPerServer bounds the ranges of a server, each of which needs a renewal
	// of its own.
	maxRangesPerServer = 12
	// maxFailoverOwners bounds the number of servers among which a lost range is
	// split.
	maxFailoverOwners = 4
	// maxSmallService is the largest number of servers whose service is balanced move by
	// move, by rates that are exact enough for that.
	maxSmallService = 32
	// partWidthCost is the cost of a piece as wide as a server's part of all positions in
	// a service above maxSmallService. Such parts are narrow, and all of one would move
	// as readily as a few hot positions.
	partWidthCost = 0.5
	// uniformLoadShare is the extra load that is spread evenly over all positions, as
	// a share of the total, so that positions without traffic are balanced as well.
	uniformLoadShare = 0.03
)

// InitialAssignment divides all positions among the candidates in proportion to
// their capacity. The result has version 1.
func InitialAssignment(candidates []Candidate) *Assignment {
	a := &Assignment{Version: 1}
	if len(candidates) == 0 {
		a.Ranges = []Range{{From: 0, To: PositionCount - 1}}
		return a
	}
	total := 0.0
	for _, c := range candidates {
		total += c.Capacity
	}
	start, sum := 0, 0.0
	for i, c := range candidates {
		sum += c.Capacity
		end := int(math.Round(sum / total * PositionCount))
		if i == len(candidates)-1 {
			end = PositionCount
		}
		if end > start {
			a.Ranges = append(a.Ranges, Range{From: uint16(start), To: uint16(end - 1), Owner: c.ID, Incarnation: c.Incarnation, Token: 1})
		}
		start = end
	}
	return a
}

// planner holds the load of each candidate while moves are planned.
type planner struct {
	rates      []float64
	prefixSums []float64 // prefixSums[i] is the load of all positions below i
	servers    map[string]*candidateLoad
	candidates []*candidateLoad
	// total and capacity are those of all candidates before any move.
	total, capacity float64
	// widthCost is the cost of a piece of all positions, relative to the shortfall of its
	// load.
	widthCost float64
}

// candidateLoad is a candidate with its planned load.
type candidateLoad struct {
	Candidate
	load   float64
	ranges []Range // held, in ascending order
	// arriving is the number of ranges that are planned to move to the server.
	arriving int
}

func (p *candidateLoad) utilization() float64 { return p.load / p.Capacity }

// mayGetRange reports whether the server may get one more range.
func (p *candidateLoad) mayGetRange() bool { return len(p.ranges)+p.arriving < maxRangesPerServer }

// PlanRebalance returns moves that reduce the load of the busiest servers. It does
// not move positions whose owner is no candidate; PlanFailover does.
func PlanRebalance(a *Assignment, candidates []Candidate, load Load) []Move {
	if len(candidates) < 2 {
		return nil
	}
	p := newPlanner(a, candidates, load)
	mean := p.total / p.capacity
	deviations := noiseDeviations(len(candidates))
	var moves []Move
	settled := make(map[string]bool) // busy servers that no move can relieve
	limit := maxMovesPerRound
	if IsLarge(len(candidates)) {
		limit = min(limit, rangeBudget(a, len(candidates))/2)
	}
	for len(moves) < limit {
		busiest, idlest := p.busiestAndIdlest(settled)
		if busiest == nil {
			break
		}
		threshold := stopThresholdRatio
		if len(moves) == 0 {
			threshold = moveThresholdRatio
		}
		// The relative error of a server's rate is about one over the square root of
		// its samples, and the busiest of many servers exceeds its rate by chance.
		noise := deviations / math.Sqrt(max(load.Samples*busiest.load/max(p.total, 1e-9), 1))
		if busiest.MaxRate > 0 {
			// Requests beyond a rate limit are rejected, which costs more than a move
			// that turns out not to have been needed.
			noise = 0
		}
		if busiest.utilization() < mean*(threshold+noise) {
			break
		}
		piece, target, ok := p.findMove(busiest, idlest)
		if !ok {
			settled[busiest.ID] = true
			continue
		}
		moves = append(moves, Move{From: piece.From, To: piece.To, NewOwner: target.ID})
		p.applyMove(busiest, target, piece)
	}
	return moves
}

// totals returns the load and the capacity of all candidates.
func (p *planner) totals() (load, capacity float64) {
	for _, s := range p.candidates {
		load += s.load
		capacity += s.Capacity
	}
	return load, capacity
}

// IsLarge reports whether a service with that many servers is balanced in rounds that
// grow with it and do not wait for each other.
func IsLarge(servers int) bool { return servers > maxSmallService }

// noiseDeviations returns how many standard deviations the busiest of n servers may
// exceed the threshold by chance. The largest of n normal variates is about
// sqrt(2 ln n) deviations above their mean.
func noiseDeviations(n int) float64 {
	if !IsLarge(n) {
		return 2
	}
	return math.Sqrt(2 * math.Log(float64(n)))
}

// busiestAndIdlest returns the busiest server that is not settled and the least
// busy one that may get more ranges. Both are nil if there is no such pair.
func (p *planner) busiestAndIdlest(settled map[string]bool) (busiest, idlest *candidateLoad) {
	for _, s := range p.candidates {
		if !settled[s.ID] && (busiest == nil || s.utilization() > busiest.utilization()) {
			busiest = s
		}
		if s.mayGetRange() && (idlest == nil || s.utilization() < idlest.utilization()) {
			idlest = s
		}
	}
	if idlest == nil || idlest == busiest {
		return nil, nil
	}
	return busiest, idlest
}

// findMove returns the piece to move away from busiest, and its new owner. If a
// single position has more load than should move from busiest to idlest, that
// position belongs alone on the server with the most capacity: it moves there or,
// if it is there already, the other positions move away.
func (p *planner) findMove(busiest, idlest *candidateLoad) (Range, *candidateLoad, bool) {
	targetLoad := (busiest.load*idlest.Capacity - idlest.load*busiest.Capacity) / (busiest.Capacity + idlest.Capacity)
	if piece, ok := p.findPiece(busiest, targetLoad, minPieceShare); ok {
		return piece, idlest, true
	}
	position, load := p.heaviestPosition(busiest)
	largest := slices.MaxFunc(p.candidates, func(x, y *candidateLoad) int { return cmp.Compare(x.Capacity, y.Capacity) })
	if load > targetLoad && largest.Capacity > busiest.Capacity*minCapacityRatio && load/largest.Capacity < busiest.utilization() {
		return Range{From: position, To: position}, largest, true
	}
	piece, ok := p.findPiece(busiest, targetLoad, 0)
	return piece, idlest, ok
}

// heaviestPosition returns the position of the server's ranges with the highest load.
func (p *planner) heaviestPosition(s *candidateLoad) (position uint16, load float64) {
	for _, r := range s.ranges {
		for i := int(r.From); i <= int(r.To); i++ {
			if l := p.prefixSums[i+1] - p.prefixSums[i]; l > load {
				position, load = uint16(i), l
			}
		}
	}
	return position, load
}

func newPlanner(a *Assignment, candidates []Candidate, load Load) *planner {
	p := &planner{rates: load.Rates, prefixSums: make([]float64, PositionCount+1), servers: make(map[string]*candidateLoad)}
	sum := 0.0
	for _, r := range load.Rates {
		sum += r
	}
	base := max(sum*uniformLoadShare, 1e-3) / PositionCount
	for i := range PositionCount {
		p.prefixSums[i+1] = p.prefixSums[i] + base
		if i < len(load.Rates) {
			p.prefixSums[i+1] += load.Rates[i]
		}
	}
	for _, c := range candidates {
		s := &candidateLoad{Candidate: c}
		p.servers[c.ID] = s
		p.candidates = append(p.candidates, s)
	}
	for _, r := range a.Ranges {
		id := r.Owner
		if r.ReleaseToken != 0 {
			id = r.PlannedOwner
		}
		if s := p.servers[id]; s != nil {
			s.load += p.loadOf(r)
			if r.Held() {
				s.ranges = append(s.ranges, r)
			} else {
				s.arriving++
			}
		}
	}
	p.applyRateLimits()
	p.total, p.capacity = p.totals()
	p.widthCost = 1
	if n := len(candidates); IsLarge(n) {
		p.widthCost = partWidthCost * float64(n)
	}
	return p
}

// applyRateLimits reduces the capacity of servers with a rate limit, so that a fair
// share of the load is not more than the limit.
func (p *planner) applyRateLimits() {
	load, capacity := p.totals()
	for _, s := range p.candidates {
		if s.MaxRate > 0 && load > 0 {
			s.Capacity = min(s.Capacity, maxRateLimitUse*s.MaxRate*capacity/load)
		}
	}
}

func (p *planner) loadOf(r Range) float64 { return p.prefixSums[int(r.To)+1] - p.prefixSums[r.From] }

// findPiece returns the best piece of the server's ranges: narrow, with a load that
// is close to targetLoad but not above it, and at least minShare of it. Narrow
// pieces move few keys; hot keys are adjacent.
func (p *planner) findPiece(s *candidateLoad, targetLoad, minShare float64) (Range, bool) {
	best, bestCost := Range{}, math.Inf(1)
	for _, r := range s.ranges {
		end := int(r.From)
		for start := int(r.From); start <= int(r.To); start++ {
			end = max(end, start)
			for end <= int(r.To) && p.prefixSums[end+1]-p.prefixSums[start] <= targetLoad {
				end++
			}
			if end == start {
				continue // the position alone exceeds targetLoad
			}
			pieceLoad := p.prefixSums[end] - p.prefixSums[start]
			shortfall := (targetLoad - pieceLoad) / targetLoad
			if pieceLoad < targetLoad*minShare || pieceLoad < minGainShare*s.load {
				continue
			}
			width := float64(end-start) / PositionCount * p.widthCost
			// A piece inside a range splits it in three, one at an edge in two; each
			// range needs a renewal of its own.
			splitCost := 0.0
			if start > int(r.From) && end <= int(r.To) {
				splitCost = 0.02
			}
			if cost := shortfall + width + splitCost; cost < bestCost {
				best, bestCost = Range{From: uint16(start), To: uint16(end - 1)}, cost
			}
			if end > int(r.To) {
				break // later starts only make the piece shorter
			}
		}
	}
	return best, !math.IsInf(bestCost, 1)
}

// applyMove updates the planned load and ranges for a move.
func (p *planner) applyMove(busiest, idlest *candidateLoad, piece Range) {
	load := p.loadOf(piece)
	busiest.load -= load
	idlest.load += load
	idlest.arriving++
	var remaining []Range
	for _, r := range busiest.ranges {
		if piece.From < r.From || piece.To > r.To {
			remaining = append(remaining, r)
			continue
		}
		if piece.From > r.From {
			remaining = append(remaining, Range{From: r.From, To: piece.From - 1})
		}
		if piece.To < r.To {
			remaining = append(remaining, Range{From: piece.To + 1, To: r.To})
		}
	}
	busiest.ranges = remaining
	// The piece is not added to idlest's ranges: its transfer must complete before it
	// can move again.
}

// PlanFailover splits each of the lost ranges, whose owners have failed or left,
// into moves to new owners, so that the load spreads over all candidates.
func PlanFailover(a *Assignment, lost []Range, candidates []Candidate, load Load) []Move {
	if len(candidates) == 0 {
		return nil
	}
	p := newPlanner(a, candidates, load)
	var moves []Move
	for _, r := range lost {
		minLoad := p.loadOf(r) / maxFailoverOwners
		for start := int(r.From); start <= int(r.To); {
			idlest := slices.MinFunc(p.candidates, func(x, y *candidateLoad) int { return cmp.Compare(x.utilization(), y.utilization()) })
			end := p.pieceEnd(start, int(r.To), idlest, minLoad)
			piece := Range{From: uint16(start), To: uint16(end)}
			idlest.load += p.loadOf(piece)
			moves = append(moves, Move{From: piece.From, To: piece.To, NewOwner: idlest.ID})
			start = end + 1
		}
	}
	return moves
}

// pieceEnd returns the last position of a piece that begins at start. The piece
// brings the utilization of the server up to the mean, but may have a load of up to
// minLoad in any case.
func (p *planner) pieceEnd(start, last int, s *candidateLoad, minLoad float64) int {
	total, capacity := p.totals()
	unassigned := p.prefixSums[last+1] - p.prefixSums[start]
	room := max((total+unassigned)/capacity*s.Capacity-s.load, minLoad)
	end := start
	for end < last && p.prefixSums[end+2]-p.prefixSums[start] <= room {
		end++
	}
	return end
}
