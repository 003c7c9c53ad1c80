package dispatch

import "time"

// Parameters of the pace of requests to cold servers.
const (
	// warmupMargin is the share of what a cold server bears in any one second that a
	// dispatcher may send. The rest is for requests that are delayed on their way, so
	// that more of them arrive in one second than were sent in one.
	warmupMargin = 0.85
	// overlappingRates is how many times the sustained rate may be sent while the
	// dispatcher of a service changes: by the former dispatcher, by the next one, and
	// by hosts that have neither. idleTokens is how many requests the next one may send
	// at once then.
	overlappingRates = 2 + localRateShare
	idleTokens       = 1
	// minWarmupShare is the least share of the sustained rate that a cold server gets
	// if the bound for one second leaves room for less. Without any request it would be
	// as if gone.
	minWarmupShare = 0.1
	// dutyIdle is how long a dispatcher has had no request of a service when others may
	// have placed them. It exceeds the time in which a pace saves up its burst.
	dutyIdle = 3 * time.Second
)

// WarmupCounts counts requests that concern cold servers with a pace.
type WarmupCounts struct {
	// Sent counts requests that were assigned to a cold server, and Delayed those of
	// them that had been queued.
	Sent, Delayed int64
	// Rejected counts requests that the pace of a cold server did not allow in time.
	Rejected int64
	// Cold is how many servers are cold now.
	Cold int64
}

// add adds other counts.
func (c *WarmupCounts) add(other WarmupCounts) {
	c.Sent += other.Sent
	c.Delayed += other.Delayed
	c.Rejected += other.Rejected
	c.Cold += other.Cold
}

// WarmupTransition is a server's turn to cold or to warm.
type WarmupTransition struct {
	Server, Service string
	Cold            bool
	// Rate is how many requests per second of all hosts the server may get while it is
	// cold.
	Rate float64
	// Sent is how many requests it has got since it turned cold; 0 when it does.
	Sent int64
}

// isCold reports whether the server has a pace because it is cold.
func (s *Server) isCold() bool { return s.Warmup > 0 && s.WarmupRate > 0 }

// warmupPace returns the rate of requests to a cold server, in requests per second, and
// how many it may get at once, given what it bears in the long run and in any one second.
func warmupPace(rate, maxPerSecond float64) (paceRate, burst float64) {
	burst = min(warmupMargin*maxPerSecond-rate, maxPerSecond-overlappingRates*rate-idleTokens)
	if burst >= 1 {
		return rate, burst
	}
	// The slack is small. There must be room for one request at once, so that the rate
	// gives way, and hosts without the dispatcher must fit in.
	room := min(warmupMargin*maxPerSecond-1, (maxPerSecond-1)/(1+localRateShare))
	return min(rate, max(room, minWarmupShare*rate)), 1
}

// coldPace returns the rate and the burst of a cold server that announces the given
// limit, 0 for none: the lower of each.
func (s *serverState) coldPace(limit float64) (rate, burst float64) {
	rate, burst = warmupPace(s.WarmupRate, s.WarmupMax)
	if limit > 0 {
		rate, burst = min(rate, limit), min(burst, limitBurst(limit))
	}
	return rate, burst
}

// updateWarmup applies a turn of the server to cold or to warm, given its former entry.
func (sched *Scheduler) updateWarmup(now Instant, s *serverState, previous Server) {
	restarted := previous.Incarnation != s.Incarnation
	wasCold, cold := previous.isCold(), s.isCold()
	turnsCold := cold && (!wasCold || restarted)
	switch {
	case turnsCold, cold && s.Warmup != previous.Warmup:
		s.warmupEnd = now.Add(s.Warmup)
	case s.Warmup == 0 && wasCold:
		s.warmupEnd = now
	}
	if restarted {
		s.momentary = momentaryTime{}
	}
	if turnsCold {
		s.sentCold = 0
		// What a dispatcher has just sent to the warm server is not known to the
		// pace, so that it starts anew.
		if sched.slotShare >= 1 {
			s.limit = nil
		}
	}
	if cold != wasCold || turnsCold || cold && (s.WarmupRate != previous.WarmupRate || s.WarmupMax != previous.WarmupMax) {
		sched.updatePace(now, s)
	}
	if turnsCold || wasCold && !cold {
		sched.transitions = append(sched.transitions, WarmupTransition{Server: s.ID, Cold: cold, Rate: max(s.WarmupRate, previous.WarmupRate), Sent: s.sentCold})
	}
}

// warmTime returns how long work that took elapsed at a paced server takes when it is
// warm. The speed would otherwise be halved twice, and stay low after the warmup.
func (s *serverState) warmTime(now Instant, elapsed time.Duration) time.Duration {
	if s.isCold() && now < s.warmupEnd {
		return time.Duration(float64(elapsed) * warmupSpeedFactor)
	}
	return elapsed
}

// noteSubmit leaves idleTokens in the paces of cold servers if this dispatcher has had no
// request for dutyIdle. Hosts may learn that it dispatches the service before it does
// itself, and then the former dispatcher may still send.
func (sched *Scheduler) noteSubmit(now Instant) {
	idle := now.Sub(sched.lastSubmitAt)
	sched.lastSubmitAt = now
	if idle < dutyIdle || sched.slotShare < 1 {
		return
	}
	for _, s := range sched.sortedServers {
		if !s.isCold() || s.limit == nil {
			continue
		}
		if bucket, ok := s.limit.pacer.(*tokenBucket); ok {
			bucket.refill(now)
			bucket.tokens = min(bucket.tokens, idleTokens)
		}
	}
}

// take counts a request to the server that was queued for the given time.
func (sched *Scheduler) take(now Instant, s *serverState, queued time.Duration) {
	if s.limit != nil {
		s.limit.take(now)
	}
	if !s.isCold() {
		return
	}
	s.sentCold++
	sched.warmups.Sent++
	if queued > 0 {
		sched.warmups.Delayed++
	}
}

// rejectPaced completes the decision to reject a request that the limit of a server does
// not allow in time.
func (sched *Scheduler) rejectPaced(now Instant, s *serverState, decision Decision, wait time.Duration) Decision {
	if s.isCold() {
		sched.warmups.Rejected++
	}
	return reject(decision, ReasonRateLimited, s.limit.retryAfter(now, wait))
}

// OutOfTurn returns the servers that get no request of this host now because of their
// limits or, if coldOnly is true, because they are cold.
func (sched *Scheduler) OutOfTurn(now Instant, coldOnly bool) (servers []string) {
	for _, s := range sched.sortedServers {
		if s.paceDelay(now, 0) > 0 && (!coldOnly || s.isCold()) {
			servers = append(servers, s.ID)
		}
	}
	return servers
}

// takeTransitions returns the turns of servers to cold and to warm since the last call.
func (sched *Scheduler) takeTransitions() []WarmupTransition {
	out := sched.transitions
	sched.transitions = nil
	return out
}

// warmupCounts returns the counts up to now.
func (sched *Scheduler) warmupCounts() WarmupCounts {
	counts := sched.warmups
	for _, s := range sched.sortedServers {
		if s.isCold() {
			counts.Cold++
		}
	}
	return counts
}
