package ownership

import (
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// EventKind names a placement decision or what led to one.
type EventKind string

// The kinds of events.
const (
	EventGranted       EventKind = "grant"
	EventFailover      EventKind = "failover"
	EventReleased      EventKind = "release"
	EventAdopted       EventKind = "adoption"
	EventLost          EventKind = "server lost its ranges"
	EventConflict      EventKind = "conflicting report"
	EventMoveStarted   EventKind = "move started"
	EventEvacuation    EventKind = "move to a successor started"
	EventMoveFinished  EventKind = "move finished"
	EventMoveAbandoned EventKind = "move abandoned"
)

// Event is one placement decision.
type Event struct {
	Kind    EventKind
	Server  topology.ServerName
	To      topology.ServerName
	Ranges  []topology.Range
	Version topology.Version
	Reason  string
}

func (l *Ledger) note(e Event) { l.events = append(l.events, e) }

// Events returns the decisions since the last call.
func (l *Ledger) Events() []Event {
	out := l.events
	l.events = nil
	return out
}

// log writes one line for the decision.
func (e Event) log(log *zap.Logger, service topology.ServiceName) {
	fields := make([]zap.Field, 0, 7)
	fields = append(fields, zap.String("service", string(service)), zap.String("server", string(e.Server)), zap.Int("ranges", len(e.Ranges)))
	if len(e.Ranges) > 0 {
		fields = append(fields, zap.Stringer("first", e.Ranges[0]))
	}
	if e.To != "" {
		fields = append(fields, zap.String("to", string(e.To)))
	}
	if !e.Version.IsZero() {
		fields = append(fields, zap.Stringer("version", e.Version))
	}
	if e.Reason != "" {
		fields = append(fields, zap.String("reason", e.Reason))
	}
	message := "ownership: " + string(e.Kind)
	if e.Kind == EventConflict {
		log.Error(message, fields...)
		return
	}
	log.Info(message, fields...)
}

// move is a planned move in progress.
type move struct {
	Move
	startedAt time.Time
	segments  []*segment
	abandoned bool
}

// StartMove begins to release a range of one server for another. It reports
// false, and does nothing, if the range is not wholly held by move.From or
// move.To is not live. The assignment in the store must be known to name
// move.To for the range, as its owner or as a successor.
func (l *Ledger) StartMove(now time.Time, m Move) bool {
	from, to := l.byName[m.From], l.byName[m.To]
	if from == nil || to == nil || from == to || !to.live(now) || to.leaving || l.assignment == nil {
		return false
	}
	for i := l.find(m.Range.First); i < len(l.segments) && l.segments[i].bounds.First <= m.Range.Last; i++ {
		if g := l.segments[i]; g.holder != from || g.phase != phaseHeld {
			return false
		}
	}
	started := &move{Move: m, startedAt: now}
	started.segments = append(started.segments, l.carve(m.Range)...)
	for _, g := range started.segments {
		l.setPhase(g, phaseReleasing)
		g.move, g.changedAt = started, now
	}
	from.dirty, from.urgent = true, true
	l.moves = append(l.moves, started)
	kind := EventMoveStarted
	if m.ToSuccessor {
		kind = EventEvacuation
	}
	l.note(Event{Kind: kind, Server: m.From, To: m.To, Ranges: []topology.Range{m.Range}})
	return true
}

// finishMoves ends the moves whose range has one holder again.
func (l *Ledger) finishMoves(now time.Time) {
	kept := l.moves[:0]
	for _, m := range l.moves {
		arrived, settled := true, true
		for _, g := range m.segments {
			settled = settled && g.phase == phaseHeld
			arrived = arrived && g.phase == phaseHeld && g.holder.Name == m.To
		}
		if !settled && !m.abandoned {
			kept = append(kept, m)
			continue
		}
		for _, g := range m.segments {
			g.move = nil
		}
		if arrived {
			l.note(Event{Kind: EventMoveFinished, Server: m.From, To: m.To, Ranges: []topology.Range{m.Range}, Reason: now.Sub(m.startedAt).Round(time.Millisecond).String()})
		} else if !m.abandoned {
			l.note(Event{Kind: EventMoveAbandoned, Server: m.From, To: m.To, Ranges: []topology.Range{m.Range}, Reason: "a server was lost"})
		}
	}
	clear(l.moves[len(kept):])
	l.moves = kept
}

// Tick takes the decisions that are due: it frees what has ended, abandons
// slow releases and gives free ranges to live servers.
func (l *Ledger) Tick(now time.Time) {
	for _, s := range l.servers {
		l.expire(now, s)
	}
	l.abandon(now)
	l.grant(now)
}

// abandon gives ranges back to servers that drain for too long.
func (l *Ledger) abandon(now time.Time) {
	var late []*segment
	for _, g := range l.releasing {
		if now.Sub(g.changedAt) >= drainLimit {
			late = append(late, g)
		}
	}
	for _, g := range late {
		l.give(now, g, g.holder)
		if g.move != nil && !g.move.abandoned {
			g.move.abandoned = true
			l.note(Event{Kind: EventMoveAbandoned, Server: g.move.From, To: g.move.To, Ranges: []topology.Range{g.move.Range}, Reason: "requests still run"})
		}
	}
	if len(late) > 0 {
		l.finishMoves(now)
	}
}

// grant gives the free segments that no server can hold to live servers.
func (l *Ledger) grant(now time.Time) {
	if l.assignment == nil {
		return
	}
	over := !now.Before(l.takeoverEnd) || l.faults.noTakeoverWait
	given := make(map[*server]*Event)
	for i := len(l.free) - 1; i >= 0; i-- {
		g := l.free[i]
		if !over && !g.known {
			continue
		}
		g.known = true
		s := l.target(now, g)
		if s == nil {
			continue
		}
		// A segment granted to its first owner is a grant, to another one a
		// failover.
		kind := EventGranted
		if l.assignment.Slices[g.slice].Owner != s.Name {
			kind = EventFailover
		}
		if given[s] == nil {
			given[s] = &Event{Kind: kind, Server: s.Name}
		}
		given[s].Ranges = append(given[s].Ranges, g.bounds)
		if kind == EventFailover {
			given[s].Kind = kind
		}
		l.give(now, g, s)
	}
	for _, s := range l.servers {
		if e := given[s]; e != nil {
			e.Ranges = topology.NormalizeRanges(e.Ranges)
			l.note(*e)
		}
	}
}

// target chooses the server for a free segment: the destination of its move,
// the owner, the successors in order, then any eligible server.
func (l *Ledger) target(now time.Time, g *segment) *server {
	may := func(s *server) bool { return s != nil && s.live(now) && !s.leaving }
	waiting := now.Before(g.waitUntil)
	if waiting && g.move == nil && may(g.waitFor) {
		return g.waitFor
	}
	if waiting {
		return nil
	}
	if g.move != nil && may(l.byName[g.move.To]) {
		return l.byName[g.move.To]
	}
	slice := l.assignment.Slices[g.slice]
	if s := l.byName[slice.Owner]; may(s) {
		return s
	}
	for _, name := range slice.Successors {
		if s := l.byName[name]; may(s) {
			return s
		}
	}
	return l.fallback(now, g)
}

// fallback returns the live server with the fewest segments. A leaving server
// serves only if there is no other: no key is left unserved.
func (l *Ledger) fallback(now time.Time, g *segment) *server {
	var best *server
	for _, s := range l.servers {
		if !s.live(now) || l.eligible != nil && !l.eligible(s.Name, g.bounds) {
			continue
		}
		better := best == nil || best.leaving && !s.leaving ||
			best.leaving == s.leaving && len(s.segments) < len(best.segments)
		if better {
			best = s
		}
	}
	return best
}

// urgent reports whether something is to be sent to the server at once, or a
// decision became possible by its last reply.
func (l *Ledger) urgent(name topology.ServerName) bool {
	s, ok := l.byName[name]
	return ok && (s.urgent || l.routesDirty)
}
