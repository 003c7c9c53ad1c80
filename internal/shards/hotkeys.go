package shards

import (
	"cmp"
	"math"
	"slices"
)

// Parameters of the spreading of hot keys.
const (
	// hotRatio is the ratio of a server's utilization to the mean above which its keys
	// are hot: they are spread over several servers in one round.
	hotRatio = 2
	// aloneRatio is the ratio above which a single position gets its server for itself.
	aloneRatio = 3
	// hotFillRatio is the ratio up to which servers are given hot keys. It leaves room
	// for the error of rates that were measured for a part of a second.
	hotFillRatio = 1.8
	// serversPerHotMove bounds a round by the size of the service: one move for so many
	// servers.
	serversPerHotMove = 4
	// minHotPieceShare is the least share of a server's fair load that a piece must
	// have. Smaller ones stay, as each range needs a renewal of its own.
	minHotPieceShare = 0.3
	// hotSampleMargin and hotDeviations are by how many samples, and by how many standard
	// deviations, a server must exceed its part at hotRatio. Rates of some 3 requests/s
	// are measured from few samples, and the busiest of many servers exceeds its rate
	// by chance.
	hotSampleMargin, hotDeviations = 1, 2
	// minSurge is the ratio of recent rates to those of the longer time above which a
	// load counts as one that has just begun, and maxSurge bounds what its rates are
	// multiplied by.
	minSurge, maxSurge = 1.4, 6
	// minOwnSamples is how many samples a position needs to be told from its neighbors,
	// and smoothingRadius how many neighbors there are on each side.
	minOwnSamples, smoothingRadius = 6, 7
)

// PlanHotKeys returns the moves that spread the load of servers far above the mean
// utilization. A run of hot positions is cut into pieces for as many servers as its
// load needs; a position that no server has room for goes to a server with the most
// capacity, and the other positions of that server leave. There are none in services
// that are small enough for PlanRebalance.
func PlanHotKeys(a *Assignment, candidates []Candidate, load func() Load) []Move {
	if !IsLarge(len(candidates)) {
		return nil
	}
	// A move out of the middle of a range adds two.
	limit := min(max(maxMovesPerRound, len(candidates)/serversPerHotMove), rangeBudget(a, len(candidates))/2)
	rates, hot := hotRates(a, candidates, load())
	if len(hot) == 0 {
		return nil
	}
	h := hotSpread{planner: newPlanner(a, candidates, Load{Rates: rates}), limit: limit}
	h.mean = h.total / h.capacity
	slices.SortStableFunc(h.candidates, func(x, y *candidateLoad) int { return cmp.Compare(y.utilization(), x.utilization()) })
	for _, s := range h.candidates {
		if hot[s.ID] {
			h.relieve(s)
		}
	}
	return h.moves
}

// hotRates returns the rates by which hot keys are spread, and the servers that have
// them. The rates of a server whose load has just risen follow the recent ones.
func hotRates(a *Assignment, candidates []Candidate, load Load) (rates []float64, hot map[string]bool) {
	steady, recent := sumLoads(a, candidates, load.Rates), sumLoads(a, candidates, load.RecentRates)
	if load.RecentRates == nil {
		recent = steady
	}
	hot, surges := make(map[string]bool), make(map[string]float64)
	for _, c := range candidates {
		surging := recent.isHot(c, load.RecentSamples)
		if c.MaxRate > 0 || !surging && !(steady.isHot(c, load.Samples) && recent.isHot(c, math.Inf(1))) {
			continue
		}
		hot[c.ID] = true
		if surging {
			surges[c.ID] = load.surge(recent.byServer[c.ID] / steady.byServer[c.ID])
		}
	}
	if len(hot) == 0 {
		return nil, nil
	}
	sampleRate := steady.total / max(load.Samples, 1) // that one sample stands for
	rates = slices.Clone(load.Rates)
	for _, r := range a.Ranges {
		if r.Held() && hot[r.Owner] {
			surge := max(surges[r.Owner], 1)
			smooth(rates[r.From:int(r.To)+1], load.Rates[r.From:int(r.To)+1], surge, sampleRate)
		}
	}
	return rates, hot
}

