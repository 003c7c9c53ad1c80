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
	// FreshFor is how long a host acts on its declarations without a response
	// from the store or any peer. It leaves 2 s of the 5 s within which a change must be
	// in force everywhere.
	FreshFor = 3 * time.Second
	// probeInterval is how often a host that watches the store, or does
	// not receive VerifiedTopic, compares its revision with the head.
	probeInterval = 500 * time.Millisecond
	// probeRetryDelay is the delay after a failed probe.
	probeRetryDelay = 2 * time.Second
	// maxPeerSilence is how long a host goes without a response from a peer
	// before it reads the store itself. A pull counts from the time it was
	// sent, so with pulls that are held open for 1 s the last successful one is
	// up to 2 s old.
	maxPeerSilence = 2200 * time.Millisecond
	// verifyInterval is the interval at which the watchers together publish
	// VerifiedTopic; maxVerifySilence is how long the other hosts wait for it
	// before they probe. Both and one probe together stay under the 5 s within
	// which a change must be in force.
	verifyInterval   = time.Second
	maxVerifySilence = 2 * time.Second
	// watchRetryDelay is the delay before a failed watch is restarted.
	watchRetryDelay = 200 * time.Millisecond
)

// FollowerConfig holds the dependencies of a Follower.
type FollowerConfig struct {
	Host      topology.HostName
	Store     store.Store
	Bus       peersync.Bus
	Inventory declaration.Inventory
	// Watching reports whether this host is one of those that keep a watch on
	// the store. It may change at any time.
	Watching func() bool
	// PeerHeard returns the send time of the latest request to which a peer has
	// responded; zero if there is none. The send time counts, because a response
	// may have waited in a socket buffer while this host was paused. The age
	// reaches twice the time for which a pull is held open. That time must
	// therefore be at most 1 s for the host to stay within maxPeerSilence and
	// FreshFor.
	PeerHeard func() time.Time
	Log       *zap.Logger
}

// Follower keeps the declarations that are in force on this host.
type Follower struct {
	config FollowerConfig
	log    *zap.Logger
	set    atomic.Pointer[declaration.Set]

	// installMu serializes installations. The lock mu is held only briefly,
	// because Fresh is called on the request path.
	installMu sync.Mutex
	mu        sync.Mutex
	// state and hasState are written under both locks.
	state          State
	hasState       bool // a state was installed, possibly an empty one
	changed        chan struct{}
	inForceVersion topology.Version
	// lastStoreContact is the send time of the latest successful store call, or
	// the arrival of the latest watch batch if that is later.
	lastStoreContact time.Time
	// behindSince is when a revision newer than the one in force was first
	// seen; zero if there is none.
	behindSince time.Time
}

// NewFollower returns a follower without declarations.
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

// Fresh reports whether the host may act on its declarations. It has installed a
// state, had a response from the store or a peer within FreshFor, and has not
// lacked a newer revision for longer than FreshFor.
func (f *Follower) Fresh() bool {
	now := time.Now()
	f.mu.Lock()
	known, heard, behind := f.hasState, f.lastStoreContact, f.behindSince
	f.mu.Unlock()
	if peer := f.config.PeerHeard(); peer.After(heard) {
		heard = peer
	}
	return known && now.Sub(heard) <= FreshFor && (behind.IsZero() || now.Sub(behind) <= FreshFor)
}

// Install puts a state from the store or from this host's Writer into force
// if it is newer than the current one, and publishes it to the peers.
func (f *Follower) Install(state State) { f.install(state, true) }

func (f *Follower) install(state State, fromStore bool) {
	f.installMu.Lock()
	defer f.installMu.Unlock()
	before := f.state
	if f.hasState && state.Revision <= before.Revision {
		return
	}
	set := declaration.Compile(state.Revision, state.Documents, f.config.Inventory)
	f.mu.Lock()
	f.state, f.hasState, f.behindSince = state, true, time.Time{}
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

// publish sends the current state to the peers. The changes are appended to those
// on the bus if they fit; otherwise a new snapshot replaces those.
func (f *Follower) publish(before State) {
	next := payload{Revision: f.state.Revision, Digest: f.state.Digest}
	held, ok := f.busPayload()
	if ok && held.Revision >= next.Revision {
		return
	}
	if ok && held.Revision == before.Revision && held.Digest == before.Digest && before.Revision > 0 {
		next.Deltas = append(held.Deltas, difference(before, f.state))
	}
	data := mustMarshal(next)
	if len(next.Deltas) == 0 || len(next.Deltas) > maxDeltas || len(data) > maxDeltaBytes {
		next.Deltas = nil
		data = mustMarshal(next)
		// The snapshot is published first, so that a peer that has the changes
		// can always get a snapshot to apply them to.
		f.config.Bus.Publish(peersync.Topic{Name: SnapshotTopic, Version: version(f.state.Revision), Payload: encodeSnapshot(f.state)})
	}
	f.config.Bus.Publish(peersync.Topic{Name: Topic, Version: version(f.state.Revision), Payload: data})
}

// version orders the topics by revision alone, whoever publishes them.
func version(revision uint64) topology.Version { return topology.Version{Sequence: revision} }

// busPayload returns the payload of Topic on the bus. An unreadable payload, as a
// newer release may send, counts as a revision that this host lacks; the host then
// reads the store.
func (f *Follower) busPayload() (payload, bool) {
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
	data := mustMarshal(InForce{Host: string(f.config.Host), Revision: f.state.Revision})
	for range 2 {
		if f.inForceVersion.IsZero() {
			held, _ := f.config.Bus.Get(name)
			f.inForceVersion.Term = topology.NextTerm(held.Version.Term, time.Now())
		}
		f.inForceVersion.Sequence++
		if f.config.Bus.Publish(peersync.Topic{Name: name, Version: f.inForceVersion, Payload: data}) {
			return
		}
		// A peer returned what this host published before a restart, with a
		// newer version. The next attempt uses a higher term.
		f.inForceVersion = topology.Version{}
	}
}

// followPeers installs newer states that arrive on the bus.
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
	p, ok := f.busPayload()
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

// markBehind records that a newer revision than the one in force exists.
func (f *Follower) markBehind(revision uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision > f.state.Revision && f.behindSince.IsZero() {
		f.behindSince = time.Now()
	}
}

// markCurrent records that the store has no newer revision.
func (f *Follower) markCurrent() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behindSince = time.Time{}
}

func (f *Follower) recordStoreContact(sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if sent.After(f.lastStoreContact) {
		f.lastStoreContact = sent
	}
}
