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

// holder is what the leader knows about one server and its grants.
type holder struct {
	incarnation int64
	address     string
	session     Session
	// minToken is the lowest token that may be sent in the session. A lower
	// token may have reached an earlier incarnation of the server, and each
	// incarnation counts as a different owner.
	minToken int64
	// sessionUsed is true once a grant may have been sent in the session.
	sessionUsed bool
	// sending is true while a goroutine sends grants to the server.
	sending bool
	// opening is true if the grants in progress are the first in the session.
	opening       bool
	lastSent      boottime.Instant // of a grant that may have arrived
	previousSent  boottime.Instant // lastSent before the grant in progress
	failingSince  boottime.Instant // 0 if the last grant was acknowledged
	lastAttemptAt boottime.Instant
	backoff       time.Duration // after the last failure
	// ackedAt holds when the last acknowledged grant of each range was sent.
	ackedAt map[grantID]boottime.Instant
	// outdated holds the grants that the server refused because it has seen a
	// higher token. They are not sent again: the range needs a new token.
	outdated map[grantID]bool
}

// grantID identifies a range under one token.
type grantID struct {
	from, to uint16
	token    int64
}

func grantIDOf(r shards.Range) grantID { return grantID{r.From, r.To, r.Token} }

// pendingRelease is the release of a range by its server, until it is
// acknowledged or the grants have expired.
type pendingRelease struct {
	token        int64            // of the release
	lastSent     boottime.Instant // of a grant by this leader that may have arrived
	acknowledged bool
	handover     string
}

// grantsExpireAt returns when the server's last grant of a released range
// expires. The instant moves earlier once all former leaders are known to have
// stopped.
func (m *assignmentManager) grantsExpireAt(release *pendingRelease) boottime.Instant {
	return max(m.leadership.formerLeadersStoppedAt(), release.lastSent).Add(m.leadership.node.timing.grantExpiry)
}

// startReleases starts requesting the release of ranges that are marked as
// released. How long a range may still be held follows from the last grant that
// this leader or a former one can have sent.
func (m *assignmentManager) startReleases(ctx context.Context) {
	for _, r := range m.assignment.Ranges {
		if r.ReleaseToken == 0 {
			continue
		}
		m.mu.Lock()
		release := m.releases[r.From]
		if release != nil && release.token == r.ReleaseToken {
			m.mu.Unlock()
			continue
		}
		release = &pendingRelease{token: r.ReleaseToken}
		if h := m.holders[r.Owner]; h != nil && h.incarnation == r.Incarnation {
			release.lastSent = h.lastSent
		}
		m.releases[r.From] = release
		m.mu.Unlock()
		m.leadership.group.Go(func() { m.requestRelease(ctx, r, release) })
	}
}

