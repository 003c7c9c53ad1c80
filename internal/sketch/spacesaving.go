package sketch

import (
	"container/heap"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// entry counts one position. The true count lies in [count-error, count].
type entry struct {
	hash         topology.Hash
	count, error float64
}

// spaceSaving is the Space-Saving summary of Metwally, Agrawal and El Abbadi:
// with k entries a count is too high by at most total/k, and every position
// with more than total/k is kept.
type spaceSaving struct {
	entries []entry // min-heap by count
	slots   map[topology.Hash]int
	limit   int
}

func newSpaceSaving(limit int) *spaceSaving {
	return &spaceSaving{entries: make([]entry, 0, limit), slots: make(map[topology.Hash]int, limit), limit: limit}
}

// add counts weight for h. A new position replaces the one with the lowest
// count and inherits that count as error.
func (s *spaceSaving) add(h topology.Hash, weight float64) {
	if i, ok := s.slots[h]; ok {
		s.entries[i].count += weight
		heap.Fix(s, i)
		return
	}
	if len(s.entries) < s.limit {
		s.slots[h] = len(s.entries)
		s.entries = append(s.entries, entry{hash: h, count: weight})
		heap.Fix(s, len(s.entries)-1)
		return
	}
	lowest := &s.entries[0]
	delete(s.slots, lowest.hash)
	s.slots[h] = 0
	*lowest = entry{hash: h, count: lowest.count + weight, error: lowest.count}
	heap.Fix(s, 0)
}

// scale multiplies all counts; the heap order stays.
func (s *spaceSaving) scale(factor float64) {
	for i := range s.entries {
		s.entries[i].count *= factor
		s.entries[i].error *= factor
	}
}

// floor is the highest count that a position without an entry may have.
func (s *spaceSaving) floor() float64 {
	if len(s.entries) < s.limit {
		return 0
	}
	return s.entries[0].count
}

// replace sets the entries.
func (s *spaceSaving) replace(entries []entry) {
	s.entries = append(s.entries[:0], entries...)
	clear(s.slots)
	for i, e := range s.entries {
		s.slots[e.hash] = i
	}
	heap.Init(s)
}

// Len implements heap.Interface.
func (s *spaceSaving) Len() int { return len(s.entries) }

// Less implements heap.Interface.
func (s *spaceSaving) Less(i, j int) bool { return s.entries[i].count < s.entries[j].count }

// Swap implements heap.Interface.
func (s *spaceSaving) Swap(i, j int) {
	s.entries[i], s.entries[j] = s.entries[j], s.entries[i]
	s.slots[s.entries[i].hash] = i
	s.slots[s.entries[j].hash] = j
}

// Push implements heap.Interface; entries are added by add only.
func (s *spaceSaving) Push(any) { panic("sketch: push into a summary of fixed size") }

// Pop implements heap.Interface; entries are never removed singly.
func (s *spaceSaving) Pop() any { panic("sketch: pop from a summary of fixed size") }
