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

// Guards against a status that is none of HTTP: it reached callers as an answer, or held
// them until their deadlines because it was taken for an interim response.
func TestInvalidStatusIsBroken(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999", "+20", "-00"} {
		for _, body := range []string{"", "x"} {
			pool := servePool(t, func(c net.Conn, _ int, r *http.Request) {
				_, _ = io.WriteString(c, strings.Replace(okResponse(r.Header.Get("X-Id"), body), "200 OK", status+" Trouble", 1))
			})
			r := newRequest("1")
			r.Deadline = time.Now().Add(5 * time.Second)
			startedAt := time.Now()
			result := pool.Do(context.Background(), r)
			assert.Equal(t, result.Outcome, Broken, "%s: %v", status, result.Err)
			assert.Assert(t, time.Since(startedAt) < 2*time.Second, status)
			assert.Equal(t, len(pool.idle), 0)
		}
	}
}

// Guards against interim responses that are taken for an answer.
func TestInterimResponsesAreSkipped(t *testing.T) {
	pool := servePool(t, func(c net.Conn, _ int, r *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"+okResponse(r.Header.Get("X-Id"), "own"))
	})
	result := pool.Do(context.Background(), newRequest("1"))
	assert.Equal(t, result.Outcome, Answered, "%v", result.Err)
	assert.Equal(t, string(result.Body), "own")
}