// requestRelease requests the release from the server until the server
// acknowledges it or its grants have expired.
func (m *assignmentManager) requestRelease(ctx context.Context, r shards.Range, release *pendingRelease) {
	backoff, warned := minFailureBackoff, false
	for ctx.Err() == nil && m.leadership.node.Clock() < m.grantsExpireAt(release) {
		server := m.grantServer(r.Owner, cmp.Or(m.leadership.addressOf(r.Owner), r.Address))
		if server.Address == "" {
			m.leadership.node.sleep(ctx, minFailureBackoff)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
		handover, err := m.leadership.node.GrantClient.Release(callCtx, server, r.From, r.To, r.ReleaseToken)
		cancel()
		if err == nil || m.hasEnded(r, server, err) {
			m.mu.Lock()
			release.acknowledged, release.handover = true, handover
			m.mu.Unlock()
			m.leadership.wake()
			return
		}
		if m.recordMisdirected(server, err, !warned) {
			warned, backoff = true, misdirectedBackoff
		}
		m.log().Debug("shards: release not acknowledged", zap.String("server", r.Owner), zap.Error(err))
		m.leadership.node.sleep(ctx, backoff)
		backoff = min(2*backoff, maxFailureBackoff)
	}
}

// renewGrants sends the grants that are due. Each server has its own goroutine,
// which sends one grant at a time.
func (m *assignmentManager) renewGrants(ctx context.Context, servers map[string]registry.Server, now boottime.Instant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isFenced(now) {
		return
	}
	due := make(map[string][]shards.Range)
	for _, r := range m.assignment.Ranges {
		if s, ok := servers[r.Owner]; r.Held() && ok && s.Incarnation == r.Incarnation {
			due[r.Owner] = append(due[r.Owner], r)
		}
	}
	openingCount := 0
	for _, h := range m.holders {
		if h.sending && h.opening {
			openingCount++
		}
	}
	m.tryFailedServers(ctx, servers, due, now)
	m.grantsDeferred = false
	for _, id := range m.sortByLastAttempt(due) {
		ranges, h := due[id], m.holders[id]
		if h == nil || h.incarnation != servers[id].Incarnation || h.address != servers[id].Address {
			h = m.newHolder(servers[id], h)
			m.holders[id] = h
		}
		ranges = slices.DeleteFunc(ranges, func(r shards.Range) bool {
			at, acked := h.ackedAt[grantIDOf(r)]
			return acked && now.Sub(at) < grantRenewInterval || r.Token < h.minToken || h.outdated[grantIDOf(r)]
		})
		if len(ranges) == 0 || h.sending || h.failingSince != 0 && now.Sub(h.lastAttemptAt) < h.backoff {
			continue
		}
		// Servers that do not respond must not delay renewals at servers that
		// do.
		if h.opening = len(h.ackedAt) == 0; h.opening {
			if openingCount >= maxOpeningSessions {
				m.grantsDeferred = true
				continue
			}
			openingCount++
		}
		// Ranges whose grants were acknowledged longest ago go first, so that
		// failures starve no range.
		slices.SortStableFunc(ranges, func(a, b shards.Range) int { return cmp.Compare(h.ackedAt[grantIDOf(a)], h.ackedAt[grantIDOf(b)]) })
		h.sending = true
		m.leadership.group.Go(func() {
			changed := m.sendGrants(ctx, id, h, ranges)
			m.mu.Lock()
			h.sending = false
			changed = changed || m.grantsDeferred
			m.mu.Unlock()
			if changed {
				m.leadership.wake()
			}
		})
	}
}

// tryFailedServers tries whether servers answer again whose grants have failed and that
// have no ranges left. They are no candidates for ranges before. The caller holds mu.
func (m *assignmentManager) tryFailedServers(ctx context.Context, servers map[string]registry.Server, due map[string][]shards.Range, now boottime.Instant) {
	for id, h := range m.holders {
		s, listed := servers[id]
		if !listed || s.Draining || s.Incarnation != h.incarnation || s.Address != h.address || len(due[id]) > 0 ||
			h.failingSince == 0 || h.sending || now.Sub(h.lastAttemptAt) < failedServerInterval {
			continue
		}
		h.sending, h.lastAttemptAt = true, now
		session := h.session
		m.leadership.group.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, grantTimeout)
			err := session.Verify(callCtx)
			cancel()
			m.mu.Lock()
			defer m.mu.Unlock()
			h.sending = false
			if err == nil {
				h.failingSince, h.backoff = 0, 0
				return
			}
			m.reopenSession(id, h)
		})
	}
}

// sortByLastAttempt returns the server IDs, the longest without a grant attempt
// first.
func (m *assignmentManager) sortByLastAttempt(due map[string][]shards.Range) []string {
	lastAttempt := func(id string) boottime.Instant {
		if h := m.holders[id]; h != nil {
			return h.lastAttemptAt
		}
		return 0
	}
	ids := slices.Collect(maps.Keys(due))
	slices.SortFunc(ids, func(a, b string) int { return cmp.Or(cmp.Compare(lastAttempt(a), lastAttempt(b)), cmp.Compare(a, b)) })
	return ids
}

// sendGrants sends grants to one server until one fails. It returns true if the
// assignment has to be evaluated again: after a failure or the first
// acknowledgment of a range. A large service has too many renewals to evaluate
// all ranges after each.
func (m *assignmentManager) sendGrants(ctx context.Context, id string, h *holder, ranges []shards.Range) (changed bool) {
	for _, r := range ranges {
		m.mu.Lock()
		alreadyAcked := h.ackedAt[grantIDOf(r)] != 0
		m.mu.Unlock()
		if !m.beginGrant(id, h, r) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, grantTimeout)
		err := h.session.Grant(callCtx, shards.Grant{From: r.From, To: r.To, Token: r.Token, TTL: GrantTTL, Handover: r.Handover})
		cancel()
		if !m.recordGrantResult(id, h, r, err) {
			return true
		}
		changed = changed || !alreadyAcked
	}
	return changed
}

