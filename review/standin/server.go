package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// positions is the number of keys of a service.
const positions = 1 << 16

// Properties of a server.
const (
	serverSlots = 2
	serverQueue = 8
	// serverIdleTimeout is the time after which a server closes an idle connection.
	serverIdleTimeout = 10 * time.Second
)

// run is one request that a server ran.
type run struct {
	server    string
	status    int
	length    int
	bodyHash  string
	signature string
}

// runTable holds what servers ran, by request ID.
type runTable struct {
	mu   sync.Mutex
	runs map[string][]run
}

func (t *runTable) add(id string, r run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[id] = append(t.runs[id], r)
}

func (t *runTable) of(id string) []run {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]run(nil), t.runs[id]...)
}

// hold is a server's right to one key.
type hold struct {
	fence int64
	until time.Time
}

// server is a stand-in for one start of a server. It runs requests of its service and
// takes grants, as the pages describe.
type server struct {
	id, service, address string
	sharded              bool
	work                 time.Duration
	// unframed answers have no length; their body comes in pieces over streamFor.
	unframed  bool
	bodyBytes int
	streamFor time.Duration
	// closeShare is the share of answers after which the server closes the channel.
	closeShare float64
	// fenceHistory, if not nil, is told of the grants that the server takes.
	fenceHistory *fenceHistory

	runs   *runTable
	record *record
	http   *http.Server
	slots  chan struct{}
	queued chan struct{}
	ended  chan struct{}

	mu     sync.Mutex
	up     bool
	fences []int64 // highest seen by key
	holds  []hold
	// busy counts the requests at work, by key.
	busy map[int]int
}

// start listens at the server's address and serves until crash.
func (s *server) start() error {
	s.slots, s.queued, s.ended = make(chan struct{}, serverSlots), make(chan struct{}, serverSlots+serverQueue), make(chan struct{})
	s.fences, s.holds, s.busy = make([]int64, positions), make([]hold, positions), make(map[int]int)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/grant", s.serveGrant)
	mux.HandleFunc("POST /v1/release", s.serveRelease)
	mux.HandleFunc("/", s.serveRequest)
	s.http = &http.Server{Handler: mux, IdleTimeout: serverIdleTimeout}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.up = true
	s.mu.Unlock()
	go func() { _ = s.http.Serve(listener) }() // ends with crash
	s.record.add("server %s of %s started at %s", s.id, s.service, s.address)
	return nil
}

// crash ends the server without a word: its connections break and its port is closed.
func (s *server) crash() {
	s.mu.Lock()
	s.up = false
	s.mu.Unlock()
	close(s.ended)
	_ = s.http.Close() // its connections are gone in any case
	s.record.add("server %s of %s crashed", s.id, s.service)
}

// keyRange is the body of a grant or release.
type keyRange struct {
	From  *int    `json:"from"`
	To    *int    `json:"to"`
	Fence int64   `json:"fence"`
	HoldS float64 `json:"hold_s"`
}

func (k keyRange) valid() bool {
	return k.From != nil && k.To != nil && *k.From >= 0 && *k.From <= *k.To && *k.To < positions && k.Fence > 0
}

func (s *server) serveGrant(w http.ResponseWriter, r *http.Request) {
	arrival := time.Now()
	var g keyRange
	if json.NewDecoder(r.Body).Decode(&g) != nil || !g.valid() || g.HoldS <= 0 || g.HoldS > 10 || !s.sharded {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := *g.From; key <= *g.To; key++ {
		if s.fences[key] > g.Fence {
			s.record.add("grant at %s of %s keys %d-%d fence %d: 409", s.id, s.service, *g.From, *g.To, g.Fence)
			w.WriteHeader(http.StatusConflict)
			return
		}
	}
	if s.fenceHistory != nil {
		s.fenceHistory.check(s, *g.From, *g.To, g.Fence)
	}
	s.mayClose(w)
	renewed := true
	for key := *g.From; key <= *g.To; key++ {
		renewed = renewed && s.holds[key].fence == g.Fence
		s.fences[key] = g.Fence
		s.holds[key] = hold{g.Fence, arrival.Add(seconds(g.HoldS))}
	}
	if !renewed {
		s.record.add("grant at %s of %s keys %d-%d fence %d hold %.1f s expect-instance %q: 200", s.id, s.service, *g.From, *g.To, g.Fence, g.HoldS, r.Header.Get("Expect-Instance"))
	}
}

// mayClose announces with some answers that the channel is closed.
func (s *server) mayClose(w http.ResponseWriter) {
	if rand.Float64() < s.closeShare {
		w.Header().Set("Connection", "close")
	}
}

func (s *server) serveRelease(w http.ResponseWriter, r *http.Request) {
	var g keyRange
	if json.NewDecoder(r.Body).Decode(&g) != nil || !g.valid() {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	for key := *g.From; key <= *g.To; key++ {
		s.fences[key] = max(s.fences[key], g.Fence)
		s.holds[key] = hold{}
	}
	s.mu.Unlock()
	for s.isBusy(*g.From, *g.To) {
		time.Sleep(5 * time.Millisecond)
	}
	s.record.add("release at %s of %s keys %d-%d fence %d: 200", s.id, s.service, *g.From, *g.To, g.Fence)
	w.Header().Set("Handover", fmt.Sprintf("%016x", g.Fence))
}

// isBusy reports whether the server is at work on a key of the range.
func (s *server) isBusy(from, to int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.busy {
		if key >= from && key <= to {
			return true
		}
	}
	return false
}

// begin takes the key of a request, if the server holds it.
func (s *server) begin(key int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.sharded {
		return true
	}
	if time.Now().After(s.holds[key].until) {
		return false
	}
	s.busy[key]++
	return true
}

func (s *server) finish(key int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy[key]--; s.busy[key] <= 0 {
		delete(s.busy, key)
	}
}

func (s *server) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller broke off
	}
	s.mayClose(w)
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(serverIdleTimeout.Seconds())))
	w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d", len(s.slots), max(len(s.queued)-len(s.slots), 0), serverSlots))
	key, _ := strconv.Atoi(r.Header.Get("Shard-Key"))
	switch expected := r.Header.Get("Expect-Instance"); {
	case expected != "" && expected != s.id:
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case s.queued <- struct{}{}:
		defer func() { <-s.queued }()
	default:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		return
	}
	if !s.begin(key) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	defer s.finish(key)
	s.run(w, r, id, body)
}

