package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/admission"
	"github.com/cassiasill/cassiasill/internal/idempotency"
	"github.com/cassiasill/cassiasill/internal/quarantine"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// onBadCaller reads a request and runs s on it if its caller is "bad"; other
// requests get an empty response and do not count as executed.
func onBadCaller(s step) step {
	return func(c *call) {
		switch {
		case !c.read():
		case c.r.Header.Get("X-Caller") == "bad":
			s(c)
		default:
			inOrder(discount, respond("HTTP/1.1 204 OK\nID\n\n"))(c)
		}
	}
}

// Guards against a request that crashes more than two upstreams, and against
// requests that are quarantined although no upstream crashed.
func TestCrashingRequest(t *testing.T) {
	stall := func(c *call) { _, _ = c.in.Peek(1) }
	closeListener := func(c *call) { c.up.listener.Close() }
	cases := []struct {
		name, method string
		warm         int // requests that fill the retry budget
		step         step
		executions   int // of six attempts at four upstreams
		millis       string
		last         string
		rotate       bool // each upstream gets one attempt
	}{
		{"crash", "POST", 0, crash, 2, "10000", "quarantined no", false},
		{"crash of a lookup that is retried", "GET", 40, crash, 2, "10000", "quarantined no", false},
		{"one connection broken", "POST", 0, reset, 6, "10000", "upstream-failed unknown", false},
		{"deadline passed", "POST", 0, stall, 6, "200", "timeout unknown", false},
		{"deadline passed at an upstream that drains", "POST", 0, inOrder(closeListener, stall), 4, "200", "no-upstream no", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var fakes []*fakeUpstream
			for range 4 {
				fakes = append(fakes, newFakeUpstream(t, onBadCaller(c.step)))
			}
			h := newHarness(t, func(o *Options) { o.Quarantine = quarantine.New(1, 0) }, fakes...)
			send := func(caller, path string) string {
				response, body, err := h.do(t, c.method, path, nil, "X-Caller", caller, headerTimeout, c.millis)
				assert.NilError(t, err)
				if response.StatusCode == http.StatusNoContent {
					return ""
				}
				kind, executed := problem(t, response, body)
				return kind + " " + executed
			}
			for range c.warm {
				assert.Equal(t, send("good", "/free/doc"), "")
			}
			last := ""
			for range 6 {
				last = send("bad", "/free/doc")
				if c.rotate && len(h.admitter.servers) > 0 {
					h.admitter.servers = h.admitter.servers[1:]
				}
			}
			total := 0
			for _, f := range fakes {
				total += f.executions()
			}
			assert.Equal(t, last, c.last)
			assert.Equal(t, total, c.executions)
			assert.Assert(t, !strings.HasPrefix(send("good", "/free/doc"), "quarantined"), "another caller's request was rejected")
			h.assertDrained(t)
		})
	}
}

// Guards against identical requests in flight on more servers than one request
// may crash, and against such requests that get no response.
func TestEqualRequestsAreNotSpread(t *testing.T) {
	const requests = 6
	arrived, release := make(chan *fakeUpstream, requests), make(chan struct{})
	hold := func(c *call) {
		c.read()
		arrived <- c.up
		<-release
		respond("HTTP/1.1 200 OK\nID\nContent-Length: 4\n\ndone")(c)
	}
	h := newHarness(t, func(o *Options) { o.Quarantine = quarantine.New(1, 0) }, newFakeUpstream(t, hold), newFakeUpstream(t, hold), newFakeUpstream(t, hold))
	h.admitter.rotate = true
	bodies := make(chan string, requests)
	for range requests {
		go func() {
			_, body, err := h.do(t, "GET", "/free/doc", nil)
			bodies <- fmt.Sprint(body, err)
		}()
	}
	used := map[*fakeUpstream]bool{}
	for range requests {
		used[<-arrived] = true
	}
	close(release)
	for range requests {
		assert.Equal(t, <-bodies, "done<nil>")
	}
	assert.Equal(t, len(used), quarantine.MaxCrashedServers)
	h.assertDrained(t)
}

