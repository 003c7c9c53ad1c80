// Package registry keeps the list of servers that are registered in the store.
//
// An incarnation is one run of a server process from start to end. Once an
// incarnation has been seen draining it remains so: an older read of the store
// can't make it usable again.
package registry

import (
	"encoding/binary"
	"maps"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiasill/cassiasill/internal/boottime"
)

// PostOutageGrace is how long entries may be missing after an outage of the store
// before their servers are removed. Running servers register again within 2 s.
const PostOutageGrace = 2200 * time.Millisecond

// MinOutage is how long reads must have failed before missing entries get
// PostOutageGrace. A shorter outage lasts for less than three heartbeats, so no
// entry expires in it.
const MinOutage = 1500 * time.Millisecond

// Server is one incarnation of a server.
type Server struct {
	ID               string
	Service          string
	Address          string
	AvailabilityZone string
	// Slots is how many requests the server runs concurrently.
	Slots int
	// Draining is true once the server has announced that it shuts down.
	Draining bool
	// Incarnation is the Unix millisecond of the server's start. It distinguishes
	// the runs of server processes with the same ID.
	Incarnation int64
	// Warmup is how long the server stays cold, as first read since it turned cold; 0 if
	// it is warm.
	Warmup time.Duration
	// Speed is the measured speed relative to the mean of the service; 0 if unknown.
	Speed float64
}

// List is an immutable list of servers.
type List struct {
	Servers map[string]Server
	// Digest is a hash of the servers in any order: equal lists have equal digests
	// on every host. It is 0 for an empty list.
	Digest uint64
}

// NewList returns a List of the servers. The map must not be modified afterwards.
func NewList(servers map[string]Server) *List {
	list := &List{Servers: servers}
	for _, s := range servers {
		list.Digest += s.digest()
	}
	return list
}

// digest returns a hash of all fields.
func (s Server) digest() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, text := range []string{s.ID, s.Service, s.Address, s.AvailabilityZone} {
		_, _ = d.WriteString(text) // never fails
		_, _ = d.Write([]byte{0})
	}
	draining := uint64(0)
	if s.Draining {
		draining = 1
	}
	for _, number := range []uint64{uint64(s.Slots), draining, uint64(s.Incarnation), uint64(s.Warmup), math.Float64bits(s.Speed)} {
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, number))
	}
	return d.Sum64()
}

// ChangesSince returns the servers that are new or differ from those in base, and
// the IDs of those that are only in base.
func (l *List) ChangesSince(base *List) (changed []Server, removed []string) {
	for id, s := range l.Servers {
		if previous, ok := base.Servers[id]; !ok || previous != s {
			changed = append(changed, s)
		}
	}
	for id := range base.Servers {
		if _, ok := l.Servers[id]; !ok {
			removed = append(removed, id)
		}
	}
	return changed, removed
}

// WithChanges applies the result of ChangesSince to l, the base, and returns the
// later list.
func (l *List) WithChanges(changed []Server, removed []string) *List {
	servers := maps.Clone(l.Servers)
	if servers == nil {
		servers = make(map[string]Server, len(changed))
	}
	for _, s := range changed {
		servers[s.ID] = s
	}
	for _, id := range removed {
		delete(servers, id)
	}
	return NewList(servers)
}

// Tracker computes the list of servers from successive reads of all entries.
type Tracker struct {
	servers      map[string]Server
	failingSince boottime.Instant // when reads began to fail; 0 if they succeed
	lastFailure  boottime.Instant // when the last failed read began
	graceEnd     boottime.Instant
	// outageFrom and outageTo are the outage that the grace period is for.
	outageFrom, outageTo boottime.Instant
	// restoreGraceEnd is until when reads may come from a restored store whose
	// entries have not been written again.
	restoreGraceEnd boottime.Instant
	removed         map[string]int64 // incarnations of removed servers, by ID
	// warmups holds the remaining warmups that were read last, by ID.
	warmups map[string]time.Duration
}

// NewTracker returns a Tracker with an empty list.
func NewTracker() *Tracker {
	return &Tracker{servers: make(map[string]Server), removed: make(map[string]int64), warmups: make(map[string]time.Duration)}
}

