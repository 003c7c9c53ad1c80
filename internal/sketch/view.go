package sketch

import (
	"cmp"
	"slices"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// HeavyKey is a position with much load.
type HeavyKey struct {
	Hash topology.Hash
	// Load is the estimate per second, and Error the most by which it may be
	// too high.
	Load, Error float64
}

// View answers questions about a sketch at one moment. It is immutable.
type View struct {
	shift   uint
	rest    []float64 // prefix sums of the cells without located keys, per second
	located []HeavyKey
	prefix  []float64 // prefix sums of located
	heavy   []HeavyKey
	samples float64
}

// View returns the loads per second as of now.
func (s *Sketch) View() *View {
	v := &View{shift: s.shift, samples: s.total}
	perSecond := 1.0
	if s.window > 0 {
		perSecond = 1 / s.window
	}
	rest := slices.Clone(s.cells)
	entries := slices.Clone(s.keys.entries)
	sortByCount(entries)
	for _, e := range entries {
		// A count that is mostly error may belong to any other key of the ring;
		// it stays in its cell.
		if e.error*2 > e.count {
			continue
		}
		k := HeavyKey{Hash: e.hash, Load: (e.count - e.error) * perSecond, Error: e.error * perSecond}
		v.located = append(v.located, k)
		k.Load += k.Error
		v.heavy = append(v.heavy, k)
		cell := &rest[e.hash>>s.shift]
		*cell = max(*cell-(e.count-e.error), 0)
	}
	slices.SortFunc(v.located, func(a, b HeavyKey) int { return cmp.Compare(a.Hash, b.Hash) })
	v.prefix = make([]float64, len(v.located)+1)
	for i, k := range v.located {
		v.prefix[i+1] = v.prefix[i] + k.Load
	}
	v.rest = make([]float64, len(rest)+1)
	for i, c := range rest {
		v.rest[i+1] = v.rest[i] + c*perSecond
	}
	return v
}

// Load returns the estimated load of r per second.
func (v *View) Load(r topology.Range) float64 {
	lo := v.firstLocated(r.First)
	hi := len(v.located)
	if r.Last != topology.FullRange.Last {
		hi = v.firstLocated(r.Last + 1)
	}
	keys := v.prefix[hi] - v.prefix[lo]
	if r.First == r.Last {
		// A single key that is not located is one of very many in its cell.
		return keys
	}
	return keys + max(v.restBefore(r.Last)-v.restBefore(r.First), 0)
}

// restBefore interpolates the load of the cells before position h.
func (v *View) restBefore(h topology.Hash) float64 {
	if h == topology.FullRange.Last {
		return v.rest[len(v.rest)-1]
	}
	cell := h >> v.shift
	inside := float64(h-cell<<v.shift) / float64(uint64(1)<<v.shift)
	return v.rest[cell] + (v.rest[cell+1]-v.rest[cell])*inside
}

// firstLocated returns the index of the first located key at or after h.
func (v *View) firstLocated(h topology.Hash) int {
	i, _ := slices.BinarySearchFunc(v.located, h, func(k HeavyKey, h topology.Hash) int { return cmp.Compare(k.Hash, h) })
	return i
}

// HeavyKeys returns the keys whose load is known to at least half, the highest
// first. The result must not be modified.
func (v *View) HeavyKeys() []HeavyKey { return v.heavy }

// Samples returns the decayed number of requests behind the view.
func (v *View) Samples() float64 { return v.samples }
