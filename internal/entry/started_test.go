package entry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/exchange"
	"github.com/cassiasill/cassiasill/internal/pipeline"
)

// Guards against a stopping host that starts more requests, or that closes a connection
// on which responses to started ones are missing.
func TestStoppingHostAnswersWhatItHasStarted(t *testing.T) {
	server := newGatedServer()
	p := newTestHostWith(t, testHostOptions{timeout: departureTimeout, pipelineDepth: 4}, same(server.serve, 4)...)
	_, reader := sendPipelined(t, p, targets(6)...)
	receiveAll(server.began, 4)
	now := time.Now()
	p.handler.Drain(now, now.Add(time.Hour))
	close(server.gate)
	for i, r := range targets(4) {
		closing := checkOwnResponse(t, reader, r[4:])
		assert.Equal(t, closing, i == 3, "response %d", i) // the first was taken up before
	}
	_, err := reader.ReadByte()
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded))
	assert.Equal(t, p.executions.Load(), int64(4))
}

// Guards against a shutdown that closes connections on which responses to started
// requests are missing.
func TestShutdownAwaitsTheTurnsOfStartedRequests(t *testing.T) {
	t.Parallel()
	server := newGatedServer()
	p := newTestHostWith(t, testHostOptions{timeout: departureTimeout}, same(server.serve, 4)...)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p.url = listener.Addr().String()
	s := NewServer(p.handler, 0)
	var group sync.WaitGroup
	group.Go(func() { assert.Check(t, s.Serve(listener)) })
	_, reader := sendPipelined(t, p, targets(4)...)
	receiveAll(server.began, 4)
	group.Go(func() { assert.Check(t, s.Shutdown(t.Context())) })
	time.Sleep(drainAcceptPeriod + 200*time.Millisecond)
	close(server.gate)
	for i, r := range targets(4) {
		assert.Equal(t, checkOwnResponse(t, reader, r[4:]), i == 3)
	}
	group.Wait()
}

// Guards against requests that are counted twice, by the start and by the turn.
func TestPipelinedRequestsAreCountedOnce(t *testing.T) {
	p := newTestHostWith(t, testHostOptions{timeout: departureTimeout}, same(respondTarget, 4)...)
	requests := targets(8)
	requests[0] = "GET /safe/slow"
	_, reader := sendPipelined(t, p, requests...)
	for _, r := range requests {
		checkOwnResponse(t, reader, r[4:])
	}
	recorder := httptest.NewRecorder()
	waitFor(t, func() bool { return p.handler.readAhead.waitingCount() == 0 })
	p.metrics.ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	for name, n := range map[string]int{"entry_requests_total": 8, "entry_results_total": 8, "entry_read_ahead_total": 7, "entry_started_ahead_total": 7, "entry_pipeline_depth_count": 7} {
		found := regexp.MustCompile("(?m)^" + name + `(?:\{.*\})? (\d+)$`).FindStringSubmatch(recorder.Body.String())
		assert.Assert(t, len(found) == 2 && found[1] == fmt.Sprint(n), "%s: %v", name, found)
	}
}

// limitedBudget has a limited number of bytes.
type limitedBudget struct{ left atomic.Int64 }

func (b *limitedBudget) TryAcquire(n int64) bool {
	if b.left.Add(-n) < 0 {
		b.left.Add(n)
		return false
	}
	return true
}
func (b *limitedBudget) Release(n int64) { b.left.Add(n) }

// Guards against more requests or bytes in progress than the bounds allow, and against
// bytes that are not given back.
func TestPipelineBounds(t *testing.T) {
	for _, c := range []struct {
		depth, began int
		bytes        int64
	}{{-1, 1, 1 << 20}, {2, 2, 1 << 20}, {5, 5, 1 << 20}, {16, 3, 4<<10 + 2*minResultBytes}, {16, 1, 0}} {
		budget := &limitedBudget{}
		budget.left.Store(c.bytes)
		server := newGatedServer()
		p := newTestHostWith(t, testHostOptions{timeout: departureTimeout, pipelineDepth: c.depth, readAheadBudget: budget}, same(server.serve, 5)...)
		conn, reader := sendPipelined(t, p, targets(10)...)
		receiveAll(server.began, c.began)
		assert.Equal(t, receive(server.began, 50*time.Millisecond), "", "depth %d, %d bytes", c.depth, c.bytes)
		close(server.gate)
		for _, r := range targets(10) {
			checkOwnResponse(t, reader, r[4:])
		}
		assert.NilError(t, conn.Close())
		waitFor(t, func() bool { return budget.left.Load() == c.bytes })
	}
}

