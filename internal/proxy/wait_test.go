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

// virtual is a handler on a virtual clock; its servers s0, s1, … are behind
// pipes.
type virtual struct {
	*Handler
	routes *routes
	begin  time.Time
	mu     sync.Mutex
	runs   []string // "server header-values" of the executed requests
	// answers replaces a server's answer, or with "refused" its connections.
	answers map[string]string
	stall   bool
	// answerTime is how long an answer takes.
	answerTime time.Duration
	// dialTime is how long a connection takes to open.
	dialTime time.Duration
}

func newVirtual(t *testing.T, limits Limits) *virtual {
	v := &virtual{routes: newRoutes(served("s0", 1)), begin: time.Now(), answers: map[string]string{}}
	servers := []topology.Server{{Name: "s0", Address: "s0:1"}, {Name: "s1", Address: "s1:1"}}
	v.Handler = New(Options{
		Services: []Service{{Name: "keyed", Keyed: true, Servers: servers, Routes: []Route{{Class: admission.ClassBooking}}}},
		Resolver: v.routes, Admitter: &admitter{servers: []topology.ServerName{"s0", "s1"}}, Limits: limits,
		Dial: func(_ context.Context, _, address string) (net.Conn, error) {
			name, _, _ := strings.Cut(address, ":")
			if v.answer(name) == "refused" {
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

func (v *virtual) answer(name string) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.answers[name]
}

func (v *virtual) setAnswer(name, answer string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.answers[name] = answer
}

func (v *virtual) serveConn(name string, conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body) // a pipe holds no unread body
		status := v.answer(name)
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
		time.Sleep(v.answerTime)
		fmt.Fprintf(conn, "HTTP/1.1 %s\r\nCassiasill-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", status, r.Header.Get("Cassiasill-Request-Id"))
	}
}

func (v *virtual) executed() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return strings.Join(v.runs, ",")
}

// do sends a booking and returns "status kind executed" with the time spent.
func (v *virtual) do(headers ...string) (string, time.Duration) {
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

// Guards against requests that wait for an owner too long or not at all, that
// are sent without one, or that are reported wrongly when the wait ends.
func TestWaitForOwner(t *testing.T) {
	waiting := routing.Owner{State: routing.StateWaiting}
	second := time.Second
	cases := []struct {
		name    string
		prepare func(v *virtual)
		headers []string
		answer  string
		least   time.Duration
		most    time.Duration
		runs    string
	}{
		{"served", nil, nil, "200", 0, 0, "s0 7.1 10000"},
		{"owner appears", func(v *virtual) {
			v.routes.set(waiting)
			time.AfterFunc(second, func() { v.routes.set(served("s1", 2)) })
		}, nil, "200", second, second, "s1 7.2 9000"},
		{"no owner appears", func(v *virtual) { v.routes.set(waiting) }, nil, "503 no-owner no", 3 * second, 3 * second, ""},
		{"deadline comes first", func(v *virtual) { v.routes.set(waiting) },
			[]string{headerTimeout, "500"}, "503 deadline-unreachable no", second / 2, second / 2, ""},
		{"host is cut off", func(v *virtual) { v.routes.set(routing.Owner{Server: "s0", State: routing.StateStale}) },
			nil, "503 stale-host no", 3 * second, 3 * second, ""},
		{"no such assignment", func(v *virtual) { v.routes.set(routing.Owner{State: routing.StateUnknown}) }, nil, "503 no-owner no", 0, 0, ""},
		{"owner refuses and renews", func(v *virtual) {
			v.setAnswer("s0", "421 No")
			time.AfterFunc(second/10, func() { v.setAnswer("s0", "") })
		}, nil, "200", second / 10, second / 2, "s0 7.1 9750"},
		{"owner refuses for good", func(v *virtual) { v.setAnswer("s0", "421 No") }, nil, "503 not-owner no", second, 4 * second, ""},
		{"owner is lost and replaced", func(v *virtual) {
			v.setAnswer("s0", "refused")
			time.AfterFunc(1900*time.Millisecond, func() { v.routes.set(served("s1", 2)) })
		}, nil, "200", 1900 * time.Millisecond, 1900 * time.Millisecond, "s1 7.2 8100"},
		{"key moves while the connection opens", func(v *virtual) {
			v.dialTime = second / 5
			time.AfterFunc(second/10, func() { v.routes.set(routing.Owner{State: routing.StateWaiting}) })
			time.AfterFunc(second, func() { v.routes.set(served("s1", 2)) })
		}, nil, "200", second, 6 * second / 5, "s1 7.2 9000"},
		{"token changes while the connection opens", func(v *virtual) {
			v.dialTime = second / 5
			time.AfterFunc(second/10, func() { v.routes.set(served("s0", 2)) })
		}, nil, "200", second / 5, second, "s0 7.2 9800"},
		{"owner is lost for good", func(v *virtual) { v.setAnswer("s0", "refused") }, nil, "502 upstream-refused no", 3 * second, 3 * second, ""},
		{"lookup breaks, without budget", func(v *virtual) {
			v.services["keyed"].Routes[0].Repeatable = true
			v.setAnswer("s0", "broken")
		}, nil, "502 upstream-failed unknown", 3 * second, 3 * second, "s0 7.1 10000"},
		{"lookup breaks and moves, without budget", func(v *virtual) {
			v.services["keyed"].Routes[0].Repeatable = true
			v.setAnswer("s0", "broken")
			time.AfterFunc(second, func() { v.routes.set(served("s1", 2)) })
		}, nil, "502 upstream-failed unknown", second, second, "s0 7.1 10000"},
		{"lookup breaks and moves, with budget", func(v *virtual) {
			v.services["keyed"].Routes[0].Repeatable = true
			v.setAnswer("s0", "broken")
			time.AfterFunc(second, func() {
				for range 20 {
					v.services["keyed"].budget.CountRequest(time.Now())
				}
				v.routes.set(served("s1", 2))
			})
		}, nil, "200", second, second, "s0 7.1 10000,s1 7.2 9000"},
		{"upstream is too slow", func(v *virtual) { v.stall = true }, nil, "504 timeout unknown", 10 * second, 10 * second, "s0 7.1 10000"},
		{"longest deadline", func(v *virtual) { v.stall = true }, []string{headerTimeout, "3600000"},
			"504 timeout unknown", 30 * second, 30 * second, "s0 7.1 30000"},
		{"malformed deadline", nil, []string{headerTimeout, "-1"}, "400 bad-request no", 0, 0, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newVirtual(t, Limits{})
				if c.prepare != nil {
					c.prepare(v)
				}
				answer, spent := v.do(c.headers...)
				assert.Equal(t, answer, c.answer)
				assert.Assert(t, c.least <= spent && spent <= c.most, "took %v", spent)
				assert.Equal(t, v.executed(), c.runs)
			})
		})
	}
}

