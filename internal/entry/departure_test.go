package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/network"
	"github.com/cassiasill/cassiasill/internal/ratelimit"
)

// maxWorkAfterDeparture is for how long a server may work on after its caller has
// left.
const maxWorkAfterDeparture = 500 * time.Millisecond

// departureTimeout is the timeout of routes in tests in which callers leave. It is far
// above maxWorkAfterDeparture, so that the timeout does not end the work instead.
const departureTimeout = 20 * time.Second

// dialHost opens a caller's connection.
func dialHost(t *testing.T, p *testHost) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c.(*net.TCPConn)
}

// requestHead returns the head of a request without the empty line.
func requestHead(method, target, id string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a.example\r\nX-Id: %s\r\n", method, target, id)
}

// nextRequest is what a caller may already have sent of its next request.
var nextRequest = requestHead("GET", "/safe/next", "next") + "\r\n"

// departures are the ways in which callers leave.
var departures = map[string]func(t *testing.T, c *net.TCPConn){
	"close":      func(t *testing.T, c *net.TCPConn) { assert.NilError(t, c.Close()) },
	"half-close": func(t *testing.T, c *net.TCPConn) { assert.NilError(t, c.CloseWrite()) },
	"reset": func(t *testing.T, c *net.TCPConn) {
		assert.NilError(t, c.SetLinger(0))
		assert.NilError(t, c.Close())
	},
	"close behind a byte of a next request": func(t *testing.T, c *net.TCPConn) { writeAndClose(t, c, "G") },
	"close behind a next request":           func(t *testing.T, c *net.TCPConn) { writeAndClose(t, c, nextRequest) },
	"reset behind a next request": func(t *testing.T, c *net.TCPConn) {
		assert.NilError(t, c.SetLinger(0))
		_, err := io.WriteString(c, nextRequest)
		assert.NilError(t, err)
		time.Sleep(20 * time.Millisecond) // a reset discards what is not yet sent
		assert.NilError(t, c.Close())
	},
}

func writeAndClose(t *testing.T, c *net.TCPConn, text string) {
	_, err := io.WriteString(c, text)
	assert.NilError(t, err)
	assert.NilError(t, c.Close())
}

// workingServer works on each request until its connection ends.
type workingServer struct {
	began, ended chan string // IDs of requests
}

func newWorkingServer() *workingServer {
	return &workingServer{began: make(chan string, 100), ended: make(chan string, 100)}
}

func (s *workingServer) serve(_ http.ResponseWriter, r *http.Request) {
	s.began <- r.Header.Get("X-Id")
	if _, err := io.Copy(io.Discard, r.Body); err == nil {
		<-r.Context().Done()
	}
	s.ended <- r.Header.Get("X-Id")
}

// receive returns the next value, or "" if none arrives in time.
func receive(c <-chan string, within time.Duration) string {
	select {
	case v := <-c:
		return v
	case <-time.After(within):
		return ""
	}
}

// Guards against servers that work on for callers that have left, in whatever way, and
// against a retry of what they did.
func TestWorkEndsWhenItsCallerLeaves(t *testing.T) {
	for name, leave := range departures {
		for _, kind := range []string{"safe", "unsafe"} {
			for _, depth := range []int{-1, 16} {
				t.Run(fmt.Sprintf("%s, %s, depth %d", kind, name, depth), func(t *testing.T) {
					t.Parallel()
					server := newWorkingServer()
					p := newTestHostWith(t, testHostOptions{timeout: departureTimeout, pipelineDepth: depth}, server.serve, server.serve)
					c := dialHost(t, p)
					_, err := io.WriteString(c, requestHead("GET", "/"+kind+"/x", "id-1")+"\r\n")
					assert.NilError(t, err)
					assert.Equal(t, receive(server.began, 5*time.Second), "id-1")
					leave(t, c)
					began := []string{"id-1"}
					if id := receive(server.began, 50*time.Millisecond); id != "" {
						// A whole next request may be started while the caller is there.
						assert.Equal(t, id, "next", "sent again after the caller had left")
						assert.Assert(t, depth > 1 && strings.Contains(name, "behind a next request"))
						began = append(began, id)
					}
					var ended []string
					for range began {
						ended = append(ended, receive(server.ended, maxWorkAfterDeparture))
					}
					slices.Sort(ended)
					assert.DeepEqual(t, ended, began)
					assert.Equal(t, receive(server.began, 50*time.Millisecond), "", "sent again after the caller had left")
					assert.Equal(t, p.executions.Load(), int64(len(began)))
				})
			}
		}
	}
}

