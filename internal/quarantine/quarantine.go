// Package quarantine finds requests that crash upstreams and keeps them away.
//
// A fingerprint identifies a request by caller, method, target and body. The
// first crash of an upstream that was executing it makes it suspected, the
// second quarantines it for a bounded time. Before any suspicion, attempts with
// one fingerprint are in flight on at most two servers at a time; while it is
// suspected, only one attempt is in flight. So one host never loses more than
// two servers to one fingerprint. Across hosts the bound holds from the moment
// on at which the other hosts have imported the first suspicion.
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
	// MaxServers is how many servers one fingerprint may take down.
	MaxServers = 2
	// SuspectFor ends a suspicion that no later attempt confirms or clears.
	SuspectFor = 30 * time.Second
	// QuarantineFor ends a quarantine; a repaired upstream is then tried again.
	QuarantineFor = 5 * time.Minute
	// DefaultMaxEntries bounds the suspicions of one host, about 200 bytes each.
	DefaultMaxEntries = 4096
	// elsewhereRetry is the advice to callers while another host tries a
	// suspected request; its verdict takes about one execution.
	elsewhereRetry = time.Second
)

// Fingerprint identifies equal requests. It is part of a cryptographic hash:
// a caller must not be able to put another caller's request into quarantine.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(caller topology.Caller, method, target string, body []byte) Fingerprint {
	// Each field is preceded by its length, so that fields can't run together.
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

// Verdict tells what to do with an attempt.
type Verdict uint8

// The verdicts.
const (
	// Proceed: the attempt may be sent; End must be called.
	Proceed Verdict = iota
	// Wait: another attempt must end first; see Decision.Changed.
	Wait
	// Elsewhere: the attempt may go to Decision.Server only.
	Elsewhere
	// Refuse: the fingerprint is quarantined, or another host tries it.
	Refuse
)

// Decision is the answer to Begin.
type Decision struct {
	Verdict    Verdict
	Permit     Permit
	Server     topology.ServerName
	RetryAfter time.Duration
	// Changed is closed when a waiting attempt should ask again.
	Changed <-chan struct{}
}

// Permit is the right to have one attempt in flight.
type Permit struct {
	fingerprint Fingerprint
	server      topology.ServerName
	began       uint64
}

// Result tells how an attempt ended.
type Result uint8

// The results.
const (
	// Inconclusive: canceled, timed out, refused or failed without a crash.
	Inconclusive Result = iota
	// Completed: the upstream answered; a suspicion is cleared.
	Completed
	// Crashed: the upstream crashed while it had the request.
	Crashed
)

// crash counts the crashes of one server under one fingerprint.
type crash struct {
	server topology.ServerName
	count  int
	at     uint64 // event number of the last crash, local only
}

// entry is a suspicion or a quarantine.
type entry struct {
	crashes     []crash
	quarantined bool
	until       time.Time
}

// flight lists the servers that have attempts of one fingerprint in flight.
type flight struct {
	attempts int
	servers  []serverCount
}

type serverCount struct {
	name     topology.ServerName
	attempts int
}

// Table holds the fingerprints of one host and what peers report. Its methods
// are safe for concurrent use.
type Table struct {
	maxEntries int

	mu      sync.Mutex
	event   uint64
	own     map[Fingerprint]*entry
	flights map[Fingerprint]*flight
	peers   map[topology.HostName]peerState
	version topology.Version
	changed chan struct{}
}

// New returns an empty table. Term orders its snapshots after those of earlier
// runs of the same host. If maxEntries is zero, DefaultMaxEntries holds.
func New(term topology.Term, maxEntries int) *Table {
	return &Table{
		maxEntries: cmp.Or(maxEntries, DefaultMaxEntries),
		own:        make(map[Fingerprint]*entry),
		flights:    make(map[Fingerprint]*flight),
		peers:      make(map[topology.HostName]peerState),
		version:    topology.Version{Term: term},
		changed:    make(chan struct{}),
	}
}

// Check reports whether a request with the fingerprint is refused now, and
// when to try again. It allows a request that may yet have to wait in Begin.
func (t *Table) Check(f Fingerprint, now time.Time) (refused bool, retryAfter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refused(f, now)
}

func (t *Table) refused(f Fingerprint, now time.Time) (bool, time.Duration) {
	own := t.ownEntry(f, now)
	if own == nil && len(t.peers) == 0 {
		return false, 0
	}
	total, quarantinedUntil, byPeer := t.total(f, own, now)
	if total >= MaxServers || !quarantinedUntil.IsZero() {
		return true, max(quarantinedUntil.Sub(now), elsewhereRetry)
	}
	// A host without a suspicion of its own leaves the next try to the host
	// that has it, so that two hosts don't lose a server each.
	return byPeer && own == nil, elsewhereRetry
}

