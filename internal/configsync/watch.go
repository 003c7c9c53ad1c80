package configsync

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/declaration"
	"github.com/cassiasill/cassiasill/internal/store"
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
		sleep(ctx, watchRetry)
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
// to notice a watch that has gone silent; the others only while no peer
// answers, while they know nothing, or while they lack a revision they saw.
func (f *Follower) probe(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	late := false
	for {
		f.readPeers()
		f.learnEmpty()
		if f.mustProbe() {
			late = f.probeOnce(ctx, late)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (f *Follower) mustProbe() bool {
	if f.config.Watching() {
		return true
	}
	f.mu.Lock()
	lacking := !f.known || !f.behindSince.IsZero()
	f.mu.Unlock()
	return lacking || time.Since(f.config.PeerHeard()) > peerSilence
}

// probeOnce reads the head, and everything if the head has been newer than the
// revision in force for two probes. It reports whether the head is newer.
func (f *Follower) probeOnce(ctx context.Context, late bool) bool {
	getCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	kv, found, _, err := f.config.Store.Get(getCtx, headKey)
	if err != nil {
		return late
	}
	f.heardStore(sent)
	f.mu.Lock()
	revision, known := f.state.Revision, f.known
	f.mu.Unlock()
	if !found {
		if !known {
			f.install(State{}, true)
		}
		return false
	}
	h, err := decodeHead(kv)
	if err != nil {
		f.log.Error("configsync: the store's head is unreadable", zap.Error(err))
		return false
	}
	if known && h.Revision <= revision {
		return false
	}
	f.markBehind(h.Revision)
	if late || !known || !f.config.Watching() {
		if _, _, err := f.readAll(ctx); err != nil {
			f.log.Warn("configsync: cannot read all documents", zap.Error(err))
		}
		return false
	}
	return true
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
