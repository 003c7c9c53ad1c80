package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/granter"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// testServer is one server on an in-memory network with a client and a leader.
type testServer struct {
	t         *testing.T
	server    *Server
	client    *http.Client
	leader    granter.Granter
	target    topology.Server
	lastReply granter.Reply
}

func runServerTest(t *testing.T, options ServerOptions, test func(t *testing.T, b *testServer)) {
	synctest.Test(t, func(t *testing.T) {
		network := NewNetwork()
		options.Name, options.Service, options.Listen = "inventario-1", "inventario", network.Listen
		server := NewServer(options)
		address, err := server.Listen("10.0.0.1:0")
		assert.NilError(t, err)
		client := network.Client()
		defer server.Close()
		defer client.CloseIdleConnections()
		test(t, &testServer{t: t, server: server, client: client, leader: granter.NewHTTP(client),
			target: topology.Server{Name: options.Name, Address: address}})
	})
}

// grantAll queries the server's state and then grants it the full ring at v.
func (b *testServer) grantAll(v topology.Version) {
	b.t.Helper()
	var err error
	b.lastReply, err = b.leader.Heartbeat(b.t.Context(), b.target, granter.Heartbeat{Term: v.Term})
	assert.NilError(b.t, err)
	b.lastReply, err = b.leader.Heartbeat(b.t.Context(), b.target, b.fullGrant(v))
	assert.NilError(b.t, err)
	assert.Equal(b.t, b.lastReply.Refusal, granter.RefusalNone)
}

func (b *testServer) fullGrant(v topology.Version) granter.Heartbeat {
	return granter.Heartbeat{Term: v.Term, Incarnation: b.lastReply.Incarnation, SetVersion: v, Expiry: b.lastReply.Clock + granter.GrantTTL,
		Set: &granter.GrantSet{Version: v, Ranges: []topology.Range{topology.FullRange}}}
}

type testResponse struct {
	status   int
	header   http.Header
	problem  apierror.Problem
	body     []byte
	err      error
	duration time.Duration
}

