package admission

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/balance"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// refusal is the reason for which a request is not sent.
type refusal uint8

const (
	accepted refusal = iota
	refusedDeadline
	refusedOverloaded
	refusedNoUpstream
)

// errorKind returns the error kind of the refusal.
func (r refusal) errorKind() apierror.Kind {
	switch r {
	case refusedDeadline:
		return apierror.KindDeadlineUnreachable
	case refusedNoUpstream:
		return apierror.KindNoUpstream
	default:
		return apierror.KindOverloaded
	}
}

// server is the scheduling state of one upstream server.
type server struct {
	name            topology.ServerName
	index           int // index in scheduler.servers and view.Servers, -1 once removed
	inFlight        int
	sharedInFlight  int // requests in flight that any server could have run
	inFlightByClass [classCount]int
	window          window
	pinnedQueue     classQueue
	slowdown        float64

	lastProgressAt time.Duration // last response, or first request sent after idling
	notBefore      time.Duration // end of the pause between requests
	paused         bool
	stalled        bool
	stalledShared  int // shared requests in flight that are excluded from the service's window
	warmupStart    time.Duration
	leaving        bool
	pinnedGoesNext bool // the last request granted was a shared one, so a pinned one of equal class is next
}

// scheduler is the single-threaded core of admission for one service. Its
// methods get the time as an argument and never block. Resolved waiters are
// collected until drainResolved.
type scheduler struct {
	config   ServiceConfig
	servers  []*server
	outliers []balance.OutlierDetector
	byName   map[topology.ServerName]*server
	view     balance.View
	policy   balance.Policy
	random   *rand.Rand

	sharedQueue      classQueue
	window           window
	sharedInFlight   int // shared requests in flight at all servers
	stalledShared    int // part of sharedInFlight that is at stalled servers
	waitingCount     int
	expiries         expiryHeap
	resolved         []*waiter
	latencyByClass   [classCount]latencyEstimator
	overallLatency   latencyEstimator
	slowdown         float64
	callerUsage      callerUsageTable
	failureRate      float64
	lastShedBy       *server
	lastRefusalAt    [classCount]time.Duration // time of the last refusal per class, negative if none
	waitingByClass   [classCount]int           // number of waiting requests per class
	reportedPressure float64                   // mean of the reported requests per slot
	usageCleanupAt   time.Duration             // next removal of idle callers from callerUsage
	refreshAt        time.Duration             // next update of stalls, pauses, warmups and ejections
}

// refreshInterval is the minimum interval between updates by refreshTimedState,
// which scans all servers.
const refreshInterval = 5 * time.Millisecond

func newScheduler(config ServiceConfig, random *rand.Rand) *scheduler {
	s := &scheduler{config: config.withDefaults(), random: random, slowdown: 1}
	s.policy = s.config.Policy
	s.view.AvailabilityZone = s.config.AvailabilityZone
	s.view.HostCount = 1
	s.setServers(0, s.config.Servers)
	for i, srv := range s.servers {
		srv.warmupStart = -s.config.Warmup
		s.view.Servers[i].State, s.view.Servers[i].Weight = balance.StateReady, 1
	}
	for c := range s.lastRefusalAt {
		s.lastRefusalAt[c] = -time.Hour
	}
	s.window = newWindow(s.slots(), 1, 1)
	return s
}

func (s *scheduler) slots() float64 {
	total := 0.0
	for i := range s.view.Servers {
		if s.view.Servers[i].State != balance.StateLeaving {
			total += float64(s.view.Servers[i].Slots)
		}
	}
	return total
}

func (s *scheduler) setHosts(now time.Duration, rank, live int) {
	s.view.HostRank, s.view.HostCount = rank, max(live, 1)
	s.resizeWindows()
	s.dispatch(now, nil)
}

// resizeWindows adapts the windows to the current servers and hosts.
func (s *scheduler) resizeWindows() {
	if s.window.share > 0 {
		s.window.setShare(s.slots(), s.view.HostCount, 1)
	}
	for i, srv := range s.servers {
		srv.window.setShare(float64(s.view.Servers[i].Slots), s.view.HostCount, 0)
		s.syncView(srv)
	}
	balance.AssignQuotas(&s.view)
}

