package control

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/registry"
	"github.com/cassiasill/cassiasill/internal/shards"
)

// holder is what the leader knows of a server's grants.
type holder struct {
	born    int64
	session Session
	// minToken is the least token that may be sent in the session. A token that
	// was sent before the session may have reached an earlier life of the
	// server, for which a later life counts as another server.
	minToken int64
	// used is true once something may have been sent in the session.
	used bool
	busy bool
	// opening is true if the grants under way are the first in the session.
	opening      bool
	lastSent     boottime.Instant // of a grant that may have arrived
	sentBefore   boottime.Instant // lastSent before the grant under way
	failingSince boottime.Instant // 0 if the last grant was acknowledged
	triedAt      boottime.Instant
	pause        time.Duration // after the last failure
	// acked holds when the grants were sent that the server acknowledged last.
	acked map[grantID]boottime.Instant
	// outdated holds the grants that the server refused because it has seen a
	// higher token. They are not sent again: the range needs a new token.
	outdated map[grantID]bool
}

type grantID struct {
	from, to uint16
	token    int64
}

func idOf(r shards.Range) grantID { return grantID{r.From, r.To, r.Token} }

// take is the taking of a released range from its server.
type take struct {
	token    int64            // of the release
	lastSent boottime.Instant // of a grant by this leader that may have arrived
	finished bool
	handover string
}

// until returns when the server's grants have run out. It becomes earlier once
// former leaders have said that they stopped.
func (m *manager) until(t *take) boottime.Instant {
	return max(m.l.othersStopped(), t.lastSent).Add(m.l.node.timing.grantExpiry)
}

// startTakes starts the taking of released ranges. Until when a range may still
// be held follows from the last grant that can have been sent, by this leader
// or a former one.
func (m *manager) startTakes(ctx context.Context) {
	for _, r := range m.a.Ranges {
		if r.Released == 0 {
			continue
		}
		m.mu.Lock()
		t := m.takes[r.From]
		if t != nil && t.token == r.Released {
			m.mu.Unlock()
			continue
		}
		t = &take{token: r.Released}
		if h := m.holders[r.Owner]; h != nil && h.born == r.Born {
			t.lastSent = h.lastSent
		}
		m.takes[r.From] = t
		m.mu.Unlock()
		m.l.group.Go(func() { m.take(ctx, r, t) })
	}
}

