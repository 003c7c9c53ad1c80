package ownership

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cassiasill/cassiasill/internal/granter"
	"github.com/cassiasill/cassiasill/internal/peersync"
	"github.com/cassiasill/cassiasill/internal/store"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// serverFaults removes single rules of a server.
type serverFaults struct {
	noFence     bool // takes any term, incarnation and version
	fromArrival bool // counts the lease from the arrival of the heartbeat
}

// fakeServer follows the rules of section 6 for servers. The clock is its own.
type fakeServer struct {
	incarnation string
	highest     topology.Term
	held        granter.GrantSet
	end         time.Duration
	draining    []topology.Range
	drainEnd    time.Duration
	drainFor    time.Duration // how long released requests go on
	orphaned    bool          // the set ended while released requests ran
	faults      serverFaults
}

func (s *fakeServer) heartbeat(clock time.Duration, h granter.Heartbeat) granter.Reply {
	refused := s.apply(clock, h)
	if clock >= s.drainEnd {
		s.draining = nil
	}
	reply := granter.Reply{
		Incarnation: s.incarnation, Clock: clock, HighestTerm: s.highest, Refusal: refused,
		HeldSet: granter.GrantSet{Version: s.held.Version}, Expiry: s.end, Draining: s.draining,
	}
	if h.Expiry == 0 || h.SetVersion != s.held.Version {
		reply.HeldSet.Ranges = s.held.Ranges
	}
	return reply
}

func (s *fakeServer) apply(clock time.Duration, h granter.Heartbeat) granter.Refusal {
	fence := !s.faults.noFence
	if fence && h.Term < s.highest {
		return granter.RefusalLowerTerm
	}
	s.highest = max(s.highest, h.Term)
	switch {
	case h.Expiry == 0:
		return granter.RefusalNone
	case fence && h.Incarnation != s.incarnation:
		return granter.RefusalOtherIncarnation
	case h.Set == nil && h.SetVersion != s.held.Version || fence && s.held.Version.NewerThan(h.SetVersion):
		return granter.RefusalOlderVersion
	case h.Expiry > clock+granter.GrantTTL:
		return granter.RefusalExpiryOutOfBounds
	}
	s.orphaned = s.orphaned || clock >= s.end
	if h.Set != nil && h.Set.Version != s.held.Version {
		if clock < s.end && s.drainFor > 0 {
			s.draining = topology.SubtractRanges(s.held.Ranges, h.Set.Ranges)
			s.drainEnd = clock + s.drainFor
			s.orphaned = false
		}
		s.held = *h.Set
	}
	s.end = max(s.end, h.Expiry)
	if s.faults.fromArrival {
		s.end = clock + granter.GrantTTL
	}
	return granter.RefusalNone
}

// owned returns what counts as owned: the set, and released ranges whose
// requests still run. Requests that outlast their grant's end run on without
// it; nobody can wait for those of a lost server.
func (s *fakeServer) owned() []topology.Range {
	if s.orphaned {
		return s.held.Ranges
	}
	return slices.Concat(s.held.Ranges, s.draining)
}

// accepts reports whether the server takes a request under token.
func (s *fakeServer) accepts(clock time.Duration, h topology.Hash, token topology.Version) bool {
	return clock < s.end && topology.FindRange(s.held.Ranges, h) >= 0 && !s.held.Version.NewerThan(token)
}

// fakeStore is a compare-and-swap map whose answers can fail.
type fakeStore struct {
	store.Store // the methods that are not used here
	mu          sync.Mutex
	down        bool
	lose        int // so many answers to writes are lost
	reject      bool
	revision    int64
	keys        map[string]store.KeyValue
	applied     func(ops []store.Op)
}

func newFakeStore() *fakeStore { return &fakeStore{keys: make(map[string]store.KeyValue)} }

func (f *fakeStore) Get(_ context.Context, key string) (store.KeyValue, bool, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return store.KeyValue{}, false, 0, &store.Error{Kind: store.KindUnavailable, Op: "get"}
	}
	kv, ok := f.keys[key]
	return kv, ok, f.revision, nil
}

func (f *fakeStore) Txn(_ context.Context, compares []store.Compare, ops []store.Op) (store.TxnResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return store.TxnResult{}, &store.Error{Kind: store.KindUnavailable, Op: "txn"}
	}
	lost := f.lose > 0
	if lost {
		f.lose--
		if f.reject { // lost on the way there
			return store.TxnResult{}, &store.Error{Kind: store.KindAmbiguous, Op: "txn"}
		}
	}
	holds := !slices.ContainsFunc(compares, func(c store.Compare) bool { return f.keys[c.Key].ModRevision != c.ModRevision })
	if holds {
		f.revision++
		for _, op := range ops {
			if op.Delete {
				delete(f.keys, op.Key)
				continue
			}
			f.keys[op.Key] = store.KeyValue{Key: op.Key, Value: op.Value, ModRevision: f.revision}
		}
		if f.applied != nil {
			f.applied(ops)
		}
	}
	if lost {
		return store.TxnResult{}, &store.Error{Kind: store.KindAmbiguous, Op: "txn"}
	}
	return store.TxnResult{Succeeded: holds, Revision: f.revision}, nil
}

var errUnreachable = errors.New("unreachable")

// fakeBus holds topics; the cluster copies them between hosts.
type fakeBus struct {
	peersync.Bus // the methods that are not used here
	mu           sync.Mutex
	topics       map[string]peersync.Topic
}

func newFakeBus() *fakeBus { return &fakeBus{topics: make(map[string]peersync.Topic)} }

func (b *fakeBus) Publish(t peersync.Topic) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !t.Version.NewerThan(b.topics[t.Name].Version) {
		return false
	}
	b.topics[t.Name] = t
	return true
}

func (b *fakeBus) Get(name string) (peersync.Topic, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, ok := b.topics[name]
	return t, ok
}

func (b *fakeBus) List(prefix string) []peersync.Topic {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []peersync.Topic
	for name, t := range b.topics {
		if strings.HasPrefix(name, prefix) {
			out = append(out, t)
		}
	}
	return out
}

func (f *fakeStore) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// setLose loses the answers of the next n writes, or the writes themselves.
func (f *fakeStore) setLose(n int, reject bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lose, f.reject = n, reject
}