// syncView copies the state of srv that policies use into the view.
func (s *scheduler) syncView(srv *server) {
	if srv.index < 0 {
		return
	}
	v := &s.view.Servers[srv.index]
	v.InFlight, v.Limit = srv.inFlight, srv.window.limit+srv.window.dither
	v.Blocked = srv.paused || srv.stalled
}

// request is an arriving request as the scheduler needs it.
type request struct {
	caller      topology.Caller
	class       Class
	deadline    time.Duration
	hasDeadline bool
	server      topology.ServerName
	exclude     []topology.ServerName
}

// arrive grants the request a server at once, or queues it and returns its
// waiter, or refuses it.
func (s *scheduler) arrive(now time.Duration, r *request) (*server, *waiter, refusal) {
	s.refreshTimedState(now)
	var target *server
	movable := false
	if r.server != "" {
		target = s.byName[r.server]
		if target == nil || target.leaving {
			return nil, nil, refusedNoUpstream
		}
	} else if !s.hasUsableServer(r.exclude) {
		return nil, nil, refusedNoUpstream
	} else if len(r.exclude) > 0 {
		target, movable = s.leastLoadedExcept(r.exclude), true
	}
	queueClass := r.class
	if queueClass < classCount-1 && s.callerUsage.exceedsFairShare(now, r.caller) {
		queueClass++
	}
	sendBy, reason := s.checkFeasible(now, r, queueClass, target)
	if reason != accepted {
		s.recordRefusal(now, r.class)
		return nil, nil, reason
	}
	if chosen := s.findImmediate(now, target, movable); chosen != nil {
		s.recordSend(now, chosen, r.class, target == nil || movable)
		return chosen, nil, accepted
	}
	if s.waitingCount >= s.config.MaxQueued && !s.evictForNewcomer(r.caller, queueClass) {
		s.recordRefusal(now, r.class)
		return nil, nil, refusedOverloaded
	}
	w := &waiter{
		caller: r.caller, class: r.class, queueClass: queueClass, target: target, movable: movable, exclude: r.exclude,
		enqueued: now, sendBy: sendBy, boundByDeadline: r.hasDeadline && sendBy < now+s.config.MaxWait,
	}
	s.enqueue(w)
	return nil, w, accepted
}

func (s *scheduler) recordRefusal(now time.Duration, class Class) { s.lastRefusalAt[class] = now }

func (s *scheduler) enqueue(w *waiter) {
	if w.target != nil {
		w.target.pinnedQueue.push(w)
		w.target.window.inDemand = true
	} else {
		s.sharedQueue.push(w)
		s.window.inDemand = true
	}
	heap.Push(&s.expiries, w)
	s.waitingCount++
	s.waitingByClass[w.class]++
}

// recordDequeue removes w, which was taken out of its classQueue, from the
// expiries and the counts.
func (s *scheduler) recordDequeue(w *waiter) {
	heap.Remove(&s.expiries, w.heapIndex)
	s.waitingCount--
	s.waitingByClass[w.class]--
}

func (s *scheduler) resolve(w *waiter, srv *server, reason refusal) {
	w.resolved, w.server, w.reason = true, srv, reason
	s.resolved = append(s.resolved, w)
}

// drainResolved calls notify for each waiter that has been granted a server or
// refused.
func (s *scheduler) drainResolved(notify func(*waiter)) {
	for i, w := range s.resolved {
		notify(w)
		s.resolved[i] = nil
	}
	s.resolved = s.resolved[:0]
}

// cancel removes a waiting request. It returns false if w was already resolved.
func (s *scheduler) cancel(w *waiter) bool {
	if w.resolved {
		return false
	}
	w.queue.remove(w)
	s.recordDequeue(w)
	w.resolved = true
	return true
}

// findImmediate returns the server for a request that need not wait, or nil.
func (s *scheduler) findImmediate(now time.Duration, target *server, movable bool) *server {
	if target != nil {
		if target.pinnedQueue.size == 0 && s.canSend(now, target) && (!movable || s.hasSharedCapacity()) {
			return target
		}
		return nil
	}
	if s.sharedQueue.size > 0 || !s.hasSharedCapacity() {
		return nil
	}
	return s.chooseServer(now)
}

