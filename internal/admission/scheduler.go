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

// kind is the refusal's error kind.
func (r refusal) kind() apierror.Kind {
	switch r {
	case refusedDeadline:
		return apierror.KindDeadline
	case refusedNoUpstream:
		return apierror.KindNoUpstream
	default:
		return apierror.KindOverloaded
	}
}

// server is one upstream server as the scheduler tracks it.
type server struct {
	name     topology.ServerName
	index    int // in scheduler.servers and view.Servers; -1 once removed
	inFlight int
	shared   int // of inFlight, those that any server could have run
	classes  [classCount]int
	window   window
	pinned   classQueue
	slowdown float64

	progressAt time.Duration // last answer, or first send after idling
	notBefore  time.Duration // end of the pause between requests
	paused     bool
	stalled    bool
	stuck      int // shared requests excluded from the service's window
	coldSince  time.Duration
	leaving    bool
	pinnedTurn bool // a shared request was preferred at equal class
}

// scheduler is the pure core of admission for one service: every method gets
// the time, none blocks. Resolved waiters are collected until takeResolved.
type scheduler struct {
	config   ServiceConfig
	servers  []*server
	outliers []balance.Outlier
	byName   map[topology.ServerName]*server
	view     balance.View
	policy   balance.Policy
	random   *rand.Rand

	shared    classQueue
	window    window
	inFlight  int // shared requests in flight
	stuck     int // of those, at stalled servers
	waiting   int
	expiries  expiryHeap
	resolved  []*waiter
	latencies [classCount]estimator
	overall   estimator
	slowdown  float64
	callers   callerRecords
	shedShare float64
	lastShed  *server
	refusedAt [classCount]time.Duration // last refusal per class, negative: none
	queued    [classCount]int           // waiting requests per class
	pressure  float64                   // reported requests per slot over all servers
	forgetAt  time.Duration             // next removal of old caller records
	checkAt   time.Duration             // next check for stalls, pauses, ramps and ejections
}

// checkInterval bounds the work of the periodic checks.
const checkInterval = 5 * time.Millisecond

