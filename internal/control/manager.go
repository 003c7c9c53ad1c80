package control

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/registry"
	"github.com/cassiasill/cassiasill/internal/shards"
	"github.com/cassiasill/cassiasill/internal/store"
)

// Timing and limits of the assignment of one service.
const (
	// planInterval is the pace of planned moves; loads need that long to show
	// the effect of the last ones.
	planInterval = 400 * time.Millisecond
	// suspectAfter is how long grants must have failed before a server's ranges
	// are taken from it, if its entry still stands.
	suspectAfter = 900 * time.Millisecond
	// failurePause follows a failed grant.
	failurePause = 250 * time.Millisecond
	// storePause follows a call to the store that failed.
	storePause = 300 * time.Millisecond
	// bootstrapQuiet is how long no server must have registered before the first
	// assignment, and bootstrapMost how long that may delay it.
	bootstrapQuiet = 700 * time.Millisecond
	bootstrapMost  = 2500 * time.Millisecond
	// newServerSpeed is assumed of a server that was not measured yet.
	newServerSpeed = 0.9
	// coldSpeed is the part of its speed that a starting server has.
	coldSpeed = 0.5
)

// manager keeps the assignment of one service. Each change is committed to the
// store before it is acted upon.
type manager struct {
	l       *leadership
	service string

	// The fields below belong to the goroutine that calls step.
	planAt boottime.Instant
	// firstAt, countedAt and lastCount serve the wait for servers to register.
	firstAt, countedAt boottime.Instant
	lastCount          int
	storeTo            boottime.Instant // no calls to the store before

	mu      sync.Mutex
	a       *shards.Assignment // as committed
	holders map[string]*holder
	takes   map[uint16]*take // by the first position of the released range
	doubted bool             // the committed assignment may be another
	adopted int64            // version of the assignment that was read last
}

// holder is what the leader knows of a server's grants.
type holder struct {
	born    int64
	session Session
	// minToken is the least token that may be sent in the session. A token that
	// was sent before the session may have reached an earlier life of the
	// server, for which a later life counts as another server.
	minToken     int64
	busy         bool
	renewedAt    boottime.Instant
	lastSent     boottime.Instant // of a grant that may have arrived
	failingSince boottime.Instant // 0 if the last grant was acknowledged
	triedAt      boottime.Instant
	acked        map[grantID]bool
	outdated     map[grantID]bool // refused: a higher token was seen
}

type grantID struct {
	from, to uint16
	token    int64
}

func idOf(r shards.Range) grantID { return grantID{r.From, r.To, r.Token} }

// take is the taking of a released range from its server.
type take struct {
	token    int64 // of the release
	until    boottime.Instant
	finished bool
	handover string
}

func newManager(l *leadership, service string) *manager {
	return &manager{l: l, service: service, holders: make(map[string]*holder), takes: make(map[uint16]*take)}
}

func (m *manager) key() string { return shardsPrefix + m.service }

func (m *manager) log() *zap.Logger {
	return m.l.node.Log.With(zap.String("service", m.service), zap.Int64("term", m.l.term))
}

// step does what is due: it commits what has changed and renews grants.
func (m *manager) step(ctx context.Context) {
	now := m.l.node.Clock()
	servers := m.servers()
	known := m.a != nil && !m.isDoubted()
	if !known && now >= m.storeTo {
		known = m.load(ctx, servers, now)
	}
	if m.a == nil {
		return
	}
	m.publish()
	if next := m.nextIf(known, servers, now); next != nil {
		m.commit(ctx, next)
	}
	m.startTakes(ctx)
	// A change that may have been committed is acted upon by nobody, so what
	// stood before it may still be renewed.
	m.renew(ctx, servers, now)
}

// servers returns the service's servers by ID.
func (m *manager) servers() map[string]registry.Server {
	out := make(map[string]registry.Server)
	if list := m.l.node.view.Load().Servers; list != nil {
		for id, s := range list.Servers {
			if s.Service == m.service {
				out[id] = s
			}
		}
	}
	return out
}