// Guards against crashes that are missed because the upstream restarted at once,
// and against single broken connections that are classified as crashes.
func TestCrashDetection(t *testing.T) {
	cases := []struct {
		name          string
		open, broken  int
		closeNew      bool
		closeListener bool
		want          bool
	}{
		{"only connection broken", 1, 1, false, false, false},
		{"one of two broken", 2, 1, false, false, false},
		{"all of two broken", 2, 2, false, false, true},
		{"new connections are broken", 2, 1, true, false, true},
		{"new connections are refused", 1, 1, false, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			u := newUpstream(topology.Server{Address: listener.Addr().String()}, Limits{}.WithDefaults(), (&net.Dialer{}).DialContext)
			var near, far []net.Conn
			for i := range c.open {
				conn, err := u.transport.DialContext(t.Context(), "tcp", "")
				assert.NilError(t, err)
				near = append(near, conn)
				defer near[i].Close()
				conn, err = listener.Accept()
				assert.NilError(t, err)
				far = append(far, conn)
				defer far[i].Close()
			}
			for i := range c.broken {
				far[i].Close()
				_, err = near[i].Read(make([]byte, 1))
				assert.ErrorContains(t, err, "EOF")
			}
			if c.closeListener {
				listener.Close()
			}
			accepted := make(chan struct{})
			go func() {
				defer close(accepted)
				if far, err := listener.Accept(); err == nil && c.closeNew {
					far.Close()
				}
			}()
			assert.Equal(t, u.crashed(time.Now()), c.want)
			<-accepted
		})
	}
}

// localReserver claims keys directly in the tables of two hosts.
type localReserver map[topology.HostName]*idempotency.Table

func (k localReserver) Reserve(_ context.Context, host topology.HostName, claim idempotency.Claim) (idempotency.Reply, error) {
	return k[host].Reserve(claim, time.Now())
}

// Guards against a booking with an idempotency key that is executed twice when
// its caller resends it (G5), and against one that is still rejected although it
// was provably not executed.
func TestResentBooking(t *testing.T) {
	cases := []struct {
		name       string
		first      step
		key, body  string // of the resent booking
		otherHost  bool
		want       string
		executions int
	}{
		{"executed", ok("done"), "k", "b", false, "200 replayed", 1},
		{"executed, through another host", ok("done"), "k", "b", true, "409 unknown", 1},
		{"unknown", inOrder(readRequest, reset), "k", "b", false, "409 unknown", 1},
		{"unknown, through another host", inOrder(readRequest, reset), "k", "b", true, "409 unknown", 1},
		{"shed", reject(shedResponse), "k", "b", false, "200", 1},
		{"shed, through another host", reject(shedResponse), "k", "b", true, "200", 1},
		{"another booking with the key", ok("done"), "k", "c", true, "400 no", 1},
		{"another key", ok("done"), "k2", "b", false, "200", 2},
		{"key too long", ok("done"), strings.Repeat("k", 256), "b", false, "400 no", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			up := newFakeUpstream(t, c.first, ok("done"))
			keeper := localReserver{"h1": idempotency.NewTable(0), "h2": idempotency.NewTable(0)}
			hosts := func() []topology.HostName { return []topology.HostName{"h1", "h2"} }
			var harnesses [2]*harness
			for i := range harnesses {
				harnesses[i] = newHarness(t, func(o *Options) { o.Idempotency = idempotency.NewClient(keeper, hosts) }, up)
			}
			send := func(h *harness, key, body string) string {
				response, text, err := h.do(t, "POST", "/free/book", strings.NewReader(body), "Idempotency-Key", key, "X-Caller", "driver")
				assert.NilError(t, err)
				got := fmt.Sprint(response.StatusCode, " ", response.Header.Get("Cassiasill-Executed"))
				if response.Header.Get(headerReplayed) != "" {
					assert.Equal(t, text, "done")
					got += "replayed"
				}
				return strings.TrimSpace(got)
			}
			send(harnesses[0], "k", "b")
			h := harnesses[0]
			if c.otherHost {
				h = harnesses[1]
			}
			assert.Equal(t, send(h, c.key, c.body), c.want)
			assert.Equal(t, up.executions(), c.executions)
		})
	}
}

// Guards against an upstream that continues a request whose caller has
// disconnected.
func TestCanceledRequestEndsAtUpstream(t *testing.T) {
	arrived, gone := make(chan struct{}), make(chan error, 1)
	up := newFakeUpstream(t, func(c *call) {
		c.read()
		close(arrived)
		_, err := c.in.Peek(1)
		gone <- err
	})
	h := newHarness(t, func(o *Options) { o.Quarantine = quarantine.New(1, 0) }, up)
	ctx, cancel := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, "POST", h.server.URL+"/free/book", nil)
	assert.NilError(t, err)
	go func() {
		<-arrived
		cancel()
	}()
	_, err = h.server.Client().Do(r)
	assert.ErrorContains(t, err, "canceled")
	assert.Assert(t, <-gone != nil)
	h.assertDrained(t)
	assert.DeepEqual(t, h.admitter.outcomes, []admission.Outcome{admission.OutcomeCanceled})
}
