package configsync

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/declaration"
	"github.com/cassiasill/cassiasill/internal/pause"
	"github.com/cassiasill/cassiasill/internal/peersync"
	"github.com/cassiasill/cassiasill/internal/store"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// fakeStore is a store whose responses and watches fail on demand.
type fakeStore struct {
	store.Store // leases are not used
	mu          sync.Mutex
	revision    int64
	keys        map[string]store.KeyValue
	log         []store.Event
	wake        chan struct{}
	calls       int
	down        bool
	// dropTxns is how many of the next transactions are dropped before they are
	// applied; dropResponses is how many lose only their response.
	dropTxns, dropResponses int
	// responseDelay delays every response. txnDelay delays the next transaction
	// on its way to the store, so that it is applied after the caller's timeout.
	responseDelay, txnDelay time.Duration
	// skip drops matching events from all watches; closing endWatches ends all
	// watches.
	skip       func(store.Event) bool
	endWatches chan struct{}
	// beforeTxn, if set, runs before each transaction is applied.
	beforeTxn func()
}

func newFakeStore() *fakeStore {
	return &fakeStore{keys: map[string]store.KeyValue{}, wake: make(chan struct{}), endWatches: make(chan struct{})}
}

func (s *fakeStore) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// startCall counts a call and waits for 2 ms and the response delay.
func (s *fakeStore) startCall(ctx context.Context) error {
	s.mu.Lock()
	slow := s.responseDelay
	s.mu.Unlock()
	if pause.For(ctx, 2*time.Millisecond+slow); ctx.Err() != nil {
		return ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return &store.Error{Kind: store.KindUnavailable}
	}
	return nil
}

func (s *fakeStore) Get(ctx context.Context, key string) (store.KeyValue, bool, int64, error) {
	if err := s.startCall(ctx); err != nil {
		return store.KeyValue{}, false, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kv, ok := s.keys[key]
	return kv, ok, s.revision, nil
}

func (s *fakeStore) Range(ctx context.Context, prefix string) ([]store.KeyValue, int64, error) {
	if err := s.startCall(ctx); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []store.KeyValue
	for key, kv := range s.keys {
		if strings.HasPrefix(key, prefix) {
			out = append(out, kv)
		}
	}
	return out, s.revision, nil
}

func (s *fakeStore) Txn(ctx context.Context, compares []store.Compare, ops []store.Op) (store.TxnResult, error) {
	s.mu.Lock()
	late := max(s.txnDelay, s.responseDelay)
	s.txnDelay = 0
	s.mu.Unlock()
	if late > 0 {
		go func() { time.Sleep(late); _, _ = s.evaluate(compares, ops) }()
		<-ctx.Done()
		return store.TxnResult{}, ctx.Err()
	}
	if err := s.startCall(ctx); err != nil {
		return store.TxnResult{}, err
	}
	if s.beforeTxn != nil {
		s.beforeTxn()
	}
	return s.evaluate(compares, ops)
}

func (s *fakeStore) evaluate(compares []store.Compare, ops []store.Op) (store.TxnResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dropTxns > 0 {
		s.dropTxns--
		return store.TxnResult{}, &store.Error{Kind: store.KindAmbiguous}
	}
	for _, c := range compares {
		if s.keys[c.Key].ModRevision != c.ModRevision {
			return store.TxnResult{Revision: s.revision}, nil
		}
	}
	s.revision++
	for _, op := range ops {
		kv := store.KeyValue{Key: op.Key, Value: op.Value, ModRevision: s.revision}
		if op.Delete {
			delete(s.keys, op.Key)
		} else {
			s.keys[op.Key] = kv
		}
		s.log = append(s.log, store.Event{KeyValue: kv, Deleted: op.Delete})
	}
	close(s.wake)
	s.wake = make(chan struct{})
	if s.dropResponses > 0 {
		s.dropResponses--
		return store.TxnResult{}, &store.Error{Kind: store.KindAmbiguous}
	}
	return store.TxnResult{Succeeded: true, Revision: s.revision}, nil
}

type fakeWatch struct {
	batches chan store.WatchBatch
	err     error
}

func (w *fakeWatch) Batches() <-chan store.WatchBatch { return w.batches }
func (w *fakeWatch) Err() error                       { return w.err }

func (s *fakeStore) Watch(ctx context.Context, prefix string, from int64) store.Watch {
	w := &fakeWatch{batches: make(chan store.WatchBatch)}
	go func() {
		defer close(w.batches)
		for next := from; ; {
			s.mu.Lock()
			wake, cut, down, skip := s.wake, s.endWatches, s.down, s.skip
			batch := store.WatchBatch{Revision: s.revision}
			for _, e := range s.log {
				// One earlier revision is repeated, which store.Store allows.
				if e.ModRevision >= next-1 && strings.HasPrefix(e.Key, prefix) && (skip == nil || !skip(e)) {
					batch.Events = append(batch.Events, e)
				}
			}
			s.mu.Unlock()
			if down {
				w.err = &store.Error{Kind: store.KindUnavailable}
				return
			}
			if batch.Revision >= next {
				select {
				case w.batches <- batch:
				case <-ctx.Done():
					return
				}
				next = batch.Revision + 1
			}
			select {
			case <-wake:
			case <-cut:
				w.err = &store.Error{Kind: store.KindCompacted}
				return
			case <-ctx.Done():
				return
			}
		}
	}()
	return w
}

// fakeBus is one host's bus; fakeHost copies topics between buses.
type fakeBus struct {
	mu      sync.Mutex
	topics  map[string]peersync.Topic
	changed chan struct{}
	// mute drops what is published, as if the host failed at that moment.
	mute bool
}

func (b *fakeBus) setMute() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mute = true
}

