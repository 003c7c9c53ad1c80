package topology

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Hash is a position on the 64-bit ring.
type Hash uint64

// HashKey returns the position of key on the ring.
func HashKey(key string) Hash { return Hash(xxhash.Sum64String(key)) }

// Range is the closed interval [First, Last] of the ring. Last is inclusive so
// that a range can end at the highest position of the ring.
type Range struct {
	First Hash `json:"first"`
	Last  Hash `json:"last"`
}

// FullRange covers the whole ring.
var FullRange = Range{First: 0, Last: ^Hash(0)}

// Contains reports whether h lies in r.
func (r Range) Contains(h Hash) bool { return r.First <= h && h <= r.Last }

// Overlaps reports whether r and s share a position.
func (r Range) Overlaps(s Range) bool { return r.First <= s.Last && s.First <= r.Last }

// String returns the range in hexadecimal.
func (r Range) String() string { return fmt.Sprintf("[%016x,%016x]", uint64(r.First), uint64(r.Last)) }

// CompareRanges orders ranges by their first position.
func CompareRanges(a, b Range) int { return cmp.Compare(a.First, b.First) }

// NormalizeRanges sorts ranges and merges those that are adjacent or overlap.
func NormalizeRanges(in []Range) []Range {
	out := slices.Clone(in)
	slices.SortFunc(out, CompareRanges)
	n := 0
	for _, r := range out {
		if n > 0 && (out[n-1].Last == ^Hash(0) || r.First <= out[n-1].Last+1) {
			out[n-1].Last = max(out[n-1].Last, r.Last)
			continue
		}
		out[n] = r
		n++
	}
	return out[:n]
}

// FindRange returns the index of the range that contains h, or -1. The ranges
// must be sorted and disjoint.
func FindRange(sorted []Range, h Hash) int {
	lo, hi := 0, len(sorted)
	for lo < hi {
		mid := int(uint(lo+hi) >> 1)
		if sorted[mid].Last < h {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	if lo < len(sorted) && sorted[lo].Contains(h) {
		return lo
	}
	return -1
}

// SubtractRanges returns the parts of from that are outside every range of remove.
func SubtractRanges(from, remove []Range) []Range {
	removed := NormalizeRanges(remove)
	var out []Range
	for _, r := range NormalizeRanges(from) {
		out = appendDifference(out, r, removed)
	}
	return out
}

// appendDifference appends to out the parts of r that are outside the sorted
// ranges of remove.
func appendDifference(out []Range, r Range, remove []Range) []Range {
	for _, c := range remove {
		if !c.Overlaps(r) {
			continue
		}
		if c.First > r.First {
			out = append(out, Range{First: r.First, Last: c.First - 1})
		}
		if c.Last >= r.Last {
			return out
		}
		r.First = c.Last + 1
	}
	return append(out, r)
}
