package connlimit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/network"
)

// A response of closedResponseBytes takes slow callers some 0.2 s.
const (
	closedResponseBytes = 200_000
	slowReadBytes       = 16 << 10
	slowReadPause       = 10 * time.Millisecond
	// unreadBytes fit into the buffers of the kernel.
	unreadBytes = 20_000
)

// newClosingServer returns the address of a server that closes each connection with the first
// response. It reads no bodies.
func newClosingServer(t *testing.T, limiter *Limiter) string {
	t.Helper()
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		w.Header().Set("Content-Length", fmt.Sprint(closedResponseBytes))
		time.Sleep(100 * time.Millisecond) // until the caller has sent what follows
		_, _ = io.WriteString(w, strings.Repeat("x", closedResponseBytes))
	}))
	assert.NilError(t, network.SetListenerBuffers(server.Listener, 32<<10, 32<<10))
	server.Config.ConnState = limiter.ConnState
	server.Listener = limiter.Listener(server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// dialSlowly opens a connection of a caller with a small receive buffer.
func dialSlowly(t *testing.T, address string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(slowReadBytes))
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return c.(*net.TCPConn)
}

// slowReader reads at the pace of a slow caller.
type slowReader struct{ io.Reader }

func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(slowReadPause)
	return r.Reader.Read(p[:min(len(p), slowReadBytes)])
}

// Guards against responses that are cut by a reset, because the connection is closed while
// further bytes of the caller lie unread (review/8).
func TestResponseIsWholeIfTheCallerHasSentMore(t *testing.T) {
	const next = "GET /next HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, sent := range map[string]struct{ request, behind string }{
		"pipelined request": {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", next},
		"part of a head":    {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET /nex"},
		"HTTP/1.0":          {"GET / HTTP/1.0\r\n\r\n", next},
		"unread body":       {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n", strings.Repeat("x", 300_000)},
		"expected body":     {"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 9\r\n\r\n", "unexpected"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			limiter := New(0, func(bool) {})
			c := dialSlowly(t, newClosingServer(t, limiter))
			_, err := io.WriteString(c, sent.request)
			assert.NilError(t, err)
			go func() {
				time.Sleep(20 * time.Millisecond) // until the server has read the request
				_, _ = io.WriteString(c, sent.behind)
			}()
			response, err := http.ReadResponse(bufio.NewReader(slowReader{c}), nil)
			assert.NilError(t, err)
			assert.Assert(t, response.Close)
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err, "%d bytes", len(body))
			assert.Equal(t, len(body), closedResponseBytes)
			assert.NilError(t, c.Close())
			for limiter.Count() > 0 {
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// Guards against lingering connections that stay for ever, that are in the way of new ones, or
// that a server's end leaves behind.
func TestLingeringConnectionsEnd(t *testing.T) {
	for name, c := range map[string]struct {
		end    func(l *Limiter, address string)
		within time.Duration
	}{
		"silent caller":        {func(*Limiter, string) {}, 5 * time.Second},
		"bound on connections": {func(_ *Limiter, address string) { dialSlowly(t, address) }, 500 * time.Millisecond},
		"end of the server":    {func(l *Limiter, _ string) { l.Close() }, 500 * time.Millisecond},
	} {
		limiter := New(1, func(bool) {})
		address := newClosingServer(t, limiter)
		caller := dialSlowly(t, address)
		_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		assert.NilError(t, err)
		_, err = io.CopyN(io.Discard, slowReader{caller}, closedResponseBytes-unreadBytes) // and reads no more
		assert.NilError(t, err)
		for limiter.lingeringCount() == 0 {
			time.Sleep(time.Millisecond)
		}
		began := time.Now()
		c.end(limiter, address)
		for limiter.lingeringCount() > 0 {
			assert.Assert(t, time.Since(began) < c.within, name)
			time.Sleep(time.Millisecond)
		}
	}
}

func (l *Limiter) lingeringCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.lingering)
}
