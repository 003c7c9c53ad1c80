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
	// Speed is the server's estimated lasting speed at the time of the decision, and
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
	// Incarnation distinguishes the processes of the server.
	Incarnation int64
	// Warmup is how long the server stays slow from now on, 0 if it is warm. While it
	// is not 0 and WarmupRate is set, the server counts as cold. Without WarmupRate it
	// matters only when the Scheduler first sees the server.
	Warmup   time.Duration
	KeysOnly bool // gets no requests but those for its keys
	// WarmupRate is how many requests per second of all hosts the server bears while
	// it is cold; 0 if there is no limit. WarmupMax is how many it bears in any one
	// second.
	WarmupRate, WarmupMax float64
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
	sentCold            int64      // requests since the server turned cold
	// promisedUntil is the latest time that a caller was told to return at whose key the
	// server owns.
	promisedUntil Instant
	// places paces the requests of callers that return; nil if none was turned away.
	places    *tokenBucket
	momentary momentaryTime
}

// queuedRequest is a request in a queue.
type queuedRequest struct {
	Request
	enqueuedAt Instant
	queue      string // name of the queue
	removed    bool   // from the queue, in which it may still have its place
	hasPlace   bool   // its caller returned and got a place
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
	// warmups counts requests that concern cold servers; transitions holds the turns of
	// servers to cold and to warm that have not been taken. lastSubmitAt is when the
	// latest request came.
	warmups      WarmupCounts
	transitions  []WarmupTransition
	lastSubmitAt Instant
}

// inFlightRequest is a request that has been assigned to a server.
type inFlightRequest struct {
	server      string
	incarnation int64
	hostID      uint64
	assignedAt  Instant
	work        time.Duration
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
			s = &serverState{Server: Server{ID: listed.ID, Incarnation: listed.Incarnation}, warmupEnd: now.Add(listed.Warmup)}
			s.assumeSpeed(1, assumedWork)
			sched.updatePace(now, s)
		}
		// The speed in the list is older than this Scheduler's own measurements.
		if listed.Speed > 0 && listed.Speed != s.Speed && (sched.slotShare < 1 || s.sampleCount < minOwnSamples) {
			s.assumeSpeed(listed.Speed, assumedWork)
		}
		previous := s.Server
		s.Server = listed
		sched.updateWarmup(now, s, previous)
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
	sched.noteSubmit(now)
	sched.offeredLoad.add(now, request.Work)
	owner := sched.owningServer(request)
	if owner != nil {
		owner.offeredLoad.add(now, request.Work)
	}
	r := &queuedRequest{Request: request, enqueuedAt: now, hasPlace: owner.takePlace(now, request)}
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
	// TimePercent is how long work takes at the server at present, in percent of its
	// usual time; 0 if it does not say.
	TimePercent int
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
		if result.TimePercent > 0 && request.incarnation == s.Incarnation {
			s.momentary = newMomentaryTime(now, result.TimePercent)
		}
		s.recordResult(now, request, result)
	}
	// Only requests that can go to this server can use the free slot.
	return append(sched.decideQueue(now, request.server), sched.decideQueue(now, unkeyedQueue)...)
}
