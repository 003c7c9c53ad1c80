package ownership

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cassiasill/cassiasill/internal/granter"
	"github.com/cassiasill/cassiasill/internal/invariant"
	"github.com/cassiasill/cassiasill/internal/leadership"
	"github.com/cassiasill/cassiasill/internal/peer/peerpb"
	"github.com/cassiasill/cassiasill/internal/store"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const (
	faultsFrom   = 3500 * time.Millisecond // after the first grants
	faultsUntil  = 9500 * time.Millisecond
	scheduleEnd  = 15 * time.Second // faults and delays last 3 s beyond faultsUntil
	maxDelay     = 1500 * time.Millisecond
	stepInterval = 50 * time.Millisecond
	// campaignLimit ends a campaign, as in the elector.
	campaignLimit = 150 * time.Millisecond
)

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// schedule runs the pure protocol code of all hosts under random faults, in one
// goroutine and in the order of true time.
type schedule struct {
	random    *rand.Rand
	variant   variant
	unchecked bool
	now       time.Duration
	queue     eventQueue
	events    int
	store     *fakeStore
	assigned  *assignments
	writes    int
	checker   *invariant.OwnerChecker
	record    leadership.Record
	hosts     []*simHost
	servers   []*simServer
	described []topology.Server
	cut       map[[2]string]time.Duration // links cut until
	storeDown time.Duration
	calm      bool
}

type simHost struct {
	name      topology.HostName
	clock     clock
	wall      time.Duration // error of the wall clock
	life      int           // raised by each crash
	crashed   bool
	paused    time.Duration // until
	waiting   []func()      // what arrived during the pause
	witness   *leadership.Witness
	candidate *leadership.Candidate
	renewAt   time.Time
	tryAt     time.Time
	ledger    *Ledger
	stored    *stored
	attempt   map[topology.ServerName]int
	snapshot  []topology.Route
	validTo   time.Time
}

type simServer struct {
	fakeServer
	name    topology.ServerName
	clock   clock
	crashed bool
	frozen  time.Duration // until
	queued  []func()
}

func newSchedule(seed uint64, v variant) *schedule {
	s := &schedule{
		random: rand.New(rand.NewPCG(seed, 0x5eed)), variant: v, unchecked: seed%3 == 0 || v.noValidity,
		store: newFakeStore(), checker: invariant.NewOwnerChecker(), cut: make(map[[2]string]time.Duration),
	}
	s.assigned = &assignments{store: s.store, noReadBack: v.noReadBack, newID: func() string {
		s.writes++
		return fmt.Sprintf("w%d", s.writes)
	}}
	s.store.applied = func(ops []store.Op) {
		for _, op := range ops {
			if op.Key == ManifestKey(testService) {
				var m manifest
				if json.Unmarshal(op.Value, &m) == nil {
					s.checker.Stored(m.ID)
				}
			}
		}
	}
	s.record = leadership.Record{Version: 1}
	for i := range 3 + 2*int(seed%2) {
		h := &simHost{name: topology.HostName(fmt.Sprintf("h%d", i)), clock: s.newClock(), wall: s.upTo(10 * time.Second)}
		s.hosts = append(s.hosts, h)
		s.record.Hosts = append(s.record.Hosts, h.name)
	}
	for i := range 4 {
		name := topology.ServerName(fmt.Sprintf("s%d", i))
		s.described = append(s.described, topology.Server{Name: name, Service: testService, AvailabilityZone: zone(i)})
		s.servers = append(s.servers, &simServer{name: name, clock: s.newClock(), fakeServer: fakeServer{incarnation: "0", faults: v.server}})
	}
	for _, h := range s.hosts {
		s.boot(h)
		s.after(s.upTo(stepInterval), func() { s.step(h) })
	}
	return s
}

// newClock returns a clock whose rate differs from any other by at most 1 %.
func (s *schedule) newClock() clock {
	return clock{offset: time.Second + s.upTo(time.Hour), rate: 1 + 0.01*s.random.Float64()}
}

