// Package sketch counts load by position of the ring in bounded memory.
//
// Two summaries are kept. Cells, equal parts of the ring, count exactly. A
// Space-Saving summary finds the heavy keys: with k keys kept, a key's count is
// never too low and too high by at most total/k, and every key with more than
// total/k is kept; after merging the same holds for the sum of the totals. The
// load of a range that ends inside a cell is off by at most that cell's load
// without its located heavy keys.
//
// Counts decay exponentially; the time that has passed is an argument.
package sketch

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// Config sizes a sketch.
type Config struct {
	// Cells is rounded up to a power of two. A cell takes 8 bytes.
	Cells int
	// Keys is the number of heavy keys kept; each takes about 60 bytes.
	Keys int
	// HalfLife is the time in which a count decays to its half.
	HalfLife time.Duration
}

// DefaultConfig follows changes of hot keys within seconds and takes about
// 100 KB.
func DefaultConfig() Config {
	return Config{Cells: 4096, Keys: 1024, HalfLife: 5 * time.Second}
}

// Sketch counts load. It is not safe for concurrent use; see Counter.
type Sketch struct {
	halfLife time.Duration
	shift    uint
	cells    []float64
	keys     *spaceSaving
	total    float64
	window   float64 // seconds
}

// New returns an empty sketch.
func New(config Config) *Sketch {
	n := bits.Len(uint(max(config.Cells, 2) - 1))
	return &Sketch{
		halfLife: config.HalfLife,
		shift:    64 - uint(n),
		cells:    make([]float64, 1<<n),
		keys:     newSpaceSaving(max(config.Keys, 1)),
	}
}

// Add counts weight, usually 1 per request, at position h.
func (s *Sketch) Add(h topology.Hash, weight float64) {
	s.cells[h>>s.shift] += weight
	s.total += weight
	s.keys.add(h, weight)
}

// Decay lets counts age by elapsed. It must be called for all time that
// passes, for example once a second; rates refer to the sum of it.
func (s *Sketch) Decay(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	factor := math.Exp2(-float64(elapsed) / float64(s.halfLife))
	for i := range s.cells {
		s.cells[i] *= factor
	}
	s.keys.scale(factor)
	s.total *= factor
	// The interval is weighted like the requests counted in it, therefore a
	// steady rate is estimated without bias at any interval.
	s.window = (s.window + elapsed.Seconds()) * factor
}

// Total returns the decayed count.
func (s *Sketch) Total() float64 { return s.total }

// Merge adds the counts of other, another host's sketch, which keeps its
// values. Counts over another window are scaled to this sketch's window, so that
// rates add up. The number of cells falls to the lower of the two.
func (s *Sketch) Merge(other *Sketch) {
	factor := 1.0
	switch {
	case s.window == 0:
		s.window = other.window
	case other.window > 0:
		factor = s.window / other.window
	}
	for s.shift < other.shift {
		s.cells, s.shift = coarser(s.cells), s.shift+1
	}
	for i, c := range other.cells {
		s.cells[i>>(s.shift-other.shift)] += c * factor
	}
	s.total += other.total * factor
	s.mergeKeys(other.keys, factor)
}

// mergeKeys merges the heavy keys. A key that one side does not hold may have
// had up to that side's floor there.
func (s *Sketch) mergeKeys(other *spaceSaving, factor float64) {
	ownFloor, otherFloor := s.keys.floor(), other.floor()*factor
	merged := make([]entry, 0, len(s.keys.entries)+len(other.entries))
	for _, e := range s.keys.entries {
		if i, ok := other.slots[e.hash]; ok {
			e.count += other.entries[i].count * factor
			e.error += other.entries[i].error * factor
		} else {
			e.count += otherFloor
			e.error += otherFloor
		}
		merged = append(merged, e)
	}
	for _, e := range other.entries {
		if _, ok := s.keys.slots[e.hash]; !ok {
			merged = append(merged, entry{hash: e.hash, count: e.count*factor + ownFloor, error: e.error*factor + ownFloor})
		}
	}
	sortByCount(merged)
	s.keys.replace(merged[:min(len(merged), s.keys.limit)])
}

// sortByCount orders the highest count first, equal counts by position.
func sortByCount(entries []entry) {
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(b.count, a.count), cmp.Compare(a.hash, b.hash))
	})
}

// coarser returns cells of double width.
func coarser(cells []float64) []float64 {
	out := make([]float64, len(cells)/2)
	for i := range out {
		out[i] = cells[2*i] + cells[2*i+1]
	}
	return out
}
