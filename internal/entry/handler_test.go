package entry

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control"
	"github.com/cassiasill/cassiasill/internal/dispatch"
	"github.com/cassiasill/cassiasill/internal/exchange"
	"github.com/cassiasill/cassiasill/internal/membudget"
	"github.com/cassiasill/cassiasill/internal/network"
	"github.com/cassiasill/cassiasill/internal/pipeline"
	"github.com/cassiasill/cassiasill/internal/placing"
	"github.com/cassiasill/cassiasill/internal/ratelimit"
	"github.com/cassiasill/cassiasill/internal/registry"
	"github.com/cassiasill/cassiasill/internal/routes"
	"github.com/cassiasill/cassiasill/internal/telemetry"
)

var headerNames = exchange.HeaderNames{RequestID: "X-Id", DeadlineMillis: "X-Deadline", Signature: "X-Signature", ExpectInstance: "X-Expect",
	Instance: "X-Instance", Load: "X-Load", NotExecuted: "X-Refused", KeyPosition: "X-Key", RateLimit: "X-Limit"}

// testHost is a host that forwards requests to test servers.
type testHost struct {
	url        string
	logs       *observer.ObservedLogs
	handler    *Handler
	executions atomic.Int64
	metrics    http.Handler
}

// newTestHost returns a host that forwards two routes, /safe/ and /unsafe/, to
// the given servers.
func newTestHost(t *testing.T, servers ...http.HandlerFunc) *testHost {
	t.Helper()
	return newTestHostWith(t, testHostOptions{}, servers...)
}

// testHostOptions configure a testHost; zero values stand for defaults.
type testHostOptions struct {
	budget       *membudget.Budget
	callerLimits CallerLimits
	timeout      time.Duration // of both routes
	maxBodyBytes int64         // of requests
	dial         exchange.DialFunc
	// pipelineDepth is that of the handler; negative turns reading ahead off.
	pipelineDepth   int
	readAheadBudget pipeline.Budget
}

// newTestHostWith is newTestHost with options.
func newTestHostWith(t testing.TB, options testHostOptions, servers ...http.HandlerFunc) *testHost {
	t.Helper()
	options.timeout = cmp.Or(options.timeout, 400*time.Millisecond)
	options.maxBodyBytes = cmp.Or(options.maxBodyBytes, 1000)
	options.pipelineDepth = cmp.Or(options.pipelineDepth, 16)
	if options.dial == nil {
		options.dial = exchange.Dial
	}
	p := &testHost{}
	list := &registry.List{Servers: make(map[string]registry.Server)}
	for i, handler := range servers {
		upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			p.executions.Add(1)
			w.Header().Set("X-Id", r.Header.Get("X-Id"))
			handler(w, r)
		}))
		t.Cleanup(func() {
			upstream.CloseClientConnections() // a failed test may leave requests in progress
			upstream.Close()
		})
		id := "s" + strconv.Itoa(i)
		list.Servers[id] = registry.Server{ID: id, Service: "svc", Address: strings.TrimPrefix(upstream.URL, "http://"), Slots: 2}
	}
	route := func(name string, kind routes.RequestKind) routes.Route {
		return routes.Route{Name: name, Prefix: "/" + name + "/", Kind: kind, Timeout: options.timeout, Target: options.timeout / 2,
			MaxAttempts: 2, Backends: []routes.Backend{{Service: "svc", Weight: 1}}}
	}
	config := routes.NewConfig(7, 1, []routes.Service{{Name: "svc"}}, routes.Limits{MaxBodyBytes: options.maxBodyBytes, MaxHeaderBytes: 16384},
		map[string][]routes.Route{"a.example": {route("safe", routes.Safe), route("unsafe", routes.Unsafe)}})
	snapshot := control.Snapshot{Config: config, Servers: list, HostCount: 1}
	local, central := dispatch.NewDispatcher(), dispatch.NewDispatcher()
	pools := NewServerPools(&headerNames, options.dial, local, central, nil, boottime.Now)
	if options.budget != nil {
		pools.SetBudget(options.budget)
	}
	pools.Update(&snapshot)
	metrics, err := telemetry.NewMetrics()
	assert.NilError(t, err)
	p.metrics = metrics.Handler()
	instruments, err := NewMetrics(metrics.Meter("test"))
	assert.NilError(t, err)
	core, logs := observer.New(zap.InfoLevel)
	p.logs = logs
	limits := ratelimit.NewTable(boottime.Now, zap.New(core))
	budget := NewRetryBudget(0.2, 100, 10*time.Second)
	budget.SetHosts(1)
	handler := NewHandler(Options{HeaderNames: headerNames, View: control.NewStaticView(snapshot), Reports: control.NewReports(),
		Placer: placing.NewPlacer("", exchange.Dial, local, central, limits), ServerPools: pools, RetryBudget: budget, RateLimits: limits, Metrics: instruments, Log: zap.New(core),
		PipelineDepth: options.pipelineDepth, ReadAheadBudget: options.readAheadBudget, Budget: options.budget, CallerLimits: options.callerLimits})
	p.handler = handler
	t.Cleanup(handler.readAhead.group.Wait)
	frontend := httptest.NewUnstartedServer(handler)
	frontend.Listener = handler.Listener(frontend.Listener)
	frontend.Config.ConnContext, frontend.Config.MaxHeaderBytes = network.ContextWithConn, defaultMaxHeaderBytes
	assert.NilError(t, network.SetListenerBuffers(frontend.Listener, 32<<10, 32<<10))
	frontend.Start()
	t.Cleanup(frontend.Close)
	p.url = frontend.URL
	return p
}

