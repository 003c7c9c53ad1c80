package admission

import (
	"math/rand/v2"
	"time"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// Scheduler is the core of the Controller for one service, for programs that
// bring their own clock and run it from one goroutine, such as the benchmark.
type Scheduler struct{ core *scheduler }

// Arrival is a request that asks for a server.
type Arrival struct {
	Caller   topology.Caller
	Class    Class
	Deadline time.Duration
	Server   topology.ServerName
	Exclude  []topology.ServerName
}

// Grant is the verdict on an Arrival: a server, or the kind of the refusal.
type Grant struct {
	Server  topology.ServerName
	Refused apierror.Kind

	to      *server
	request *request
}

// NewScheduler returns a Scheduler whose clock starts at zero.
func NewScheduler(config ServiceConfig, random *rand.Rand) *Scheduler {
	return &Scheduler{core: newScheduler(config, random)}
}

// Arrive calls verdict when the request is granted or refused, which may be
// during this call or a later one.
func (s *Scheduler) Arrive(now time.Duration, a Arrival, verdict func(Grant)) {
	r := &request{
		caller: a.Caller, class: a.Class, deadline: a.Deadline, hasDeadline: true,
		server: a.Server, exclude: a.Exclude,
	}
	srv, w, kind := s.core.arrive(now, r)
	if w != nil {
		w.verdict = func() { verdict(grantOf(w.server, r, w.kind)) }
	}
	s.flush()
	if w == nil {
		verdict(grantOf(srv, r, kind))
	}
}

func grantOf(srv *server, r *request, kind refusal) Grant {
	if kind != accepted {
		return Grant{Refused: kind.kind()}
	}
	return Grant{Server: srv.name, to: srv, request: r}
}

// Done records the end of a granted request.
func (s *Scheduler) Done(now time.Duration, g Grant, outcome Outcome, latency time.Duration) {
	s.core.done(now, g.to, g.request, g.request.server == "", outcome, latency)
	s.flush()
}

// NextEvent is the time at which Expire must be called unless another call
// comes first.
func (s *Scheduler) NextEvent() time.Duration { return s.core.nextEvent() }

// Expire refuses what waited too long and grants what time has made possible.
func (s *Scheduler) Expire(now time.Duration) {
	s.core.expire(now)
	s.flush()
}

// SetHosts tells this host's rank and the number of live hosts.
func (s *Scheduler) SetHosts(now time.Duration, rank, live int) {
	s.core.setHosts(now, rank, live)
	s.flush()
}

// SetState changes the state of a server.
func (s *Scheduler) SetState(now time.Duration, server topology.ServerName, state ServerState) {
	s.core.setState(now, server, state)
	s.flush()
}

// Observe takes a shared report.
func (s *Scheduler) Observe(now time.Duration, report Report) { s.core.observe(now, report) }

// Overloaded tells whether retries would add to an overload.
func (s *Scheduler) Overloaded(now time.Duration, class Class) bool {
	return s.core.overloaded(now, class)
}

func (s *Scheduler) flush() {
	// A verdict may call back into the scheduler and resolve more waiters.
	for len(s.core.resolved) > 0 {
		batch := s.core.resolved
		s.core.resolved = nil
		for _, w := range batch {
			w.verdict()
		}
	}
}
