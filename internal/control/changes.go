package control

import (
	"slices"
	"sync"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/registry"
	"github.com/cassiasill/cassiasill/internal/shards"
)

// nextAssignment returns the assignment to commit now, or nil if the current
// one can stay.
func (m *assignmentManager) nextAssignment(servers map[string]registry.Server, now boottime.Instant) *shards.Assignment {
	candidates := m.candidates(servers)
	if len(candidates) == 0 {
		// Servers whose grants fail are no candidates, but their ranges still
		// get new tokens where they need them.
		next := m.assignment.NextVersion()
		if m.replaceTokens(next) {
			return next
		}
		return nil
	}
	load := sync.OnceValue(func() shards.Load { return m.leadership.serviceLoad(m.service, now) })
	next := m.assignment.NextVersion()
	changed := m.completeReleases(next, servers, candidates, load, now)
	replaced := m.replaceOwners(next, servers, candidates, load, now)
	replaced = m.replaceTokens(next) || replaced
	changed = changed || replaced
	if !replaced {
		changed = m.planMoves(next, candidates, load, now) || changed
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if recorded, missing := m.recordAddresses(next); recorded && now >= m.nextAddressCommit && !missing {
		changed = true
	}
	if !changed {
		return nil
	}
	m.nextAddressCommit = now.Add(addressCommitInterval)
	next.Compact(func(r shards.Range) bool {
		h := m.holders[r.Owner]
		return h != nil && h.ackedAt[grantIDOf(r)] != 0
	})
	return next
}

// isSettled reports whether no range is being released.
func (m *assignmentManager) isSettled() bool {
	return !slices.ContainsFunc(m.assignment.Ranges, func(r shards.Range) bool { return r.ReleaseToken != 0 })
}

// completeReleases assigns ranges whose release has completed to their next
// owners.
func (m *assignmentManager) completeReleases(next *shards.Assignment, servers map[string]registry.Server, candidates []shards.Candidate, load func() shards.Load, now boottime.Instant) bool {
	changed := false
	for _, r := range m.assignment.Ranges {
		if r.ReleaseToken == 0 {
			continue
		}
		m.mu.Lock()
		release := m.releases[r.From]
		ready := release != nil && release.token == r.ReleaseToken && (release.acknowledged || now >= m.grantsExpireAt(release))
		handover := ""
		if ready {
			handover = release.handover
			delete(m.releases, r.From)
		}
		m.mu.Unlock()
		if !ready {
			continue
		}
		changed = true
		if target := slices.IndexFunc(candidates, func(c shards.Candidate) bool { return c.ID == r.PlannedOwner }); target >= 0 {
			next.SetOwner(r.From, candidates[target].ID, candidates[target].Incarnation, handover)
			continue
		}
		m.distributeRange(next, r, candidates, load)
	}
	return changed
}

// distributeRange splits a range without an owner among the candidates.
func (m *assignmentManager) distributeRange(next *shards.Assignment, r shards.Range, candidates []shards.Candidate, load func() shards.Load) {
	for _, move := range shards.PlanFailover(m.assignment, []shards.Range{r}, candidates, load()) {
		next.Split(move.From, move.To)
		i := slices.IndexFunc(candidates, func(c shards.Candidate) bool { return c.ID == move.NewOwner })
		next.SetOwner(move.From, move.NewOwner, candidates[i].Incarnation, "")
	}
}

// replaceOwners distributes ranges without an owner, and releases the ranges of
// servers that are draining, evacuated, removed, restarted or suspected.
func (m *assignmentManager) replaceOwners(next *shards.Assignment, servers map[string]registry.Server, candidates []shards.Candidate, load func() shards.Load, now boottime.Instant) bool {
	var lost []shards.Range
	snapshot := m.leadership.node.view.Load()
	changed := false
	for _, r := range m.assignment.Ranges {
		if r.ReleaseToken != 0 {
			continue
		}
		s, listed := servers[r.Owner]
		switch {
		case r.Owner == "":
			m.distributeRange(next, r, candidates, load)
			changed = true
		case !listed || s.Incarnation != r.Incarnation || !snapshot.TakesNewRequests(s) || m.isSuspected(r.Owner, now):
			lost = append(lost, r)
		}
	}
	if len(lost) == 0 {
		return changed
	}
	// The owner of a lost range can't be its target: it is no candidate. A
	// suspected server isn't one either, because its grants fail.
	next.Release(shards.PlanFailover(m.assignment, lost, candidates, load()))
	m.log().Info("shards: ranges taken from servers that leave or do not answer", zap.Int("ranges", len(lost)))
	return true
}

// isSuspected reports whether the server's grants have failed for longer than
// suspectAfter.
func (m *assignmentManager) isSuspected(id string, now boottime.Instant) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.holders[id]
	return h != nil && h.failingSince != 0 && now.Sub(h.failingSince) > suspectAfter
}

// replaceTokens issues new tokens for ranges whose server has refused the
// current token or may have received it in an earlier incarnation. It skips
// ranges that next releases from their server.
func (m *assignmentManager) replaceTokens(next *shards.Assignment) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := false
	for _, r := range m.assignment.Ranges {
		h := m.holders[r.Owner]
		if !r.Held() || h == nil || h.incarnation != r.Incarnation {
			continue
		}
		if changing := next.FindRange(r.From); !changing.Held() || changing.Token != r.Token {
			continue
		}
		if h.outdated[grantIDOf(r)] || r.Token < h.minToken {
			delete(h.outdated, grantIDOf(r))
			next.SetOwner(r.From, r.Owner, r.Incarnation, r.Handover)
			changed = true
		}
	}
	return changed
}
