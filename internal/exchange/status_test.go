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
	for _, status := range []string{"000", "0", "00", "20", "+200", "2000", "099", "101", "600", "999", "+20", "-00"} {
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

// Guards against a refusal whose body has no end, which held the caller until the
// deadline although the refusal's head proves that another server may have the request.
func TestRefusalWithoutEndIsARefusal(t *testing.T) {
	const head = "HTTP/1.1 503 Busy\r\nX-Id: 1\r\nX-Refused: 1\r\n"
	cases := []struct{ name, start, repeated string }{
		{"until the connection ends", head + "\r\n", "x"},
		{"in chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"},
		{"of a great length", head + "Content-Length: 1000000000000\r\n\r\n", "x"},
		{"silent", head + "Content-Length: 10\r\n\r\n", ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			pool := servePool(t, func(c net.Conn, _ int, _ *http.Request) {
				if tc.repeated == "" {
					_, _ = io.WriteString(c, tc.start)
					_, _ = c.Read(make([]byte, 1))
					return
				}
				writeForever(c, tc.start, tc.repeated)
			})
			r := newRequest("1")
			r.Deadline = time.Now().Add(5 * time.Second)
			startedAt := time.Now()
			result := pool.Do(context.Background(), r)
			assert.Equal(t, result.Outcome, Refused, "%v", result.Err)
			assert.Assert(t, time.Since(startedAt) < 2*time.Second)
			assert.Equal(t, len(pool.idle), 0)
		})
	}
}
