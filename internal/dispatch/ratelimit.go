package dispatch

import "time"

// Times at which callers return that a rate limit has turned away.
const (
	// maxRetrySpread bounds how far ahead rejected callers are given times to return.
	maxRetrySpread = 5 * time.Second
	// maxLocalRetryAfter bounds the Retry-After while requests are placed without the
	// dispatcher; another one is named within about this time.
	maxLocalRetryAfter = 2 * time.Second
)

// limitBurst returns how many requests a limit allows at once after a pause.
func limitBurst(rate float64) float64 { return max(1, rate*burstWindow.Seconds()) }

// rateLimit is the limit of one server in a Scheduler: the one that it announces, its
// pace while it is cold, or the lower of both.
type rateLimit struct {
	pacer
	// local is true if the requests of other hosts are not known.
	local bool
	// promisedUntil is the latest time that a rejected caller was told to return at.
	promisedUntil Instant
}

// retryAfter returns when a rejected caller should return, given when the request
// could be sent. Callers get different times, as the limit serves only one at each.
func (l *rateLimit) retryAfter(now Instant, wait time.Duration) time.Duration {
	if l.local {
		return min(wait, maxLocalRetryAfter)
	}
	at := min(max(now.Add(wait), l.promisedUntil.Add(l.interval())), now.Add(max(wait, maxRetrySpread)))
	l.promisedUntil = at
	return at.Sub(now)
}

// restartPace forgets what the limits of the servers allow at once. A dispatcher that
// takes over a service does not know what its predecessor has just sent.
func (sched *Scheduler) restartPace(now Instant) {
	for _, s := range sched.sortedServers {
		s.limit = nil
		sched.updatePace(now, s)
	}
}

// SetRateLimit sets the limit of a server, in requests per second of all hosts
// together, and returns the resulting decisions. A rate of 0 removes it.
func (sched *Scheduler) SetRateLimit(now Instant, server string, rate float64) []Decision {
	if rate > 0 {
		sched.rateLimits[server] = rate
	} else {
		delete(sched.rateLimits, server)
	}
	if s := sched.servers[server]; s != nil {
		sched.updatePace(now, s)
	}
	return sched.Reschedule(now)
}

// updatePace adapts the pace of requests to a server to its limit, to what it bears
// while it is cold, and to this Scheduler's share.
func (sched *Scheduler) updatePace(now Instant, s *serverState) {
	rate, local := sched.rateLimits[s.ID], sched.slotShare < 1
	burst := limitBurst(rate)
	if s.isCold() {
		rate, burst = s.coldPace(rate)
	}
	if local {
		rate *= sched.slotShare * localRateShare
	}
	switch {
	case rate <= 0:
		s.limit = nil
	case s.limit != nil && s.limit.local == local:
		s.limit.setRate(now, rate, burst)
	case local:
		s.limit = &rateLimit{pacer: newTurns(now, rate, hashToUnit(sched.seed, s.ID)), local: true}
	default:
		s.limit = &rateLimit{pacer: newTokenBucket(now, rate, burst)}
	}
}

// paceDelay returns how long the limit delays a request that comes after ahead
// others.
func (s *serverState) paceDelay(now Instant, ahead int) time.Duration {
	if s.limit == nil {
		return 0
	}
	return s.limit.delay(now, ahead)
}

// workCapacity returns the work per second that the server can serve within a share
// of its slots and its limit, given the work of a request.
func (s *serverState) workCapacity(now Instant, share, workSeconds float64) float64 {
	capacity := s.lastingSpeed(now) * float64(s.Slots) * share
	if s.limit != nil {
		capacity = min(capacity, workSeconds/s.limit.interval().Seconds())
	}
	return capacity
}

// TakeTurn counts a request to a server that another dispatcher chose without regard
// to its limit, or, if coldOnly is true, to its pace while it is cold. It returns false,
// and when to retry, if the limit does not allow it.
func (sched *Scheduler) TakeTurn(now Instant, server string, coldOnly bool) (retryAfter time.Duration, ok bool) {
	s := sched.servers[server]
	if s == nil || s.limit == nil || coldOnly && !s.isCold() {
		return 0, true
	}
	if wait := s.paceDelay(now, 0); wait > 0 {
		if s.isCold() {
			sched.warmups.Rejected++
		}
		return s.limit.retryAfter(now, wait), false
	}
	sched.take(now, s, 0)
	return 0, true
}
