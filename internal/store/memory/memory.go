// Package memory is an in-memory store.Store with faults that tests and the dev
// command switch on. It reads time only through package time, so that it runs
// on the virtual clock of testing/synctest.
package memory

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/cassiasill/cassiasill/internal/store"
)

// The history kept for watches. Older events are compacted, as the platform's
// service does; the byte limit bounds memory when values are large.
const (
	maxHistoryEvents = 10_000
	maxHistoryBytes  = 64 << 20
)

var (
	errDown     = errors.New("the store is down")
	errCut      = errors.New("the store cannot be reached by this client")
	errLost     = errors.New("the answer was lost")
	errNoLease  = errors.New("lease not found")
	errStopped  = errors.New("the store was closed")
	errTooLarge = errors.New("the value exceeds the limit")
)

// Counts are the calls that the store has received up to At.
type Counts struct {
	At          time.Time
	Reads       int64
	Writes      int64
	OpenWatches int
	// PeakWatches is the largest number of watches open at once.
	PeakWatches int
}

// RatesSince returns reads and writes per second between earlier and c.
func (c Counts) RatesSince(earlier Counts) (reads, writes float64) {
	seconds := c.At.Sub(earlier.At).Seconds()
	if seconds <= 0 {
		return 0, 0
	}
	return float64(c.Reads-earlier.Reads) / seconds, float64(c.Writes-earlier.Writes) / seconds
}

func (c *Counts) add(o *Counts) {
	c.Reads += o.Reads
	c.Writes += o.Writes
	c.OpenWatches += o.OpenWatches
}

type lease struct {
	ttl   time.Duration
	end   time.Time
	timer *time.Timer
	keys  map[string]bool
}

// Store is the shared state; its embedded View is a client that is never cut.
type Store struct {
	*View

	mu        sync.Mutex
	revision  int64
	compacted int64
	keys      map[string]store.KeyValue
	history   []store.Event
	bytes     int
	leases    map[store.LeaseID]*lease
	nextLease store.LeaseID

	down  bool
	slow  time.Duration
	lose  int
	cut   map[string]bool
	calls map[string]*Counts
	peak  int

	// changed is closed and replaced at every change that a watch must see.
	changed chan struct{}
	stop    context.CancelFunc
	stopped context.Context
	group   conc.WaitGroup
}

// New returns an empty store.
func New() *Store {
	s := &Store{
		keys: make(map[string]store.KeyValue), leases: make(map[store.LeaseID]*lease),
		cut: make(map[string]bool), calls: make(map[string]*Counts), changed: make(chan struct{}),
	}
	s.stopped, s.stop = context.WithCancel(context.Background())
	s.View = s.Client("")
	return s
}

// Close ends all watches and leases' timers and waits for the watches.
func (s *Store) Close() {
	s.mu.Lock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
	s.mu.Unlock()
	s.stop()
	s.group.Wait()
}

// Client returns the store as the named client sees it; Cut and Heal change
// whether this client reaches the store.
func (s *Store) Client(name string) *View { return &View{s: s, name: name} }

// Down makes every call fail with KindUnavailable and ends the watches. Leases
// do not end while the store is down.
func (s *Store) Down() { s.change(func() { s.down = true }) }

// Up ends Down. Every lease starts its full time again, as the platform's
// service does after an outage.
func (s *Store) Up() {
	s.change(func() {
		if s.down {
			for id, l := range s.leases {
				s.arm(id, l)
			}
		}
		s.down = false
	})
}

// Slow delays every answer by d; zero ends it. A write is applied after half of
// the time even if its caller has given up.
func (s *Store) Slow(d time.Duration) { s.change(func() { s.slow = d }) }

// LoseAnswers makes the next n writes be applied and fail with KindAmbiguous;
// a negative n does so for all writes until LoseAnswers(0).
func (s *Store) LoseAnswers(n int) { s.change(func() { s.lose = n }) }

// Cut makes the store unreachable for the named client.
func (s *Store) Cut(client string) { s.change(func() { s.cut[client] = true }) }