func (s *schedule) upTo(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d)))
}

func (s *schedule) chance(p float64) bool { return s.random.Float64() < p }

func (s *schedule) after(d time.Duration, run func()) {
	s.events++
	heap.Push(&s.queue, event{at: s.now + d, sequence: s.events, run: run})
}

// delay is that of one message; a few are overtaken by many others.
func (s *schedule) delay() time.Duration {
	if !s.calm && s.chance(0.04) {
		return s.upTo(maxDelay)
	}
	return 200*time.Microsecond + s.upTo(3*time.Millisecond)
}

func (s *schedule) local(h *simHost) time.Time { return epoch.Add(h.clock.at(s.now)) }

func (s *schedule) linked(a, b string) bool {
	return s.cut[[2]string{a, b}] <= s.now && s.cut[[2]string{a, ""}] <= s.now && s.cut[[2]string{"", b}] <= s.now
}

// run executes the schedule and returns what the checker found.
func (s *schedule) run() []invariant.Violation {
	s.after(faultsFrom, s.fault)
	s.after(faultsUntil, s.heal)
	for s.now < scheduleEnd && len(s.checker.Violations()) == 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	return s.checker.Violations()
}

func (s *schedule) boot(h *simHost) {
	s.checker.Led(epoch.Add(s.now), h.name, epoch)
	h.life++
	h.crashed, h.paused, h.waiting, h.ledger, h.stored, h.snapshot = false, 0, nil, nil, nil, nil
	started := s.local(h)
	if s.variant.noPromise {
		started = started.Add(-time.Hour)
	}
	h.witness, h.candidate = leadership.NewWitness(h.name, started), leadership.NewCandidate(h.name)
	h.witness.UpdateRecord(s.record)
	h.candidate.SetRecord(s.record)
	h.tryAt = s.local(h).Add(s.upTo(100 * time.Millisecond))
}

// atHost runs f on h after a delay, later if h is paused, never if it crashed.
func (s *schedule) atHost(h *simHost, d time.Duration, f func()) {
	life := h.life
	s.after(d, func() {
		switch {
		case h.crashed || h.life != life:
		case s.now < h.paused:
			h.waiting = append(h.waiting, f)
		default:
			f()
		}
	})
}

func (s *schedule) wake(h *simHost) {
	waiting := h.waiting
	h.waiting, h.paused = nil, 0
	for _, f := range waiting {
		f()
	}
}

// step is one turn of a host's loops.
func (s *schedule) step(h *simHost) {
	s.after(stepInterval, func() { s.step(h) })
	if h.crashed || s.now < h.paused {
		return
	}
	now := s.local(h)
	s.elect(h, now)
	s.lead(h, now)
	if s.unchecked && s.chance(0.4) {
		s.fetchSnapshot(h, now)
	}
	s.request(h, now)
}

func (s *schedule) elect(h *simHost, now time.Time) {
	_, _, leads := h.candidate.LeaderLease(now)
	holder, _ := h.witness.Holder(now)
	switch {
	case leads && !now.Before(h.renewAt):
	case !leads && !now.Before(h.tryAt) && (holder == "" || holder == h.name):
		term := h.candidate.Campaign(now.Add(h.wall), s.random.Uint64())
		h.tryAt = now.Add(campaignLimit + s.upTo(4*campaignLimit))
		s.atHost(h, campaignLimit, func() { s.giveUp(h, term) })
	default:
		return
	}
	h.renewAt = now.Add(leadership.RenewInterval)
	s.askWitnesses(h, h.candidate.Request())
}

// giveUp releases the promises of a campaign that has not succeeded.
func (s *schedule) giveUp(h *simHost, term topology.Term) {
	if _, _, leads := h.candidate.LeaderLease(s.local(h)); leads || topology.Term(h.candidate.Request().GetTerm()) != term {
		return
	}
	h.candidate.StepDown()
	s.askWitnesses(h, &peerpb.PromiseRequest{Candidate: string(h.name), Term: uint64(term), RecordVersion: 1, Release: true})
}

