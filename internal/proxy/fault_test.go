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
	shedAnswer  = "HTTP/1.1 503 Busy\nID\nCassiasill-Executed: no\nContent-Length: 0\n\n"
	notOwner    = "HTTP/1.1 421 No\nID\nContent-Length: 0\n\n"
	halfAnswer  = "HTTP/1.1 200 OK\nID\nContent-Length: 10\n\nhello"
	longAnswer  = "HTTP/1.1 200 OK\nID\nContent-Length: 5\n\nhello, and more"
	openAnswer  = "HTTP/1.1 200 OK\nID\n\nhello"
	otherAnswer = "HTTP/1.1 200 OK\nCassiasill-Request-Id: 1234\nContent-Length: 5\n\nother"
)

// problem checks the form of an error answer and returns what it says.
func problem(t *testing.T, answer *http.Response, body string) (kind, executed string) {
	t.Helper()
	assert.Equal(t, answer.Header.Get("Content-Type"), "application/problem+json", body)
	_, rest, _ := strings.Cut(body, `"kind":"`)
	kind, _, _ = strings.Cut(rest, `"`)
	executed = answer.Header.Get(apierror.HeaderExecuted)
	assert.Assert(t, strings.Contains(body, fmt.Sprintf(`"executed":"%s"`, executed)))
	return kind, executed
}

// Guards against a failure at any step of a booking that is reported as not
// executed though the upstream may have run it (G4), run twice (G5), or
// answered with something that is not the whole answer to it (G3).
func TestFaultsOfBooking(t *testing.T) {
	long := strings.Repeat("x", 200<<10)
	cases := []struct {
		name       string
		step       step
		body       string
		kind       string // empty: the answer "done" is passed on
		executed   string
		executions int
	}{
		{"answered", ok("done"), "b", "", "", 1},
		{"answered, then broken", then(ok("done"), reset), "b", "", "", 1},
		{"broken before the header ends", then(readBytes(10), reset), "b", "upstream-failed", "unknown", 0},
		{"broken within the body", then(readBytes(2000), reset), long, "upstream-failed", "unknown", 0},
		{"broken after the request", then(readOnly, reset), "b", "upstream-failed", "unknown", 1},
		{"broken without a body", then(readOnly, reset), "", "upstream-failed", "unknown", 1},
		{"closed within the answer's header", then(raw("HTTP/1.1 200 OK\nCont"), reset), "b", "upstream-failed", "unknown", 1},
		{"closed within the answer's body", then(raw(halfAnswer), func(c *call) { c.conn.Close() }), "b", "upstream-failed", "unknown", 1},
		{"answer too long", raw(longAnswer), "b", "upstream-answer-invalid", "unknown", 1},
		{"chunks too long", raw("HTTP/1.1 200 OK\nID\nTransfer-Encoding: chunked\n\n4\ndone\n0\n\nmore"), "b", "upstream-answer-invalid", "unknown", 1},
		{"empty answer too long", raw("HTTP/1.1 204 OK\nID\n\nHTTP/1.1 200 OK\n\n"), "b", "upstream-answer-invalid", "unknown", 1},
		{"answer without end", then(raw(openAnswer), func(c *call) { c.conn.Close() }), "b", "upstream-answer-invalid", "unknown", 1},
		{"answer to another request", raw(otherAnswer), "b", "upstream-answer-invalid", "unknown", 1},
		{"answer without id", raw("HTTP/1.1 200 OK\nContent-Length: 0\n\n"), "b", "upstream-answer-invalid", "unknown", 1},
		{"two ids", raw("HTTP/1.1 200 OK\nID\nID\nContent-Length: 0\n\n"), "b", "upstream-answer-invalid", "unknown", 1},
		{"garbage", raw("ZZZZ\n\n"), "b", "upstream-failed", "unknown", 1},
		{"two lengths", raw("HTTP/1.1 200 OK\nID\nContent-Length: 4\nContent-Length: 5\n\ndone"), "b", "upstream-failed", "unknown", 1},
		{"length and chunks", raw("HTTP/1.1 200 OK\nID\nContent-Length: 2\nTransfer-Encoding: chunked\n\n4\ndone\n0\n\n"), "b", "", "", 1},
		{"chunks cut off", then(raw("HTTP/1.1 200 OK\nID\nTransfer-Encoding: chunked\n\n4\ndo"), reset), "b", "upstream-failed", "unknown", 1},
		{"headers too large", raw("HTTP/1.1 200 OK\nID\nX: " + strings.Repeat("y", 70<<10) + "\nContent-Length: 0\n\n"), "b", "upstream-failed", "unknown", 1},
		{"shed", refuse(shedAnswer), "b", "overloaded", "no", 0},
		{"shed without proof", raw(strings.Replace(shedAnswer, "Cassiasill-Executed: no\n", "", 1)), "b", "503", "", 1},
		{"shed under another id", raw(strings.Replace(shedAnswer, "ID", "Cassiasill-Request-Id: 12", 1)), "b", "upstream-answer-invalid", "unknown", 1},
		{"refused after part of a long body", then(readBytes(2000), func(c *call) { _, _ = io.WriteString(c.conn, "HTTP/1.1 421 No\r\n\r\n") }, reset), long, "", "unknown", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			up := newFake(t, c.step)
			h := newHarness(t, nil, up)
			var in io.Reader
			if c.body != "" {
				in = strings.NewReader(c.body)
			}
			answer, body, err := h.do(t, "POST", "/free/book", in)
			assert.NilError(t, err)
			assert.Equal(t, up.executions(), c.executions)
			switch {
			case c.kind == "503":
				assert.Equal(t, answer.StatusCode, 503)
				assert.Equal(t, answer.Header.Get(apierror.HeaderExecuted), "", "claimed without proof")
			case c.executed == "":
				assert.Equal(t, body, "done")
			default:
				kind, executed := problem(t, answer, body)
				assert.Equal(t, executed, c.executed, body)
				if c.kind != "" {
					assert.Equal(t, kind, c.kind, body)
				}
			}
			h.drained(t)
		})
	}
}

