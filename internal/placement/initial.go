package placement

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// InitialAssignment returns the first assignment of a service: slices of equal width,
// interleaved over the available servers by capacity, with successors. The
// version is zero. If no server is available, all servers count as available.
func InitialAssignment(service topology.ServiceName, servers []Server, slicesPerServer int) *topology.Assignment {
	policy := DefaultPolicy()
	policy.SlicesPerServer = slicesPerServer
	usable := slices.DeleteFunc(slices.Clone(servers), func(s Server) bool { return effectiveCapacity(s, policy) == 0 })
	if len(usable) == 0 {
		usable = slices.Clone(servers)
		for i := range usable {
			usable[i].State = StateReady
		}
	}
	slices.SortFunc(usable, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	a := &topology.Assignment{Service: service}
	if len(usable) == 0 {
		return a
	}
	owners := interleave(usable, max(slicesPerServer, 1)*len(usable))
	for i, r := range equalRanges(len(owners)) {
		a.Slices = append(a.Slices, topology.Slice{Range: r, Owner: usable[owners[i]].Name})
	}
	plan := ComputePlan(Input{Service: service, Assignment: a, Servers: usable, Policy: policy})
	return plan.Next
}

// equalRanges divides the ring into n ranges of equal width.
func equalRanges(n int) []topology.Range {
	out := make([]topology.Range, n)
	first := topology.Hash(0)
	for i := range out {
		last := topology.FullRange.Last
		if i < n-1 {
			// The quotient of (i+1) * 2^64 / n, in 128 bits.
			q, _ := bits.Div64(uint64(i+1), 0, uint64(n))
			last = topology.Hash(q) - 1
		}
		out[i] = topology.Range{First: first, Last: last}
		first = last + 1
	}
	return out
}

// interleave returns the owners of n slices. Each server appears in proportion
// to its capacity and at even distances.
func interleave(servers []Server, n int) []int {
	total := 0.0
	for _, s := range servers {
		total += effectiveCapacity(s, Policy{})
	}
	type entry struct {
		at     float64
		server int
	}
	var entries []entry
	for i, s := range servers {
		quota := effectiveCapacity(s, Policy{}) / total * float64(n)
		// The loop adds one entry beyond the quota to round up. The result below
		// leaves out the last entries.
		for j := 0; float64(j) < quota+1; j++ {
			entries = append(entries, entry{at: (float64(j) + 0.5) / quota, server: i})
		}
	}
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.server, b.server))
	})
	out := make([]int, n)
	for i := range out {
		out[i] = entries[i].server
	}
	return out
}