func (s *schedule) askWitnesses(h *simHost, request *peerpb.PromiseRequest) {
	sentAt := s.local(h)
	for _, w := range s.hosts {
		if w != h && !s.linked(string(h.name), string(w.name)) {
			continue
		}
		s.atHost(w, s.delay(), func() {
			response := w.witness.HandlePromise(s.local(w), request, -1)
			if w != h && !s.linked(string(w.name), string(h.name)) || request.GetRelease() {
				return
			}
			s.atHost(h, s.delay(), func() {
				if s.variant.oldAuthority {
					sentAt = s.local(h)
				}
				h.candidate.HandleResponse(s.local(h), sentAt, w.name, topology.Term(request.GetTerm()), response)
			})
		})
	}
}

// holds is the guard that stands before everything a leader does.
func (s *schedule) holds(h *simHost) bool {
	term, until, ok := h.candidate.LeaderLease(s.local(h))
	if ok {
		s.checker.Led(epoch.Add(s.now), h.name, epoch.Add(h.clock.trueTime(until.Sub(epoch))))
	}
	if s.variant.noAuthority && h.ledger != nil && !ok {
		return true
	}
	return ok && h.ledger != nil && h.ledger.term == term
}

func (s *schedule) lead(h *simHost, now time.Time) {
	if term, _, ok := h.candidate.LeaderLease(now); ok && (h.ledger == nil || h.ledger.term != term) {
		h.ledger = NewLedger(now, LedgerOptions{
			Service: testService, Leader: h.name, Term: term, Unchecked: s.unchecked, Servers: s.described, Assignment: s.copyOfPeer(),
		})
		h.ledger.faults = s.variant.ledger
		h.stored, h.attempt = nil, make(map[topology.ServerName]int)
	}
	if !s.holds(h) {
		return
	}
	h.ledger.Tick(now)
	s.persist(h, now)
	for _, server := range h.ledger.Due(now) {
		s.heartbeat(h, server.Name)
	}
	if term := h.ledger.Superseded(); term != 0 {
		h.candidate.ObserveTerm(term)
		h.candidate.StepDown()
		s.checker.Led(epoch.Add(s.now), h.name, epoch)
		h.ledger = nil
	}
}

// copyOfPeer returns an assignment that some host knows, however old.
func (s *schedule) copyOfPeer() *topology.Assignment {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	if h.ledger == nil || h.crashed {
		return nil
	}
	return h.ledger.Assignment()
}

func (s *schedule) heartbeat(h *simHost, name topology.ServerName) {
	ledger := h.ledger
	sent := ledger.Next(s.local(h), name)
	h.attempt[name]++
	attempt := h.attempt[name]
	outstanding := func() bool { return h.ledger == ledger && h.attempt[name] == attempt }
	s.atHost(h, heartbeatTimeout, func() {
		if outstanding() {
			h.attempt[name]++
			ledger.Failed(name)
		}
	})
	if !s.linked(string(h.name), string(name)) {
		return
	}
	server := s.servers[name[1]-'0']
	s.after(s.delay(), func() {
		s.atServer(server, func() {
			reply := s.deliver(server, sent)
			if !s.linked(string(name), string(h.name)) {
				return
			}
			s.atHost(h, s.delay(), func() {
				if outstanding() && s.holds(h) {
					h.attempt[name]++
					ledger.Replied(s.local(h), name, sent, reply)
				}
			})
		})
	})
}

// atServer runs f when the server reads its socket.
func (s *schedule) atServer(server *simServer, f func()) {
	switch {
	case server.crashed:
	case s.now < server.frozen:
		server.queued = append(server.queued, f)
	default:
		f()
	}
}

func (s *schedule) deliver(server *simServer, h granter.Heartbeat) granter.Reply {
	local := server.clock.at(s.now)
	reply := server.heartbeat(local, h)
	s.checker.Granted(epoch.Add(s.now), testService, server.name, server.owned(), epoch.Add(server.clock.trueTime(server.end)))
	return reply
}

