package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// Instant is a reading of a monotonic clock; only differences have a meaning.
type Instant time.Duration

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// NoPosition is the key position of a request without a key.
const NoPosition = -1

// Request is one request that needs a server.
type Request struct {
	ID       uint64
	Service  string
	Position int // key position (the hash slot of its key), or NoPosition
	Priority int // 0 is the most urgent
	// PreviouslyRejected is true if the request was rejected before and the caller
	// retries it.
	PreviouslyRejected bool
	Repeatable         bool
	// HostID identifies the host that will send the request; each host has its own
	// connections to the servers.
	HostID uint64
	// Zone is the availability zone that the response goes to;
	// ResponseBytes is the expected size of the response.
	Zone          string
	ResponseBytes float64
	// Target is the target time: a later response is worth less to the caller.
	// Deadline is when the caller gives up.
	Target   Instant
	Deadline Instant
	// Work is the expected service time at a server of speed 1.
	Work time.Duration
	// Exclude lists the servers at which this request has failed.
	Exclude []string
	// Salt is a random number. A Scheduler with a share of the slots spreads its
	// choices by it, because it does not see what others send to the best server.
	Salt uint64
}

// Reason is why a request was rejected.
type Reason string

// The reasons.
const (
	ReasonOverload Reason = "overload"  // can't be served in time
	ReasonNoServer Reason = "no-server" // every server is excluded, or there is none
	ReasonNoOwner  Reason = "no-owner"  // its key has no usable owner
	// ReasonRateLimited: the rate limits of its servers do not allow it in time.
	ReasonRateLimited Reason = "rate-limited"
)

// Decision is the outcome of scheduling one Request: a server or a
// rejection.
type Decision struct {
	ID         uint64
	Server     string // empty if the request is rejected
	Reason     Reason
	RetryAfter time.Duration
	// QueueTime is the time that the request was queued; QueueLength is how many
	// requests of the service are still queued.
	QueueTime   time.Duration
	QueueLength int
	// Speed is the server's estimated speed at the time of the decision, and
	// Saturated is true if the server had no free slot.
	Speed     float64
	Saturated bool
}

// Server is what the Scheduler knows of a server from elsewhere.
type Server struct {
	ID    string
	Zone  string
	Slots int
	// Speed is the known speed relative to the service's mean; 0 if unknown.
	Speed float64
	// Warmup is how long the server stays slow from now on; it counts only when the
	// Scheduler first sees the server.
	Warmup   time.Duration
	KeysOnly bool // gets no requests but those for its keys
}

// Outcome is how a request ended at a server.
type Outcome uint8

// The outcomes.
const (
	Succeeded    Outcome = iota
	Failed               // an error response, or a response that broke off
	Shed                 // rejected by the server because of load
	Unreachable          // no connection; nothing was sent
	Inconclusive         // failed at a host that may be cut off from all servers
	Abandoned            // ended in a way that says nothing about the server
)

// OwnerState is what is known of the owner of a key position.
type OwnerState struct {
	Server string
	// Moving is true while the position has no usable owner but will get one.
	Moving bool
	// ExpectedWait is the estimated time until the position has a usable owner.
	ExpectedWait time.Duration
}

// Parameters of the decisions.
const (
	// crossZoneCostPerByte is the delay that is accepted to avoid sending one byte
	// of a response between availability zones. For a large response that is about
	// a quarter of its target.
	crossZoneCostPerByte = 700 * time.Nanosecond
	// zoneSlackShare is the share of a request's slack (see maxSlackShare) that is
	// accepted to keep a response of largeResponseBytes or more in its availability zone,
	// and proportionally less for smaller ones. It exceeds maxSlackShare: a large response
	// costs the links between zones more than a new connection costs the server.
	zoneSlackShare     = 0.3
	largeResponseBytes = 64 << 10
	// newConnectionCost is the delay that is accepted to avoid a new connection: one
	// takes two round trips and time of the server, which all callers share.
	newConnectionCost = 40 * time.Millisecond
	// maxSlackShare is the share of a request's slack (the time to its target beyond
	// the expected work) that is accepted to avoid a new connection. Callers lose
	// nothing while the response is still within its target.
	maxSlackShare = 0.2
	// speedWeight is the least weight of one sample in the moving averages behind a
	// server's speed.
	speedWeight = 0.05
	// priorSamples is how many samples an assumed speed counts for, maxSampleRatio
	// bounds the time of one sample relative to its work, and assumedWork is the
	// work of an assumed sample.
	priorSamples   = 4
	maxSampleRatio = 10
	assumedWork    = 100 * time.Millisecond
	// failureWeight is the weight of one result in a server's failure rate.
	failureWeight = 0.2
	// minOwnSamples is how many samples a Scheduler needs to prefer its own estimate of
	// a server's speed to the listed one.
	minOwnSamples = 8
	// minSpeed and maxSpeed bound the estimated speed.
	minSpeed, maxSpeed = 0.08, 4.0
	// minUnreachablePause and maxUnreachablePause bound the exponential backoff after
	// which an unreachable server gets requests again.
	minUnreachablePause, maxUnreachablePause = 250 * time.Millisecond, 2 * time.Second
	// shedPause is how long a server gets no requests after it has shed one.
	shedPause = 40 * time.Millisecond
	// ejectionFailureRate is the failure rate above which a server is ejected: it
	// gets only probe requests, one each probeInterval.
	ejectionFailureRate = 0.6
	probeInterval       = 400 * time.Millisecond
	// maxEjectedShare is the largest share of servers that may be ejected at a time;
	// beyond it the remaining servers would be overloaded.
	maxEjectedShare = 0.4
	// loadWindow is the time constant of the offered load. fullLoadRatio is the
	// ratio of offered load to capacity above which only requests that can meet
	// their target are accepted: others would wait until their deadline for nothing.
	loadWindow    = time.Second
	fullLoadRatio = 0.92
	// warmupSpeedFactor scales the speed of a server during its warmup.
	warmupSpeedFactor = 0.5
	// minCapacity keeps estimates finite while no server is usable.
	minCapacity = 0.1
	// minRetryAfter is the shortest delay before a rejected caller may retry: it must
	// let some of the queue drain.
	minRetryAfter = 50 * time.Millisecond
)

