package exchange

import (
	"bytes"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// FuzzResponse guards against bytes from a server that crash the host, or that are
// accepted as a success without the server's signature or the request's ID, or with a field
// whose name is no token.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		okResponse("1", "whole"), okResponse("0", "other") + okResponse("1", "whole"), "HTTP/1.1 503 Busy\r\nX-Id: 1\r\nX-Refused: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 204 No Content\r\n\r\n", "\x00", "HTTP/1.1 000 Trouble\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\nKeep-Alive: timeout=99999999999999999999\r\nX-Load: 1,,2\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\nX Odd: 1\r\nContent-Length : 0\r\n\r\n", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\n X-Odd: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\nX-Load: 1,0,2,300\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\nX-Load: 1,0,2,-9e99\r\nContent-Length: 0\r\n\r\n",
	} {
		f.Add([]byte(seed), true)
		f.Add([]byte(seed), false)
	}
	f.Fuzz(func(t *testing.T, data []byte, reused bool) {
		p := &Pool{headers: &headerNames, maxBufferedBytes: DefaultMaxBufferedBytes}
		end, otherEnd := net.Pipe() // takes the deadlines; the bytes come from data
		defer end.Close()
		defer otherEnd.Close()
		c := newConn(end, p, time.Time{})
		c.bounded.Source, c.hasCarriedRequest = bytes.NewReader(data), reused
		result := p.readResponse(c, &Request{ID: "1", Method: http.MethodGet})
		if result.Outcome == Answered && result.Status < 300 && (result.Header.Get("X-Id") != "1" || result.Header.Get("X-Signature") == "") {
			t.Fatalf("%q was accepted as a response", data)
		}
		if (result.Outcome == Answered || result.Outcome == Refused) && (result.Status < 200 || result.Status > 599) {
			t.Fatalf("%q was accepted as a response with status %d", data, result.Status)
		}
		if result.Outcome == Answered || result.Outcome == Refused {
			for name := range result.Header {
				if name == "" || strings.ContainsFunc(name, func(c rune) bool { return c <= ' ' || c >= 0x7f || strings.ContainsRune(`()<>@,;:\"/[]?={}`, c) }) {
					t.Fatalf("%q was accepted with the field %q", data, name)
				}
			}
		}
		if result.Load.TimePercent < 0 || result.Load.TimePercent > MaxTimePercent || !result.HasLoad && result.Load != (ServerLoad{}) {
			t.Fatalf("%q gives the load %+v", data, result.Load)
		}
		if result.Outcome == Refused && reused && result.Header.Get("X-Id") != "1" {
			t.Fatalf("%q was accepted as a refusal", data)
		}
	})
}
