package proxy

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/admission"
	"github.com/cassiasill/cassiasill/internal/routing"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// pipeHarness is a handler that runs on a virtual clock; its connections to the
// servers s0 and s1 are pipes.
type pipeHarness struct {
	*Handler
	resolver *fakeResolver
	begin    time.Time
	mu       sync.Mutex
	runs     []string // "server header-values" of the executed requests
	// statuses maps a server to the status that replaces 200; "refused" makes its
	// connections fail and "broken" breaks the connection after the request.
	statuses map[string]string
	stall    bool
	// responseTime is how long a server takes to respond.
	responseTime time.Duration
	// dialTime is how long it takes to open a connection.
	dialTime time.Duration
}

func newPipeHarness(t *testing.T, limits Limits) *pipeHarness {
	v := &pipeHarness{resolver: newFakeResolver(servedBy("s0", 1)), begin: time.Now(), statuses: map[string]string{}}
	servers := []topology.Server{{Name: "s0", Address: "s0:1"}, {Name: "s1", Address: "s1:1"}}
	v.Handler = New(Options{
		Services: []Service{{Name: "keyed", HasKeyOwners: true, Servers: servers, Routes: []Route{{Class: admission.ClassBooking}}}},
		Resolver: v.resolver, Admitter: &fakeAdmitter{servers: []topology.ServerName{"s0", "s1"}}, Limits: limits,
		Dial: func(_ context.Context, _, address string) (net.Conn, error) {
			name, _, _ := strings.Cut(address, ":")
			if v.status(name) == "refused" {
				return nil, syscall.ECONNREFUSED
			}
			time.Sleep(v.dialTime)
			near, far := net.Pipe()
			go v.serveConn(name, far)
			return near, nil
		},
	})
	t.Cleanup(func() { _ = v.Shutdown(context.Background()) })
	return v
}

func (v *pipeHarness) status(name string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.statuses[name]
}

func (v *pipeHarness) setStatus(name, status string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.statuses[name] = status
}

func (v *pipeHarness) serveConn(name string, conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // a pipe does not buffer, so the body must be read
		status := v.status(name)
		if status == "" || status == "broken" {
			status = cmp.Or(status, "200 OK")
			v.mu.Lock()
			v.runs = append(v.runs, name+" "+r.Header.Get(headerFencingToken)+" "+r.Header.Get(headerDeadline))
			v.mu.Unlock()
		}
		if status == "broken" {
			return
		}
		if v.stall {
			_, _ = in.Peek(1) // returns when the handler closes the connection
			return
		}
		time.Sleep(v.responseTime)
		fmt.Fprintf(conn, "HTTP/1.1 %s\r\nCassiasill-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", status, r.Header.Get("Cassiasill-Request-Id"))
	}
}

func (v *pipeHarness) executed() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return strings.Join(v.runs, ",")
}

// do sends a booking and returns "status kind executed" and the elapsed time.
func (v *pipeHarness) do(headers ...string) (string, time.Duration) {
	start := time.Now()
	r := httptest.NewRequest("POST", "/keyed/k", strings.NewReader("b"))
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	v.ServeHTTP(w, r)
	_, kind, _ := strings.Cut(w.Body.String(), `"kind":"`)
	kind, _, _ = strings.Cut(kind, `"`)
	return strings.TrimSpace(fmt.Sprint(w.Code, " ", kind, " ", w.Header().Get("Cassiasill-Executed"))), time.Since(start)
}