// run works on a request and answers it.
func (s *server) run(w http.ResponseWriter, r *http.Request, id string, body []byte) {
	text := responseBody(s.id, id, s.bodyBytes)
	sum := sha256.Sum256(text)
	result := run{server: s.id, status: http.StatusOK, length: len(text), bodyHash: hex.EncodeToString(sum[:8])}
	result.signature = fmt.Sprintf("%s.%s.%d.%s", s.id, id, result.length, result.bodyHash)
	s.runs.add(id, result)
	s.record.add("run %s at %s: %s %s, %d bytes in", id, s.id, r.Method, r.URL.RequestURI(), len(body))
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	case <-s.ended:
		return
	}
	w.Header().Set("Server-Signature", result.signature)
	if !s.unframed {
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = w.Write(text) // fails if the caller has left
		return
	}
	s.stream(w, text)
}

// streamPieces is the number of pieces of an unframed body.
const streamPieces = 50

// stream answers without a length: the body ends with the connection.
func (s *server) stream(w http.ResponseWriter, text []byte) {
	header := w.Header().Clone()
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	header.Set("Connection", "close")
	header.Del("Keep-Alive")
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"); err != nil {
		return
	}
	if header.Write(c) != nil {
		return
	}
	if _, err := io.WriteString(c, "\r\n"); err != nil {
		return
	}
	for i := range streamPieces {
		if _, err := c.Write(text[i*len(text)/streamPieces : (i+1)*len(text)/streamPieces]); err != nil {
			return
		}
		select {
		case <-time.After(s.streamFor / streamPieces):
		case <-s.ended:
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // a crash is no regular end of the body
			}
			return
		}
	}
}

// responseBody returns the body of a server's answer to a request.
func responseBody(server, id string, length int) []byte {
	out := make([]byte, 0, length+64)
	for i := 0; len(out) < length; i++ {
		out = fmt.Appendf(out, "%s %s %08d\n", server, id, i)
	}
	return out[:length]
}

// entryOf returns the entry of a server that started at born.
func entryOf(s *server, born time.Time, seq int, warmupLeft time.Duration) map[string]any {
	return map[string]any{"service": s.service, "address": s.address, "zone": "zone-1", "version": "v1", "capacity": serverSlots,
		"state": "ready", "warmup_left_s": warmupLeft.Seconds(), "seq": seq, "born": born.UnixMilli()}
}

// registration keeps a server's entry in the store.
type registration struct {
	store     *store
	heartbeat time.Duration
	// always is true if each heartbeat writes the entry, and not only those that change
	// more than seq.
	always bool
}

// run writes the entry while the server is up. After a crash the platform removes the
// entry after three heartbeats of silence.
func (g *registration) run(ctx context.Context, s *server) {
	born := time.Now()
	const warmup = 3 * time.Second
	g.store.put("servers/"+s.id, entryOf(s, born, 1, warmup))
	ticker := time.NewTicker(g.heartbeat)
	defer ticker.Stop()
	last, warm := born, true
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			last = now
			if left := warmup - now.Sub(born); warm || g.always {
				g.store.put("servers/"+s.id, entryOf(s, born, int(now.Sub(born)/g.heartbeat)+1, max(left, 0)))
				warm = left > 0
			}
		case <-s.ended:
			select {
			case <-ctx.Done():
			case <-time.After(time.Until(last.Add(3 * g.heartbeat))):
				g.store.remove("servers/" + s.id)
				s.record.add("entry of %s removed", s.id)
			}
			return
		}
	}
}
