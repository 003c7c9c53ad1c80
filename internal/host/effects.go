package host

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cassiasill/cassiasill/internal/declaration"
	"github.com/cassiasill/cassiasill/internal/placement"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// overloadFactor is the load, relative to the mean, above which a server is
// reported.
const overloadFactor = 1.5

// effects predicts for operators what a change of the declarations would move. It
// compares the plans under the rules before and after the change.
type effects struct{ host *Host }

// Effects returns one line of text for each effect of the change.
func (e effects) Effects(_ context.Context, before, after *declaration.Set) ([]string, error) {
	var lines []string
	for _, s := range e.host.settings.Services {
		if !s.DividedByKey {
			continue
		}
		topic, ok := e.host.topics.replicator.Get("assignment/" + string(s.Name))
		if !ok {
			lines = append(lines, fmt.Sprintf("%s: no assignment is known yet", s.Name))
			continue
		}
		var assignment topology.Assignment
		if err := json.Unmarshal(topic.Payload, &assignment); err != nil {
			return nil, fmt.Errorf("assignment of %s: %w", s.Name, err)
		}
		in := e.input(s.Name, s.Servers, &assignment)
		lines = append(lines, describe(s.Name, placement.ComputePlan(in(before)), placement.ComputePlan(in(after)), in(after))...)
	}
	return lines, nil
}

// input returns a function that builds the planner's input under the rules of a
// declaration set.
func (e effects) input(service topology.ServiceName, servers []topology.Server, assignment *topology.Assignment) func(*declaration.Set) placement.Input {
	view := e.host.loads.merged(service)
	restricted := e.host.restricted.keys(service)
	return func(set *declaration.Set) placement.Input {
		rules := newKeyRules(set, service, restricted)
		in := placement.Input{
			Service: service, Assignment: assignment, Load: view.Load, Samples: view.Samples(),
			Isolated: rules.isolated(), Eligible: rules.mayOwn,
			MoveGap: moveGap, Policy: placement.DefaultPolicy(), Budget: placement.DefaultBudget(),
		}
		for _, s := range servers {
			state := placement.StateReady
			if set.Drained(service, s.Name) {
				state = placement.StateDraining
			}
			in.Servers = append(in.Servers, placement.Server{Name: s.Name, AvailabilityZone: s.AvailabilityZone, State: state, Since: time.Hour})
		}
		return in
	}
}

// describe returns one line for each difference between the plans before and after
// a change.
func describe(service topology.ServiceName, before, after placement.Plan, in placement.Input) []string {
	forced := func(p placement.Plan) (moves int, share float64) {
		for _, m := range p.Moves {
			if m.Reason.Forced() {
				moves++
				share += m.Share
			}
		}
		return moves, share
	}
	unowned := func(p placement.Plan) int {
		n := 0
		for _, w := range p.Warnings {
			if w.Kind == placement.WarningNoEligibleServer {
				n++
			}
		}
		return n
	}
	var lines []string
	movesBefore, _ := forced(before)
	if moves, share := forced(after); moves > movesBefore {
		lines = append(lines, fmt.Sprintf("%s: %d slices with %.1f %% of the load move to other servers", service, moves-movesBefore, 100*share))
	}
	if n := unowned(after) - unowned(before); n > 0 {
		lines = append(lines, fmt.Sprintf("%s: %d slices have no eligible server and keep their present owner", service, n))
	}
	for _, name := range overloaded(after.Next, in) {
		lines = append(lines, fmt.Sprintf("%s: server %s would carry more than %.1f times the mean load", service, name, overloadFactor))
	}
	return lines
}

// overloaded returns the servers whose load under an assignment exceeds
// overloadFactor times the mean.
func overloaded(assignment *topology.Assignment, in placement.Input) []topology.ServerName {
	if assignment == nil || in.Load(topology.FullRange) == 0 {
		return nil
	}
	loads, total := make(map[topology.ServerName]float64), 0.0
	for _, s := range assignment.Slices {
		load := in.Load(s.Range)
		loads[s.Owner] += load
		total += load
	}
	var out []topology.ServerName
	for _, name := range slices.Sorted(maps.Keys(loads)) {
		if loads[name]*float64(len(in.Servers)) > overloadFactor*total {
			out = append(out, name)
		}
	}
	return out
}
