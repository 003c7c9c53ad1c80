package admission

import (
	"math"
	"time"

	"github.com/cassiasill/cassiasill/internal/balance"
)

// nextEvent is the next time at which expire has something to do.
func (s *scheduler) nextEvent() time.Duration {
	next := time.Duration(math.MaxInt64)
	if s.waiting == 0 {
		return next
	}
	next = s.expiries[0].latest + 1
	for i, srv := range s.servers {
		if srv.paused {
			next = min(next, srv.notBefore)
		}
		if s.view.Servers[i].State == balance.StateEjected {
			next = min(next, max(s.outliers[i].Until(), s.checkAt))
		}
		if srv.inFlight > 0 && !srv.stalled {
			next = min(next, max(s.stallAt(srv), s.checkAt))
		}
	}
	return next
}

// expire refuses the requests that can no longer be sent in time and grants
// what time alone has made possible.
func (s *scheduler) expire(now time.Duration) {
	for len(s.expiries) > 0 && s.expiries[0].latest < now {
		w := s.expiries[0]
		w.queue.remove(w)
		s.dequeued(w)
		kind := refusedOverloaded
		if w.deadline {
			kind = refusedDeadline
		}
		s.refused(now, w.class)
		s.resolve(w, nil, kind)
	}
	s.check(now)
	s.dispatch(now, nil)
}
