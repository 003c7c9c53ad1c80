package admission

import (
	"math"
	"time"

	"github.com/cassiasill/cassiasill/internal/balance"
)

// nextEvent returns the next time at which expire has something to do.
func (s *scheduler) nextEvent() time.Duration {
	next := time.Duration(math.MaxInt64)
	if s.waitingCount == 0 {
		return next
	}
	next = s.expiries[0].sendBy + 1
	for i, srv := range s.servers {
		if srv.paused {
			next = min(next, srv.notBefore)
		}
		if s.view.Servers[i].State == balance.StateEjected {
			next = min(next, max(s.outliers[i].EjectedUntil(), s.refreshAt))
		}
		if srv.inFlight > 0 && !srv.stalled {
			next = min(next, max(s.stallDeadline(srv), s.refreshAt))
		}
	}
	return next
}

// expire refuses the requests that can no longer be sent in time, and grants
// those that became possible by the passage of time.
func (s *scheduler) expire(now time.Duration) {
	for len(s.expiries) > 0 && s.expiries[0].sendBy < now {
		w := s.expiries[0]
		w.queue.remove(w)
		s.recordDequeue(w)
		reason := refusedOverloaded
		if w.boundByDeadline {
			reason = refusedDeadline
		}
		s.recordRefusal(now, w.class)
		s.resolve(w, nil, reason)
	}
	s.refreshTimedState(now)
	s.dispatch(now, nil)
}
