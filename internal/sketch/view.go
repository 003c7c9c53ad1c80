package sketch

import (
	"cmp"
	"slices"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// HeavyKey is a position with high load.
type HeavyKey struct {
	Hash topology.Hash
	// Load is the estimated load per second. Error is the most by which Load
	// may be too high.
	Load, Error float64
}

// View is an immutable snapshot of the loads in a sketch.
type View struct {
	shift         uint
	cellPrefix    []float64 // prefix sums of the cells' load per second without the located keys
	locatedKeys   []HeavyKey
	locatedPrefix []float64 // prefix sums of the load of locatedKeys
	heavyKeys     []HeavyKey
	samples       float64
}

// View returns a snapshot of the loads per second.
func (s *Sketch) View() *View {
	v := &View{shift: s.shift, samples: s.total}
	perSecond := 1.0
	if s.windowSeconds > 0 {
		perSecond = 1 / s.windowSeconds
	}
	rest := slices.Clone(s.cells)
	entries := slices.Clone(s.keys.entries)
	sortByCount(entries)
	for _, e := range entries {
		// If most of a count is error, it may belong to any other key of the
		// ring and stays in its cell.
		if e.error*2 > e.count {
			continue
		}
		k := HeavyKey{Hash: e.hash, Load: (e.count - e.error) * perSecond, Error: e.error * perSecond}
		v.locatedKeys = append(v.locatedKeys, k)
		k.Load += k.Error
		v.heavyKeys = append(v.heavyKeys, k)
		cell := &rest[e.hash>>s.shift]
		*cell = max(*cell-(e.count-e.error), 0)
	}
	slices.SortFunc(v.locatedKeys, func(a, b HeavyKey) int { return cmp.Compare(a.Hash, b.Hash) })
	v.locatedPrefix = make([]float64, len(v.locatedKeys)+1)
	for i, k := range v.locatedKeys {
		v.locatedPrefix[i+1] = v.locatedPrefix[i] + k.Load
	}
	v.cellPrefix = make([]float64, len(rest)+1)
	for i, c := range rest {
		v.cellPrefix[i+1] = v.cellPrefix[i] + c*perSecond
	}
	return v
}

// Load returns the estimated load per second of r.
func (v *View) Load(r topology.Range) float64 {
	lo := v.firstLocated(r.First)
	hi := len(v.locatedKeys)
	if r.Last != topology.FullRange.Last {
		hi = v.firstLocated(r.Last + 1)
	}
	keys := v.locatedPrefix[hi] - v.locatedPrefix[lo]
	if r.First == r.Last {
		// A single key that is not located is one of many in its cell, so its
		// load is negligible.
		return keys
	}
	return keys + max(v.cellLoadBefore(r.Last)-v.cellLoadBefore(r.First), 0)
}

// cellLoadBefore returns the load of the cells before position h. Within a cell
// it interpolates.
func (v *View) cellLoadBefore(h topology.Hash) float64 {
	if h == topology.FullRange.Last {
		return v.cellPrefix[len(v.cellPrefix)-1]
	}
	cell := h >> v.shift
	inside := float64(h-cell<<v.shift) / float64(uint64(1)<<v.shift)
	return v.cellPrefix[cell] + (v.cellPrefix[cell+1]-v.cellPrefix[cell])*inside
}

// firstLocated returns the index of the first located key at or after h.
func (v *View) firstLocated(h topology.Hash) int {
	i, _ := slices.BinarySearchFunc(v.locatedKeys, h, func(k HeavyKey, h topology.Hash) int { return cmp.Compare(k.Hash, h) })
	return i
}

// HeavyKeys returns the keys of which at least half of the load is certain, by
// descending load. The result must not be modified.
func (v *View) HeavyKeys() []HeavyKey { return v.heavyKeys }

// Samples returns the decayed number of requests in the view.
func (v *View) Samples() float64 { return v.samples }
