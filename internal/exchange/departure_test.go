package exchange

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

// maxEndDelay is for how long a server's connection may stay open after the request's
// context has ended.
const maxEndDelay = 500 * time.Millisecond

// Guards against a request that is written although its context has ended, and against
// a connection that is lost although nothing was written on it.
func TestRequestWithEndedContextIsNotWritten(t *testing.T) {
	requests := make(chan string, 10)
	conns := make(chan net.Conn, 10)
	p := servePool(t, func(c net.Conn, _ int, r *http.Request) {
		requests <- r.Header.Get("X-Id")
		conns <- c
		_, _ = io.WriteString(c, okResponse(r.Header.Get("X-Id"), "whole"))
	})
	do := func(ctx context.Context, id string) Result {
		return p.Do(ctx, &Request{ID: id, Method: "GET", Target: "/", Host: "a", Header: http.Header{"X-Id": {id}}, Deadline: time.Now().Add(5 * time.Second)})
	}
	assert.Equal(t, do(context.Background(), "first").Outcome, Answered)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	result := do(ended, "ended")
	assert.Equal(t, result.Outcome, Canceled)
	assert.Assert(t, !result.Sent)
	departing, leave := context.WithCancel(context.Background())
	result = p.Do(departing, &Request{ID: "left", Method: "GET", Target: "/", Host: "a", Deadline: time.Now().Add(5 * time.Second),
		BeforeSend: func() error { leave(); return context.Canceled }})
	assert.Equal(t, result.Outcome, Canceled)
	assert.Equal(t, do(context.Background(), "last").Outcome, Answered)
	assert.Equal(t, <-requests+" "+<-requests, "first last")
	assert.Equal(t, <-conns, <-conns, "the idle connection was closed")
}

// Guards against a server that is kept at a large response nobody waits for, because it
// has sent a part of it and then nothing.
func TestStreamedResponseEndsWithItsContext(t *testing.T) {
	ended := make(chan struct{})
	p := servePool(t, func(c net.Conn, _ int, r *http.Request) {
		head, _, _ := strings.Cut(okResponse("1", ""), "Content-Length")
		_, _ = io.WriteString(c, head+"Content-Length: 9000000\r\n\r\n"+strings.Repeat("x", 1000))
		_, _ = c.Read(make([]byte, 1))
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	result := p.Do(ctx, &Request{ID: "1", Method: "GET", Target: "/", Host: "a", Deadline: time.Now().Add(20 * time.Second)})
	assert.Equal(t, result.Outcome, Answered)
	assert.Assert(t, result.RemainingBody != nil)
	cancel()
	select {
	case <-ended:
	case <-time.After(maxEndDelay):
		t.Error("the server's connection is still open")
	}
	assert.NilError(t, result.RemainingBody.Close())
}

// Guards against a server that waits for the rest of a body that breaks off, and against
// taking this for a failure of the server.
func TestBodyThatBreaksOffEndsTheExchange(t *testing.T) {
	for name, length := range map[string]int64{"with a length": 2_000_000, "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer listener.Close()
			ended := make(chan struct{})
			go func() {
				if c, err := listener.Accept(); err == nil {
					_, _ = io.Copy(io.Discard, c)
					close(ended)
				}
			}()
			p := NewPool(listener.Addr().String(), &headerNames, Dial, &conc.WaitGroup{}, nil)
			body := io.MultiReader(strings.NewReader("half"), errorReader{})
			started := time.Now()
			result := p.Do(context.Background(), &Request{ID: "1", Method: "POST", Target: "/", Host: "a", Body: []byte("first "), RemainingBody: body,
				ContentLength: length, Deadline: time.Now().Add(3 * time.Second)})
			assert.Equal(t, result.Outcome, Canceled)
			assert.Assert(t, time.Since(started) < maxEndDelay)
			select {
			case <-ended:
			case <-time.After(maxEndDelay):
				t.Error("the server's connection is still open")
			}
		})
	}
}

// errorReader fails as the body of a caller that has left.
type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, errors.New("the caller left") }
