package declaration

import (
	"maps"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// Service is what the settings say about one service.
type Service struct {
	Name        topology.ServiceName
	Partitioned bool
	Servers     []topology.Server
}

// Inventory is what the settings say about the deployment.
type Inventory struct {
	Services []Service
	// Callers holds labels of known callers; a caller that is not listed has
	// only LabelCaller.
	Callers map[topology.Caller]topology.Labels
}

// Set answers every question about the documents of one revision. It is
// immutable and safe for concurrent use.
type Set struct {
	revision  uint64
	documents map[Key]*Document
	digest    func() uint64
	services  map[topology.ServiceName]*serviceSet
	callers   map[topology.Caller]topology.Labels
}

type serviceSet struct {
	partitioned bool
	servers     []serverState
	index       map[topology.ServerName]int
	live        []topology.ServerName // not drained
	keys        keyIndex
	ownership   []rule
	serving     []rule
	groups      cache[string, *Group]
	eligible    cache[ruleMask, []topology.ServerName]
}

// maxServingRules bounds the serving rules of one service, so that the rules
// that apply to a caller fit in a mask and the path of requests allocates
// nothing.
const maxServingRules = 256

// ruleMask has a bit for each serving rule of a service.
type ruleMask [maxServingRules / 64]uint64

func (m ruleMask) has(i int) bool { return m[i/64]&(1<<(i%64)) != 0 }

type serverState struct {
	name    topology.ServerName
	labels  topology.Labels
	sources map[string]Key
	given   []*Document // by name; the last one wins
	drained bool
}

// rule is a compiled OwnershipRule or ServingRule.
type rule struct {
	document *Document
	subjects Selector
	servers  Selector
	// selected has one entry for each server of the service.
	selected []bool
	// byDefault is true if an OwnershipRule applies to keys without labels.
	byDefault bool
}

// Group is a set of keys to which the same ownership rules apply.
type Group struct {
	// ID is the names of the rules, joined by commas; empty for keys to which
	// no rule applies.
	ID string
	// Rules are the names of the rules that apply.
	Rules []string
	// Servers may own the keys of the group. It is empty if the rules leave
	// no server; then the last owner keeps the keys.
	Servers []topology.ServerName
}

// cacheLimit bounds each cache of answers. Entries are combinations of rules
// that occur, so there are few; the limit only excludes surprises.
const cacheLimit = 4096

// cache is a map that readers read without a lock or allocation.
type cache[K comparable, V any] struct{ entries atomic.Pointer[map[K]V] }

func (c *cache[K, V]) get(key K, compute func() V) V {
	old := c.entries.Load()
	if old != nil {
		if v, ok := (*old)[key]; ok {
			return v
		}
	}
	v := compute()
	next := make(map[K]V)
	if old != nil && len(*old) < cacheLimit {
		next = maps.Clone(*old)
	}
	next[key] = v
	// A lost race only means that the entry is computed again.
	c.entries.CompareAndSwap(old, &next)
	return v
}

// Revision returns the revision of the documents.
func (s *Set) Revision() uint64 { return s.revision }

// Digest returns the digest of the documents.
func (s *Set) Digest() uint64 { return s.digest() }

// Documents returns the documents. The map and what it holds must not be
// changed.
func (s *Set) Documents() map[Key]*Document { return s.documents }

// Get returns a copy of one document, or nil.
func (s *Set) Get(key Key) *Document { return s.documents[key].Clone() }

// Services returns the names of the services, sorted, that are or are not
// partitioned by key.
func (s *Set) Services(partitioned bool) []topology.ServiceName {
	var out []topology.ServiceName
	for name, service := range s.services {
		if service.partitioned == partitioned {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Servers returns the names of a service's servers in the settings' order.
func (s *Set) Servers(service topology.ServiceName) []topology.ServerName {
	target := s.services[service]
	if target == nil {
		return nil
	}
	out := make([]topology.ServerName, len(target.servers))
	for i, server := range target.servers {
		out[i] = server.name
	}
	return out
}

// ServerLabels returns all labels of a server: those of the settings,
// overridden by the documents, and the router's own.
func (s *Set) ServerLabels(service topology.ServiceName, server topology.ServerName) (topology.Labels, bool) {
	target := s.services[service]
	if target == nil {
		return nil, false
	}
	i, ok := target.index[server]
	if !ok {
		return nil, false
	}
	return maps.Clone(target.servers[i].labels), true
}

// Drained reports whether operators are draining the server.
func (s *Set) Drained(service topology.ServiceName, server topology.ServerName) bool {
	target := s.services[service]
	if target == nil {
		return false
	}
	i, ok := target.index[server]
	return ok && target.servers[i].drained
}

// KeyLabels returns the labels of a key.
func (s *Set) KeyLabels(service topology.ServiceName, key string) topology.Labels {
	if target := s.services[service]; target != nil {
		labels, _ := target.keys.labels(key)
		return labels
	}
	return topology.Labels{LabelKey: key}
}

// LabeledKeys returns the keys of a service that documents name exactly, so
// that the planner can give them slices of their own.
func (s *Set) LabeledKeys(service topology.ServiceName) []string {
	target := s.services[service]
	if target == nil {
		return nil
	}
	out := slices.Collect(maps.Keys(target.keys.exact))
	for i := range target.ownership {
		for _, r := range target.ownership[i].subjects.requirements {
			if r.label == LabelKey {
				out = append(out, r.values...)
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Restricted reports whether other ownership rules apply to a key than to keys
// without labels. For a key without labels it allocates nothing.
func (s *Set) Restricted(service topology.ServiceName, key string) bool {
	target := s.services[service]
	if target == nil {
		return false
	}
	var labels topology.Labels
	if target.keys.labeled(key) {
		labels, _ = target.keys.labels(key)
	}
	for i := range target.ownership {
		if r := &target.ownership[i]; r.subjects.matchesNamed(labels, LabelKey, key) != r.byDefault {
			return true
		}
	}
	return false
}

// GroupOf returns the group of a key. An unknown service gives an empty group.
func (s *Set) GroupOf(service topology.ServiceName, key string) *Group {
	target := s.services[service]
	if target == nil {
		return &Group{}
	}
	labels, _ := target.keys.labels(key)
	return target.group(target.ownershipOf(labels))
}

// MayOwn returns the servers that may own a key. An empty result means that
// the last owner keeps it.
func (s *Set) MayOwn(service topology.ServiceName, key string) []topology.ServerName {
	return s.GroupOf(service, key).Servers
}

// DefaultGroup returns the group of the keys that have no labels.
func (s *Set) DefaultGroup(service topology.ServiceName) *Group {
	target := s.services[service]
	if target == nil {
		return &Group{}
	}
	return target.group(target.ownershipOf(unlabeled()))
}

// ownershipOf returns the indexes of the ownership rules that apply to labels.
func (s *serviceSet) ownershipOf(labels topology.Labels) []int {
	var out []int
	for i := range s.ownership {
		if s.ownership[i].subjects.Matches(labels) {
			out = append(out, i)
		}
	}
	return out
}

func (s *serviceSet) group(rules []int) *Group {
	names := make([]string, len(rules))
	for i, r := range rules {
		names[i] = s.ownership[r].document.Metadata.Name
	}
	id := strings.Join(names, ",")
	return s.groups.get(id, func() *Group {
		return &Group{ID: id, Rules: names, Servers: s.intersect(s.ownership, rules)}
	})
}

// intersect returns the servers that every given rule selects and that are not
// drained.
func (s *serviceSet) intersect(rules []rule, apply []int) []topology.ServerName {
	if len(apply) == 0 {
		return s.live
	}
	out := []topology.ServerName{}
	for i, server := range s.servers {
		if server.drained {
			continue
		}
		if !slices.ContainsFunc(apply, func(r int) bool { return !rules[r].selected[i] }) {
			out = append(out, server.name)
		}
	}
	return out
}

// MayServe returns the upstreams that may serve a caller of a service that is
// not partitioned by key. The result must not be changed; it allocates nothing
// once the combination of rules has occurred.
func (s *Set) MayServe(service topology.ServiceName, caller topology.Caller) []topology.ServerName {
	target := s.services[service]
	if target == nil {
		return nil
	}
	if len(target.serving) == 0 {
		return target.live
	}
	var mask ruleMask
	labels := s.callers[caller]
	for i := range target.serving {
		if target.serving[i].subjects.matchesNamed(labels, LabelCaller, string(caller)) {
			mask[i/64] |= 1 << (i % 64)
		}
	}
	if known := target.eligible.entries.Load(); known != nil {
		if servers, ok := (*known)[mask]; ok {
			return servers
		}
	}
	return target.eligible.get(mask, func() []topology.ServerName {
		var apply []int
		for i := range target.serving {
			if mask.has(i) {
				apply = append(apply, i)
			}
		}
		return target.intersect(target.serving, apply)
	})
}

func (s *Set) callerLabels(caller topology.Caller) topology.Labels {
	labels := maps.Clone(s.callers[caller])
	if labels == nil {
		labels = make(topology.Labels)
	}
	labels[LabelCaller] = string(caller)
	return labels
}

// HasOwnershipRules reports whether any key of the service can belong to
// another group than the keys without labels.
func (s *Set) HasOwnershipRules(service topology.ServiceName) bool {
	target := s.services[service]
	return target != nil && len(target.ownership) > 0
}
