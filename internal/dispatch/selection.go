package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Reschedule sorts all queued requests into their queues anew and returns every
// decision that can be made at now.
func (sched *Scheduler) Reschedule(now Instant) []Decision {
	if sched.queues.size == 0 {
		return nil
	}
	sched.queues.regroup(sched.queueName)
	var decisions []Decision
	for _, name := range sched.queues.names() {
		decisions = append(decisions, sched.decideQueue(now, name)...)
	}
	return decisions
}

// queueName returns the name of the queue a request belongs to: the ID of the
// server that owns its key, or the queue for requests without a key or owner.
func (sched *Scheduler) queueName(r *queuedRequest) string {
	if sched.ownerAt == nil || r.Position < 0 {
		return unkeyedQueue
	}
	state := sched.ownerAt(r.Position)
	if state.Moving || sched.servers[state.Server] == nil {
		return unownedQueue
	}
	return state.Server
}

// owningServer returns the server that owns the request's key, nil if the request
// has no key or the key has no usable owner.
func (sched *Scheduler) owningServer(request Request) *serverState {
	if sched.ownerAt == nil || request.Position < 0 {
		return nil
	}
	return sched.servers[sched.ownerAt(request.Position).Server]
}

// decideQueue returns every decision about one queue that can be made at now.
func (sched *Scheduler) decideQueue(now Instant, name string) []Decision {
	queue := sched.queues.get(name)
	if len(queue) == 0 {
		return nil
	}
	sortQueue(queue, now)
	snap := snapshot{now: now}
	if name == unkeyedQueue {
		snap = sched.takeSnapshot(now)
	}
	var decisions []Decision
	remaining := queue[:0]
	var ahead backlog // the requests that stay queued before this one
	for _, r := range queue {
		decision, done := sched.decide(&snap, r, ahead)
		if done {
			decisions = append(decisions, decision)
			delete(sched.queues.byID, r.ID)
			continue
		}
		ahead.count++
		ahead.work += r.Work
		remaining = append(remaining, r)
	}
	sched.queues.replace(name, remaining, len(queue))
	for i := range decisions {
		decisions[i].QueueLength = sched.queues.size
	}
	return decisions
}

// backlog is the requests in a queue before one of them.
type backlog struct {
	count int
	work  time.Duration
}

// snapshot is the state of the servers during one pass over a queue. Only now is
// set for the queue of a server, whose requests can't go elsewhere.
type snapshot struct {
	now Instant
	// capacity is the work per second that the servers in use can serve; paused
	// and ejected servers do not count. meanSpeed is the mean speed of all servers.
	capacity, meanSpeed float64
	// free holds the servers that can accept another request now.
	free []*serverState
	// mayEject is true if at most maxEjectedShare of the servers fail too often;
	// otherwise none is ejected.
	mayEject bool
	// limited holds the servers with a rate limit; hasUnlimited is true if there is a
	// server without one.
	limited      []*serverState
	hasUnlimited bool
}

// takeSnapshot collects the state of all servers for one pass over a queue.
func (sched *Scheduler) takeSnapshot(now Instant) snapshot {
	snap := snapshot{now: now}
	ejected, considered := 0, 0.0
	for _, s := range sched.sortedServers {
		if s.KeysOnly {
			continue
		}
		considered++
		speed := s.lastingSpeed(now)
		snap.meanSpeed += speed
		if s.failureRate > ejectionFailureRate {
			ejected++
		}
		if s.limit != nil {
			snap.limited = append(snap.limited, s)
		} else {
			snap.hasUnlimited = true
		}
		if now < s.pausedUntil {
			continue
		}
		if s.failureRate <= ejectionFailureRate {
			snap.capacity += s.workCapacity(now, sched.slotShare, s.meanExpectedSeconds)
		}
		if sched.hasRoom(s) && s.paceDelay(now, 0) == 0 {
			snap.free = append(snap.free, s)
		}
	}
	snap.meanSpeed /= max(considered, 1)
	snap.mayEject = float64(ejected) <= maxEjectedShare*considered
	return snap
}

