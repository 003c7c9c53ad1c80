package connlimit

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against connections without a request that displace those with one, and against a
// number of connections above the bound.
func TestLongestIdleConnectionIsClosed(t *testing.T) {
	refused := make(chan bool, 10)
	limiter := New(3, func(isNew bool) { refused <- isNew })
	proceed := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-proceed }))
	server.Config.ConnState = limiter.ConnState
	server.Listener = limiter.Listener(server.Listener)
	server.Start()
	defer server.Close()
	open := func() net.Conn {
		c, err := new(net.Dialer).DialContext(context.Background(), "tcp", server.Listener.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
		return c
	}
	isClosed := func(c net.Conn) bool {
		_, err := c.Read(make([]byte, 1))
		return err != nil
	}
	busy := open()
	_, err := io.WriteString(busy, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	for limiter.Count() != 1 || limiter.idleCount() != 0 {
		time.Sleep(time.Millisecond)
	}
	silent, later := open(), open()
	next := open()
	assert.Assert(t, isClosed(silent), "the connection that was idle for longest stays")
	for _, c := range []net.Conn{later, next} {
		_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		assert.NilError(t, err)
	}
	for limiter.idleCount() != 0 {
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, isClosed(open()), "a fourth request in progress")
	assert.Equal(t, <-refused, false)
	assert.Equal(t, <-refused, true)
	assert.Equal(t, limiter.Count(), 3)
	close(proceed)
	assert.Assert(t, !isClosed(busy))
}

func (l *Limiter) idleCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for c := l.first; c != nil; c = c.next {
		count++
	}
	return count
}

// failingListener reports a lack of descriptors first.
type failingListener struct {
	net.Listener
	failed bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a server that ends when the process has no descriptors left, and against
// connections above the bound.
func TestCountedListener(t *testing.T) {
	inner, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer inner.Close()
	refused := 0
	listener := Counted(&failingListener{Listener: inner}, 1, func() { refused++ })
	for range 2 {
		client, err := new(net.Dialer).DialContext(context.Background(), "tcp", inner.Addr().String())
		assert.NilError(t, err)
		accepted, err := listener.Accept()
		assert.NilError(t, err)
		extra, err := new(net.Dialer).DialContext(context.Background(), "tcp", inner.Addr().String())
		assert.NilError(t, err)
		time.AfterFunc(50*time.Millisecond, func() { _ = accepted.Close() })
		time.Sleep(10 * time.Millisecond)
		go func() { time.Sleep(100 * time.Millisecond); _ = inner.(*net.TCPListener).SetDeadline(time.Now()) }()
		_, err = listener.Accept()
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
		assert.NilError(t, inner.(*net.TCPListener).SetDeadline(time.Time{}))
		assert.NilError(t, errors.Join(client.Close(), extra.Close()))
	}
	assert.Equal(t, refused, 2)
}