func (b *testServer) request(method, path string, header map[string]string, body string) (a testResponse) {
	request, err := http.NewRequestWithContext(b.t.Context(), method, "http://"+b.target.Address+path, bytes.NewReader([]byte(body)))
	assert.NilError(b.t, err)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	start := time.Now()
	defer func() { a.duration = time.Since(start) }()
	response, err := b.client.Do(request)
	if err != nil {
		return testResponse{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	a = testResponse{status: response.StatusCode, header: response.Header}
	a.body, a.err = io.ReadAll(response.Body)
	if a.status >= 400 && a.header.Get("Content-Type") == "application/problem+json" {
		assert.NilError(b.t, json.Unmarshal(a.body, &a.problem))
	}
	return a
}

func (b *testServer) load() (load Load) {
	b.t.Helper()
	assert.NilError(b.t, json.Unmarshal(b.request(http.MethodGet, "/load", nil, "").body, &load))
	return load
}

// Guards against a server that runs a request that it must refuse, or that refuses
// it without marking the response as not executed.
func TestServerChecksRequests(t *testing.T) {
	keyed := ServerOptions{DividedByKey: true, ServiceTime: 10 * time.Millisecond}
	unchecked := keyed
	unchecked.Unchecked = true
	byHeader := keyed
	byHeader.KeyHeader = "X-Bale"
	token := map[string]string{HeaderFencingToken: "7.2", apierror.HeaderRequestID: "r1"}
	cases := []struct {
		name    string
		options ServerOptions
		path    string
		header  map[string]string
		wait    time.Duration
		status  int
		kind    apierror.Kind
	}{
		{"held", keyed, "/inventario/bale-1/stock", token, 0, 200, ""},
		{"no token", keyed, "/inventario/bale-1", nil, 0, 421, apierror.KindNotOwner},
		{"older token", keyed, "/inventario/bale-1", map[string]string{HeaderFencingToken: "7.1"}, 0, 421, apierror.KindNotOwner},
		{"malformed token", keyed, "/inventario/bale-1", map[string]string{HeaderFencingToken: "7"}, 0, 400, apierror.KindBadRequest},
		{"ended", keyed, "/inventario/bale-1", token, granter.GrantTTL, 421, apierror.KindNotOwner},
		{"no key", keyed, "/inventario", token, 0, 400, apierror.KindBadRequest},
		{"key header", byHeader, "/inventario", map[string]string{HeaderFencingToken: "7.2", "X-Bale": "b"}, 0, 200, ""},
		{"unchecked", unchecked, "/inventario/bale-1", nil, time.Hour, 200, ""},
		{"not divided", ServerOptions{}, "/inventario", nil, time.Hour, 200, ""},
		{"deadline while running", keyed, "/inventario/b", map[string]string{HeaderFencingToken: "7.2", HeaderDeadline: "5"}, 0, 504, apierror.KindTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runServerTest(t, c.options, func(t *testing.T, b *testServer) {
				b.grantAll(version(7, 2))
				time.Sleep(c.wait)
				a := b.request(http.MethodGet, c.path, c.header, "")
				assert.NilError(t, a.err)
				assert.Equal(t, a.status, c.status)
				assert.Equal(t, a.problem.Kind, c.kind)
				assert.Equal(t, a.header.Get(apierror.HeaderRequestID), c.header[apierror.HeaderRequestID])
				ran := c.status == 200 || c.status == 504
				assert.Equal(t, a.header.Get(apierror.HeaderExecuted) == "no", !ran)
				executions := b.server.Executions()
				assert.Equal(t, len(executions) == 1, ran)
				assert.Assert(t, !ran || executions[0].Completed == (c.status == 200))
			})
		})
	}
}

// Guards against more concurrent requests than slots, an unbounded queue, and shed
// requests that had run.
func TestServerShedsAboveSlotsAndQueue(t *testing.T) {
	runServerTest(t, ServerOptions{Slots: 2, MaxQueued: 1, ServiceTime: time.Second, LoadLag: 400 * time.Millisecond}, func(t *testing.T, b *testServer) {
		responses := make([]testResponse, 5)
		var group conc.WaitGroup
		for i := range 4 {
			group.Go(func() { responses[i] = b.request(http.MethodPost, "/inventario/k", nil, "") })
		}
		synctest.Wait()
		assert.Equal(t, b.load(), Load{Slots: 2})
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, b.load(), Load{Running: 2, Queued: 1, Slots: 2})
		time.Sleep(600 * time.Millisecond)
		assert.Equal(t, b.load(), Load{Running: 2, Queued: 1, Slots: 2})
		time.Sleep(400 * time.Millisecond)
		assert.Equal(t, b.load(), Load{Running: 1, Slots: 2})
		group.Wait()
		statuses := map[int]int{}
		for _, a := range responses[:4] {
			statuses[a.status]++
			assert.Assert(t, a.status == 200 || a.header.Get(apierror.HeaderExecuted) == "no")
		}
		assert.DeepEqual(t, statuses, map[int]int{200: 3, 503: 1})
		executions := b.server.Executions()
		assert.Equal(t, len(executions), 3)
		assert.Equal(t, executions[2].Start.Sub(executions[0].Start), time.Second)
		// A queued request whose deadline passes is refused and never runs.
		for i := range 2 {
			group.Go(func() { responses[i] = b.request(http.MethodPost, "/inventario/k", nil, "") })
		}
		synctest.Wait()
		late := b.request(http.MethodPost, "/inventario/k", map[string]string{HeaderDeadline: "100"}, "")
		group.Wait()
		assert.Equal(t, late.problem.Kind, apierror.KindDeadlineUnreachable)
		assert.Equal(t, late.duration, 100*time.Millisecond)
		assert.Equal(t, len(b.server.Executions()), 5)
	})
}

// Guards against a leaked slot when the context of a queued request ends at the
// moment at which the request gets the slot.
func TestServerKeepsItsSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewServer(ServerOptions{MaxQueued: 1})
		in := s.current
		assert.NilError(t, s.acquireSlot(t.Context(), in))
		ctx, cancel := context.WithCancel(t.Context())
		var err error
		var group conc.WaitGroup
		group.Go(func() { err = s.acquireSlot(ctx, in) })
		synctest.Wait()
		s.Freeze()
		cancel()
		synctest.Wait()
		s.releaseSlot(in)
		s.Resume()
		group.Wait()
		assert.ErrorContains(t, err, "too late")
		assert.Equal(t, s.reportedLoad(in), Load{Slots: 1})
	})
}

