package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against requests that the handler and an upstream frame differently, so
// that part of one is parsed as another (request smuggling), and against
// forwarding requests that must be rejected before they reach an upstream.
func TestRequestFraming(t *testing.T) {
	hidden := "POST /free/hidden HTTP/1.1\nHost: x\nContent-Length: 0\n\n"
	cases := []struct {
		name, request string
		status        int
		kind          string
		seen          string // "method uri length|encodings body" of each executed request
	}{
		{"two lengths", "POST /free/a HTTP/1.1\nHost: x\nContent-Length: 3\nContent-Length: 4\n\nabcd", 400, "", ""},
		{"one length twice", "POST /free/a HTTP/1.1\nHost: x\nContent-Length: 3\nContent-Length: 3\n\nabc", 200, "", "POST /free/a 3[] abc"},
		{"length list", "POST /free/a HTTP/1.1\nHost: x\nContent-Length: 3, 3\n\nabc", 400, "", ""},
		{"length and chunks", "POST /free/a HTTP/1.1\nHost: x\nContent-Length: 4\nTransfer-Encoding: chunked\n\n3\nabc\n0\n\n", 200, "", "POST /free/a 3[] abc"},
		{"chunks and hidden request", "POST /free/a HTTP/1.1\nHost: x\nContent-Length: 9999\nTransfer-Encoding: chunked\n\n0\n\n" + hidden, 200, "",
			"POST /free/a 0[] ;POST /free/hidden 0[] "},
		{"unknown encoding", "POST /free/a HTTP/1.1\nHost: x\nTransfer-Encoding: gzip, chunked\n\n0\n\n", 501, "", ""},
		{"space before colon", "POST /free/a HTTP/1.1\nHost: x\nContent-Length : 3\n\nabc", 400, "", ""},
		{"body cut off", "POST /free/a HTTP/1.1\nHost: x\nContent-Length: 30\n\nabc", 400, "bad-request", ""},
		{"dot segments", "GET /free/a/../b HTTP/1.1\nHost: x\n\n", 400, "bad-request", ""},
		{"escaped dot segments", "GET /keyed/%2e%2e/b HTTP/1.1\nHost: x\n\n", 400, "bad-request", ""},
		{"no key", "GET /keyed/ HTTP/1.1\nHost: x\n\n", 400, "bad-request", ""},
		{"no service", "GET /none/a HTTP/1.1\nHost: x\n\n", 404, "not-found", ""},
		{"tunnel", "CONNECT x:80 HTTP/1.1\nHost: x:80\n\n", 405, "method-not-allowed", ""},
		{"other method", "PURGE /free/a//b/ HTTP/1.1\nHost: x\n\n", 200, "", "PURGE /free/a//b/ 0[] "},
		{"many headers", "GET /free/a HTTP/1.1\nHost: x\n" + strings.Repeat("A: b\n", 101) + "\n", 413, "too-large", ""},
		{"long header", "GET /free/a HTTP/1.1\nHost: x\nA: " + strings.Repeat("b", 33<<10) + "\n\n", 413, "too-large", ""},
		{"long body", "POST /free/a HTTP/1.1\nHost: x\nContent-Length: 99999999999\n\n", 413, "too-large", ""},
		{"upgrade", "GET /free/a HTTP/1.1\nHost: x\nConnection: upgrade\nUpgrade: websocket\n\n", 200, "", "GET /free/a 0[] "},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			up := newFakeUpstream(t, ok("done"))
			h := newHarness(t, nil, up)
			conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
			assert.NilError(t, err)
			defer conn.Close()
			_, err = io.WriteString(conn, strings.ReplaceAll(c.request, "\n", "\r\n"))
			assert.NilError(t, err)
			if c.name == "body cut off" {
				assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
			}
			in := bufio.NewReader(conn)
			response, err := http.ReadResponse(in, nil)
			assert.NilError(t, err)
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			for range strings.Count(c.seen, ";") {
				next, err := http.ReadResponse(in, nil)
				assert.NilError(t, err)
				_, err = io.Copy(io.Discard, next.Body)
				assert.NilError(t, err)
			}
			assert.Equal(t, response.StatusCode, c.status)
			if c.kind != "" {
				kind, executed := problem(t, response, string(body))
				assert.Equal(t, kind+" "+executed, c.kind+" no")
			}
			up.mu.Lock()
			defer up.mu.Unlock()
			var seen []string
			for _, call := range up.calls {
				seen = append(seen, fmt.Sprintf("%s %s %d%v %s", call.r.Method, call.r.RequestURI, call.r.ContentLength, call.r.TransferEncoding, call.body))
				assert.Equal(t, call.r.Header.Get("Upgrade"), "")
			}
			assert.Equal(t, strings.Join(seen, ";"), c.seen)
		})
	}
}

// Guards against detecting the end of a response too early, which breaks complete
// responses, or too late, which passes on bytes of another response, however the
// bytes are split between reads.
func TestFrameFindsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		header := "HTTP/1.1 200 OK\r\nA: b\r\n\r\n"
		var body strings.Builder
		length := int64(-1)
		if rapid.Bool().Draw(t, "chunks") {
			for _, size := range rapid.SliceOfN(rapid.IntRange(1, 40), 0, 4).Draw(t, "sizes") {
				fmt.Fprintf(&body, rapid.SampledFrom([]string{"%x\r\n", "%X;a=b\r\n", "00%x\r\n"}).Draw(t, "line"), size)
				body.WriteString(strings.Repeat("\n", size) + "\r\n")
			}
			body.WriteString("0\r\n" + rapid.SampledFrom([]string{"", "T: 1\r\n", "T: 1\r\nU: 2\r\n"}).Draw(t, "trailer") + "\r\n")
		} else {
			length = rapid.Int64Range(0, 60).Draw(t, "length")
			body.WriteString(strings.Repeat("x", int(length)))
		}
		extra := rapid.SampledFrom([]string{"", "x", "\r\n", "HTTP/1.1 200 OK\r\n"}).Draw(t, "extra")
		var f responseFramer
		n, err := f.accept([]byte(header + "x"))
		assert.NilError(t, err)
		assert.Equal(t, n, len(header))
		f.heldBack = false // the extra byte only checks that bytes after the header are held back
		f.setBodyLength(length)
		for left := body.String() + extra; left != "" && err == nil; {
			n = rapid.IntRange(1, len(left)).Draw(t, "split")
			_, err = f.accept([]byte(left[:n]))
			left = left[n:]
		}
		assert.Equal(t, err != nil, extra != "", "body %q", body.String())
		assert.Equal(t, f.state, frameDone)
	})
}
