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
	// hotFillRatio is the ratio up to which servers are given hot keys. It leaves room
	// for the error of rates that were measured for a part of a second.
	hotFillRatio = 1.8
	// serversPerHotMove bounds a round by the size of the service: one move for so many
	// servers. Services that get no more than maxMovesPerRound by it are balanced move
	// by move.
	serversPerHotMove = 4
	// minHotPieceShare is the least share of a server's fair load that a piece must
	// have. Smaller ones stay, as each range needs a renewal of its own.
	minHotPieceShare = 0.3
)

// spreadHotKeys returns the moves that spread the load of servers far above the mean
// utilization. A run of hot positions is cut into pieces for as many servers as its
// load needs; a position that no server has room for goes to a server with the most
// capacity, and the other positions of that server leave.
func (p *planner) spreadHotKeys(samples float64) []Move {
	h := hotSpread{planner: p, limit: len(p.candidates) / serversPerHotMove}
	if h.limit <= maxMovesPerRound {
		return nil
	}
	total, capacity := p.totals()
	h.mean = total / capacity
	var hot []*candidateLoad
	for _, s := range p.candidates {
		noise := 2 / math.Sqrt(max(samples*s.load/max(total, 1e-9), 1))
		if s.MaxRate == 0 && s.utilization() > h.mean*(hotRatio+noise) {
			hot = append(hot, s)
		}
	}
	slices.SortStableFunc(hot, func(a, b *candidateLoad) int { return cmp.Compare(b.utilization(), a.utilization()) })
	for _, s := range hot {
		h.relieve(s)
	}
	return h.moves
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
	position, load := h.heaviestPosition(s)
	if target := h.roomiest(s); target == nil || load > h.room(target) && load > h.room(s) {
		h.isolate(s, position, load)
		return
	}
	for h.room(s) < 0 && len(h.moves) < h.limit {
		window, ok := h.hotWindow(s, -h.room(s))
		if !ok || !h.cut(s, window) {
			return
		}
	}
}

// isolate places a position that no server has room for on a server with the most
// capacity. If it is hot by itself, the other positions of that server leave.
func (h *hotSpread) isolate(s *candidateLoad, position uint16, load float64) {
	fastest := s
	for _, c := range h.candidates {
		if c.Capacity > fastest.Capacity*minCapacityRatio || fastest != s && c.Capacity >= fastest.Capacity && c.load < fastest.load {
			fastest = c
		}
	}
	if fastest != s && load/fastest.Capacity < s.utilization() {
		h.move(s, fastest, Range{From: position, To: position})
		s = fastest
	}
	if load < hotRatio*h.mean*s.Capacity {
		return
	}
	for _, r := range slices.Clone(s.ranges) {
		if position < r.From || position > r.To {
			h.cut(s, r)
			continue
		}
		if position > r.From {
			h.cut(s, Range{From: r.From, To: position - 1})
		}
		if position < r.To {
			h.cut(s, Range{From: position + 1, To: r.To})
		}
	}
}

// hotWindow returns the narrowest run of positions in one range of the server with the
// given load, or with nearly the whole load of the range if that is less.
func (h *hotSpread) hotWindow(s *candidateLoad, load float64) (Range, bool) {
	if len(s.ranges) == 0 {
		return Range{}, false
	}
	r := slices.MaxFunc(s.ranges, func(x, y Range) int { return cmp.Compare(h.loadOf(x), h.loadOf(y)) })
	load = min(load, 0.9*h.loadOf(r))
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
		if h.loadOf(piece) < minHotPieceShare*h.mean*target.Capacity || h.loadOf(piece) > s.load {
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
