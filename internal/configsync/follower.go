package configsync

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/declaration"
	"github.com/cassiasill/cassiasill/internal/peersync"
	"github.com/cassiasill/cassiasill/internal/store"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const (
	// FreshFor is how long a host acts on its declarations without hearing the
	// store or any peer. It leaves 2 s of the 5 s within which a change must be
	// in force everywhere.
	FreshFor = 3 * time.Second
	// probeInterval is how often a host that watches the store, or sees no
	// sign of one that does, compares its revision with the head.
	probeInterval = 500 * time.Millisecond
	// probeRetry is the pause after a probe that failed.
	probeRetry = 2 * time.Second
	// peerSilence is how long no peer may answer before the host asks the
	// store itself. A pull counts from when it was sent, so with pulls that are
	// held open for 1 s the last one that was answered is up to 2 s old.
	peerSilence = 2200 * time.Millisecond
	// verifyInterval is how often watchers together tell that they passed on
	// the head's revision; verifySilence is how long the other hosts do without
	// that sign. Together with a probe they stay under the 5 s within which a
	// change must be in force.
	verifyInterval = time.Second
	verifySilence  = 2 * time.Second
	// watchRetry is the pause before a failed watch is started again.
	watchRetry = 200 * time.Millisecond
)

// FollowerConfig is what a Follower needs.
type FollowerConfig struct {
	Host      topology.HostName
	Store     store.Store
	Bus       peersync.Bus
	Inventory declaration.Inventory
	// Watching reports whether this host is one of those that keep a watch on
	// the store. It may change at any time.
	Watching func() bool
	// PeerHeard returns when the newest request that a peer has answered was
	// sent; zero if none was. The time of sending counts, because an answer
	// may have waited in a socket buffer while this host was paused. It gets as
	// old as twice the time for which a pull is held open, which must therefore
	// be at most 1 s for the host to stay within peerSilence and FreshFor.
	PeerHeard func() time.Time
	Log       *zap.Logger
}

// Follower keeps the declarations that are in force on this host.
type Follower struct {
	config FollowerConfig
	log    *zap.Logger
	set    atomic.Pointer[declaration.Set]

	// installing serializes installations. The lock mu is held only briefly,
	// because Fresh is asked on the path of requests.
	installing sync.Mutex
	mu         sync.Mutex
	// state and known are written under both locks.
	state   State
	known   bool // some state was learned, be it an empty one
	changed chan struct{}
	inForce topology.Version
	// storeHeard is when the newest store call that was answered was sent.
	storeHeard time.Time
	// behindSince is when a newer revision than the own one was first seen.
	behindSince time.Time
}

// NewFollower returns a follower that knows no declarations yet.
func NewFollower(config FollowerConfig) *Follower {
	f := &Follower{config: config, log: config.Log.Named("configsync"), changed: make(chan struct{})}
	f.state.Documents = make(map[declaration.Key]*declaration.Document)
	f.set.Store(declaration.Compile(0, f.state.Documents, config.Inventory))
	return f
}

// Run follows the store and the peers until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	group := pool.New().WithContext(ctx)
	group.Go(f.followPeers)
	group.Go(f.followStore)
	group.Go(f.probe)
	return group.Wait()
}

// Current returns the declarations in force; it is empty at revision 0 until
// the first state is known.
func (f *Follower) Current() *declaration.Set { return f.set.Load() }

// Changed returns a channel that is closed when Current changes next.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Fresh reports whether the host may act on its declarations: it knows some,
// has heard the store or a peer within FreshFor, and has not seen a newer
// revision for that long without getting it.
func (f *Follower) Fresh() bool {
	now := time.Now()
	f.mu.Lock()
	known, heard, behind := f.known, f.storeHeard, f.behindSince
	f.mu.Unlock()
	if peer := f.config.PeerHeard(); peer.After(heard) {
		heard = peer
	}
	return known && now.Sub(heard) <= FreshFor && (behind.IsZero() || now.Sub(behind) <= FreshFor)
}

// Install brings a state from the store or from this host's Writer into force
// if it is newer than the current one, and passes it on to the peers.
func (f *Follower) Install(state State) { f.install(state, true) }

