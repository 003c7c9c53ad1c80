package ownership

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/topology"
)

const (
	// planInterval is how often a planner is asked and corrections are
	// written. A server that leaves must be empty within 3 s, also if the first
	// target of a move is lost and the move is planned again.
	planInterval = 500 * time.Millisecond
	// planPause times the duration of a planning round is the least pause after
	// it, so that planning takes at most 3.7 % of a core at any size.
	planPause = 27
	// loadInterval is the pause between attempts to read the store in a new
	// term.
	loadInterval = 200 * time.Millisecond
	// storeTimeout bounds one read or write of an assignment.
	storeTimeout = 2 * time.Second
	// forcedTimeout bounds the write before moves that must be done within 3 s.
	forcedTimeout = 800 * time.Millisecond
)

// persist keeps the assignment in the store in step with the ledger.
func (c *Controller) persist(ctx context.Context, r *run) {
	for ctx.Err() == nil {
		wait := max(planInterval, planPause*r.planTook)
		if err := c.persistOnce(ctx, r); err != nil {
			c.log.Warn("ownership: assignment not stored", zap.String("service", string(r.ledger.service)), zap.Error(err))
		}
		if r.stored == nil {
			wait = loadInterval
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// persistOnce loads the assignment if needed, then writes corrections and
// planned moves and starts the moves once the write is known to be applied.
func (c *Controller) persistOnce(ctx context.Context, r *run) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if r.stored == nil {
		if err := c.load(ctx, r); err != nil {
			c.evacuate(r, c.forcedMoves(r))
			return err
		}
	}
	next, moves := c.next(r)
	if next == nil || !c.holds(r.term) {
		return nil
	}
	forced := slices.DeleteFunc(slices.Clone(moves), func(m Move) bool { return !m.Forced })
	if len(forced) > 0 {
		ctx, cancel = context.WithTimeout(ctx, forcedTimeout)
		defer cancel()
	}
	after, applied, err := c.assignments.write(ctx, r.stored, next)
	if err != nil {
		c.evacuate(r, forced)
	}
	r.stored = after
	if err != nil || !applied {
		return err // loaded again before the next attempt
	}
	c.o.Leadership.RecordStoreReachable()
	c.use(r, next, moves)
	return nil
}

// forcedMoves asks the planner for the moves that do not wait for the store.
func (c *Controller) forcedMoves(r *run) []Move {
	r.mu.Lock()
	input := r.ledger.planInput(time.Now())
	r.mu.Unlock()
	if c.o.Planner == nil || input.Assignment == nil {
		return nil
	}
	return slices.DeleteFunc(c.o.Planner.Plan(r.ledger.service, input), func(m Move) bool {
		return m.Kind != KindMove || !m.Forced || overlapsAny(m.Range, input.Moving)
	})
}

// evacuate starts forced moves without the store, each slice to the first live
// successor that the assignment names. The assignment is in the store, so that
// such a move is as durable as a failover along it; where the ranges are in the
// end is written when the store answers.
func (c *Controller) evacuate(r *run, moves []Move) {
	if len(moves) == 0 || !c.holds(r.term) {
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range moves {
		for _, slice := range r.ledger.assignment.Slices {
			if slice.Owner != m.From || !slice.Range.Overlaps(m.Range) {
				continue
			}
			bounds := topology.Range{First: max(slice.Range.First, m.Range.First), Last: min(slice.Range.Last, m.Range.Last)}
			for _, to := range slice.Successors {
				allowed := r.ledger.eligible == nil || r.ledger.eligible(to, bounds)
				if allowed && r.ledger.StartMove(now, Move{Range: bounds, From: m.From, To: to, Forced: true, ToSuccessor: true}) {
					break
				}
			}
		}
	}
	c.logEvents(r)
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

func (c *Controller) load(ctx context.Context, r *run) error {
	a, found, err := c.assignments.load(ctx, r.ledger.service)
	if err != nil {
		return err
	}
	c.o.Leadership.RecordStoreReachable()
	r.stored = found
	if a != nil {
		c.o.Leadership.ObserveTerm(a.Version.Term)
		c.use(r, a, nil)
	}
	return nil
}

// use makes a the assignment of the ledger, publishes it and starts moves.
func (c *Controller) use(r *run, a *topology.Assignment, moves []Move) {
	r.mu.Lock()
	r.ledger.SetAssignment(a)
	for _, m := range moves {
		r.ledger.StartMove(time.Now(), m)
	}
	c.logEvents(r)
	r.mu.Unlock()
	c.publishTopic(assignmentTopic(a.Service), a.Version, a)
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

// next returns the assignment to write, nil if the stored one is right, and
// the moves to start after it.
func (c *Controller) next(r *run) (*topology.Assignment, []Move) {
	now := time.Now()
	r.mu.Lock()
	live := r.ledger.liveServers(now)
	next := r.ledger.corrected(live)
	changed := next != nil
	input := r.ledger.planInput(now)
	if input.Assignment == nil {
		next = initialAssignment(r.ledger.service, configured(r.ledger.servers), SlicesPerServer)
	}
	r.mu.Unlock()
	if next == nil && r.stored.revision == 0 && input.Assignment != nil {
		next, changed = input.Assignment.Clone(), true // the store has lost it
	}
	var moves []Move
	if c.o.Planner != nil && input.Assignment != nil {
		if next == nil {
			next = input.Assignment.Clone()
		}
		begin := time.Now()
		plan := c.o.Planner.Plan(r.ledger.service, input)
		r.planTook = time.Since(begin)
		for _, m := range plan {
			if overlapsAny(m.Range, input.Moving) || !apply(next, m, live) {
				continue
			}
			changed = true
			if m.Kind == KindMove {
				moves = append(moves, m)
				input.Moving = append(input.Moving, m.Range)
			}
		}
		if !changed {
			next = nil
		}
	}
	if next != nil {
		next.Version = topology.Version{Term: r.term, Sequence: sequenceAfter(input.Assignment, r.term)}
	}
	return next, moves
}

func sequenceAfter(a *topology.Assignment, term topology.Term) uint64 {
	if a == nil || a.Version.Term != term {
		return 1
	}
	return a.Version.Sequence + 1
}

func configured(servers []*server) []topology.Server {
	out := make([]topology.Server, 0, len(servers))
	for _, s := range servers {
		out = append(out, s.Server)
	}
	return out
}
