package ownership

import (
	"slices"
	"time"

	"github.com/cassiasill/cassiasill/internal/granter"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const (
	// HeartbeatInterval lets several heartbeats be lost within GrantTTL.
	HeartbeatInterval = 200 * time.Millisecond
	// liveLimit is the age of a server's last reply up to which it is given
	// ranges: three heartbeats.
	liveLimit = 3 * HeartbeatInterval
	// drainLimit is how long a release may take before the range goes back to
	// the server that still runs its requests.
	drainLimit = time.Second
)

// phase tells what the holder of a segment has been told.
type phase uint8

const (
	phaseFree      phase = iota // no server can hold the segment
	phaseGranting               // added to the holder's set, not confirmed
	phaseHeld                   // confirmed by the holder
	phaseReleasing              // removed from the holder's set, not confirmed
)

// segment is a range that has one state. At most one server can hold it.
type segment struct {
	bounds topology.Range
	slice  int // index into the assignment, -1 if none is loaded
	holder *server
	phase  phase
	// since is the first set version with the segment (granting) or without
	// it (releasing); zero until such a set was sent.
	since topology.Version
	// known is true once a server reported the segment under this term or the
	// takeover wait is over: no grant of an earlier leader can be in effect.
	known bool
	// Until waitUntil only waitFor may be granted the segment.
	waitFor   *server
	waitUntil time.Time
	move      *move
	changedAt time.Time
	position  int // in holder.segments or Ledger.free
}

// server is the leader's view of one server.
type server struct {
	topology.Server
	contacted   bool // answered under this term since its last lapse
	incarnation string
	clock       time.Duration // reading in the last reply
	readAt      time.Time     // receipt of the last reply
	// until is when every set that the server may have has ended, as counted
	// by the leader.
	until     time.Time
	confirmed topology.Version // held, by the last reply
	version   topology.Version // of the newest set built
	set       []topology.Range
	dirty     bool // the set must be rebuilt
	pending   int  // segments granting or releasing
	segments  []*segment
	leaving   bool
	unlisted  bool // no longer in the settings
	running   int
	sentAt    time.Time
	busy      bool // a heartbeat is outstanding
	urgent    bool // the next heartbeat does not wait for its interval
}

// ledgerFaults removes single rules, so that tests can show that the checker
// finds each removal.
type ledgerFaults struct {
	noTakeoverWait  bool
	ignoreDraining  bool
	adoptExpiredSet bool
}

// Ledger is one leader's view of one service for one term. It is not safe for
// concurrent use.
type Ledger struct {
	service     topology.ServiceName
	leader      topology.HostName
	term        topology.Term
	unchecked   bool
	eligible    func(topology.ServerName, topology.Range) bool
	takeover    time.Time
	takeoverEnd time.Time
	sequence    uint64
	assignment  *topology.Assignment
	servers     []*server
	byName      map[topology.ServerName]*server
	segments    []*segment
	free        []*segment
	releasing   []*segment
	moves       []*move
	superseded  topology.Term
	routesDirty bool
	events      []Event
	faults      ledgerFaults
}

// LedgerOptions sets up a Ledger.
type LedgerOptions struct {
	Service   topology.ServiceName
	Leader    topology.HostName
	Term      topology.Term
	Unchecked bool
	Servers   []topology.Server
	// Assignment may be nil until one is loaded.
	Assignment *topology.Assignment
	// Eligible restricts who may take over a range when neither its owner nor
	// a successor is live; nil allows every server.
	Eligible func(topology.ServerName, topology.Range) bool
}

// NewLedger returns the ledger of a leader that took over at now. No authority
// of an earlier leader may reach beyond now.
func NewLedger(now time.Time, o LedgerOptions) *Ledger {
	l := &Ledger{
		service: o.Service, leader: o.Leader, term: o.Term, unchecked: o.Unchecked, eligible: o.Eligible,
		takeover: now, byName: make(map[topology.ServerName]*server), routesDirty: true,
	}
	l.takeoverEnd = now.Add(granter.WithClockMargin(granter.GrantTTL) + l.snapshotWait())
	for _, s := range o.Servers {
		l.addServer(s)
	}
	whole := &segment{bounds: topology.FullRange, slice: -1, changedAt: now}
	l.segments = []*segment{whole}
	l.attach(whole, nil)
	if o.Assignment != nil {
		l.SetAssignment(o.Assignment)
	}
	return l
}

func (l *Ledger) addServer(desc topology.Server) {
	s := &server{Server: desc}
	l.servers = append(l.servers, s)
	l.byName[desc.Name] = s
}

// SetServers takes over a changed list of servers. A server that left the list
// keeps its ranges until they are moved or lapse.
func (l *Ledger) SetServers(servers []topology.Server) {
	listed := make(map[topology.ServerName]bool, len(servers))
	for _, desc := range servers {
		listed[desc.Name] = true
		if s, ok := l.byName[desc.Name]; ok {
			s.Server, s.unlisted = desc, false
			continue
		}
		l.addServer(desc)
	}
	l.servers = slices.DeleteFunc(l.servers, func(s *server) bool {
		if listed[s.Name] || len(s.segments) > 0 {
			s.unlisted = !listed[s.Name]
			s.leaving = s.leaving || s.unlisted
			return false
		}
		delete(l.byName, s.Name)
		return true
	})
}

// snapshotWait is how long hosts may act under a route table after a range
// left its server, where the server does not check.
func (l *Ledger) snapshotWait() time.Duration {
	if !l.unchecked {
		return 0
	}
	return granter.WithClockMargin(topology.RouteTableValidity)
}

// live reports whether s answered recently enough to be given ranges.
func (s *server) live(now time.Time) bool {
	return s.contacted && now.Sub(s.readAt) < liveLimit
}

// attach moves g into the segments of s, or into the free ones if s is nil.
func (l *Ledger) attach(g *segment, s *server) {
	g.holder = s
	list := &l.free
	if s != nil {
		list = &s.segments
	}
	g.position = len(*list)
	*list = append(*list, g)
}

func (l *Ledger) detach(g *segment) {
	list := &l.free
	if g.holder != nil {
		list = &g.holder.segments
	}
	last := (*list)[len(*list)-1]
	(*list)[g.position] = last
	last.position = g.position
	*list = (*list)[:len(*list)-1]
}

// setPhase changes the phase and keeps the counts that depend on it.
func (l *Ledger) setPhase(g *segment, p phase) {
	if g.holder != nil {
		if g.phase == phaseGranting || g.phase == phaseReleasing {
			g.holder.pending--
		}
		if p == phaseGranting || p == phaseReleasing {
			g.holder.pending++
		}
	}
	if g.phase == phaseReleasing {
		l.releasing = slices.DeleteFunc(l.releasing, func(r *segment) bool { return r == g })
	}
	if p == phaseReleasing {
		l.releasing = append(l.releasing, g)
	}
	g.phase, g.since = p, topology.Version{}
	l.routesDirty = true
}

// release makes g free. Until wait only the server that had it may get it.
func (l *Ledger) release(now time.Time, g *segment, wait time.Time) {
	from := g.holder
	l.setPhase(g, phaseFree)
	l.detach(g)
	l.attach(g, nil)
	g.known, g.waitFor, g.waitUntil, g.changedAt = true, from, wait, now
}

// give puts g into the set of s, to be sent with the next heartbeat.
func (l *Ledger) give(now time.Time, g *segment, s *server) {
	if g.holder != s {
		l.detach(g)
		l.attach(g, s)
	}
	l.setPhase(g, phaseGranting)
	g.changedAt = now
	s.dirty, s.urgent = true, true
	// The set is sent with the last reading, so its end is already fixed.
	l.extend(now, s)
}

// extend counts the end of a set that is based on the last reading.
func (l *Ledger) extend(now time.Time, s *server) {
	end := s.readAt.Add(granter.WithClockMargin(granter.GrantTTL))
	if end.After(s.until) {
		s.until = end
	}
}

// carve returns the segments that cover r exactly, splitting at its ends.
func (l *Ledger) carve(r topology.Range) []*segment {
	first := l.find(r.First)
	if l.segments[first].bounds.First < r.First {
		l.split(first, r.First)
		first++
	}
	last := l.find(r.Last)
	if l.segments[last].bounds.Last > r.Last {
		l.split(last, r.Last+1)
	}
	return l.segments[first : last+1]
}

func (l *Ledger) find(h topology.Hash) int {
	i, _ := slices.BinarySearchFunc(l.segments, h, func(g *segment, h topology.Hash) int {
		if g.bounds.Last < h {
			return -1
		}
		return 1
	})
	return i
}

// split divides segment i so that a new segment begins at h.
func (l *Ledger) split(i int, h topology.Hash) {
	l.segments = slices.Insert(l.segments, i+1, l.cut(l.segments[i], h))
}

// cut shortens g to end before h and returns the rest with the same state.
func (l *Ledger) cut(g *segment, h topology.Hash) *segment {
	rest := *g
	rest.bounds.First = h
	g.bounds.Last = h - 1
	l.attach(&rest, g.holder)
	if rest.move != nil {
		rest.move.segments = append(rest.move.segments, &rest)
	}
	switch rest.phase {
	case phaseReleasing:
		l.releasing = append(l.releasing, &rest)
		rest.holder.pending++
	case phaseGranting:
		rest.holder.pending++
	}
	return &rest
}

// SetAssignment takes over an assignment; it changes no ownership.
func (l *Ledger) SetAssignment(a *topology.Assignment) {
	l.assignment = a
	out := make([]*segment, 0, max(len(l.segments), len(a.Slices)))
	next := 0
	for _, g := range l.segments {
		for {
			for a.Slices[next].Range.Last < g.bounds.First {
				next++
			}
			g.slice = next
			end := a.Slices[next].Range.Last
			if end >= g.bounds.Last {
				out = l.join(out, g)
				break
			}
			rest := l.cut(g, end+1)
			out = l.join(out, g)
			g = rest
		}
	}
	l.segments = out
}

// join appends g to out, or extends the last segment if both have one state.
// It keeps the number of segments near that of the slices after merges.
func (l *Ledger) join(out []*segment, g *segment) []*segment {
	if n := len(out); n > 0 {
		p := out[n-1]
		settled := p.phase == phaseHeld || p.phase == phaseFree
		if settled && p.phase == g.phase && p.slice == g.slice && p.holder == g.holder && p.known == g.known &&
			p.waitFor == g.waitFor && p.waitUntil.Equal(g.waitUntil) && p.move == nil && g.move == nil {
			l.detach(g)
			p.bounds.Last = g.bounds.Last
			return out
		}
	}
	return append(out, g)
}

// Superseded returns a term seen at a server that is higher than the ledger's,
// or zero.
func (l *Ledger) Superseded() topology.Term { return l.superseded }

// Assignment returns the assignment in use, nil if none is loaded.
func (l *Ledger) Assignment() *topology.Assignment { return l.assignment }