// Guards against requests that wait for an owner too long or not at all, that are
// sent without an owner, or whose outcome is reported wrongly when the wait ends.
func TestWaitForOwner(t *testing.T) {
	waiting := routing.Owner{State: routing.StateWaiting}
	second := time.Second
	cases := []struct {
		name    string
		prepare func(v *pipeHarness)
		headers []string
		answer  string
		least   time.Duration
		most    time.Duration
		runs    string
	}{
		{"served", nil, nil, "200", 0, 0, "s0 7.1 10000"},
		{"owner appears", func(v *pipeHarness) {
			v.resolver.set(waiting)
			time.AfterFunc(second, func() { v.resolver.set(servedBy("s1", 2)) })
		}, nil, "200", second, second, "s1 7.2 9000"},
		{"no owner appears", func(v *pipeHarness) { v.resolver.set(waiting) }, nil, "503 no-owner no", 3 * second, 3 * second, ""},
		{"deadline comes first", func(v *pipeHarness) { v.resolver.set(waiting) },
			[]string{headerTimeout, "500"}, "503 deadline-unreachable no", second / 2, second / 2, ""},
		{"host is cut off", func(v *pipeHarness) { v.resolver.set(routing.Owner{Server: "s0", State: routing.StateStale}) },
			nil, "503 stale-host no", 3 * second, 3 * second, ""},
		{"no such assignment", func(v *pipeHarness) { v.resolver.set(routing.Owner{State: routing.StateUnknown}) }, nil, "503 no-owner no", 0, 0, ""},
		{"owner refuses and renews", func(v *pipeHarness) {
			v.setStatus("s0", "421 No")
			time.AfterFunc(second/10, func() { v.setStatus("s0", "") })
		}, nil, "200", second / 10, second / 2, "s0 7.1 9750"},
		{"owner refuses for good", func(v *pipeHarness) { v.setStatus("s0", "421 No") }, nil, "503 not-owner no", second, 4 * second, ""},
		{"owner is lost and replaced", func(v *pipeHarness) {
			v.setStatus("s0", "refused")
			time.AfterFunc(1900*time.Millisecond, func() { v.resolver.set(servedBy("s1", 2)) })
		}, nil, "200", 1900 * time.Millisecond, 1900 * time.Millisecond, "s1 7.2 8100"},
		{"key moves while the connection opens", func(v *pipeHarness) {
			v.dialTime = second / 5
			time.AfterFunc(second/10, func() { v.resolver.set(routing.Owner{State: routing.StateWaiting}) })
			time.AfterFunc(second, func() { v.resolver.set(servedBy("s1", 2)) })
		}, nil, "200", second, 6 * second / 5, "s1 7.2 9000"},
		{"token changes while the connection opens", func(v *pipeHarness) {
			v.dialTime = second / 5
			time.AfterFunc(second/10, func() { v.resolver.set(servedBy("s0", 2)) })
		}, nil, "200", second / 5, second, "s0 7.2 9800"},
		{"owner is lost for good", func(v *pipeHarness) { v.setStatus("s0", "refused") }, nil, "502 upstream-refused no", 3 * second, 3 * second, ""},
		{"lookup breaks, without budget", func(v *pipeHarness) {
			v.services["keyed"].Routes[0].Repeatable = true
			v.setStatus("s0", "broken")
		}, nil, "502 upstream-failed unknown", 3 * second, 3 * second, "s0 7.1 10000"},
		{"lookup breaks and moves, without budget", func(v *pipeHarness) {
			v.services["keyed"].Routes[0].Repeatable = true
			v.setStatus("s0", "broken")
			time.AfterFunc(second, func() { v.resolver.set(servedBy("s1", 2)) })
		}, nil, "502 upstream-failed unknown", second, second, "s0 7.1 10000"},
		{"lookup breaks and moves, with budget", func(v *pipeHarness) {
			v.services["keyed"].Routes[0].Repeatable = true
			v.setStatus("s0", "broken")
			time.AfterFunc(second, func() {
				for range 20 {
					v.services["keyed"].retryBudget.CountRequest(time.Now())
				}
				v.resolver.set(servedBy("s1", 2))
			})
		}, nil, "200", second, second, "s0 7.1 10000,s1 7.2 9000"},
		{"upstream is too slow", func(v *pipeHarness) { v.stall = true }, nil, "504 timeout unknown", 10 * second, 10 * second, "s0 7.1 10000"},
		{"longest deadline", func(v *pipeHarness) { v.stall = true }, []string{headerTimeout, "3600000"},
			"504 timeout unknown", 30 * second, 30 * second, "s0 7.1 30000"},
		{"malformed deadline", nil, []string{headerTimeout, "-1"}, "400 bad-request no", 0, 0, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newPipeHarness(t, Limits{})
				if c.prepare != nil {
					c.prepare(v)
				}
				response, spent := v.do(c.headers...)
				assert.Equal(t, response, c.answer)
				assert.Assert(t, c.least <= spent && spent <= c.most, "took %v", spent)
				assert.Equal(t, v.executed(), c.runs)
			})
		})
	}
}

// Guards against waiting requests that use unbounded memory, and against reserved
// memory that is not released.
func TestWaitingBufferIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newPipeHarness(t, Limits{MaxWaitingBytes: 2 * (waiterBytes + 1)})
		for range 2 {
			v.resolver.set(routing.Owner{State: routing.StateWaiting})
			responses := make(chan string, 2)
			for range 2 {
				go func() {
					response, _ := v.do()
					responses <- response
				}()
			}
			synctest.Wait()
			response, spent := v.do()
			assert.Equal(t, response, "503 overloaded no")
			assert.Equal(t, spent, time.Duration(0))
			v.resolver.set(servedBy("s1", 2))
			assert.Equal(t, <-responses+<-responses, "200200")
		}
	})
}

// pipeListener is a listener whose connections are pipes, for servers that run on
// a virtual clock.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) {
	if c, ok := <-p; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}
func (p pipeListener) Close() error   { close(p); return nil }
func (p pipeListener) Addr() net.Addr { return &net.UnixAddr{} }

// Guards against a long upload whose caller is treated as disconnected because
// the read deadline for stalls still applies after the upload's end.
func TestResponseAfterLongUpload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newPipeHarness(t, Limits{StallTimeout: time.Second, MaxReplayBodyBytes: 10})
		v.responseTime = 5 * time.Second
		listener := make(pipeListener)
		server := &http.Server{Handler: v}
		go func() { _ = server.Serve(listener) }()
		defer server.Close()
		near, far := net.Pipe()
		defer near.Close()
		listener <- far
		go func() {
			fmt.Fprintf(near, "POST /keyed/k HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n%s", strings.Repeat("x", 100))
		}()
		response, err := http.ReadResponse(bufio.NewReader(near), nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, 200)
	})
}
