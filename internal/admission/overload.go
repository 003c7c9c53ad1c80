package admission

import (
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// checkFeasible refuses a request that cannot meet its deadline or would wait
// too long. For others it returns the latest time at which sending still makes
// sense.
func (s *scheduler) checkFeasible(now time.Duration, r *request, queueClass Class, target *server) (sendBy time.Duration, reason refusal) {
	wait := s.expectedWait(r.caller, queueClass, target)
	sendBy = now + s.config.MaxWait
	if r.hasDeadline {
		if r.deadline <= now {
			return 0, refusedDeadline
		}
		lastStart := r.deadline - s.expectedService(r.class, target)
		// An idle server gets the request even if the estimate exceeds the
		// deadline. Without requests the estimate would never be updated and
		// the server would be refused forever.
		if now+wait > lastStart && !s.isIdle(target) {
			return 0, refusedDeadline
		}
		sendBy = min(sendBy, max(lastStart, now))
	}
	if wait > s.config.MaxWait {
		return 0, refusedOverloaded
	}
	return sendBy, accepted
}

func (s *scheduler) isIdle(target *server) bool {
	if target != nil {
		return target.inFlight == 0 && target.pinnedQueue.size == 0
	}
	return s.sharedInFlight-s.stalledShared == 0 && s.sharedQueue.size == 0
}

// expectedService returns the expected time at a server, including the server's
// queue.
func (s *scheduler) expectedService(class Class, target *server) time.Duration {
	e := &s.latencyByClass[class]
	if target != nil && e.baseline > 0 {
		return time.Duration(e.baseline * max(target.slowdown, 1))
	}
	return time.Duration(e.mean)
}

// expectedWait returns the expected time in this host's queue.
func (s *scheduler) expectedWait(caller topology.Caller, queueClass Class, target *server) time.Duration {
	mean, limit, inFlight, waiting := s.overallLatency.mean, s.window.limit, s.sharedInFlight-s.stalledShared, s.sharedQueue.size
	queue := &s.sharedQueue
	if target != nil {
		mean *= max(target.slowdown/max(s.slowdown, 1), 0.5)
		limit, inFlight, waiting, queue = target.window.limit, target.inFlight, target.pinnedQueue.size, &target.pinnedQueue
	}
	if waiting == 0 && float64(inFlight)+1 <= limit {
		return 0
	}
	ahead := queue.countAhead(caller, queueClass)
	return time.Duration(float64(ahead+1) * mean / max(limit, minLimit))
}

// evictForNewcomer refuses the newest request of the longest flow in the lowest
// waiting class. It reports false if the newcomer is of a lower class or of
// that flow itself.
func (s *scheduler) evictForNewcomer(caller topology.Caller, queueClass Class) bool {
	queue, class, f := s.longestFlow()
	if f == nil || class < queueClass || (class == queueClass && f.caller == caller) {
		return false
	}
	w := f.tail
	queue.remove(w)
	s.recordDequeue(w)
	s.resolve(w, nil, refusedOverloaded)
	return true
}

// longestFlow returns the longest flow of the lowest class that has waiting
// requests.
func (s *scheduler) longestFlow() (queue *classQueue, class Class, f *flow) {
	consider := func(q *classQueue) {
		for c := classCount; c > 0; c-- {
			longest := q.classes[c-1].longestFlow()
			if longest == nil {
				continue
			}
			if f == nil || c-1 > class || (c-1 == class && longest.size > f.size) {
				queue, class, f = q, c-1, longest
			}
			return
		}
	}
	consider(&s.sharedQueue)
	for _, srv := range s.servers {
		consider(&srv.pinnedQueue)
	}
	return queue, class, f
}

// overloaded reports whether retries of a class would add to an overload. It is
// true if the waiting requests of this and higher classes exceed the
// concurrency limit, so that they wait for longer than about one latency; if
// one of these was refused within the last second; or if more than a tenth of
// all requests is shed or fails.
func (s *scheduler) overloaded(now time.Duration, class Class) bool {
	if s.failureRate > 0.1 {
		return true
	}
	waiting := 0
	for c := Class(0); c <= class; c++ {
		waiting += s.waitingByClass[c]
		if now-s.lastRefusalAt[c] < time.Second {
			return true
		}
	}
	return float64(waiting) > s.window.limit
}
