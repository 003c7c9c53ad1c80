package sketch

import (
	"container/heap"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// entry is the count of one position. The true count lies in [count-error,
// count].
type entry struct {
	hash         topology.Hash
	count, error float64
}

// spaceSaving is the Space-Saving summary of Metwally, Agrawal and El Abbadi.
// With k entries, a count is too high by at most total/k, and every position
// with a count above total/k is tracked.
type spaceSaving struct {
	entries     []entry // min-heap by count
	indexByHash map[topology.Hash]int
	maxEntries  int
}

func newSpaceSaving(limit int) *spaceSaving {
	return &spaceSaving{entries: make([]entry, 0, limit), indexByHash: make(map[topology.Hash]int, limit), maxEntries: limit}
}

// add adds weight to the count of h. A new position in a full summary replaces
// the one with the lowest count and inherits that count as its error.
func (s *spaceSaving) add(h topology.Hash, weight float64) {
	if i, ok := s.indexByHash[h]; ok {
		s.entries[i].count += weight
		heap.Fix(s, i)
		return
	}
	if len(s.entries) < s.maxEntries {
		s.indexByHash[h] = len(s.entries)
		s.entries = append(s.entries, entry{hash: h, count: weight})
		heap.Fix(s, len(s.entries)-1)
		return
	}
	lowest := &s.entries[0]
	delete(s.indexByHash, lowest.hash)
	s.indexByHash[h] = 0
	*lowest = entry{hash: h, count: lowest.count + weight, error: lowest.count}
	heap.Fix(s, 0)
}

// scale multiplies all counts by factor. The heap order does not change.
func (s *spaceSaving) scale(factor float64) {
	for i := range s.entries {
		s.entries[i].count *= factor
		s.entries[i].error *= factor
	}
}

// maxUntrackedCount returns the highest count that a position without an entry
// may have.
func (s *spaceSaving) maxUntrackedCount() float64 {
	if len(s.entries) < s.maxEntries {
		return 0
	}
	return s.entries[0].count
}

// setEntries replaces all entries.
func (s *spaceSaving) setEntries(entries []entry) {
	s.entries = append(s.entries[:0], entries...)
	clear(s.indexByHash)
	for i, e := range s.entries {
		s.indexByHash[e.hash] = i
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
	s.indexByHash[s.entries[i].hash] = i
	s.indexByHash[s.entries[j].hash] = j
}

// Push implements heap.Interface. It must not be called, because add appends
// the entries itself.
func (s *spaceSaving) Push(any) { panic("sketch: push into a summary of fixed size") }

// Pop implements heap.Interface. It must not be called, because entries are
// only replaced.
func (s *spaceSaving) Pop() any { panic("sketch: pop from a summary of fixed size") }
