package admission

import (
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// judge refuses a request that cannot meet its deadline or would wait too
// long, and returns the last moment at which sending it makes sense.
func (s *scheduler) judge(now time.Duration, r *request, rank Class, target *server) (latest time.Duration, kind refusal) {
	wait := s.expectedWait(r.caller, rank, target)
	latest = now + s.config.MaxWait
	if r.hasDeadline {
		if r.deadline <= now {
			return 0, refusedDeadline
		}
		lastStart := r.deadline - s.expectedService(r.class, target)
		// An idle upstream gets the request even if the estimate says no: an
		// estimate that nothing renews would refuse forever.
		if now+wait > lastStart && !s.idle(target) {
			return 0, refusedDeadline
		}
		latest = min(latest, max(lastStart, now))
	}
	if wait > s.config.MaxWait {
		return 0, refusedOverloaded
	}
	return latest, accepted
}

func (s *scheduler) idle(target *server) bool {
	if target != nil {
		return target.inFlight == 0 && target.pinned.size == 0
	}
	return s.inFlight-s.stuck == 0 && s.shared.size == 0
}

// expectedService is the time at a server, its queue included.
func (s *scheduler) expectedService(class Class, target *server) time.Duration {
	e := &s.latencies[class]
	if target != nil && e.baseline > 0 {
		return time.Duration(e.baseline * max(target.slowdown, 1))
	}
	return time.Duration(e.mean)
}

// expectedWait is the time in this host's queue.
func (s *scheduler) expectedWait(caller topology.Caller, rank Class, target *server) time.Duration {
	mean, limit, inFlight, size := s.overall.mean, s.window.limit, s.inFlight-s.stuck, s.shared.size
	queue := &s.shared
	if target != nil {
		mean *= max(target.slowdown/max(s.slowdown, 1), 0.5)
		limit, inFlight, size, queue = target.window.limit, target.inFlight, target.pinned.size, &target.pinned
	}
	if size == 0 && float64(inFlight)+1 <= limit {
		return 0
	}
	ahead := queue.ahead(caller, rank)
	return time.Duration(float64(ahead+1) * mean / max(limit, minWindow))
}

// makeRoom drops the newest request of the longest flow in the least important
// class, if that is not the newcomer's own kind.
func (s *scheduler) makeRoom(caller topology.Caller, rank Class) bool {
	queue, class, f := s.largest()
	if f == nil || class < rank || (class == rank && f.caller == caller) {
		return false
	}
	w := f.tail
	queue.remove(w)
	s.dequeued(w)
	s.resolve(w, nil, refusedOverloaded)
	return true
}

// largest returns the longest flow of the least important class that waits.
func (s *scheduler) largest() (queue *classQueue, class Class, f *flow) {
	consider := func(q *classQueue) {
		for c := classCount; c > 0; c-- {
			longest := q.classes[c-1].longest()
			if longest == nil {
				continue
			}
			if f == nil || c-1 > class || (c-1 == class && longest.size > f.size) {
				queue, class, f = q, c-1, longest
			}
			return
		}
	}
	consider(&s.shared)
	for _, srv := range s.servers {
		consider(&srv.pinned)
	}
	return queue, class, f
}

// overloaded tells whether retries of a class would add to an overload: its
// requests, or more important ones, wait for longer than one usual latency or
// were refused within the last second, or a tenth of all is shed or fails.
func (s *scheduler) overloaded(now time.Duration, class Class) bool {
	if s.shedShare > 0.1 {
		return true
	}
	waiting := 0
	for c := Class(0); c <= class; c++ {
		waiting += s.queued[c]
		if now-s.refusedAt[c] < time.Second {
			return true
		}
	}
	return float64(waiting) > s.window.limit
}
