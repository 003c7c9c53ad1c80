package host

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/network"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// Guards against a health response with an invalid head that is taken for one.
func TestOddHeadOfAHealthResponseIsNoResponse(t *testing.T) {
	for _, name := range []string{"X Odd", "X-Odd ", "X\x01Odd"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+name+": 1\r\nContent-Length: 13\r\n\r\n{\"running\":1}")
			_ = c.Close()
		}))
		defer server.Close()
		h := &Host{options: Options{Network: network.OS{}}}
		_, err := newHealthService(h).fetchHealth(context.Background(), topology.Server{Address: server.Listener.Addr().String()})
		assert.Assert(t, err != nil, "%q", name)
	}
}

// Guards against a health response without end, which was kept in memory until the time
// limit of the check.
func TestEndlessHealthResponseIsBounded(t *testing.T) {
	var written atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := io.WriteString(w, `{"running":"`)
		block := []byte(strings.Repeat("x", 64<<10))
		for deadline := time.Now().Add(5 * time.Second); err == nil && time.Now().Before(deadline); {
			var n int
			n, err = w.Write(block)
			written.Add(int64(n))
		}
	}))
	defer server.Close()
	s := &healthService{client: &http.Client{Timeout: healthTimeout}}
	_, err := s.fetchHealth(context.Background(), topology.Server{Address: server.Listener.Addr().String()})
	assert.Assert(t, err != nil)
	server.CloseClientConnections()
	const inBuffers = 16 << 20 // of the sockets
	assert.Assert(t, written.Load() < inBuffers, "%d bytes", written.Load())
}