// smooth sets out to the rates of a range, multiplied by surge. Positions with few
// samples get the mean of their neighbors: hot positions are adjacent, and a single
// sample must not look like a position with a high rate.
func smooth(out, rates []float64, surge, sampleRate float64) {
	known := minOwnSamples * sampleRate
	for i, rate := range rates {
		if rate < known {
			sum, n := 0.0, 0.0
			for _, neighbor := range rates[max(i-smoothingRadius, 0):min(i+smoothingRadius+1, len(rates))] {
				if neighbor < known {
					sum, n = sum+neighbor, n+1
				}
			}
			rate = sum / n
		}
		out[i] = rate * surge
	}
}

// surge returns what rates are to be multiplied by whose recent estimate is ratio times
// as high. Of a load that began t ago, an estimate in a window w has seen
// 1-exp(-t/w). The ratio of two windows shows t, and so the part still missing, which
// is nearly linear in the ratio.
func (l Load) surge(ratio float64) float64 {
	if ratio < minSurge {
		return max(ratio, 1)
	}
	return min(1/max(1-ratio*l.RecentWindowRatio, 1.0/maxSurge), maxSurge)
}

// loadSums holds the load of each candidate, and the load and capacity of all.
type loadSums struct {
	byServer        map[string]float64
	total, capacity float64
}

// sumLoads adds the rates of the ranges that are, or are planned to be, of a candidate.
func sumLoads(a *Assignment, candidates []Candidate, rates []float64) loadSums {
	sums := loadSums{byServer: make(map[string]float64, len(candidates))}
	for _, c := range candidates {
		sums.byServer[c.ID] = 0
		sums.capacity += c.Capacity
	}
	for _, r := range a.Ranges {
		id := r.Owner
		if r.ReleaseToken != 0 {
			id = r.PlannedOwner
		}
		load, listed := sums.byServer[id]
		if !listed || int(r.To) >= len(rates) {
			continue
		}
		for _, rate := range rates[r.From : int(r.To)+1] {
			load += rate
			sums.total += rate
		}
		sums.byServer[id] = load
	}
	return sums
}

// isHot reports whether the server's load is above hotRatio times its part, by more
// than chance if it was measured from the given samples of all servers.
func (s *loadSums) isHot(c Candidate, samples float64) bool {
	share := s.byServer[c.ID] / max(s.total, 1e-9)
	bound := hotRatio * c.Capacity / s.capacity // as a share of the total load
	if math.IsInf(samples, 1) {
		return share > bound
	}
	expected := bound * samples
	return share*samples > expected+hotDeviations*math.Sqrt(expected)+hotSampleMargin
}

// hotSpread holds the moves of one round.
type hotSpread struct {
	*planner
	mean  float64 // load per capacity
	limit int
	moves []Move
}

// room returns the load that a server may get in addition.
func (h *hotSpread) room(s *candidateLoad) float64 { return hotFillRatio*h.mean*s.Capacity - s.load }

// roomiest returns the server other than s with the most room that may get more
// ranges, nil if there is none.
func (h *hotSpread) roomiest(s *candidateLoad) *candidateLoad {
	var best *candidateLoad
	for _, c := range h.candidates {
		if c != s && c.mayGetRange() && (best == nil || h.room(c) > h.room(best)) {
			best = c
		}
	}
	return best
}

// relieve plans the moves away from one server.
func (h *hotSpread) relieve(s *candidateLoad) {
	if h.isolateHeavy(s) {
		return
	}
	for h.room(s) < 0 && len(h.moves) < h.limit {
		window, ok := h.hotWindow(s, -h.room(s))
		if !ok || !h.cut(s, window) {
			return
		}
	}
}

