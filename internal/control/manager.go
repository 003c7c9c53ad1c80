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
	// planInterval is the interval of planned moves. The measured loads take
	// that long to reflect earlier moves.
	planInterval = 400 * time.Millisecond
	// suspectAfter is how long grants to a server must fail before its ranges
	// are released, if its entry still exists. A crashed server keeps its
	// ranges until its grants expire in any case.
	suspectAfter = 2 * time.Second
	// minFailureBackoff is the delay after a failed grant or release. It
	// doubles up to maxFailureBackoff: if a third of a large service's servers
	// do not respond, retries at a constant rate would take the leader's time
	// from the servers that do.
	minFailureBackoff = 100 * time.Millisecond
	maxFailureBackoff = 400 * time.Millisecond
	// failedServerInterval is the interval at which a server that has lost its ranges
	// because its grants failed is tried again, without giving it any.
	failedServerInterval = 2 * time.Second
	// misdirectedBackoff is the delay after a release that met another server at the
	// address. Only a new entry of the server can change that.
	misdirectedBackoff = time.Second
	// maxOpeningSessions bounds the number of servers that are being sent their
	// first grants. A new leader opens a connection to each server; opening all
	// at once would delay every grant.
	maxOpeningSessions = 48
	// assignmentRetryDelay is the delay after a failed read or commit of the
	// assignment.
	assignmentRetryDelay = 300 * time.Millisecond
	// bootstrapQuietPeriod is how long no server must have registered before
	// the first assignment, and maxBootstrapWait bounds the total wait.
	bootstrapQuietPeriod = 700 * time.Millisecond
	maxBootstrapWait     = 2500 * time.Millisecond
	// defaultServerSpeed is the assumed speed of a server that has not been
	// measured.
	defaultServerSpeed = 0.9
	// warmupSpeedFactor is the fraction of its speed that a server has while it
	// warms up.
	warmupSpeedFactor = 0.5
)

// assignmentManager maintains the assignment of one service. Each change is
// committed to the store before it takes effect.
type assignmentManager struct {
	leadership *leadership
	service    string

	// The fields up to mu are used only by the goroutine that calls step.
	nextPlanAt, nextHotPlanAt boottime.Instant
	// nextAddressCommit is when a change may be committed for the sake of addresses.
	nextAddressCommit boottime.Instant
	// firstServerAt, serverCountChangedAt and serverCount track the
	// registration of servers before the first assignment.
	firstServerAt, serverCountChangedAt boottime.Instant
	serverCount                         int
	storeRetryAt                        boottime.Instant // no read or commit before this instant

	mu         sync.Mutex
	assignment *shards.Assignment // the committed one
	holders    map[string]*holder
	releases   map[uint16]*pendingRelease // by first position of the range
	uncertain  bool                       // the outcome of the last commit is unknown
	// unpublished holds the assignments from the published one on, in ascending order.
	unpublished      []*shards.Assignment
	publishedVersion int64
	// grantsDeferred is true if maxOpeningSessions has deferred a grant.
	grantsDeferred bool
	adoptedVersion int64 // version of the assignment read last
	// unfenced holds the servers that may still have grants from before the
	// store was restored, of which this leader knows nothing.
	unfenced map[string]bool
}

func newAssignmentManager(l *leadership, service string) *assignmentManager {
	return &assignmentManager{leadership: l, service: service, holders: make(map[string]*holder), releases: make(map[uint16]*pendingRelease)}
}

func (m *assignmentManager) key() string { return assignmentsPrefix + m.service }

func (m *assignmentManager) log() *zap.Logger {
	return m.leadership.node.Log.With(zap.String("service", m.service), zap.Int64("term", m.leadership.term))
}

// step commits changes that are due and renews grants.
func (m *assignmentManager) step(ctx context.Context) {
	now := m.leadership.node.Clock()
	servers := m.servers()
	known := m.assignment != nil && !m.isUncertain()
	if !known && now >= m.storeRetryAt {
		known = m.loadAssignment(ctx, servers, now)
	}
	if m.assignment == nil {
		return
	}
	m.publish()
	if known {
		if next := m.nextAssignment(servers, now); next != nil {
			m.commit(ctx, next)
		}
	}
	m.startReleases(ctx)
	// A change with an unknown outcome takes effect nowhere, so the assignment
	// before it may still be renewed.
	m.renewGrants(ctx, servers, now)
}

// servers returns the service's servers by ID.
func (m *assignmentManager) servers() map[string]registry.Server {
	out := make(map[string]registry.Server)
	if list := m.leadership.node.view.Load().Servers; list != nil {
		for id, s := range list.Servers {
			if s.Service == m.service {
				out[id] = s
			}
		}
	}
	return out
}

// candidates returns the servers that may get ranges, ordered by ID.
func (m *assignmentManager) candidates(servers map[string]registry.Server) []shards.Candidate {
	var out []shards.Candidate
	snapshot := m.leadership.node.view.Load()
	if !snapshot.Evacuations.Known() {
		return nil
	}
	speeds := m.leadership.knownSpeeds()
	limits := make(map[string]float64)
	for _, limit := range m.leadership.node.RateLimits.Statuses() {
		limits[limit.ID] = limit.Rate
	}
	warmup := m.warmup()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(servers)) {
		s := servers[id]
		if h := m.holders[id]; !snapshot.TakesNewRequests(s) || h != nil && h.incarnation == s.Incarnation && h.failingSince != 0 {
			continue
		}
		speed, measured := speeds[id]
		if !measured {
			speed = s.Speed
		}
		if speed == 0 {
			speed = defaultServerSpeed
			if s.Warmup > 0 {
				speed *= warmupSpeedFactor
			}
		}
		out = append(out, shards.Candidate{ID: id, Incarnation: s.Incarnation, Capacity: float64(s.Slots) * speed, MaxRate: maxRate(s, limits[id], warmup)})
	}
	return out
}

