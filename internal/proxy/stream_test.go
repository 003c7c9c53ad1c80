package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/admission"
	"github.com/cassiasill/cassiasill/internal/routing"
)

// document is a text whose content differs at every position, so that misplaced
// bytes are detected.
var document = func() string {
	var b strings.Builder
	for i := range 40_000 {
		fmt.Fprintf(&b, "%07d|", i)
	}
	return b.String()
}()

// sendDocument responds with the first cut bytes of the document, or of the
// requested range, and closes the connection if bytes are missing. If change is
// not nil, it alters the response's header.
func sendDocument(cut int, change func(head string) string) step {
	return func(c *call) {
		if c.read() && !writeDocument(c, cut, change) {
			c.conn.Close()
		}
	}
}

// writeDocument responds to a request that was read with the first cut bytes of
// the document, or of the requested range. It reports whether those were all.
func writeDocument(c *call, cut int, change func(head string) string) bool {
	first, last, status, extra := 0, len(document)-1, "200 OK", ""
	if r := c.r.Header.Get("Range"); r != "" && (c.r.Header.Get("If-Range") == `"v1"` || c.r.Header.Get("If-Range") == "") {
		_, _ = fmt.Sscanf(r, "bytes=%d-%d", &first, &last)
		status, extra = "206 Partial", fmt.Sprintf("Content-Range: bytes %d-%d/%d\n", first, last, len(document))
	}
	head := fmt.Sprintf("HTTP/1.1 %s\nCassiasill-Request-Id: %s\nETag: \"v1\"\n%sContent-Length: %d\n\n",
		status, c.r.Header.Get("Cassiasill-Request-Id"), extra, last+1-first)
	if change != nil {
		head = change(head)
	}
	_, _ = io.WriteString(c.conn, strings.ReplaceAll(head, "\n", "\r\n"))
	_, _ = io.WriteString(c.conn, document[first:min(last+1, first+cut)])
	return cut > last-first
}

func replacing(old, new string) func(string) string {
	return func(head string) string { return strings.Replace(head, old, new, 1) }
}

// Guards against a download that fails although it can be resumed, and against
// one that is assembled from different versions or positions, or is passed on as
// complete when it is truncated.
func TestBrokenDownload(t *testing.T) {
	const whole = 1 << 30
	cut := sendDocument(100_000, nil)
	size := strconv.Itoa(len(document))
	cases := []struct {
		name        string
		method      string
		headers     []string
		first, rest step
		want        string // empty: the caller sees that the transfer broke
	}{
		{"continued", "GET", nil, cut, sendDocument(whole, nil), document},
		{"continued twice", "GET", nil, cut, sendDocument(100_000, nil), document},
		{"range continued", "GET", []string{"Range", "bytes=1000-250000"}, cut, sendDocument(whole, nil), document[1000:250001]},
		{"another version", "GET", nil, cut, sendDocument(whole, replacing(`"v1"`, `"v2"`)), ""},
		{"no version", "GET", nil, sendDocument(100_000, replacing("ETag", "X")), sendDocument(whole, nil), ""},
		{"weak version", "GET", nil, sendDocument(100_000, replacing(`"v1"`, `W/"v1"`)), sendDocument(whole, nil), ""},
		{"whole instead of the rest", "GET", nil, cut, sendDocument(whole, replacing("206 Partial", "200 OK")), ""},
		{"another position", "GET", nil, cut, sendDocument(whole, replacing("bytes 100000-", "bytes 100001-")), ""},
		{"another total", "GET", nil, cut, sendDocument(whole, replacing("/"+size, "/9999999")), ""},
		{"no range given", "GET", nil, cut, sendDocument(whole, replacing("Content-Range", "X")), ""},
		{"another request's rest", "GET", nil, cut, sendDocument(whole, replacing("Request-Id: ", "Request-Id: 0")), ""},
		{"not repeatable", "POST", nil, cut, sendDocument(whole, nil), ""},
		{"too long", "GET", nil, sendDocument(whole, replacing("Content-Length: "+size, "Content-Length: 200000")), sendDocument(whole, nil), ""},
		{"chunks cut off", "GET", nil, sendDocument(100_000, replacing("Content-Length: "+size, "Transfer-Encoding: chunked\n\nfffff")), sendDocument(whole, nil), ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			first, second, third := newFakeUpstream(t, c.first), newFakeUpstream(t, c.rest), newFakeUpstream(t, sendDocument(whole, nil))
			h := newHarness(t, nil, first, second, third)
			_, body, err := h.do(t, c.method, "/free/doc", nil, c.headers...)
			if c.want != "" {
				assert.NilError(t, err)
				assert.Assert(t, body == c.want, "%d bytes instead of %d", len(body), len(c.want))
			} else {
				assert.Assert(t, err != nil, "%d bytes were passed on as complete", len(body))
			}
			h.assertDrained(t)
		})
	}
}

