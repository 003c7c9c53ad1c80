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

// forever writes until the peer closes, or for much longer than it should take.
func forever(c net.Conn, start, repeated string) {
	_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
	_, err := io.WriteString(c, start)
	// Written as bytes: a string would be copied at each write, and the garbage
	// of the test counted as the host's memory.
	block := []byte(strings.Repeat(repeated, max(1, 16<<10/len(repeated))))
	for err == nil {
		_, err = c.Write(block)
	}
}

// Guards against servers that send bytes without end: each shape must end at a
// bound of bytes, long before the deadline, and never as a success.
func TestBytesWithoutEnd(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	cases := []struct{ name, start, repeated string }{
		{"status line", "HTTP/1.1 200 ", "O"},
		{"one header line", "HTTP/1.1 200 OK\r\nX-Id: ", "1"},
		{"many header fields", "HTTP/1.1 200 OK\r\nX-Id: 1\r\n", "X-More: 1\r\n"},
		{"answers before the answer", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"answers to another request", "", strings.Replace(ok("0", "x"), "\r\n\r\n", "\r\n\r\n", 1)},
		{"body of an answer to another request", "HTTP/1.1 200 OK\r\nX-Id: 0\r\nX-Signature: s\r\n\r\n", "x"},
		{"chunk extension", chunked + "1;", "a=b;"},
		{"trailer", chunked + "1\r\na\r\n0\r\n", "X-More: 1\r\n"},
		{"no answer at all", "", "\r\n\x00garbage"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			pool := serve(t, func(c net.Conn, _ int, _ *http.Request) { forever(c, tc.start, tc.repeated) })
			r := request("1")
			r.Deadline = time.Now().Add(20 * time.Second)
			began := time.Now()
			result := pool.Do(context.Background(), r)
			assert.Equal(t, result.Outcome, Broken, "%v", result.Err)
			assert.Assert(t, time.Since(began) < 10*time.Second)
			assert.Equal(t, len(pool.idle), 0)
		})
	}
}

// Guards against bodies without end. A large answer is passed on while it is
// read, so it can't be refused; it ends at the deadline and as a failure, and
// holds no more memory than any other.
func TestBodyWithoutEndIsNotHeld(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\n"
	for name, start := range map[string]string{"until the connection ends": head + "\r\n", "in chunks": head + "Transfer-Encoding: chunked\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			pool := serve(t, func(c net.Conn, _ int, _ *http.Request) {
				forever(c, start, "1000\r\n"+strings.Repeat("x", 4096)+"\r\n")
			})
			r := request("1")
			r.Deadline = time.Now().Add(2 * time.Second)
			result := pool.Do(context.Background(), r)
			assert.Equal(t, result.Outcome, Answered)
			assert.Assert(t, result.Rest != nil)
			var before, after runtime.MemStats
			// Only what is still held counts, not what a collection would free.
			runtime.GC()
			runtime.ReadMemStats(&before)
			_, err := io.Copy(io.Discard, result.Rest)
			assert.Assert(t, err != nil)
			runtime.GC()
			runtime.ReadMemStats(&after)
			held := int64(after.HeapAlloc) - int64(before.HeapAlloc)
			assert.Assert(t, held < 4<<20, "%d bytes more are held after %v", held, err)
			assert.NilError(t, result.Rest.Close())
		})
	}
}

// Guards against a second copy of an answer, late, on a connection in use again:
// the next request must not take it for its own, whatever it bears.
func TestSecondCopyOfAnAnswer(t *testing.T) {
	refusal := func(id string) string {
		return "HTTP/1.1 503 Busy\r\nX-Refused: 1\r\n" + id + "Content-Length: 0\r\n\r\n"
	}
	cases := []struct {
		name, copy string
		want       Outcome
	}{
		{"a success", ok("first", "another's"), Answered},
		{"a refusal with the first one's id", refusal("X-Id: first\r\n"), Answered},
		{"a refusal without an id", refusal(""), Broken},
		{"a failure without an id", "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n", Broken},
		{"a success without an id", strings.Replace(ok("first", "x"), "X-Id: first\r\n", "", 1), Broken},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			pool := serve(t, func(c net.Conn, n int, r *http.Request) {
				if n == 0 {
					_, _ = io.WriteString(c, ok("first", "x"))
					return
				}
				_, _ = io.WriteString(c, tc.copy+ok(r.Header.Get("X-Id"), "own"))
			})
			assert.Equal(t, pool.Do(context.Background(), request("first")).Outcome, Answered)
			result := pool.Do(context.Background(), request("second"))
			assert.Equal(t, result.Outcome, tc.want, "%v", result.Err)
			if tc.want == Answered {
				assert.Equal(t, string(result.Body), "own")
			}
		})
	}
}

// Guards against a late second copy of a refusal that answers a further try of
// the same request, which the server runs.
func TestSecondCopyOfARefusalOfTheSameRequest(t *testing.T) {
	const refusal = "HTTP/1.1 421 Misdirected\r\nX-Id: 1\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n"
	pool := serve(t, func(c net.Conn, n int, _ *http.Request) {
		if n == 0 {
			_, _ = io.WriteString(c, refusal)
			return
		}
		// Only a connection that has carried the first try gets here.
		_, _ = io.WriteString(c, refusal)
	})
	first := pool.Do(context.Background(), request("1"))
	assert.Equal(t, first.Outcome, Refused)
	assert.Equal(t, len(pool.idle), 1)
	used := pool.idle[0]
	pool.Do(context.Background(), request("1"))
	assert.Assert(t, len(pool.idle) == 0 || pool.idle[0] != used)
}
