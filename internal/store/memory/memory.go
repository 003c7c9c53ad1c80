// Package memory provides an in-memory store.Store into which tests and the dev
// command can inject faults. It reads the time only through package time, so that
// it also runs on the fake clock of testing/synctest.
package memory

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/cassiasill/cassiasill/internal/store"
)

// Limits of the event history for watches. Older events are compacted, as the
// platform's service does. The byte limit bounds memory when values are large.
const (
	maxHistoryEvents = 10_000
	maxHistoryBytes  = 64 << 20
)

var (
	errOutage          = errors.New("the store is down")
	errPartitioned     = errors.New("the store cannot be reached by this client")
	errResponseDropped = errors.New("the answer was lost")
	errLeaseNotFound   = errors.New("lease not found")
	errClosed          = errors.New("the store was closed")
	errTooLarge        = errors.New("the value exceeds the limit")
)

// CallCounts holds how many calls the store has received up to At.
type CallCounts struct {
	At          time.Time
	Reads       int64
	Writes      int64
	OpenWatches int
	// PeakWatches is the highest number of concurrently open watches.
	PeakWatches int
}

// RatesSince returns the reads and writes per second between earlier and c.
func (c CallCounts) RatesSince(earlier CallCounts) (reads, writes float64) {
	seconds := c.At.Sub(earlier.At).Seconds()
	if seconds <= 0 {
		return 0, 0
	}
	return float64(c.Reads-earlier.Reads) / seconds, float64(c.Writes-earlier.Writes) / seconds
}

func (c *CallCounts) add(o *CallCounts) {
	c.Reads += o.Reads
	c.Writes += o.Writes
	c.OpenWatches += o.OpenWatches
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
	timer  *time.Timer
	keys   map[string]bool
}

// Store holds the state that all clients share. Its embedded View is an unnamed
// client that is never partitioned.
type Store struct {
	*View

	mu              sync.Mutex
	revision        int64
	compactRevision int64
	keys            map[string]store.KeyValue
	history         []store.Event
	historyBytes    int
	leases          map[store.LeaseID]*lease
	nextLease       store.LeaseID

	era store.Era

	outage          bool
	responseDelay   time.Duration
	responsesToDrop int
	partitioned     map[string]bool
	calls           map[string]*CallCounts
	peakWatches     int

	// changed is closed and replaced at every change that watches must notice.
	changed chan struct{}
	cancel  context.CancelFunc
	ctx     context.Context
	group   conc.WaitGroup
}

// New returns an empty store.
func New() *Store {
	s := &Store{
		era:  store.FirstEra,
		keys: make(map[string]store.KeyValue), leases: make(map[store.LeaseID]*lease),
		partitioned: make(map[string]bool), calls: make(map[string]*CallCounts), changed: make(chan struct{}),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.View = s.Client("")
	return s
}

// Close stops the lease timers, ends all watches and waits for them.
func (s *Store) Close() {
	s.mu.Lock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
	s.mu.Unlock()
	s.cancel()
	s.group.Wait()
}

// Client returns the view of the named client. Each client can be partitioned from
// the store independently of the others.
func (s *Store) Client(name string) *View {
	return &View{backend: s, client: name, era: &store.EraClock{}}
}

// RawClient returns a view for a server of the store's protocol: revisions are the
// store's own, whose era its responses state separately.
func (s *Store) RawClient(name string) *View {
	return &View{backend: s, client: name, era: &store.EraClock{}, raw: true}
}

// Era returns the era of the store.
func (s *Store) Era() store.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// StartOutage starts an outage: every call fails with KindUnavailable, and all watches
// end. Leases do not expire during the outage.
func (s *Store) StartOutage() { s.update(func() { s.outage = true }) }

// EndOutage ends an outage. Every lease is renewed with its full TTL, as the platform's
// service does after an outage.
func (s *Store) EndOutage() {
	s.update(func() {
		if s.outage {
			for id, l := range s.leases {
				s.startLeaseTimer(id, l)
			}
		}
		s.outage = false
	})
}

// SetResponseDelay delays every response by d; zero ends the delay. A write is applied after
// half of the delay, even if its caller has given up.
func (s *Store) SetResponseDelay(d time.Duration) { s.update(func() { s.responseDelay = d }) }

// DropResponses drops the responses of the next n writes: they are applied but fail
// with KindAmbiguous. A negative n drops all responses until DropResponses(0).
func (s *Store) DropResponses(n int) { s.update(func() { s.responsesToDrop = n }) }

// Copy is the state of a store at one moment.
type Copy struct {
	revision  int64
	nextLease store.LeaseID
	keys      map[string]store.KeyValue
	ttls      map[store.LeaseID]time.Duration
}

// Copy returns a copy of the store's state.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &Copy{revision: s.revision, nextLease: s.nextLease, keys: maps.Clone(s.keys), ttls: make(map[store.LeaseID]time.Duration)}
	for id, l := range s.leases {
		c.ttls[id] = l.ttl
	}
	return c
}

