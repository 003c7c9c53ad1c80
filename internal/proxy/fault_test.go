package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/admission"
	"github.com/cassiasill/cassiasill/internal/apierror"
)

const (
	shedResponse         = "HTTP/1.1 503 Busy\nID\nCassiasill-Executed: no\nContent-Length: 0\n\n"
	notOwnerResponse     = "HTTP/1.1 421 No\nID\nContent-Length: 0\n\n"
	truncatedResponse    = "HTTP/1.1 200 OK\nID\nContent-Length: 10\n\nhello"
	overlongResponse     = "HTTP/1.1 200 OK\nID\nContent-Length: 5\n\nhello, and more"
	unframedResponse     = "HTTP/1.1 200 OK\nID\n\nhello"
	misaddressedResponse = "HTTP/1.1 200 OK\nCassiasill-Request-Id: 1234\nContent-Length: 5\n\nother"
)

// problem checks the format of an error response and returns its kind and the
// value of its "executed" header.
func problem(t *testing.T, response *http.Response, body string) (kind, executed string) {
	t.Helper()
	assert.Equal(t, response.Header.Get("Content-Type"), "application/problem+json", body)
	_, rest, _ := strings.Cut(body, `"kind":"`)
	kind, _, _ = strings.Cut(rest, `"`)
	executed = response.Header.Get(apierror.HeaderExecuted)
	assert.Assert(t, strings.Contains(body, fmt.Sprintf(`"executed":"%s"`, executed)))
	return kind, executed
}

