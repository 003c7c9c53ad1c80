package dispatch

import "time"

// Parameters of the times at which callers return that an overloaded owner of their key
// has turned away.
const (
	// returnShare is the share of an owner's rate that is kept for callers that return.
	// More would take the place of requests that are still within their target.
	returnShare = 0.2
	// returnSlack is how much later than told a caller still gets a place.
	returnSlack = 500 * time.Millisecond
)

// returnAfter returns when a caller should return that the owner of its key can't serve
// in time, given when the queue before it will have been served. Callers get different
// times, as far apart as the owner can serve them beside new requests.
func (sched *Scheduler) returnAfter(now Instant, s *serverState, r *queuedRequest, wait time.Duration) time.Duration {
	if sched.slotShare < 1 {
		return wait // the requests of other hosts are not known
	}
	rate := returnShare * s.workCapacity(now, 1, r.Work.Seconds()) / max(r.Work.Seconds(), 1e-3)
	if s.places == nil {
		s.places = newTokenBucket(now, rate, limitBurst(rate))
	}
	s.places.setRate(now, rate, limitBurst(rate))
	wait = max(wait, minRetryAfter)
	s.promisedUntil = min(max(now.Add(wait), s.promisedUntil.Add(s.places.interval())), now.Add(max(wait, maxRetrySpread)))
	return s.promisedUntil.Sub(now)
}

// takePlace reports whether a request gets a place that is kept for callers that return.
// Callers that return earlier than they were told could take the places of all others,
// so places become free at a fixed rate.
func (s *serverState) takePlace(now Instant, r Request) bool {
	if s == nil || !r.PreviouslyRejected || s.places == nil || now > s.promisedUntil.Add(returnSlack) || s.places.delay(now, 0) > 0 {
		return false
	}
	s.places.take(now)
	return true
}

// endOverload forgets the times that callers were told once the server can serve its
// load. Later ones would be told to come after callers that have been served.
func (s *serverState) endOverload(now Instant, share, workSeconds float64) {
	if s.promisedUntil > now && s.offeredLoad.current(now) <= fullLoadRatio*s.workCapacity(now, share, workSeconds) {
		s.promisedUntil = now
	}
}
