package admission

import (
	"math/rand/v2"
	"time"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// Scheduler exposes the scheduling of the Controller for one service to
// programs that supply the time and call it from one goroutine, such as the
// benchmark.
type Scheduler struct{ core *scheduler }

// Arrival is a request that arrives at the Scheduler.
type Arrival struct {
	Caller   topology.Caller
	Class    Class
	Deadline time.Duration
	Server   topology.ServerName
	Exclude  []topology.ServerName
}

// Decision is the result of an Arrival: a server, or the error kind of the
// refusal.
type Decision struct {
	Server      topology.ServerName
	RefusalKind apierror.Kind

	target  *server
	request *request
}

// NewScheduler returns a Scheduler whose clock starts at zero.
func NewScheduler(config ServiceConfig, random *rand.Rand) *Scheduler {
	return &Scheduler{core: newScheduler(config, random)}
}

// Arrive calls onDecision once the request is granted a server or refused. The
// call comes during Arrive or during a later method of the Scheduler.
func (s *Scheduler) Arrive(now time.Duration, a Arrival, onDecision func(Decision)) {
	r := &request{
		caller: a.Caller, class: a.Class, deadline: a.Deadline, hasDeadline: true,
		server: a.Server, exclude: a.Exclude,
	}
	srv, w, reason := s.core.arrive(now, r)
	if w != nil {
		w.onResolved = func() { onDecision(newDecision(w.server, r, w.reason)) }
	}
	s.flush()
	if w == nil {
		onDecision(newDecision(srv, r, reason))
	}
}

func newDecision(srv *server, r *request, reason refusal) Decision {
	if reason != accepted {
		return Decision{RefusalKind: reason.errorKind()}
	}
	return Decision{Server: srv.name, target: srv, request: r}
}

// Done records the end of a granted request.
func (s *Scheduler) Done(now time.Duration, g Decision, outcome Outcome, latency time.Duration) {
	s.core.done(now, g.target, g.request, g.request.server == "", outcome, latency)
	s.flush()
}

// NextEvent returns the time at which Expire must be called unless another
// method is called first.
func (s *Scheduler) NextEvent() time.Duration { return s.core.nextEvent() }

// Expire refuses requests that have waited too long and grants those that
// became possible by the passage of time.
func (s *Scheduler) Expire(now time.Duration) {
	s.core.expire(now)
	s.flush()
}

// SetHosts sets this host's rank among the live hosts and their number.
func (s *Scheduler) SetHosts(now time.Duration, rank, live int) {
	s.core.setHosts(now, rank, live)
	s.flush()
}

// SetState changes the state of a server.
func (s *Scheduler) SetState(now time.Duration, server topology.ServerName, state ServerState) {
	s.core.setState(now, server, state)
	s.flush()
}

// ObserveLoad applies a load report.
func (s *Scheduler) ObserveLoad(now time.Duration, report LoadReport) { s.core.observe(now, report) }

// Overloaded reports whether retries of the class would add to an overload.
func (s *Scheduler) Overloaded(now time.Duration, class Class) bool {
	return s.core.overloaded(now, class)
}

func (s *Scheduler) flush() {
	// A callback may call the scheduler again and resolve more waiters.
	for len(s.core.resolved) > 0 {
		batch := s.core.resolved
		s.core.resolved = nil
		for _, w := range batch {
			w.onResolved()
		}
	}
}
