package detour

import (
	"maps"
	"sync"
	"time"
)

const (
	// minFailedServers is how many different servers must have failed since the last
	// success before the host counts as cut off. Single servers fail by themselves.
	minFailedServers = 3
	// afterCut is how long after the end of a cut failures still say nothing about
	// the servers: requests that were sent before time out.
	afterCut = time.Second
)

// Tracker judges from the connection attempts of one host whether it is cut off from
// all servers.
type Tracker struct {
	mu       sync.Mutex
	onChange func(cut bool, failed int) // never nil
	// failed holds the servers that could not be reached since the last success.
	failed map[string]time.Time
	// addresses are those of the listed servers that are not leaving; nil if unknown.
	addresses map[string]bool
	cutSince  time.Time
	cutEnded  time.Time
}

// NewTracker returns a Tracker of a host that is not cut off.
func NewTracker() *Tracker {
	return &Tracker{failed: make(map[string]time.Time), onChange: func(bool, int) {}}
}

// OnChange sets a function that is called at the beginning and the end of a cut with
// the number of servers that failed.
func (t *Tracker) OnChange(f func(cut bool, failed int)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onChange = f
}

// SetAddresses sets the addresses of the listed servers that are not leaving. Failures at
// others do not count: a leader that releases the ranges of many ended servers fails to
// connect to one after the other, and must not take itself for cut off and resign.
func (t *Tracker) SetAddresses(addresses map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addresses = addresses
	maps.DeleteFunc(t.failed, func(address string, _ time.Time) bool { return !addresses[address] })
}

// RecordSuccess records that a connection to a server was opened.
func (t *Tracker) RecordSuccess(now time.Time) {
	t.mu.Lock()
	failed := len(t.failed)
	clear(t.failed)
	ended := !t.cutSince.IsZero()
	if ended {
		t.cutSince, t.cutEnded = time.Time{}, now
	}
	onChange := t.onChange
	t.mu.Unlock()
	if ended {
		onChange(false, failed)
	}
}

// RecordFailure records that no connection to the server's address could be opened.
func (t *Tracker) RecordFailure(server string, now time.Time) {
	t.mu.Lock()
	if t.addresses != nil && !t.addresses[server] {
		t.mu.Unlock()
		return
	}
	if _, known := t.failed[server]; !known {
		t.failed[server] = now
	}
	required := minFailedServers
	if t.addresses != nil {
		required = min(required, len(t.addresses))
	}
	failed := len(t.failed)
	began := t.cutSince.IsZero() && failed >= required
	if began {
		t.cutSince = now
	}
	onChange := t.onChange
	t.mu.Unlock()
	if began {
		onChange(true, failed)
	}
}

// IsCut reports whether the host is cut off from all servers.
func (t *Tracker) IsCut() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.cutSince.IsZero()
}

// CutSince returns since when the host is cut off, and from how many servers that it
// has tried to reach; the time is zero if it is not cut off.
func (t *Tracker) CutSince() (since time.Time, failed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cutSince, len(t.failed)
}

// MayMislead reports whether the failure of a request says nothing about its server,
// because the host is or may be cut off.
func (t *Tracker) MayMislead(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.cutSince.IsZero() || len(t.failed) >= minFailedServers-1 || !t.cutEnded.IsZero() && now.Sub(t.cutEnded) < afterCut
}