// Guards against a waiting buffer that grows without bound, and against room
// that is not given back.
func TestWaitingBufferIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVirtual(t, Limits{WaitBytes: 2 * (waiterBytes + 1)})
		for range 2 {
			v.routes.set(routing.Owner{State: routing.StateWaiting})
			answers := make(chan string, 2)
			for range 2 {
				go func() {
					answer, _ := v.do()
					answers <- answer
				}()
			}
			synctest.Wait()
			answer, spent := v.do()
			assert.Equal(t, answer, "503 overloaded no")
			assert.Equal(t, spent, time.Duration(0))
			v.routes.set(served("s1", 2))
			assert.Equal(t, <-answers+<-answers, "200200")
		}
	})
}

// pipes is a listener whose connections are pipes, for servers on a virtual
// clock.
type pipes chan net.Conn

func (p pipes) Accept() (net.Conn, error) {
	if c, ok := <-p; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}
func (p pipes) Close() error   { close(p); return nil }
func (p pipes) Addr() net.Addr { return &net.UnixAddr{} }

// Guards against a long upload whose caller counts as gone because the bound
// on the upload's stalls goes on after its end.
func TestAnswerAfterLongUpload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVirtual(t, Limits{StallTime: time.Second, BodyBytes: 10})
		v.answerTime = 5 * time.Second
		listener := make(pipes)
		server := &http.Server{Handler: v}
		go func() { _ = server.Serve(listener) }()
		defer server.Close()
		near, far := net.Pipe()
		defer near.Close()
		listener <- far
		go func() {
			fmt.Fprintf(near, "POST /keyed/k HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n%s", strings.Repeat("x", 100))
		}()
		answer, err := http.ReadResponse(bufio.NewReader(near), nil)
		assert.NilError(t, err)
		assert.Equal(t, answer.StatusCode, 200)
	})
}
