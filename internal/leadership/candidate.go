package leadership

import (
	"time"

	"github.com/cassiasill/cassiasill/internal/peer/peerpb"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const (
	// RenewInterval lets two renewals be lost before a promise ends.
	RenewInterval = 120 * time.Millisecond
	// storeLimit is the age of the last successful store call from which a
	// leader gives way to a host that reaches the store.
	storeLimit = time.Second
	// termSpread is the number of values over which a candidate spreads its
	// terms, about one millisecond of the term's clock. Two candidates of the
	// same millisecond would otherwise share a term when the witnesses that
	// knew it have restarted.
	termSpread = 1 << 16
)

// Candidate is the state of a host that wants to be or is the leader. It counts
// its authority on its own clock from before each request was sent. Its methods
// take the time from the caller and are not safe for concurrent use.
type Candidate struct {
	self    topology.HostName
	record  Record
	seen    topology.Term
	term    topology.Term // zero while it neither campaigns nor leads
	leading bool
	granted map[topology.HostName]time.Time
	heard   map[topology.HostName]time.Time
	// storeAt is the latest time at which a witness is known to have reached
	// the store.
	storeAt time.Time
}

// NewCandidate returns a candidate that holds nothing.
func NewCandidate(self topology.HostName) *Candidate {
	return &Candidate{self: self, heard: make(map[topology.HostName]time.Time)}
}

// SetRecord takes over a record. Promises given under the one before still
// count: a witness keeps one promise whatever the record.
func (c *Candidate) SetRecord(record Record) {
	if record.Version >= c.record.Version {
		c.record = record
	}
}

// Observe raises the highest term seen.
func (c *Candidate) Observe(term topology.Term) { c.seen = max(c.seen, term) }

// Campaign starts a new term, higher than any seen. The wall clock and the
// random number make it unique.
func (c *Candidate) Campaign(wall time.Time, random uint64) topology.Term {
	c.term = topology.NextTerm(c.seen, wall) + topology.Term(random%termSpread)
	c.Observe(c.term)
	c.leading, c.granted = false, make(map[topology.HostName]time.Time)
	return c.term
}

// Request returns the request that asks for or renews the promises of the
// current term.
func (c *Candidate) Request() *peerpb.PromiseRequest {
	return &peerpb.PromiseRequest{Candidate: string(c.self), Term: uint64(c.term), RecordVersion: c.record.Version}
}

// Response takes in a witness's answer to a request of term that was sent at
// sentAt. It reports whether this host became leader by it.
func (c *Candidate) Response(now, sentAt time.Time, witness topology.HostName, term topology.Term, response *peerpb.PromiseResponse) bool {
	c.Observe(topology.Term(response.GetHighestTerm()))
	c.heard[witness] = now
	if age := response.GetStoreAgeMillis(); age >= 0 && witness != c.self {
		if at := sentAt.Add(-time.Duration(age) * time.Millisecond); at.After(c.storeAt) {
			c.storeAt = at
		}
	}
	c.expire(now)
	if !response.GetGranted() || c.term == 0 || term != c.term {
		return false
	}
	if sentAt.After(c.granted[witness]) {
		c.granted[witness] = sentAt
	}
	if !c.leading && now.Before(c.until()) {
		c.leading = true
		return true
	}
	return false
}

// until is the end of the authority that the promises of a majority give.
func (c *Candidate) until() time.Time {
	need := c.record.Majority()
	if len(c.granted) < need || len(c.record.Hosts) == 0 {
		return time.Time{}
	}
	// The basis is the latest moment since which a majority has promised.
	var basis time.Time
	for _, h := range c.record.Hosts {
		at, ok := c.granted[h]
		if !ok || !at.After(basis) {
			continue
		}
		since := 0
		for _, other := range c.record.Hosts {
			if start, ok := c.granted[other]; ok && !start.Before(at) {
				since++
			}
		}
		if since >= need {
			basis = at
		}
	}
	if basis.IsZero() {
		return time.Time{}
	}
	return basis.Add(PromiseTTL)
}

// expire ends a term whose authority has lapsed. The term is not resumed even
// if promises arrive later: another leader may have come and gone in between.
func (c *Candidate) expire(now time.Time) {
	if c.leading && !now.Before(c.until()) {
		c.StepDown()
	}
}

// StepDown ends the term and returns it, for the release of its promises.
func (c *Candidate) StepDown() topology.Term {
	term := c.term
	c.term, c.leading, c.granted = 0, false, nil
	return term
}

// Authority returns the term and the end of this host's authority at now.
func (c *Candidate) Authority(now time.Time) (term topology.Term, until time.Time, ok bool) {
	c.expire(now)
	if !c.leading {
		return 0, time.Time{}, false
	}
	return c.term, c.until(), true
}

// GiveWay reports whether a witness reaches the store while this host, whose
// last successful store call was at reached, does not.
func (c *Candidate) GiveWay(now, reached time.Time) bool {
	return now.Sub(reached) > storeLimit && now.Sub(c.storeAt) <= storeLimit
}

// gone reports whether a witness has been silent for longer than limit; a host
// that was never heard counts from since.
func (c *Candidate) gone(now, since time.Time, host topology.HostName, limit time.Duration) bool {
	last := c.heard[host]
	if last.Before(since) {
		last = since
	}
	return now.Sub(last) > limit
}
