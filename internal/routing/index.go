package routing

import (
	"fmt"
	"math/bits"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// maxIndexBits bounds the index at 4 MiB.
const maxIndexBits = 20

// index finds the route of a position on the hash ring. The top bits of the
// position select a bucket of the ring, and a binary search among the routes
// that overlap the bucket finds the route. A linear scan would be slow because
// ranges of single hot keys can put many routes into one bucket.
type index struct {
	shift        uint
	bucketStarts []uint32 // per bucket, the first route that overlaps it, with a final entry for the last route
	routes       []topology.Route
}

// newIndex validates the routes and indexes them. There are about as many
// buckets as routes, so that a bucket overlaps two routes on average.
func newIndex(table topology.RouteTable) (*index, error) {
	if err := validateRoutes(table); err != nil {
		return nil, err
	}
	indexBits := min(max(bits.Len(uint(len(table.Routes))), 1), maxIndexBits)
	ix := &index{
		shift:        64 - uint(indexBits),
		bucketStarts: make([]uint32, 1<<indexBits+1),
		routes:       table.Routes,
	}
	route := 0
	for b := range ix.bucketStarts[:1<<indexBits] {
		for ix.routes[route].Range.Last < topology.Hash(b)<<ix.shift {
			route++
		}
		ix.bucketStarts[b] = uint32(route)
	}
	ix.bucketStarts[1<<indexBits] = uint32(len(ix.routes) - 1)
	return ix, nil
}

// find returns the route whose range contains h.
func (ix *index) find(h topology.Hash) *topology.Route {
	b := h >> ix.shift
	lo, hi := ix.bucketStarts[b], ix.bucketStarts[b+1]
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

// validateRoutes returns an error unless the routes are sorted and cover the
// ring exactly once.
func validateRoutes(table topology.RouteTable) error {
	next := topology.Hash(0)
	for i, r := range table.Routes {
		if r.Range.First != next || r.Range.Last < r.Range.First {
			return &RejectedError{Service: table.Service, Reason: fmt.Sprintf("route %d %s does not start at %016x", i, r.Range, uint64(next))}
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
