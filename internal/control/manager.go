package control

import (
	"context"
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
	// are taken from it, if its entry still stands. A server that is lost keeps
	// its ranges until its grants run out anyway.
	suspectAfter = 2 * time.Second
	// failurePause follows a failed order. It doubles up to mostFailurePause:
	// with a third of a large service silent, the tries of a steady pace would
	// take the leader's time from the servers that answer.
	failurePause     = 100 * time.Millisecond
	mostFailurePause = 400 * time.Millisecond
	// maxOpening bounds the servers to which first grants are under way. A new
	// leader opens a connection to each server, and would be late with all if it
	// did so at once.
	maxOpening = 48
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
	// ordersWait is true if maxOpening kept a grant from being sent.
	ordersWait bool
	adopted    int64 // version of the assignment that was read last
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
	if known {
		if next := m.next(servers, now); next != nil {
			m.commit(ctx, next)
		}
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
	speeds := m.l.knownSpeeds()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(servers)) {
		s := servers[id]
		if h := m.holders[id]; s.Draining || h != nil && h.born == s.Born && h.failingSince != 0 {
			continue
		}
		speed, measured := speeds[id]
		if !measured {
			speed = s.Speed
		}
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
// still stands and that this host still leads. A former leader must not change
// an assignment that it reads after its lease has ended: it does not know when
// the new leader has sent grants.
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
	result, err := n.Store.Txn(ctx, []store.Compare{{Key: m.key(), ModRevision: revision}, {Key: leaderKey, ModRevision: m.l.term}},
		[]store.Op{store.Put(m.key(), value)})
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
		if h := m.holders[r.Owner]; r.Held() && r.Token == a.Version && (h == nil || h.acked[idOf(r)] == 0) {
			ready = ready && h != nil && h.failingSince != 0
		}
	}
	m.mu.Unlock()
	if ready {
		m.l.node.view.setShards(m.service, a)
	}
}