// Guards against servers that wait for the rest of a large body whose caller has left.
func TestWorkEndsWhenItsCallerLeavesWithinABody(t *testing.T) {
	for name, leave := range departures {
		if strings.Contains(name, "behind") {
			continue // the bytes would belong to the body
		}
		for _, length := range []string{"Content-Length: 2000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n80000\r\n"} {
			t.Run(name+", "+length[:7], func(t *testing.T) {
				t.Parallel()
				server := newWorkingServer()
				p := newTestHostWith(t, testHostOptions{timeout: departureTimeout, maxBodyBytes: 4 << 20}, server.serve)
				c := dialHost(t, p)
				_, err := io.WriteString(c, requestHead("POST", "/unsafe/x", "id-1")+length+strings.Repeat("x", 300_000))
				assert.NilError(t, err)
				assert.Equal(t, receive(server.began, 5*time.Second), "id-1")
				leave(t, c)
				assert.Equal(t, receive(server.ended, maxWorkAfterDeparture), "id-1")
			})
		}
	}
}

// Guards against a server that is kept at a large response whose caller has left.
func TestWorkEndsWhenItsCallerLeavesWithinAResponse(t *testing.T) {
	for name, leave := range departures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ended := make(chan string, 1)
			p := newTestHostWith(t, testHostOptions{timeout: departureTimeout}, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("X-Signature", "s")
				_, _ = io.WriteString(w, strings.Repeat("x", 1<<20))
				_ = http.NewResponseController(w).Flush()
				<-r.Context().Done() // the rest is not ready yet
				ended <- "ended"
			})
			c := dialHost(t, p)
			_, err := io.WriteString(c, requestHead("GET", "/safe/x", "id-1")+"\r\n")
			assert.NilError(t, err)
			_, err = io.ReadFull(c, make([]byte, 1000))
			assert.NilError(t, err)
			leave(t, c)
			assert.Equal(t, receive(ended, maxWorkAfterDeparture), "ended")
		})
	}
}

// Guards against requests that wait for a server and are sent to it although their
// callers have left meanwhile.
func TestWaitingRequestIsNotSentAfterItsCallerLeft(t *testing.T) {
	for name, leave := range departures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			free := make(chan struct{})
			p := newTestHostWith(t, testHostOptions{timeout: departureTimeout}, func(w http.ResponseWriter, r *http.Request) {
				<-free
				respondOK(w, r)
			})
			for i := range 2 { // take both slots
				_, err := io.WriteString(dialHost(t, p), requestHead("GET", "/safe/x", fmt.Sprint("first-", i))+"\r\n")
				assert.NilError(t, err)
			}
			waitFor(t, func() bool { return p.executions.Load() == 2 })
			c := dialHost(t, p)
			_, err := io.WriteString(c, requestHead("GET", "/safe/x", "id-1")+"\r\n")
			assert.NilError(t, err)
			time.Sleep(50 * time.Millisecond)
			leave(t, c)
			time.Sleep(50 * time.Millisecond)
			close(free)
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, p.executions.Load(), int64(2))
		})
	}
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the condition did not hold within 5 s")
}

// Guards against requests that are read from connections that ended in the accept
// queue, as at a host that was frozen or has just started.
func TestCallersThatLeftBeforeTheyWereAcceptedAreNotServed(t *testing.T) {
	for name, leave := range departures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newTestHost(t, respondOK)
			frontend := httptest.NewUnstartedServer(p.handler)
			frontend.Listener = p.handler.Listener(frontend.Listener)
			frontend.Config.ConnContext = network.ContextWithConn
			t.Cleanup(frontend.Close)
			p.url = frontend.Listener.Addr().String()
			for i := range 20 {
				c := dialHost(t, p)
				_, err := io.WriteString(c, requestHead("GET", "/safe/x", fmt.Sprint("id-", i))+"\r\n")
				assert.NilError(t, err)
				leave(t, c)
			}
			frontend.Start()
			time.Sleep(200 * time.Millisecond)
			assert.Equal(t, p.executions.Load(), int64(0))
		})
	}
}

