package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/membudget"
	"github.com/cassiasill/cassiasill/internal/network"
)

// testCallerLimits are the defaults of the settings.
var testCallerLimits = CallerLimits{MinProgressBytes: 512, BodyPeriod: 5 * time.Second, ResponsePeriod: time.Minute}

// newPipedBody returns a body of 200 KB and the caller's end of its connection.
func newPipedBody(budget *membudget.Budget) (*requestBody, net.Conn) {
	caller, host := net.Pipe()
	ctx := network.ContextWithConn(context.Background(), host)
	return newRequestBody(ctx, io.LimitReader(host, 200_000), budget, testCallerLimits, 0), caller
}

// Guards against a deadline for the whole body, which a slow caller can't meet, and against
// the time that a server takes counting against the caller.
func TestSlowBodyIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := membudget.New(1<<20, 0)
		b, caller := newPipedBody(budget)
		go func() {
			for range 200 {
				time.Sleep(time.Second)
				_, _ = caller.Write(make([]byte, 300))
			}
			_, _ = caller.Write(make([]byte, 140_000))
		}()
		prefix, complete, err := b.readPrefix(t.Context(), -1)
		assert.NilError(t, err)
		assert.Assert(t, complete)
		assert.Equal(t, len(prefix), 200_000)
		b.close()
		assert.Equal(t, budget.Usage().Used, int64(0))

		b, caller = newPipedBody(nil)
		go func() { _, _ = caller.Write(make([]byte, 200_000)) }()
		for range 10 {
			time.Sleep(20 * time.Second)
			_, err := io.ReadFull(b, make([]byte, 20_000))
			assert.NilError(t, err)
		}
		b.close()
	})
}

// Guards against bodies that stop right before their end and hold memory without a bound on
// the time.
func TestStalledBodyEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := membudget.New(1<<20, 0)
		b, caller := newPipedBody(budget)
		go func() { _, _ = caller.Write(make([]byte, 199_999)) }()
		began := time.Now()
		_, _, err := b.readPrefix(t.Context(), 200_000)
		assert.ErrorIs(t, err, errBodyStalled)
		assert.Equal(t, time.Since(began), testCallerLimits.BodyPeriod)
		assert.Assert(t, budget.Usage().Used > 0)
		b.close()
		b.close()
		assert.Equal(t, budget.Usage().Used, int64(0))
	})
}

// Guards against an exhausted budget in which a stalled body stays.
func TestStalledBodyGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := membudget.New(450_000, 0)
		stalled, caller := newPipedBody(budget)
		go func() { _, _ = caller.Write(make([]byte, 199_999)) }()
		go func() {
			_, _, err := stalled.readPrefix(t.Context(), 200_000)
			assert.Check(t, (&Handler{}).bodyError(err).Kind == apierror.KindOverloaded)
			stalled.close()
		}()
		time.Sleep(time.Second)
		b, next := newPipedBody(budget)
		go func() { _, _ = next.Write(make([]byte, 200_000)) }()
		_, complete, err := b.readPrefix(t.Context(), 200_000)
		assert.NilError(t, err)
		assert.Assert(t, complete)
		b.close()
		assert.Equal(t, budget.Usage().Used, int64(0))
	})
}

// Guards against bodies in chunks that exceed max_body_bytes, buffered or streamed, and
// against a refusal after a server got a part.
func TestChunkedBodyIsBounded(t *testing.T) {
	for name, c := range map[string]struct {
		limit, size int64
		status      int
	}{"buffered": {1000, 1001, http.StatusRequestEntityTooLarge}, "allowed": {1000, 1000, http.StatusOK},
		"streamed": {300 << 10, 400 << 10, 0}, "streamed and allowed": {400 << 10, 400 << 10, http.StatusOK}} {
		t.Run(name, func(t *testing.T) {
			p := newTestHostWith(t, testHostOptions{maxBodyBytes: c.limit, timeout: 10 * time.Second, budget: membudget.New(1<<20, 0), callerLimits: testCallerLimits}, func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.Copy(io.Discard, r.Body); err == nil {
					respondOK(w, r)
				}
			})
			r, err := http.NewRequest(http.MethodPost, p.url+"/unsafe/x", struct{ io.Reader }{bytes.NewReader(make([]byte, c.size))})
			assert.NilError(t, err)
			r.Host = "a.example"
			r.Header.Set("X-Id", "id-1")
			response, err := http.DefaultClient.Do(r)
			status := 0
			if err == nil {
				status = response.StatusCode
				assert.NilError(t, response.Body.Close())
			}
			assert.Equal(t, status, c.status)
			if c.status == http.StatusRequestEntityTooLarge {
				assert.Equal(t, p.executions.Load(), int64(0))
			}
			waitFor(t, func() bool { return p.handler.Budget.Usage().Used+p.handler.Budget.Usage().Surplus == 0 })
		})
	}
}

// Guards against heads above max_header_bytes, and against a legal one that is refused.
func TestHeadIsBounded(t *testing.T) {
	p := newTestHostWith(t, testHostOptions{}, respondOK)
	for size, expected := range map[int]int{16_000: http.StatusOK, 16_400: http.StatusRequestEntityTooLarge, 80_000: http.StatusRequestHeaderFieldsTooLarge} {
		status, _, _, err := p.do(t, http.MethodGet, "/safe/x", "", "X-Large", strings.Repeat("h", size))
		assert.NilError(t, err)
		assert.Equal(t, status, expected, "%d bytes", size)
	}
}

// Guards against connections that callers keep open by a message that does not end, whatever
// the part in which they stop.
func TestUnfinishedMessagesEnd(t *testing.T) {
	chunked := requestHead("POST", "/unsafe/x", "id") + "Transfer-Encoding: chunked\r\n\r\n"
	withLength := func(length int) string {
		return requestHead("POST", "/unsafe/x", "id") + fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	for name, message := range map[string]string{
		"body one byte short":      withLength(900) + "\r\n" + strings.Repeat("b", 899),
		"streamed body":            withLength(300<<10) + "\r\n" + strings.Repeat("b", 299<<10),
		"expectation and silence":  withLength(900) + "Expect: 100-continue\r\n\r\n",
		"no last chunk":            chunked + strings.Repeat("1\r\nb\r\n", 500),
		"endless chunk extension":  chunked + "1;" + strings.Repeat("e", 100_000),
		"endless trailer":          chunked + "0\r\n" + strings.Repeat("A: b\r\n", 20_000),
		"trailer and silence":      chunked + "0\r\nA: b\r\n",
		"refused before its body":  withLength(600<<10) + "\r\n" + strings.Repeat("b", 1000),
		"no route, body and pause": "POST /x HTTP/1.1\r\nHost: b.example\r\nContent-Length: 9\r\n\r\n1",
	} {
		t.Run(name, func(t *testing.T) {
			p := newTestHostWith(t, testHostOptions{maxBodyBytes: 400 << 10, timeout: 10 * time.Second, budget: membudget.New(1<<20, 0),
				callerLimits: CallerLimits{MinProgressBytes: 512, BodyPeriod: 300 * time.Millisecond}}, func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
			})
			c := dialHost(t, p)
			_, _ = io.WriteString(c, message) // fails if the host closes the connection before
			assert.NilError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
			response, err := io.ReadAll(c)
			assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the connection stays open after %q", response)
			assert.Assert(t, !strings.Contains(string(response), " 503 ") && !strings.Contains(string(response), " 408 "), "%s", response)
			waitFor(t, func() bool { return p.handler.Budget.Usage().Used+p.handler.Budget.Usage().Surplus == 0 })
		})
	}
}