// persist does what the controller's persister does, with a random planner.
func (s *schedule) persist(h *simHost, now time.Time) {
	if s.storeDown > s.now || !s.chance(0.2) {
		return
	}
	if h.stored == nil {
		a, found, err := s.assigned.load(context.Background(), testService)
		if err != nil {
			return
		}
		h.stored = found
		if a != nil {
			h.candidate.ObserveTerm(a.Version.Term)
			h.ledger.SetAssignment(a)
		}
	}
	next := h.ledger.corrected(h.ledger.liveServers(now))
	var moves []Move
	switch current := h.ledger.Assignment(); {
	case current == nil:
		next = initialAssignment(testService, s.described, 2)
	case !s.calm && s.chance(0.5):
		if next == nil {
			next = current.Clone()
		}
		moves = s.plan(next)
	}
	if next == nil {
		return
	}
	next.Version = topology.Version{Term: h.ledger.term, Sequence: sequenceAfter(h.ledger.Assignment(), h.ledger.term)}
	after, applied, _ := s.assigned.write(context.Background(), h.stored, next)
	h.stored = after
	if !applied {
		return
	}
	s.checker.Acknowledged(epoch.Add(s.now), testService, after.ID)
	h.ledger.SetAssignment(next)
	for _, m := range moves {
		h.ledger.StartMove(now, m)
	}
}

// plan applies a random split, merge or move of part of a slice to next.
func (s *schedule) plan(next *topology.Assignment) []Move {
	slice := next.Slices[s.random.IntN(len(next.Slices))]
	m := Move{Kind: KindMove, Range: slice.Range, From: slice.Owner, To: s.described[s.random.IntN(len(s.described))].Name}
	half := slice.Range.First + (slice.Range.Last-slice.Range.First)/2
	switch s.random.IntN(4) {
	case 0:
		m.Kind, m.Range.First = KindSplit, half
	case 1:
		m.Kind, m.Range = KindMerge, topology.Range{First: slice.Range.First, Last: slice.Range.Last}
	case 2:
		m.Range.First = half
	}
	if m.Kind == KindMove && m.From == m.To || !apply(next, m, s.described) || m.Kind != KindMove {
		return nil
	}
	return []Move{m}
}

// fetchSnapshot asks a host for the routes; only a leader with authority
// answers.
func (s *schedule) fetchSnapshot(h *simHost, now time.Time) {
	leader := s.hosts[s.random.IntN(len(s.hosts))]
	if leader != h && !s.linked(string(h.name), string(leader.name)) {
		return
	}
	s.atHost(leader, s.delay(), func() {
		if !s.holds(leader) {
			return
		}
		routes := leader.ledger.Routes(s.local(leader), nil)
		s.atHost(h, s.delay(), func() { h.snapshot, h.validTo = routes, now.Add(topology.RouteTableValidity) })
	})
}

// request sends one request as a host would: under its snapshot if servers do
// not check, to any server otherwise.
func (s *schedule) request(h *simHost, now time.Time) {
	position := topology.Hash(s.random.Uint64())
	if !s.unchecked {
		server := s.servers[s.random.IntN(len(s.servers))]
		if !server.crashed && s.now >= server.frozen && server.accepts(server.clock.at(s.now), position, server.held.Version) {
			s.checker.Executed(epoch.Add(s.now), testService, server.name, position)
		}
		return
	}
	if h.snapshot == nil || !now.Before(h.validTo) && !s.variant.noValidity {
		return
	}
	for _, r := range h.snapshot {
		if r.Held && r.Range.Contains(position) {
			// A request in the buffer of a frozen server is the residual risk
			// that the design documents; it is dropped here.
			if server := s.servers[r.Server[1]-'0']; !server.crashed && s.now >= server.frozen {
				s.checker.Executed(epoch.Add(s.now), testService, server.name, position)
			}
		}
	}
}