// Guards against net/http's own retries on a reused connection, which would
// execute a booking twice, and against retries on top of the budget.
func TestBrokenReusedConnectionIsNotResent(t *testing.T) {
	cases := []struct{ method, body string }{{"POST", ""}, {"POST", "b"}, {"DELETE", ""}, {"GET", ""}}
	for _, c := range cases {
		t.Run(c.method+c.body, func(t *testing.T) {
			up := newFake(t, ok("first"), then(readOnly, reset), ok("again"))
			h := newHarness(t, func(o *Options) {
				o.Services[1].Routes = []Route{{Class: admission.ClassBooking}}
			}, up)
			_, _, err := h.do(t, "POST", "/free/book", nil)
			assert.NilError(t, err)
			answer, body, err := h.do(t, c.method, "/free/book", strings.NewReader(c.body), "Idempotency-Key", "k", "X-Idempotency-Key", "k")
			assert.NilError(t, err)
			_, executed := problem(t, answer, body)
			assert.Equal(t, executed, "unknown")
			assert.Equal(t, up.executions(), 2)
		})
	}
}

// Guards against retries of what may be repeated that don't happen, are not
// bounded by the budget or go to the same upstream, against a booking that is
// sent again, and against a report that forgets an earlier attempt.
func TestRetryElsewhere(t *testing.T) {
	broken := then(readOnly, reset)
	cases := []struct {
		name, method  string
		warm          int // requests that fill the budget
		first, second step
		executed      string // empty: the second upstream's answer is passed on
		executions    int
	}{
		{"lookup without budget", "GET", 0, broken, ok("second"), "unknown", 1},
		{"lookup", "GET", 12, broken, ok("second"), "", 2},
		{"lookup, then shed", "GET", 12, broken, refuse(shedAnswer), "unknown", 1},
		{"lookup, then unreached", "GET", 12, broken, nil, "unknown", 1},
		{"lookup, answer cut off", "GET", 12, then(raw(halfAnswer), reset), ok("second"), "", 2},
		{"booking", "POST", 12, broken, ok("second"), "unknown", 1},
		{"booking shed", "POST", 120, refuse(shedAnswer), ok("second"), "", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bad, other := newFake(t, ok("first")), newFake(t, c.second)
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
			answer, body, err := h.do(t, c.method, "/free/doc", nil)
			assert.NilError(t, err)
			assert.Equal(t, answer.Header.Get(apierror.HeaderExecuted), c.executed)
			assert.Equal(t, body == "second", c.executed == "")
			assert.Equal(t, bad.executions()+other.executions(), c.executions)
			h.drained(t)
		})
	}
}

// Guards against a long body that is sent on from its middle after a refusal.
func TestPartlySentBodyIsNotResent(t *testing.T) {
	old := newFake(t, func(c *call) {
		r, err := http.ReadRequest(c.in)
		if err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, r.Body, 100<<10)
		c.r = r
		write(notOwner)(c)
	})
	other := newFake(t, ok("done"))
	h := newHarness(t, nil, old, other)
	answer, body, err := h.do(t, "POST", "/free/book", strings.NewReader(strings.Repeat("x", 200<<10)))
	assert.NilError(t, err)
	kind, executed := problem(t, answer, body)
	assert.Equal(t, kind+" "+executed, "not-owner no")
	assert.Equal(t, other.executions(), 0)
}