// beginGrant reports whether the range may still be renewed and, if so, records
// the time of sending. Commits change the assignment under the same lock, so no
// grant of a released range is sent after startReleases has read lastSent.
func (m *assignmentManager) beginGrant(id string, h *holder, r shards.Range) bool {
	if !m.leadership.mayRenew() {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.holders[id] != h {
		return false // the server is listed with another start or address by now
	}
	if current := m.assignment.FindRange(r.From); !current.Held() || grantIDOf(*current) != grantIDOf(r) {
		return false
	}
	h.lastAttemptAt = m.leadership.node.Clock()
	h.previousSent, h.lastSent = h.lastSent, h.lastAttemptAt
	return true
}

// recordGrantResult records the result of a grant and reports whether to send
// the server more grants.
func (m *assignmentManager) recordGrantResult(id string, h *holder, r shards.Range, err error) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	var grantErr *shards.GrantError
	errors.As(err, &grantErr)
	if grantErr == nil || !grantErr.NotSent {
		h.sessionUsed = true
	}
	switch {
	case err == nil:
		h.ackedAt[grantIDOf(r)] = h.lastAttemptAt
		h.failingSince, h.backoff = 0, 0
		return true
	case grantErr != nil && grantErr.StaleToken:
		m.log().Warn("shards: grant refused because the server has seen a higher token", zap.String("server", id), zap.Uint16("from", r.From), zap.Int64("token", r.Token))
		h.outdated[grantIDOf(r)] = true
		return true
	}
	if grantErr != nil && grantErr.NotSent {
		h.lastSent = h.previousSent
	}
	sessionWasUsed := h.sessionUsed
	if grantErr == nil || !grantErr.Refused {
		m.reopenSession(id, h)
	}
	if sessionWasUsed && grantErr != nil && grantErr.SessionEnded {
		return false // no failure: a server may close its connections at any time
	}
	m.recordMisdirected(m.grantServer(id, h.address), err, h.failingSince == 0)
	h.backoff = min(max(2*h.backoff, minFailureBackoff), maxFailureBackoff)
	if h.failingSince == 0 {
		h.failingSince = m.leadership.node.Clock()
		m.log().Warn("shards: grant not acknowledged", zap.String("server", id), zap.Error(err))
	}
	return false
}

// reopenSession replaces a session that can't be used any more. If a grant may
// have been sent in it, nothing is sent to the server until its ranges have new
// tokens. Otherwise no incarnation of the server can have seen the current
// tokens, and they stay valid.
func (m *assignmentManager) reopenSession(id string, h *holder) {
	if h.sessionUsed {
		h.minToken = m.assignment.Version + 1
	}
	h.session.Close()
	h.session, h.sessionUsed = m.leadership.node.GrantClient.OpenSession(m.grantServer(id, h.address)), false
	clear(h.ackedAt)
}

// newHolder returns what is known about a server whose first grant is to be sent, or
// which is listed with another start or address than before.
func (m *assignmentManager) newHolder(s registry.Server, former *holder) *holder {
	h := &holder{incarnation: s.Incarnation, address: s.Address, session: m.leadership.node.GrantClient.OpenSession(m.grantServer(s.ID, s.Address)),
		minToken: m.adoptedVersion + 1, ackedAt: make(map[grantID]boottime.Instant), outdated: make(map[grantID]bool)}
	if former == nil {
		return h
	}
	former.session.Close()
	if former.incarnation == s.Incarnation {
		// It may hold ranges under the current tokens, wherever they were sent to.
		h.minToken, h.lastSent = m.assignment.Version+1, former.lastSent
	}
	return h
}

// grantServer returns a server of the service at an address, as the recipient of grants
// and releases.
func (m *assignmentManager) grantServer(id, address string) GrantServer {
	server := GrantServer{ID: id, Address: address}
	if config := m.leadership.node.config(); config != nil {
		server.HealthPath = config.Services[m.service].HealthPath
	}
	return server
}

// recordMisdirected reports whether a call failed because who is at the server's address
// is not proven to be that server. It counts such calls, and logs the first.
func (m *assignmentManager) recordMisdirected(server GrantServer, err error, first bool) bool {
	var grantErr *shards.GrantError
	if !errors.As(err, &grantErr) || !grantErr.Misdirected && !grantErr.Unverified {
		return false
	}
	m.leadership.node.misdirectedCalls.Add(1)
	if first {
		m.log().Warn("shards: the server at the address is not proven to be the listed one", zap.String("server", server.ID), zap.String("address", server.Address), zap.Bool("other_server", grantErr.Misdirected), zap.Error(err))
	}
	return true
}
