package main

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cassiasill/cassiasill/internal/store"
	"github.com/cassiasill/cassiasill/internal/store/memory"
)

// storePageItems is the largest page of a range.
const storePageItems = 50

// platformStore serves the platform's metadata store as PROTOCOL.md describes it.
type platformStore struct {
	memory  *memory.Store
	view    *memory.View
	address string
}

// storeItem is an item, or in a watch an event.
type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func itemOf(kv store.KeyValue) storeItem {
	return storeItem{Key: kv.Key, Value: kv.Value, Revision: kv.ModRevision, Created: kv.CreateRevision, Lease: int64(kv.Lease)}
}

func startStore() (*platformStore, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := memory.New()
	s := &platformStore{memory: m, view: m.RawClient("hosts"), address: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.get)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	mux.HandleFunc("POST /v1/kv-lease", s.lease)
	mux.HandleFunc("POST /v1/kv-keep/{id}", func(w http.ResponseWriter, r *http.Request) {
		respond(w, struct{}{}, s.view.KeepAlive(r.Context(), leaseOf(r)))
	})
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", func(w http.ResponseWriter, r *http.Request) {
		respond(w, struct{}{}, s.view.RevokeLease(r.Context(), leaseOf(r)))
	})
	go func() { _ = http.Serve(listener, mux) }() // ends with the program
	return s, nil
}

// put writes an item as the operator or a server does.
func (s *platformStore) put(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = s.memory.Client("others").Txn(context.Background(), nil, []store.Op{store.Put(key, data)})
	return err
}

func leaseOf(r *http.Request) store.LeaseID {
	id, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if err != nil {
		return 0 // no such lease
	}
	return store.LeaseID(id)
}

func respond(w http.ResponseWriter, out any, err error) {
	var storeErr *store.Error
	switch {
	case errors.As(err, &storeErr) && storeErr.Kind == store.KindNotFound:
		w.WriteHeader(http.StatusNotFound)
	case errors.As(err, &storeErr) && storeErr.Kind == store.KindCompacted:
		w.WriteHeader(http.StatusGone)
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(out) // fails if the host has left
	}
}

func (s *platformStore) get(w http.ResponseWriter, r *http.Request) {
	kv, found, revision, err := s.view.Get(r.Context(), r.URL.Query().Get("key"))
	if err == nil && !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, struct {
		storeItem
		CurrentRev int64 `json:"current_rev"`
	}{itemOf(kv), revision}, err)
}

func (s *platformStore) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	all, revision, err := s.view.Range(r.Context(), query.Get("prefix"))
	page := struct {
		Items      []storeItem `json:"items"`
		HasMore    bool        `json:"has_more"`
		CurrentRev int64       `json:"current_rev"`
	}{Items: []storeItem{}, CurrentRev: revision}
	for _, kv := range all {
		switch {
		case kv.Key <= query.Get("after"):
		case len(page.Items) == storePageItems:
			page.HasMore = true
		default:
			page.Items = append(page.Items, itemOf(kv))
		}
	}
	respond(w, page, err)
}

func (s *platformStore) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	out := struct {
		Events     []storeItem `json:"events"`
		CurrentRev int64       `json:"current_rev"`
	}{Events: []storeItem{}, CurrentRev: after}
	watch := s.view.Watch(ctx, query.Get("prefix"), after+1)
	for batch := range watch.Batches() {
		for _, event := range batch.Events {
			item := itemOf(event.KeyValue)
			item.Deleted = event.Deleted
			out.Events = append(out.Events, item)
		}
		if out.CurrentRev = batch.Revision; len(out.Events) > 0 {
			cancel()
		}
	}
	err = watch.Err()
	if ctx.Err() != nil {
		err = nil // the end of the wait
	}
	respond(w, out, err)
}

func (s *platformStore) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected_rev"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var compares []store.Compare
	for _, c := range in.Expected {
		compares = append(compares, store.Compare{Key: c.Key, ModRevision: c.Revision})
	}
	var ops []store.Op
	for _, p := range in.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		ops = append(ops, store.Op{Key: p.Key, Value: p.Value, Lease: store.LeaseID(p.Lease)})
	}
	for _, key := range in.Remove {
		ops = append(ops, store.Delete(key))
	}
	result, err := s.view.Txn(r.Context(), compares, ops)
	if err == nil && !result.Succeeded {
		w.WriteHeader(http.StatusPreconditionFailed)
	}
	respond(w, map[string]int64{"revision": result.Revision}, err)
}

func (s *platformStore) lease(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL float64 `json:"ttl_s_time"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	id, err := s.view.GrantLease(r.Context(), time.Duration(in.TTL*float64(time.Second)))
	respond(w, map[string]any{"lease": int64(id), "ttl_s_time": in.TTL}, err)
}