// take asks the server to release the range until it answers or its grants have
// run out.
func (m *manager) take(ctx context.Context, r shards.Range, t *take) {
	pause := failurePause
	for ctx.Err() == nil && m.l.node.Clock() < m.until(t) {
		address := m.l.addressOf(r.Owner)
		if address == "" {
			m.l.node.pause(ctx, failurePause)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
		handover, err := m.l.node.Orders.Release(callCtx, address, r.From, r.To, r.Released)
		cancel()
		if err == nil {
			m.mu.Lock()
			t.finished, t.handover = true, handover
			m.mu.Unlock()
			m.l.wake()
			return
		}
		m.log().Debug("shards: release not answered", zap.String("server", r.Owner), zap.Error(err))
		m.l.node.pause(ctx, pause)
		pause = min(2*pause, mostFailurePause)
	}
}

// renew sends the grants that are due, one server after the other in each of
// its goroutines.
func (m *manager) renew(ctx context.Context, servers map[string]registry.Server, now boottime.Instant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	due := make(map[string][]shards.Range)
	for _, r := range m.a.Ranges {
		if s, ok := servers[r.Owner]; r.Held() && ok && s.Born == r.Born {
			due[r.Owner] = append(due[r.Owner], r)
		}
	}
	opening := 0
	for _, h := range m.holders {
		if h.busy && h.opening {
			opening++
		}
	}
	m.ordersWait = false
	for _, id := range m.byLastGrant(due) {
		ranges, h := due[id], m.holders[id]
		if h == nil || h.born != servers[id].Born {
			h = &holder{born: servers[id].Born, session: m.l.node.Orders.Open(servers[id].Address), minToken: m.adopted + 1, acked: make(map[grantID]boottime.Instant), outdated: make(map[grantID]bool)}
			m.holders[id] = h
		}
		ranges = slices.DeleteFunc(ranges, func(r shards.Range) bool {
			at, acked := h.acked[idOf(r)]
			return acked && now.Sub(at) < renewal || r.Token < h.minToken || h.outdated[idOf(r)]
		})
		if len(ranges) == 0 || h.busy || h.failingSince != 0 && now.Sub(h.triedAt) < h.pause {
			continue
		}
		// Servers that do not answer must not delay renewals at those that do.
		if h.opening = len(h.acked) == 0; h.opening {
			if opening >= maxOpening {
				m.ordersWait = true
				continue
			}
			opening++
		}
		// What was acknowledged longest ago goes first, so that failures starve
		// no range.
		slices.SortStableFunc(ranges, func(a, b shards.Range) int { return cmp.Compare(h.acked[idOf(a)], h.acked[idOf(b)]) })
		h.busy = true
		address := servers[id].Address
		m.l.group.Go(func() {
			news := m.grantAll(ctx, id, h, address, ranges)
			m.mu.Lock()
			h.busy = false
			news = news || m.ordersWait
			m.mu.Unlock()
			if news {
				m.l.wake()
			}
		})
	}
}

// byLastGrant returns the servers, those first whose last grant is the oldest.
func (m *manager) byLastGrant(due map[string][]shards.Range) []string {
	last := func(id string) boottime.Instant {
		if h := m.holders[id]; h != nil {
			return h.triedAt
		}
		return 0
	}
	ids := slices.Collect(maps.Keys(due))
	slices.SortFunc(ids, func(a, b string) int { return cmp.Or(cmp.Compare(last(a), last(b)), cmp.Compare(a, b)) })
	return ids
}

// grantAll sends grants to one server until one fails. It returns true if the
// state of a range has changed by it; the renewals of a large service are too
// many to look at all ranges after each.
func (m *manager) grantAll(ctx context.Context, id string, h *holder, address string, ranges []shards.Range) (news bool) {
	for _, r := range ranges {
		m.mu.Lock()
		known := h.acked[idOf(r)] != 0
		m.mu.Unlock()
		if !m.mayGrant(h, r) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		err := m.l.node.Orders.Grant(callCtx, address, h.session, shards.Grant{From: r.From, To: r.To, Token: r.Token, Hold: Hold, Handover: r.Handover})
		cancel()
		if !m.noteGrant(id, h, address, r, err) {
			return true
		}
		news = news || !known
	}
	return news
}

// mayGrant reports whether the range is still to be renewed, and notes the time
// of sending if so. A change is committed under the same lock, so that no grant
// of a released range is sent after its last sending was read.
func (m *manager) mayGrant(h *holder, r shards.Range) bool {
	if !m.l.mayRenew() {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if current := m.a.Find(r.From); !current.Held() || idOf(*current) != idOf(r) {
		return false
	}
	h.triedAt = m.l.node.Clock()
	h.sentBefore, h.lastSent = h.lastSent, h.triedAt
	return true
}

// noteGrant notes how a grant ended and reports whether to go on.
func (m *manager) noteGrant(id string, h *holder, address string, r shards.Range, err error) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	var orderErr *shards.OrderError
	errors.As(err, &orderErr)
	if orderErr == nil || !orderErr.NotSent {
		h.used = true
	}
	switch {
	case err == nil:
		h.acked[idOf(r)] = h.triedAt
		h.failingSince, h.pause = 0, 0
		return true
	case orderErr != nil && orderErr.Outdated:
		m.log().Warn("shards: grant refused, a higher token was seen", zap.String("server", id), zap.Uint16("from", r.From), zap.Int64("token", r.Token))
		h.outdated[idOf(r)] = true
		return true
	}
	if orderErr != nil && orderErr.NotSent {
		h.lastSent = h.sentBefore
	}
	if orderErr == nil || !orderErr.Refused {
		m.reopen(h, address, orderErr != nil && orderErr.Ended)
	}
	h.pause = min(max(2*h.pause, failurePause), mostFailurePause)
	if h.failingSince == 0 {
		h.failingSince = m.l.node.Clock()
		m.log().Warn("shards: grant not acknowledged", zap.String("server", id), zap.Error(err))
	}
	return false
}

// reopen replaces a session that can't be used again. If something may have
// been sent in it, nothing is sent to the server until its ranges have new
// tokens. Otherwise the present ones are still unknown to every life of it.
func (m *manager) reopen(h *holder, address string, ended bool) {
	if h.used || ended {
		h.minToken = m.a.Version + 1
	}
	h.session, h.used = m.l.node.Orders.Open(address), false
	clear(h.acked)
}