// Observe updates the list with a complete read that began at the given instant,
// and reports whether the list changed.
func (t *Tracker) Observe(servers []Server, began boottime.Instant) bool {
	if t.failingSince != 0 && began.Sub(t.failingSince) > MinOutage {
		t.graceEnd = began.Add(PostOutageGrace)
		t.outageFrom, t.outageTo = t.failingSince, began
	}
	t.failingSince = 0
	changed := false
	seen := make(map[string]bool, len(servers))
	restored := began.Before(t.restoreGraceEnd)
	for _, s := range servers {
		previous, known := t.servers[s.ID]
		if restored && (known && s.Incarnation < previous.Incarnation || !known && s.Incarnation <= t.removed[s.ID]) {
			// The entry is from before the server's last start or its end.
			seen[s.ID] = known
			continue
		}
		seen[s.ID] = true
		if known && previous.Incarnation == s.Incarnation {
			s.Draining = s.Draining || previous.Draining
			s.Speed = previous.Speed
		}
		s.Warmup = t.listedWarmup(previous, s, restored)
		if !known || previous != s {
			t.servers[s.ID] = s
			changed = true
		}
	}
	for id := range t.servers {
		if !seen[id] && !began.Before(t.graceEnd) && !restored {
			t.removed[id] = t.servers[id].Incarnation
			delete(t.servers, id)
			delete(t.warmups, id)
			changed = true
		}
	}
	return changed
}

// SetSpeed sets the measured speed of a server and reports whether the list
// changed. Small differences are ignored, so that they are not sent to every host.
func (t *Tracker) SetSpeed(id string, speed float64) bool {
	s, ok := t.servers[id]
	if !ok || (s.Speed > 0 && speed > s.Speed*0.85 && speed < s.Speed*1.18) {
		return false
	}
	s.Speed = speed
	t.servers[id] = s
	return true
}

// List returns the current list.
func (t *Tracker) List() *List {
	return NewList(maps.Clone(t.servers))
}

// RecordReadFailure records that a read that began at the given instant failed.
func (t *Tracker) RecordReadFailure(began boottime.Instant) {
	t.lastFailure = max(t.lastFailure, began)
	if t.failingSince == 0 {
		t.failingSince = began
	}
}

// RecordRestore records that reads from the given instant on are from a store that
// was restored from an older copy. Servers that started or left since the copy have
// outdated entries until they write again or their entries expire.
func (t *Tracker) RecordRestore(at boottime.Instant) {
	t.restoreGraceEnd = at.Add(PostOutageGrace)
}

// RecordStoreReachable records that another host reached the store at the given
// instant. Failed reads of this host before it were then no outage of the store, in
// which entries expire without being renewed: servers whose entries are missing
// have left. A new leader may learn of it only after its own first read.
func (t *Tracker) RecordStoreReachable(at boottime.Instant) {
	if at > t.outageFrom && at < t.outageTo {
		if t.outageFrom = at; t.outageTo.Sub(at) <= MinOutage {
			t.graceEnd = 0
		}
	}
	t.forgiveFailures(at)
}

// forgiveFailures forgets the failed reads from before the instant, at which another
// host reached the store. If none failed after it, the store counts as reachable since:
// a host that follows does not read it, which is no outage.
func (t *Tracker) forgiveFailures(before boottime.Instant) {
	switch {
	case t.lastFailure <= before:
		t.failingSince = 0
	case t.failingSince != 0:
		t.failingSince = max(t.failingSince, before)
	}
}

// Gap is a time for which nobody known to a host has confirmed the servers.
type Gap struct{ From, To boottime.Instant }

// Seed replaces the servers by those of a list that another Tracker has computed from a
// read at the given instant. What this Tracker has missed since its own last read does
// not count: a server that is not in the list has left, and reads of this host that
// failed before the instant say nothing about the store. The gap is the last one before
// the instant that was long enough for entries to expire, or zero. The store was away in
// it only if a read of this host failed in it too; then missing entries get
// PostOutageGrace from its end on.
func (t *Tracker) Seed(list *List, at boottime.Instant, gap Gap) {
	for id, s := range t.servers {
		if _, listed := list.Servers[id]; !listed {
			t.removed[id] = s.Incarnation
		}
	}
	t.servers, t.warmups = maps.Clone(list.Servers), make(map[string]time.Duration)
	if t.servers == nil {
		t.servers = make(map[string]Server)
	}
	t.forgiveFailures(at)
	t.graceEnd, t.outageFrom, t.outageTo = 0, 0, 0
	if gap.From < t.lastFailure && t.lastFailure <= gap.To {
		t.graceEnd = gap.To.Add(PostOutageGrace)
	}
}