// candidates returns the servers that may get ranges, in a fixed order.
func (m *manager) candidates(servers map[string]registry.Server) []shards.Candidate {
	var out []shards.Candidate
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(servers)) {
		s := servers[id]
		if h := m.holders[id]; s.Draining || h != nil && h.born == s.Born && h.failingSince != 0 {
			continue
		}
		speed := s.Speed
		if speed == 0 {
			speed = newServerSpeed
			if s.Warmup > 0 {
				speed *= coldSpeed
			}
		}
		out = append(out, shards.Candidate{ID: id, Born: s.Born, Capacity: float64(s.Slots) * speed})
	}
	return out
}

// load reads the committed assignment, or creates the first one.
func (m *manager) load(ctx context.Context, servers map[string]registry.Server, now boottime.Instant) bool {
	n := m.l.node
	kv, found, _, err := n.Store.Get(ctx, m.key())
	n.noteStore(err)
	if err != nil {
		m.storeTo = now.Add(storePause)
		return false
	}
	if found {
		a, err := shards.Decode(kv.Value, kv.ModRevision)
		if err != nil {
			m.log().Error("shards: committed assignment can't be read", zap.Error(err))
			return false
		}
		m.adopt(a)
		return true
	}
	if len(servers) == 0 {
		return false
	}
	if m.firstAt == 0 {
		m.firstAt = now
	}
	if len(servers) != m.lastCount {
		m.lastCount, m.countedAt = len(servers), now
	}
	if now.Sub(m.countedAt) < bootstrapQuiet && now.Sub(m.firstAt) < bootstrapMost {
		m.storeTo = now.Add(bootstrapQuiet / 4)
		return false
	}
	m.commit(ctx, shards.Initial(m.candidates(servers)))
	return m.a != nil
}

func (m *manager) isDoubted() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.doubted
}

func (m *manager) adopt(a *shards.Assignment) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.a, m.doubted, m.adopted = a, false, a.Version
	m.log().Info("shards: assignment adopted", zap.Int64("version", a.Version), zap.Int("ranges", len(a.Ranges)))
}