// Guards against a crash that leaves requests running when the handler is served
// by another listener than the server's own.
func TestServerCrashBehindOtherListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewServer(ServerOptions{ServiceTime: time.Second})
		start := time.Now()
		time.AfterFunc(300*time.Millisecond, s.Crash)
		defer func() {
			assert.Equal(t, recover(), http.ErrAbortHandler)
			assert.Equal(t, time.Since(start), 300*time.Millisecond)
		}()
		s.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/inventario/a", nil))
	})
}

// Guards against a stand-in that behaves better than a frozen process does:
// requests that arrived meanwhile are processed on resumption, and the clock has
// kept running.
func TestServerFreeze(t *testing.T) {
	options := ServerOptions{DividedByKey: true, Slots: 2, MaxQueued: 2, ServiceTime: 100 * time.Millisecond}
	runServerTest(t, options, func(t *testing.T, b *testServer) {
		b.grantAll(version(7, 1))
		token := map[string]string{HeaderFencingToken: "7.1"}
		var running, queued testResponse
		var heartbeatReply granter.Reply
		var heartbeatErr error
		var group conc.WaitGroup
		group.Go(func() { running = b.request(http.MethodGet, "/inventario/a", token, "") })
		time.Sleep(50 * time.Millisecond)
		b.server.Freeze()
		renewal := renew(7, version(7, 1), b.lastReply.Clock+granter.GrantTTL)
		renewal.Incarnation = b.lastReply.Incarnation
		group.Go(func() { heartbeatReply, heartbeatErr = b.leader.Heartbeat(t.Context(), b.target, renewal) })
		group.Go(func() { queued = b.request(http.MethodGet, "/inventario/b", token, "") })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := b.leader.Heartbeat(ctx, b.target, granter.Heartbeat{Term: 8})
		assert.ErrorContains(t, err, "deadline")
		time.Sleep(granter.GrantTTL)
		assert.Assert(t, !b.server.Ownership().Valid)
		b.server.Resume()
		group.Wait()
		assert.Equal(t, running.status, 200)
		assert.Assert(t, running.duration >= granter.GrantTTL+time.Second)
		assert.Equal(t, queued.status, 421)
		assert.NilError(t, heartbeatErr)
		assert.Assert(t, heartbeatReply.Clock >= heartbeatReply.Expiry, "a heartbeat from before the freeze revived the set: %+v", heartbeatReply)
		// The heartbeat whose sender timed out was in the socket and is applied.
		late, err := b.leader.Heartbeat(t.Context(), b.target, granter.Heartbeat{Term: 8})
		assert.NilError(t, err)
		assert.Equal(t, late.HighestTerm, topology.Term(8))
	})
}

// Guards against grants, connections or the incarnation surviving a crash.
func TestServerCrashAndRestart(t *testing.T) {
	options := ServerOptions{DividedByKey: true, ServiceTime: time.Second, PoisonHeader: "X-Poison", RestartAfter: time.Minute, ClockOffset: time.Hour}
	runServerTest(t, options, func(t *testing.T, b *testServer) {
		b.grantAll(version(7, 1))
		before := b.server.Ownership()
		assert.Assert(t, before.Valid && before.Clock >= time.Hour)
		a := b.request(http.MethodPost, "/inventario/a", map[string]string{HeaderFencingToken: "7.1", "X-Poison": "1"}, "")
		assert.Assert(t, a.err != nil)
		executions := b.server.Executions()
		assert.Equal(t, len(executions), 1)
		assert.Assert(t, !executions[0].Completed && executions[0].Held)
		assert.Assert(t, !b.server.Ownership().Valid)
		a = b.request(http.MethodGet, "/health", nil, "")
		assert.ErrorContains(t, a.err, "connection refused")
		assert.Equal(t, executions[0].End, executions[0].Start)
		time.Sleep(time.Minute + time.Millisecond)
		after := b.server.Ownership()
		assert.Assert(t, !after.Valid && after.Incarnation != before.Incarnation && len(after.Ranges) == 0)
		reply, err := b.leader.Heartbeat(t.Context(), b.target, b.fullGrant(version(7, 2)))
		assert.NilError(t, err)
		assert.Equal(t, reply.Refusal, granter.RefusalOtherIncarnation)
		assert.Equal(t, reply.HighestTerm, topology.Term(7))

		b.grantAll(version(7, 3))
		var group conc.WaitGroup
		group.Go(func() {
			a = b.request(http.MethodPost, "/inventario/a", map[string]string{HeaderFencingToken: "7.3"}, "")
		})
		time.Sleep(300 * time.Millisecond)
		b.server.Crash()
		group.Wait()
		synctest.Wait()
		assert.Assert(t, a.err != nil)
		execution := b.server.Executions()[1]
		assert.Equal(t, execution.End.Sub(execution.Start), 300*time.Millisecond)
		assert.Assert(t, !execution.Completed)
	})
}