// Restore replaces the state by an older copy, in the next era. All later writes
// are lost, their revisions and lease IDs are given out again, and the history is
// gone. Leases of the copy run with their full TTL.
func (s *Store) Restore(c *Copy) {
	s.update(func() {
		for _, l := range s.leases {
			l.timer.Stop()
		}
		s.era++
		s.revision, s.compactRevision, s.nextLease = c.revision, c.revision, c.nextLease
		s.history, s.historyBytes = nil, 0
		s.keys, s.leases = maps.Clone(c.keys), make(map[store.LeaseID]*lease)
		for id, ttl := range c.ttls {
			l := &lease{ttl: ttl, keys: make(map[string]bool)}
			s.leases[id] = l
			s.startLeaseTimer(id, l)
		}
		for key, kv := range s.keys {
			if l := s.leases[kv.Lease]; l != nil {
				l.keys[key] = true
			}
		}
	})
}

// Partition makes the store unreachable for the named client.
func (s *Store) Partition(client string) { s.update(func() { s.partitioned[client] = true }) }

// Heal makes the store reachable again for the named client.
func (s *Store) Heal(client string) { s.update(func() { delete(s.partitioned, client) }) }

// Compact drops the history up to the current revision.
func (s *Store) Compact() {
	s.update(func() { s.compactRevision, s.history, s.historyBytes = s.revision, nil, 0 })
}

// Revision returns the current revision.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// CallCounts returns the call counts of all clients together.
func (s *Store) CallCounts() CallCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := CallCounts{At: time.Now(), PeakWatches: s.peakWatches}
	for _, c := range s.calls {
		total.add(c)
	}
	return total
}

// ClientCallCounts returns the call counts of one client.
func (s *Store) ClientCallCounts(client string) CallCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := *s.countsOf(client)
	counts.At = time.Now()
	return counts
}

func (s *Store) countsOf(client string) *CallCounts {
	c := s.calls[client]
	if c == nil {
		c = &CallCounts{}
		s.calls[client] = c
	}
	return c
}

func (s *Store) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	s.notifyWatches()
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// checkReachable returns an error if client cannot reach the store now.
func (s *Store) checkReachable(client string) error {
	switch {
	case s.ctx.Err() != nil:
		return errClosed
	case s.outage:
		return errOutage
	case s.partitioned[client]:
		return errPartitioned
	}
	return nil
}

func (s *Store) startLeaseTimer(id store.LeaseID, l *lease) {
	l.expiry = time.Now().Add(l.ttl)
	if l.timer != nil {
		l.timer.Stop()
	}
	l.timer = time.AfterFunc(l.ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.outage && s.leases[id] == l && !time.Now().Before(l.expiry) {
			s.removeLease(id)
		}
	})
}

