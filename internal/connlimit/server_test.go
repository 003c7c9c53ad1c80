package connlimit

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a stop that waits for connections without a request, that does not wait for
// those with one, or that does not end in time.
func TestServerShutdown(t *testing.T) {
	for name, c := range map[string]struct {
		requests, served int
		within           time.Duration
	}{"idle": {0, 0, 5 * time.Second}, "in progress": {1, 1, 5 * time.Second}, "too long": {1, 0, 100 * time.Millisecond}} {
		proceed, began := make(chan struct{}), make(chan struct{}, 1)
		server := NewServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			began <- struct{}{}
			select {
			case <-proceed:
			case <-r.Context().Done():
			}
			w.Header().Set("Connection", "close")
		})}, 0, func(bool) {})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		ended := make(chan error, 1)
		go func() { ended <- server.Serve(listener, nil) }()
		caller, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = caller.Close() })
		if c.requests > 0 {
			_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			assert.NilError(t, err)
			<-began
		}
		ctx, cancel := context.WithTimeout(t.Context(), c.within)
		t.Cleanup(cancel)
		if c.served > 0 {
			time.AfterFunc(100*time.Millisecond, func() { close(proceed) })
		}
		err = server.Shutdown(ctx)
		assert.Equal(t, err == nil, c.served == c.requests, "%s: %v", name, err)
		assert.NilError(t, <-ended)
		assert.Equal(t, server.Conns().Count(), 0)
		assert.NilError(t, caller.SetReadDeadline(time.Now().Add(5*time.Second)))
		response, err := http.ReadResponse(bufio.NewReader(caller), nil)
		assert.Equal(t, err == nil && response.StatusCode == http.StatusOK, c.served > 0, "%s: %v", name, err)
		_, err = net.Dial("tcp", listener.Addr().String())
		assert.Assert(t, err != nil, "%s: the server still accepts", name)
	}
}

// slowListener takes its time to notice that it is closed.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		time.Sleep(50 * time.Millisecond)
	}
	return c, err
}

// Guards against a stop that fails because its listener is closed already: a process would end
// with exit status 1.
func TestShutdownWithoutConnectionsSucceeds(t *testing.T) {
	server := NewServer(&http.Server{}, 0, func(bool) {})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(slowListener{listener}, nil) }()
	time.Sleep(50 * time.Millisecond) // until it accepts
	assert.NilError(t, server.Shutdown(t.Context()))
	assert.NilError(t, <-ended)
}
