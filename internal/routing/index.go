package routing

import (
	"fmt"
	"math/bits"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// maxIndexBits bounds the index at 4 MiB.
const maxIndexBits = 20

// index finds the route of a position: the top bits select the few routes that
// touch a bucket of the ring, and a binary search among them ends the lookup.
// Slices of single hot keys can make a bucket long, therefore no linear scan.
type index struct {
	shift  uint
	starts []uint32 // per bucket, the first route that touches it; one more at the end
	routes []topology.Route
}

// newIndex checks that the routes are sorted, disjoint and cover the ring, and
// indexes them. Buckets are about as many as routes, so that one bucket touches
// two routes on average.
func newIndex(table topology.RouteTable) (*index, error) {
	if err := checkRoutes(table); err != nil {
		return nil, err
	}
	indexBits := min(max(bits.Len(uint(len(table.Routes))), 1), maxIndexBits)
	ix := &index{
		shift:  64 - uint(indexBits),
		starts: make([]uint32, 1<<indexBits+1),
		routes: table.Routes,
	}
	route := 0
	for b := range ix.starts[:1<<indexBits] {
		for ix.routes[route].Range.Last < topology.Hash(b)<<ix.shift {
			route++
		}
		ix.starts[b] = uint32(route)
	}
	ix.starts[1<<indexBits] = uint32(len(ix.routes) - 1)
	return ix, nil
}

// find returns the route that contains h.
func (ix *index) find(h topology.Hash) *topology.Route {
	b := h >> ix.shift
	lo, hi := ix.starts[b], ix.starts[b+1]
	for lo < hi {
		mid := (lo + hi) >> 1
		if ix.routes[mid].Range.Last < h {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return &ix.routes[lo]
}

// checkRoutes returns an error unless the routes cover the ring exactly once.
func checkRoutes(table topology.RouteTable) error {
	next := topology.Hash(0)
	for i, r := range table.Routes {
		if r.Range.First != next || r.Range.Last < r.Range.First {
			return &RejectedError{Service: table.Service, Reason: fmt.Sprintf("route %d %s does not continue at %016x", i, r.Range, uint64(next))}
		}
		if r.Range.Last == topology.FullRange.Last {
			if i == len(table.Routes)-1 {
				return nil
			}
			return &RejectedError{Service: table.Service, Reason: fmt.Sprintf("route %d ends the ring before the last route", i)}
		}
		next = r.Range.Last + 1
	}
	return &RejectedError{Service: table.Service, Reason: fmt.Sprintf("the ring is not covered from %016x", uint64(next))}
}
