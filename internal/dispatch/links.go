package dispatch

import (
	"maps"
	"time"
)

// Limits of what is assumed of connections to a server.
const (
	// keptFor is how long an idle connection is assumed to be usable, and freshFor
	// how long for a request that must not be repeated. Both are a little below
	// what hosts do, since the answer takes time to arrive.
	keptFor  = 6 * time.Second
	freshFor = 4600 * time.Millisecond
	// maxLinks bounds the hosts that are remembered for one server.
	maxLinks = 256
)

// links remembers which hosts have an idle connection to a server, one a host,
// and since when.
type links struct{ since map[uint64]Instant }

// freed notes that a request of the host has ended well.
func (l *links) freed(now Instant, host uint64) {
	if l.since == nil {
		l.since = make(map[uint64]Instant)
	}
	if len(l.since) >= maxLinks {
		maps.DeleteFunc(l.since, func(_ uint64, at Instant) bool { return now.Sub(at) > keptFor })
	}
	if len(l.since) < maxLinks {
		l.since[host] = now
	}
}

// taken notes that a request of the host uses its connection.
func (l *links) taken(host uint64) { delete(l.since, host) }

// idle reports whether the host has a connection that a request can use.
func (l *links) idle(now Instant, host uint64, repeatable bool) bool {
	at, ok := l.since[host]
	if !ok {
		return false
	}
	if repeatable {
		return now.Sub(at) <= keptFor
	}
	return now.Sub(at) <= freshFor
}