// Guards against a booking that fails at some step and is reported as not
// executed although the upstream may have executed it (G4), is executed twice
// (G5), or gets a response that is truncated or belongs to another request (G3).
func TestFaultsOfBooking(t *testing.T) {
	long := strings.Repeat("x", 200<<10)
	cases := []struct {
		name       string
		step       step
		body       string
		kind       string // empty: the response "done" is passed on
		executed   string
		executions int
	}{
		{"answered", ok("done"), "b", "", "", 1},
		{"responded, then broken", inOrder(ok("done"), reset), "b", "", "", 1},
		{"broken before the header ends", inOrder(readBytes(10), reset), "b", "upstream-failed", "unknown", 0},
		{"broken within the body", inOrder(readBytes(2000), reset), long, "upstream-failed", "unknown", 0},
		{"broken after the request", inOrder(readRequest, reset), "b", "upstream-failed", "unknown", 1},
		{"broken without a body", inOrder(readRequest, reset), "", "upstream-failed", "unknown", 1},
		{"closed within the response's header", inOrder(raw("HTTP/1.1 200 OK\nCont"), reset), "b", "upstream-failed", "unknown", 1},
		{"closed within the response's body", inOrder(raw(truncatedResponse), func(c *call) { c.conn.Close() }), "b", "upstream-failed", "unknown", 1},
		{"response too long", raw(overlongResponse), "b", "upstream-answer-invalid", "unknown", 1},
		{"chunks too long", raw("HTTP/1.1 200 OK\nID\nTransfer-Encoding: chunked\n\n4\ndone\n0\n\nmore"), "b", "upstream-answer-invalid", "unknown", 1},
		{"empty response too long", raw("HTTP/1.1 204 OK\nID\n\nHTTP/1.1 200 OK\n\n"), "b", "upstream-answer-invalid", "unknown", 1},
		{"response without end", inOrder(raw(unframedResponse), func(c *call) { c.conn.Close() }), "b", "upstream-answer-invalid", "unknown", 1},
		{"response to another request", raw(misaddressedResponse), "b", "upstream-answer-invalid", "unknown", 1},
		{"response without ID", raw("HTTP/1.1 200 OK\nContent-Length: 0\n\n"), "b", "upstream-answer-invalid", "unknown", 1},
		{"two ids", raw("HTTP/1.1 200 OK\nID\nID\nContent-Length: 0\n\n"), "b", "upstream-answer-invalid", "unknown", 1},
		{"status 000", raw("HTTP/1.1 000 Trouble\nID\nContent-Length: 0\n\n"), "b", "upstream-answer-invalid", "unknown", 1},
		{"status 600", raw("HTTP/1.1 600 Trouble\nID\nContent-Length: 0\n\n"), "b", "upstream-answer-invalid", "unknown", 1},
		{"status 999", raw("HTTP/1.1 999 Trouble\nID\nContent-Length: 0\n\n"), "b", "upstream-answer-invalid", "unknown", 1},
		{"blank in a field's name", raw("HTTP/1.1 200 OK\nID\nX Odd: 1\nContent-Length: 4\n\ndone"), "b", "upstream-answer-invalid", "unknown", 1},
		{"blank behind a field's name", raw("HTTP/1.1 200 OK\nID\nX-Odd : 1\nContent-Length: 4\n\ndone"), "b", "upstream-answer-invalid", "unknown", 1},
		{"blank behind the name of the length", inOrder(raw("HTTP/1.1 200 OK\nID\nContent-Length : 4\n\ndone"), func(c *call) { c.conn.Close() }), "b", "upstream-answer-invalid", "unknown", 1},
		{"blank behind the name of the encoding", inOrder(raw("HTTP/1.1 200 OK\nID\nTransfer-Encoding : chunked\n\n4\ndone\n0\n\n"), func(c *call) { c.conn.Close() }), "b", "upstream-answer-invalid", "unknown", 1},
		{"control byte in a field's name", raw("HTTP/1.1 200 OK\nID\nX\x01Odd: 1\nContent-Length: 4\n\ndone"), "b", "upstream-failed", "unknown", 1},
		{"continuation line", raw("HTTP/1.1 200 OK\nID\nX-More: 1\n X-Odd: 1\nContent-Length: 4\n\ndone"), "b", "upstream-answer-invalid", "unknown", 1},
		{"shed with a blank in a field's name", raw(strings.Replace(shedResponse, "ID", "ID\nX Odd: 1", 1)), "b", "upstream-answer-invalid", "unknown", 1},
		{"garbage", raw("ZZZZ\n\n"), "b", "upstream-failed", "unknown", 1},
		{"two lengths", raw("HTTP/1.1 200 OK\nID\nContent-Length: 4\nContent-Length: 5\n\ndone"), "b", "upstream-failed", "unknown", 1},
		{"length and chunks", raw("HTTP/1.1 200 OK\nID\nContent-Length: 2\nTransfer-Encoding: chunked\n\n4\ndone\n0\n\n"), "b", "", "", 1},
		{"chunks cut off", inOrder(raw("HTTP/1.1 200 OK\nID\nTransfer-Encoding: chunked\n\n4\ndo"), reset), "b", "upstream-failed", "unknown", 1},
		{"headers too large", raw("HTTP/1.1 200 OK\nID\nX: " + strings.Repeat("y", 70<<10) + "\nContent-Length: 0\n\n"), "b", "upstream-failed", "unknown", 1},
		{"shed", reject(shedResponse), "b", "overloaded", "no", 0},
		{"shed without proof", raw(strings.Replace(shedResponse, "Cassiasill-Executed: no\n", "", 1)), "b", "503", "", 1},
		{"shed under another id", raw(strings.Replace(shedResponse, "ID", "Cassiasill-Request-Id: 12", 1)), "b", "upstream-answer-invalid", "unknown", 1},
		{"refused after part of a long body", inOrder(readBytes(2000), func(c *call) { _, _ = io.WriteString(c.conn, "HTTP/1.1 421 No\r\n\r\n") }, reset), long, "", "unknown", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			up := newFakeUpstream(t, c.step)
			h := newHarness(t, nil, up)
			var in io.Reader
			if c.body != "" {
				in = strings.NewReader(c.body)
			}
			response, body, err := h.do(t, "POST", "/free/book", in)
			assert.NilError(t, err)
			assert.Equal(t, up.executions(), c.executions)
			switch {
			case c.kind == "503":
				assert.Equal(t, response.StatusCode, 503)
				assert.Equal(t, response.Header.Get(apierror.HeaderExecuted), "", "claimed without proof")
			case c.executed == "":
				assert.Equal(t, body, "done")
			default:
				kind, executed := problem(t, response, body)
				assert.Equal(t, executed, c.executed, body)
				if c.kind != "" {
					assert.Equal(t, kind, c.kind, body)
				}
			}
			h.assertDrained(t)
		})
	}
}

// Guards against net/http's own retries on a reused connection, which would
// execute a booking twice and bypass the retry budget.
func TestBrokenReusedConnectionIsNotResent(t *testing.T) {
	cases := []struct{ method, body string }{{"POST", ""}, {"POST", "b"}, {"DELETE", ""}, {"GET", ""}}
	for _, c := range cases {
		t.Run(c.method+c.body, func(t *testing.T) {
			up := newFakeUpstream(t, ok("first"), inOrder(readRequest, reset), ok("again"))
			h := newHarness(t, func(o *Options) {
				o.Services[1].Routes = []Route{{Class: admission.ClassBooking}}
			}, up)
			_, _, err := h.do(t, "POST", "/free/book", nil)
			assert.NilError(t, err)
			response, body, err := h.do(t, c.method, "/free/book", strings.NewReader(c.body), "Idempotency-Key", "k", "X-Idempotency-Key", "k")
			assert.NilError(t, err)
			_, executed := problem(t, response, body)
			assert.Equal(t, executed, "unknown")
			assert.Equal(t, up.executions(), 2)
		})
	}
}

