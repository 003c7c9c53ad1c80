package ratelimit

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
)

// All returns every known limit as a message to another host, ended ones included.
func (t *Table) All() []*fleetpb.RateLimit { return t.ChangedSince(0) }

// ChangedSince returns the limits that have begun, changed or ended since a version of
// the Table.
func (t *Table) ChangedSince(version uint64) []*fleetpb.RateLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*fleetpb.RateLimit
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		if e := t.entries[id]; version == 0 || e.changedIn > version {
			out = append(out, e.toProto(t.clock()))
		}
	}
	return out
}

// Get returns what is known about one server's limit, nil if it never had one.
func (t *Table) Get(server string) *fleetpb.RateLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[server]; e != nil {
		return e.toProto(t.clock())
	}
	return nil
}

// TakeUnreported returns what this host has heard from servers since the last call,
// or, for a receiver that knows nothing yet, every known limit.
func (t *Table) TakeUnreported(all bool) []*fleetpb.RateLimit {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*fleetpb.RateLimit
	for _, e := range t.entries {
		if e.unreported || all {
			out = append(out, e.toProto(t.clock()))
			e.unreported = false
		}
	}
	return out
}

// RestoreUnreported makes limits that did not reach their receiver unreported again.
func (t *Table) RestoreUnreported(limits []*fleetpb.RateLimit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, limit := range limits {
		if e := t.entries[limit.Server]; e != nil {
			e.unreported = true
		}
	}
}

// Merge records limits that another host knows. Source names that host in the log.
func (t *Table) Merge(limits []*fleetpb.RateLimit, source string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	for _, limit := range limits {
		if limit == nil || limit.Server == "" {
			continue
		}
		t.merge(Limit{Server: Server{ID: limit.Server, Service: limit.Service, Incarnation: limit.Born}, Rate: limit.Rate,
			Since: now.Add(-fromMillis(limit.InForceMillis)), ReportedAt: now.Add(-fromMillis(limit.AgeMillis))}, source, false)
	}
}

// toProto returns the limit as a message that is sent now.
func (l *Limit) toProto(now boottime.Instant) *fleetpb.RateLimit {
	return &fleetpb.RateLimit{Server: l.ID, Service: l.Service, Born: l.Incarnation, Rate: l.Rate,
		AgeMillis: toMillis(now.Sub(l.ReportedAt)), InForceMillis: toMillis(now.Sub(l.Since))}
}

// toMillis returns d in milliseconds, within the range of uint32.
func toMillis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

func fromMillis(v uint32) time.Duration { return time.Duration(v) * time.Millisecond }
