package admission

import (
	"time"
)

// done records the end of a request at srv and grants what can be sent now.
func (s *scheduler) done(now time.Duration, srv *server, r *request, shared bool, outcome Outcome, latency time.Duration) {
	s.window.dither, srv.window.dither = s.random.Float64(), s.random.Float64()
	srv.inFlight--
	srv.classes[r.class]--
	if shared {
		srv.shared--
		s.inFlight--
		if srv.stuck > 0 {
			srv.stuck--
			s.stuck--
		}
	}
	wasStalled := srv.stalled
	if outcome != OutcomeCanceled {
		s.learn(now, srv, r, shared, wasStalled, outcome, latency)
		srv.progressAt = now
		s.unstall(srv)
	} else if srv.inFlight == 0 {
		s.unstall(srv)
	}
	s.sync(srv)
	s.check(now)
	s.dispatch(now, srv)
}

func (s *scheduler) learn(now time.Duration, srv *server, r *request, shared, wasStalled bool, outcome Outcome, latency time.Duration) {
	if outcome == OutcomeTimeout && latency < s.latencies[r.class].late() {
		return // sent with little time left: it tells nothing about the server
	}
	bad := 0.0
	if outcome != OutcomeOK {
		bad = 1
	}
	s.shedShare += meanGain * (bad - s.shedShare)
	estimate := &s.latencies[r.class]
	if outcome == OutcomeOK {
		estimate.observe(now, latency)
		s.overall.observe(now, latency)
		slowdown := estimate.slowdown(latency)
		s.slowdown += meanGain * (slowdown - s.slowdown)
		srv.slowdown += serverGain * (slowdown - srv.slowdown)
		if s.waiting > 0 {
			s.callers.learn(r.caller, float64(latency)/max(estimate.mean, 1))
		}
	}
	if srv.index >= 0 {
		s.outliers[srv.index].Observe(outcome == OutcomeOK)
		v := &s.view.Servers[srv.index]
		v.Slowdown, v.ObservedAt = srv.slowdown, now
	}
	usual := time.Duration(s.overall.mean)
	signal := outcome
	if outcome == OutcomeFailed {
		signal = OutcomeShed // a server that fails at once must not attract load either
	}
	base := srv.window.share
	if shared {
		// The service's window already limits these to the share of all servers;
		// one server may get one request more than its part of them.
		base++
	}
	srv.window.onOutcome(now, base, signal, srv.slowdown, s.serverPressure(now, srv), usual)
	if shared && outcome != OutcomeFailed && !wasStalled && !s.lone(srv, outcome) {
		s.window.onOutcome(now, s.window.share, outcome, s.slowdown, s.pressure, usual)
	}
	pause := srv.window.pause(usual)
	if signal == OutcomeShed {
		// A refusal returns much faster than an answer; without a pause the
		// refusing server would look free and get the next request at once.
		pause += time.Duration(float64(usual) * (0.5 + s.random.Float64()))
	}
	if pause > 0 {
		srv.notBefore = now + pause
		srv.paused = true
	}
}

// lone tells whether srv alone has shed lately: then the fault is its own, and
// the service's window stays.
func (s *scheduler) lone(srv *server, outcome Outcome) bool {
	if outcome != OutcomeShed {
		return false
	}
	alone := s.lastShed == srv || s.lastShed == nil
	s.lastShed = srv
	return alone
}

// serverGain is higher than meanGain: each host sees only a part of a server's
// requests.
const serverGain = 0.2