func newScheduler(config ServiceConfig, random *rand.Rand) *scheduler {
	s := &scheduler{config: config.withDefaults(), random: random, slowdown: 1}
	s.policy = s.config.Policy
	s.view.AvailabilityZone = s.config.AvailabilityZone
	s.view.Hosts = 1
	s.setServers(0, s.config.Servers)
	for i, srv := range s.servers {
		srv.coldSince = -s.config.Ramp
		s.view.Servers[i].State, s.view.Servers[i].Weight = balance.StateReady, 1
	}
	for c := range s.refusedAt {
		s.refusedAt[c] = -time.Hour
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
	s.view.Host, s.view.Hosts = rank, max(live, 1)
	s.resize()
	s.dispatch(now, nil)
}

// resize adapts the windows to the servers and hosts.
func (s *scheduler) resize() {
	if s.window.share > 0 {
		s.window.setShare(s.slots(), s.view.Hosts, 1)
	}
	for i, srv := range s.servers {
		srv.window.setShare(float64(s.view.Servers[i].Slots), s.view.Hosts, 0)
		s.sync(srv)
	}
	balance.AssignLeases(&s.view)
}

// sync copies what the policies see of srv into the view.
func (s *scheduler) sync(srv *server) {
	if srv.index < 0 {
		return
	}
	v := &s.view.Servers[srv.index]
	v.InFlight, v.Limit = srv.inFlight, srv.window.limit+srv.window.dither
	v.Blocked = srv.paused || srv.stalled
}

// request is what the scheduler needs of an arriving request.
type request struct {
	caller      topology.Caller
	class       Class
	deadline    time.Duration
	hasDeadline bool
	server      topology.ServerName
	exclude     []topology.ServerName
}

// arrive grants a server at once, or queues the request and returns its
// waiter, or refuses it.
func (s *scheduler) arrive(now time.Duration, r *request) (*server, *waiter, refusal) {
	s.check(now)
	var target *server
	movable := false
	if r.server != "" {
		target = s.byName[r.server]
		if target == nil || target.leaving {
			return nil, nil, refusedNoUpstream
		}
	} else if !s.anyUsable(r.exclude) {
		return nil, nil, refusedNoUpstream
	} else if len(r.exclude) > 0 {
		target, movable = s.bestExcept(r.exclude), true
	}
	rank := r.class
	if rank < classCount-1 && s.callers.exceeds(now, r.caller) {
		rank++
	}
	latest, kind := s.judge(now, r, rank, target)
	if kind != accepted {
		s.refused(now, r.class)
		return nil, nil, kind
	}
	if chosen := s.immediate(now, target, movable); chosen != nil {
		s.send(now, chosen, r.class, target == nil || movable)
		return chosen, nil, accepted
	}
	if s.waiting >= s.config.MaxWaiting && !s.makeRoom(r.caller, rank) {
		s.refused(now, r.class)
		return nil, nil, refusedOverloaded
	}
	w := &waiter{
		caller: r.caller, class: r.class, rank: rank, pinned: target, movable: movable, exclude: r.exclude,
		enqueued: now, latest: latest, deadline: r.hasDeadline && latest < now+s.config.MaxWait,
	}
	s.enqueue(w)
	return nil, w, accepted
}

func (s *scheduler) refused(now time.Duration, class Class) { s.refusedAt[class] = now }

func (s *scheduler) enqueue(w *waiter) {
	if w.pinned != nil {
		w.pinned.pinned.push(w)
		w.pinned.window.demanded = true
	} else {
		s.shared.push(w)
		s.window.demanded = true
	}
	heap.Push(&s.expiries, w)
	s.waiting++
	s.queued[w.class]++
}

// dequeued takes w, which has left its classQueue, out of the other records.
func (s *scheduler) dequeued(w *waiter) {
	heap.Remove(&s.expiries, w.heapIndex)
	s.waiting--
	s.queued[w.class]--
}

func (s *scheduler) resolve(w *waiter, srv *server, kind refusal) {
	w.resolved, w.server, w.kind = true, srv, kind
	s.resolved = append(s.resolved, w)
}

// takeResolved calls notify for each waiter that got its verdict.
func (s *scheduler) takeResolved(notify func(*waiter)) {
	for i, w := range s.resolved {
		notify(w)
		s.resolved[i] = nil
	}
	s.resolved = s.resolved[:0]
}

// cancel takes a waiting request out; it returns false if w has its verdict.
func (s *scheduler) cancel(w *waiter) bool {
	if w.resolved {
		return false
	}
	w.queue.remove(w)
	s.dequeued(w)
	w.resolved = true
	return true
}

// immediate returns the server for a request that need not wait.
func (s *scheduler) immediate(now time.Duration, target *server, movable bool) *server {
	if target != nil {
		if target.pinned.size == 0 && s.canSend(now, target) && (!movable || s.windowFits()) {
			return target
		}
		return nil
	}
	if s.shared.size > 0 || !s.windowFits() {
		return nil
	}
	return s.choose(now)
}

func (s *scheduler) windowFits() bool { return s.window.fits(s.inFlight - s.stuck) }

func (s *scheduler) choose(now time.Duration) *server {
	s.view.Now, s.view.Usual = now, time.Duration(s.overall.mean)
	if i := s.policy.Choose(&s.view, s.random); i >= 0 {
		return s.servers[i]
	}
	return nil
}

func (s *scheduler) canSend(now time.Duration, srv *server) bool {
	return srv.window.fits(srv.inFlight) && now >= srv.notBefore
}

func (s *scheduler) send(now time.Duration, srv *server, class Class, shared bool) {
	if srv.inFlight == 0 {
		srv.progressAt = now
	}
	srv.inFlight++
	srv.classes[class]++
	if shared {
		srv.shared++
		s.inFlight++
	}
	s.sync(srv)
}

// dispatch grants waiting requests to servers with room. With hint set only
// its own pinned queue can have become servable.
func (s *scheduler) dispatch(now time.Duration, hint *server) {
	if s.waiting == 0 {
		return
	}
	s.dispatchPinned(now, hint, true)
	for s.shared.size > 0 && s.windowFits() {
		srv := s.choose(now)
		if srv == nil {
			s.demandServers()
			break
		}
		if srv.pinned.size > 0 && !s.sharedFirst(srv) {
			s.grantPinned(now, srv)
			continue
		}
		srv.pinnedTurn = true
		w := s.shared.pop(s.callers.cost)
		s.dequeued(w)
		s.send(now, srv, w.class, true)
		s.callers.charge(now, w.caller)
		s.resolve(w, srv, accepted)
	}
	if s.shared.size > 0 {
		s.window.demanded = true
	}
	s.dispatchPinned(now, hint, false)
}

// demandServers lets the windows of all servers grow: a shared request waits
// for any of them.
func (s *scheduler) demandServers() {
	for _, srv := range s.servers {
		srv.window.demanded = true
	}
}

func (s *scheduler) dispatchPinned(now time.Duration, hint *server, yield bool) {
	if hint != nil {
		s.drainPinned(now, hint, yield)
		return
	}
	for _, srv := range s.servers {
		s.drainPinned(now, srv, yield)
	}
}

func (s *scheduler) drainPinned(now time.Duration, srv *server, yield bool) {
	for srv.pinned.size > 0 && s.canSend(now, srv) {
		if yield && s.shared.size > 0 && s.windowFits() && s.sharedFirst(srv) {
			return
		}
		s.grantPinned(now, srv)
	}
	if srv.pinned.size > 0 {
		srv.window.demanded = true
	}
}

// sharedFirst tells whether the next shared request goes before the next
// request pinned to srv; equal classes take turns.
func (s *scheduler) sharedFirst(srv *server) bool {
	shared, pinned := s.shared.nextClass(), srv.pinned.nextClass()
	if shared != pinned {
		return shared < pinned
	}
	return !srv.pinnedTurn
}

func (s *scheduler) grantPinned(now time.Duration, srv *server) {
	srv.pinnedTurn = false
	w := srv.pinned.pop(s.callers.cost)
	s.dequeued(w)
	s.send(now, srv, w.class, w.movable)
	s.callers.charge(now, w.caller)
	s.resolve(w, srv, accepted)
}
