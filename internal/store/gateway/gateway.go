// Package gateway implements store.Store over the etcd v3 JSON gateway.
package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cassiasill/cassiasill/internal/store"
	"github.com/cassiasill/cassiasill/internal/store/gateway/etcdjson"
)

// maxErrorBytes bounds how much of an error response is read.
const maxErrorBytes = 64 << 10

// Store is a client of the gateway's endpoints. It tries them in turn, starting
// with the one that succeeded last.
type Store struct {
	client            *http.Client
	endpoints         []string
	attemptTimeout    time.Duration
	preferredEndpoint atomic.Int64
}

var _ store.Store = (*Store)(nil)

// New returns a Store for endpoints, which are base URLs such as
// http://10.0.0.1:2379. The timeout applies to each attempt at one endpoint; it
// does not apply to watches.
func New(client *http.Client, timeout time.Duration, endpoints ...string) *Store {
	return &Store{client: client, endpoints: endpoints, attemptTimeout: timeout}
}

// Get returns one key.
func (s *Store) Get(ctx context.Context, key string) (store.KeyValue, bool, int64, error) {
	var response etcdjson.RangeResponse
	err := s.call(ctx, read("get"), etcdjson.PathRange, etcdjson.RangeRequest{Key: []byte(key)}, &response)
	if err != nil || len(response.KVs) == 0 {
		return store.KeyValue{}, false, response.Header.Revision, err
	}
	return keyValueFromWire(response.KVs[0]), true, response.Header.Revision, nil
}

// Range returns all keys with the prefix in key order.
func (s *Store) Range(ctx context.Context, prefix string) ([]store.KeyValue, int64, error) {
	var response etcdjson.RangeResponse
	key, end := etcdjson.PrefixRange(prefix)
	if err := s.call(ctx, read("range"), etcdjson.PathRange, etcdjson.RangeRequest{Key: key, RangeEnd: end}, &response); err != nil {
		return nil, 0, err
	}
	var out []store.KeyValue
	for _, kv := range response.KVs {
		out = append(out, keyValueFromWire(kv))
	}
	return out, response.Header.Revision, nil
}

// Txn applies ops if all compares hold.
func (s *Store) Txn(ctx context.Context, compares []store.Compare, ops []store.Op) (store.TxnResult, error) {
	var request etcdjson.TxnRequest
	for _, c := range compares {
		request.Compare = append(request.Compare, etcdjson.Compare{
			Result: "EQUAL", Target: "MOD", Key: []byte(c.Key), ModRevision: c.ModRevision})
	}
	for _, op := range ops {
		if len(op.Value) > store.MaxValueBytes {
			return store.TxnResult{}, &store.Error{Kind: store.KindTooLarge, Op: "txn", Err: fmt.Errorf("%s has %d bytes", op.Key, len(op.Value))}
		}
		requestOp := etcdjson.RequestOp{Put: &etcdjson.PutRequest{Key: []byte(op.Key), Value: op.Value, Lease: int64(op.Lease)}}
		if op.Delete {
			requestOp = etcdjson.RequestOp{Delete: &etcdjson.DeleteRequest{Key: []byte(op.Key)}}
		}
		request.Success = append(request.Success, requestOp)
	}
	var response etcdjson.TxnResponse
	if err := s.call(ctx, write("txn"), etcdjson.PathTxn, request, &response); err != nil {
		return store.TxnResult{}, err
	}
	return store.TxnResult{Succeeded: response.Succeeded, Revision: response.Header.Revision}, nil
}

// GrantLease creates a lease. The ttl is rounded up to whole seconds, the unit of
// the protocol.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	var response etcdjson.Lease
	seconds := int64((ttl + time.Second - 1) / time.Second)
	err := s.call(ctx, write("grant lease"), etcdjson.PathGrant, etcdjson.Lease{TTL: seconds}, &response)
	return store.LeaseID(response.ID), err
}

// KeepAlive renews a lease once.
func (s *Store) KeepAlive(ctx context.Context, id store.LeaseID) error {
	var response etcdjson.KeepAliveResponse
	op := write("keep alive")
	if err := s.call(ctx, op, etcdjson.PathKeepAlive, etcdjson.Lease{ID: int64(id)}, &response); err != nil {
		return err
	}
	if response.Error != nil {
		return op.errorFrom(*response.Error)
	}
	if response.Result == nil || response.Result.TTL <= 0 {
		return &store.Error{Kind: store.KindNotFound, Op: op.name, Err: errors.New(etcdjson.MessageNoLease)}
	}
	return nil
}

