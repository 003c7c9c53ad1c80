package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

var headerNames = HeaderNames{RequestID: "X-Id", DeadlineMillis: "X-Deadline", Signature: "X-Signature", ExpectInstance: "X-Expect",
	Instance: "X-Instance", Load: "X-Load", NotExecuted: "X-Refused", KeyPosition: "X-Key", RateLimit: "X-Limit"}

// servePool starts a server that calls respond for request n of each connection,
// and returns a pool for it.
func servePool(t *testing.T, respond func(c net.Conn, n int, r *http.Request)) *Pool {
	t.Helper()
	return serveConns(t, Dial, func(c net.Conn) {
		reader := bufio.NewReader(c)
		for n := 0; ; n++ {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			respond(c, n, r)
		}
	})
}

// serveConns starts a server that calls serve for each connection, and returns a pool for
// it that opens connections with dial.
func serveConns(t *testing.T, dial DialFunc, serve func(net.Conn)) *Pool {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var group, background conc.WaitGroup
	var mu sync.Mutex
	var accepted []net.Conn
	group.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			accepted = append(accepted, c)
			mu.Unlock()
			group.Go(func() {
				defer c.Close()
				serve(c)
			})
		}
	})
	pool := NewPool(listener.Addr().String(), &headerNames, dial, &background, nil)
	t.Cleanup(func() {
		_ = listener.Close()
		pool.Close()
		// A failed test may leave connections open.
		mu.Lock()
		for _, c := range accepted {
			_ = c.Close()
		}
		mu.Unlock()
		group.Wait()
		background.Wait()
	})
	return pool
}

func newRequest(id string) *Request {
	return &Request{ID: id, Method: "GET", Target: "/a/b?c=%2F", Host: "h.example", Header: http.Header{"X-Id": {id}, "X-Other": {"kept"}},
		Deadline: time.Now().Add(time.Second), ExpectedInstance: "server-1"}
}

// okResponse returns a signed response to the request with the given ID.
func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nX-Load: 1,0,2\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// resetConnection closes the connection with a TCP reset.
func resetConnection(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// The cases state how each end of an exchange is classified.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name    string
		respond func(c net.Conn, n int, r *http.Request)
		want    Outcome
		body    string
	}{
		{"answer", func(c net.Conn, _ int, _ *http.Request) { _, _ = io.WriteString(c, okResponse("1", "whole")) }, Answered, "whole"},
		{"late response to another request before it", func(c net.Conn, _ int, _ *http.Request) {
			_, _ = io.WriteString(c, okResponse("0", "another's")+okResponse("1", "own"))
		}, Answered, "own"},
		{"body ends early", func(c net.Conn, _ int, _ *http.Request) {
			_, _ = io.WriteString(c, strings.Replace(okResponse("1", "whole"), "whole", "wh", 1))
			_ = c.Close()
		}, Broken, ""},
		{"unframed body that is reset", func(c net.Conn, _ int, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\n\r\nsome")
			time.Sleep(20 * time.Millisecond)
			resetConnection(c)
		}, Broken, ""},
		{"unframed body", func(c net.Conn, _ int, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\n\r\nsome")
			_ = c.Close()
		}, Answered, "some"},
		{"no signature", func(c net.Conn, _ int, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n")
		}, Broken, ""},
		{"encoded", func(c net.Conn, _ int, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\nContent-Encoding: gzip\r\nContent-Length: 0\r\n\r\n")
		}, Broken, ""},
		{"not HTTP", func(c net.Conn, _ int, _ *http.Request) { _, _ = io.WriteString(c, "garbage\r\n\r\n") }, Broken, ""},
		{"reset", func(c net.Conn, _ int, _ *http.Request) { resetConnection(c) }, Broken, ""},
		{"refused", func(c net.Conn, _ int, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n")
		}, Refused, ""},
		{"another server", func(c net.Conn, _ int, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
		}, Refused, ""},
		{"failure without the not-executed header", func(c net.Conn, _ int, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Failed\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n")
		}, Answered, ""},
		{"silence", func(net.Conn, int, *http.Request) {}, TimedOut, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			pool := servePool(t, c.respond)
			r := newRequest("1")
			r.Deadline = time.Now().Add(300 * time.Millisecond)
			result := pool.Do(context.Background(), r)
			assert.Equal(t, result.Outcome, c.want, "%v", result.Err)
			assert.Equal(t, string(result.Body), c.body)
		})
	}
}

// Guards against requests that the pool changes.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	var got *http.Request
	pool := servePool(t, func(c net.Conn, _ int, r *http.Request) {
		got = r
		_, _ = io.WriteString(c, okResponse("1", ""))
	})
	r := newRequest("1")
	r.Method, r.Body, r.ContentLength = "POST", []byte("body"), 4
	assert.Equal(t, pool.Do(context.Background(), r).Outcome, Answered)
	assert.Equal(t, got.Method+" "+got.RequestURI+" "+got.Host, "POST /a/b?c=%2F h.example")
	assert.Equal(t, got.Header.Get("X-Other")+got.Header.Get("X-Expect"), "keptserver-1")
	assert.Equal(t, got.ContentLength, int64(4))
	assert.Equal(t, got.Header.Get("User-Agent"), "")
}

// Guards against bytes after a response that are taken for the next response.
func TestExtraResponseClosesTheConnection(t *testing.T) {
	connections := 0
	pool := servePool(t, func(c net.Conn, n int, r *http.Request) {
		if n == 0 {
			connections++
		}
		id := r.Header.Get("X-Id")
		_, _ = io.WriteString(c, okResponse(id, "first"))
		if id == "1" {
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(c, okResponse("1", "extra"))
		}
	})
	assert.Equal(t, string(pool.Do(context.Background(), newRequest("1")).Body), "first")
	time.Sleep(60 * time.Millisecond)
	assert.Equal(t, string(pool.Do(context.Background(), newRequest("2")).Body), "first")
	assert.Equal(t, connections, 2)
}

// Guards against connections that look broken because the deadline of an earlier
// request has passed.
func TestConnectionsAreReusedAfterADeadline(t *testing.T) {
	connections := 0
	pool := servePool(t, func(c net.Conn, n int, r *http.Request) {
		if n == 0 {
			connections++
		}
		_, _ = io.WriteString(c, okResponse(r.Header.Get("X-Id"), "x"))
	})
	first := newRequest("1")
	first.Deadline = time.Now().Add(50 * time.Millisecond)
	assert.Equal(t, pool.Do(context.Background(), first).Outcome, Answered)
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, pool.Do(context.Background(), newRequest("2")).Outcome, Answered)
	assert.Equal(t, connections, 1)
}

// Guards against servers that keep working for a caller that has left.
func TestCanceledRequestClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	pool := servePool(t, func(c net.Conn, _ int, _ *http.Request) {
		var b [1]byte
		_, _ = c.Read(b[:])
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	assert.Equal(t, pool.Do(ctx, newRequest("1")).Outcome, Canceled)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the server still waits")
	}
}

// Guards against an outcome other than NotSent if nothing listens at the address.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	pool := NewPool(address, &headerNames, Dial, &conc.WaitGroup{}, nil)
	assert.Equal(t, pool.Do(context.Background(), newRequest("1")).Outcome, NotSent)
}
