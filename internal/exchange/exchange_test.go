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

var names = Headers{RequestID: "X-Id", DeadlineMillis: "X-Deadline", Signature: "X-Signature", ExpectInstance: "X-Expect",
	Instance: "X-Instance", Load: "X-Load", NotExecuted: "X-Refused", KeyPosition: "X-Key"}

// serve answers each request on each connection with what answer writes.
func serve(t *testing.T, answer func(c net.Conn, n int, r *http.Request)) *Pool {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var group conc.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	group.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			group.Go(func() {
				defer c.Close()
				reader := bufio.NewReader(c)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					answer(c, n, r)
				}
			})
		}
	})
	pool := NewPool(listener.Addr().String(), &names, Dial, &conc.WaitGroup{}, nil)
	t.Cleanup(func() {
		_ = listener.Close()
		pool.Close()
		// A test that fails may leave connections behind.
		mu.Lock()
		for _, c := range open {
			_ = c.Close()
		}
		mu.Unlock()
		group.Wait()
	})
	return pool
}

func request(id string) *Request {
	return &Request{ID: id, Method: "GET", Target: "/a/b?c=%2F", Host: "h.example", Header: http.Header{"X-Id": {id}, "X-Other": {"kept"}},
		Deadline: time.Now().Add(time.Second), Instance: "server-1"}
}

func ok(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nX-Load: 1,0,2\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// The table is what each end of an exchange proves.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name   string
		answer func(c net.Conn, n int, r *http.Request)
		want   Outcome
		body   string
	}{
		{"answer", func(c net.Conn, _ int, _ *http.Request) { _, _ = io.WriteString(c, ok("1", "whole")) }, Answered, "whole"},
		{"late answer to another request before it", func(c net.Conn, _ int, _ *http.Request) {
			_, _ = io.WriteString(c, ok("0", "another's")+ok("1", "own"))
		}, Answered, "own"},
		{"body ends early", func(c net.Conn, _ int, _ *http.Request) {
			_, _ = io.WriteString(c, strings.Replace(ok("1", "whole"), "whole", "wh", 1))
			_ = c.Close()
		}, Broken, ""},
		{"unframed body that is reset", func(c net.Conn, _ int, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\n\r\nsome")
			time.Sleep(20 * time.Millisecond)
			reset(c)
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
		{"reset", func(c net.Conn, _ int, _ *http.Request) { reset(c) }, Broken, ""},
		{"refused", func(c net.Conn, _ int, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Busy\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n")
		}, Refused, ""},
		{"another server", func(c net.Conn, _ int, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
		}, Refused, ""},
		{"failure without the mark", func(c net.Conn, _ int, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 503 Failed\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n")
		}, Answered, ""},
		{"silence", func(net.Conn, int, *http.Request) {}, TimedOut, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			pool := serve(t, c.answer)
			r := request("1")
			r.Deadline = time.Now().Add(300 * time.Millisecond)
			result := pool.Do(context.Background(), r)
			assert.Equal(t, result.Outcome, c.want, "%v", result.Err)
			assert.Equal(t, string(result.Body), c.body)
		})
	}
}

// Guards against requests that change on their way.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	var got *http.Request
	pool := serve(t, func(c net.Conn, _ int, r *http.Request) {
		got = r
		_, _ = io.WriteString(c, ok("1", ""))
	})
	r := request("1")
	r.Method, r.Body, r.Length = "POST", []byte("body"), 4
	assert.Equal(t, pool.Do(context.Background(), r).Outcome, Answered)
	assert.Equal(t, got.Method+" "+got.RequestURI+" "+got.Host, "POST /a/b?c=%2F h.example")
	assert.Equal(t, got.Header.Get("X-Other")+got.Header.Get("X-Expect"), "keptserver-1")
	assert.Equal(t, got.ContentLength, int64(4))
	assert.Equal(t, got.Header.Get("User-Agent"), "")
}

// Guards against bytes after an answer that are taken for the next one.
func TestExtraAnswerEndsTheConnection(t *testing.T) {
	connections := 0
	pool := serve(t, func(c net.Conn, n int, r *http.Request) {
		if n == 0 {
			connections++
		}
		id := r.Header.Get("X-Id")
		_, _ = io.WriteString(c, ok(id, "first"))
		if id == "1" {
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(c, ok("1", "extra"))
		}
	})
	assert.Equal(t, string(pool.Do(context.Background(), request("1")).Body), "first")
	time.Sleep(60 * time.Millisecond)
	assert.Equal(t, string(pool.Do(context.Background(), request("2")).Body), "first")
	assert.Equal(t, connections, 2)
}

// Guards against connections that look broken because an old deadline passed.
func TestConnectionsAreReusedAfterADeadline(t *testing.T) {
	connections := 0
	pool := serve(t, func(c net.Conn, n int, r *http.Request) {
		if n == 0 {
			connections++
		}
		_, _ = io.WriteString(c, ok(r.Header.Get("X-Id"), "x"))
	})
	first := request("1")
	first.Deadline = time.Now().Add(50 * time.Millisecond)
	assert.Equal(t, pool.Do(context.Background(), first).Outcome, Answered)
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, pool.Do(context.Background(), request("2")).Outcome, Answered)
	assert.Equal(t, connections, 1)
}

// Guards against servers that go on working for a caller who has left.
func TestLeavingCallerClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	pool := serve(t, func(c net.Conn, _ int, _ *http.Request) {
		var b [1]byte
		_, _ = c.Read(b[:])
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(30*time.Millisecond, cancel)
	assert.Equal(t, pool.Do(ctx, request("1")).Outcome, Canceled)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the server still waits")
	}
}

// Guards against "not run" for a request that reached a server, and against the
// reverse.
func TestNothingListens(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	pool := NewPool(address, &names, Dial, &conc.WaitGroup{}, nil)
	assert.Equal(t, pool.Do(context.Background(), request("1")).Outcome, NotSent)
}
