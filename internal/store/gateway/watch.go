package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/sourcegraph/conc"

	"github.com/cassiasill/cassiasill/internal/bounded"
	"github.com/cassiasill/cassiasill/internal/store"
	"github.com/cassiasill/cassiasill/internal/store/gateway/etcdjson"
)

type watch struct {
	batches chan store.WatchBatch
	err     error
	group   conc.WaitGroup
}

func (w *watch) Batches() <-chan store.WatchBatch { return w.batches }

// Err returns the reason for the end of the watch. It needs no lock: it is called
// after batches is closed, and err is set before that.
func (w *watch) Err() error { return w.err }

// Watch delivers the changes of keys with the prefix, starting with those of
// revision from; zero starts with the next change. It ends with KindUnavailable
// when the connection breaks; the caller resumes it with a new Watch.
func (s *Store) Watch(ctx context.Context, prefix string, from int64) store.Watch {
	w := &watch{batches: make(chan store.WatchBatch)}
	w.group.Go(func() {
		defer close(w.batches)
		w.err = s.streamEvents(ctx, w.batches, prefix, from)
	})
	return w
}

func (s *Store) streamEvents(ctx context.Context, out chan<- store.WatchBatch, prefix string, from int64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	op := read("watch")
	stream, failure := s.openWatch(ctx, op, prefix, from)
	if failure != nil {
		return failure
	}
	defer func() { _ = stream.Close() }()
	source := &bounded.Reader{Source: stream, Err: errMessageTooLong}
	for decoder := json.NewDecoder(source); ; {
		var message etcdjson.WatchResponse
		source.Remaining = maxResponseBytes
		if err := decoder.Decode(&message); err != nil {
			return op.unavailable(err)
		}
		if message.Error != nil {
			return op.errorFrom(*message.Error)
		}
		if message.Result == nil {
			return op.unavailable(errors.New("empty message"))
		}
		batch, err := newBatch(op, message.Result)
		if err != nil {
			return err
		}
		if len(batch.Events) == 0 {
			continue
		}
		select {
		case out <- batch:
		case <-ctx.Done():
			return op.unavailable(ctx.Err())
		}
	}
}

func (s *Store) openWatch(ctx context.Context, op operation, prefix string, from int64) (io.ReadCloser, *store.Error) {
	key, end := etcdjson.PrefixRange(prefix)
	body, err := json.Marshal(etcdjson.WatchRequest{Create: &etcdjson.WatchCreateRequest{Key: key, RangeEnd: end, StartRevision: from}})
	if err != nil {
		return nil, op.unavailable(err)
	}
	failure := op.unavailable(errors.New("no endpoint"))
	first := s.preferredEndpoint.Load()
	for i := range s.endpoints {
		n := (int(first) + i) % len(s.endpoints)
		response, sendFailure := s.send(ctx, op, s.endpoints[n]+etcdjson.PathWatch, body)
		if sendFailure == nil {
			s.preferredEndpoint.Store(int64(n))
			return response.Body, nil
		}
		if failure = sendFailure; ctx.Err() != nil {
			break
		}
	}
	return nil, failure
}

// newBatch converts one message to a batch. All events of a revision come in one
// message, so that the batch is complete up to the revision of its last event.
func newBatch(op operation, result *etcdjson.WatchResult) (store.WatchBatch, error) {
	if result.CompactRevision > 0 {
		return store.WatchBatch{}, &store.Error{Kind: store.KindCompacted, Op: op.name, Err: fmt.Errorf("history is kept from revision %d on", result.CompactRevision)}
	}
	if result.Canceled {
		return store.WatchBatch{}, op.unavailable(fmt.Errorf("watch canceled: %s", result.CancelReason))
	}
	var batch store.WatchBatch
	for _, event := range result.Events {
		kv := keyValueFromWire(event.KV)
		batch.Events = append(batch.Events, store.Event{KeyValue: kv, Deleted: event.Type == "DELETE"})
		batch.Revision = max(batch.Revision, kv.ModRevision)
	}
	return batch, nil
}

var errMessageTooLong = errors.New("the message of the watch exceeds its size limit")