func (s *scheduler) hasSharedCapacity() bool {
	return s.window.allowsOneMore(s.sharedInFlight - s.stalledShared)
}

func (s *scheduler) chooseServer(now time.Duration) *server {
	s.view.Now, s.view.TypicalLatency = now, time.Duration(s.overallLatency.mean)
	if i := s.policy.Choose(&s.view, s.random); i >= 0 {
		return s.servers[i]
	}
	return nil
}

func (s *scheduler) canSend(now time.Duration, srv *server) bool {
	return srv.window.allowsOneMore(srv.inFlight) && now >= srv.notBefore
}

func (s *scheduler) recordSend(now time.Duration, srv *server, class Class, shared bool) {
	if srv.inFlight == 0 {
		srv.lastProgressAt = now
	}
	srv.inFlight++
	srv.inFlightByClass[class]++
	if shared {
		srv.sharedInFlight++
		s.sharedInFlight++
	}
	s.syncView(srv)
}

// dispatch grants waiting requests to servers with capacity. If onlyPinned is
// set, only the pinned requests of that server are considered besides the
// shared ones, because nothing changed for other servers.
func (s *scheduler) dispatch(now time.Duration, onlyPinned *server) {
	if s.waitingCount == 0 {
		return
	}
	s.dispatchPinned(now, onlyPinned, true)
	for s.sharedQueue.size > 0 && s.hasSharedCapacity() {
		srv := s.chooseServer(now)
		if srv == nil {
			s.markServersInDemand()
			break
		}
		if srv.pinnedQueue.size > 0 && !s.sharedGoesFirst(srv) {
			s.grantPinned(now, srv)
			continue
		}
		srv.pinnedGoesNext = true
		w := s.sharedQueue.pop(s.callerUsage.cost)
		s.recordDequeue(w)
		s.recordSend(now, srv, w.class, true)
		s.callerUsage.charge(now, w.caller)
		s.resolve(w, srv, accepted)
	}
	if s.sharedQueue.size > 0 {
		s.window.inDemand = true
	}
	s.dispatchPinned(now, onlyPinned, false)
}

// markServersInDemand lets the windows of all servers grow, because a shared
// request waits for any of them.
func (s *scheduler) markServersInDemand() {
	for _, srv := range s.servers {
		srv.window.inDemand = true
	}
}

func (s *scheduler) dispatchPinned(now time.Duration, onlyPinned *server, yieldToShared bool) {
	if onlyPinned != nil {
		s.dispatchPinnedOf(now, onlyPinned, yieldToShared)
		return
	}
	for _, srv := range s.servers {
		s.dispatchPinnedOf(now, srv, yieldToShared)
	}
}

func (s *scheduler) dispatchPinnedOf(now time.Duration, srv *server, yieldToShared bool) {
	for srv.pinnedQueue.size > 0 && s.canSend(now, srv) {
		if yieldToShared && s.sharedQueue.size > 0 && s.hasSharedCapacity() && s.sharedGoesFirst(srv) {
			return
		}
		s.grantPinned(now, srv)
	}
	if srv.pinnedQueue.size > 0 {
		srv.window.inDemand = true
	}
}

// sharedGoesFirst reports whether the next shared request precedes the next
// request pinned to srv. Requests of equal class take turns.
func (s *scheduler) sharedGoesFirst(srv *server) bool {
	shared, pinned := s.sharedQueue.nextClass(), srv.pinnedQueue.nextClass()
	if shared != pinned {
		return shared < pinned
	}
	return !srv.pinnedGoesNext
}

func (s *scheduler) grantPinned(now time.Duration, srv *server) {
	srv.pinnedGoesNext = false
	w := srv.pinnedQueue.pop(s.callerUsage.cost)
	s.recordDequeue(w)
	s.recordSend(now, srv, w.class, w.movable)
	s.callerUsage.charge(now, w.caller)
	s.resolve(w, srv, accepted)
}