// serverState is the state of one server in the scheduler.
type serverState struct {
	Server
	inFlightCount       int
	estimatedSpeed      float64
	sampleCount         float64
	meanExpectedSeconds float64 // moving average of the work at speed 1
	meanObservedSeconds float64 // moving average of the time that the work took
	failureRate         float64 // moving average, 0 to 1
	backoff             time.Duration
	pausedUntil         Instant
	lastAssignedAt      Instant
	warmupEnd           Instant
	offeredLoad         loadMeter // of requests for the server's keys
	connections         idleConnections
	limit               *rateLimit // nil if the server has none
}

// effectiveSpeed returns the estimated speed, reduced during the warmup.
func (s *serverState) effectiveSpeed(now Instant) float64 {
	speed := s.estimatedSpeed
	if now < s.warmupEnd {
		speed *= warmupSpeedFactor
	}
	return max(speed, minSpeed)
}

// queuedRequest is a request in a queue.
type queuedRequest struct {
	Request
	enqueuedAt Instant
	queue      string // name of the queue
	removed    bool   // from the queue, in which it may still have its place
}

// Scheduler queues the requests of one service and assigns them to servers.
type Scheduler struct {
	// slotShare is the share of each server's slots that this Scheduler may use, 1 if it
	// sees all requests. extraInFlight is how many requests a server may get beyond
	// that share.
	slotShare     float64
	extraInFlight int
	// ownerAt returns the owner of a key position; nil if the service has no keys.
	ownerAt       func(position int) OwnerState
	servers       map[string]*serverState
	sortedServers []*serverState // by ID, so that decisions do not depend on map order
	queues        queueSet
	inFlight      map[uint64]inFlightRequest
	offeredLoad   loadMeter
	// rateLimits holds the limits of servers in requests per second, also of servers
	// that are not listed yet. Seed spreads the turns of hosts.
	rateLimits map[string]float64
	seed       uint64
}

// inFlightRequest is a request that has been assigned to a server.
type inFlightRequest struct {
	server     string
	hostID     uint64
	assignedAt Instant
	work       time.Duration
	// saturated is true if the server had no free slot when the request was
	// assigned; the request's time then includes a wait at the server.
	saturated bool
}

// NewScheduler returns a Scheduler for one service. Owner is nil if the service has no keys.
func NewScheduler(share float64, extra int, owner func(position int) OwnerState) *Scheduler {
	return &Scheduler{slotShare: share, extraInFlight: extra, ownerAt: owner, servers: make(map[string]*serverState), queues: newQueueSet(), inFlight: make(map[uint64]inFlightRequest), rateLimits: make(map[string]float64)}
}

// SetShare changes the share of the slots and rate limits that the Scheduler may use.
func (sched *Scheduler) SetShare(now Instant, share float64, extra int) {
	changed := share != sched.slotShare
	sched.slotShare, sched.extraInFlight = share, extra
	if !changed {
		return
	}
	for _, s := range sched.sortedServers {
		sched.updatePace(now, s)
	}
}

// SetServers replaces the list of usable servers and returns the resulting
// decisions. Requests in flight at a removed server end as usual.
func (sched *Scheduler) SetServers(now Instant, list []Server) []Decision {
	next := make(map[string]*serverState, len(list))
	for _, listed := range list {
		s := sched.servers[listed.ID]
		if s == nil {
			s = &serverState{Server: Server{ID: listed.ID}, warmupEnd: now.Add(listed.Warmup)}
			s.assumeSpeed(1, assumedWork)
			sched.updatePace(now, s)
		}
		// The speed in the list is older than this Scheduler's own measurements.
		if listed.Speed > 0 && listed.Speed != s.Speed && (sched.slotShare < 1 || s.sampleCount < minOwnSamples) {
			s.assumeSpeed(listed.Speed, assumedWork)
		}
		s.Server = listed
		next[listed.ID] = s
	}
	sched.servers = next
	sched.sortedServers = sched.sortedServers[:0]
	for _, s := range next {
		sched.sortedServers = append(sched.sortedServers, s)
	}
	slices.SortFunc(sched.sortedServers, func(a, b *serverState) int { return cmp.Compare(a.ID, b.ID) })
	return sched.Reschedule(now)
}