// isolateHeavy moves the positions that no server has room for to servers with the
// most capacity; such a server keeps the heaviest. If a position is hot by itself, the
// other positions of its server leave. It reports whether s was emptied in this way.
func (h *hotSpread) isolateHeavy(s *candidateLoad) bool {
	kept := false
	for h.room(s) < 0 && len(h.moves) < h.limit {
		position, load := h.heaviestPosition(s)
		roomiest, fastest := h.roomiest(s), h.fastest(s)
		if roomiest == nil || fastest == nil || load <= h.room(roomiest) {
			return false
		}
		if !kept && s.Capacity*minCapacityRatio >= fastest.Capacity {
			kept = true
			s.ranges = without(s.ranges, position)
			if h.isHotAlone(s, load) {
				h.empty(s)
				return true
			}
			continue
		}
		if (fastest.load+load)/fastest.Capacity >= s.utilization() {
			return false
		}
		h.move(s, fastest, Range{From: position, To: position})
		if h.isHotAlone(fastest, load) {
			h.empty(fastest)
		}
	}
	return false
}

// isHotAlone reports whether a single position makes its server hot.
func (h *hotSpread) isHotAlone(s *candidateLoad, load float64) bool {
	return load > aloneRatio*h.mean*s.Capacity
}

// fastest returns the least busy server other than s among those with the most
// capacity, nil if there is none.
func (h *hotSpread) fastest(s *candidateLoad) *candidateLoad {
	largest := slices.MaxFunc(h.candidates, func(x, y *candidateLoad) int { return cmp.Compare(x.Capacity, y.Capacity) })
	var best *candidateLoad
	for _, c := range h.candidates {
		if c != s && c.Capacity*minCapacityRatio >= largest.Capacity && c.mayGetRange() && (best == nil || c.utilization() < best.utilization()) {
			best = c
		}
	}
	return best
}

// empty moves all ranges of the server away.
func (h *hotSpread) empty(s *candidateLoad) {
	for _, r := range slices.Clone(s.ranges) {
		h.cut(s, r)
	}
}

// without returns the ranges without a position.
func without(ranges []Range, position uint16) []Range {
	var out []Range
	for _, r := range ranges {
		if position < r.From || position > r.To {
			out = append(out, r)
			continue
		}
		if position > r.From {
			out = append(out, Range{From: r.From, To: position - 1})
		}
		if position < r.To {
			out = append(out, Range{From: position + 1, To: r.To})
		}
	}
	return out
}

// hotWindow returns the narrowest run of positions in one range of the server with the
// given load, or with the whole load of the range if that is less.
func (h *hotSpread) hotWindow(s *candidateLoad, load float64) (Range, bool) {
	if len(s.ranges) == 0 {
		return Range{}, false
	}
	r := slices.MaxFunc(s.ranges, func(x, y Range) int { return cmp.Compare(h.loadOf(x), h.loadOf(y)) })
	load = min(load, (1-1e-9)*h.loadOf(r))
	best, width := r, r.Width()+1
	start := int(r.From)
	for end := int(r.From); end <= int(r.To); end++ {
		for start <= end && h.prefixSums[end+1]-h.prefixSums[start] >= load {
			if end-start+1 < width {
				best, width = Range{From: uint16(start), To: uint16(end)}, end-start+1
			}
			start++
		}
	}
	return best, true
}

// cut moves a run of positions piece by piece to the servers with the most room. It
// returns false if nothing was moved.
func (h *hotSpread) cut(s *candidateLoad, window Range) bool {
	moved := false
	for start := int(window.From); start <= int(window.To) && len(h.moves) < h.limit; {
		target := h.roomiest(s)
		if target == nil || h.room(target) <= 0 {
			break
		}
		end := start
		for end < int(window.To) && h.prefixSums[end+2]-h.prefixSums[start] <= h.room(target) {
			end++
		}
		piece := Range{From: uint16(start), To: uint16(end)}
		start = end + 1
		if load := h.loadOf(piece); load < minHotPieceShare*h.mean*target.Capacity || load > h.room(target) {
			continue
		}
		h.move(s, target, piece)
		moved = true
	}
	return moved
}

func (h *hotSpread) move(s, target *candidateLoad, piece Range) {
	h.moves = append(h.moves, Move{From: piece.From, To: piece.To, NewOwner: target.ID})
	h.applyMove(s, target, piece)
}
