package control

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/registry"
	"github.com/cassiasill/cassiasill/internal/shards"
	"github.com/cassiasill/cassiasill/internal/store"
)

// This file recovers what a store has lost that was restored from an older copy.
// The hosts' memory then is the only newer copy. The first leader of the new era
// collects it and writes the newest assignments again, under versions above all
// earlier ones, before it sends any grant.
//
// The last leader of the earlier era has committed every change that can have
// taken effect. If it responds, or is the new leader itself, the assignments are
// complete. Otherwise its latest changes may be unknown, so that any server may
// hold any positions: each server then has to release what it does not own, under
// a token that shuts out all earlier grants, before the first grant is sent.

// recovery is what the first leader of an era has learned from the other hosts.
type recovery struct {
	leadership *leadership
	// ledTerm is the last term in which a host led that has responded, and
	// followedTerm the last one of which any of them knows.
	ledTerm, followedTerm int64
	collected             bool
	// complete is true if the last leader of the earlier era has told all its
	// changes.
	complete bool
}

// unknownLeader stands for a leader of an earlier era that this host does not
// know. It can't be asked whether it has stopped.
const unknownLeader = "unknown"

// addLostLeader returns the former leaders with the last leader that this host
// has followed, which a restored store may not know.
func (n *Node) addLostLeader(former []leaderRecord) []leaderRecord {
	n.mu.Lock()
	defer n.mu.Unlock()
	last := leaderRecord{Host: n.followed.Host, Address: n.followed.Address}
	if store.EraOf(n.followed.Term) == n.Store.Era() || last.Host == "" || last.Host == n.Host || slices.ContainsFunc(former, func(f leaderRecord) bool { return f.Host == last.Host && f.Address == last.Address }) {
		return former
	}
	return append(former, last)
}

// recordCommitted records an assignment that this host has committed or adopted
// as leader.
func (n *Node) recordCommitted(service string, a *shards.Assignment) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if old := n.committed[service]; old == nil || old.Version < a.Version {
		n.committed[service] = a
	}
}

// newestAssignments returns the newest assignment of each service that this host
// knows, published or not.
func (n *Node) newestAssignments() map[string]*shards.Assignment {
	out := maps.Clone(n.view.Load().Assignments)
	n.mu.Lock()
	defer n.mu.Unlock()
	for service, a := range n.committed {
		if known := out[service]; known == nil || known.Version < a.Version {
			out[service] = a
		}
	}
	return out
}

// collect asks other hosts once for what they know: the leaders that may have
// committed last, the relays and the seeds. The number of hosts asked does not
// depend on the size of the deployment.
func (r *recovery) collect(ctx context.Context) {
	if r.collected {
		return
	}
	r.collected = true
	l, n := r.leadership, r.leadership.node
	n.mu.Lock()
	addresses := append(slices.Clone(n.relays), n.Seeds...)
	n.mu.Unlock()
	l.mu.Lock()
	for _, f := range l.formerLeaders {
		addresses = append(addresses, f.Address)
	}
	l.mu.Unlock()
	slices.Sort(addresses)
	addresses = slices.DeleteFunc(slices.Compact(addresses), func(a string) bool { return a == "" || a == n.Address })
	var mu sync.Mutex
	responses := 0
	var group conc.WaitGroup
	for _, address := range addresses {
		group.Go(func() {
			response := n.requestState(ctx, address, &fleetpb.SyncRequest{Relay: true, Recovery: true, Known: &fleetpb.Known{Term: l.term}})
			if response == nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			responses++
			r.ledTerm, r.followedTerm = max(r.ledTerm, response.LedTerm), max(r.followedTerm, response.FollowedTerm)
		})
	}
	group.Wait()
	// A host that reaches no other can't know whether another led after it.
	reachesHosts := responses > 0 || len(addresses) == 0
	r.complete = r.ledTerm > 0 && r.ledTerm >= r.followedTerm && reachesHosts
	n.Log.Info("control: state of the lost era collected from hosts", zap.Int64("term", l.term), zap.Int64("era", int64(l.era())),
		zap.Int("asked", len(addresses)), zap.Int("answered", responses), zap.Bool("complete", r.complete))
	if !r.complete {
		l.mu.Lock()
		l.formerLeaders = append(l.formerLeaders, leaderRecord{Host: unknownLeader})
		l.mu.Unlock()
	}
}

