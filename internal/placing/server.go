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
)

// Server answers hosts that ask this one for servers.
type Server struct {
	dispatcher *dispatch.Dispatcher
	group      conc.WaitGroup
	hosts      atomic.Uint64 // connections so far

	mu     sync.Mutex
	links  map[*link]struct{}
	closed bool
}

// NewServer returns a Server that places requests with the dispatcher.
func NewServer(dispatcher *dispatch.Dispatcher) *Server {
	return &Server{dispatcher: dispatcher, links: make(map[*link]struct{})}
}

// Serve accepts hosts until ctx ends.
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
		l := newLink(conn)
		if !s.add(l) {
			l.close()
			continue
		}
		s.group.Go(l.writeAll)
		s.group.Go(func() {
			defer s.remove(l)
			newClientState(s.hosts.Add(1), s.dispatcher, l).serve()
		})
	}
}

func (s *Server) close(listener net.Listener) {
	_ = listener.Close() // ends Accept
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for l := range s.links {
		l.close()
	}
}

func (s *Server) add(l *link) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.links[l] = struct{}{}
	return true
}

func (s *Server) remove(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.links, l)
}

// clientState is what one host has asked for.
type clientState struct {
	host       uint64 // tells the hosts apart; 0 is this one
	dispatcher *dispatch.Dispatcher
	link       *link

	mu       sync.Mutex
	requests map[uint64]placed // by the host's number
	ended    bool
}

type placed struct {
	service string
	number  uint64 // the dispatcher's
}

func newClientState(host uint64, dispatcher *dispatch.Dispatcher, l *link) *clientState {
	return &clientState{host: host, dispatcher: dispatcher, link: l, requests: make(map[uint64]placed)}
}

func (c *clientState) serve() {
	c.link.readAll(c.handle)
	c.mu.Lock()
	left := c.requests
	c.requests, c.ended = nil, true
	c.mu.Unlock()
	// A host that is gone has broken off what it had sent.
	for _, p := range left {
		c.free(p, dispatch.Result{Outcome: dispatch.Abandoned})
	}
}

func (c *clientState) free(p placed, result dispatch.Result) {
	if !c.dispatcher.Cancel(p.service, p.number) {
		c.dispatcher.Release(p.service, p.number, result)
	}
}

func (c *clientState) handle(frame *fleetpb.DispatchFrame) {
	if frame.Ping {
		c.link.queue(func(*fleetpb.DispatchFrame) {})
	}
	for _, done := range frame.Done {
		if p, ok := c.take(done.Id); ok {
			c.free(p, dispatch.Result{Outcome: dispatch.Outcome(done.Outcome), HasLoad: done.HasLoad,
				Running: int(done.Running), Waiting: int(done.Waiting)})
		}
	}
	for _, id := range frame.Canceled {
		if p, ok := c.take(id); ok {
			c.free(p, dispatch.Result{Outcome: dispatch.Abandoned})
		}
	}
	for _, ask := range frame.Asks {
		c.ask(ask)
	}
}

func (c *clientState) take(id uint64) (placed, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.requests[id]
	delete(c.requests, id)
	return p, ok
}

func (c *clientState) ask(m *fleetpb.DispatchAsk) {
	now := c.dispatcher.Now()
	ask := dispatch.Ask{Service: m.Service, From: c.host, Position: int(m.Position) - 1, Priority: int(m.Priority), Repeatable: m.Repeatable,
		Zone: m.Zone, AnswerBytes: float64(m.AnswerBytes), Returned: m.Returned, Target: now.Add(time.Duration(m.TargetMicros) * time.Microsecond),
		Deadline: now.Add(fromMicros(m.DeadlineMicros)), Work: fromMicros(m.WorkMicros), Exclude: m.Exclude}
	p := placed{m.Service, c.dispatcher.Number()}
	if !c.put(m.Id, p) {
		return
	}
	c.dispatcher.Ask(p.number, ask, func(d dispatch.Decision) {
		if d.Server == "" {
			c.take(m.Id)
		}
		c.link.queue(func(f *fleetpb.DispatchFrame) {
			f.Decisions = append(f.Decisions, &fleetpb.DispatchDecision{Id: m.Id, Server: d.Server, Reason: string(d.Reason),
				RetryAfterMicros: micros(d.RetryAfter), WaitedMicros: micros(d.Waited), Speed: float32(d.Speed),
				Crowded: d.Crowded, Queue: uint32(d.Queue)})
		})
	})
	if c.hasEnded() {
		// serve may have freed the request before it was asked.
		c.free(p, dispatch.Result{Outcome: dispatch.Abandoned})
	}
}

func (c *clientState) put(id uint64, p placed) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return false
	}
	c.requests[id] = p
	return true
}

func (c *clientState) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}
