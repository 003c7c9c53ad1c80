// Package quarantine detects requests that crash upstreams and stops sending
// them.
//
// A request is identified by a fingerprint of its caller, method, target and
// body. When an upstream crashes while it executes the request, the fingerprint
// becomes suspected. The second crash quarantines it for a limited time.
//
// Before any suspicion, attempts with one fingerprint are in flight on at most
// two servers at a time. While it is suspected, only one attempt is in flight.
// One host therefore never loses more than two servers to one fingerprint.
// Across hosts, the bound holds once the other hosts have imported the first
// suspicion.
package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

const (
	// MaxCrashedServers is the number of servers that one fingerprint may
	// crash.
	MaxCrashedServers = 2
	// SuspicionDuration is the duration of a suspicion that no later attempt
	// confirms or clears.
	SuspicionDuration = 30 * time.Second
	// QuarantineDuration is the duration of a quarantine. Afterwards an
	// upstream that may have been repaired is tried again.
	QuarantineDuration = 5 * time.Minute
	// DefaultMaxEntries bounds the local entries of one host, at about 200
	// bytes each.
	DefaultMaxEntries = 4096
	// peerTrialRetryAfter is the retry delay sent to callers while another host
	// tries a suspected request. The result is known after about one execution.
	peerTrialRetryAfter = time.Second
)

// Fingerprint identifies equal requests. It is part of a cryptographic hash, so
// that a caller cannot put another caller's request into quarantine.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(caller topology.Caller, method, target string, body []byte) Fingerprint {
	// The length before each field keeps adjacent fields distinct.
	buffer := make([]byte, 0, 256)
	for _, field := range []string{string(caller), method, target} {
		buffer = binary.AppendUvarint(buffer, uint64(len(field)))
		buffer = append(buffer, field...)
	}
	if len(body) > 0 {
		sum := sha256.Sum256(body)
		buffer = append(buffer, sum[:]...)
	}
	sum := sha256.Sum256(buffer)
	return Fingerprint(sum[:16])
}

// Action is what to do with an attempt.
type Action uint8

const (
	// Proceed means that the attempt may be sent. EndAttempt must be called for
	// its permit.
	Proceed Action = iota
	// Wait means that another attempt must end first; see Decision.Changed.
	Wait
	// Redirect means that the attempt may be sent to Decision.Server only.
	Redirect
	// Refuse means that the fingerprint is quarantined or is being tried by
	// another host.
	Refuse
)

// Decision is the result of BeginAttempt.
type Decision struct {
	Action     Action
	Permit     Permit
	Server     topology.ServerName
	RetryAfter time.Duration
	// Changed is closed when the attempt should call BeginAttempt again. It is
	// set for Wait and Redirect.
	Changed <-chan struct{}
}

// Permit is the permission to have one attempt in flight.
type Permit struct {
	fingerprint Fingerprint
	server      topology.ServerName
	startEvent  uint64
}

// Result is how an attempt ended.
type Result uint8

const (
	// Inconclusive means that the attempt was canceled, timed out, was refused
	// or failed without a crash.
	Inconclusive Result = iota
	// Completed means that the upstream responded. This clears a suspicion.
	Completed
	// Crashed means that the upstream crashed while it executed the request.
	Crashed
)

// crashCount is the number of crashes of one server under one fingerprint.
type crashCount struct {
	server    topology.ServerName
	count     int
	lastEvent uint64 // event number of the last crash, not shared with peers
}

// entry is the state of a suspected or quarantined fingerprint.
type entry struct {
	crashes     []crashCount
	quarantined bool
	expiresAt   time.Time
}

// inFlightAttempts holds the attempts of one fingerprint that are in flight, by
// server.
type inFlightAttempts struct {
	total   int
	servers []serverCount
}

type serverCount struct {
	name     topology.ServerName
	attempts int
}

// Table holds the suspected and quarantined fingerprints of this host and of
// its peers. Its methods are safe for concurrent use.
type Table struct {
	maxEntries int

	mu        sync.Mutex
	lastEvent uint64
	local     map[Fingerprint]*entry
	inFlight  map[Fingerprint]*inFlightAttempts
	peers     map[topology.HostName]peerSnapshot
	version   topology.Version
	changed   chan struct{}
}

// New returns an empty table. The term orders its snapshots after those of
// earlier runs of the same host. If maxEntries is zero, DefaultMaxEntries is
// used.
func New(term topology.Term, maxEntries int) *Table {
	return &Table{
		maxEntries: cmp.Or(maxEntries, DefaultMaxEntries),
		local:      make(map[Fingerprint]*entry),
		inFlight:   make(map[Fingerprint]*inFlightAttempts),
		peers:      make(map[topology.HostName]peerSnapshot),
		version:    topology.Version{Term: term},
		changed:    make(chan struct{}),
	}
}

// Check reports whether a request with the fingerprint is refused now, and when
// to retry it. A request that passes may still have to wait in BeginAttempt.
func (t *Table) Check(f Fingerprint, now time.Time) (refused bool, retryAfter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.isRefused(f, now)
}

func (t *Table) isRefused(f Fingerprint, now time.Time) (bool, time.Duration) {
	local := t.localEntry(f, now)
	if local == nil && len(t.peers) == 0 {
		return false, 0
	}
	total, quarantinedUntil, byPeer := t.sumCrashes(f, local, now)
	if total >= MaxCrashedServers || !quarantinedUntil.IsZero() {
		return true, max(quarantinedUntil.Sub(now), peerTrialRetryAfter)
	}
	// Without a suspicion of its own, this host leaves the next attempt to the
	// host that has one, so that the two do not lose a server each.
	return byPeer && local == nil, peerTrialRetryAfter
}