// Guards against a large response that occupies its server until its turn, and against
// one that is incomplete when it comes.
func TestLargeResponseDoesNotWaitAtItsServer(t *testing.T) {
	gate, ended := make(chan struct{}), make(chan string, 10)
	large := strings.Repeat("x", 32<<20) // more than the kernel buffers
	p := newTestHostWith(t, testHostOptions{timeout: departureTimeout}, same(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Signature", "s")
		if r.RequestURI == "/safe/first" {
			select {
			case <-gate:
			case <-r.Context().Done():
			}
			return
		}
		if _, err := io.WriteString(w, large); err != nil {
			ended <- "ended"
		}
	}, 2)...)
	_, reader := sendPipelined(t, p, "GET /safe/first", "GET /safe/large")
	assert.Equal(t, receive(ended, 4*maxUnreadTime), "ended")
	close(gate)
	readResponse(t, reader)
	_, id, body, _ := readResponse(t, reader)
	assert.Assert(t, id == "/safe/large" && body == large)
}

// Guards against the response to another request than the one that net/http has read.
func TestDifferingRequestIsNotAnsweredByAStartedOne(t *testing.T) {
	for _, other := range []string{"", "HEAD /safe/next a.example", "GET /safe/other a.example", "GET /safe/next b.example"} {
		server := newGatedServer()
		p := newTestHostWith(t, testHostOptions{timeout: departureTimeout}, server.serve)
		local, remote := net.Pipe()
		c := pipeline.NewConn(local, nil)
		s := &session{h: p.handler, conn: c}
		c.SetStarter(s)
		var caller sync.WaitGroup
		caller.Go(func() { _, _ = io.WriteString(remote, nextRequest+nextRequest) })
		buffer := make([]byte, 4096)
		_, err := c.Read(buffer) // the first request
		assert.NilError(t, err)
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
		_, err = c.Read(buffer[:1]) // reads ahead
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded))
		assert.Equal(t, receive(server.began, 5*time.Second), "next")
		n, err := c.Read(buffer)
		assert.NilError(t, err)
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(string(buffer[:n]))))
		assert.NilError(t, err)
		if other != "" {
			_, err = fmt.Sscan(other, &r.Method, &r.RequestURI, &r.Host)
			assert.NilError(t, err)
		}
		started := s.take(r)
		assert.Equal(t, started != nil, other == "", other)
		if started == nil {
			assert.Equal(t, receive(server.ended, 5*time.Second), "next")
		} else {
			started.abandon(false)
		}
		assert.NilError(t, c.Close())
		caller.Wait()
	}
}

// Guards against a panic in a started request that ends the process or leaves its caller
// without an end.
func TestPanicInAStartedRequestEndsItsConnection(t *testing.T) {
	broken := &session{h: &Handler{Options: Options{Log: zap.NewNop()}}} // without metrics
	assert.Equal(t, broken.Start(1, nil), pipeline.Stop)
	for _, leaves := range []bool{false, true} {
		var dials atomic.Int64
		server := newGatedServer()
		dial := func(ctx context.Context, network, address string) (net.Conn, error) {
			if dials.Add(1) == 2 {
				panic("test")
			}
			return exchange.Dial(ctx, network, address)
		}
		p := newTestHostWith(t, testHostOptions{timeout: departureTimeout, dial: dial}, server.serve)
		c, reader := sendPipelined(t, p, "GET /safe/0")
		assert.Equal(t, receive(server.began, 5*time.Second), "/safe/0")
		_, err := io.WriteString(c, nextRequest)
		assert.NilError(t, err)
		waitFor(t, func() bool { return dials.Load() == 2 })
		if leaves {
			assert.NilError(t, c.Close())
			waitFor(t, func() bool { return p.logs.FilterMessage("entry: panic in a started request").Len() == 1 })
			continue
		}
		close(server.gate)
		checkOwnResponse(t, reader, "/safe/0")
		_, err = reader.ReadByte()
		assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded))
	}
}

// BenchmarkRequest measures requests on one connection that are not pipelined.
func BenchmarkRequest(b *testing.B) {
	for _, depth := range []int{-1, 16} {
		b.Run(fmt.Sprint("depth=", depth), func(b *testing.B) {
			p := newTestHostWith(b, testHostOptions{pipelineDepth: depth}, respondOK)
			c, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
			assert.NilError(b, err)
			defer c.Close()
			reader := bufio.NewReader(c)
			b.ReportAllocs()
			for b.Loop() {
				_, err := io.WriteString(c, nextRequest)
				assert.NilError(b, err)
				response, err := http.ReadResponse(reader, nil)
				assert.NilError(b, err)
				_, err = io.Copy(io.Discard, response.Body)
				assert.NilError(b, err)
			}
		})
	}
}
