package dispatch

import (
	"maps"
	"time"
)

// Assumptions about the connections of hosts to a server.
const (
	// idleTimeout is how long an idle connection is assumed to be usable, and
	// unrepeatableIdleTimeout how long for a request that must not be repeated. Both
	// are a little below the timeouts of the hosts, since the decision takes time to
	// arrive there.
	idleTimeout             = 6 * time.Second
	unrepeatableIdleTimeout = 4600 * time.Millisecond
	// maxTrackedHosts bounds the hosts that are tracked for one server.
	maxTrackedHosts = 256
)

// idleConnections records which hosts have an idle connection to a server, one per
// host, and since when.
type idleConnections struct{ idleSince map[uint64]Instant }

// markIdle records that a request of the host has succeeded, which leaves its
// connection idle.
func (c *idleConnections) markIdle(now Instant, hostID uint64) {
	if c.idleSince == nil {
		c.idleSince = make(map[uint64]Instant)
	}
	if len(c.idleSince) >= maxTrackedHosts {
		maps.DeleteFunc(c.idleSince, func(_ uint64, at Instant) bool { return now.Sub(at) > idleTimeout })
	}
	if len(c.idleSince) < maxTrackedHosts {
		c.idleSince[hostID] = now
	}
}

// markInUse records that a request of the host uses the connection.
func (c *idleConnections) markInUse(hostID uint64) { delete(c.idleSince, hostID) }

// hasUsable reports whether the host has an idle connection that a request can use.
func (c *idleConnections) hasUsable(now Instant, hostID uint64, repeatable bool) bool {
	at, ok := c.idleSince[hostID]
	if !ok {
		return false
	}
	if repeatable {
		return now.Sub(at) <= idleTimeout
	}
	return now.Sub(at) <= unrepeatableIdleTimeout
}