// Guards against a download that fails when its key moves to a new owner.
func TestDownloadContinuesAtNewOwner(t *testing.T) {
	var h *harness
	begun := make(chan struct{})
	old := newFakeUpstream(t, func(c *call) {
		if !c.read() {
			return
		}
		writeDocument(c, 100_000, nil)
		// The key moves only after the caller has the response's header; before
		// that the handler would resend the complete request.
		<-begun
		h.resolver.set(routing.Owner{State: routing.StateWaiting})
		c.conn.Close()
		h.resolver.set(servedBy("s1", 2))
	})
	owner := newFakeUpstream(t, sendDocument(1<<30, nil))
	h = newHarness(t, func(o *Options) {
		o.Services[0].Routes = []Route{{Class: admission.ClassDownload, Repeatable: true}}
	}, old, owner)
	response, err := h.server.Client().Get(h.server.URL + "/keyed/k")
	assert.NilError(t, err)
	defer response.Body.Close()
	close(begun)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Assert(t, string(body) == document)
	assert.Equal(t, owner.last().r.Header.Get("Cassiasill-Fencing-Token"), "7.2")
	assert.Equal(t, owner.last().r.Header.Get("Range"), fmt.Sprintf("bytes=100000-%d", len(document)-1))
}

// Guards against downloads or uploads that are buffered completely in memory.
func TestLargeBodiesStreamInBoundedMemory(t *testing.T) {
	const size = 256 << 20
	up := newFakeUpstream(t, func(c *call) {
		r, err := http.ReadRequest(c.in)
		if err != nil {
			return
		}
		n, _ := io.Copy(io.Discard, r.Body)
		c.r = r
		fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nCassiasill-Request-Id: %s\r\nX-Read: %d\r\nContent-Length: %d\r\n\r\n",
			r.Header.Get("Cassiasill-Request-Id"), n, size)
		_, _ = io.CopyN(c.conn, zeros{}, size)
	})
	h := newHarness(t, func(o *Options) { o.Limits.MaxBodyBytes = size }, up)
	r, err := http.NewRequest("POST", h.server.URL+"/free/doc", io.LimitReader(zeros{}, size))
	assert.NilError(t, err)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	response, err := h.server.Client().Do(r)
	assert.NilError(t, err)
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	runtime.ReadMemStats(&after)
	assert.Equal(t, n, int64(size))
	assert.Equal(t, response.Header.Get("X-Read"), strconv.Itoa(size))
	// A sixteenth of the bytes allows for buffers and headers but not for a copy of
	// a body.
	assert.Assert(t, after.TotalAlloc-before.TotalAlloc < size/16, "%d bytes allocated", after.TotalAlloc-before.TotalAlloc)
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// Guards against half of a body that looks complete to an HTTP/1.0 caller, which knows
// no chunks: if the server breaks off, it must see a reset.
func TestHTTP10CallerSeesAResetWhenABodyBreaksOff(t *testing.T) {
	for _, whole := range []bool{true, false} {
		up := newFakeUpstream(t, func(c *call) {
			if !c.read() {
				return
			}
			_, _ = fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nCassiasill-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n",
				c.r.Header.Get("Cassiasill-Request-Id"), len(document), document)
			if whole {
				_, _ = io.WriteString(c.conn, "0\r\n\r\n")
			}
			_ = c.conn.Close()
		})
		h := newHarness(t, nil, up)
		c, err := net.Dial("tcp", h.server.Listener.Addr().String())
		assert.NilError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, "GET /free/doc HTTP/1.0\r\nHost: x\r\n\r\n")
		assert.NilError(t, err)
		data, err := io.ReadAll(c)
		if whole {
			assert.NilError(t, err)
			assert.Assert(t, strings.HasSuffix(string(data), document))
		} else {
			assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%d bytes, %v", len(data), err)
		}
	}
}