// commit writes the next assignment under the condition that the current one
// still stands.
func (m *manager) commit(ctx context.Context, next *shards.Assignment) {
	n := m.l.node
	now := n.Clock()
	value, err := next.Encode()
	if err != nil {
		m.log().Error("shards: assignment can't be encoded", zap.Error(err))
		return
	}
	revision := int64(0)
	if m.a != nil {
		revision = m.a.Revision
	}
	result, err := n.Store.Txn(ctx, []store.Compare{{Key: m.key(), ModRevision: revision}}, []store.Op{store.Put(m.key(), value)})
	n.noteStore(err)
	if err != nil || !result.Succeeded {
		m.log().Warn("shards: change not committed", zap.Int64("version", next.Version), zap.Error(err))
		m.mu.Lock()
		m.doubted = true
		m.mu.Unlock()
		m.storeTo = now.Add(storePause)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	next.Revision = result.Revision
	m.a = next
	m.log().Info("shards: change committed", zap.Int64("version", next.Version), zap.Int("ranges", len(next.Ranges)))
}

// publish shows the committed assignment to hosts once the new owners have
// acknowledged their grants: earlier, they would refuse the requests.
func (m *manager) publish() {
	m.mu.Lock()
	a := m.a
	ready := true
	for _, r := range a.Ranges {
		if h := m.holders[r.Owner]; r.Held() && r.Token == a.Version && (h == nil || !h.acked[idOf(r)]) {
			ready = ready && h != nil && h.failingSince != 0
		}
	}
	m.mu.Unlock()
	if ready {
		m.l.node.view.setShards(m.service, a)
	}
}

// nextIf returns next, or nil while the committed assignment is not known.
func (m *manager) nextIf(known bool, servers map[string]registry.Server, now boottime.Instant) *shards.Assignment {
	if !known {
		return nil
	}
	return m.next(servers, now)
}

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
		return h != nil && h.acked[idOf(r)]
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
		ready := t != nil && t.token == r.Released && (t.finished || now >= t.until)
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
// have had it in an earlier life.
func (m *manager) renumber(next *shards.Assignment) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := false
	for _, r := range m.a.Ranges {
		h := m.holders[r.Owner]
		if !r.Held() || h == nil || h.born != r.Born {
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
		last := m.l.othersStopped()
		if h := m.holders[r.Owner]; h != nil && h.born == r.Born {
			last = max(last, h.lastSent)
		}
		t = &take{token: r.Released, until: last.Add(m.l.node.timing.grantExpiry)}
		m.takes[r.From] = t
		m.mu.Unlock()
		m.l.group.Go(func() { m.take(ctx, r, t) })
	}
}

// take asks the server to release the range until it answers or its grants have
// run out.
func (m *manager) take(ctx context.Context, r shards.Range, t *take) {
	for ctx.Err() == nil && m.l.node.Clock() < t.until {
		s, ok := m.servers()[r.Owner]
		address := s.Address
		if !ok {
			address = m.l.addressOf(r.Owner)
		}
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
		m.l.node.pause(ctx, failurePause)
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
	for id, ranges := range due {
		h := m.holders[id]
		if h == nil || h.born != servers[id].Born {
			h = &holder{born: servers[id].Born, session: m.l.node.Orders.Open(servers[id].Address), minToken: m.adopted + 1, acked: make(map[grantID]bool), outdated: make(map[grantID]bool)}
			m.holders[id] = h
		}
		all := now.Sub(h.renewedAt) >= renewal
		if !all {
			ranges = slices.DeleteFunc(ranges, func(r shards.Range) bool { return h.acked[idOf(r)] })
		}
		ranges = slices.DeleteFunc(ranges, func(r shards.Range) bool { return r.Token < h.minToken })
		if len(ranges) == 0 || h.busy || h.failingSince != 0 && now.Sub(h.triedAt) < failurePause {
			continue
		}
		h.busy = true
		if all {
			h.renewedAt = now
		}
		address := servers[id].Address
		m.l.group.Go(func() {
			m.grantAll(ctx, id, h, address, ranges)
			m.mu.Lock()
			h.busy = false
			m.mu.Unlock()
		})
	}
}

// grantAll sends grants to one server until one fails.
func (m *manager) grantAll(ctx context.Context, id string, h *holder, address string, ranges []shards.Range) {
	for _, r := range ranges {
		if !m.mayGrant(h, r) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		err := m.l.node.Orders.Grant(callCtx, address, h.session, shards.Grant{From: r.From, To: r.To, Token: r.Token, Hold: Hold, Handover: r.Handover})
		cancel()
		if !m.noteGrant(id, h, address, r, err) {
			return
		}
	}
	m.l.wake()
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
	h.lastSent = h.triedAt
	return true
}

// noteGrant notes how a grant ended and reports whether to go on.
func (m *manager) noteGrant(id string, h *holder, address string, r shards.Range, err error) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	var orderErr *shards.OrderError
	switch {
	case err == nil:
		h.acked[idOf(r)] = true
		h.failingSince = 0
		return true
	case errors.As(err, &orderErr) && orderErr.Outdated:
		m.log().Warn("shards: grant refused, a higher token was seen", zap.String("server", id), zap.Uint16("from", r.From), zap.Int64("token", r.Token))
		h.outdated[idOf(r)] = true
		return true
	}
	if orderErr == nil || !orderErr.Refused {
		// The session can't be used again. Until the ranges have new tokens
		// nothing is sent to the server.
		h.session, h.minToken = m.l.node.Orders.Open(address), m.a.Version+1
		clear(h.acked)
	}
	if h.failingSince == 0 {
		h.failingSince = m.l.node.Clock()
		m.log().Warn("shards: grant not acknowledged", zap.String("server", id), zap.Error(err))
	}
	return false
}
