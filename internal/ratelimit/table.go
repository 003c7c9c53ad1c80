package ratelimit

import (
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/boottime"
)

const (
	// maxEntries bounds the servers in a Table.
	maxEntries = 4096
	// endedTTL is how long an ended limit is kept, so that older reports of it are
	// recognized as such. It exceeds the time that a report takes between hosts.
	endedTTL = time.Minute
)

// Server identifies one incarnation of a server.
type Server struct {
	ID          string
	Service     string
	Incarnation int64
}

// Limit is what a host knows about the limit of one server.
type Limit struct {
	Server
	// Rate is in requests per second of all hosts together; 0 if the limit has
	// ended.
	Rate float64
	// Since is when the server first announced a limit, without an end since then.
	Since boottime.Instant
	// ReportedAt is when the server last stated this.
	ReportedAt boottime.Instant
}

// Status is a Limit with what this host has done about it.
type Status struct {
	Limit
	// Allowed counts the requests that this host was allowed to send since the limit
	// was announced, and Sent those that it sent.
	Allowed, Sent int64
}

// entry is a server's limit in a Table.
type entry struct {
	Status
	unreported bool // not yet reported to the leader
	// changedIn is the Table's version in which the limit began, changed or ended last.
	changedIn uint64
}

// Table holds the limits that a host knows. It is safe for concurrent use.
type Table struct {
	clock boottime.Clock
	log   *zap.Logger

	mu       sync.Mutex
	entries  map[string]*entry // by server ID
	version  uint64
	onChange []func(Limit)
	invalid  map[string]int64 // incarnations whose invalid limit was logged, by server ID
}

// NewTable returns an empty Table.
func NewTable(clock boottime.Clock, log *zap.Logger) *Table {
	return &Table{clock: clock, log: log.Named("ratelimit"), entries: make(map[string]*entry), invalid: make(map[string]int64)}
}

// Now returns the time on the Table's clock.
func (t *Table) Now() boottime.Instant { return t.clock() }

// OnChange calls f for each limit that begins, changes or ends. f must not call the
// Table.
func (t *Table) OnChange(f func(Limit)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onChange = append(t.onChange, f)
}

// Version changes with each limit that begins, changes or ends.
func (t *Table) Version() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Observe records what the response to a request says that was sent the given time ago.
//
// The end of a limit counts from the sending and its announcement from now: a response
// without a limit that was on its way when the limit was announced is older.
func (t *Table) Observe(server Server, announcement Announcement, rate float64, sentAgo time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch announcement {
	case Limited:
		now := t.clock()
		t.merge(Limit{Server: server, Rate: rate, Since: now, ReportedAt: now}, "server", true)
	case Unlimited:
		if t.entries[server.ID] != nil {
			t.merge(Limit{Server: server, ReportedAt: t.clock().Add(-sentAgo)}, "server", true)
		}
	}
}

// ReportInvalid logs an invalid limit, once for each incarnation of a server.
func (t *Table) ReportInvalid(server Server, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if incarnation, logged := t.invalid[server.ID]; logged && incarnation == server.Incarnation {
		return
	}
	if len(t.invalid) >= maxEntries {
		clear(t.invalid)
	}
	t.invalid[server.ID] = server.Incarnation
	t.log.Warn("ratelimit: invalid limit ignored", zap.String("server", server.ID), zap.String("service", server.Service), zap.Error(err))
}

// merge replaces the known limit of a server by a later report. A report about a
// later incarnation is always the later one.
func (t *Table) merge(reported Limit, source string, own bool) {
	known := t.entries[reported.ID]
	switch {
	case reported.Rate != 0 && !isValidRate(reported.Rate):
		return
	case known == nil && len(t.entries) >= maxEntries:
		return
	case known == nil:
		known = &entry{Status: Status{Limit: Limit{Server: reported.Server}}}
		t.entries[reported.ID] = known
	case reported.Incarnation < known.Incarnation, reported.Incarnation == known.Incarnation && reported.ReportedAt <= known.ReportedAt:
		return
	}
	old := known.Status
	if old.Incarnation == reported.Incarnation && old.Rate > 0 && reported.Rate > 0 {
		reported.Since = min(old.Since, reported.Since)
	}
	if reported.Service == "" {
		reported.Service = old.Service
	}
	known.Limit = reported
	known.unreported = known.unreported || own
	if old.Incarnation == reported.Incarnation && old.Rate == reported.Rate {
		return
	}
	t.announce(old, known, source)
}

// announce logs a changed limit and tells the observers.
func (t *Table) announce(old Status, known *entry, source string) {
	begins := old.Rate == 0 || old.Incarnation != known.Incarnation
	if begins {
		known.Allowed, known.Sent = 0, 0
	}
	t.version++
	known.changedIn = t.version
	switch {
	case known.Rate > 0 && begins:
		t.logChange("ratelimit: limit announced", known.Since, old, known, source)
	case known.Rate > 0:
		t.logChange("ratelimit: limit changed", old.Since, old, known, source)
	case old.Rate > 0:
		t.logChange("ratelimit: limit ended", old.Since, old, known, source)
	}
	for _, f := range t.onChange {
		f(known.Limit)
	}
}

// logChange logs a change of a limit that the server first announced at since, with
// what this host has done under the former value.
func (t *Table) logChange(message string, since boottime.Instant, old Status, known *entry, source string) {
	t.log.Info(message, zap.String("server", known.ID), zap.String("service", known.Service), zap.Float64("rate", known.Rate), zap.Float64("former_rate", old.Rate),
		zap.String("source", source), zap.Duration("in_force", t.clock().Sub(since)), zap.Int64("allowed", old.Allowed), zap.Int64("sent", old.Sent))
}

// CountAllowed counts a request that this host may send to a server.
func (t *Table) CountAllowed(server string) {
	t.count(server, func(s *Status) { s.Allowed++ })
}

// CountSent counts a request that this host has sent to a server.
func (t *Table) CountSent(server string) {
	t.count(server, func(s *Status) { s.Sent++ })
}

func (t *Table) count(server string, add func(*Status)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[server]; e != nil && e.Rate > 0 {
		add(&e.Status)
	}
}

// SetServers removes the limits of servers that are no longer listed or have
// restarted. Incarnation returns the current incarnation of a listed server.
func (t *Table) SetServers(incarnation func(id string) (int64, bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock()
	for id, e := range t.entries {
		current, listed := incarnation(id)
		switch {
		case listed && current > e.Incarnation:
			if e.Rate > 0 {
				old := e.Status
				e.Limit = Limit{Server: Server{ID: id, Service: e.Service, Incarnation: current}, ReportedAt: now}
				t.announce(old, e, "restart")
			}
		case now.Sub(e.ReportedAt) > endedTTL && (!listed || e.Rate == 0):
			delete(t.entries, id)
			t.version++
			for _, f := range t.onChange {
				f(Limit{Server: e.Server})
			}
		}
	}
}

// Statuses returns the limits in force, ordered by server.
func (t *Table) Statuses() []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Status
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		if e := t.entries[id]; e.Rate > 0 {
			out = append(out, e.Status)
		}
	}
	return out
}
