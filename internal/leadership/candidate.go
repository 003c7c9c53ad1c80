package leadership

import (
	"time"

	"github.com/cassiasill/cassiasill/internal/peer/peerpb"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const (
	// RenewInterval allows for two lost renewals before a promise expires.
	RenewInterval = 120 * time.Millisecond
	// maxStoreAge is the age of the last successful store call above which a
	// leader resigns if another host still reaches the store.
	maxStoreAge = time.Second
	// termSpread bounds the random number that a candidate adds to its term.
	// It corresponds to about one millisecond of the clock that terms contain.
	// Without it, two candidates could choose the same term in the same
	// millisecond once the witnesses that knew the term have restarted.
	termSpread = 1 << 16
)

// Candidate is the state of a host that campaigns or leads. It computes the
// expiry of its leader lease on its own clock, from before each request was
// sent, so that the lease expires before the promises do. Its methods take the
// time from the caller and are not safe for concurrent use.
type Candidate struct {
	self           topology.HostName
	record         Record
	highestTerm    topology.Term
	term           topology.Term // zero unless the host campaigns or leads
	leading        bool
	promisedAt     map[topology.HostName]time.Time
	lastResponseAt map[topology.HostName]time.Time
	// witnessStoreReachedAt is the latest time at which another host's witness
	// is known to have reached the store.
	witnessStoreReachedAt time.Time
}

// NewCandidate returns a candidate without a term or promises.
func NewCandidate(self topology.HostName) *Candidate {
	return &Candidate{self: self, lastResponseAt: make(map[topology.HostName]time.Time)}
}

// SetRecord sets the witness record unless it is older than the current one.
// Promises granted under the former record still count, because a witness has
// at most one promise across all records.
func (c *Candidate) SetRecord(record Record) {
	if record.Version >= c.record.Version {
		c.record = record
	}
}

// ObserveTerm records a term of another host, so that the next term is higher.
func (c *Candidate) ObserveTerm(term topology.Term) { c.highestTerm = max(c.highestTerm, term) }

// Campaign starts a new term that is higher than every observed term. The wall
// clock and the random number make it unique.
func (c *Candidate) Campaign(wall time.Time, random uint64) topology.Term {
	c.term = topology.NextTerm(c.highestTerm, wall) + topology.Term(random%termSpread)
	c.ObserveTerm(c.term)
	c.leading, c.promisedAt = false, make(map[topology.HostName]time.Time)
	return c.term
}

// Request returns the request that obtains or renews the promises for the
// current term.
func (c *Candidate) Request() *peerpb.PromiseRequest {
	return &peerpb.PromiseRequest{Candidate: string(c.self), Term: uint64(c.term), RecordVersion: c.record.Version}
}

// HandleResponse processes a witness's response to a request for term that was sent at
// sentAt. It reports whether the response made this host the leader.
func (c *Candidate) HandleResponse(now, sentAt time.Time, witness topology.HostName, term topology.Term, response *peerpb.PromiseResponse) bool {
	c.ObserveTerm(topology.Term(response.GetHighestTerm()))
	c.lastResponseAt[witness] = now
	if age := response.GetStoreAgeMillis(); age >= 0 && witness != c.self {
		if reachedAt := sentAt.Add(-time.Duration(age) * time.Millisecond); reachedAt.After(c.witnessStoreReachedAt) {
			c.witnessStoreReachedAt = reachedAt
		}
	}
	c.expire(now)
	if !response.GetGranted() || c.term == 0 || term != c.term {
		return false
	}
	if sentAt.After(c.promisedAt[witness]) {
		c.promisedAt[witness] = sentAt
	}
	if !c.leading && now.Before(c.leaseExpiry()) {
		c.leading = true
		return true
	}
	return false
}

// leaseExpiry returns when the leader lease expires. It is the zero time without
// promises from a majority.
func (c *Candidate) leaseExpiry() time.Time {
	majority := c.record.Majority()
	if len(c.promisedAt) < majority || len(c.record.Hosts) == 0 {
		return time.Time{}
	}
	// The lease counts from the latest time at or after which the requests of
	// a majority were sent.
	var leaseStart time.Time
	for _, h := range c.record.Hosts {
		at, ok := c.promisedAt[h]
		if !ok || !at.After(leaseStart) {
			continue
		}
		count := 0
		for _, other := range c.record.Hosts {
			if start, ok := c.promisedAt[other]; ok && !start.Before(at) {
				count++
			}
		}
		if count >= majority {
			leaseStart = at
		}
	}
	if leaseStart.IsZero() {
		return time.Time{}
	}
	return leaseStart.Add(PromiseTTL)
}

// expire ends the term once the leader lease has expired. Promises that arrive
// later don't resume the term, because another host may have led in between.
func (c *Candidate) expire(now time.Time) {
	if c.leading && !now.Before(c.leaseExpiry()) {
		c.StepDown()
	}
}

// StepDown ends the term and returns it, so that its promises can be released.
func (c *Candidate) StepDown() topology.Term {
	term := c.term
	c.term, c.leading, c.promisedAt = 0, false, nil
	return term
}

// LeaderLease returns the term and the expiry of this host's leader lease. It
// reports false if the host doesn't lead at now.
func (c *Candidate) LeaderLease(now time.Time) (term topology.Term, until time.Time, ok bool) {
	c.expire(now)
	if !c.leading {
		return 0, time.Time{}, false
	}
	return c.term, c.leaseExpiry(), true
}

// ShouldResign reports whether another host's witness reaches the store while this
// host, whose last successful store call was at reached, does not.
func (c *Candidate) ShouldResign(now, reached time.Time) bool {
	return now.Sub(reached) > maxStoreAge && now.Sub(c.witnessStoreReachedAt) <= maxStoreAge
}

// silentFor reports whether host has sent no response for longer than limit.
// Responses from before since don't count: then the silence starts at since.
func (c *Candidate) silentFor(now, since time.Time, host topology.HostName, limit time.Duration) bool {
	last := c.lastResponseAt[host]
	if last.Before(since) {
		last = since
	}
	return now.Sub(last) > limit
}
