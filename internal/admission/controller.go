// Package admission decides when and to which server a request is sent:
// deadlines, fair queues, classes and adaptive concurrency limits.
package admission

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/balance"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// ServerState is a server's state as health checks and operators give it.
type ServerState uint8

// The states of a server.
const (
	ServerReady ServerState = iota
	ServerLeaving
	ServerGone
)

// ServerConfig describes a server of a service.
type ServerConfig struct {
	Name             topology.ServerName
	AvailabilityZone topology.AvailabilityZone
	Slots            int // 0: the service's
}

// ServiceConfig describes a service. Zero values get defaults.
type ServiceConfig struct {
	Name    topology.ServiceName
	Servers []ServerConfig
	// Slots is the number of requests that a server runs at once, 2 by default.
	Slots int
	// MaxWait bounds the time in the queue, 2 s by default.
	MaxWait time.Duration
	// MaxWaiting bounds the memory of the queue, 8192 requests by default.
	MaxWaiting int
	// Ramp is the time in which a cold server reaches its full share, 2 s by
	// default.
	Ramp time.Duration
	// Policy chooses among the servers of a request that is not pinned. It is
	// used by this service alone.
	Policy balance.Policy
	// AvailabilityZone is the host's own.
	AvailabilityZone topology.AvailabilityZone
}

func (c ServiceConfig) withDefaults() ServiceConfig {
	if c.Slots <= 0 {
		c.Slots = 2
	}
	if c.MaxWait <= 0 {
		c.MaxWait = 2 * time.Second
	}
	if c.MaxWaiting <= 0 {
		c.MaxWaiting = 8192
	}
	if c.Ramp <= 0 {
		c.Ramp = 2 * time.Second
	}
	if c.Policy == nil {
		c.Policy = balance.Leased{}
	}
	return c
}

// Report is what hosts share on a server: the requests at it, all hosts'
// included, as known Age ago.
type Report struct {
	Server   topology.ServerName
	InFlight float64
	Age      time.Duration
}

// Controller implements Admitter for the services it was made with.
type Controller struct {
	services map[topology.ServiceName]*service
	epoch    time.Time
}

var _ Admitter = (*Controller)(nil)

// service guards one scheduler and its timer.
type service struct {
	mu     sync.Mutex
	core   *scheduler
	epoch  time.Time
	timer  *time.Timer
	armed  time.Duration // the timer's next run, or math.MaxInt64
	closed bool
}

// New returns a Controller; seed feeds the random choices.
func New(services []ServiceConfig, seed uint64) *Controller {
	c := &Controller{services: make(map[topology.ServiceName]*service, len(services)), epoch: time.Now()}
	for i, config := range services {
		c.services[config.Name] = &service{
			core:  newScheduler(config, rand.New(rand.NewPCG(seed, uint64(i)))),
			epoch: c.epoch, armed: math.MaxInt64,
		}
	}
	return c
}

// Close stops the timers; requests still waiting are refused by their contexts.
func (c *Controller) Close() {
	for _, s := range c.services {
		s.mu.Lock()
		s.closed = true
		if s.timer != nil {
			s.timer.Stop()
		}
		s.mu.Unlock()
	}
}

func (s *service) now() time.Duration { return time.Since(s.epoch) }

// unlock passes on verdicts, sets the timer and releases the lock.
func (s *service) unlock() {
	if len(s.core.resolved) > 0 {
		s.core.takeResolved(func(w *waiter) { close(w.ready) })
	}
	if next := s.core.nextEvent(); next < s.armed && !s.closed {
		s.armed = next
		delay := next - s.now()
		if s.timer == nil {
			s.timer = time.AfterFunc(delay, s.tick)
		} else {
			s.timer.Reset(delay)
		}
	}
	s.mu.Unlock()
}

func (s *service) tick() {
	s.mu.Lock()
	s.armed = math.MaxInt64
	s.core.expire(s.now())
	s.unlock()
}

// update runs change on the scheduler of a service, if it exists.
func (c *Controller) update(name topology.ServiceName, change func(*scheduler, time.Duration)) {
	s := c.services[name]
	if s == nil {
		return
	}
	s.mu.Lock()
	change(s.core, s.now())
	s.unlock()
}

// SetHosts tells every service this host's rank among the live hosts and their
// number.
func (c *Controller) SetHosts(rank, live int) {
	for name := range c.services {
		c.update(name, func(core *scheduler, now time.Duration) { core.setHosts(now, rank, live) })
	}
}

