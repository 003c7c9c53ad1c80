package memory

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/cassiasill/cassiasill/internal/store"
)

// View is the store as one client reaches it. It implements store.Store.
type View struct {
	backend *Store
	client  string
	era     *store.EraClock
	// raw makes the view behave like the store itself, which knows the revisions
	// and leases of its copy, instead of like a client that tells eras apart.
	raw bool
}

// Era returns the latest era that a response has stated to this client.
func (v *View) Era() store.Era { return v.era.Latest() }

// currentEra returns the era that revisions in results include. The caller holds
// the lock.
func (v *View) currentEra() store.Era {
	if v.raw {
		return store.FirstEra
	}
	return v.backend.era
}

// withEra returns the key with the era of its revisions.
func withEra(era store.Era, kv store.KeyValue) store.KeyValue {
	kv.ModRevision, kv.CreateRevision = store.WithEra(era, kv.ModRevision), store.WithEra(era, kv.CreateRevision)
	return kv
}

var _ store.Store = (*View)(nil)

// Get returns one key.
func (v *View) Get(ctx context.Context, key string) (kv store.KeyValue, found bool, revision int64, err error) {
	err = v.read(ctx, "get", func() {
		kv, found = v.backend.keys[key]
		kv = withEra(v.currentEra(), kv)
		kv.Value = bytes.Clone(kv.Value)
		revision = store.WithEra(v.currentEra(), v.backend.revision)
	})
	return kv, found, revision, err
}

// Range returns all keys with the prefix in key order.
func (v *View) Range(ctx context.Context, prefix string) (kvs []store.KeyValue, revision int64, err error) {
	err = v.read(ctx, "range", func() {
		for key, kv := range v.backend.keys {
			if strings.HasPrefix(key, prefix) {
				kv = withEra(v.currentEra(), kv)
				kv.Value = bytes.Clone(kv.Value)
				kvs = append(kvs, kv)
			}
		}
		revision = store.WithEra(v.currentEra(), v.backend.revision)
	})
	slices.SortFunc(kvs, func(a, b store.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return kvs, revision, err
}

// Txn applies ops if all compares hold.
func (v *View) Txn(ctx context.Context, compares []store.Compare, ops []store.Op) (store.TxnResult, error) {
	for _, op := range ops {
		if len(op.Value) > store.MaxValueBytes {
			return store.TxnResult{}, &store.Error{Kind: store.KindTooLarge, Op: "txn", Err: errTooLarge}
		}
	}
	stripped, inEra := v.era.InLatestEra(compares)
	if !inEra {
		return store.TxnResult{}, nil
	}
	return write(ctx, v, "txn", func() (store.TxnResult, error) {
		result, err := v.backend.txn(stripped, ops)
		if err == nil {
			err = store.CheckTxn(compares, v.currentEra())
		}
		result.Revision = store.WithEra(v.currentEra(), result.Revision)
		return result, err
	})
}

// GrantLease creates a lease.
func (v *View) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	return write(ctx, v, "grant lease", func() (store.LeaseID, error) {
		v.backend.nextLease++
		l := &lease{ttl: ttl, keys: make(map[string]bool)}
		v.backend.leases[v.backend.nextLease] = l
		v.backend.startLeaseTimer(v.backend.nextLease, l)
		v.era.AddLease(v.backend.nextLease, v.currentEra())
		return v.backend.nextLease, nil
	})
}

// KeepAlive renews a lease once.
func (v *View) KeepAlive(ctx context.Context, id store.LeaseID) error {
	return v.updateLease(ctx, "keep alive", id, func(l *lease) { v.backend.startLeaseTimer(id, l) })
}

// RevokeLease ends a lease and deletes its keys.
func (v *View) RevokeLease(ctx context.Context, id store.LeaseID) error {
	return v.updateLease(ctx, "revoke lease", id, func(*lease) { v.backend.removeLease(id) })
}

func (v *View) updateLease(ctx context.Context, op string, id store.LeaseID, f func(*lease)) error {
	if err := v.era.CheckLease(op, id); err != nil {
		return err
	}
	_, err := write(ctx, v, op, func() (struct{}, error) {
		l := v.backend.leases[id]
		if l == nil {
			return struct{}{}, &store.Error{Kind: store.KindNotFound, Op: op, Err: errLeaseNotFound}
		}
		f(l)
		return struct{}{}, nil
	})
	if err == nil {
		err = v.era.CheckLease(op, id)
	}
	return err
}

// read waits for the response delay and then runs f under the lock.
func (v *View) read(ctx context.Context, op string, f func()) error {
	v.backend.mu.Lock()
	v.backend.countsOf(v.client).Reads++
	delay := v.backend.responseDelay
	v.backend.mu.Unlock()
	if err := sleepContext(ctx, delay); err != nil {
		return &store.Error{Kind: store.KindUnavailable, Op: op, Err: err}
	}
	v.backend.mu.Lock()
	defer v.backend.mu.Unlock()
	if err := v.backend.checkReachable(v.client); err != nil {
		return &store.Error{Kind: store.KindUnavailable, Op: op, Err: err}
	}
	if err := v.era.Accept(op, v.currentEra(), false); err != nil {
		return err
	}
	f()
	return nil
}

type writeResult[T any] struct {
	value T
	err   error
}

// write runs f under the lock. With a response delay, f runs even if the caller
// has given up, like a request that was already sent.
func write[T any](ctx context.Context, v *View, op string, f func() (T, error)) (T, error) {
	s := v.backend
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countsOf(v.client).Writes++
	err := ctx.Err()
	if err == nil {
		err = s.checkReachable(v.client)
	}
	if err != nil {
		var zero T
		return zero, &store.Error{Kind: store.KindUnavailable, Op: op, Err: err}
	}
	run := func() writeResult[T] {
		if err := v.era.Accept(op, v.currentEra(), true); err != nil {
			return writeResult[T]{err: err}
		}
		value, err := f()
		if s.responsesToDrop != 0 {
			s.responsesToDrop = max(s.responsesToDrop-1, -1)
			err = &store.Error{Kind: store.KindAmbiguous, Op: op, Err: errResponseDropped}
		}
		return writeResult[T]{value, err}
	}
	if s.responseDelay == 0 {
		out := run()
		return out.value, out.err
	}
	halfDelay := s.responseDelay / 2
	done := make(chan writeResult[T], 1)
	time.AfterFunc(halfDelay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if err := s.checkReachable(v.client); err != nil {
			done <- writeResult[T]{err: &store.Error{Kind: store.KindAmbiguous, Op: op, Err: err}}
			return
		}
		done <- run()
	})
	s.mu.Unlock()
	defer s.mu.Lock()
	var out writeResult[T]
	select {
	case out = <-done:
		err = sleepContext(ctx, halfDelay)
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		out = writeResult[T]{err: &store.Error{Kind: store.KindAmbiguous, Op: op, Err: err}}
	}
	return out.value, out.err
}

