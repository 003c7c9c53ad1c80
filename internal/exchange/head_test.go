package exchange

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"
)

// withField returns a signed response with a further line in its head.
func withField(line, id, body string) string {
	return strings.Replace(okResponse(id, body), "X-Load", line+"\r\nX-Load", 1)
}

// oddFields are lines that are no fields.
var oddFields = []string{"X Odd: 1", "X-Odd : 1", "Content-Length : 2", "Transfer-Encoding : chunked", "X\tOdd: 1", "X-Odd\t: 1", "X\x01Odd: 1", "X\x00Odd: 1", "X\x7fOdd: 1",
	"X\xc3\xa9: 1", "X(Odd): 1", ": 1", " : 1", "X-Odd", " X-Odd: 1", "\tX-Odd: 1", " ", "\rX-Odd: 1", "X-Odd: \x01", "X-Odd: a\rb"}

// Guards against a head with a line that is no field: it reached callers as an answer,
// with a body that was not the server's if the name was that of its length or encoding.
func TestInvalidFieldIsBroken(t *testing.T) {
	for _, line := range oddFields {
		odd := withField(line, "1", "own")
		for name, response := range map[string]string{
			"answer":                  odd,
			"refusal":                 strings.Replace(odd, "200 OK", "503 Busy\r\nX-Refused: 1", 1),
			"misdirected":             strings.Replace(odd, "200 OK", "421 Misdirected", 1),
			"interim response":        "HTTP/1.1 103 Early Hints\r\nX-More: 1\r\n" + line + "\r\n\r\n" + okResponse("1", "own"),
			"behind another response": okResponse("0", "another's") + odd,
			"long head":               strings.Replace(odd, "X-Id", "X-Long: "+strings.Repeat("x", 5000)+"\r\nX-Id", 1),
		} {
			t.Run(fmt.Sprintf("%s, %q", name, line), func(t *testing.T) {
				pool := servePool(t, func(c net.Conn, _ int, _ *http.Request) { _, _ = io.WriteString(c, response) })
				r := newRequest("1")
				r.Deadline = time.Now().Add(5 * time.Second)
				startedAt := time.Now()
				result := pool.Do(context.Background(), r)
				assert.Equal(t, result.Outcome, Broken, "%v", result.Err)
				assert.Assert(t, time.Since(startedAt) < 2*time.Second)
				assert.Equal(t, len(pool.idle), 0)
			})
		}
	}
}

// Guards against legal heads and bodies that count as invalid.
func TestBlanksElsewhereAreLegal(t *testing.T) {
	body := "\r\n body\r\nX Odd: 1\r\n\r\n more"
	for _, line := range []string{"X-Odd:1", "X-Odd:  1 2 ", "X-Odd: 1\t2", "X-Odd:", "x_odd!#$%&'*+-.^`|~9: a b"} {
		pool := servePool(t, func(c net.Conn, _ int, r *http.Request) {
			id := r.Header.Get("X-Id")
			_, _ = io.WriteString(c, withField(line, "0", body)+withField(line, id, body))
		})
		for _, id := range []string{"1", "2"} {
			result := pool.Do(context.Background(), newRequest(id))
			assert.Equal(t, result.Outcome, Answered, "%q: %v", line, result.Err)
			assert.Equal(t, string(result.Body), body)
		}
		assert.Equal(t, len(pool.idle), 1)
	}
}

// Guards against a continuation line that is missed because it arrives in parts, and a
// body that is taken for one.
func TestContinuationLinesInParts(t *testing.T) {
	for head, want := range map[string]bool{
		"HTTP/1.1 200 OK\r\nX-A: 1\r\n 2\r\n\r\n": true, "HTTP/1.1 200 OK\nX-A: 1\n\t2\n\n": true, "HTTP/1.1 200 OK\r\nX-A: 1\r\n\r\n 2\r\n": false, "HTTP/1.1 200 OK\nX-A: 1\n\n 2\n": false,
	} {
		for at := range len(head) {
			reader := headReader{source: iotest.OneByteReader(strings.NewReader(head[at:]))}
			reader.start([]byte(head[:at]))
			_, err := io.Copy(io.Discard, &reader)
			assert.NilError(t, err)
			assert.Equal(t, reader.scanner.Check(nil) != nil, want, "%q split at %d", head, at)
		}
	}
}
