package placing

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/dispatch"
	"github.com/cassiasill/cassiasill/internal/exchange"
	"github.com/cassiasill/cassiasill/internal/ratelimit"
)

// Server lets other hosts use a dispatcher of this host.
type Server struct {
	dispatcher *dispatch.Dispatcher
	limits     *ratelimit.Table
	group      conc.WaitGroup
	lastHostID atomic.Uint64 // ID of the latest session

	mu     sync.Mutex
	conns  map[*frameConn]struct{}
	closed bool
}

// NewServer returns a Server for the dispatcher. The rate limits that other hosts
// report go into the table, which the dispatcher follows.
func NewServer(dispatcher *dispatch.Dispatcher, limits *ratelimit.Table) *Server {
	return &Server{dispatcher: dispatcher, limits: limits, conns: make(map[*frameConn]struct{})}
}

// Serve accepts connections of hosts until ctx ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { s.close(listener) })
	defer stop()
	defer s.group.Wait()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		fc := newFrameConn(conn)
		if !s.addConn(fc) {
			fc.close()
			continue
		}
		fc.enqueue(func(f *fleetpb.DispatchFrame) { f.PacesRequests, f.PacesWarmups = true, true })
		s.group.Go(fc.writeFrames)
		s.group.Go(func() {
			defer s.removeConn(fc)
			newHostSession(s.lastHostID.Add(1), s.dispatcher, s.limits, fc).serve()
		})
	}
}

func (s *Server) close(listener net.Listener) {
	_ = listener.Close() // ends Accept
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for fc := range s.conns {
		fc.close()
	}
}

func (s *Server) addConn(fc *frameConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[fc] = struct{}{}
	return true
}

func (s *Server) removeConn(fc *frameConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, fc)
}

// hostSession holds the requests of one connected host.
type hostSession struct {
	hostID     uint64 // unique per session; 0 is this host itself
	dispatcher *dispatch.Dispatcher
	limits     *ratelimit.Table
	conn       *frameConn

	mu       sync.Mutex
	requests map[uint64]submittedRequest // by the host's request ID
	closed   bool
}

// submittedRequest identifies a request in the dispatcher.
type submittedRequest struct {
	service string
	id      uint64 // request ID in the dispatcher
}

func newHostSession(host uint64, dispatcher *dispatch.Dispatcher, limits *ratelimit.Table, fc *frameConn) *hostSession {
	return &hostSession{hostID: host, dispatcher: dispatcher, limits: limits, conn: fc, requests: make(map[uint64]submittedRequest)}
}

// serve handles frames until the connection ends, then releases all requests of
// the host.
func (h *hostSession) serve() {
	h.conn.readFrames(h.handleFrame)
	h.mu.Lock()
	remaining := h.requests
	h.requests, h.closed = nil, true
	h.mu.Unlock()
	// A host that is gone has also dropped its connections to the servers, so its
	// requests have ended.
	for _, submitted := range remaining {
		h.cancelOrRelease(submitted, dispatch.Result{Outcome: dispatch.Abandoned})
	}
}

// cancelOrRelease removes a request from the queue, or frees its slot if it has one.
func (h *hostSession) cancelOrRelease(submitted submittedRequest, result dispatch.Result) {
	if !h.dispatcher.Cancel(submitted.service, submitted.id) {
		h.dispatcher.Release(submitted.service, submitted.id, result)
	}
}

func (h *hostSession) handleFrame(frame *fleetpb.DispatchFrame) {
	if frame.Ping {
		h.conn.enqueue(func(*fleetpb.DispatchFrame) {})
	}
	// Limits come first: the requests of this frame are subject to them.
	h.limits.Merge(frame.RateLimits, "host")
	for _, done := range frame.Done {
		if done.RateLimit != nil {
			h.limits.Merge([]*fleetpb.RateLimit{done.RateLimit}, "host")
		}
		if submitted, ok := h.removeRequest(done.Id); ok {
			h.cancelOrRelease(submitted, dispatch.Result{Outcome: dispatch.Outcome(done.Outcome), HasLoad: done.HasLoad,
				Running: int(done.Running), Waiting: int(done.Waiting), TimePercent: int(min(done.TimePercent, exchange.MaxTimePercent))})
		}
	}
	for _, id := range frame.Canceled {
		if submitted, ok := h.removeRequest(id); ok {
			h.cancelOrRelease(submitted, dispatch.Result{Outcome: dispatch.Abandoned})
		}
	}
	// A busy host may send a request and its end in one frame.
	ended := make(map[uint64]bool, len(frame.Canceled))
	for _, id := range frame.Canceled {
		ended[id] = true
	}
	for _, request := range frame.Asks {
		if !ended[request.Id] {
			h.submit(request)
		}
	}
}

// removeRequest returns false if the host has no request with the given ID.
func (h *hostSession) removeRequest(id uint64) (submittedRequest, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	submitted, ok := h.requests[id]
	delete(h.requests, id)
	return submitted, ok
}

// submit queues a request with the dispatcher and sends the decision to the host.
func (h *hostSession) submit(m *fleetpb.DispatchAsk) {
	now := h.dispatcher.Now()
	request := dispatch.Request{Service: m.Service, HostID: h.hostID, Position: int(m.Position) - 1, Priority: int(m.Priority), Repeatable: m.Repeatable,
		Zone: m.Zone, ResponseBytes: float64(m.AnswerBytes), PreviouslyRejected: m.Returned, Target: now.Add(time.Duration(m.TargetMicros) * time.Microsecond),
		Deadline: now.Add(fromMicros(m.DeadlineMicros)), Work: fromMicros(m.WorkMicros), Exclude: m.Exclude}
	submitted := submittedRequest{m.Service, h.dispatcher.NewRequestID()}
	if !h.addRequest(m.Id, submitted) {
		return
	}
	h.dispatcher.Submit(submitted.id, request, func(d dispatch.Decision) {
		if d.Server == "" {
			h.removeRequest(m.Id)
		}
		h.conn.enqueue(func(f *fleetpb.DispatchFrame) {
			f.Decisions = append(f.Decisions, &fleetpb.DispatchDecision{Id: m.Id, Server: d.Server, Reason: string(d.Reason),
				RetryAfterMicros: toMicros(d.RetryAfter), WaitedMicros: toMicros(d.QueueTime), Speed: float32(d.Speed),
				Crowded: d.Saturated, Queue: uint32(d.QueueLength)})
		})
	})
	if h.isClosed() {
		// serve may have released the request before it was queued.
		h.cancelOrRelease(submitted, dispatch.Result{Outcome: dispatch.Abandoned})
	}
}

// addRequest returns false if the session is closed.
func (h *hostSession) addRequest(id uint64, submitted submittedRequest) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	h.requests[id] = submitted
	return true
}

func (h *hostSession) isClosed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.closed
}
