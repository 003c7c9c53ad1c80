package entry

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/exchange"
	"github.com/cassiasill/cassiasill/internal/network"
	"github.com/cassiasill/cassiasill/internal/pipeline"
)

const (
	// minResultBytes is the least that a request started before its turn takes from the
	// budget, for its response.
	minResultBytes = 4 << 10
	// maxExpectedBytes is the largest expected response of a request that is started
	// before its turn. Larger ones are often streamed and would occupy their servers
	// while they wait.
	maxExpectedBytes = exchange.DefaultMaxBufferedBytes / 2
)

// readAhead holds what a Handler knows of the requests that were started before their
// turn.
type readAhead struct {
	mu      sync.Mutex
	stopped bool
	waiting int // requests whose turn has not come
	group   conc.WaitGroup
}

// start runs a request, unless none may be started any more.
func (a *readAhead) start(run func()) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopped {
		return false
	}
	a.waiting++
	a.group.Go(run)
	return true
}

// stop lets no more requests be started.
func (a *readAhead) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
}

// countTurn records that the turn of a request has come or never will.
func (a *readAhead) countTurn() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting--
}

// isOpen reports whether requests may be started.
func (a *readAhead) isOpen() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.stopped
}

// waitingCount returns the number of started requests that wait for their turn.
func (a *readAhead) waitingCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.waiting
}

// Listener returns a listener on whose connections pipelined requests are started before
// their turn, or the given one if the handler's PipelineDepth is below 2.
func (h *Handler) Listener(l net.Listener) net.Listener {
	if h.PipelineDepth < 2 {
		return l
	}
	return &readAheadListener{l, h}
}

type readAheadListener struct {
	net.Listener
	handler *Handler
}

// Accept returns the next connection.
func (l *readAheadListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := pipeline.NewConn(c, l.handler.ReadAheadBudget)
	conn.SetStarter(&session{h: l.handler, conn: conn})
	return conn, nil
}

// session holds the requests of one connection that were started before their turn. Its
// methods may be called on nil, for a connection that is not read ahead.
type session struct {
	h    *Handler
	conn *pipeline.Conn

	mu      sync.Mutex
	ctx     context.Context // of all started requests; nil before the first
	cancel  context.CancelFunc
	started []*startedRequest // whose turn has not come, in their order
	stopped bool              // no more may be started
	left    bool              // the caller has ended the connection
	// finished is the number of the last request whose handler has returned. A byte that
	// arrives between that and the next request is no pipelining: many callers send the
	// next request before net/http has ended its background read.
	finished uint64
}

// sessionOf returns the session of a request's connection, or nil.
func sessionOf(ctx context.Context) *session {
	if c, ok := network.ContextConn(ctx).(*pipeline.Conn); ok {
		return c.Starter().(*session)
	}
	return nil
}

// HasRoom reports whether another request may be started.
func (s *session) HasRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.stopped && s.finished < s.conn.Current() && len(s.started)+1 < s.h.PipelineDepth && s.h.readAhead.isOpen()
}

// finish records that the handler of the current request has returned.
func (s *session) finish() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished = s.conn.Current()
}

// Start starts a request if it may be repeated and its response is likely small. It runs
// in a goroutine of net/http that doesn't recover from panics.
func (s *session) Start(number uint64, raw []byte) pipeline.Decision {
	decision := pipeline.Stop
	if recovered := panics.Try(func() { decision = s.start(number, raw) }); recovered != nil {
		s.h.Log.Error("entry: panic while a request was started", zap.Error(recovered.AsError()))
	}
	return decision
}

// start is Start without a recovery.
func (s *session) start(number uint64, raw []byte) pipeline.Decision {
	s.h.Metrics.countReadAhead()
	now := time.Now()
	r, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(raw), len(raw)))
	if err != nil {
		return pipeline.Stop
	}
	snapshot, route, failure := s.h.match(r)
	if failure != nil || !route.Kind.Repeatable() {
		return pipeline.InTurn
	}
	_, size := s.h.costs.estimate(route)
	if size > maxExpectedBytes {
		return pipeline.InTurn
	}
	p := &startedRequest{h: s.h, number: number, r: r, snapshot: snapshot, route: route, done: make(chan struct{})}
	if !p.reserve(max(int64(size), minResultBytes)) {
		return pipeline.InTurn
	}
	if !s.add(p, now) {
		p.release()
		return pipeline.InTurn
	}
	return pipeline.Started
}

// add starts a request unless none may be started any more.
func (s *session) add(p *startedRequest, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	if s.ctx == nil {
		s.ctx, s.cancel = context.WithCancel(network.ContextWithConn(context.Background(), s.conn))
	}
	p.caller = newCaller(s.ctx, now)
	if !s.h.readAhead.start(p.run) {
		p.caller.cancel()
		return false
	}
	s.started = append(s.started, p)
	s.h.Metrics.recordStart(len(s.started) + 1)
	return true
}

// take returns the started request whose turn has come with r, or nil. A started request
// that differs from r is canceled.
func (s *session) take(r *http.Request) *startedRequest {
	if s == nil {
		return nil
	}
	number := s.conn.Current()
	s.mu.Lock()
	var canceled []*startedRequest
	var taken *startedRequest
	for len(s.started) > 0 && s.started[0].number <= number && taken == nil {
		p := s.started[0]
		s.started = s.started[1:]
		if p.number == number && p.matches(r) {
			taken = p
		} else {
			canceled = append(canceled, p)
		}
	}
	s.mu.Unlock()
	for _, p := range canceled {
		p.abandon(false)
	}
	if taken != nil {
		taken.take()
	}
	return taken
}

// stop lets no more requests be started on the connection and returns the number of those
// that wait for their turn.
func (s *session) stop() int {
	if s == nil {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	return len(s.started)
}

// CallerLeft cancels the started requests.
func (s *session) CallerLeft() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped, s.left = true, true
	if s.cancel != nil {
		s.cancel()
	}
}

// Closing ends the started requests: their turn never comes.
func (s *session) Closing() {
	s.mu.Lock()
	s.stopped = true
	started, left := s.started, s.left
	s.started = nil
	if len(started) > 0 && !left {
		raw, err := s.conn.SyscallConn()
		left = err == nil && isConnClosed(raw)
	}
	if s.cancel != nil {
		s.cancel()
	}
	s.mu.Unlock()
	for _, p := range started {
		p.abandon(left)
	}
}
