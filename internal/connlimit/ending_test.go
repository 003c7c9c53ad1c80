package connlimit

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// heldConn is a connection of a process that gets no processor time: its reads are held up
// before or after they take bytes from the socket.
type heldConn struct {
	*net.TCPConn
	proceed    <-chan struct{}
	beforeRead bool
}

func (c *heldConn) Read(p []byte) (int, error) {
	if c.beforeRead {
		<-c.proceed
		return c.TCPConn.Read(p)
	}
	n, err := c.TCPConn.Read(p)
	<-c.proceed
	return n, err
}

func (c *heldConn) SyscallConn() (syscall.RawConn, error) { return c.TCPConn.SyscallConn() }

type heldListener struct {
	net.Listener
	proceed    <-chan struct{}
	beforeRead bool
}

func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{c.(*net.TCPConn), l.proceed, l.beforeRead}, nil
}

// Guards against connections that are closed for want of a request although one has arrived,
// whether the server has read it or not.
func TestConnectionWithARequestIsNotEnded(t *testing.T) {
	ways := map[string]func(l *Limiter, address string){
		"idle timeout": func(l *Limiter, _ string) { l.EndIdle(0, time.Now()) },
		"shutdown": func(l *Limiter, _ string) {
			ctx, cancel := context.WithTimeout(t.Context(), 5*endPollInterval)
			defer cancel()
			_ = l.Drain(ctx, 0)
		},
		"bound on connections": func(_ *Limiter, address string) {
			next, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			t.Cleanup(func() { _ = next.Close() })
		},
	}
	for name, end := range ways {
		for _, beforeRead := range []bool{false, true} {
			limiter, proceed := New(1, func(bool) {}), make(chan struct{})
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			server.Config.ConnState = limiter.ConnState
			server.Listener = limiter.Listener(&heldListener{server.Listener, proceed, beforeRead})
			server.Start()
			t.Cleanup(server.Close)
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			assert.NilError(t, err)
			t.Cleanup(func() { _ = c.Close() })
			_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			assert.NilError(t, err)
			time.Sleep(50 * time.Millisecond) // until it has arrived
			end(limiter, server.Listener.Addr().String())
			time.Sleep(50 * time.Millisecond) // until the connection would be closed
			close(proceed)
			assert.NilError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err, "%s, held before the read: %t", name, beforeRead)
			assert.Equal(t, response.StatusCode, http.StatusOK)
		}
	}
}

// Guards against a connection that is never ended because a part of a head has arrived once.
func TestConnectionWithAPartOfAHeadEndsLater(t *testing.T) {
	limiter := New(0, func(bool) {})
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.Config.ConnState = limiter.ConnState
	server.Listener = limiter.Listener(server.Listener)
	server.Start()
	defer server.Close()
	c, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET / HT")
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond) // until it has arrived
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	assert.NilError(t, limiter.Drain(ctx, 100*time.Millisecond))
}