// Guards against a server that is chosen at the moment at which the caller leaves and
// gets the request all the same.
func TestRequestWithEndedContextIsNotSent(t *testing.T) {
	p := newTestHost(t, respondOK)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 50 {
		r := httptest.NewRequest("GET", "/safe/x", nil).WithContext(ctx)
		r.Host = "a.example"
		func() {
			defer func() { assert.Equal(t, recover(), http.ErrAbortHandler) }()
			p.handler.ServeHTTP(httptest.NewRecorder(), r)
		}()
	}
	assert.Equal(t, p.executions.Load(), int64(0))
}

// Guards against a second attempt for a caller that left during the first.
func TestRequestIsNotRetriedAfterItsCallerLeft(t *testing.T) {
	for name, leave := range departures {
		for _, depth := range []int{-1, 16} {
			t.Run(fmt.Sprintf("%s, depth %d", name, depth), func(t *testing.T) {
				t.Parallel()
				left := make(chan struct{})
				var first, next atomic.Int64 // executions
				broken := func(w http.ResponseWriter, r *http.Request) {
					if r.Header.Get("X-Id") == "next" {
						next.Add(1)
					} else {
						first.Add(1)
					}
					<-left
					closeConnection(w, r)
				}
				p := newTestHostWith(t, testHostOptions{timeout: departureTimeout, pipelineDepth: depth}, broken, broken)
				c := dialHost(t, p)
				_, err := io.WriteString(c, requestHead("GET", "/safe/x", "id-1")+"\r\n")
				assert.NilError(t, err)
				waitFor(t, func() bool { return first.Load() == 1 })
				leave(t, c)
				time.Sleep(20 * time.Millisecond)
				close(left)
				time.Sleep(100 * time.Millisecond)
				assert.Equal(t, first.Load(), int64(1))
				// A whole next request may be started while the caller is there.
				assert.Assert(t, next.Load() == 0 || (next.Load() == 1 && depth > 1 && strings.Contains(name, "behind a next request")))
			})
		}
	}
}

// Guards against a log that does not tell where the request was, and against more
// than one line for a departure.
func TestDepartureIsLoggedOnceWithItsStage(t *testing.T) {
	server := newWorkingServer()
	p := newTestHostWith(t, testHostOptions{timeout: departureTimeout}, server.serve)
	callers := make([]*net.TCPConn, 3) // one more than the server has slots
	for i := range callers {
		callers[i] = dialHost(t, p)
		_, err := io.WriteString(callers[i], requestHead("GET", "/safe/x", fmt.Sprint("id-", i))+"\r\n")
		assert.NilError(t, err)
		if i < 2 {
			assert.Equal(t, receive(server.began, 5*time.Second), fmt.Sprint("id-", i))
		}
	}
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, callers[2].Close())
	checkDepartureLog(t, p, "id-2", stageWaiting)
	assert.NilError(t, callers[1].Close())
	checkDepartureLog(t, p, "id-1", stageSent)
}

// Guards against a request that counts as sent, and as one that may have run, although
// its caller left before there was a connection.
func TestDepartureWhileConnectingCountsAsUnsent(t *testing.T) {
	dialing := make(chan string, 1)
	options := testHostOptions{timeout: departureTimeout, dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		dialing <- "dialing"
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	p := newTestHostWith(t, options, respondOK)
	c := dialHost(t, p)
	_, err := io.WriteString(c, requestHead("GET", "/safe/x", "id-1")+"\r\n")
	assert.NilError(t, err)
	assert.Equal(t, receive(dialing, 5*time.Second), "dialing")
	p.handler.RateLimits.Observe(ratelimit.Server{ID: "s0", Service: "svc"}, ratelimit.Limited, 1000, 0)
	assert.NilError(t, c.Close())
	checkDepartureLog(t, p, "id-1", stageConnecting)
	statuses := p.handler.RateLimits.Statuses()
	assert.Equal(t, len(statuses), 1)
	assert.Equal(t, statuses[0].Sent, int64(0))
}

// checkDepartureLog checks that one line tells the stage of the request.
func checkDepartureLog(t *testing.T, p *testHost, id string, expected stage) {
	t.Helper()
	lines := func() int { return p.logs.FilterField(zap.String("request", id)).Len() }
	waitFor(t, func() bool { return lines() > 0 })
	time.Sleep(20 * time.Millisecond)
	assert.Equal(t, lines(), 1)
	line := p.logs.FilterMessage("entry: caller left").FilterField(zap.String("request", id)).All()[0]
	assert.Equal(t, line.ContextMap()["stage"], string(expected))
}
