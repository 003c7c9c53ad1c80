package host

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/ownership"
	"github.com/cassiasill/cassiasill/internal/placement"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const (
	// moveGap is how long a planned move leaves a key without an owner: release,
	// grant and publication. The dev command reports it.
	moveGap = 20 * time.Millisecond
	// recentMovesWindow is how long moves are remembered. It is longer than the
	// window of the move budget and the dwell time.
	recentMovesWindow = 2 * time.Minute
)

// planner computes changes with package placement and keeps the state that it
// needs between planning rounds. Only the controller's goroutine of a service
// calls it for that service.
type planner struct {
	host   *Host
	states map[topology.ServiceName]*planState
}

type planState struct {
	serverStates map[topology.ServerName]placement.ServerState
	stateSince   map[topology.ServerName]time.Time
	recent       []recentMove
	warnings     []placement.Warning
}

type recentMove struct {
	bounds topology.Range
	share  float64
	at     time.Time
}

func newPlanner(h *Host) *planner {
	p := &planner{host: h, states: make(map[topology.ServiceName]*planState)}
	for _, s := range h.settings.Services {
		p.states[s.Name] = &planState{
			serverStates: make(map[topology.ServerName]placement.ServerState),
			stateSince:   make(map[topology.ServerName]time.Time),
		}
	}
	return p
}

// Plan proposes changes for one service.
func (p *planner) Plan(service topology.ServiceName, input ownership.PlanInput) []ownership.Move {
	state := p.states[service]
	set := p.host.declarations.follower.Current()
	view := p.host.loads.merged(service)
	rules := newKeyRules(set, service, p.host.restricted.keys(service))
	in := placement.Input{
		Service: service, Assignment: input.Assignment,
		Servers: state.servers(input, func(s topology.ServerName) bool { return set.Drained(service, s) }),
		Load:    view.Load, Samples: view.Samples(),
		Isolated: rules.isolated(), Eligible: rules.mayOwn,
		MoveGap: moveGap, Recent: state.recentMoves(input), Policy: placement.DefaultPolicy(), Budget: placement.DefaultBudget(),
	}
	objective := p.host.settings.Objective
	in.Weights = placement.Weights{Imbalance: objective.Imbalance, Churn: objective.Churn, UnavailableTime: objective.UnavailableTime}
	for _, k := range view.HeavyKeys() {
		in.HeavyKeys = append(in.HeavyKeys, placement.HeavyKey{Hash: k.Hash, Load: k.Load})
	}
	plan := placement.ComputePlan(in)
	p.logNewWarnings(service, state, plan.Warnings)
	return state.moves(plan, input.Now)
}

// servers returns the servers as placement input and records since when each has
// been in its state.
func (s *planState) servers(input ownership.PlanInput, drained func(topology.ServerName) bool) []placement.Server {
	policy := placement.DefaultPolicy()
	var out []placement.Server
	for _, view := range input.Servers {
		now := placement.StateReady
		before, known := s.serverStates[view.Name]
		switch {
		case !view.Live:
			now = placement.StateLost
		case view.Leaving || drained(view.Name):
			now = placement.StateDraining
		case known && before == placement.StateLost,
			before == placement.StateReturning && input.Now.Sub(s.stateSince[view.Name]) < policy.Ramp:
			now = placement.StateReturning
		}
		if !known || now != before {
			s.serverStates[view.Name], s.stateSince[view.Name] = now, input.Now
		}
		out = append(out, placement.Server{
			Name: view.Name, AvailabilityZone: view.AvailabilityZone,
			State: now, Since: input.Now.Sub(s.stateSince[view.Name]),
		})
	}
	return out
}

// recentMoves returns the moves that count against the move budget.
func (s *planState) recentMoves(input ownership.PlanInput) []placement.RecentMove {
	s.recent = slices.DeleteFunc(s.recent, func(m recentMove) bool { return input.Now.Sub(m.at) > recentMovesWindow })
	var out []placement.RecentMove
	for _, m := range s.recent {
		out = append(out, placement.RecentMove{
			Range: m.bounds, Share: m.share, Age: input.Now.Sub(m.at),
			InFlight: slices.ContainsFunc(input.Moving, m.bounds.Overlaps),
		})
	}
	return out
}

// moves converts the plan for the controller. Merges and splits come first because
// the ranges of the moves are those after them.
func (s *planState) moves(plan placement.Plan, now time.Time) []ownership.Move {
	var out []ownership.Move
	for _, m := range plan.Merges {
		out = append(out, ownership.Move{Kind: ownership.KindMerge, Range: m.Range})
	}
	for _, split := range plan.Splits {
		for _, part := range split.Parts {
			if part.First != split.Range.First {
				out = append(out, ownership.Move{Kind: ownership.KindSplit, Range: part})
			}
		}
	}
	for _, m := range plan.Moves {
		out = append(out, ownership.Move{Kind: ownership.KindMove, Range: m.Range, From: m.From, To: m.To, Forced: m.Reason.Forced()})
		s.recent = append(s.recent, recentMove{m.Range, m.Share, now})
	}
	return out
}

// logNewWarnings logs the warnings that the previous plan did not have.
func (p *planner) logNewWarnings(service topology.ServiceName, state *planState, warnings []placement.Warning) {
	for _, w := range warnings {
		if !slices.Contains(state.warnings, w) {
			p.host.log.Warn("placement: "+string(w.Kind), zap.String("service", string(service)),
				zap.Stringer("range", w.Range), zap.String("owner", string(w.Owner)))
		}
	}
	state.warnings = warnings
}
