package main

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store's answers.
const (
	// storeDelay is the time that the store takes for an answer.
	storeDelay = 4 * time.Millisecond
	// storePageSize is the number of items in one page of a range.
	storePageSize = 50
	// maxWatchWait is the longest wait of a watch.
	maxWatchWait = 30 * time.Second
)

// item is one key of the store.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// lease is a lease with the time at which it ends.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is a stand-in for the platform's key-value store.
type store struct {
	mu        sync.Mutex
	revision  int64
	items     map[string]item
	leases    map[int64]*lease
	lastLease int64
	history   []item
	changed   chan struct{}
}

func newStore() *store {
	return &store{revision: 100, items: make(map[string]item), leases: make(map[int64]*lease), lastLease: 70000, changed: make(chan struct{})}
}

// expireLeases ends leases whose time is up until ctx ends.
func (s *store) expireLeases(ctx context.Context) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.mu.Lock()
			for id, l := range s.leases {
				if now.After(l.ends) {
					s.endLease(id)
				}
			}
			s.mu.Unlock()
		}
	}
}

// endLease removes a lease and its keys. The caller holds mu.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.revision++
			s.removeLocked(key)
		}
	}
}

// removeLocked removes a key at the current revision. The caller holds mu.
func (s *store) removeLocked(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Deleted: true})
}

// record appends an event and wakes the watches. The caller holds mu.
func (s *store) record(event item) {
	s.history = append(s.history, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

// putLocked writes a key at the current revision. The caller holds mu.
func (s *store) putLocked(key string, value []byte, leaseID int64) {
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.record(it)
}

// put writes a key for the operator or a server.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.putLocked(key, data, 0)
}

// remove removes a key for the operator or a server.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.removeLocked(key)
}

// ServeHTTP answers the calls of hosts.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	id := func(prefix string) int64 {
		n, err := strconv.ParseInt(strings.TrimPrefix(r.URL.Path, prefix), 10, 64)
		if err != nil {
			return 0
		}
		return n
	}
	switch path := r.URL.Path; {
	case r.Method == http.MethodGet && path == "/v1/kv-key":
		s.serveKey(w, r.URL.Query().Get("key"))
	case r.Method == http.MethodGet && path == "/v1/kv-range":
		s.serveRange(w, r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	case r.Method == http.MethodGet && path == "/v1/kv-watch":
		s.serveWatch(w, r)
	case r.Method == http.MethodPost && path == "/v1/kv-txn":
		s.serveTxn(w, r)
	case r.Method == http.MethodPost && path == "/v1/kv-lease":
		s.serveLease(w, r)
	case r.Method == http.MethodPost && strings.HasPrefix(path, "/v1/kv-keep/"):
		s.serveKeep(w, id("/v1/kv-keep/"))
	case r.Method == http.MethodDelete && strings.HasPrefix(path, "/v1/kv-lease-end/"):
		s.mu.Lock()
		s.endLease(id("/v1/kv-lease-end/"))
		s.mu.Unlock()
		answer(w, http.StatusOK, struct{}{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// answer writes a JSON body.
func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails if the caller has left
}

func (s *store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	it, ok := s.items[key]
	revision := s.revision
	s.mu.Unlock()
	status := http.StatusOK
	if !ok {
		status = http.StatusNotFound
	}
	answer(w, status, struct {
		item
		CurrentRevision int64 `json:"current_rev"`
	}{it, revision})
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	out := struct {
		Items           []item `json:"items"`
		HasMore         bool   `json:"has_more"`
		CurrentRevision int64  `json:"current_rev"`
	}{Items: []item{}}
	s.mu.Lock()
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			out.Items = append(out.Items, it)
		}
	}
	out.CurrentRevision = s.revision
	s.mu.Unlock()
	sort.Slice(out.Items, func(i, j int) bool { return out.Items[i].Key < out.Items[j].Key })
	if len(out.Items) > storePageSize {
		out.Items, out.HasMore = out.Items[:storePageSize], true
	}
	answer(w, http.StatusOK, out)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	for done := false; ; {
		out := struct {
			Events          []item `json:"events"`
			CurrentRevision int64  `json:"current_rev"`
		}{Events: []item{}}
		s.mu.Lock()
		for _, event := range s.history {
			if event.Revision > after && strings.HasPrefix(event.Key, query.Get("prefix")) {
				out.Events = append(out.Events, event)
			}
		}
		out.CurrentRevision = s.revision
		changed := s.changed
		s.mu.Unlock()
		if len(out.Events) > 0 || done {
			answer(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
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
	for _, p := range in.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []item{}, true
	for _, e := range in.Expected {
		it, ok := s.items[e.Key]
		if !ok {
			it = item{Key: e.Key}
		}
		current = append(current, it)
		holds = holds && it.Revision == e.Revision
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range in.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, p := range in.Puts {
		s.putLocked(p.Key, p.Value, p.Lease)
	}
	for _, key := range in.Remove {
		s.removeLocked(key)
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL float64 `json:"ttl_s_time"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.TTL <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := max(in.TTL, 1)
	s.mu.Lock()
	s.lastLease++
	id := s.lastLease
	s.leases[id] = &lease{ttl: seconds(ttl), ends: time.Now().Add(seconds(ttl))}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttl_s_time": ttl})
}

func (s *store) serveKeep(w http.ResponseWriter, id int64) {
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.ends = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, map[string]any{"ttl_s_time": l.ttl.Seconds()})
}

// seconds converts a number of seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// config is a desired state.
type config struct {
	version  int64
	services []map[string]any
	paths    []map[string]any
}

// addService adds a service.
func (c *config) addService(name string, sharded bool) {
	s := map[string]any{"name": name, "health_path": "/healthz", "max_conns": 120, "protocol": "h1", "tls": false}
	if sharded {
		s["sharded"], s["warm_s"], s["grants"] = true, 2.0, "call"
	}
	c.services = append(c.services, s)
}

// addRoute adds a route of the host routeHost to a service.
func (c *config) addRoute(prefix, kind, service string, timeout, target float64) {
	c.paths = append(c.paths, map[string]any{"name": "r-" + service, "prefix": prefix, "route_type": kind, "timeout_s": timeout,
		"target_latency_s": target, "priority": 1, "service": service, "attempts": 2})
}

// routeHost is the host name of all routes.
const routeHost = "jepu9.example"

// write puts the desired state into the store.
func (c *config) write(s *store) {
	c.version += 3
	s.put("op/config", map[string]any{"version": c.version, "services": c.services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"hosts":  []any{map[string]any{"host": routeHost, "paths": c.paths}}})
}
