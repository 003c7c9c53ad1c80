package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a server that is taken for leaving, or not, because the header that
// says so is malformed, doubled or huge.
func TestLeavingHeaderIsReadStrictly(t *testing.T) {
	names := headerNames
	names.Leaving = "X-Leaving"
	for value, want := range map[string]bool{
		"X-Leaving: 1\r\n": true, "X-Leaving: 1\r\nX-Leaving: 1\r\n": true, "X-Leaving: 0\r\nX-Leaving: 1\r\n": true,
		"": false, "X-Leaving: 0\r\n": false, "X-Leaving: true\r\n": false, "X-Leaving:\r\n": false, "X-Leaving: 11\r\n": false,
		"X-Leaving: " + strings.Repeat("1", 10_000) + "\r\n": false,
	} {
		p := servePool(t, func(c net.Conn, _ int, r *http.Request) {
			_, _ = io.WriteString(c, strings.Replace(okResponse("1", "whole"), "\r\n", "\r\n"+value, 1))
		})
		p.headers = &names
		result := p.Do(context.Background(), &Request{ID: "1", Method: "GET", Target: "/", Host: "a", Deadline: time.Now().Add(5 * time.Second)})
		assert.Equal(t, result.Outcome, Answered, "%.60q", value)
		assert.Equal(t, result.Leaving, want, "%.60q", value)
	}
}