// SetServers replaces the servers of a service.
func (c *Controller) SetServers(name topology.ServiceName, servers []ServerConfig) {
	c.update(name, func(core *scheduler, now time.Duration) { core.setServers(now, servers) })
}

// SetState changes the state of a server. A leaving or gone server gets no new
// request from the return of this call on, pinned ones included: those fail
// with no-upstream.
func (c *Controller) SetState(name topology.ServiceName, server topology.ServerName, state ServerState) {
	c.update(name, func(core *scheduler, now time.Duration) { core.setState(now, server, state) })
}

// Observe takes shared reports on the servers of a service.
func (c *Controller) Observe(name topology.ServiceName, reports ...Report) {
	c.update(name, func(core *scheduler, now time.Duration) {
		for _, r := range reports {
			core.observe(now, r)
		}
	})
}

// Overloaded tells whether retries of a class would add to an overload of the
// service. Bookings may be retried while only lookups and downloads wait.
func (c *Controller) Overloaded(name topology.ServiceName, class Class) bool {
	over := false
	c.update(name, func(core *scheduler, now time.Duration) { over = core.overloaded(now, min(class, classCount-1)) })
	return over
}

// InFlight returns this host's own requests per server, for its load report.
func (c *Controller) InFlight(name topology.ServiceName) map[topology.ServerName]int {
	out := map[topology.ServerName]int{}
	c.update(name, func(core *scheduler, _ time.Duration) {
		for _, srv := range core.servers {
			out[srv.name] = srv.inFlight
		}
	})
	return out
}

// ticket implements Ticket.
type ticket struct {
	service *service
	server  *server
	request request
	shared  bool
	ended   atomic.Bool
}

// Server implements Ticket.
func (t *ticket) Server() topology.ServerName { return t.server.name }

// Done implements Ticket. Calls after the first have no effect.
func (t *ticket) Done(outcome Outcome, latency time.Duration) {
	if t.ended.Swap(true) {
		return
	}
	s := t.service
	s.mu.Lock()
	s.core.done(s.now(), t.server, &t.request, t.shared, outcome, latency)
	s.unlock()
}

// Admit implements Admitter. A pinned request goes to its server even if
// exclude lists it, since no other may run it.
func (c *Controller) Admit(ctx context.Context, r Request, exclude []topology.ServerName) (Ticket, error) {
	if err := ctx.Err(); err != nil {
		return nil, ended(err)
	}
	s := c.services[r.Service]
	if s == nil {
		return nil, apierror.New(apierror.KindNoUpstream, "service %s has no upstream", r.Service)
	}
	t := &ticket{service: s, request: request{
		caller: r.Caller, class: min(r.Class, classCount-1), server: r.Server, exclude: exclude,
		hasDeadline: !r.Deadline.IsZero(),
	}}
	if t.request.hasDeadline {
		t.request.deadline = r.Deadline.Sub(s.epoch)
	}
	s.mu.Lock()
	srv, w, kind := s.core.arrive(s.now(), &t.request)
	if w != nil {
		w.ready = make(chan struct{})
	}
	s.unlock()
	if kind != accepted {
		return nil, refusalError(kind, r.Service)
	}
	t.shared = r.Server == ""
	if w == nil {
		t.server = srv
		return t, nil
	}
	return s.await(ctx, t, w)
}

// await waits for the verdict on a queued request.
func (s *service) await(ctx context.Context, t *ticket, w *waiter) (Ticket, error) {
	select {
	case <-w.ready:
	case <-ctx.Done():
		s.mu.Lock()
		waiting := s.core.cancel(w)
		s.unlock()
		if !waiting && w.server != nil {
			t.server = w.server
			t.Done(OutcomeCanceled, 0)
		}
		return nil, ended(ctx.Err())
	}
	if w.server == nil {
		return nil, refusalError(w.kind, s.core.config.Name)
	}
	t.server = w.server
	return t, nil
}

func ended(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return apierror.Wrap(apierror.KindDeadline, err, "the deadline passed before the request was sent")
	}
	return apierror.Wrap(apierror.KindCanceled, err, "the caller went away before the request was sent")
}

func refusalError(kind refusal, service topology.ServiceName) error {
	detail := "the queue of service %s is too long"
	switch kind {
	case refusedDeadline:
		detail = "service %s cannot answer before the deadline"
	case refusedNoUpstream:
		detail = "no server of service %s takes the request"
	}
	return apierror.New(kind.kind(), detail, service)
}