// Submit queues the request and returns the resulting decisions, the one about the
// request itself among them if it need not wait.
func (sched *Scheduler) Submit(now Instant, request Request) []Decision {
	sched.offeredLoad.add(now, request.Work)
	if s := sched.owningServer(request); s != nil {
		s.offeredLoad.add(now, request.Work)
	}
	r := &queuedRequest{Request: request, enqueuedAt: now}
	return sched.decideQueue(now, sched.queues.add(sched.queueName(r), r))
}

// Cancel removes a queued request. It frees no slot, so there is nothing to decide for
// the requests behind it before the next Reschedule.
// Its work no longer counts as offered load: those who stay are not rejected for it.
func (sched *Scheduler) Cancel(now Instant, id uint64) {
	r := sched.queues.remove(id)
	if r == nil {
		return
	}
	sched.offeredLoad.remove(now, r.enqueuedAt, r.Work)
	if s := sched.servers[r.queue]; s != nil {
		s.offeredLoad.remove(now, r.enqueuedAt, r.Work)
	}
}

// SetOwner replaces the function that returns the owner of a key position and
// returns the resulting decisions.
func (sched *Scheduler) SetOwner(now Instant, owner func(position int) OwnerState) []Decision {
	sched.ownerAt = owner
	return sched.Reschedule(now)
}

// Result is how a request ended at its server.
type Result struct {
	Outcome Outcome
	// Running and Waiting are the requests that the server reported to run and to
	// queue; HasLoad is false if it reported no load.
	Running, Waiting int
	HasLoad          bool
}

// Complete frees the slot of a request and returns the resulting decisions.
func (sched *Scheduler) Complete(now Instant, id uint64, result Result) []Decision {
	request, ok := sched.inFlight[id]
	if !ok {
		return nil
	}
	delete(sched.inFlight, id)
	if s := sched.servers[request.server]; s != nil {
		s.inFlightCount = max(s.inFlightCount-1, 0)
		s.recordResult(now, request, result)
	}
	// Only requests that can go to this server can use the free slot.
	return append(sched.decideQueue(now, request.server), sched.decideQueue(now, unkeyedQueue)...)
}

// recordResult updates the server's failure rate, pause and speed.
func (s *serverState) recordResult(now Instant, request inFlightRequest, result Result) {
	switch result.Outcome {
	case Abandoned:
		// A request canceled after a long time still shows that the server is slow.
		if elapsed := now.Sub(request.assignedAt); request.work > 0 && elapsed > 3*request.work {
			s.recordSample(request.work, elapsed)
		}
		return
	case Inconclusive:
		return
	case Succeeded:
		s.failureRate *= 1 - failureWeight
		s.backoff = 0
		s.pausedUntil = min(s.pausedUntil, now)
		s.connections.markIdle(now, request.hostID)
		if !request.saturated && (!result.HasLoad || result.Waiting == 0) && request.work > 0 {
			s.recordSample(request.work, now.Sub(request.assignedAt))
		}
		return
	case Shed:
		s.pausedUntil = now.Add(shedPause)
		s.failureRate += (1 - s.failureRate) * failureWeight / 2
		return
	case Unreachable:
		s.backoff = min(max(s.backoff*2, minUnreachablePause), maxUnreachablePause)
		s.pausedUntil = now.Add(s.backoff)
	}
	s.failureRate += (1 - s.failureRate) * failureWeight
}

// recordSample updates the estimated speed with one request that took elapsed for
// the given expected work.
func (s *serverState) recordSample(work, elapsed time.Duration) {
	// One very long request must not undo many normal ones.
	observed := min(elapsed.Seconds(), maxSampleRatio*work.Seconds())
	s.sampleCount++
	weight := max(speedWeight, 1/(s.sampleCount+priorSamples))
	// The speed is a ratio of means. A mean of ratios would overestimate it under
	// a skewed distribution with many short requests.
	s.meanExpectedSeconds += weight * (work.Seconds() - s.meanExpectedSeconds)
	s.meanObservedSeconds += weight * (observed - s.meanObservedSeconds)
	s.estimatedSpeed = min(max(s.meanExpectedSeconds/max(s.meanObservedSeconds, 1e-6), minSpeed), maxSpeed)
}

// assumeSpeed sets the estimated speed to one that is known from elsewhere.
func (s *serverState) assumeSpeed(speed float64, work time.Duration) {
	s.estimatedSpeed = speed
	s.meanExpectedSeconds, s.meanObservedSeconds = work.Seconds(), work.Seconds()/speed
}

// owningServer returns the server that owns the request's key, nil if the request
// has no key or the key has no usable owner.
func (sched *Scheduler) owningServer(request Request) *serverState {
	if sched.ownerAt == nil || request.Position < 0 {
		return nil
	}
	return sched.servers[sched.ownerAt(request.Position).Server]
}
