package exchange

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a truncated response that is taken for complete: each framing is
// cut at each of its bytes, by a close and by a reset.
func TestTruncatedResponseIsBroken(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\n"
	responses := map[string]string{
		"length":                head + "Content-Length: 5\r\n\r\nwhole",
		"chunks":                head + "Transfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3;a=b\r\nole\r\n0\r\n\r\n",
		"chunks with a trailer": head + "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n5\r\nwhole\r\n0\r\nX-T: 1\r\n\r\n",
	}
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			var cut, resets atomic.Int64
			pool := servePool(t, func(c net.Conn, _ int, _ *http.Request) {
				_, _ = io.WriteString(c, response[:cut.Load()])
				if resets.Load() == 1 {
					resetConnection(c)
					return
				}
				_ = c.Close()
			})
			for at := range len(response) {
				for by := range int64(2) {
					cut.Store(int64(at))
					resets.Store(by)
					result := pool.Do(context.Background(), newRequest("1"))
					assert.Equal(t, result.Outcome, Broken, fmt.Sprintf("cut at byte %d, reset %d", at, by))
				}
			}
			cut.Store(int64(len(response)))
			resets.Store(0)
			result := pool.Do(context.Background(), newRequest("1"))
			assert.Equal(t, result.Outcome, Answered, "%v", result.Err)
			assert.Equal(t, string(result.Body), "whole")
		})
	}
}
