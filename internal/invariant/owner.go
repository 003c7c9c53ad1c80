package invariant

import (
	"fmt"
	"sync"
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// Violation is one violation of a guarantee.
type Violation struct {
	At        time.Time
	Guarantee Guarantee
	Detail    string
}

// String describes the violation.
func (v Violation) String() string {
	return fmt.Sprintf("%s %s: %s", v.At.Format("15:04:05.000000"), v.Guarantee, v.Detail)
}

// maxViolations bounds memory use; later violations usually follow from the first.
const maxViolations = 100

// OwnerChecker checks G1, that at most one server owns a key at any time, the part
// of G2 that an acknowledged assignment is in the store, and that at most one host
// is the leader. The test servers report the grants that they accept. All times
// must come from one clock, which defines true time. Two grants overlap in time
// only if both are valid when one of them is accepted, so checks at these times
// cover every moment.
type OwnerChecker struct {
	mu           sync.Mutex
	grants       map[topology.ServiceName]map[topology.ServerName]grant
	storedWrites map[string]bool
	leaderUntil  map[topology.HostName]time.Time
	violations   []Violation
}

type grant struct {
	ranges []topology.Range // sorted, disjoint
	until  time.Time
}

// NewOwnerChecker returns a checker without grants.
func NewOwnerChecker() *OwnerChecker {
	return &OwnerChecker{
		grants:       make(map[topology.ServiceName]map[topology.ServerName]grant),
		storedWrites: make(map[string]bool),
		leaderUntil:  make(map[topology.HostName]time.Time),
	}
}

// Granted records that server owns exactly ranges until the given time or until a
// later call for the same server, which replaces this one.
func (c *OwnerChecker) Granted(now time.Time, service topology.ServiceName, server topology.ServerName, ranges []topology.Range, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	accepted := grant{ranges: topology.NormalizeRanges(ranges), until: until}
	servers := c.grants[service]
	if servers == nil {
		servers = make(map[topology.ServerName]grant)
		c.grants[service] = servers
	}
	servers[server] = accepted
	if !until.After(now) {
		return
	}
	for name, other := range servers {
		if name == server || !other.until.After(now) {
			continue
		}
		if r, ok := firstOverlap(accepted.ranges, other.ranges); ok {
			c.addViolation(now, "G1", "service %s: %s and %s both own %s", service, server, name, r)
		}
	}
}

// Dropped records that server owns nothing because its process has ended.
func (c *OwnerChecker) Dropped(service topology.ServiceName, server topology.ServerName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.grants[service], server)
}

// Executed records that server executes a request for position, whether or not the
// server checked that it owns the position.
func (c *OwnerChecker) Executed(now time.Time, service topology.ServiceName, server topology.ServerName, position topology.Hash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, other := range c.grants[service] {
		if name != server && other.until.After(now) && topology.FindRange(other.ranges, position) >= 0 {
			c.addViolation(now, "G1", "service %s: %s ran a request for %016x, which %s owns", service, server, uint64(position), name)
		}
	}
}

// Stored records that the assignment write with id is in the store.
func (c *OwnerChecker) Stored(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storedWrites[id] = true
}

// Acknowledged records that a host relies on the assignment write with id.
func (c *OwnerChecker) Acknowledged(now time.Time, service topology.ServiceName, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.storedWrites[id] {
		c.addViolation(now, "G2", "service %s: assignment write %s is acknowledged but not in the store", service, id)
	}
}

// Led records that host has the leader lease until the given time. A time that is
// not after now ends the lease.
func (c *OwnerChecker) Led(now time.Time, host topology.HostName, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaderUntil[host] = until
	if !until.After(now) {
		return
	}
	for other, end := range c.leaderUntil {
		if other != host && end.After(now) {
			c.addViolation(now, "one leader", "%s and %s both have authority", host, other)
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

// Violations returns the violations found so far, at most the first 100.
func (c *OwnerChecker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Violation(nil), c.violations...)
}

func (c *OwnerChecker) addViolation(at time.Time, guarantee Guarantee, format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, Violation{At: at, Guarantee: guarantee, Detail: fmt.Sprintf(format, args...)})
	}
}

// firstOverlap returns the first intersection of two sorted lists of ranges.
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