func (p *testHost) do(t *testing.T, method, target, body string, header ...string) (status int, responseBody string, h http.Header, err error) {
	t.Helper()
	r, err := http.NewRequest(method, p.url+target, strings.NewReader(body))
	assert.NilError(t, err)
	r.Host = "a.example"
	r.Header.Set("X-Id", "id-1")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), response.Header, err
}

// respondOK writes a signed response.
func respondOK(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Signature", "s")
	_, _ = io.WriteString(w, "whole")
}

// closeConnection closes the connection without a response.
func closeConnection(w http.ResponseWriter, _ *http.Request) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = c.Close()
	}
}

// refuse states that the request was not executed.
func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Refused", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// respondLate responds after the route's timeout.
func respondLate(w http.ResponseWriter, r *http.Request) { time.Sleep(900 * time.Millisecond) }

func TestResponseIsReturnedUnchanged(t *testing.T) {
	p := newTestHost(t, respondOK)
	status, body, header, err := p.do(t, "POST", "/unsafe/x", "data")
	assert.NilError(t, err)
	assert.Equal(t, fmt.Sprintf("%d %s %s %s", status, body, header.Get("X-Signature"), header.Get("X-Id")), "200 whole s id-1")
}

// Guards against a HEAD response with a Content-Length of 0.
func TestHeadResponseHasContentLength(t *testing.T) {
	p := newTestHost(t, respondOK)
	status, body, header, err := p.do(t, "HEAD", "/safe/x", "")
	assert.NilError(t, err)
	assert.Equal(t, fmt.Sprintf("%d %q %s", status, body, header.Get("Content-Length")), `200 "" 5`)
}

