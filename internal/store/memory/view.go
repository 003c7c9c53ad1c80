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

// View is the store as one client sees it.
type View struct {
	s    *Store
	name string
}

var _ store.Store = (*View)(nil)

// Get returns one key.
func (v *View) Get(ctx context.Context, key string) (kv store.KeyValue, found bool, revision int64, err error) {
	err = v.read(ctx, "get", func() {
		kv, found = v.s.keys[key]
		kv.Value = bytes.Clone(kv.Value)
		revision = v.s.revision
	})
	return kv, found, revision, err
}

// Range returns the keys with the prefix.
func (v *View) Range(ctx context.Context, prefix string) (kvs []store.KeyValue, revision int64, err error) {
	err = v.read(ctx, "range", func() {
		for key, kv := range v.s.keys {
			if strings.HasPrefix(key, prefix) {
				kv.Value = bytes.Clone(kv.Value)
				kvs = append(kvs, kv)
			}
		}
		revision = v.s.revision
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
	return write(ctx, v, "txn", func() (store.TxnResult, error) { return v.s.txn(compares, ops) })
}

// GrantLease creates a lease.
func (v *View) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	return write(ctx, v, "grant lease", func() (store.LeaseID, error) {
		v.s.nextLease++
		l := &lease{ttl: ttl, keys: make(map[string]bool)}
		v.s.leases[v.s.nextLease] = l
		v.s.arm(v.s.nextLease, l)
		return v.s.nextLease, nil
	})
}

// KeepAlive renews a lease once.
func (v *View) KeepAlive(ctx context.Context, id store.LeaseID) error {
	return v.onLease(ctx, "keep alive", id, func(l *lease) { v.s.arm(id, l) })
}

// RevokeLease ends a lease and deletes its keys.
func (v *View) RevokeLease(ctx context.Context, id store.LeaseID) error {
	return v.onLease(ctx, "revoke lease", id, func(*lease) { v.s.endLease(id) })
}

func (v *View) onLease(ctx context.Context, op string, id store.LeaseID, f func(*lease)) error {
	_, err := write(ctx, v, op, func() (struct{}, error) {
		l := v.s.leases[id]
		if l == nil {
			return struct{}{}, &store.Error{Kind: store.KindNotFound, Op: op, Err: errNoLease}
		}
		f(l)
		return struct{}{}, nil
	})
	return err
}

// read waits as long as the store is slow and runs f under the lock.
func (v *View) read(ctx context.Context, op string, f func()) error {
	v.s.mu.Lock()
	v.s.countsOf(v.name).Reads++
	slow := v.s.slow
	v.s.mu.Unlock()
	if err := sleep(ctx, slow); err != nil {
		return &store.Error{Kind: store.KindUnavailable, Op: op, Err: err}
	}
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	if err := v.s.reach(v.name); err != nil {
		return &store.Error{Kind: store.KindUnavailable, Op: op, Err: err}
	}
	f()
	return nil
}

type outcome[T any] struct {
	value T
	err   error
}

// write runs f under the lock. On a slow store f runs although the caller may
// have given up, as a request that was already sent does.
func write[T any](ctx context.Context, v *View, op string, f func() (T, error)) (T, error) {
	s := v.s
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countsOf(v.name).Writes++
	err := ctx.Err()
	if err == nil {
		err = s.reach(v.name)
	}
	if err != nil {
		var zero T
		return zero, &store.Error{Kind: store.KindUnavailable, Op: op, Err: err}
	}
	run := func() outcome[T] {
		value, err := f()
		if s.lose != 0 {
			s.lose = max(s.lose-1, -1)
			err = &store.Error{Kind: store.KindAmbiguous, Op: op, Err: errLost}
		}
		return outcome[T]{value, err}
	}
	if s.slow == 0 {
		out := run()
		return out.value, out.err
	}
	half := s.slow / 2
	done := make(chan outcome[T], 1)
	time.AfterFunc(half, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if err := s.reach(v.name); err != nil {
			done <- outcome[T]{err: &store.Error{Kind: store.KindAmbiguous, Op: op, Err: err}}
			return
		}
		done <- run()
	})
	s.mu.Unlock()
	defer s.mu.Lock()
	var out outcome[T]
	select {
	case out = <-done:
		err = sleep(ctx, half)
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		out = outcome[T]{err: &store.Error{Kind: store.KindAmbiguous, Op: op, Err: err}}
	}
	return out.value, out.err
}

func sleep(ctx context.Context, d time.Duration) error {
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

// Err is read after batches is closed, which orders it after the write.
func (w *watch) Err() error { return w.err }

// Watch delivers changes from revision from on; zero means from now on.
func (v *View) Watch(ctx context.Context, prefix string, from int64) store.Watch {
	w := &watch{batches: make(chan store.WatchBatch)}
	s := v.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if from <= 0 {
		from = s.revision + 1
	}
	counts := s.countsOf(v.name)
	counts.Reads++
	counts.OpenWatches++
	counts.PeakWatches = max(counts.PeakWatches, counts.OpenWatches)
	open := 0
	for _, c := range s.calls {
		open += c.OpenWatches
	}
	s.peak = max(s.peak, open)
	s.group.Go(func() {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(s.stopped, cancel)()
		w.err = v.deliver(ctx, w.batches, prefix, from)
		s.mu.Lock()
		counts.OpenWatches--
		s.mu.Unlock()
		close(w.batches)
	})
	return w
}

// deliver sends batches until it fails and returns why.
func (v *View) deliver(ctx context.Context, out chan<- store.WatchBatch, prefix string, next int64) error {
	for {
		batch, changed, slow, err := v.next(prefix, next)
		if err != nil {
			return err
		}
		if len(batch.Events) > 0 {
			err := sleep(ctx, slow)
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

func (v *View) next(prefix string, from int64) (store.WatchBatch, <-chan struct{}, time.Duration, error) {
	s := v.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.reach(v.name); err != nil {
		return store.WatchBatch{}, nil, 0, &store.Error{Kind: store.KindUnavailable, Op: "watch", Err: err}
	}
	if from <= s.compacted {
		return store.WatchBatch{}, nil, 0, &store.Error{Kind: store.KindCompacted, Op: "watch", Err: errors.New("history was compacted")}
	}
	return store.WatchBatch{Events: s.since(prefix, from), Revision: s.revision}, s.changed, s.slow, nil
}