// Guards against a draining server that does not report it or drops its requests.
func TestServerDrain(t *testing.T) {
	runServerTest(t, ServerOptions{ServiceTime: time.Second}, func(t *testing.T, b *testServer) {
		var inFlight testResponse
		var group conc.WaitGroup
		group.Go(func() { inFlight = b.request(http.MethodPost, "/inventario/a", nil, "") })
		synctest.Wait()
		b.server.Drain()
		assert.Equal(t, b.request(http.MethodGet, "/health", nil, "").status, 503)
		reply, err := b.leader.Heartbeat(t.Context(), b.target, granter.Heartbeat{Term: 1})
		assert.NilError(t, err)
		assert.Assert(t, reply.DrainRequested && reply.InFlight == 1)
		group.Wait()
		assert.Equal(t, inFlight.status, 200)
		assert.Assert(t, b.server.Executions()[0].Completed)
	})
}

// Guards against byte ranges of a download that do not match across servers.
func TestServerArchive(t *testing.T) {
	const size = 100_003
	runServerTest(t, ServerOptions{ArchiveBytes: size, MaxConnections: 1}, func(t *testing.T, b *testServer) {
		full := b.request(http.MethodGet, "/archivo/k/archive.zip", nil, "")
		assert.NilError(t, full.err)
		assert.Equal(t, len(full.body), size)
		assert.Equal(t, full.header.Get("Content-Length"), fmt.Sprint(size))
		etag := full.header.Get("ETag")
		assert.Equal(t, etag, NewArchive("/archivo/k/archive.zip", size).ETag())
		assert.NilError(t, b.server.Restart())
		rest := b.request(http.MethodGet, "/archivo/k/archive.zip", map[string]string{"Range": "bytes=50005-", "If-Range": etag}, "")
		assert.Equal(t, rest.status, http.StatusPartialContent)
		assert.Equal(t, rest.header.Get("ETag"), etag)
		assert.Assert(t, bytes.Equal(rest.body, full.body[50005:]))
		changed := b.request(http.MethodGet, "/archivo/k/archive.zip", map[string]string{"Range": "bytes=50005-", "If-Range": `"x"`}, "")
		assert.Equal(t, changed.status, http.StatusOK)
	})
}

// Guards against a server that keeps more connections open than its limit.
func TestServerLimitsConnections(t *testing.T) {
	runServerTest(t, ServerOptions{Slots: 5, MaxConnections: 2, ServiceTime: time.Second}, func(t *testing.T, b *testServer) {
		var served, refused int
		results := make(chan testResponse, 3)
		var group conc.WaitGroup
		for range 3 {
			group.Go(func() { results <- b.request(http.MethodPost, "/inventario/a", nil, "") })
		}
		group.Wait()
		for range 3 {
			if a := <-results; a.err != nil {
				refused++
			} else {
				served++
			}
		}
		assert.Equal(t, served, 2)
		assert.Equal(t, refused, 1)
		assert.Equal(t, b.request(http.MethodPost, "/inventario/a", nil, "").status, 200)
	})
}
