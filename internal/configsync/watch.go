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

// errResync ends a watch whose events do not add up to the head's digest.
var errResync = errors.New("the watch has skipped events")

// followStore keeps a watch on the store while this host is a watcher.
func (f *Follower) followStore(ctx context.Context) error {
	for ctx.Err() == nil {
		if f.config.Watching() {
			if err := f.watchOnce(ctx); err != nil && ctx.Err() == nil {
				f.log.Info("configsync: watch ended, reading all documents again", zap.Error(err))
			}
		}
		_ = pause.For(ctx, watchRetry)
	}
	return nil
}

// watchOnce reads everything and then follows the events until the watch ends,
// skips something, falls behind the head or the host is no watcher any more.
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
			f.heardStore(time.Now())
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
			// The probe installs what it finds; a watch that is two probes
			// late has lost an event.
			if f.Current().Revision() > session.current.Revision {
				if session.late++; session.late > 1 {
					return errResync
				}
			} else {
				session.late = 0
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// session is the state of one watch.
type session struct {
	current State
	// revisions holds the store's revision of each key, to skip repeated
	// events.
	revisions map[string]int64
	late      int
}

// readAll reads all documents, installs them and returns a new session.
func (f *Follower) readAll(ctx context.Context) (*session, int64, error) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kvs, revision, err := f.config.Store.Range(ctx, currentPrefix)
	if err != nil {
		return nil, 0, err
	}
	f.heardStore(sent)
	state, err := decodeState(kvs)
	if err != nil {
		return nil, 0, err
	}
	s := &session{current: state, revisions: make(map[string]int64, len(kvs))}
	for _, kv := range kvs {
		s.revisions[kv.Key] = kv.ModRevision
	}
	f.install(s.state(), true)
	return s, revision, nil
}

// state returns a copy of the session's state that later events do not change.
func (s *session) state() State {
	out := s.current
	out.Documents = maps.Clone(s.current.Documents)
	return out
}

// apply applies a batch. After the batch the documents must be exactly those
// that the head announces; otherwise an event is missing.
func (s *session) apply(batch store.WatchBatch) error {
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

// probe compares the revision in force with the store's head. Watchers do so
// to notice a watch that has gone silent; the others while they have no sign
// that a watcher does, for instance because all watchers were lost at once.
func (f *Follower) probe(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	p := prober{follower: f, verifiedAt: time.Now()}
	for {
		f.readPeers()
		f.learnEmpty()
		if p.due() {
			p.once(ctx)
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
	// verified is the newest sign of a watcher and verifiedAt when it came.
	verified   topology.Version
	verifiedAt time.Time
	// late is true if the last probe found a newer head.
	late bool
	// notBefore delays probes after one that failed.
	notBefore time.Time
}

func (p *prober) due() bool {
	f, now := p.follower, time.Now()
	if topic, ok := f.config.Bus.Get(VerifiedTopic); ok && topic.Version.Newer(p.verified) {
		p.verified, p.verifiedAt = topic.Version, now
	}
	if f.config.Watching() {
		return true
	}
	f.mu.Lock()
	lacking := !f.known || !f.behindSince.IsZero()
	f.mu.Unlock()
	silent := now.Sub(p.verifiedAt) > verifySilence || now.Sub(f.config.PeerHeard()) > peerSilence
	return (lacking || silent) && !now.Before(p.notBefore)
}

// verify tells the peers that the revision in force is the head's, unless
// another watcher has just done so.
func (p *prober) verify() {
	now := time.Now()
	if !p.follower.config.Watching() || !p.verified.IsZero() && now.Sub(p.verifiedAt) < verifyInterval {
		return
	}
	p.verified, p.verifiedAt = topology.Version{Term: topology.NextTerm(p.verified.Term, now)}, now
	p.follower.config.Bus.Publish(peersync.Topic{Name: VerifiedTopic, Version: p.verified})
}

// once reads the head, and everything if this host is no watcher or if the
// head has been newer than the revision in force for two probes.
func (p *prober) once(ctx context.Context) {
	f := p.follower
	getCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	kv, found, _, err := f.config.Store.Get(getCtx, headKey)
	if err != nil {
		// Without the pause the whole fleet would call a store that is down
		// twice a second.
		p.notBefore = time.Now().Add(probeRetry)
		return
	}
	f.heardStore(sent)
	f.mu.Lock()
	revision, known := f.state.Revision, f.known
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
		p.late = false
		f.markCurrent()
		p.verify()
	case known && f.config.Watching() && !p.late:
		p.late = true
		f.markBehind(h.Revision)
	default:
		p.late = false
		f.markBehind(h.Revision)
		if _, _, err := f.readAll(ctx); err != nil {
			f.log.Warn("configsync: cannot read all documents", zap.Error(err))
		}
	}
}

// learnEmpty makes revision 0 known when the store is down but a peer says that
// revision 0 is in force on it and nobody has a newer one.
func (f *Follower) learnEmpty() {
	f.mu.Lock()
	known := f.known
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