// Begin asks to send one attempt to server.
func (t *Table) Begin(f Fingerprint, server topology.ServerName, now time.Time) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	if refused, after := t.refused(f, now); refused {
		return Decision{Verdict: Refuse, RetryAfter: after}
	}
	fl := t.flights[f]
	if fl != nil && t.own[f] != nil {
		return Decision{Verdict: Wait, Changed: t.changed}
	}
	if fl == nil {
		fl = &flight{servers: make([]serverCount, 0, 1)}
		t.flights[f] = fl
	}
	i := slices.IndexFunc(fl.servers, func(s serverCount) bool { return s.name == server })
	if i < 0 && len(fl.servers) == MaxServers {
		least := slices.MinFunc(fl.servers, func(a, b serverCount) int { return cmp.Compare(a.attempts, b.attempts) })
		return Decision{Verdict: Elsewhere, Server: least.name, Changed: t.changed}
	}
	if i < 0 {
		fl.servers = append(fl.servers, serverCount{name: server})
		i = len(fl.servers) - 1
	}
	fl.servers[i].attempts++
	fl.attempts++
	t.event++
	return Decision{Verdict: Proceed, Permit: Permit{fingerprint: f, server: server, began: t.event}}
}

// End ends the attempt of a permit.
func (t *Table) End(p Permit, result Result, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	contended := false
	if fl := t.flights[p.fingerprint]; fl != nil {
		i := slices.IndexFunc(fl.servers, func(s serverCount) bool { return s.name == p.server })
		contended = len(fl.servers) == MaxServers
		fl.attempts--
		if fl.servers[i].attempts--; fl.servers[i].attempts == 0 {
			fl.servers = slices.Delete(fl.servers, i, i+1)
		}
		if fl.attempts == 0 {
			delete(t.flights, p.fingerprint)
		}
	}
	own := t.ownEntry(p.fingerprint, now)
	switch {
	case result == Crashed:
		t.crashed(p, own, now)
	case result == Completed && own != nil && !own.quarantined:
		delete(t.own, p.fingerprint)
		t.version.Sequence++
	case own == nil && !contended:
		return
	}
	t.wake()
}

// crashed records that the permit's server crashed.
func (t *Table) crashed(p Permit, e *entry, now time.Time) {
	if e == nil {
		t.makeRoom(now)
		e = &entry{}
		t.own[p.fingerprint] = e
	}
	t.event++
	i := slices.IndexFunc(e.crashes, func(c crash) bool { return c.server == p.server })
	switch {
	case i < 0:
		e.crashes = append(e.crashes, crash{server: p.server, count: 1, at: t.event})
	case p.began > e.crashes[i].at:
		e.crashes[i].count++
		e.crashes[i].at = t.event
	default:
		// The attempt was in flight at the crash that is already counted.
		return
	}
	t.version.Sequence++
	total, _, _ := t.total(p.fingerprint, e, now)
	if e.quarantined = e.quarantined || total >= MaxServers; e.quarantined {
		e.until = now.Add(QuarantineFor)
		return
	}
	e.until = now.Add(SuspectFor)
}

// total returns the crashes that this host and its peers know of. Several
// hosts report one crash of a server, so the largest count per server holds.
func (t *Table) total(f Fingerprint, own *entry, now time.Time) (crashes int, quarantinedUntil time.Time, byPeer bool) {
	if own != nil {
		if own.quarantined {
			quarantinedUntil = own.until
		}
		for _, c := range own.crashes {
			crashes += c.count
		}
	}
	var seen []crash
	for _, p := range t.peers {
		e := p.entries[f]
		if e == nil || !now.Before(e.until) {
			continue
		}
		byPeer = true
		if e.quarantined && e.until.After(quarantinedUntil) {
			quarantinedUntil = e.until
		}
		if seen == nil && own != nil {
			seen = slices.Clone(own.crashes)
		}
		for _, c := range e.crashes {
			i := slices.IndexFunc(seen, func(s crash) bool { return s.server == c.server })
			if i < 0 {
				seen = append(seen, c)
				crashes += c.count
			} else if c.count > seen[i].count {
				crashes += c.count - seen[i].count
				seen[i].count = c.count
			}
		}
	}
	return crashes, quarantinedUntil, byPeer
}

// ownEntry returns the fingerprint's entry unless it has expired.
func (t *Table) ownEntry(f Fingerprint, now time.Time) *entry {
	e := t.own[f]
	if e != nil && !now.Before(e.until) {
		delete(t.own, f)
		t.version.Sequence++
		return nil
	}
	return e
}

// makeRoom removes expired entries from a full table, and if there are none,
// the entry that would expire next.
func (t *Table) makeRoom(now time.Time) {
	if len(t.own) < t.maxEntries {
		return
	}
	maps.DeleteFunc(t.own, func(_ Fingerprint, e *entry) bool { return !now.Before(e.until) })
	if len(t.own) < t.maxEntries {
		return
	}
	var next Fingerprint
	var until time.Time
	for f, e := range t.own {
		if until.IsZero() || e.until.Before(until) {
			next, until = f, e.until
		}
	}
	delete(t.own, next)
}

// Changed returns a channel that is closed when the version of the snapshot or
// the right to begin may have changed.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

func (t *Table) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}
