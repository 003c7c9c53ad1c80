package host

import (
	"cmp"
	"slices"

	"github.com/cassiasill/cassiasill/internal/declaration"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// keyRules determines which positions need a slice of their own and which servers
// may own a range.
type keyRules struct {
	byPosition          map[topology.Hash][]topology.ServerName
	unrestrictedServers []topology.ServerName
}

// newKeyRules returns the rules of a declaration set for the keys that have a
// document of their own and for the restricted keys in use.
func newKeyRules(set *declaration.Set, service topology.ServiceName, restricted []string) *keyRules {
	r := &keyRules{byPosition: make(map[topology.Hash][]topology.ServerName)}
	r.unrestrictedServers = set.DefaultGroup(service).Servers
	for _, keys := range [][]string{set.LabeledKeys(service), restricted} {
		for _, key := range keys {
			// A key whose labels change nothing needs no slice of its own.
			if set.Restricted(service, key) {
				r.byPosition[topology.HashKey(key)] = set.MayOwn(service, key)
			}
		}
	}
	return r
}

// isolated returns the sorted positions that need a slice of their own.
func (r *keyRules) isolated() []topology.Hash {
	out := make([]topology.Hash, 0, len(r.byPosition))
	for h := range r.byPosition {
		out = append(out, h)
	}
	slices.SortFunc(out, cmp.Compare[topology.Hash])
	return out
}

// mayOwn reports whether a server may own a range. A range of a single position
// follows the rules of its key, any other range those of keys without labels.
func (r *keyRules) mayOwn(bounds topology.Range, server topology.ServerName) bool {
	if servers, ok := r.byPosition[bounds.First]; ok && bounds.First == bounds.Last {
		return slices.Contains(servers, server)
	}
	return slices.Contains(r.unrestrictedServers, server)
}
