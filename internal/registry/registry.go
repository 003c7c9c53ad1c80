// Package registry keeps the list of servers as the store's entries tell it.
//
// A server that has been seen leaving stays so for its whole life: an older
// reading can't make it usable again.
package registry

import (
	"encoding/binary"
	"maps"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiasill/cassiasill/internal/boottime"
)

// ReturnGrace is how long entries may be missing after an outage of the store
// before their servers count as gone; living servers are back within 2 s.
const ReturnGrace = 2200 * time.Millisecond

// OutageAfter is how long reads must have failed before missing entries get
// ReturnGrace. Shorter gaps do not outlast three heartbeats.
const OutageAfter = 1500 * time.Millisecond

// Server is one life of a server.
type Server struct {
	ID               string
	Service          string
	Address          string
	AvailabilityZone string
	// Slots is how many requests it runs at the same time.
	Slots int
	// Draining is true once the server has announced that it leaves.
	Draining bool
	// Born is the Unix millisecond of its start, which tells lives apart.
	Born int64
	// Warmup is how long the server stays slow after its start.
	Warmup time.Duration
	// Speed is its measured speed relative to its service's mean; 0 if unknown.
	Speed float64
}

// List is an immutable list of servers.
type List struct {
	Servers map[string]Server
	// Digest is the same for equal lists, whoever has made them; 0 is that of
	// an empty list.
	Digest uint64
}

// NewList returns a List of the servers, which must not change afterwards.
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
	for _, number := range []uint64{uint64(s.Slots), draining, uint64(s.Born), uint64(s.Warmup), math.Float64bits(s.Speed)} {
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, number))
	}
	return d.Sum64()
}

// ChangesSince returns the servers that are not in base as they are here, and
// the IDs of those that only base has.
func (l *List) ChangesSince(base *List) (changed []Server, removed []string) {
	for id, s := range l.Servers {
		if old, ok := base.Servers[id]; !ok || old != s {
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

// WithChanges returns the list that ChangesSince compared with l.
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

// Tracker turns readings of all entries into lists.
type Tracker struct {
	servers  map[string]Server
	failing  boottime.Instant // since when readings fail; 0 if they do not
	graceEnd boottime.Instant
}

// NewTracker returns a Tracker that knows no server.
func NewTracker() *Tracker {
	return &Tracker{servers: make(map[string]Server)}
}

// Observe takes a complete reading that began at the given instant and reports
// whether the list changed.
func (t *Tracker) Observe(servers []Server, began boottime.Instant) bool {
	if t.failing != 0 && began.Sub(t.failing) > OutageAfter {
		t.graceEnd = began.Add(ReturnGrace)
	}
	t.failing = 0
	changed := false
	seen := make(map[string]bool, len(servers))
	for _, s := range servers {
		seen[s.ID] = true
		old, known := t.servers[s.ID]
		if known && old.Born == s.Born {
			s.Draining = s.Draining || old.Draining
			s.Speed = old.Speed
		}
		// The remaining warmup counts down with each heartbeat; only its start
		// is news.
		if known && old.Born == s.Born && s.Warmup > 0 && old.Warmup > 0 {
			s.Warmup = old.Warmup
		}
		if !known || old != s {
			t.servers[s.ID] = s
			changed = true
		}
	}
	for id := range t.servers {
		if !seen[id] && !began.Before(t.graceEnd) {
			delete(t.servers, id)
			changed = true
		}
	}
	return changed
}

// SetSpeed notes the measured speed of a server and reports whether the list
// changed by it. Small differences are not news.
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

// Failed notes that a reading that began at the given instant failed.
func (t *Tracker) Failed(began boottime.Instant) {
	if t.failing == 0 {
		t.failing = began
	}
}

// Reached notes that another host reached the store at the given instant: then
// the failures of this reader's calls were not an outage of the store, in which
// entries lapse, and what is missing has left.
func (t *Tracker) Reached(at boottime.Instant) {
	if t.failing != 0 && at > t.failing {
		t.failing = at
	}
}

// Seed takes over what another reader has learned, speeds above all. Readings
// of the Tracker's own replace it.
func (t *Tracker) Seed(list *List) {
	for id, s := range list.Servers {
		t.servers[id] = s
	}
}
