package ownership

import (
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// Move is one planned change. A split begins a slice at Range.First, a merge
// joins the slices of one owner within Range; both change only the assignment.
type Move struct {
	Kind  Kind
	Range topology.Range
	From  topology.ServerName
	To    topology.ServerName
	// Forced is set if From must give the range up soon, because it leaves or
	// may no longer own it. Such a move does not wait for the store.
	Forced bool
	// ToSuccessor is set if the assignment in the store names To as a successor
	// of the range and not yet as its owner.
	ToSuccessor bool
}

// Kind tells what a Move changes.
type Kind uint8

// The kinds of a Move.
const (
	KindMove Kind = iota
	KindSplit
	KindMerge
)

// ServerView is what a planner may know of a server.
type ServerView struct {
	topology.Server
	Live    bool
	Leaving bool
	// Running is the server's own count of running requests; it may lag.
	Running int
}

// PlanInput is what a planner gets. The assignment must not be changed.
type PlanInput struct {
	Now        time.Time
	Assignment *topology.Assignment
	Servers    []ServerView
	// Moving lists the ranges of moves in progress.
	Moving []topology.Range
}

// Planner proposes changes every planInterval.
type Planner interface {
	Plan(service topology.ServiceName, input PlanInput) []Move
}

// ServerStatus is what the leader knows of one server.
type ServerStatus struct {
	Name    topology.ServerName `json:"name"`
	Live    bool                `json:"live"`
	Leaving bool                `json:"leaving"`
	Held    []topology.Range    `json:"held"`
	Version topology.Version    `json:"version"`
	Running int                 `json:"running"`
}

// MoveStatus is a move in progress.
type MoveStatus struct {
	Range     topology.Range      `json:"range"`
	From      topology.ServerName `json:"from"`
	To        topology.ServerName `json:"to"`
	StartedAt time.Time           `json:"startedAt"`
}

// ServiceStatus is what the leader knows of one service.
type ServiceStatus struct {
	Service    topology.ServiceName `json:"service"`
	Term       topology.Term        `json:"term"`
	Takeover   time.Time            `json:"takeover"`
	Assignment topology.Version     `json:"assignment"`
	Slices     int                  `json:"slices"`
	Servers    []ServerStatus       `json:"servers"`
	Moves      []MoveStatus         `json:"moves,omitempty"`
	// Unheld lists the ranges that no server has confirmed.
	Unheld []topology.Range `json:"unheld,omitempty"`
}

// Status describes the ledger.
func (l *Ledger) Status(now time.Time) ServiceStatus {
	out := ServiceStatus{Service: l.service, Term: l.term, Takeover: l.takeover}
	if l.assignment != nil {
		out.Assignment, out.Slices = l.assignment.Version, len(l.assignment.Slices)
	}
	for _, s := range l.servers {
		status := ServerStatus{Name: s.Name, Live: s.live(now), Leaving: s.leaving, Version: s.confirmed, Running: s.running}
		for _, g := range s.segments {
			if g.phase == phaseHeld {
				status.Held = append(status.Held, g.bounds)
			}
		}
		status.Held = topology.NormalizeRanges(status.Held)
		out.Servers = append(out.Servers, status)
	}
	for _, m := range l.moves {
		out.Moves = append(out.Moves, MoveStatus{Range: m.Range, From: m.From, To: m.To, StartedAt: m.startedAt})
	}
	for _, g := range l.segments {
		if g.phase != phaseHeld {
			out.Unheld = append(out.Unheld, g.bounds)
		}
	}
	out.Unheld = topology.NormalizeRanges(out.Unheld)
	return out
}

func (l *Ledger) planInput(now time.Time) PlanInput {
	in := PlanInput{Now: now, Assignment: l.assignment}
	for _, s := range l.servers {
		in.Servers = append(in.Servers, ServerView{Server: s.Server, Live: s.live(now), Leaving: s.leaving, Running: s.running})
	}
	for _, m := range l.moves {
		in.Moving = append(in.Moving, m.Range)
	}
	return in
}

// liveServers returns the servers that may be named in an assignment.
func (l *Ledger) liveServers(now time.Time) []topology.Server {
	var out []topology.Server
	for _, s := range l.servers {
		if s.live(now) && !s.leaving {
			out = append(out, s.Server)
		}
	}
	return out
}

// settled reports whether every server has answered under this term, or time
// enough has passed for those that are reachable.
func (l *Ledger) settled(now time.Time) bool {
	if now.Sub(l.takeover) >= 2*HeartbeatInterval {
		return true
	}
	for _, s := range l.servers {
		if !s.contacted {
			return false
		}
	}
	return true
}

// Routes returns the routes to publish, sorted and joined. Until the takeover
// wait is over, ranges that no server has reported keep their former route: a
// server that this leader cannot reach may still serve them, and nobody else
// can own them.
func (l *Ledger) Routes(now time.Time, former *topology.RouteTable) []topology.Route {
	var out []topology.Route
	keep := former != nil && now.Before(l.takeoverEnd)
	position := 0
	for _, g := range l.segments {
		if g.phase == phaseFree && !g.known && keep {
			for ; position < len(former.Routes) && former.Routes[position].Range.First <= g.bounds.Last; position++ {
				r := former.Routes[position]
				last := r.Range.Last
				if last < g.bounds.First {
					continue
				}
				r.Range.First = max(r.Range.First, g.bounds.First)
				r.Range.Last = min(last, g.bounds.Last)
				out = appendRoute(out, r)
				if last > g.bounds.Last {
					break // the next segment starts within this route
				}
			}
			continue
		}
		r := topology.Route{Range: g.bounds}
		if g.phase == phaseHeld {
			r.Server, r.Token, r.Held = g.holder.Name, g.holder.confirmed, true
		}
		out = appendRoute(out, r)
	}
	return out
}

func appendRoute(out []topology.Route, r topology.Route) []topology.Route {
	if n := len(out); n > 0 && out[n-1].Server == r.Server && out[n-1].Token == r.Token && out[n-1].Held == r.Held {
		out[n-1].Range.Last = r.Range.Last
		return out
	}
	return append(out, r)
}
