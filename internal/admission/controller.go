// Package admission decides when a request is sent and to which server. It
// combines deadline checks, fair queues, priority classes and adaptive
// concurrency limits.
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

// ServerState is a server's state as set by health checks and operators.
type ServerState uint8

const (
	ServerReady ServerState = iota
	ServerLeaving
	ServerGone
)

// ServerConfig describes one server of a service.
type ServerConfig struct {
	Name             topology.ServerName
	AvailabilityZone topology.AvailabilityZone
	Slots            int // 0 means ServiceConfig.Slots
}

// ServiceConfig describes a service. Zero values are replaced by defaults.
type ServiceConfig struct {
	Name    topology.ServiceName
	Servers []ServerConfig
	// Slots is the number of requests that a server runs concurrently, 2 by
	// default.
	Slots int
	// MaxWait bounds the time that a request is queued, 2 s by default.
	MaxWait time.Duration
	// MaxQueued bounds the number of queued requests and thereby the memory of
	// the queues, 8192 by default.
	MaxQueued int
	// Warmup is the time in which a new or returning server reaches its full
	// share of requests, 2 s by default.
	Warmup time.Duration
	// Policy chooses the server of a request that is not pinned to one. It may
	// hold state and must not be shared with another service.
	Policy balance.Policy
	// AvailabilityZone is the availability zone of this host.
	AvailabilityZone topology.AvailabilityZone
}

func (c ServiceConfig) withDefaults() ServiceConfig {
	if c.Slots <= 0 {
		c.Slots = 2
	}
	if c.MaxWait <= 0 {
		c.MaxWait = 2 * time.Second
	}
	if c.MaxQueued <= 0 {
		c.MaxQueued = 8192
	}
	if c.Warmup <= 0 {
		c.Warmup = 2 * time.Second
	}
	if c.Policy == nil {
		c.Policy = balance.HostQuota{}
	}
	return c
}

// LoadReport is a load report on one server that hosts share: the number of
// requests at the server, those of all hosts included, as known Age ago.
type LoadReport struct {
	Server   topology.ServerName
	InFlight float64
	Age      time.Duration
}

// Controller implements Admitter for the services passed to New.
type Controller struct {
	services map[topology.ServiceName]*service
	epoch    time.Time
}

var _ Admitter = (*Controller)(nil)

// service guards the scheduler of one service and its timer.
type service struct {
	mu      sync.Mutex
	core    *scheduler
	epoch   time.Time
	timer   *time.Timer
	timerAt time.Duration // time of the timer's next run, or math.MaxInt64 if it is not set
	closed  bool
}

// New returns a Controller. The seed initializes the random choices.
func New(services []ServiceConfig, seed uint64) *Controller {
	c := &Controller{services: make(map[topology.ServiceName]*service, len(services)), epoch: time.Now()}
	for i, config := range services {
		c.services[config.Name] = &service{
			core:  newScheduler(config, rand.New(rand.NewPCG(seed, uint64(i)))),
			epoch: c.epoch, timerAt: math.MaxInt64,
		}
	}
	return c
}

// Close stops the timers. Requests that still wait then end through their
// contexts.
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

// resolveAndUnlock wakes the waiters that have a decision, sets the timer and
// releases the lock.
func (s *service) resolveAndUnlock() {
	if len(s.core.resolved) > 0 {
		s.core.drainResolved(func(w *waiter) { close(w.ready) })
	}
	if next := s.core.nextEvent(); next < s.timerAt && !s.closed {
		s.timerAt = next
		delay := next - s.now()
		if s.timer == nil {
			s.timer = time.AfterFunc(delay, s.onTimer)
		} else {
			s.timer.Reset(delay)
		}
	}
	s.mu.Unlock()
}

func (s *service) onTimer() {
	s.mu.Lock()
	s.timerAt = math.MaxInt64
	s.core.expire(s.now())
	s.resolveAndUnlock()
}

// withScheduler calls change with the lock of the service held, if the service
// exists.
func (c *Controller) withScheduler(name topology.ServiceName, change func(*scheduler, time.Duration)) {
	s := c.services[name]
	if s == nil {
		return
	}
	s.mu.Lock()
	change(s.core, s.now())
	s.resolveAndUnlock()
}

