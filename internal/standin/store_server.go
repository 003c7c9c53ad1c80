package standin

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/cassiasill/cassiasill/internal/store"
	"github.com/cassiasill/cassiasill/internal/store/gateway/etcdjson"
)

// StoreServer serves a store over the subset of the etcd v3 JSON gateway
// protocol that the project's adapter uses. If the outcome in the backend is
// ambiguous, it aborts the connection: the write was applied and its response is
// lost.
type StoreServer struct {
	backend store.Store
	router  *httprouter.Router
}

// NewStoreServer returns a handler that serves backend.
func NewStoreServer(backend store.Store) *StoreServer {
	s := &StoreServer{backend: backend, router: httprouter.New()}
	for path, handle := range map[string]http.HandlerFunc{
		etcdjson.PathRange:        unary(s.readRange),
		etcdjson.PathTxn:          unary(s.txn),
		etcdjson.PathGrant:        unary(s.grant),
		etcdjson.PathKeepAlive:    unary(s.keepAlive),
		etcdjson.PathRevoke:       unary(s.revoke),
		etcdjson.PathRevokeLegacy: unary(s.revoke),
		etcdjson.PathWatch:        s.watch,
	} {
		s.router.HandlerFunc(http.MethodPost, path, handle)
	}
	return s
}

// ServeHTTP implements http.Handler.
func (s *StoreServer) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// unary decodes a request, calls f and encodes its response.
func unary[Request, Response any](f func(*http.Request, Request) (Response, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request Request
		// The limit exceeds the base64 form of the largest value, so that an
		// oversized value gets an error response instead of being cut off.
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4*store.MaxValueBytes)).Decode(&request); err != nil {
			writeError(w, http.StatusBadRequest, etcdjson.Error{Code: etcdjson.CodeInvalidArgument, Message: err.Error()})
			return
		}
		response, err := f(r, request)
		if err != nil {
			writeStoreError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A write error means that the client is gone.
		_ = json.NewEncoder(w).Encode(response)
	}
}

func writeError(w http.ResponseWriter, status int, e etcdjson.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(e)
}

func writeStoreError(w http.ResponseWriter, err error) {
	var e *store.Error
	kind := store.KindAmbiguous
	if errors.As(err, &e) {
		kind = e.Kind
	}
	switch kind {
	case store.KindUnavailable:
		writeError(w, http.StatusServiceUnavailable, etcdjson.Error{Code: etcdjson.CodeUnavailable, Message: etcdjson.MessageNoLeader})
	case store.KindNotFound:
		writeError(w, http.StatusNotFound, etcdjson.Error{Code: etcdjson.CodeNotFound, Message: etcdjson.MessageNoLease})
	case store.KindTooLarge:
		writeError(w, http.StatusBadRequest, etcdjson.Error{Code: etcdjson.CodeInvalidArgument, Message: etcdjson.MessageTooLarge})
	default:
		panic(http.ErrAbortHandler)
	}
}

func (s *StoreServer) readRange(r *http.Request, request etcdjson.RangeRequest) (etcdjson.RangeResponse, error) {
	var response etcdjson.RangeResponse
	if len(request.RangeEnd) == 0 {
		kv, found, revision, err := s.backend.Get(r.Context(), string(request.Key))
		if found {
			response.KVs, response.Count = []etcdjson.KeyValue{toWire(kv)}, 1
		}
		response.Header.Revision = revision
		return response, err
	}
	kvs, revision, err := s.backend.Range(r.Context(), requestedPrefix(request.Key, request.RangeEnd))
	for _, kv := range kvs {
		response.KVs = append(response.KVs, toWire(kv))
	}
	response.Header.Revision, response.Count = revision, int64(len(kvs))
	return response, err
}

// requestedPrefix returns the prefix that key and end select. Other ranges are
// not supported because the adapter requests none.
func requestedPrefix(key, end []byte) string {
	if bytes.Equal(key, []byte{0}) && bytes.Equal(end, []byte{0}) {
		return ""
	}
	return string(key)
}