// Callers rely on the statuses: 503 states that the request was not executed.
func TestErrorStatuses(t *testing.T) {
	cases := []struct {
		name, target  string
		servers       []http.HandlerFunc
		status        int
		maxExecutions int64
	}{
		{"broken, not repeatable", "/unsafe/x", []http.HandlerFunc{closeConnection, closeConnection}, 502, 1},
		{"broken, repeatable", "/safe/x", []http.HandlerFunc{closeConnection, closeConnection}, 502, 2},
		{"refused by all", "/unsafe/x", []http.HandlerFunc{refuse, refuse}, 503, 4},
		{"silent", "/unsafe/x", []http.HandlerFunc{respondLate}, 504, 1},
		{"no server", "/safe/x", nil, 503, 0},
		{"no route", "/elsewhere/x", []http.HandlerFunc{respondOK}, 404, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newTestHost(t, c.servers...)
			started := time.Now()
			status, _, header, err := p.do(t, "GET", c.target, "")
			assert.NilError(t, err)
			assert.Equal(t, status, c.status)
			assert.Assert(t, p.executions.Load() <= c.maxExecutions, "%d executions", p.executions.Load())
			assert.Equal(t, header.Get("X-Signature"), "")
			assert.Assert(t, time.Since(started) < 800*time.Millisecond, "the response came after the route's timeout")
			if status == 503 {
				after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
				assert.NilError(t, err)
				assert.Assert(t, after > 0)
			}
			// Guards against failed requests that the log doesn't show.
			assert.Equal(t, p.logs.FilterMessage("entry: request failed").FilterField(zap.String("request", "id-1")).Len(), 1)
		})
	}
}

// Guards against callers that see the failure of one server while another works.
func TestRepeatableRequestIsRetriedOnAnotherServer(t *testing.T) {
	for range 6 {
		p := newTestHost(t, closeConnection, respondOK)
		status, body, _, err := p.do(t, "GET", "/safe/x", "")
		assert.NilError(t, err)
		assert.Equal(t, fmt.Sprintf("%d %s", status, body), "200 whole")
	}
}

// Guards against servers that work on a request for longer than the caller waits.
func TestDeadlineIsForwarded(t *testing.T) {
	received := ""
	p := newTestHost(t, func(w http.ResponseWriter, r *http.Request) {
		received = r.Header.Get("X-Deadline")
		respondOK(w, r)
	})
	_, _, _, err := p.do(t, "GET", "/safe/x", "", "X-Deadline", "150")
	assert.NilError(t, err)
	left, err := strconv.Atoi(received)
	assert.NilError(t, err)
	assert.Assert(t, left > 50 && left <= 150, "%d ms", left)
	_, _, _, err = p.do(t, "GET", "/safe/x", "")
	assert.NilError(t, err)
	left, err = strconv.Atoi(received)
	assert.NilError(t, err)
	assert.Assert(t, left > 200 && left <= 400, "%d ms", left)
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	p := newTestHost(t, respondOK)
	status, _, _, err := p.do(t, "GET", "/safe/x", "", "X-Deadline", "soon")
	assert.NilError(t, err)
	assert.Equal(t, status, 400)
	status, _, _, err = p.do(t, "POST", "/unsafe/x", strings.Repeat("x", 1001))
	assert.NilError(t, err)
	assert.Equal(t, status, 413)
	assert.Equal(t, p.executions.Load(), int64(0))
}

// Guards against callers that see the limits of servers, which are for hosts.
func TestRateLimitIsNotForwarded(t *testing.T) {
	p := newTestHost(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Limit", "1.5")
		respondOK(w, r)
	})
	_, _, header, err := p.do(t, "GET", "/safe/x", "")
	assert.NilError(t, err)
	assert.Equal(t, header.Get("X-Limit"), "")
	assert.Equal(t, p.logs.FilterMessage("ratelimit: limit announced").Len(), 1)
}

// Guards against a rejection that the log and the status do not distinguish from
// overload, and against one without a time to return at.
func TestRateLimitedRequestIsRejectedAtOnce(t *testing.T) {
	p := newTestHost(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Limit", "0.1")
		respondOK(w, r)
	})
	_, _, _, err := p.do(t, "GET", "/safe/x", "")
	assert.NilError(t, err)
	started := time.Now()
	status, body, header, err := p.do(t, "POST", "/unsafe/x", "data", "X-Id", "id-2")
	assert.NilError(t, err)
	assert.Equal(t, fmt.Sprintf("%d %s", status, body), "503 rate-limited\n")
	after, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > 8, "%g s for a limit of one request in 10 s", after)
	assert.Assert(t, time.Since(started) < 200*time.Millisecond)
	assert.Equal(t, p.executions.Load(), int64(1))
}