// SetHosts sets this host's rank among the live hosts and their number for
// every service.
func (c *Controller) SetHosts(rank, live int) {
	for name := range c.services {
		c.withScheduler(name, func(core *scheduler, now time.Duration) { core.setHosts(now, rank, live) })
	}
}

// SetServers replaces the servers of a service.
func (c *Controller) SetServers(name topology.ServiceName, servers []ServerConfig) {
	c.withScheduler(name, func(core *scheduler, now time.Duration) { core.setServers(now, servers) })
}

// SetState changes the state of a server. Once it has returned, a leaving or
// gone server gets no new request. Requests pinned to it, including those that
// already wait, fail with no-upstream.
func (c *Controller) SetState(name topology.ServiceName, server topology.ServerName, state ServerState) {
	c.withScheduler(name, func(core *scheduler, now time.Duration) { core.setState(now, server, state) })
}

// ObserveLoad applies load reports on the servers of a service.
func (c *Controller) ObserveLoad(name topology.ServiceName, reports ...LoadReport) {
	c.withScheduler(name, func(core *scheduler, now time.Duration) {
		for _, r := range reports {
			core.observe(now, r)
		}
	})
}

// Overloaded reports whether retries of the class would add to an overload of
// the service. Bookings may be retried while only lookups and downloads wait.
func (c *Controller) Overloaded(name topology.ServiceName, class Class) bool {
	overloaded := false
	c.withScheduler(name, func(core *scheduler, now time.Duration) { overloaded = core.overloaded(now, min(class, classCount-1)) })
	return overloaded
}

// InFlight returns the number of this host's requests per server, for its load
// report.
func (c *Controller) InFlight(name topology.ServiceName) map[topology.ServerName]int {
	counts := map[topology.ServerName]int{}
	c.withScheduler(name, func(core *scheduler, _ time.Duration) {
		for _, srv := range core.servers {
			counts[srv.name] = srv.inFlight
		}
	})
	return counts
}

// ticket implements Ticket.
type ticket struct {
	service *service
	server  *server
	request request
	shared  bool
	isDone  atomic.Bool
}

// Server implements Ticket.
func (t *ticket) Server() topology.ServerName { return t.server.name }

// Done implements Ticket. Calls after the first have no effect.
func (t *ticket) Done(outcome Outcome, latency time.Duration) {
	if t.isDone.Swap(true) {
		return
	}
	s := t.service
	s.mu.Lock()
	s.core.done(s.now(), t.server, &t.request, t.shared, outcome, latency)
	s.resolveAndUnlock()
}

// Admit implements Admitter. A pinned request goes to its server even if
// exclude lists it, because no other server may run it.
func (c *Controller) Admit(ctx context.Context, r Request, exclude []topology.ServerName) (Ticket, error) {
	if err := ctx.Err(); err != nil {
		return nil, contextError(err)
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
	srv, w, reason := s.core.arrive(s.now(), &t.request)
	if w != nil {
		w.ready = make(chan struct{})
	}
	s.resolveAndUnlock()
	if reason != accepted {
		return nil, refusalError(reason, r.Service)
	}
	t.shared = r.Server == ""
	if w == nil {
		t.server = srv
		return t, nil
	}
	return s.await(ctx, t, w)
}

// await waits for the decision on a queued request. If ctx ends after the
// request was granted a server, the grant is returned as canceled.
func (s *service) await(ctx context.Context, t *ticket, w *waiter) (Ticket, error) {
	select {
	case <-w.ready:
	case <-ctx.Done():
		s.mu.Lock()
		waiting := s.core.cancel(w)
		s.resolveAndUnlock()
		if !waiting && w.server != nil {
			t.server = w.server
			t.Done(OutcomeCanceled, 0)
		}
		return nil, contextError(ctx.Err())
	}
	if w.server == nil {
		return nil, refusalError(w.reason, s.core.config.Name)
	}
	t.server = w.server
	return t, nil
}

func contextError(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return apierror.Wrap(apierror.KindDeadlineUnreachable, err, "the deadline passed before the request was sent")
	}
	return apierror.Wrap(apierror.KindCanceled, err, "the caller went away before the request was sent")
}

func refusalError(reason refusal, service topology.ServiceName) error {
	detail := "the queue of service %s is too long"
	switch reason {
	case refusedDeadline:
		detail = "service %s cannot answer before the deadline"
	case refusedNoUpstream:
		detail = "no server of service %s takes the request"
	}
	return apierror.New(reason.errorKind(), detail, service)
}
