package store

import (
	"slices"
	"sync"
)

// Era numbers the states that a store was restored to. A store that is restored
// from an older copy has lost its latest writes and gives out their revisions
// again, in a later era.
type Era int64

// Limits of eras and of the revisions within one.
const (
	eraRevisionBits = 40
	// FirstEra is the era of a store that was never restored or states no era.
	FirstEra = Era(1)
	// MaxEra is the latest era that fits into a revision with its era.
	MaxEra = Era(1<<22 - 1)
)

// WithEra returns the revision with its era, so that revisions of a later era
// are higher than all of earlier ones. In the first era it is the store's own
// revision. Revision 0, which no key has, stays 0.
func WithEra(era Era, revision int64) int64 {
	if revision == 0 {
		return 0
	}
	return int64(era-FirstEra)<<eraRevisionBits | revision
}

// EraOf returns the era of a revision.
func EraOf(revision int64) Era { return Era(revision>>eraRevisionBits) + FirstEra }

// WithoutEra returns the revision as the store knows it.
func WithoutEra(revision int64) int64 { return revision & (1<<eraRevisionBits - 1) }

// EraClock holds the latest era that a client has seen and the eras of its
// leases. It makes a restored store look as if its revisions had only risen:
// what was read or created in an earlier era never matches in a later one.
type EraClock struct {
	mu     sync.Mutex
	latest Era
	leases map[LeaseID]Era
}

// Latest returns the latest era seen so far.
func (c *EraClock) Latest() Era {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.latest, FirstEra)
}

// Accept records the era of a response. It fails for a response of an earlier
// era, which has arrived late: what it reports may be lost.
func (c *EraClock) Accept(op string, era Era, isWrite bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if era < c.latest {
		kind := KindUnavailable
		if isWrite {
			kind = KindAmbiguous
		}
		return &Error{Kind: kind, Op: op, Err: &EraError{Era: era, Latest: c.latest}}
	}
	c.latest = era
	return nil
}

// EraError reports a response of an earlier era.
type EraError struct{ Era, Latest Era }

// Error describes the response.
func (e *EraError) Error() string { return "the response is from before the store was restored" }

// InLatestEra returns the compares with the store's own revisions. It returns
// false if one expects a revision of an earlier era: the store may have given
// it out again since, for another write.
func (c *EraClock) InLatestEra(compares []Compare) ([]Compare, bool) {
	latest := c.Latest()
	out := slices.Clone(compares)
	for i, compare := range out {
		if compare.ModRevision != 0 && EraOf(compare.ModRevision) < latest {
			return nil, false
		}
		out[i].ModRevision = WithoutEra(compare.ModRevision)
	}
	return out, true
}

// CheckTxn fails if a transaction was answered in another era than the one that
// its compares refer to. Their revisions may have matched by chance.
func CheckTxn(compares []Compare, era Era) error {
	for _, compare := range compares {
		if compare.ModRevision != 0 && EraOf(compare.ModRevision) != era {
			return &Error{Kind: KindAmbiguous, Op: "txn", Err: &EraError{Era: EraOf(compare.ModRevision), Latest: era}}
		}
	}
	return nil
}

// CheckWatch fails with KindCompacted if a watch from a revision was answered in
// another era: the events between are unknown.
func CheckWatch(after int64, era Era) error {
	if after != 0 && EraOf(after) != era {
		return &Error{Kind: KindCompacted, Op: "watch", Err: &EraError{Era: EraOf(after), Latest: era}}
	}
	return nil
}

// AddLease records the era of a new lease.
func (c *EraClock) AddLease(id LeaseID, era Era) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leases == nil {
		c.leases = make(map[LeaseID]Era)
	}
	c.leases[id] = era
}

// RemoveLease forgets a lease that has ended.
func (c *EraClock) RemoveLease(id LeaseID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.leases, id)
}

// CheckLease fails with KindNotFound for a lease of an earlier era. The store may
// have it in its copy, or may have given its ID to another client.
func (c *EraClock) CheckLease(op string, id LeaseID) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if era, known := c.leases[id]; known && era < c.latest {
		return &Error{Kind: KindNotFound, Op: op, Err: &EraError{Era: era, Latest: c.latest}}
	}
	return nil
}