// Guards against answers without a body that are held for broken, or that lose
// the length they announce.
func TestAnswersWithoutBody(t *testing.T) {
	for _, c := range []struct{ method, answer, length string }{
		{"HEAD", "HTTP/1.1 200 OK\nID\nContent-Length: 10\n\n", "10"},
		{"HEAD", "HTTP/1.1 200 OK\nID\n\n", ""},
		{"GET", "HTTP/1.1 204 OK\nID\n\n", ""},
		{"GET", "HTTP/1.1 304 OK\nID\nETag: \"1\"\n\n", ""},
		{"GET", "HTTP/1.1 200 OK\nID\nContent-Length: 0\n\n", "0"},
		{"GET", "HTTP/1.1 103 Hint\nLink: x\n\nHTTP/1.1 200 OK\nID\nTransfer-Encoding: chunked\n\n0\n\n", "0"},
	} {
		up := newFake(t, raw(c.answer))
		h := newHarness(t, nil, up)
		for range 2 {
			answer, body, err := h.do(t, c.method, "/free/doc", nil)
			assert.NilError(t, err)
			assert.Equal(t, body, "")
			assert.Equal(t, answer.Header.Get("Content-Length"), c.length, c.answer)
		}
		up.mu.Lock()
		assert.Equal(t, up.accepted, 1, "the connection was not used again")
		up.mu.Unlock()
	}
}

// Guards against secrets or bodies in the log, and against attempts that leave
// no line.
func TestLogOfRouting(t *testing.T) {
	core, logs := observer.New(zap.DebugLevel)
	up := newFake(t, refuse(shedAnswer), ok("answer-secret"))
	h := newHarness(t, func(o *Options) { o.Logger = zap.New(core) }, up)
	for range 2 {
		_, _, err := h.do(t, "POST", "/free/book?token=query-secret", strings.NewReader("body-secret"),
			"Authorization", "header-secret", "Idempotency-Key", "key-secret")
		assert.NilError(t, err)
	}
	h.drained(t)
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

// Guards against a booking that fails though its upstream was never reached and
// another one lives, and against a wrong report if none does.
func TestUnreachedUpstream(t *testing.T) {
	dead, live := newFake(t, ok("x")), newFake(t, ok("done"))
	dead.crash()
	h := newHarness(t, nil, dead, live)
	_, body, err := h.do(t, "POST", "/free/book", strings.NewReader("b"))
	assert.NilError(t, err)
	assert.Equal(t, body, "done")
	live.crash()
	answer, body, err := h.do(t, "POST", "/free/book", strings.NewReader("b"))
	assert.NilError(t, err)
	_, executed := problem(t, answer, body)
	assert.Equal(t, executed, "no")
	assert.Equal(t, live.executions(), 1)
}

// Guards against a booking lost when its key moves: the refused request must
// reach the new owner once, with the new token.
func TestRefusedRequestFollowsKeyToNewOwner(t *testing.T) {
	var h *harness
	old := newFake(t, then(refuse(notOwner), func(*call) { h.routes.set(served("s1", 2)) }))
	owner := newFake(t, ok("done"))
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
	old, owner := newFake(t, ok("old")), newFake(t, ok("new"))
	h := newHarness(t, nil, old, owner)
	moved := false
	h.admitter.before = func() {
		if !moved {
			moved = true
			h.routes.set(served("s1", 2))
		}
	}
	_, body, err := h.do(t, "GET", "/keyed/k", nil)
	assert.NilError(t, err)
	assert.Equal(t, body, "new")
	assert.Equal(t, old.executions(), 0)
	h.drained(t)
}

// Guards against a late answer that reaches another caller's request on the
// same connection.
func TestAbandonedAnswerIsNotReused(t *testing.T) {
	release := make(chan struct{})
	up := newFake(t, func(c *call) {
		c.read()
		<-release
		write("HTTP/1.1 200 OK\nID\nContent-Length: 4\n\nlate")(c)
	}, ok("mine"))
	h := newHarness(t, func(o *Options) { o.Limits.Connections = 1 }, up)
	answer, body, err := h.do(t, "POST", "/free/book", nil, "Cassiasill-Timeout-Millis", "50")
	assert.NilError(t, err)
	kind, executed := problem(t, answer, body)
	assert.Equal(t, kind+" "+executed, "timeout unknown")
	close(release)
	_, body, err = h.do(t, "POST", "/free/book", nil)
	assert.NilError(t, err)
	assert.Equal(t, body, "mine")
}

// Guards against a shutdown that breaks a request in flight (G7) or takes new
// ones, and against a drain that never ends.
func TestShutdownFinishesRequestsInFlight(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	up := newFake(t, func(c *call) {
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
		answer, body, err := h.do(t, "POST", "/free/x", nil, "Cassiasill-Timeout-Millis", "bad")
		assert.NilError(t, err)
		if kind, executed := problem(t, answer, body); kind == "shutting-down" {
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