// loadAssignment reads the committed assignment or creates the first one. It
// returns true if the assignment is known.
func (m *assignmentManager) loadAssignment(ctx context.Context, servers map[string]registry.Server, now boottime.Instant) bool {
	n := m.leadership.node
	kv, found, _, err := n.Store.Get(ctx, m.key())
	n.recordStoreResult(err)
	if err != nil {
		m.storeRetryAt = now.Add(assignmentRetryDelay)
		return false
	}
	if m.isUncertain() && !m.leadership.confirmKey(ctx) {
		return false
	}
	var stored *shards.Assignment
	if found {
		if stored, err = decodeStoredAssignment(kv); err != nil {
			m.log().Error("shards: committed assignment can't be decoded", zap.Error(err))
			m.storeRetryAt = now.Add(assignmentRetryDelay)
			return m.replaceAssignment(ctx, kv.ModRevision, servers)
		}
	}
	if n.Store.Era() != m.leadership.era() {
		m.leadership.stepDown("the store was restored from an older copy")
		return false
	}
	if m.leadership.era() > store.FirstEra && (stored == nil || stored.Version < shards.FirstVersionOf(m.leadership.era())) {
		return m.recoverAssignment(ctx, stored, servers)
	}
	if found {
		m.adopt(stored)
		return true
	}
	return m.createAssignment(ctx, servers, now)
}

// createAssignment creates the first assignment once all servers have had time to
// register. It returns true if the assignment is known.
func (m *assignmentManager) createAssignment(ctx context.Context, servers map[string]registry.Server, now boottime.Instant) bool {
	if len(servers) == 0 {
		return false
	}
	if m.firstServerAt == 0 {
		m.firstServerAt = now
	}
	if len(servers) != m.serverCount {
		m.serverCount, m.serverCountChangedAt = len(servers), now
	}
	if now.Sub(m.serverCountChangedAt) < bootstrapQuietPeriod && now.Sub(m.firstServerAt) < maxBootstrapWait {
		m.storeRetryAt = now.Add(bootstrapQuietPeriod / 4)
		return false
	}
	if !m.leadership.node.view.Load().Evacuations.Known() {
		m.storeRetryAt = now.Add(bootstrapQuietPeriod / 4)
		return false
	}
	first := shards.InitialAssignment(m.candidates(servers))
	if m.leadership.era() == store.FirstEra {
		m.commit(ctx, first)
		return m.assignment != nil
	}
	// Servers may have grants from before the store was restored.
	first = first.WithVersion(shards.FirstVersionOf(m.leadership.era()))
	if m.commit(ctx, first); m.assignment == nil {
		return false
	}
	m.fenceServers(ctx, first)
	return true
}

func (m *assignmentManager) isUncertain() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.uncertain
}

// adopt makes an assignment read from the store the current one.
func (m *assignmentManager) adopt(a *shards.Assignment) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.assignment, m.uncertain, m.adoptedVersion = a, false, a.Version
	m.unpublished, m.publishedVersion = nil, a.Version
	m.leadership.node.recordCommitted(m.service, a)
	m.log().Info("shards: assignment adopted", zap.Int64("version", a.Version), zap.Int("ranges", len(a.Ranges)))
}

// commit writes the next assignment on the condition that the current one is
// unchanged in the store and that this host still leads. Without the second
// condition a former leader could change an assignment that it has read after
// its lease expired, without knowing when the new leader has sent grants.
func (m *assignmentManager) commit(ctx context.Context, next *shards.Assignment) {
	revision := int64(0)
	if m.assignment != nil {
		revision = m.assignment.Revision
	}
	m.commitAfter(ctx, next, revision)
}

// commitAfter is commit on the condition that the stored assignment has the given
// revision; 0 means that there must be none.
func (m *assignmentManager) commitAfter(ctx context.Context, next *shards.Assignment, revision int64) {
	n := m.leadership.node
	now := n.Clock()
	value, err := next.Encode()
	if err != nil {
		m.log().Error("shards: assignment can't be encoded", zap.Error(err))
		return
	}
	result, err := n.Store.Txn(ctx, append(m.leadership.conditions(), store.Compare{Key: m.key(), ModRevision: revision}), []store.Op{store.Put(m.key(), value)})
	n.recordStoreResult(err)
	if err != nil || !result.Succeeded {
		m.log().Warn("shards: change not committed", zap.Int64("version", next.Version), zap.Error(err))
		m.mu.Lock()
		m.uncertain = true
		m.mu.Unlock()
		m.storeRetryAt = now.Add(assignmentRetryDelay)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	next.Revision = result.Revision
	m.assignment = next
	n.recordCommitted(m.service, next)
	m.log().Info("shards: change committed", zap.Int64("version", next.Version), zap.Int("ranges", len(next.Ranges)))
}

// publish makes a committed assignment visible to hosts once the new owners have
// acknowledged their grants or their grants have failed. A new owner would reject
// requests that arrive before its grant.
func (m *assignmentManager) publish() {
	m.mu.Lock()
	a := m.newestReady()
	if a != nil {
		m.publishedVersion = a.Version
	}
	m.mu.Unlock()
	if a != nil {
		m.leadership.node.view.setAssignment(m.service, a)
	}
}
