package entry

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// abortLargeResponse sends more of a response without a length than a host
// buffers, then aborts it.
func abortLargeResponse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Signature", "s")
	_, _ = io.WriteString(w, strings.Repeat("x", 1<<20))
	panic(http.ErrAbortHandler)
}

// Guards against a truncated response that looks complete: to an HTTP/1.0 caller
// only the end of the connection marks the end of a body without a length.
func TestAbortedResponseIsNeverComplete(t *testing.T) {
	for _, protocol := range []string{"1.0", "1.1"} {
		t.Run(protocol, func(t *testing.T) {
			p := newTestHost(t, abortLargeResponse)
			c, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
			assert.NilError(t, err)
			defer c.Close()
			assert.NilError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
			_, err = fmt.Fprintf(c, "GET /safe/x HTTP/%s\r\nHost: a.example\r\nX-Id: id-1\r\n\r\n", protocol)
			assert.NilError(t, err)
			_, err = io.Copy(io.Discard, c)
			var opErr *net.OpError
			assert.Assert(t, errors.As(err, &opErr) && !opErr.Timeout(), "the connection ended with %v, want a reset", err)
		})
	}
}
