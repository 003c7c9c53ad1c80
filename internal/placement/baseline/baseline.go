// Package baseline implements well-known placement algorithms for comparison with
// the planner.
package baseline

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// Static places a position on one of n servers by its hash alone.
func Static(h topology.Hash, n int) int { return int(uint64(h) % uint64(n)) }

// Rendezvous places positions by rendezvous (highest random weight) hashing.
type Rendezvous struct {
	seeds []uint64
}

// NewRendezvous returns a rendezvous placement on servers.
func NewRendezvous(servers []topology.ServerName) *Rendezvous {
	r := &Rendezvous{}
	for _, s := range servers {
		r.seeds = append(r.seeds, xxhash.Sum64String(string(s)))
	}
	return r
}

// Place returns the index of the server for h.
func (r *Rendezvous) Place(h topology.Hash) int {
	best, highest := 0, uint64(0)
	for i, seed := range r.seeds {
		if w := combine(seed, uint64(h)); w >= highest {
			best, highest = i, w
		}
	}
	return best
}

// Item is a position with its load.
type Item struct {
	Hash topology.Hash
	Load float64
}

// BoundedLoad is consistent hashing with bounded loads (Mirrokni, Thorup and
// Zadimoghaddam): an item goes to the first server clockwise whose load stays
// within factor times the mean.
type BoundedLoad struct {
	ring    []point
	servers int
	factor  float64
}

// point is one virtual server on the ring.
type point struct {
	at     topology.Hash
	server int
}

// NewBoundedLoad returns a bounded-load placement on servers, each with the given
// number of virtual servers.
func NewBoundedLoad(servers []topology.ServerName, virtual int, factor float64) *BoundedLoad {
	b := &BoundedLoad{servers: len(servers), factor: factor}
	for i, s := range servers {
		seed := xxhash.Sum64String(string(s))
		for v := range virtual {
			b.ring = append(b.ring, point{at: topology.Hash(combine(seed, uint64(v))), server: i})
		}
	}
	slices.SortFunc(b.ring, func(x, y point) int { return cmp.Compare(x.at, y.at) })
	return b
}

// Place returns the index of the server of each item. Items are placed in the
// given order. An item that fits no server goes to the least loaded one.
func (b *BoundedLoad) Place(items []Item) []int {
	total := 0.0
	for _, it := range items {
		total += it.Load
	}
	bound := b.factor * total / float64(b.servers)
	loads := make([]float64, b.servers)
	out := make([]int, len(items))
	for i, it := range items {
		out[i] = b.findServer(it, loads, bound)
		loads[out[i]] += it.Load
	}
	return out
}

// findServer returns the first server clockwise from the item that can hold it
// within bound, or the least loaded server if there is none.
func (b *BoundedLoad) findServer(it Item, loads []float64, bound float64) int {
	start, _ := slices.BinarySearchFunc(b.ring, it.Hash, func(p point, h topology.Hash) int { return cmp.Compare(p.at, h) })
	for k := range b.ring {
		p := b.ring[(start+k)%len(b.ring)]
		if loads[p.server]+it.Load <= bound {
			return p.server
		}
	}
	lowest := 0
	for s := range loads {
		if loads[s] < loads[lowest] {
			lowest = s
		}
	}
	return lowest
}

// combine returns a hash of two numbers.
func combine(a, b uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:], a)
	binary.LittleEndian.PutUint64(buffer[8:], b)
	return xxhash.Sum64(buffer[:])
}
