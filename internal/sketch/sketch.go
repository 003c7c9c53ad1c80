// Package sketch counts load by position on the hash ring in bounded memory.
//
// A sketch holds two summaries. Cells, which are equal parts of the ring, hold
// exact counts. A Space-Saving summary finds the heavy keys: with k tracked
// keys, the count of a key is never too low and is too high by at most total/k,
// and every key with a count above total/k is tracked. After a merge the same
// holds for the sum of the totals. The load of a range that ends inside a cell
// is off by at most the load of that cell without its located heavy keys.
//
// Counts decay exponentially. The elapsed time is an argument.
package sketch

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// Config is the size and decay of a sketch.
type Config struct {
	// Cells is the number of cells, rounded up to a power of two. A cell takes
	// 8 bytes.
	Cells int
	// Keys is the number of tracked heavy keys. Each takes about 60 bytes.
	Keys int
	// HalfLife is the time in which a count decays to half.
	HalfLife time.Duration
}

// DefaultConfig returns a configuration that follows changes of hot keys within
// seconds and takes about 100 KB.
func DefaultConfig() Config {
	return Config{Cells: 4096, Keys: 1024, HalfLife: 5 * time.Second}
}

// Sketch counts load. It is not safe for concurrent use; see Counter.
type Sketch struct {
	halfLife      time.Duration
	shift         uint
	cells         []float64
	keys          *spaceSaving
	total         float64
	windowSeconds float64 // decayed sum of the elapsed time
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

// Decay decays the counts by the elapsed time. All elapsed time must be passed
// to it, for example once a second, because rates are computed from its sum.
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
	// The interval is decayed like the requests counted in it. A steady rate is
	// therefore estimated without bias at any interval.
	s.windowSeconds = (s.windowSeconds + elapsed.Seconds()) * factor
}

// Total returns the decayed count of all positions.
func (s *Sketch) Total() float64 { return s.total }

// Merge adds the counts of other, the sketch of another host, without changing
// it. Counts over a different window are scaled to the window of this sketch,
// so that rates add up. The result has the lower number of cells of the two.
func (s *Sketch) Merge(other *Sketch) {
	factor := 1.0
	switch {
	case s.windowSeconds == 0:
		s.windowSeconds = other.windowSeconds
	case other.windowSeconds > 0:
		factor = s.windowSeconds / other.windowSeconds
	}
	for s.shift < other.shift {
		s.cells, s.shift = mergeCellPairs(s.cells), s.shift+1
	}
	for i, c := range other.cells {
		s.cells[i>>(s.shift-other.shift)] += c * factor
	}
	s.total += other.total * factor
	s.mergeKeys(other.keys, factor)
}

// mergeKeys merges the heavy keys. A key that one side does not track may have
// a count of up to maxUntrackedCount there.
func (s *Sketch) mergeKeys(other *spaceSaving, factor float64) {
	ownFloor, otherFloor := s.keys.maxUntrackedCount(), other.maxUntrackedCount()*factor
	merged := make([]entry, 0, len(s.keys.entries)+len(other.entries))
	for _, e := range s.keys.entries {
		if i, ok := other.indexByHash[e.hash]; ok {
			e.count += other.entries[i].count * factor
			e.error += other.entries[i].error * factor
		} else {
			e.count += otherFloor
			e.error += otherFloor
		}
		merged = append(merged, e)
	}
	for _, e := range other.entries {
		if _, ok := s.keys.indexByHash[e.hash]; !ok {
			merged = append(merged, entry{hash: e.hash, count: e.count*factor + ownFloor, error: e.error*factor + ownFloor})
		}
	}
	sortByCount(merged)
	s.keys.setEntries(merged[:min(len(merged), s.keys.maxEntries)])
}

// sortByCount sorts by descending count, and by position where counts are
// equal.
func sortByCount(entries []entry) {
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(b.count, a.count), cmp.Compare(a.hash, b.hash))
	})
}

// mergeCellPairs returns half as many cells, each the sum of two.
func mergeCellPairs(cells []float64) []float64 {
	out := make([]float64, len(cells)/2)
	for i := range out {
		out[i] = cells[2*i] + cells[2*i+1]
	}
	return out
}
