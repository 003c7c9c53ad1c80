package ownership

import (
	"time"

	"github.com/cassiasill/cassiasill/internal/granter"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// Due returns the servers to which a heartbeat should be sent now.
func (l *Ledger) Due(now time.Time) []topology.Server {
	var due []topology.Server
	for _, s := range l.servers {
		if !s.busy && (s.urgent || now.Sub(s.sentAt) >= HeartbeatInterval) {
			due = append(due, s.Server)
		}
	}
	return due
}

// Next returns the heartbeat to send to a server now. The caller must hold
// authority for the ledger's term and call Replied or Failed afterwards; until
// then no other heartbeat goes to the server.
func (l *Ledger) Next(now time.Time, name topology.ServerName) granter.Heartbeat {
	s := l.byName[name]
	l.expire(now, s)
	s.sentAt, s.busy, s.urgent = now, true, false
	heartbeat := granter.Heartbeat{Leader: l.leader, Term: l.term}
	if s.dirty && s.contacted {
		l.build(s)
	}
	unconfirmed := s.version.NewerThan(s.confirmed)
	if !s.contacted || len(s.segments) == 0 && !unconfirmed {
		return heartbeat // asks only
	}
	heartbeat.Incarnation = s.incarnation
	heartbeat.SetVersion = s.version
	heartbeat.Expiry = s.clock + granter.GrantTTL
	if unconfirmed {
		heartbeat.Set = &granter.GrantSet{Version: s.version, Ranges: s.set}
	}
	l.extend(now, s)
	return heartbeat
}

// build makes the next set of s from its segments.
func (l *Ledger) build(s *server) {
	l.sequence++
	s.version = topology.Version{Term: l.term, Sequence: l.sequence}
	ranges := make([]topology.Range, 0, len(s.segments))
	for _, g := range s.segments {
		if g.phase == phaseGranting || g.phase == phaseHeld {
			ranges = append(ranges, g.bounds)
		}
		if g.since.IsZero() && (g.phase == phaseGranting || g.phase == phaseReleasing) {
			g.since = s.version
		}
	}
	s.set = topology.NormalizeRanges(ranges)
	s.dirty = false
}

// Failed notes that a heartbeat was not answered; it may have been applied.
func (l *Ledger) Failed(name topology.ServerName) {
	if s, ok := l.byName[name]; ok {
		s.busy = false
	}
}

// Replied takes in the reply to a heartbeat, received at now. The server's
// clock was read before now, so that an end counted from now is never early.
func (l *Ledger) Replied(now time.Time, name topology.ServerName, sent granter.Heartbeat, reply granter.Reply) {
	s, ok := l.byName[name]
	if !ok {
		return
	}
	s.busy = false
	if reply.HighestTerm > l.term {
		l.superseded = max(l.superseded, reply.HighestTerm)
		return
	}
	l.expire(now, s)
	if s.contacted && reply.Incarnation != s.incarnation {
		l.restarted(now, s)
	}
	if !s.contacted && sent.Expiry != 0 {
		return // the reply may lack the ranges; the next heartbeat asks
	}
	if s.contacted && reply.Clock < s.clock {
		return // answered before a reply that is already known
	}
	s.clock, s.readAt = reply.Clock, now
	s.leaving, s.running = reply.DrainRequested || s.unlisted, reply.InFlight
	if !s.contacted {
		l.adopt(now, s, reply)
		return
	}
	l.confirm(now, s, reply)
}

// restarted frees what the former incarnation of s held. Others get it only
// after its end: the former incarnation may be running elsewhere. The server
// itself gets it at once, since requests reach only its new incarnation.
func (l *Ledger) restarted(now time.Time, s *server) {
	ranges := l.lose(now, s, s.until.Add(l.snapshotWait()))
	l.note(Event{Kind: EventLost, Server: s.Name, Ranges: ranges, Reason: "restarted"})
}

// lose frees all segments of s.
func (l *Ledger) lose(now time.Time, s *server, wait time.Time) []topology.Range {
	var ranges []topology.Range
	for len(s.segments) > 0 {
		g := s.segments[len(s.segments)-1]
		ranges = append(ranges, g.bounds)
		l.release(now, g, wait)
	}
	s.contacted, s.dirty = false, false
	return ranges
}

// expire frees the segments of s when its sets have ended, as counted here.
func (l *Ledger) expire(now time.Time, s *server) {
	if len(s.segments) == 0 || now.Before(s.until) {
		return
	}
	ranges := l.lose(now, s, now.Add(l.snapshotWait()))
	l.note(Event{Kind: EventLost, Server: s.Name, Ranges: ranges, Reason: "grant ended"})
}

// adopt takes over what a server reports in its first reply under this term.
func (l *Ledger) adopt(now time.Time, s *server, reply granter.Reply) {
	s.contacted, s.incarnation = true, reply.Incarnation
	s.confirmed, s.version, s.dirty = reply.HeldSet.Version, reply.HeldSet.Version, false
	l.raise(reply.HeldSet.Version)
	var taken []topology.Range
	left := reply.Expiry - reply.Clock
	if left > 0 || l.faults.adoptExpiredSet {
		s.until = now.Add(granter.WithClockMargin(left))
		taken = l.take(now, s, reply.HeldSet.Ranges, phaseHeld)
	}
	// A set that has ended must not be renewed: its ranges may have gone to
	// another server since. Released requests that still run are waited for
	// all the same, where no other server was given the range.
	if len(l.take(now, s, reply.Draining, phaseReleasing)) > 0 {
		l.extend(now, s)
		s.dirty = true // a new set replaces the one that may have ended
	}
	for _, g := range s.segments {
		if g.phase == phaseReleasing {
			g.since = s.confirmed
		}
	}
	if len(taken) > 0 {
		s.urgent = true
		l.note(Event{Kind: EventAdopted, Server: s.Name, Ranges: taken, Version: s.confirmed})
	}
	l.routesDirty = true
}

// take records that s holds ranges. A range that another server may hold is
// left to that server, and s is sent a set without it.
func (l *Ledger) take(now time.Time, s *server, ranges []topology.Range, p phase) []topology.Range {
	var taken []topology.Range
	for _, r := range topology.NormalizeRanges(ranges) {
		for _, g := range l.carve(r) {
			if g.holder != nil {
				if g.holder != s && p == phaseHeld {
					s.dirty = true
					l.note(Event{Kind: EventConflict, Server: s.Name, To: g.holder.Name, Ranges: []topology.Range{g.bounds}})
				}
				continue
			}
			l.detach(g)
			l.attach(g, s)
			l.setPhase(g, p)
			g.known, g.changedAt = true, now
			taken = append(taken, g.bounds)
		}
	}
	return taken
}

// raise keeps the sequence above a version that a server holds under this term.
func (l *Ledger) raise(v topology.Version) {
	if v.Term == l.term && v.Sequence > l.sequence {
		l.sequence = v.Sequence
	}
}

// confirm takes in what s holds after sets of this ledger were sent to it.
func (l *Ledger) confirm(now time.Time, s *server, reply granter.Reply) {
	v := reply.HeldSet.Version
	if s.confirmed.NewerThan(v) {
		return
	}
	if s.confirmed != v {
		s.confirmed = v
		l.routesDirty = true
	}
	if v.NewerThan(s.version) {
		// Only a set of a former run of this term can be newer; replace it.
		l.raise(v)
		s.dirty, s.urgent = true, true
	}
	if s.pending == 0 {
		return
	}
	var granted, released []topology.Range
	for i := len(s.segments) - 1; i >= 0; i-- {
		g := s.segments[i]
		if g.since.IsZero() || g.since.NewerThan(v) {
			continue
		}
		switch {
		case g.phase == phaseGranting:
			l.setPhase(g, phaseHeld)
			g.known, g.waitFor, g.waitUntil = true, nil, time.Time{}
			granted = append(granted, g.bounds)
		case g.phase == phaseReleasing && (l.faults.ignoreDraining || !overlapsAny(g.bounds, reply.Draining)):
			released = append(released, g.bounds)
			l.release(now, g, now.Add(l.snapshotWait()))
		}
	}
	if len(released) > 0 {
		l.note(Event{Kind: EventReleased, Server: s.Name, Ranges: released, Version: v})
	}
	if len(granted) > 0 {
		l.finishMoves(now)
	}
}

func overlapsAny(r topology.Range, others []topology.Range) bool {
	for _, o := range others {
		if r.Overlaps(o) {
			return true
		}
	}
	return false
}
