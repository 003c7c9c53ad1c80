package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// serveUpload starts a server that hands over each connection once the head of a request
// has arrived. It returns a pool for it that opens connections with dial.
func serveUpload(t *testing.T, dial DialFunc, respond func(c *net.TCPConn)) *Pool {
	t.Helper()
	return serveConns(t, dial, func(c net.Conn) {
		// One byte at a time, so that all that follows the head stays unread.
		head, b := "", make([]byte, 1)
		for !strings.HasSuffix(head, "\r\n\r\n") {
			if _, err := c.Read(b); err != nil {
				return
			}
			head += string(b)
		}
		respond(c.(*net.TCPConn))
	})
}

// uploadBody is a body that comes in pieces and has no end of its own: the test ends
// it.
type uploadBody struct{ ended chan struct{} }

func (b uploadBody) Read(p []byte) (int, error) {
	select {
	case <-b.ended:
		return 0, io.EOF
	case <-time.After(time.Millisecond):
		return min(len(p), 16<<10), nil
	}
}

// upload sends a long body and returns the result with its complete body. The body ends
// after the result.
func upload(t *testing.T, pool *Pool) (Result, string, error) {
	t.Helper()
	body := uploadBody{make(chan struct{})}
	defer close(body.ended)
	r := newRequest("1")
	r.Method, r.RemainingBody, r.ContentLength, r.Deadline = http.MethodPost, body, 1<<40, time.Now().Add(5*time.Second)
	result := pool.Do(context.Background(), r)
	text := string(result.Body)
	if result.RemainingBody == nil {
		return result, text, result.Err
	}
	rest, err := io.ReadAll(result.RemainingBody)
	assert.NilError(t, result.RemainingBody.Close())
	return result, text + string(rest), err
}

// assertAnswered checks that an upload is answered with the body.
func assertAnswered(t *testing.T, pool *Pool, want string) {
	t.Helper()
	result, body, err := upload(t, pool)
	assert.NilError(t, err)
	assert.Equal(t, result.Outcome, Answered)
	assert.Equal(t, body, want)
}

// writerFirst is a connection whose reads wait until a write has failed, so that the
// kernel reports the end of the connection to the writer.
type writerFirst struct {
	net.Conn
	once   sync.Once
	failed chan struct{}
}

func dialWriterFirst(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &writerFirst{Conn: c, failed: make(chan struct{})}, nil
}

func (c *writerFirst) Read(p []byte) (int, error) {
	select {
	case <-c.failed:
	case <-time.After(4 * time.Second):
		return 0, errors.New("no write has failed")
	}
	return c.Conn.Read(p)
}

func (c *writerFirst) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.once.Do(func() { close(c.failed) })
	}
	return n, err
}

// unframedHeads are heads of responses whose bodies end with their connections.
var unframedHeads = map[string]string{
	"keep-alive": "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\n\r\n",
	"close":      "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\nConnection: close\r\n\r\n",
	"HTTP/1.0":   "HTTP/1.0 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\n\r\n",
	"a failure":  "HTTP/1.1 500 Failed\r\nX-Id: 1\r\nX-Signature: s\r\n\r\n",
}

// dialOrders are the orders in which a connection's writer and reader meet its end.
var dialOrders = map[string]DialFunc{"writer first": dialWriterFirst, "any order": Dial}

// Guards against a part of a body that looks complete because the server reset the
// connection while the request was being written: the kernel reports the reset to the
// writer, and a regular end to the reader.
func TestResetDuringUploadIsNotTheEndOfABody(t *testing.T) {
	sizes := map[string]int{"buffered": 5000, "streamed": 2 * DefaultMaxBufferedBytes}
	for name, head := range unframedHeads {
		for order, dial := range dialOrders {
			for size, bytes := range sizes {
				t.Run(fmt.Sprintf("%s, %s, %s", name, size, order), func(t *testing.T) {
					pool := serveUpload(t, dial, func(c *net.TCPConn) {
						_, _ = io.WriteString(c, head+strings.Repeat("x", bytes))
						resetConnection(c)
					})
					for range 20 {
						result, body, err := upload(t, pool)
						assert.Assert(t, err != nil, "%s with a body of %d bytes", result.Outcome, len(body))
						assert.Assert(t, result.Outcome == Broken || result.RemainingBody != nil, "%s: %v", result.Outcome, err)
					}
				})
			}
		}
	}
}

// Guards against a whole body that counts as broken because the server did not read the
// request to its end: it may close the connection regularly, and reset it then.
func TestRegularEndDuringUploadCompletesABody(t *testing.T) {
	want := strings.Repeat("x", 5000)
	for name, head := range unframedHeads {
		for order, dial := range dialOrders {
			t.Run(name+", "+order, func(t *testing.T) {
				pool := serveUpload(t, dial, func(c *net.TCPConn) {
					_, _ = io.WriteString(c, head+want)
					_ = c.CloseWrite()
					time.Sleep(20 * time.Millisecond)
					resetConnection(c)
				})
				for range 5 {
					assertAnswered(t, pool, want)
				}
			})
		}
	}
	t.Run("the server reads on", func(t *testing.T) {
		pool := serveUpload(t, Dial, func(c *net.TCPConn) {
			_, _ = io.WriteString(c, unframedHeads["close"]+want)
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		})
		assertAnswered(t, pool, want)
	})
	t.Run("the server reads nothing", func(t *testing.T) {
		pool := serveUpload(t, Dial, func(c *net.TCPConn) {
			time.Sleep(300 * time.Millisecond) // until the writer has to wait
			_, _ = io.WriteString(c, unframedHeads["close"]+want)
			_ = c.CloseWrite()
			time.Sleep(time.Second)
		})
		startedAt := time.Now()
		assertAnswered(t, pool, want)
		assert.Assert(t, time.Since(startedAt) < 900*time.Millisecond, "the body's end waited for the request's")
	})
}

// Guards against a response with a length that counts as broken because the server has
// not read the request to its end.
func TestResponseWithALengthBeforeTheEndOfTheUpload(t *testing.T) {
	pool := serveUpload(t, Dial, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, okResponse("1", "whole"))
		_, _ = io.Copy(io.Discard, c)
	})
	assertAnswered(t, pool, "whole")
}