func (s *Store) removeLease(id store.LeaseID) {
	l := s.leases[id]
	l.timer.Stop()
	delete(s.leases, id)
	deletes := make([]store.Op, 0, len(l.keys))
	for key := range l.keys {
		deletes = append(deletes, store.Delete(key))
	}
	slices.SortFunc(deletes, func(a, b store.Op) int { return strings.Compare(a.Key, b.Key) })
	s.applyOps(deletes)
}

// applyOps applies ops at one new revision. Deleting a missing key changes nothing.
func (s *Store) applyOps(ops []store.Op) {
	revision, changed := s.revision+1, false
	for _, op := range ops {
		old, exists := s.keys[op.Key]
		if op.Delete && !exists {
			continue
		}
		changed = true
		if exists && old.Lease != 0 && s.leases[old.Lease] != nil {
			delete(s.leases[old.Lease].keys, op.Key)
		}
		event := store.Event{KeyValue: store.KeyValue{Key: op.Key, ModRevision: revision}, Deleted: op.Delete}
		if op.Delete {
			delete(s.keys, op.Key)
		} else {
			event.Value, event.Lease, event.CreateRevision = bytes.Clone(op.Value), op.Lease, revision
			if exists {
				event.CreateRevision = old.CreateRevision
			}
			s.keys[op.Key] = event.KeyValue
			if op.Lease != 0 {
				s.leases[op.Lease].keys[op.Key] = true
			}
		}
		s.history = append(s.history, event)
		s.historyBytes += len(event.Value)
	}
	if changed {
		s.revision = revision
		s.trimHistory()
		s.notifyWatches()
	}
}

// trimHistory compacts whole revisions, oldest first, until the history is within
// its limits. It never compacts the current revision.
func (s *Store) trimHistory() {
	for len(s.history) > 0 && (len(s.history) > maxHistoryEvents || s.historyBytes > maxHistoryBytes) {
		oldest := s.history[0].ModRevision
		if oldest == s.revision {
			return
		}
		for s.history[0].ModRevision == oldest {
			s.historyBytes -= len(s.history[0].Value)
			s.history = s.history[1:]
		}
		s.compactRevision = oldest
	}
}

// txn evaluates a transaction. The caller holds the lock.
func (s *Store) txn(compares []store.Compare, ops []store.Op) (store.TxnResult, error) {
	for _, op := range ops {
		if op.Lease != 0 && s.leases[op.Lease] == nil {
			return store.TxnResult{}, &store.Error{Kind: store.KindNotFound, Op: "txn", Err: errLeaseNotFound}
		}
	}
	for _, c := range compares {
		if s.keys[c.Key].ModRevision != c.ModRevision {
			return store.TxnResult{Revision: s.revision}, nil
		}
	}
	s.applyOps(ops)
	return store.TxnResult{Succeeded: true, Revision: s.revision}, nil
}

// eventsSince returns the events of keys with the prefix, starting with those of
// revision from.
func (s *Store) eventsSince(prefix string, from int64) []store.Event {
	i, _ := slices.BinarySearchFunc(s.history, from, func(e store.Event, from int64) int {
		if e.ModRevision < from {
			return -1
		}
		return 1
	})
	var out []store.Event
	for _, e := range s.history[i:] {
		if strings.HasPrefix(e.Key, prefix) {
			e.Value = bytes.Clone(e.Value)
			out = append(out, e)
		}
	}
	return out
}

// slowResponseDelay is the delay that the action "slow" adds to each response:
// 100 times the response time that the platform's service promises.
const slowResponseDelay = 500 * time.Millisecond

// RunAction runs the named action of the dev command's control API. The action "up"
// ends all faults.
func (s *Store) RunAction(action string) error {
	switch action {
	case "down":
		s.StartOutage()
	case "up":
		s.EndOutage()
		s.SetResponseDelay(0)
		s.DropResponses(0)
	case "slow":
		s.SetResponseDelay(slowResponseDelay)
	case "lose-answers":
		s.DropResponses(-1)
	default:
		return fmt.Errorf("unknown action %q", action)
	}
	return nil
}