// Guards against requests that are taken late during a planned stop and cut off at
// its end without a response.
func TestStoppingHostTakesOnlyWhatItCanFinish(t *testing.T) {
	now := time.Now()
	cases := map[string]struct {
		drainingSince, end time.Time
		want               int
	}{
		"late, may not finish":  {now.Add(-lateDrainPeriod), now.Add(departureTimeout / 2), http.StatusServiceUnavailable},
		"late, at the end":      {now.Add(-lateDrainPeriod), now, http.StatusServiceUnavailable},
		"late, can finish":      {now.Add(-lateDrainPeriod), now.Add(time.Hour), http.StatusOK},
		"early, may not finish": {now, now.Add(departureTimeout / 2), http.StatusOK}, // the load balancer still sends requests
	}
	for name, c := range cases {
		for _, path := range []string{"/safe/x", "/unsafe/x"} {
			p := newTestHostWith(t, testHostOptions{timeout: departureTimeout}, respondOK)
			p.handler.Drain(c.drainingSince, c.end)
			status, body, header, err := p.do(t, http.MethodGet, path, "")
			assert.NilError(t, err)
			assert.Equal(t, status, c.want, "%s: %s", name, body)
			assert.Equal(t, header.Get("Retry-After") != "", c.want != http.StatusOK)
			assert.Equal(t, p.executions.Load() == 0, c.want != http.StatusOK)
		}
	}
}

// Guards against requests for a server that wants none, because it was not listed for
// a moment.
func TestHoldOffOutlivesAMissingEntry(t *testing.T) {
	holdOffs, now := newHoldOffs(), time.Now()
	server := ratelimit.Server{ID: "a", Service: "svc", Incarnation: 1}
	pools := NewServerPools(&headerNames, exchange.Dial, dispatch.NewDispatcher(), dispatch.NewDispatcher(), nil, boottime.Now)
	holdOffs.add(server, now.Add(3*time.Second))
	ids, first := holdOffs.active("svc", now.Add(time.Second), pools.isReplaced)
	assert.Equal(t, len(ids), 1)
	assert.Equal(t, first, 2*time.Second)
	pools.updatePools(&control.Snapshot{Servers: registry.NewList(map[string]registry.Server{"a": {ID: "a", Service: "svc", Address: "x", Incarnation: 1}})})
	ids, _ = holdOffs.active("svc", now.Add(time.Second), pools.isReplaced)
	assert.Equal(t, len(ids), 1)
	assert.Equal(t, holdOffs.left(server, now.Add(time.Second)), 2*time.Second)
	pools.updatePools(&control.Snapshot{Servers: registry.NewList(map[string]registry.Server{"a": {ID: "a", Service: "svc", Address: "x", Incarnation: 2}})})
	ids, _ = holdOffs.active("svc", now.Add(time.Second), pools.isReplaced)
	assert.Equal(t, len(ids), 0)
}

// Guards against a shorter wish that replaces a longer one, and wishes that are no
// number of seconds.
func TestHoldOffsKeepTheLongestWish(t *testing.T) {
	holdOffs, now := newHoldOffs(), time.Now()
	server := ratelimit.Server{ID: "a", Service: "svc", Incarnation: 1}
	holdOffs.add(server, now.Add(3*time.Second))
	holdOffs.add(server, now.Add(time.Second))
	assert.Equal(t, holdOffs.left(server, now), 3*time.Second)
	assert.Equal(t, holdOffs.left(server, now.Add(3*time.Second)), time.Duration(0))
}

// Guards against callers who are told to stay away for as long as one server wants
// no requests, although the others are only busy.
func TestOneServersWishDoesNotDelayCallersOfOthers(t *testing.T) {
	h, q := newTestHost(t, respondOK).handler, &request{heldOff: time.Minute}
	busy := h.placementError(q, dispatch.Decision{Reason: dispatch.ReasonOverload, RetryAfter: time.Second})
	assert.Equal(t, busy.RetryAfter, time.Second)
	none := h.placementError(q, dispatch.Decision{Reason: dispatch.ReasonNoServer})
	assert.Equal(t, none.RetryAfter, time.Minute)
}
