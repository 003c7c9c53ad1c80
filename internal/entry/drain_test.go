package entry

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc/pool"
	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/apierror"
)

// drainResult is how a request has ended during a stop.
type drainResult struct {
	status     int
	retryAfter string
	endedAt    time.Time
}

// Guards against requests that wait for a server until the stop of their host closes their
// connections, unanswered (review/9): read before the stop and during it.
func TestRequestsThatWaitAreRejectedBeforeTheEndOfAStop(t *testing.T) {
	const sent = 8 // more than the server has slots
	for _, readDuringStop := range []bool{false, true} {
		for method, path := range map[string]string{http.MethodGet: "/safe/x", http.MethodPost: "/unsafe/x"} {
			server := newGatedServer()
			p := newTestHostWith(t, testHostOptions{timeout: departureTimeout}, server.serve)
			results := pool.NewWithResults[drainResult]()
			send := func(n int) {
				for range n {
					results.Go(func() drainResult {
						status, _, header, err := p.do(t, method, path, "")
						assert.Check(t, err)
						return drainResult{status, header.Get("Retry-After"), time.Now()}
					})
				}
			}
			if readDuringStop {
				send(sent / 2)
			} else {
				send(sent)
			}
			waitFor(t, func() bool { return len(server.began) > 0 && p.waitingForServer() > 0 })
			end := time.Now().Add(time.Second)
			p.handler.Drain(time.Now(), end)
			if readDuringStop {
				send(sent - sent/2)
			}
			var begunInTime atomic.Int64
			time.AfterFunc(time.Until(end), func() {
				begunInTime.Store(p.executions.Load())
				close(server.gate) // what has begun goes on
			})
			var served, rejected int
			for _, r := range results.Wait() {
				switch r.status {
				case http.StatusOK:
					served++
				case http.StatusServiceUnavailable:
					rejected++
					assert.Assert(t, r.endedAt.Before(end), "rejected %s after the end", r.endedAt.Sub(end))
					assert.Assert(t, r.retryAfter != "")
				default:
					t.Errorf("status %d", r.status)
				}
			}
			assert.Equal(t, served+rejected, sent)
			assert.Equal(t, int64(served), p.executions.Load(), "a rejected request has run")
			assert.Equal(t, int64(served), begunInTime.Load(), "a request has waited beyond the end")
			assert.Assert(t, rejected > 0)
			assert.Equal(t, p.waitingForServer(), 0)
		}
	}
}

// waitingForServer returns the number of requests that wait for a server.
func (p *testHost) waitingForServer() int {
	p.handler.waits.mu.Lock()
	defer p.handler.waits.mu.Unlock()
	return len(p.handler.waits.pending)
}

// Guards against a rejection during a stop that says that a request has not run although a
// server may have run it in an earlier attempt.
func TestRejectionDuringAStopIsTrue(t *testing.T) {
	for counts, want := range map[attemptCounts]apierror.Kind{
		{}:                    apierror.KindShuttingDown,
		{unsent: 1}:           apierror.KindShuttingDown,
		{refused: 1}:          apierror.KindShuttingDown,
		{possiblyExecuted: 1}: apierror.KindUpstreamFailed,
	} {
		assert.Equal(t, stoppingError(&request{attempts: counts}).Kind, want, fmt.Sprint(counts))
	}
}

// Guards against requests that wait although they can't be run any more, and against those
// that are rejected although there is time.
func TestRequestsStartOnlyIfTheyCanEndBeforeAStop(t *testing.T) {
	for left, want := range map[time.Duration]int{drainMargin / 2: http.StatusServiceUnavailable, time.Minute: http.StatusOK} {
		p := newTestHostWith(t, testHostOptions{timeout: departureTimeout}, respondOK)
		now := time.Now()
		p.handler.Drain(now, now.Add(left))
		status, _, _, err := p.do(t, http.MethodGet, "/safe/x", "")
		assert.NilError(t, err)
		assert.Equal(t, status, want)
		assert.Equal(t, p.executions.Load() > 0, want == http.StatusOK)
	}
}