// BeginAttempt requests permission to send one attempt to server.
func (t *Table) BeginAttempt(f Fingerprint, server topology.ServerName, now time.Time) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	if refused, retryAfter := t.isRefused(f, now); refused {
		return Decision{Action: Refuse, RetryAfter: retryAfter}
	}
	attempts := t.inFlight[f]
	if attempts != nil && t.local[f] != nil {
		return Decision{Action: Wait, Changed: t.changed}
	}
	if attempts == nil {
		attempts = &inFlightAttempts{servers: make([]serverCount, 0, 1)}
		t.inFlight[f] = attempts
	}
	i := slices.IndexFunc(attempts.servers, func(s serverCount) bool { return s.name == server })
	if i < 0 && len(attempts.servers) == MaxCrashedServers {
		leastUsed := slices.MinFunc(attempts.servers, func(a, b serverCount) int { return cmp.Compare(a.attempts, b.attempts) })
		return Decision{Action: Redirect, Server: leastUsed.name, Changed: t.changed}
	}
	if i < 0 {
		attempts.servers = append(attempts.servers, serverCount{name: server})
		i = len(attempts.servers) - 1
	}
	attempts.servers[i].attempts++
	attempts.total++
	t.lastEvent++
	return Decision{Action: Proceed, Permit: Permit{fingerprint: f, server: server, startEvent: t.lastEvent}}
}

// EndAttempt records the end of an attempt.
func (t *Table) EndAttempt(p Permit, result Result, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	contended := false
	if attempts := t.inFlight[p.fingerprint]; attempts != nil {
		i := slices.IndexFunc(attempts.servers, func(s serverCount) bool { return s.name == p.server })
		contended = len(attempts.servers) == MaxCrashedServers
		attempts.total--
		if attempts.servers[i].attempts--; attempts.servers[i].attempts == 0 {
			attempts.servers = slices.Delete(attempts.servers, i, i+1)
		}
		if attempts.total == 0 {
			delete(t.inFlight, p.fingerprint)
		}
	}
	local := t.localEntry(p.fingerprint, now)
	switch {
	case result == Crashed:
		t.recordCrash(p, local, now)
	case result == Completed && local != nil && !local.quarantined:
		delete(t.local, p.fingerprint)
		t.version.Sequence++
	case local == nil && !contended:
		return
	}
	t.notifyChanged()
}

// recordCrash records a crash of the server of the permit.
func (t *Table) recordCrash(p Permit, e *entry, now time.Time) {
	if e == nil {
		t.evictIfFull(now)
		e = &entry{}
		t.local[p.fingerprint] = e
	}
	t.lastEvent++
	i := slices.IndexFunc(e.crashes, func(c crashCount) bool { return c.server == p.server })
	switch {
	case i < 0:
		e.crashes = append(e.crashes, crashCount{server: p.server, count: 1, lastEvent: t.lastEvent})
	case p.startEvent > e.crashes[i].lastEvent:
		e.crashes[i].count++
		e.crashes[i].lastEvent = t.lastEvent
	default:
		// The attempt was in flight during the crash that is already counted.
		return
	}
	t.version.Sequence++
	total, _, _ := t.sumCrashes(p.fingerprint, e, now)
	if e.quarantined = e.quarantined || total >= MaxCrashedServers; e.quarantined {
		e.expiresAt = now.Add(QuarantineDuration)
		return
	}
	e.expiresAt = now.Add(SuspicionDuration)
}

// sumCrashes returns the number of crashes that this host and its peers know
// of. Several hosts may report the same crash, so the highest count of each
// server is used.
func (t *Table) sumCrashes(f Fingerprint, local *entry, now time.Time) (crashes int, quarantinedUntil time.Time, byPeer bool) {
	if local != nil {
		if local.quarantined {
			quarantinedUntil = local.expiresAt
		}
		for _, c := range local.crashes {
			crashes += c.count
		}
	}
	var counted []crashCount
	for _, p := range t.peers {
		e := p.entries[f]
		if e == nil || !now.Before(e.expiresAt) {
			continue
		}
		byPeer = true
		if e.quarantined && e.expiresAt.After(quarantinedUntil) {
			quarantinedUntil = e.expiresAt
		}
		if counted == nil && local != nil {
			counted = slices.Clone(local.crashes)
		}
		for _, c := range e.crashes {
			i := slices.IndexFunc(counted, func(s crashCount) bool { return s.server == c.server })
			if i < 0 {
				counted = append(counted, c)
				crashes += c.count
			} else if c.count > counted[i].count {
				crashes += c.count - counted[i].count
				counted[i].count = c.count
			}
		}
	}
	return crashes, quarantinedUntil, byPeer
}

// localEntry returns the local entry of the fingerprint unless it has expired.
func (t *Table) localEntry(f Fingerprint, now time.Time) *entry {
	e := t.local[f]
	if e != nil && !now.Before(e.expiresAt) {
		delete(t.local, f)
		t.version.Sequence++
		return nil
	}
	return e
}

// evictIfFull removes the expired entries of a full table. If there are none,
// it removes the entry that expires next.
func (t *Table) evictIfFull(now time.Time) {
	if len(t.local) < t.maxEntries {
		return
	}
	maps.DeleteFunc(t.local, func(_ Fingerprint, e *entry) bool { return !now.Before(e.expiresAt) })
	if len(t.local) < t.maxEntries {
		return
	}
	var next Fingerprint
	var until time.Time
	for f, e := range t.local {
		if until.IsZero() || e.expiresAt.Before(until) {
			next, until = f, e.expiresAt
		}
	}
	delete(t.local, next)
}

// Changed returns a channel that is closed when the version of the snapshot may
// have changed or BeginAttempt may return another decision.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

func (t *Table) notifyChanged() {
	close(t.changed)
	t.changed = make(chan struct{})
}