// sortQueue sorts a queue: first the requests of callers that got a place when they
// returned, then those that can still meet their target, then by priority, then
// previously rejected requests, then the earliest target.
func sortQueue(queue []*queuedRequest, now Instant) {
	if len(queue) < 2 {
		return
	}
	slices.SortStableFunc(queue, func(a, b *queuedRequest) int {
		return cmp.Or(
			compareBool(b.hasPlace, a.hasPlace),
			compareBool(b.meetsTarget(now), a.meetsTarget(now)),
			cmp.Compare(a.Priority, b.Priority),
			compareBool(b.PreviouslyRejected, a.PreviouslyRejected),
			cmp.Compare(a.Target, b.Target))
	})
}

// meetsTarget reports whether the request can still complete by its target if it
// starts at now on a server of speed 1.
func (r *queuedRequest) meetsTarget(now Instant) bool { return now.Add(r.Work) <= r.Target }

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// decide assigns the request to a server, rejects it, or returns false to leave
// it queued. Ahead is what is queued before it.
func (sched *Scheduler) decide(snap *snapshot, r *queuedRequest, ahead backlog) (Decision, bool) {
	decision := Decision{ID: r.ID, QueueTime: snap.now.Sub(r.enqueuedAt)}
	if sched.ownerAt != nil && r.Position >= 0 {
		return sched.decideOwned(snap.now, r, decision, ahead)
	}
	if best := sched.pickServer(snap, r); best != nil {
		decision = sched.assign(snap.now, r, best, decision)
		if !sched.hasRoom(best) || best.paceDelay(snap.now, 0) > 0 {
			snap.free = slices.DeleteFunc(snap.free, func(s *serverState) bool { return s == best })
		}
		return decision, true
	}
	if sched.eligibleCount(r) == 0 {
		return reject(decision, ReasonNoServer, minRetryAfter*4), true
	}
	wait := time.Duration(float64(ahead.work) / max(snap.capacity, minCapacity))
	limiting, delay := snap.paceDelay(r, ahead.count)
	wait = max(wait, delay)
	end := snap.now.Add(wait + time.Duration(float64(r.Work)/max(snap.meanSpeed, minCapacity)))
	late := end > r.Target && (limiting == nil || r.enqueuedAt == snap.now)
	if end > r.Deadline || late && sched.offeredLoad.current(snap.now) > fullLoadRatio*snap.capacity {
		if limiting != nil && delay == wait {
			return sched.rejectPaced(snap.now, limiting, decision, wait), true
		}
		return reject(decision, ReasonOverload, wait), true
	}
	return decision, false
}

// paceDelay returns how long rate limits delay a request after ahead others, and the
// server that can serve it first. Both are zero if a server without a limit exists.
func (snap *snapshot) paceDelay(r *queuedRequest, ahead int) (*serverState, time.Duration) {
	if snap.hasUnlimited {
		return nil, 0
	}
	var first *serverState
	var delay time.Duration
	for _, s := range snap.limited {
		if slices.Contains(r.Exclude, s.ID) {
			continue
		}
		// The requests before this one are spread over the limited servers.
		if d := s.paceDelay(snap.now, ahead/len(snap.limited)); first == nil || d < delay {
			first, delay = s, d
		}
	}
	return first, delay
}

// decideOwned decides about a request with a key, which only the owner can serve.
func (sched *Scheduler) decideOwned(now Instant, r *queuedRequest, decision Decision, ahead backlog) (Decision, bool) {
	state := sched.ownerAt(r.Position)
	s := sched.servers[state.Server]
	if state.Moving || s == nil || slices.Contains(r.Exclude, state.Server) && s.pausedUntil > now {
		if now.Add(state.ExpectedWait+r.Work) > r.Deadline || (!state.Moving && s == nil && state.ExpectedWait == 0) {
			return reject(decision, ReasonNoOwner, state.ExpectedWait), true
		}
		return decision, false
	}
	speed := s.lastingSpeed(now)
	service := time.Duration(float64(r.Work) / speed)
	delay := s.paceDelay(now, ahead.count)
	if sched.hasRoom(s) && now >= s.pausedUntil && delay == 0 {
		s.endOverload(now, sched.slotShare, r.Work.Seconds())
		return sched.assign(now, r, s, decision), true
	}
	wait := time.Duration(float64(ahead.work+r.Work/2) / (speed * float64(s.Slots) * sched.slotShare))
	wait = max(wait, s.pausedUntil.Sub(now), delay)
	end := now.Add(wait + service)
	// A request that waits for a server with a rate limit keeps its place up to its
	// deadline: it was queued for a time at which the server accepts it.
	late := end > r.Target && (s.limit == nil || r.enqueuedAt == now) && !r.hasPlace
	if end > r.Deadline || late && s.isOverloaded(now, sched.slotShare, r.Work) {
		if s.limit != nil && delay == wait {
			return sched.rejectPaced(now, s, decision, wait), true
		}
		return reject(decision, ReasonOverload, sched.returnAfter(now, s, r, wait)), true
	}
	return decision, false
}