// Heal ends Cut.
func (s *Store) Heal(client string) { s.change(func() { delete(s.cut, client) }) }

// Compact drops the history up to the present revision.
func (s *Store) Compact() {
	s.change(func() { s.compacted, s.history, s.bytes = s.revision, nil, 0 })
}

// Revision returns the present revision.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Counts returns the calls of all clients.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := Counts{At: time.Now(), PeakWatches: s.peak}
	for _, c := range s.calls {
		total.add(c)
	}
	return total
}

// ClientCounts returns the calls of one client.
func (s *Store) ClientCounts(client string) Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := *s.countsOf(client)
	counts.At = time.Now()
	return counts
}

func (s *Store) countsOf(client string) *Counts {
	c := s.calls[client]
	if c == nil {
		c = &Counts{}
		s.calls[client] = c
	}
	return c
}

func (s *Store) change(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	s.wake()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// reach returns why client cannot be served now.
func (s *Store) reach(client string) error {
	switch {
	case s.stopped.Err() != nil:
		return errStopped
	case s.down:
		return errDown
	case s.cut[client]:
		return errCut
	}
	return nil
}

func (s *Store) arm(id store.LeaseID, l *lease) {
	l.end = time.Now().Add(l.ttl)
	if l.timer != nil {
		l.timer.Stop()
	}
	l.timer = time.AfterFunc(l.ttl, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.down && s.leases[id] == l && !time.Now().Before(l.end) {
			s.endLease(id)
		}
	})
}

func (s *Store) endLease(id store.LeaseID) {
	l := s.leases[id]
	l.timer.Stop()
	delete(s.leases, id)
	keys := make([]store.Op, 0, len(l.keys))
	for key := range l.keys {
		keys = append(keys, store.Delete(key))
	}
	slices.SortFunc(keys, func(a, b store.Op) int { return strings.Compare(a.Key, b.Key) })
	s.apply(keys)
}

// apply performs ops at one new revision. Deleting a missing key changes nothing.
func (s *Store) apply(ops []store.Op) {
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
		s.bytes += len(event.Value)
	}
	if changed {
		s.revision = revision
		s.trim()
		s.wake()
	}
}

// trim compacts whole revisions, never the present one, until the history is
// within its limits.
func (s *Store) trim() {
	for len(s.history) > 0 && (len(s.history) > maxHistoryEvents || s.bytes > maxHistoryBytes) {
		first := s.history[0].ModRevision
		if first == s.revision {
			return
		}
		for s.history[0].ModRevision == first {
			s.bytes -= len(s.history[0].Value)
			s.history = s.history[1:]
		}
		s.compacted = first
	}
}

// txn evaluates a transaction under the lock.
func (s *Store) txn(compares []store.Compare, ops []store.Op) (store.TxnResult, error) {
	for _, op := range ops {
		if op.Lease != 0 && s.leases[op.Lease] == nil {
			return store.TxnResult{}, &store.Error{Kind: store.KindNotFound, Op: "txn", Err: errNoLease}
		}
	}
	for _, c := range compares {
		if s.keys[c.Key].ModRevision != c.ModRevision {
			return store.TxnResult{Revision: s.revision}, nil
		}
	}
	s.apply(ops)
	return store.TxnResult{Succeeded: true, Revision: s.revision}, nil
}

// since returns the events from revision from on with the prefix.
func (s *Store) since(prefix string, from int64) []store.Event {
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

// slowDelay is what the action "slow" adds to each answer: a hundred times the
// milliseconds that the platform's service promises.
const slowDelay = 500 * time.Millisecond

// Control runs the named action of the dev command's control address. The
// action "up" ends all others.
func (s *Store) Control(action string) error {
	switch action {
	case "down":
		s.Down()
	case "up":
		s.Up()
		s.Slow(0)
		s.LoseAnswers(0)
	case "slow":
		s.Slow(slowDelay)
	case "lose-answers":
		s.LoseAnswers(-1)
	default:
		return fmt.Errorf("unknown action %q", action)
	}
	return nil
}
