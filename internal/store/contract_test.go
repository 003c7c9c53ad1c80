package store_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/standin"
	"github.com/cassiasill/cassiasill/internal/store"
	"github.com/cassiasill/cassiasill/internal/store/gateway"
	"github.com/cassiasill/cassiasill/internal/store/memory"
)

// deadEndpoint refuses every connection.
const deadEndpoint = "http://10.0.0.9:2379"

// forEachStore runs test on a fake clock, once against the memory store and once
// against the gateway client in front of it. The client's first endpoint refuses
// connections.
func forEachStore(t *testing.T, test func(t *testing.T, backend *memory.Store, s store.Store)) {
	t.Run("memory", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			backend := memory.New()
			defer backend.Close()
			test(t, backend, backend.Client("a"))
		})
	})
	t.Run("gateway", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			backend, network := memory.New(), standin.NewNetwork()
			listener, err := network.Listen("tcp", "10.0.0.1:2379")
			assert.NilError(t, err)
			server := &http.Server{Handler: standin.NewStoreServer(backend.Client("a"))}
			var group conc.WaitGroup
			group.Go(func() { _ = server.Serve(listener) })
			client := network.Client()
			defer func() {
				client.CloseIdleConnections()
				assert.Check(t, server.Close() == nil)
				group.Wait()
				backend.Close()
			}()
			test(t, backend, gateway.New(client, 5*time.Second, deadEndpoint, "http://10.0.0.1:2379"))
		})
	})
}

func kindOf(err error) store.Kind {
	var e *store.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return 0
}

func put(t *testing.T, s store.Store, key, value string) int64 {
	t.Helper()
	result, err := s.Txn(t.Context(), nil, []store.Op{store.Put(key, []byte(value))})
	assert.NilError(t, err)
	assert.Assert(t, result.Succeeded)
	return result.Revision
}

// Guards against transactions that are applied partly, or although a key's
// revision has changed.
func TestTxnAppliesAllOrNothing(t *testing.T) {
	forEachStore(t, func(t *testing.T, _ *memory.Store, s store.Store) {
		ctx := t.Context()
		create := []store.Compare{{Key: "/a", ModRevision: 0}}
		first, err := s.Txn(ctx, create, []store.Op{store.Put("/a", []byte("1")), store.Put("/b", []byte{0, 0xff})})
		assert.NilError(t, err)
		assert.Assert(t, first.Succeeded)
		second, err := s.Txn(ctx, create, []store.Op{store.Put("/a", []byte("2")), store.Delete("/b")})
		assert.NilError(t, err)
		assert.Equal(t, second, store.TxnResult{Succeeded: false, Revision: first.Revision})

		want := []store.KeyValue{
			{Key: "/a", Value: []byte("1"), CreateRevision: first.Revision, ModRevision: first.Revision},
			{Key: "/b", Value: []byte{0, 0xff}, CreateRevision: first.Revision, ModRevision: first.Revision}}
		all, revision, err := s.Range(ctx, "/")
		assert.NilError(t, err)
		assert.DeepEqual(t, all, want)
		assert.Equal(t, revision, first.Revision)
		third, err := s.Txn(ctx, []store.Compare{{Key: "/a", ModRevision: first.Revision}}, []store.Op{store.Put("/a", []byte("3"))})
		assert.NilError(t, err)
		kv, found, _, err := s.Get(ctx, "/a")
		assert.NilError(t, err)
		assert.Assert(t, found)
		assert.DeepEqual(t, kv, store.KeyValue{Key: "/a", Value: []byte("3"), CreateRevision: first.Revision, ModRevision: third.Revision})
		// A compare with the revision of a key that was deleted since must fail.
		_, err = s.Txn(ctx, nil, []store.Op{store.Delete("/b")})
		assert.NilError(t, err)
		fourth, err := s.Txn(ctx, []store.Compare{{Key: "/b", ModRevision: first.Revision}}, []store.Op{store.Put("/b", nil)})
		assert.NilError(t, err)
		assert.Assert(t, !fourth.Succeeded)
		_, found, _, err = s.Get(ctx, "/")
		assert.NilError(t, err)
		assert.Assert(t, !found)
	})
}

// Guards against a wrong error kind, such as KindUnavailable for a write that was
// applied, when a response is lost, the store is unreachable or slow, or a value
// is too large.
func TestFaultsAreClassified(t *testing.T) {
	value := func(n int) []store.Op { return []store.Op{store.Put("/k", make([]byte, n))} }
	cases := []struct {
		name    string
		fault   func(*memory.Store)
		ops     []store.Op
		want    store.Kind
		applied bool
	}{
		{"down", (*memory.Store).StartOutage, value(1), store.KindUnavailable, false},
		{"cut off", func(m *memory.Store) { m.Partition("a") }, value(1), store.KindUnavailable, false},
		{"response lost", func(m *memory.Store) { m.DropResponses(1) }, value(1), store.KindAmbiguous, true},
		{"slow", func(m *memory.Store) { m.SetResponseDelay(time.Minute) }, value(1), store.KindAmbiguous, true},
		{"down while slow", func(m *memory.Store) {
			m.SetResponseDelay(time.Minute)
			time.AfterFunc(time.Second, m.StartOutage)
		}, value(1), store.KindAmbiguous, false},
		{"largest value", func(*memory.Store) {}, value(store.MaxValueBytes), 0, true},
		{"too large", func(*memory.Store) {}, value(store.MaxValueBytes + 1), store.KindTooLarge, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			forEachStore(t, func(t *testing.T, backend *memory.Store, s store.Store) {
				c.fault(backend)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				_, err := s.Txn(ctx, nil, c.ops)
				assert.Equal(t, kindOf(err), c.want, "%v", err)
				time.Sleep(time.Minute)
				backend.SetResponseDelay(0)
				backend.EndOutage()
				backend.Heal("a")
				_, found, _, err := s.Get(t.Context(), "/k")
				assert.NilError(t, err)
				assert.Equal(t, found, c.applied)
			})
		})
	}
}