func (f *Follower) install(state State, fromStore bool) {
	f.installing.Lock()
	defer f.installing.Unlock()
	before := f.state
	if f.known && state.Revision <= before.Revision {
		return
	}
	set := declaration.Compile(state.Revision, state.Documents, f.config.Inventory)
	f.mu.Lock()
	f.state, f.known, f.behindSince = state, true, time.Time{}
	f.set.Store(set)
	close(f.changed)
	f.changed = make(chan struct{})
	f.mu.Unlock()
	if fromStore && state.Revision > 0 {
		f.publish(before)
	}
	f.publishInForce()
	f.log.Info("configsync: declarations in force", zap.Uint64("revision", state.Revision),
		zap.Uint64("before", before.Revision), zap.Int("documents", len(state.Documents)), zap.Bool("fromStore", fromStore))
}

// publish passes the current state on. The changes are appended to those that
// the bus holds if they fit; otherwise a snapshot starts them anew.
func (f *Follower) publish(before State) {
	next := payload{Revision: f.state.Revision, Digest: f.state.Digest}
	held, ok := f.heldPayload()
	if ok && held.Revision >= next.Revision {
		return
	}
	if ok && held.Revision == before.Revision && held.Digest == before.Digest && before.Revision > 0 {
		next.Deltas = append(held.Deltas, difference(before, f.state))
	}
	data := encode(next)
	if len(next.Deltas) == 0 || len(next.Deltas) > maxDeltas || len(data) > maxDeltaBytes {
		next.Deltas = nil
		data = encode(next)
		// The snapshot goes first, so that a peer with the changes can always
		// get a snapshot to apply them to.
		f.config.Bus.Publish(peersync.Topic{Name: SnapshotTopic, Version: version(f.state.Revision), Payload: encodeSnapshot(f.state)})
	}
	f.config.Bus.Publish(peersync.Topic{Name: Topic, Version: version(f.state.Revision), Payload: data})
}

// version orders the topics by revision alone, whoever publishes them.
func version(revision uint64) topology.Version { return topology.Version{Sequence: revision} }

// heldPayload returns what the bus holds. An unreadable payload, as a newer
// release may send, counts as a revision that this host lacks: it then asks the
// store.
func (f *Follower) heldPayload() (payload, bool) {
	topic, ok := f.config.Bus.Get(Topic)
	if !ok {
		return payload{}, false
	}
	var p payload
	if err := json.Unmarshal(topic.Payload, &p); err != nil {
		f.log.Error("configsync: peers sent unreadable declarations", zap.Error(err))
		f.markBehind(topic.Version.Sequence)
		return payload{}, false
	}
	return p, true
}

func (f *Follower) publishInForce() {
	name := InForceTopic + string(f.config.Host)
	data := encode(InForce{Host: string(f.config.Host), Revision: f.state.Revision})
	for range 2 {
		if f.inForce.IsZero() {
			held, _ := f.config.Bus.Get(name)
			f.inForce.Term = topology.NextTerm(held.Version.Term, time.Now())
		}
		f.inForce.Sequence++
		if f.config.Bus.Publish(peersync.Topic{Name: name, Version: f.inForce, Payload: data}) {
			return
		}
		// A peer brought back what this host published before a restart.
		f.inForce = topology.Version{}
	}
}

// followPeers installs what the bus brings.
func (f *Follower) followPeers(ctx context.Context) error {
	for {
		changed := f.config.Bus.Changed(Topic)
		f.readPeers()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (f *Follower) readPeers() {
	p, ok := f.heldPayload()
	if !ok {
		return
	}
	f.mu.Lock()
	current := f.state
	f.mu.Unlock()
	if p.Revision <= current.Revision {
		return
	}
	topic, _ := f.config.Bus.Get(SnapshotTopic)
	next, complete, err := p.catchUp(current, topic.Payload)
	if err != nil {
		f.log.Error("configsync: peers sent an unreadable snapshot", zap.Error(err))
	}
	if !complete {
		f.markBehind(p.Revision)
		return
	}
	f.install(next, false)
}

// markBehind notes that a newer revision exists than the one in force.
func (f *Follower) markBehind(revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision > f.state.Revision && f.behindSince.IsZero() {
		f.behindSince = time.Now()
	}
}

// markCurrent notes that the store knows no newer revision.
func (f *Follower) markCurrent() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behindSince = time.Time{}
}

func (f *Follower) heardStore(sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if sent.After(f.storeHeard) {
		f.storeHeard = sent
	}
}
