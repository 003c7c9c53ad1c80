package topology

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against subtraction that drops positions it should keep or keeps
// positions it should drop, which would make a release wrong.
func TestSubtractRangesKeepsExactlyTheRest(t *testing.T) {
	small := rapid.Custom(func(t *rapid.T) Range {
		first := rapid.Uint64Range(0, 40).Draw(t, "first")
		return Range{First: Hash(first), Last: Hash(first + rapid.Uint64Range(0, 9).Draw(t, "length"))}
	})
	rapid.Check(t, func(t *rapid.T) {
		from := rapid.SliceOfN(small, 0, 5).Draw(t, "from")
		remove := rapid.SliceOfN(small, 0, 5).Draw(t, "remove")
		rest := SubtractRanges(from, remove)
		for h := range Hash(60) {
			want := contains(from, h) && !contains(remove, h)
			assert.Equal(t, FindRange(rest, h) >= 0, want, "position %d", h)
		}
	})
}

// Guards against integer overflow at the highest position of the ring.
func TestNormalizeRangesAtTopOfRing(t *testing.T) {
	top := Range{First: FullRange.Last - 1, Last: FullRange.Last}
	assert.DeepEqual(t, NormalizeRanges([]Range{top, FullRange}), []Range{FullRange})
	assert.DeepEqual(t, SubtractRanges([]Range{FullRange}, []Range{top}), []Range{{First: 0, Last: top.First - 1}})
}

func contains(ranges []Range, h Hash) bool {
	for _, r := range ranges {
		if r.Contains(h) {
			return true
		}
	}
	return false
}