// Guards against repeatable requests that are not retried, are retried beyond the
// budget or at the same upstream, against bookings that are retried after an
// unknown outcome, and against a reported outcome that ignores an earlier
// attempt.
func TestRetryElsewhere(t *testing.T) {
	broken := inOrder(readRequest, reset)
	cases := []struct {
		name, method  string
		warm          int // requests that fill the retry budget
		first, second step
		executed      string // empty: the second upstream's response is passed on
		executions    int
	}{
		{"lookup without budget", "GET", 0, broken, ok("second"), "unknown", 1},
		{"lookup", "GET", 12, broken, ok("second"), "", 2},
		{"lookup, then shed", "GET", 12, broken, reject(shedResponse), "unknown", 1},
		{"lookup, then unreached", "GET", 12, broken, nil, "unknown", 1},
		{"lookup, response cut off", "GET", 12, inOrder(raw(truncatedResponse), reset), ok("second"), "", 2},
		{"booking", "POST", 12, broken, ok("second"), "unknown", 1},
		{"booking shed", "POST", 120, reject(shedResponse), ok("second"), "", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bad, other := newFakeUpstream(t, ok("first")), newFakeUpstream(t, c.second)
			h := newHarness(t, nil, bad, other)
			for range c.warm {
				_, body, err := h.do(t, "GET", "/free/doc", nil)
				assert.NilError(t, err)
				assert.Equal(t, body, "first")
			}
			if c.second == nil {
				other.crash()
			}
			bad.mu.Lock()
			bad.steps, bad.next, bad.calls = []step{c.first}, 0, nil
			bad.mu.Unlock()
			response, body, err := h.do(t, c.method, "/free/doc", nil)
			assert.NilError(t, err)
			assert.Equal(t, response.Header.Get(apierror.HeaderExecuted), c.executed)
			assert.Equal(t, body == "second", c.executed == "")
			assert.Equal(t, bad.executions()+other.executions(), c.executions)
			h.assertDrained(t)
		})
	}
}

// Guards against a retry that sends only the remaining part of a long body after
// a rejection.
func TestPartlySentBodyIsNotResent(t *testing.T) {
	old := newFakeUpstream(t, func(c *call) {
		r, err := http.ReadRequest(c.in)
		if err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, r.Body, 100<<10)
		c.r = r
		respond(notOwnerResponse)(c)
	})
	other := newFakeUpstream(t, ok("done"))
	h := newHarness(t, nil, old, other)
	response, body, err := h.do(t, "POST", "/free/book", strings.NewReader(strings.Repeat("x", 200<<10)))
	assert.NilError(t, err)
	kind, executed := problem(t, response, body)
	assert.Equal(t, kind+" "+executed, "not-owner no")
	assert.Equal(t, other.executions(), 0)
}

// Guards against responses without a body that are treated as truncated, or that
// lose their Content-Length.
func TestResponsesWithoutBody(t *testing.T) {
	for _, c := range []struct{ method, answer, length string }{
		{"HEAD", "HTTP/1.1 200 OK\nID\nContent-Length: 10\n\n", "10"},
		{"HEAD", "HTTP/1.1 200 OK\nID\n\n", ""},
		{"GET", "HTTP/1.1 204 OK\nID\n\n", ""},
		{"GET", "HTTP/1.1 304 OK\nID\nETag: \"1\"\n\n", ""},
		{"GET", "HTTP/1.1 200 OK\nID\nContent-Length: 0\n\n", "0"},
		{"GET", "HTTP/1.1 103 Hint\nLink: x\n\nHTTP/1.1 200 OK\nID\nTransfer-Encoding: chunked\n\n0\n\n", "0"},
	} {
		up := newFakeUpstream(t, raw(c.answer))
		h := newHarness(t, nil, up)
		for range 2 {
			response, body, err := h.do(t, c.method, "/free/doc", nil)
			assert.NilError(t, err)
			assert.Equal(t, body, "")
			assert.Equal(t, response.Header.Get("Content-Length"), c.length, c.answer)
		}
		up.mu.Lock()
		assert.Equal(t, up.accepted, 1, "the connection was not reused")
		up.mu.Unlock()
	}
}

// Guards against secrets or bodies in the log, and against attempts that are not
// logged.
func TestLogOfRouting(t *testing.T) {
	core, logs := observer.New(zap.DebugLevel)
	up := newFakeUpstream(t, reject(shedResponse), ok("answer-secret"))
	h := newHarness(t, func(o *Options) { o.Logger = zap.New(core) }, up)
	for range 2 {
		_, _, err := h.do(t, "POST", "/free/book?token=query-secret", strings.NewReader("body-secret"),
			"Authorization", "header-secret", "Idempotency-Key", "key-secret")
		assert.NilError(t, err)
	}
	h.assertDrained(t)
	routed := 0
	for _, entry := range logs.All() {
		assert.Assert(t, strings.HasPrefix(entry.Message, "proxy: "), entry.Message)
		assert.Assert(t, !strings.Contains(fmt.Sprint(entry.ContextMap()), "secret"), "%v", entry)
		if entry.Message == "proxy: request routed" {
			routed++
		}
	}
	assert.Equal(t, routed, 2)
}

