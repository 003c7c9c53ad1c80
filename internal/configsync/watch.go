package configsync

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/declaration"
	"github.com/cassiasill/cassiasill/internal/pause"
	"github.com/cassiasill/cassiasill/internal/peersync"
	"github.com/cassiasill/cassiasill/internal/store"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// errResync ends a watch whose documents do not match the head's digest.
var errResync = errors.New("watch missed events")

// followStore keeps a watch on the store while this host is a watcher.
func (f *Follower) followStore(ctx context.Context) error {
	for ctx.Err() == nil {
		if f.config.Watching() {
			if err := f.watchOnce(ctx); err != nil && ctx.Err() == nil {
				f.log.Info("configsync: watch ended; reading all documents again", zap.Error(err))
			}
		}
		_ = pause.For(ctx, watchRetryDelay)
	}
	return nil
}

// watchOnce reads all documents and then follows the events. It returns when the
// watch ends, misses an event or falls behind the head, or when this host is no
// longer a watcher.
func (f *Follower) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	session, revision, err := f.readAll(ctx)
	if err != nil {
		return err
	}
	watch := f.config.Store.Watch(ctx, currentPrefix, revision+1)
	check := time.NewTicker(probeInterval)
	defer check.Stop()
	for {
		select {
		case batch, ok := <-watch.Batches():
			if !ok {
				return watch.Err()
			}
			f.recordStoreContact(time.Now())
			before := session.current.Revision
			if err := session.apply(batch); err != nil {
				return err
			}
			if session.current.Revision > before {
				f.install(session.state(), true)
			}
		case <-check.C:
			if !f.config.Watching() {
				return nil
			}
			// The probe installs what it reads. A watch that is behind at two
			// checks in a row has missed an event.
			if f.Current().Revision() > session.current.Revision {
				if session.lateChecks++; session.lateChecks > 1 {
					return errResync
				}
			} else {
				session.lateChecks = 0
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// watchSession is the state of one watch.
type watchSession struct {
	current State
	// revisions holds the modification revision of each key, to skip repeated
	// events.
	revisions  map[string]int64
	lateChecks int
}

// readAll reads all documents, installs them and returns a new session.
func (f *Follower) readAll(ctx context.Context) (*watchSession, int64, error) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kvs, revision, err := f.config.Store.Range(ctx, currentPrefix)
	if err != nil {
		return nil, 0, err
	}
	f.recordStoreContact(sent)
	state, err := decodeState(kvs)
	if err != nil {
		return nil, 0, err
	}
	s := &watchSession{current: state, revisions: make(map[string]int64, len(kvs))}
	for _, kv := range kvs {
		s.revisions[kv.Key] = kv.ModRevision
	}
	f.install(s.state(), true)
	return s, revision, nil
}

// state returns a copy of the session's state that later events do not change.
func (s *watchSession) state() State {
	out := s.current
	out.Documents = maps.Clone(s.current.Documents)
	return out
}

// apply applies a batch. Afterwards the documents must match the head's digest;
// otherwise an event is missing.
func (s *watchSession) apply(batch store.WatchBatch) error {
	if s.current.Documents == nil {
		s.current.Documents = make(map[declaration.Key]*declaration.Document)
	}
	var newest *head
	for _, event := range batch.Events {
		if event.ModRevision <= s.revisions[event.Key] {
			continue
		}
		s.revisions[event.Key] = event.ModRevision
		if event.Key == headKey {
			h, err := decodeHead(event.KeyValue)
			if err != nil {
				return err
			}
			newest = &h
			s.current.Revision, s.current.headMod = h.Revision, event.ModRevision
			continue
		}
		if event.Deleted {
			// The value of a deleted document may be empty; its key is enough.
			event.Value = []byte("{}")
		}
		key, d, err := decodeDocument(event.KeyValue)
		if err != nil {
			return err
		}
		if event.Deleted {
			d = nil
		}
		s.current.replace(key, d)
	}
	if newest != nil && newest.Digest != s.current.Digest {
		return errResync
	}
	return nil
}

// probe compares the revision in force with the store's head. Watchers do so to
// detect a watch that delivers nothing. Other hosts do so while no watcher
// publishes VerifiedTopic, for instance because all watchers failed at once.
func (f *Follower) probe(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	p := prober{follower: f, verifiedAt: time.Now()}
	for {
		f.readPeers()
		f.installEmptyState()
		if p.needsProbe() {
			p.probeOnce(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// prober is the state of the probe.
type prober struct {
	follower *Follower
	// verified is the latest version of VerifiedTopic and verifiedAt when this
	// host saw it.
	verified   topology.Version
	verifiedAt time.Time
	// behind is true if the last probe found a newer head.
	behind bool
	// notBefore is the earliest time of the next probe after a failed one.
	notBefore time.Time
}

func (p *prober) needsProbe() bool {
	f, now := p.follower, time.Now()
	if topic, ok := f.config.Bus.Get(VerifiedTopic); ok && topic.Version.NewerThan(p.verified) {
		p.verified, p.verifiedAt = topic.Version, now
	}
	if f.config.Watching() {
		return true
	}
	f.mu.Lock()
	lacking := !f.hasState || !f.behindSince.IsZero()
	f.mu.Unlock()
	silent := now.Sub(p.verifiedAt) > maxVerifySilence || now.Sub(f.config.PeerHeard()) > maxPeerSilence
	return (lacking || silent) && !now.Before(p.notBefore)
}

// publishVerified tells the peers that the revision in force is the head's, unless
// another watcher did so within verifyInterval.
func (p *prober) publishVerified() {
	now := time.Now()
	if !p.follower.config.Watching() || !p.verified.IsZero() && now.Sub(p.verifiedAt) < verifyInterval {
		return
	}
	p.verified, p.verifiedAt = topology.Version{Term: topology.NextTerm(p.verified.Term, now)}, now
	p.follower.config.Bus.Publish(peersync.Topic{Name: VerifiedTopic, Version: p.verified})
}

// probeOnce reads the head. If the head is newer than the revision in force, it
// reads all documents. A watcher that has a state does so only at the second such
// probe in a row.
func (p *prober) probeOnce(ctx context.Context) {
	f := p.follower
	getCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	kv, found, _, err := f.config.Store.Get(getCtx, headKey)
	if err != nil {
		// Without this delay every host would call an unavailable store twice a
		// second.
		p.notBefore = time.Now().Add(probeRetryDelay)
		return
	}
	f.recordStoreContact(sent)
	f.mu.Lock()
	revision, known := f.state.Revision, f.hasState
	f.mu.Unlock()
	var h head
	if found {
		if h, err = decodeHead(kv); err != nil {
			f.log.Error("configsync: the store's head is unreadable", zap.Error(err))
			return
		}
	} else if !known {
		f.install(State{}, true)
		return
	}
	switch {
	case known && h.Revision <= revision:
		p.behind = false
		f.markCurrent()
		p.publishVerified()
	case known && f.config.Watching() && !p.behind:
		p.behind = true
		f.markBehind(h.Revision)
	default:
		p.behind = false
		f.markBehind(h.Revision)
		if _, _, err := f.readAll(ctx); err != nil {
			f.log.Warn("configsync: cannot read all documents", zap.Error(err))
		}
	}
}

// installEmptyState installs revision 0 when the store is unavailable, a peer
// reports that revision 0 is in force, and no peer reports a newer one.
func (f *Follower) installEmptyState() {
	f.mu.Lock()
	known := f.hasState
	f.mu.Unlock()
	if known {
		return
	}
	if _, ok := f.config.Bus.Get(Topic); ok {
		return
	}
	topics := f.config.Bus.List(InForceTopic)
	for _, topic := range topics {
		var other InForce
		if err := json.Unmarshal(topic.Payload, &other); err != nil || other.Revision > 0 {
			return
		}
	}
	if len(topics) > 0 {
		f.install(State{}, false)
	}
}