// recoverAssignment writes the newest known assignment to a store that was
// restored from an older copy. It returns true if the assignment is known.
func (m *assignmentManager) recoverAssignment(ctx context.Context, stored *shards.Assignment, servers map[string]registry.Server) bool {
	n, l := m.leadership.node, m.leadership
	l.recovery.collect(ctx)
	revision, storedVersion := int64(0), int64(0)
	newest := n.newestAssignments()[m.service]
	if stored != nil {
		revision, storedVersion = stored.Revision, stored.Version
		if newest == nil || newest.Version < stored.Version {
			newest = stored
		}
	}
	if newest == nil {
		return m.createAssignment(ctx, servers, n.Clock())
	}
	next := newest.NextVersionIn(l.era())
	m.commitAfter(ctx, next, revision)
	m.mu.Lock()
	written := m.assignment == next
	m.mu.Unlock()
	if !written {
		return false
	}
	n.Log.Warn("shards: assignment written again after the store was restored", zap.String("service", m.service), zap.Int64("term", l.term), zap.Int64("era", int64(l.era())),
		zap.Int64("restored_version", storedVersion), zap.Int64("known_version", newest.Version), zap.Int64("version", next.Version), zap.Bool("complete", l.recovery.complete))
	if !l.recovery.complete {
		m.fenceServers(ctx, next)
	}
	m.adopt(next)
	return true
}

// decodeStoredAssignment decodes an assignment in the store. Each change raises the
// version by one and takes a revision, so a version above that of its revision was
// written by somebody else.
func decodeStoredAssignment(kv store.KeyValue) (*shards.Assignment, error) {
	a, err := shards.Decode(kv.Value, kv.ModRevision)
	if err == nil && a.Version > highestVersionAt(kv.ModRevision) {
		err = &shards.InvalidError{Problem: fmt.Sprintf("version %d is too high for revision %d", a.Version, kv.ModRevision)}
	}
	if err != nil {
		return nil, err
	}
	return a, nil
}

// highestVersionAt returns the highest version that can have been committed up to a
// revision of the store.
func highestVersionAt(revision int64) int64 {
	return shards.FirstVersionOf(store.EraOf(revision)) + store.WithoutEra(revision)
}

// replaceAssignment writes the newest known assignment over one of another writer at
// the given revision, under a version above all that can have been committed. It
// returns true if the assignment is known.
func (m *assignmentManager) replaceAssignment(ctx context.Context, revision int64, servers map[string]registry.Server) bool {
	n, l := m.leadership.node, m.leadership
	complete := m.assignment != nil // nobody else has committed in this term
	newest := m.assignment
	if !complete {
		l.recovery.collect(ctx)
		complete, newest = l.recovery.complete, n.newestAssignments()[m.service]
	}
	if newest == nil {
		complete, newest = false, shards.InitialAssignment(m.candidates(servers))
	}
	next := newest.WithVersion(max(newest.Version, highestVersionAt(revision)) + 1)
	m.commitAfter(ctx, next, revision)
	m.mu.Lock()
	written := m.assignment == next
	m.mu.Unlock()
	if !written {
		return false
	}
	m.log().Warn("shards: assignment of another writer replaced", zap.Int64("known_version", newest.Version), zap.Int64("version", next.Version), zap.Bool("complete", complete))
	if !complete {
		m.fenceServers(ctx, next)
	}
	m.adopt(next)
	return true
}

// fenceServers makes every server release the positions that it does not own in
// the assignment.
func (m *assignmentManager) fenceServers(ctx context.Context, a *shards.Assignment) {
	ids := make(map[string]bool)
	for id := range m.servers() {
		ids[id] = true
	}
	for _, r := range a.Ranges {
		if r.Owner != "" {
			ids[r.Owner] = true
		}
	}
	m.mu.Lock()
	m.unfenced = ids
	m.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(ids)) {
		m.leadership.group.Go(func() {
			for _, positions := range a.PositionsNotOwnedBy(id) {
				owner := shards.Range{From: positions.From, To: positions.To, Owner: id, ReleaseToken: a.Version}
				release := &pendingRelease{token: a.Version}
				if m.requestRelease(ctx, owner, release); !release.acknowledged {
					return
				}
			}
			m.mu.Lock()
			delete(m.unfenced, id)
			left := len(m.unfenced)
			m.mu.Unlock()
			if left == 0 {
				m.log().Info("shards: all servers have released what they do not own")
				m.leadership.wake()
			}
		})
	}
}

// isFenced reports whether no server can hold positions under a grant that this
// leader does not know. The caller holds mu.
func (m *assignmentManager) isFenced(now boottime.Instant) bool {
	if len(m.unfenced) > 0 && now >= m.grantsExpireAt(&pendingRelease{}) {
		m.unfenced = nil
	}
	return len(m.unfenced) == 0
}