// Guards against a booking that fails although its upstream was never reached and
// another one is live, and against a wrong reported outcome if none is live.
func TestUnreachedUpstream(t *testing.T) {
	dead, live := newFakeUpstream(t, ok("x")), newFakeUpstream(t, ok("done"))
	dead.crash()
	h := newHarness(t, nil, dead, live)
	_, body, err := h.do(t, "POST", "/free/book", strings.NewReader("b"))
	assert.NilError(t, err)
	assert.Equal(t, body, "done")
	live.crash()
	response, body, err := h.do(t, "POST", "/free/book", strings.NewReader("b"))
	assert.NilError(t, err)
	_, executed := problem(t, response, body)
	assert.Equal(t, executed, "no")
	assert.Equal(t, live.executions(), 1)
}

// Guards against a booking that is lost when its key moves: the rejected request
// must reach the new owner exactly once, with the new fencing token.
func TestRefusedRequestFollowsKeyToNewOwner(t *testing.T) {
	var h *harness
	old := newFakeUpstream(t, inOrder(reject(notOwnerResponse), func(*call) { h.resolver.set(servedBy("s1", 2)) }))
	owner := newFakeUpstream(t, ok("done"))
	h = newHarness(t, nil, old, owner)
	_, body, err := h.do(t, "POST", "/keyed/k/book", strings.NewReader("b"))
	assert.NilError(t, err)
	assert.Equal(t, body, "done")
	assert.Equal(t, owner.last().r.Header.Get("Cassiasill-Fencing-Token"), "7.2")
	assert.Equal(t, owner.last().body, "b")
	assert.Equal(t, old.executions()+owner.executions(), 1)
}

// Guards against a request sent to an owner that lost the key while the
// request waited for admission.
func TestOwnerIsLookedUpAfterAdmission(t *testing.T) {
	old, owner := newFakeUpstream(t, ok("old")), newFakeUpstream(t, ok("new"))
	h := newHarness(t, nil, old, owner)
	moved := false
	h.admitter.before = func() {
		if !moved {
			moved = true
			h.resolver.set(servedBy("s1", 2))
		}
	}
	_, body, err := h.do(t, "GET", "/keyed/k", nil)
	assert.NilError(t, err)
	assert.Equal(t, body, "new")
	assert.Equal(t, old.executions(), 0)
	h.assertDrained(t)
}

// Guards against a late response that reaches another caller's request on the
// same connection.
func TestAbandonedResponseIsNotReused(t *testing.T) {
	release := make(chan struct{})
	up := newFakeUpstream(t, func(c *call) {
		c.read()
		<-release
		respond("HTTP/1.1 200 OK\nID\nContent-Length: 4\n\nlate")(c)
	}, ok("mine"))
	h := newHarness(t, func(o *Options) { o.Limits.MaxConnsPerUpstream = 1 }, up)
	response, body, err := h.do(t, "POST", "/free/book", nil, "Cassiasill-Timeout-Millis", "50")
	assert.NilError(t, err)
	kind, executed := problem(t, response, body)
	assert.Equal(t, kind+" "+executed, "timeout unknown")
	close(release)
	_, body, err = h.do(t, "POST", "/free/book", nil)
	assert.NilError(t, err)
	assert.Equal(t, body, "mine")
}

// Guards against a shutdown that breaks a request in flight (G7) or accepts new
// ones, and against a drain that never ends.
func TestShutdownFinishesRequestsInFlight(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	up := newFakeUpstream(t, func(c *call) {
		close(arrived)
		<-release
		ok("done")(c)
	})
	h := newHarness(t, nil, up)
	bodies := make(chan string, 1)
	go func() {
		_, body, err := h.do(t, "POST", "/free/book", nil)
		bodies <- fmt.Sprint(body, err)
	}()
	<-arrived
	down := make(chan error, 1)
	go func() { down <- h.Shutdown(t.Context()) }()
	for {
		response, body, err := h.do(t, "POST", "/free/x", nil, "Cassiasill-Timeout-Millis", "bad")
		assert.NilError(t, err)
		if kind, executed := problem(t, response, body); kind == "shutting-down" {
			assert.Equal(t, executed, "no")
			break
		}
	}
	select {
	case <-down:
		t.Fatal("the drain did not wait")
	default:
	}
	close(release)
	assert.Equal(t, <-bodies, "done<nil>")
	assert.NilError(t, <-down)
}
