package control

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/shards"
)

const (
	// hotPlanInterval is the interval at which hot keys are looked for. Loads are
	// measured by position, so that earlier moves do not distort them, and moves of
	// other ranges may still be under way.
	hotPlanInterval = 100 * time.Millisecond
	// maxUnpublished bounds the committed assignments that wait for their grants. Newer
	// ones include the changes of those that are dropped.
	maxUnpublished = 8
)

// planMoves releases the ranges that are planned to move now in next. It reports
// whether there are any. In a large service there is nearly always a release that a
// server has not answered, so no round waits for it.
func (m *assignmentManager) planMoves(next *shards.Assignment, candidates []shards.Candidate, load func() shards.Load, now boottime.Instant) bool {
	if now < m.nextHotPlanAt {
		return false
	}
	m.nextHotPlanAt = now.Add(hotPlanInterval)
	moves := shards.PlanHotKeys(m.assignment, candidates, load)
	if len(moves) == 0 && now >= m.nextPlanAt && (shards.IsLarge(len(candidates)) || m.isSettled()) {
		m.nextPlanAt = now.Add(planInterval)
		if moves = shards.PlanCompaction(m.assignment, candidates, load); len(moves) == 0 {
			moves = shards.PlanRebalance(m.assignment, candidates, load())
		}
	}
	moves = m.withoutNewOwners(moves)
	for _, move := range moves {
		m.log().Info("shards: move planned", zap.Uint16("from", move.From), zap.Uint16("to", move.To), zap.String("target", move.NewOwner))
	}
	next.Release(moves)
	return len(moves) > 0
}

// withoutNewOwners removes the moves of ranges whose owner has not acknowledged its
// grant. Their requests have waited for one move already, and the handover would be
// lost.
func (m *assignmentManager) withoutNewOwners(moves []shards.Move) []shards.Move {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.DeleteFunc(moves, func(move shards.Move) bool {
		r := m.assignment.FindRange(move.From)
		h := m.holders[r.Owner]
		return r.Handover != "" && (h == nil || h.ackedAt[grantIDOf(*r)] == 0)
	})
}

// newestReady returns the newest assignment since the published one whose new owners
// have acknowledged their grants or whose grants have failed, nil if there is none.
// While ranges keep moving, the newest assignment always has grants under way. The
// caller holds mu.
func (m *assignmentManager) newestReady() *shards.Assignment {
	if n := len(m.unpublished); n == 0 || m.unpublished[n-1] != m.assignment {
		m.unpublished = append(m.unpublished, m.assignment)
	}
	if len(m.unpublished) > maxUnpublished {
		m.unpublished = slices.Delete(m.unpublished, 0, len(m.unpublished)-maxUnpublished)
	}
	for i := len(m.unpublished) - 1; i >= 0; i-- {
		if a := m.unpublished[i]; m.isReady(a) {
			m.unpublished = slices.Delete(m.unpublished, 0, i)
			return a
		}
	}
	return nil
}

// isReady reports whether a range that is new in the assignment, or in one that was
// not published before it, waits for its first grant. The caller holds mu.
func (m *assignmentManager) isReady(a *shards.Assignment) bool {
	return !slices.ContainsFunc(a.Ranges, func(r shards.Range) bool {
		if !r.Held() || r.Token <= m.publishedVersion && r.Token != a.Version {
			return false
		}
		h := m.holders[r.Owner]
		return h == nil || h.ackedAt[grantIDOf(r)] == 0 && h.failingSince == 0
	})
}
