package detour

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/exchange"
)

// Guards against a part of a body that a peer states to be whole because the server reset
// the connection while the peer was writing the request to it.
func TestResetDuringUploadPassesThePeer(t *testing.T) {
	peer := httptest.NewServer(NewServer(NewTracker(), exchange.Dial, func(string) bool { return true }, func() {}, zap.NewNop()))
	defer peer.Close()
	for _, reset := range []bool{true, false} {
		server := serveEarly(t, reset)
		dialer := dialerBy(strings.TrimPrefix(peer.URL, "http://"))
		var background conc.WaitGroup
		pool := exchange.NewPool(server, &testHeaders, dialer.Dial, &background, nil)
		for i := range 50 {
			result := pool.Do(context.Background(), &exchange.Request{ID: "1", Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"X-Id": {"1"}},
				RemainingBody: bytes.NewReader(make([]byte, 16<<20)), ContentLength: 16 << 20, Deadline: time.Now().Add(5 * time.Second), ExpectedInstance: "server-1"})
			if reset {
				assert.Equal(t, result.Outcome, exchange.Broken, "try %d: %d bytes", i, len(result.Body))
				continue
			}
			assert.Equal(t, result.Outcome, exchange.Answered, "try %d: %v", i, result.Err)
			assert.Equal(t, string(result.Body), wholeBody)
		}
		pool.Close()
		background.Wait()
		dialer.Wait()
	}
}

// serveEarly starts a server that answers without a length while the request is being
// written, and then resets the connection or ends it regularly. It returns its address.
func serveEarly(t *testing.T, reset bool) string {
	t.Helper()
	return serveConns(t, func(c *net.TCPConn) {
		_, _ = io.CopyN(io.Discard, c, 1<<20)
		_, _ = io.WriteString(c, unframedHead+wholeBody)
		if reset {
			_ = c.SetLinger(0)
			return
		}
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	})
}

// Guards against a response that is cut by a reset on the way from the peer, because the
// host's upload lies unread there when the server has answered and ended (as in review/8).
func TestResponseDuringAnUploadPassesThePeer(t *testing.T) {
	const bodyBytes = 200_000
	server := serveConns(t, func(c *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReaderSize(c, 16)); err != nil {
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, strings.Repeat("x", bodyBytes))
		_ = c.CloseWrite()
		time.Sleep(200 * time.Millisecond) // and reads on
		_, _ = io.Copy(io.Discard, c)
	})
	peer := startPeerProcess(t)
	dialer := dialerBy(peer.address)
	defer dialer.Wait()
	c, err := dialer.Dial(t.Context(), "tcp", server)
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	go func() {
		_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 10_000_000)
		for {
			if _, err := c.Write(make([]byte, 16<<10)); err != nil {
				return
			}
			time.Sleep(time.Millisecond)
		}
	}()
	time.Sleep(100 * time.Millisecond) // the host reads late
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err, "%d bytes", len(body))
	assert.Equal(t, len(body), bodyBytes)
}