// Guards against a lease that outlives its TTL, expires during an outage, or does
// not delete its keys.
func TestLeases(t *testing.T) {
	forEachStore(t, func(t *testing.T, backend *memory.Store, s store.Store) {
		ctx := t.Context()
		present := func() bool {
			_, found, _, err := s.Get(ctx, "/leased")
			assert.NilError(t, err)
			return found
		}
		grant := func() store.LeaseID {
			id, err := s.GrantLease(ctx, 3*time.Second)
			assert.NilError(t, err)
			_, err = s.Txn(ctx, nil, []store.Op{{Key: "/leased", Lease: id}})
			assert.NilError(t, err)
			return id
		}
		id := grant()
		time.Sleep(2 * time.Second)
		assert.NilError(t, s.KeepAlive(ctx, id))
		time.Sleep(2 * time.Second)
		assert.Assert(t, present())
		backend.StartOutage()
		time.Sleep(time.Hour)
		backend.EndOutage()
		time.Sleep(2 * time.Second)
		assert.Assert(t, present())
		time.Sleep(2 * time.Second)
		assert.Assert(t, !present())
		assert.Equal(t, kindOf(s.KeepAlive(ctx, id)), store.KindNotFound)
		assert.Equal(t, kindOf(s.RevokeLease(ctx, id)), store.KindNotFound)
		_, err := s.Txn(ctx, nil, []store.Op{{Key: "/leased", Lease: id}})
		assert.Equal(t, kindOf(err), store.KindNotFound)
		id = grant()
		assert.NilError(t, s.RevokeLease(ctx, id))
		assert.Assert(t, !present())
	})
}

// Guards against watches that skip or reorder events, or end without an error.
func TestWatch(t *testing.T) {
	forEachStore(t, func(t *testing.T, backend *memory.Store, s store.Store) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		first := put(t, s, "/w/a", "1")
		put(t, s, "/other", "x")
		watch := s.Watch(ctx, "/w/", first)
		var events []store.Event
		var revision int64
		collect := func(n int) {
			for len(events) < n {
				batch := <-watch.Batches()
				assert.Assert(t, batch.Revision > revision && len(batch.Events) > 0, "%v", watch.Err())
				revision = batch.Revision
				events = append(events, batch.Events...)
			}
		}
		collect(1)
		second := put(t, s, "/w/a", "2")
		third, err := s.Txn(ctx, nil, []store.Op{store.Delete("/w/a"), store.Put("/w/b", []byte("3"))})
		assert.NilError(t, err)
		collect(4)
		assert.DeepEqual(t, events, []store.Event{
			{KeyValue: store.KeyValue{Key: "/w/a", Value: []byte("1"), CreateRevision: first, ModRevision: first}},
			{KeyValue: store.KeyValue{Key: "/w/a", Value: []byte("2"), CreateRevision: first, ModRevision: second}},
			{KeyValue: store.KeyValue{Key: "/w/a", ModRevision: third.Revision}, Deleted: true},
			{KeyValue: store.KeyValue{Key: "/w/b", Value: []byte("3"), CreateRevision: third.Revision, ModRevision: third.Revision}},
		})
		assert.Equal(t, backend.CallCounts().OpenWatches, 1)

		backend.StartOutage()
		_, open := <-watch.Batches()
		assert.Assert(t, !open)
		assert.Equal(t, kindOf(watch.Err()), store.KindUnavailable)
		backend.EndOutage()
		backend.Compact()
		watch = s.Watch(ctx, "/w/", third.Revision)
		_, open = <-watch.Batches()
		assert.Assert(t, !open)
		assert.Equal(t, kindOf(watch.Err()), store.KindCompacted, "%v", watch.Err())

		watch = s.Watch(ctx, "", 0)
		synctest.Wait()
		put(t, s, "/w/c", "4")
		assert.Equal(t, (<-watch.Batches()).Events[0].Key, "/w/c")
		cancel()
		_, open = <-watch.Batches()
		assert.Assert(t, !open)
		assert.Assert(t, errors.Is(watch.Err(), context.Canceled))
	})
}

// Guards against a history that grows without bound and against a watch that
// resumes after compacted events without an error.
func TestHistoryIsBounded(t *testing.T) {
	s := memory.New()
	defer s.Close()
	big := make([]byte, store.MaxValueBytes)
	for range 70 {
		_, err := s.Txn(t.Context(), nil, []store.Op{store.Put("/big", big)})
		assert.NilError(t, err)
	}
	watch := s.Watch(t.Context(), "/big", 1)
	_, open := <-watch.Batches()
	assert.Assert(t, !open)
	assert.Equal(t, kindOf(watch.Err()), store.KindCompacted)
	assert.Equal(t, s.CallCounts().Writes, int64(70))

	// The current revision is not compacted even if it alone exceeds the limit.
	var ops []store.Op
	for i := range 70 {
		ops = append(ops, store.Put(fmt.Sprintf("/many/%d", i), big))
	}
	result, err := s.Txn(t.Context(), nil, ops)
	assert.NilError(t, err)
	batch := <-s.Watch(t.Context(), "/many/", result.Revision).Batches()
	assert.Equal(t, len(batch.Events), 70)
}
