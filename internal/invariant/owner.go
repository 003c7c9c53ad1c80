package invariant

import (
	"fmt"
	"sync"
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// Violation is one breach of a guarantee.
type Violation struct {
	At        time.Time
	Guarantee Guarantee
	Detail    string
}

// String describes the breach.
func (v Violation) String() string {
	return fmt.Sprintf("%s %s: %s", v.At.Format("15:04:05.000000"), v.Guarantee, v.Detail)
}

// maxViolations bounds memory; the first breaches explain the later ones.
const maxViolations = 100

// OwnerChecker checks G1, that a key has at most one owning server at any
// moment, and of G2 that an acknowledged assignment is in the store. Servers
// report to it what they accept. All times must come from one clock that stands
// for true time. Two grants overlap in time only if they do so at the moment
// one of them is accepted, so that checking then covers every instant.
type OwnerChecker struct {
	mu         sync.Mutex
	grants     map[topology.ServiceName]map[topology.ServerName]grant
	stored     map[string]bool
	led        map[topology.HostName]time.Time
	violations []Violation
}

type grant struct {
	ranges []topology.Range // sorted, disjoint
	until  time.Time
}

// NewOwnerChecker returns a checker that knows of no grant.
func NewOwnerChecker() *OwnerChecker {
	return &OwnerChecker{
		grants: make(map[topology.ServiceName]map[topology.ServerName]grant),
		stored: make(map[string]bool),
		led:    make(map[topology.HostName]time.Time),
	}
}

// Granted notes that server serves exactly ranges until the given time, unless
// a later call says otherwise. It replaces what the server reported before.
func (c *OwnerChecker) Granted(now time.Time, service topology.ServiceName, server topology.ServerName, ranges []topology.Range, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	own := grant{ranges: topology.NormalizeRanges(ranges), until: until}
	servers := c.grants[service]
	if servers == nil {
		servers = make(map[topology.ServerName]grant)
		c.grants[service] = servers
	}
	servers[server] = own
	if !until.After(now) {
		return
	}
	for name, other := range servers {
		if name == server || !other.until.After(now) {
			continue
		}
		if r, ok := firstOverlap(own.ranges, other.ranges); ok {
			c.add(now, "G1", "service %s: %s and %s both own %s", service, server, name, r)
		}
	}
}

// Dropped notes that server serves nothing, because its process has ended.
func (c *OwnerChecker) Dropped(service topology.ServiceName, server topology.ServerName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.grants[service], server)
}

// Executed notes that server runs a request for position, whether or not it
// checked that it may.
func (c *OwnerChecker) Executed(now time.Time, service topology.ServiceName, server topology.ServerName, position topology.Hash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, other := range c.grants[service] {
		if name != server && other.until.After(now) && topology.FindRange(other.ranges, position) >= 0 {
			c.add(now, "G1", "service %s: %s ran a request for %016x, which %s owns", service, server, uint64(position), name)
		}
	}
}

// Stored notes that the assignment write with id is in the store.
func (c *OwnerChecker) Stored(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stored[id] = true
}

// Acknowledged notes that a host acts on the assignment write with id as done.
func (c *OwnerChecker) Acknowledged(now time.Time, service topology.ServiceName, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.stored[id] {
		c.add(now, "G2", "service %s: assignment write %s is acknowledged but not in the store", service, id)
	}
}

// Led notes that host has the authority of a leader until the given time. A
// time that is not after now ends it.
func (c *OwnerChecker) Led(now time.Time, host topology.HostName, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.led[host] = until
	if !until.After(now) {
		return
	}
	for other, end := range c.led {
		if other != host && end.After(now) {
			c.add(now, "one leader", "%s and %s both have authority", host, other)
		}
	}
}

// Owner returns the server that owns position at now.
func (c *OwnerChecker) Owner(now time.Time, service topology.ServiceName, position topology.Hash) (topology.ServerName, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, g := range c.grants[service] {
		if g.until.After(now) && topology.FindRange(g.ranges, position) >= 0 {
			return name, true
		}
	}
	return "", false
}

// Violations returns the breaches found so far, at most the first 100.
func (c *OwnerChecker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Violation(nil), c.violations...)
}

func (c *OwnerChecker) add(at time.Time, guarantee Guarantee, format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, Violation{At: at, Guarantee: guarantee, Detail: fmt.Sprintf(format, args...)})
	}
}

// firstOverlap returns the first common part of two sorted lists.
func firstOverlap(a, b []topology.Range) (topology.Range, bool) {
	for i, j := 0, 0; i < len(a) && j < len(b); {
		if a[i].Overlaps(b[j]) {
			return topology.Range{First: max(a[i].First, b[j].First), Last: min(a[i].Last, b[j].Last)}, true
		}
		if a[i].Last < b[j].Last {
			i++
		} else {
			j++
		}
	}
	return topology.Range{}, false
}