// reject completes the decision to reject a request, which may be retried after
// the given wait.
func reject(decision Decision, reason Reason, wait time.Duration) Decision {
	decision.Reason, decision.RetryAfter = reason, max(wait, minRetryAfter)
	return decision
}

// assign completes the decision to send a request to a server, and counts it in.
func (sched *Scheduler) assign(now Instant, r *queuedRequest, s *serverState, decision Decision) Decision {
	s.connections.markInUse(r.HostID)
	sched.inFlight[r.ID] = inFlightRequest{server: s.ID, incarnation: s.Incarnation, hostID: r.HostID, assignedAt: now, work: r.Work, saturated: s.inFlightCount >= s.Slots}
	s.inFlightCount++
	s.lastAssignedAt = now
	sched.take(now, s, decision.QueueTime)
	decision.Server, decision.Speed, decision.Saturated = s.ID, s.lastingSpeed(now), s.inFlightCount > s.Slots
	return decision
}

// hasRoom reports whether the server may get one more request: within slotShare of
// its slots, but at least one, plus extraInFlight.
func (sched *Scheduler) hasRoom(s *serverState) bool {
	return s.inFlightCount < max(int(math.Ceil(float64(s.Slots)*sched.slotShare)), 1)+sched.extraInFlight
}

// pickServer returns the free server with the lowest estimated cost, nil if no
// free server may get the request. An ejected server gets only repeatable
// requests, one each probeInterval, to find out whether it has recovered.
func (sched *Scheduler) pickServer(snap *snapshot, r *queuedRequest) *serverState {
	var best *serverState
	bestCost := math.Inf(1)
	for _, s := range snap.free {
		if slices.Contains(r.Exclude, s.ID) {
			continue
		}
		if snap.mayEject && s.failureRate > ejectionFailureRate && (snap.now.Sub(s.lastAssignedAt) < probeInterval || !r.Repeatable) {
			continue
		}
		if cost := sched.estimateCost(snap.now, r, s); cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best
}

// eligibleCount returns how many servers may get the request, which has no key, busy or
// not.
func (sched *Scheduler) eligibleCount(r *queuedRequest) int {
	remaining := 0
	for _, s := range sched.sortedServers {
		if !s.KeysOnly && !slices.Contains(r.Exclude, s.ID) {
			remaining++
		}
	}
	return remaining
}

// estimateCost returns the expected time of the request at the server in seconds,
// plus penalties for failures, cross-zone traffic and a new connection.
func (sched *Scheduler) estimateCost(now Instant, r *queuedRequest, s *serverState) float64 {
	work := max(r.Work, time.Millisecond).Seconds()
	busy := float64(s.inFlightCount) / max(float64(s.Slots)*sched.slotShare, 0.1)
	cost := work / s.effectiveSpeed(now) * (1 + 0.35*busy)
	if busy >= 1 {
		cost += work / s.effectiveSpeed(now) * (busy - 0.5)
	}
	cost /= max(1-s.failureRate, 0.05)
	slack := (r.Target.Sub(now) - r.Work).Seconds()
	if s.Zone != r.Zone {
		large := min(r.ResponseBytes/largeResponseBytes, 1)
		cost += max(r.ResponseBytes*crossZoneCostPerByte.Seconds(), large*zoneSlackShare*slack)
	}
	if !s.connections.hasUsable(now, r.HostID, r.Repeatable) {
		cost += max(newConnectionCost.Seconds(), maxSlackShare*slack)
	}
	if sched.slotShare < 1 {
		// The cost becomes an exponential variate with the mean cost, so that each
		// server has the lowest one with a probability proportional to the inverse
		// of its cost.
		cost *= -math.Log(hashToUnit(r.Salt, s.ID))
	}
	return cost
}

// hashToUnit maps salt and name to a pseudorandom number in (0, 1).
func hashToUnit(salt uint64, name string) float64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(salt)
	_, _ = digest.WriteString(name) // never fails
	return (float64(digest.Sum64()>>11) + 0.5) / (1 << 53)
}