func (b *fakeBus) Publish(t peersync.Topic) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if held, ok := b.topics[t.Name]; b.mute || ok && !t.Version.NewerThan(held.Version) {
		return false
	}
	b.topics[t.Name] = t
	close(b.changed)
	b.changed = make(chan struct{})
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

func (b *fakeBus) Changed(string) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// fakeHost is a host with a writer and a follower. While it is partitioned or
// paused it reaches neither the store nor any peer.
type fakeHost struct {
	name            string
	store           *hostStore
	bus             *fakeBus
	writer          *Writer
	follower        *Follower
	mu              sync.Mutex
	lastPeerContact time.Time
	partitioned     bool
	watching        bool
}

// hostStore is the store as one host sees it.
type hostStore struct {
	*fakeStore
	host *fakeHost
}

func (s *hostStore) partitionError() error {
	if s.host.isPartitioned() {
		time.Sleep(time.Millisecond)
		return &store.Error{Kind: store.KindUnavailable}
	}
	return nil
}

func (s *hostStore) Get(ctx context.Context, key string) (store.KeyValue, bool, int64, error) {
	if err := s.partitionError(); err != nil {
		return store.KeyValue{}, false, 0, err
	}
	return s.fakeStore.Get(ctx, key)
}

func (s *hostStore) Range(ctx context.Context, prefix string) ([]store.KeyValue, int64, error) {
	if err := s.partitionError(); err != nil {
		return nil, 0, err
	}
	return s.fakeStore.Range(ctx, prefix)
}

func (s *hostStore) Watch(ctx context.Context, prefix string, from int64) store.Watch {
	inner := s.fakeStore.Watch(ctx, prefix, from)
	outer := &fakeWatch{batches: make(chan store.WatchBatch)}
	go func() {
		defer close(outer.batches)
		for batch := range inner.Batches() {
			for s.host.isPartitioned() && ctx.Err() == nil {
				time.Sleep(20 * time.Millisecond)
			}
			select {
			case outer.batches <- batch:
			case <-ctx.Done():
				return
			}
		}
		outer.err = inner.Err()
	}()
	return outer
}

func (h *fakeHost) isPartitioned() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.partitioned
}

func (h *fakeHost) setPartitioned(v bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.partitioned = v
}

func (h *fakeHost) peerHeard() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastPeerContact
}

// pull copies newer topics from three peers in turn every 100 ms.
func (h *fakeHost) pull(ctx context.Context, peers []*fakeHost) {
	for turn := 0; ctx.Err() == nil; turn++ {
		if !h.isPartitioned() {
			for i := range 3 {
				peer := peers[(3*turn+i)%len(peers)]
				if peer == h || peer.isPartitioned() {
					continue
				}
				sent := time.Now()
				for _, t := range peer.bus.List("") {
					h.bus.Publish(t)
				}
				h.mu.Lock()
				h.lastPeerContact = sent
				h.mu.Unlock()
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// startCluster starts n hosts of which the first two watch the store.
func startCluster(ctx context.Context, s *fakeStore, n int) []*fakeHost {
	hosts := make([]*fakeHost, n)
	for i := range hosts {
		hosts[i] = newFakeHost(s, fmt.Sprintf("host-%02d", i), i < 2)
	}
	for _, h := range hosts {
		h.start(ctx, hosts)
	}
	return hosts
}

func newFakeHost(s *fakeStore, name string, watching bool) *fakeHost {
	h := &fakeHost{name: name, watching: watching, bus: &fakeBus{topics: map[string]peersync.Topic{}, changed: make(chan struct{})}}
	h.store = &hostStore{fakeStore: s, host: h}
	h.follower = NewFollower(FollowerConfig{
		Host: topology.HostName(name), Store: h.store, Bus: h.bus, Inventory: testInventory(),
		Watching: func() bool { return h.watching }, PeerHeard: h.peerHeard, Log: zap.NewNop(),
	})
	h.writer = NewWriter(h.store, testInventory(), h.follower.Install, zap.NewNop())
	return h
}

func (h *fakeHost) start(ctx context.Context, peers []*fakeHost) {
	go func() { _ = h.writer.Run(ctx) }()
	go func() { _ = h.follower.Run(ctx) }()
	go h.pull(ctx, peers)
}

func testInventory() declaration.Inventory {
	service := declaration.Service{Name: "inventario", Partitioned: true}
	for i := range 15 {
		service.Servers = append(service.Servers, topology.Server{Name: topology.ServerName(fmt.Sprintf("inv-%02d", i))})
	}
	return declaration.Inventory{Services: []declaration.Service{service}}
}