// RevokeLease ends a lease and deletes its keys.
func (s *Store) RevokeLease(ctx context.Context, id store.LeaseID) error {
	return s.call(ctx, write("revoke lease"), etcdjson.PathRevoke, etcdjson.Lease{ID: int64(id)}, &struct{}{})
}

func keyValueFromWire(kv etcdjson.KeyValue) store.KeyValue {
	return store.KeyValue{Key: string(kv.Key), Value: kv.Value, CreateRevision: kv.CreateRevision,
		ModRevision: kv.ModRevision, Lease: store.LeaseID(kv.Lease)}
}

// operation describes a call for its errors; only a write can be ambiguous.
type operation struct {
	name  string
	write bool
}

func read(name string) operation  { return operation{name: name} }
func write(name string) operation { return operation{name: name, write: true} }

// outcomeUnknown returns the error of an attempt whose request the store may have
// received.
func (o operation) outcomeUnknown(err error) *store.Error {
	if o.write {
		return &store.Error{Kind: store.KindAmbiguous, Op: o.name, Err: err}
	}
	return o.unavailable(err)
}

func (o operation) unavailable(err error) *store.Error {
	return &store.Error{Kind: store.KindUnavailable, Op: o.name, Err: err}
}

// errorFrom converts an error response. Among the responses with code
// unavailable, only "no leader" proves that a write was not proposed to the
// cluster. The others can follow a proposal that is still applied.
func (o operation) errorFrom(e etcdjson.Error) *store.Error {
	err := fmt.Errorf("answer %d: %s", e.Code, e.Message)
	switch {
	case e.Message == etcdjson.MessageTooLarge:
		return &store.Error{Kind: store.KindTooLarge, Op: o.name, Err: err}
	case e.Code == etcdjson.CodeNotFound:
		return &store.Error{Kind: store.KindNotFound, Op: o.name, Err: err}
	case e.Code == etcdjson.CodeOutOfRange:
		return &store.Error{Kind: store.KindCompacted, Op: o.name, Err: err}
	case e.Code == etcdjson.CodeInvalidArgument, e.Message == etcdjson.MessageNoLeader:
		return o.unavailable(err)
	}
	return o.outcomeUnknown(err)
}

// call tries the endpoints in turn while they are unavailable. It does not retry
// after any other error, because a write with an unknown outcome could be applied
// twice.
func (s *Store) call(ctx context.Context, op operation, path string, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return op.unavailable(err)
	}
	failure := op.unavailable(errors.New("no endpoint"))
	first := s.preferredEndpoint.Load()
	for i := range s.endpoints {
		n := (int(first) + i) % len(s.endpoints)
		failure = s.attempt(ctx, op, s.endpoints[n]+path, body, response)
		if failure == nil {
			s.preferredEndpoint.Store(int64(n))
			return nil
		}
		if failure.Kind != store.KindUnavailable || ctx.Err() != nil {
			break
		}
	}
	return failure
}

func (s *Store) attempt(ctx context.Context, op operation, url string, body []byte, response any) *store.Error {
	ctx, cancel := context.WithTimeout(ctx, s.attemptTimeout)
	defer cancel()
	httpResponse, failure := s.send(ctx, op, url, body)
	if failure != nil {
		return failure
	}
	defer drainAndClose(httpResponse.Body)
	bounded := http.MaxBytesReader(nil, httpResponse.Body, maxResponseBytes)
	if err := json.NewDecoder(bounded).Decode(response); err != nil {
		return op.outcomeUnknown(err)
	}
	return nil
}

// send posts body and returns a response with status 200. If no connection was
// opened, nothing was sent, so that the request had no effect.
func (s *Store) send(ctx context.Context, op operation, url string, body []byte) (*http.Response, *store.Error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, op.unavailable(err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := s.client.Do(request)
	if err != nil {
		if connected.Load() {
			return nil, op.outcomeUnknown(err)
		}
		return nil, op.unavailable(err)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer drainAndClose(response.Body)
	var errorResponse etcdjson.Error
	if err := json.NewDecoder(io.LimitReader(response.Body, maxErrorBytes)).Decode(&errorResponse); err != nil {
		return nil, op.outcomeUnknown(fmt.Errorf("status %s: %w", response.Status, err))
	}
	return nil, op.errorFrom(errorResponse)
}

// maxResponseBytes bounds a response, and each message of a watch: all keys with a prefix,
// or all changes of one revision.
const maxResponseBytes = 32 << 20

// drainAndClose reads the rest of a short body so that the connection can be
// reused, and closes the body.
func drainAndClose(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxErrorBytes)
	_ = body.Close()
}
