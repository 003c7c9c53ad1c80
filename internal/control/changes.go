package control

import (
	"slices"
	"sync"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/registry"
	"github.com/cassiasill/cassiasill/internal/shards"
)

// next returns the assignment that should be committed now, nil if the current
// one can stay.
func (m *manager) next(servers map[string]registry.Server, now boottime.Instant) *shards.Assignment {
	candidates := m.candidates(servers)
	if len(candidates) == 0 {
		// Servers that do not acknowledge grants get new ones all the same.
		next := m.a.Next()
		if m.renumber(next) {
			return next
		}
		return nil
	}
	load := sync.OnceValue(func() shards.Load { return m.l.load(m.service, now) })
	next := m.a.Next()
	changed := m.finishTakes(next, servers, candidates, load, now)
	changed = m.replaceOwners(next, servers, candidates, load, now) || changed
	changed = m.renumber(next) || changed
	if !changed && now >= m.planAt && m.calm() {
		m.planAt = now.Add(planInterval)
		if moves := shards.Plan(m.a, candidates, load()); len(moves) > 0 {
			for _, move := range moves {
				m.log().Info("shards: move planned", zap.Uint16("from", move.From), zap.Uint16("to", move.To), zap.String("target", move.Target))
			}
			next.Release(moves)
			changed = true
		}
	}
	if !changed {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	next.Compact(func(r shards.Range) bool {
		h := m.holders[r.Owner]
		return h != nil && h.acked[idOf(r)] != 0
	})
	return next
}

// calm reports whether no range is on its way.
func (m *manager) calm() bool {
	return !slices.ContainsFunc(m.a.Ranges, func(r shards.Range) bool { return r.Released != 0 })
}

// finishTakes gives ranges that were taken to their next owners.
func (m *manager) finishTakes(next *shards.Assignment, servers map[string]registry.Server, candidates []shards.Candidate, load func() shards.Load, now boottime.Instant) bool {
	changed := false
	for _, r := range m.a.Ranges {
		if r.Released == 0 {
			continue
		}
		m.mu.Lock()
		t := m.takes[r.From]
		ready := t != nil && t.token == r.Released && (t.finished || now >= m.until(t))
		handover := ""
		if ready {
			handover = t.handover
			delete(m.takes, r.From)
		}
		m.mu.Unlock()
		if !ready {
			continue
		}
		changed = true
		if target := slices.IndexFunc(candidates, func(c shards.Candidate) bool { return c.ID == r.Target }); target >= 0 {
			next.Own(r.From, candidates[target].ID, candidates[target].Born, handover)
			continue
		}
		m.bequeath(next, r, candidates, load)
	}
	return changed
}

// bequeath splits a free range among the candidates.
func (m *manager) bequeath(next *shards.Assignment, r shards.Range, candidates []shards.Candidate, load func() shards.Load) {
	for _, move := range shards.Heirs(m.a, []shards.Range{r}, candidates, load()) {
		next.Split(move.From, move.To)
		i := slices.IndexFunc(candidates, func(c shards.Candidate) bool { return c.ID == move.Target })
		next.Own(move.From, move.Target, candidates[i].Born, "")
	}
}

// replaceOwners releases the ranges of servers that leave, are gone or do not
// answer, and gives those of ended lives to new owners at once.
func (m *manager) replaceOwners(next *shards.Assignment, servers map[string]registry.Server, candidates []shards.Candidate, load func() shards.Load, now boottime.Instant) bool {
	var lost []shards.Range
	changed := false
	for _, r := range m.a.Ranges {
		if r.Released != 0 {
			continue
		}
		s, listed := servers[r.Owner]
		switch {
		case r.Owner == "":
			m.bequeath(next, r, candidates, load)
			changed = true
		case !listed || s.Born != r.Born || s.Draining || m.suspect(r.Owner, now):
			lost = append(lost, r)
		}
	}
	if len(lost) == 0 {
		return changed
	}
	// A lost owner is no candidate unless it is only suspected; then it is
	// left out because its grants fail.
	next.Release(shards.Heirs(m.a, lost, candidates, load()))
	m.log().Info("shards: ranges taken from servers that leave or do not answer", zap.Int("ranges", len(lost)))
	return true
}

func (m *manager) suspect(id string, now boottime.Instant) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.holders[id]
	return h != nil && h.failingSince != 0 && now.Sub(h.failingSince) > suspectAfter
}

// renumber gives ranges new tokens whose server refuses the present one or may
// have had it in an earlier life, unless next takes them from their server.
func (m *manager) renumber(next *shards.Assignment) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := false
	for _, r := range m.a.Ranges {
		h := m.holders[r.Owner]
		if !r.Held() || h == nil || h.born != r.Born {
			continue
		}
		if changing := next.Find(r.From); !changing.Held() || changing.Token != r.Token {
			continue
		}
		if h.outdated[idOf(r)] || r.Token < h.minToken {
			delete(h.outdated, idOf(r))
			next.Own(r.From, r.Owner, r.Born, r.Handover)
			changed = true
		}
	}
	return changed
}