func sleepContext(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

type watch struct {
	batches chan store.WatchBatch
	err     error
}

func (w *watch) Batches() <-chan store.WatchBatch { return w.batches }

// Err returns the reason for the end of the watch. It needs no lock: it is called
// after batches is closed, and err is set before that.
func (w *watch) Err() error { return w.err }

// Watch delivers the changes of keys with the prefix, starting with those of
// revision from; zero starts with the next change.
func (v *View) Watch(ctx context.Context, prefix string, from int64) store.Watch {
	w := &watch{batches: make(chan store.WatchBatch)}
	s := v.backend
	s.mu.Lock()
	defer s.mu.Unlock()
	if from <= 0 {
		from = store.WithEra(v.currentEra(), s.revision+1)
	}
	counts := s.countsOf(v.client)
	counts.Reads++
	counts.OpenWatches++
	counts.PeakWatches = max(counts.PeakWatches, counts.OpenWatches)
	open := 0
	for _, c := range s.calls {
		open += c.OpenWatches
	}
	s.peakWatches = max(s.peakWatches, open)
	s.group.Go(func() {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(s.ctx, cancel)()
		w.err = v.sendBatches(ctx, w.batches, prefix, from)
		s.mu.Lock()
		counts.OpenWatches--
		s.mu.Unlock()
		close(w.batches)
	})
	return w
}

// sendBatches sends batches to out until the watch fails, and returns the error.
func (v *View) sendBatches(ctx context.Context, out chan<- store.WatchBatch, prefix string, next int64) error {
	for {
		batch, changed, delay, err := v.nextBatch(prefix, next)
		if err != nil {
			return err
		}
		if len(batch.Events) > 0 {
			err := sleepContext(ctx, delay)
			if err == nil {
				select {
				case out <- batch:
				case <-ctx.Done():
					err = ctx.Err()
				}
			}
			if err != nil {
				return &store.Error{Kind: store.KindUnavailable, Op: "watch", Err: err}
			}
		}
		next = max(next, batch.Revision+1)
		select {
		case <-changed:
		case <-ctx.Done():
			return &store.Error{Kind: store.KindUnavailable, Op: "watch", Err: ctx.Err()}
		}
	}
}

func (v *View) nextBatch(prefix string, from int64) (store.WatchBatch, <-chan struct{}, time.Duration, error) {
	s := v.backend
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkReachable(v.client); err != nil {
		return store.WatchBatch{}, nil, 0, &store.Error{Kind: store.KindUnavailable, Op: "watch", Err: err}
	}
	if err := v.era.Accept("watch", v.currentEra(), false); err != nil {
		return store.WatchBatch{}, nil, 0, err
	}
	if err := store.CheckWatch(from, v.currentEra()); err != nil {
		return store.WatchBatch{}, nil, 0, err
	}
	rawFrom := store.WithoutEra(from)
	if rawFrom <= s.compactRevision || rawFrom > s.revision+1 {
		return store.WatchBatch{}, nil, 0, &store.Error{Kind: store.KindCompacted, Op: "watch", Err: errors.New("history was compacted")}
	}
	events := s.eventsSince(prefix, rawFrom)
	for i := range events {
		events[i].KeyValue = withEra(v.currentEra(), events[i].KeyValue)
	}
	return store.WatchBatch{Events: events, Revision: store.WithEra(v.currentEra(), s.revision)}, s.changed, s.responseDelay, nil
}
