package exchange

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// writeForever writes until the peer closes the connection, for at most 5 s.
func writeForever(c net.Conn, start, repeated string) {
	_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
	_, err := io.WriteString(c, start)
	// A string would be copied at each write, and the test's garbage would count
	// as the host's memory.
	block := []byte(strings.Repeat(repeated, max(1, 16<<10/len(repeated))))
	for err == nil {
		_, err = c.Write(block)
	}
}

// Guards against servers that send bytes without end: each case must reach a byte
// limit long before the deadline and fail.
func TestEndlessResponsePartsAreBounded(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	cases := []struct{ name, start, repeated string }{
		{"status line", "HTTP/1.1 200 ", "O"},
		{"one header line", "HTTP/1.1 200 OK\r\nX-Id: ", "1"},
		{"many header fields", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n", "X-More: 1\r\n"},
		{"informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"responses to another request", "", strings.Replace(okResponse("0", "x"), "\r\n\r\n", "\r\n\r\n", 1)},
		{"body of a response to another request", "HTTP/1.1 200 OK\r\nX-Id: 0\r\nX-Signature: s\r\n\r\n", "x"},
		{"chunk extension", chunked + "1;", "a=b;"},
		{"trailer", chunked + "1\r\na\r\n0\r\n", "X-More: 1\r\n"},
		{"no HTTP at all", "", "\r\n\x00garbage"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			pool := servePool(t, func(c net.Conn, _ int, _ *http.Request) { writeForever(c, tc.start, tc.repeated) })
			r := newRequest("1")
			r.Deadline = time.Now().Add(20 * time.Second)
			started := time.Now()
			result := pool.Do(context.Background(), r)
			assert.Equal(t, result.Outcome, Broken, "%v", result.Err)
			assert.Assert(t, time.Since(started) < 10*time.Second)
			assert.Equal(t, len(pool.idle), 0)
		})
	}
}

// Guards against bodies without end. A large response is streamed to the caller,
// so it can't be rejected; it must fail at the deadline and use no more memory
// than any other.
func TestEndlessBodyIsNotBuffered(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\n"
	for name, start := range map[string]string{"until the connection ends": head + "\r\n", "in chunks": head + "Transfer-Encoding: chunked\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			pool := servePool(t, func(c net.Conn, _ int, _ *http.Request) {
				writeForever(c, start, "1000\r\n"+strings.Repeat("x", 4096)+"\r\n")
			})
			r := newRequest("1")
			r.Deadline = time.Now().Add(2 * time.Second)
			result := pool.Do(context.Background(), r)
			assert.Equal(t, result.Outcome, Answered)
			assert.Assert(t, result.RemainingBody != nil)
			var before, after runtime.MemStats
			// Collect garbage first, so that only memory still in use counts.
			runtime.GC()
			runtime.ReadMemStats(&before)
			_, err := io.Copy(io.Discard, result.RemainingBody)
			assert.Assert(t, err != nil)
			runtime.GC()
			runtime.ReadMemStats(&after)
			heapGrowth := int64(after.HeapAlloc) - int64(before.HeapAlloc)
			assert.Assert(t, heapGrowth < 4<<20, "the heap grew by %d bytes until %v", heapGrowth, err)
			assert.NilError(t, result.RemainingBody.Close())
		})
	}
}

// Guards against a late duplicate of a response on a reused connection: whatever
// it contains, it must not be taken for the response to the next request.
func TestDuplicateResponseOnReusedConnection(t *testing.T) {
	refusal := func(id string) string {
		return "HTTP/1.1 503 Busy\r\nX-Refused: 1\r\n" + id + "Content-Length: 0\r\n\r\n"
	}
	cases := []struct {
		name, duplicate string
		want            Outcome
	}{
		{"a success", okResponse("first", "another's"), Answered},
		{"a refusal with the first request's id", refusal("X-Id: first\r\n"), Answered},
		{"a refusal without an id", refusal(""), Broken},
		{"a failure without an id", "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n", Broken},
		{"a success without an id", strings.Replace(okResponse("first", "x"), "X-Id: first\r\n", "", 1), Broken},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			pool := servePool(t, func(c net.Conn, n int, r *http.Request) {
				if n == 0 {
					_, _ = io.WriteString(c, okResponse("first", "x"))
					return
				}
				_, _ = io.WriteString(c, tc.duplicate+okResponse(r.Header.Get("X-Id"), "own"))
			})
			assert.Equal(t, pool.Do(context.Background(), newRequest("first")).Outcome, Answered)
			result := pool.Do(context.Background(), newRequest("second"))
			assert.Equal(t, result.Outcome, tc.want, "%v", result.Err)
			if tc.want == Answered {
				assert.Equal(t, string(result.Body), "own")
			}
		})
	}
}

// Guards against a late duplicate of a refusal that is taken for the response to
// the next attempt of the same request, which the server executes.
func TestRetryAvoidsConnectionThatRefusedTheRequest(t *testing.T) {
	const refusal = "HTTP/1.1 421 Misdirected\r\nX-Id: 1\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n"
	pool := servePool(t, func(c net.Conn, n int, _ *http.Request) {
		if n == 0 {
			_, _ = io.WriteString(c, refusal)
			return
		}
		// Only a connection that carried the first attempt gets here.
		_, _ = io.WriteString(c, refusal)
	})
	first := pool.Do(context.Background(), newRequest("1"))
	assert.Equal(t, first.Outcome, Refused)
	assert.Equal(t, len(pool.idle), 1)
	firstConn := pool.idle[0]
	pool.Do(context.Background(), newRequest("1"))
	assert.Assert(t, len(pool.idle) == 0 || pool.idle[0] != firstConn)
}
