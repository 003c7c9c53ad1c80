package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/membudget"
	"github.com/cassiasill/cassiasill/internal/network"
)

// Guards against bodies at the peers' port that stall, are too large or exceed the budget.
func TestBoundBodies(t *testing.T) {
	budget, results := membudget.New(100_000, 0), make(chan error, 1)
	server := httptest.NewUnstartedServer(BoundBodies(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		results <- err
	}), budget, CallerLimits{MinProgressBytes: 512, BodyPeriod: 200 * time.Millisecond}, 150_000))
	server.Config.ConnContext = network.ContextWithConn
	server.Start()
	defer server.Close()
	for _, c := range []struct {
		size int
		want error
	}{{50_000, nil}, {120_000, membudget.ErrExhausted}, {0, errBodyStalled}} {
		if c.size > 0 {
			response, err := http.Post(server.URL, "", struct{ io.Reader }{bytes.NewReader(make([]byte, c.size))})
			if err == nil {
				assert.NilError(t, response.Body.Close())
			}
		} else {
			conn, err := new(net.Dialer).DialContext(context.Background(), "tcp", server.Listener.Addr().String())
			assert.NilError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n1")
			assert.NilError(t, err)
		}
		err := <-results
		assert.Assert(t, errors.Is(err, c.want), "%d bytes: %v", c.size, err)
		waitFor(t, func() bool { return budget.Usage().Used+budget.Usage().Surplus == 0 })
	}
}