func (s *StoreServer) txn(r *http.Request, request etcdjson.TxnRequest) (etcdjson.TxnResponse, error) {
	compares := make([]store.Compare, 0, len(request.Compare))
	for _, c := range request.Compare {
		compares = append(compares, store.Compare{Key: string(c.Key), ModRevision: c.ModRevision})
	}
	ops := make([]store.Op, 0, len(request.Success))
	for _, op := range request.Success {
		switch {
		case op.Put != nil:
			ops = append(ops, store.Op{Key: string(op.Put.Key), Value: op.Put.Value, Lease: store.LeaseID(op.Put.Lease)})
		case op.Delete != nil:
			ops = append(ops, store.Delete(string(op.Delete.Key)))
		}
	}
	result, err := s.backend.Txn(r.Context(), compares, ops)
	return etcdjson.TxnResponse{Header: etcdjson.Header{Revision: result.Revision}, Succeeded: result.Succeeded}, err
}

func (s *StoreServer) grant(r *http.Request, request etcdjson.Lease) (etcdjson.Lease, error) {
	id, err := s.backend.GrantLease(r.Context(), time.Duration(request.TTL)*time.Second)
	return etcdjson.Lease{ID: int64(id), TTL: request.TTL}, err
}

// keepAlive returns a TTL of zero for an expired lease, as the protocol requires.
// It does not return the remaining time, which the adapter does not use.
func (s *StoreServer) keepAlive(r *http.Request, request etcdjson.Lease) (etcdjson.KeepAliveResponse, error) {
	err := s.backend.KeepAlive(r.Context(), store.LeaseID(request.ID))
	var e *store.Error
	if errors.As(err, &e) && e.Kind == store.KindNotFound {
		return etcdjson.KeepAliveResponse{Result: &etcdjson.Lease{ID: request.ID}}, nil
	}
	return etcdjson.KeepAliveResponse{Result: &etcdjson.Lease{ID: request.ID, TTL: 1}}, err
}

func (s *StoreServer) revoke(r *http.Request, request etcdjson.Lease) (struct{}, error) {
	return struct{}{}, s.backend.RevokeLease(r.Context(), store.LeaseID(request.ID))
}

func (s *StoreServer) watch(w http.ResponseWriter, r *http.Request) {
	var request etcdjson.WatchRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.Create == nil {
		writeError(w, http.StatusBadRequest, etcdjson.Error{Code: etcdjson.CodeInvalidArgument, Message: "no create_request"})
		return
	}
	from := request.Create.StartRevision
	if from <= 0 {
		// The start revision is fixed before the watch is confirmed, so that the
		// client misses no event after the confirmation.
		_, _, revision, err := s.backend.Get(r.Context(), string(request.Create.Key))
		if err != nil {
			writeStoreError(w, err)
			return
		}
		from = revision + 1
	}
	watch := s.backend.Watch(r.Context(), requestedPrefix(request.Create.Key, request.Create.RangeEnd), from)
	send := func(result etcdjson.WatchResult) {
		if json.NewEncoder(w).Encode(etcdjson.WatchResponse{Result: &result}) != nil || http.NewResponseController(w).Flush() != nil {
			panic(http.ErrAbortHandler)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	send(etcdjson.WatchResult{Created: true})
	for batch := range watch.Batches() {
		result := etcdjson.WatchResult{Header: etcdjson.Header{Revision: batch.Revision}}
		for _, event := range batch.Events {
			wire := etcdjson.Event{KV: toWire(event.KeyValue)}
			if event.Deleted {
				wire.Type = "DELETE"
			}
			result.Events = append(result.Events, wire)
		}
		send(result)
	}
	var e *store.Error
	if errors.As(watch.Err(), &e) && e.Kind == store.KindCompacted {
		send(etcdjson.WatchResult{Canceled: true, CompactRevision: from + 1})
		return
	}
	panic(http.ErrAbortHandler)
}

func toWire(kv store.KeyValue) etcdjson.KeyValue {
	return etcdjson.KeyValue{Key: []byte(kv.Key), Value: kv.Value, CreateRevision: kv.CreateRevision,
		ModRevision: kv.ModRevision, Lease: int64(kv.Lease)}
}
