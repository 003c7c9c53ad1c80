package admission

import (
	"time"
)

// done records the end of a request at srv and grants waiting requests that fit
// now.
func (s *scheduler) done(now time.Duration, srv *server, r *request, shared bool, outcome Outcome, latency time.Duration) {
	s.window.dither, srv.window.dither = s.random.Float64(), s.random.Float64()
	srv.inFlight--
	srv.inFlightByClass[r.class]--
	if shared {
		srv.sharedInFlight--
		s.sharedInFlight--
		if srv.stalledShared > 0 {
			srv.stalledShared--
			s.stalledShared--
		}
	}
	wasStalled := srv.stalled
	if outcome != OutcomeCanceled {
		s.recordOutcome(now, srv, r, shared, wasStalled, outcome, latency)
		srv.lastProgressAt = now
		s.clearStall(srv)
	} else if srv.inFlight == 0 {
		s.clearStall(srv)
	}
	s.syncView(srv)
	s.refreshTimedState(now)
	s.dispatch(now, srv)
}

func (s *scheduler) recordOutcome(now time.Duration, srv *server, r *request, shared, wasStalled bool, outcome Outcome, latency time.Duration) {
	if outcome == OutcomeTimeout && latency < s.latencyByClass[r.class].highLatency() {
		return // sent shortly before its deadline, so it says nothing about the server
	}
	failed := 0.0
	if outcome != OutcomeOK {
		failed = 1
	}
	s.failureRate += meanSmoothing * (failed - s.failureRate)
	estimate := &s.latencyByClass[r.class]
	if outcome == OutcomeOK {
		estimate.observe(now, latency)
		s.overallLatency.observe(now, latency)
		slowdown := estimate.slowdown(latency)
		s.slowdown += meanSmoothing * (slowdown - s.slowdown)
		srv.slowdown += serverSmoothing * (slowdown - srv.slowdown)
		if s.waitingCount > 0 {
			s.callerUsage.updateCost(r.caller, float64(latency)/max(estimate.mean, 1))
		}
	}
	if srv.index >= 0 {
		s.outliers[srv.index].Observe(outcome == OutcomeOK)
		v := &s.view.Servers[srv.index]
		v.Slowdown, v.ObservedAt = srv.slowdown, now
	}
	meanLatency := time.Duration(s.overallLatency.mean)
	signal := outcome
	if outcome == OutcomeFailed {
		signal = OutcomeShed // a server that fails fast must not attract load either
	}
	base := srv.window.share
	if shared {
		// The service's window already limits shared requests to the share of
		// all servers. One server may get one request more than its part of
		// that share.
		base++
	}
	srv.window.adapt(now, base, signal, srv.slowdown, s.serverPressure(now, srv), meanLatency)
	if shared && outcome != OutcomeFailed && !wasStalled && !s.isOnlyShedder(srv, outcome) {
		s.window.adapt(now, s.window.share, outcome, s.slowdown, s.reportedPressure, meanLatency)
	}
	pause := srv.window.pauseAfterRequest(meanLatency)
	if signal == OutcomeShed {
		// A refusal returns much faster than a response. Without a pause, the
		// refusing server would look free and get the next request at once.
		pause += time.Duration(float64(meanLatency) * (0.5 + s.random.Float64()))
	}
	if pause > 0 {
		srv.notBefore = now + pause
		srv.paused = true
	}
}

// isOnlyShedder reports whether srv is the only server that has shed lately.
// The fault is then specific to the server, and the service's window is not
// decreased.
func (s *scheduler) isOnlyShedder(srv *server, outcome Outcome) bool {
	if outcome != OutcomeShed {
		return false
	}
	onlyShedder := s.lastShedBy == srv || s.lastShedBy == nil
	s.lastShedBy = srv
	return onlyShedder
}

// serverSmoothing is higher than meanSmoothing because each host sees only a
// part of a server's requests.
const serverSmoothing = 0.2
