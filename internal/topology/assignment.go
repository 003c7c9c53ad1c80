package topology

import (
	"fmt"
	"slices"
)

// MaxSuccessors is the maximum number of successors of a slice. With two, a
// slice keeps an owner when its owner and one more server fail during a store
// outage.
const MaxSuccessors = 2

// Slice assigns one range of the ring to an owner. When the owner fails, the
// successors take over in order, without a prior write to the store.
type Slice struct {
	Range      Range        `json:"range"`
	Owner      ServerName   `json:"owner"`
	Successors []ServerName `json:"successors,omitempty"`
}

// Assignment is the stored plan that names the intended owner of each slice of
// a service. Slices are sorted, disjoint and cover the ring.
type Assignment struct {
	Service ServiceName `json:"service"`
	Version Version     `json:"version"`
	Slices  []Slice     `json:"slices"`
}

// FindSlice returns the index of the slice that contains h, or -1.
func (a *Assignment) FindSlice(h Hash) int {
	i, _ := slices.BinarySearchFunc(a.Slices, h, func(s Slice, h Hash) int {
		if s.Range.Last < h {
			return -1
		}
		return 1
	})
	if i < len(a.Slices) && a.Slices[i].Range.Contains(h) {
		return i
	}
	return -1
}

// Validate returns an error unless the slices are sorted, disjoint and cover the
// whole ring.
func (a *Assignment) Validate() error {
	next := Hash(0)
	for i, s := range a.Slices {
		if s.Range.First != next || s.Range.Last < s.Range.First {
			return fmt.Errorf("assignment of %s: slice %d %s does not continue at %016x", a.Service, i, s.Range, uint64(next))
		}
		if s.Range.Last == FullRange.Last {
			if i != len(a.Slices)-1 {
				return fmt.Errorf("assignment of %s: slice %d ends the ring before the last slice", a.Service, i)
			}
			return nil
		}
		next = s.Range.Last + 1
	}
	return fmt.Errorf("assignment of %s: the ring is not covered from %016x", a.Service, uint64(next))
}

// RangesOf returns the ranges that are assigned to server, sorted, with adjacent
// ranges merged.
func (a *Assignment) RangesOf(server ServerName) []Range {
	var out []Range
	for _, s := range a.Slices {
		if s.Owner == server {
			out = append(out, s.Range)
		}
	}
	return NormalizeRanges(out)
}

// Clone returns a deep copy of a.
func (a *Assignment) Clone() *Assignment {
	c := &Assignment{Service: a.Service, Version: a.Version, Slices: slices.Clone(a.Slices)}
	for i := range c.Slices {
		c.Slices[i].Successors = slices.Clone(c.Slices[i].Successors)
	}
	return c
}
