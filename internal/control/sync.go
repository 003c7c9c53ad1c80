package control

import (
	"context"
	"maps"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/shards"
)

// recentAssignments is how many assignments of a service the leader remembers:
// what is committed between two syncs of a host, with room.
const recentAssignments = 48

// Sync serves fleetpbconnect.FleetServiceHandler.
func (n *Node) Sync(ctx context.Context, r *connect.Request[fleetpb.SyncRequest]) (*connect.Response[fleetpb.SyncResponse], error) {
	known := r.Msg.Known
	if known == nil {
		known = &fleetpb.Known{}
	}
	l := n.currentLeadership()
	if l != nil && known.Term > l.term {
		l.lose("another host leads a later term")
	}
	if r.Msg.Relay {
		return connect.NewResponse(n.relay()), nil
	}
	if l == nil || l.isLost() {
		return connect.NewResponse(&fleetpb.SyncResponse{}), nil
	}
	l.ingest(r.Msg, n.Clock())
	wait := min(time.Duration(r.Msg.WaitMillis)*time.Millisecond, syncWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := n.view.Changed()
		response, news := l.news(known)
		if news || wait <= 0 {
			return connect.NewResponse(response), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-l.lost:
			return connect.NewResponse(&fleetpb.SyncResponse{}), nil
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeCanceled, ctx.Err())
		}
	}
}

// ingest takes a host's report.
func (l *leadership) ingest(m *fleetpb.SyncRequest, now boottime.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m.Host != "" && m.Host != l.node.Host {
		peer := peerHost{since: now, seen: now, address: m.Address, dispatch: m.DispatchAddress, capacity: m.Capacity}
		if old, known := l.hosts[m.Host]; known {
			peer.since, peer.storeAt = old.since, old.storeAt
		}
		if m.StoreAgeMillis >= 0 {
			peer.storeAt = max(peer.storeAt, now.Add(-time.Duration(m.StoreAgeMillis)*time.Millisecond))
			l.storeReached = max(l.storeReached, peer.storeAt)
		}
		l.hosts[m.Host] = peer
	}
	for _, load := range m.Loads {
		meter := l.loads[load.Service]
		if meter == nil {
			meter = newLoadMeter(now)
			l.loads[load.Service] = meter
		}
		meter.add(load)
	}
	for _, s := range m.Servers {
		l.speeds.add(s, now)
	}
	for _, c := range m.Crashes {
		l.crashes.note(c, now)
	}
}

// news returns the answer to a host that knows the given versions, and whether
// it holds anything new. Versions of another term say nothing.
func (l *leadership) news(known *fleetpb.Known) (*fleetpb.SyncResponse, bool) {
	now := l.node.Clock()
	snapshot, versions := l.describe(l.node.view.Load())
	if known.Term != l.term {
		// Versions of assignments are the same in all terms.
		known = &fleetpb.Known{Assignments: known.Assignments}
	}
	out := &fleetpb.SyncResponse{Leader: true, Term: l.term, Known: versions, Hosts: uint32(snapshot.Hosts), Dispatchers: snapshot.Dispatchers, Peers: l.peerAddresses(), LargestCapacity: l.node.largestHost(), SuccessorWanted: l.wantsSuccessor(),
		ConfigAgeMillis: now.Sub(snapshot.ConfigAt).Milliseconds(), ServersAgeMillis: now.Sub(snapshot.ServersAt).Milliseconds()}
	news := false
	if versions.Placement != known.Placement {
		news = true
	}
	if versions.Config != known.Config {
		out.Config, news = snapshot.ConfigRaw, true
	}
	if versions.Servers != known.Servers && snapshot.Servers != nil {
		out.Servers, out.HasServers, news = serversToProto(snapshot.Servers), true, true
	}
	if versions.Shards != known.Shards {
		news = true
		out.Shards = l.shardsSince(snapshot, known.Assignments)
	}
	if versions.Blocked != known.Blocked {
		out.HasBlocked, news = true, true
		for f := range snapshot.Blocked {
			out.Blocked = append(out.Blocked, []byte(f))
		}
	}
	return out, news
}

// shardsSince encodes what a host that has the given versions lacks: the changes
// of an assignment, if the version that it has is remembered.
func (l *leadership) shardsSince(snapshot *Snapshot, have map[string]int64) []*fleetpb.Shards {
	var out []*fleetpb.Shards
	whole := make(map[string]*shards.Assignment)
	for service, a := range snapshot.Shards {
		version, has := have[service]
		if has && version >= a.Version {
			continue
		}
		base := l.remembered(service, version)
		if base == nil {
			whole[service] = a
			continue
		}
		document, err := a.ChangesSince(base)
		if err != nil {
			l.node.Log.Error("control: changes can't be encoded", zap.String("service", service), zap.Error(err))
			continue
		}
		out = append(out, &fleetpb.Shards{Service: service, Document: document, Revision: a.Revision, ChangesOnly: true})
	}
	return append(out, l.node.shardsToProto(whole)...)
}

// remembered returns an assignment that was described lately.
func (l *leadership) remembered(service string, version int64) *shards.Assignment {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.recent[service] {
		if a.Version == version {
			return a
		}
	}
	return nil
}

// remember keeps the last assignments of a snapshot, as the base of changes.
func (l *leadership) remember(s *Snapshot) {
	for service, a := range s.Shards {
		recent := l.recent[service]
		if n := len(recent); n > 0 && recent[n-1] == a {
			continue
		}
		l.recent[service] = append(recent[max(0, len(recent)-recentAssignments+1):], a)
	}
}

func (l *leadership) wantsSuccessor() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.successorWanted
}

// peerAddresses returns addresses of some live hosts.
func (l *leadership) peerAddresses() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for _, peer := range l.hosts {
		if peer.address != "" && len(out) < maxPeers {
			out = append(out, peer.address)
		}
	}
	return out
}

// describe numbers the parts of a snapshot. A part gets a new number when it is
// replaced. It returns the snapshot that the numbers belong to, which is a newer
// one if that was described before.
func (l *leadership) describe(s *Snapshot) (*Snapshot, *fleetpb.Known) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.seen
	if old == nil {
		old = &Snapshot{}
		l.versions = fleetpb.Known{Term: l.term, Servers: 1, Shards: 1, Blocked: 1, Placement: 1}
	}
	// A snapshot that was loaded before one already described is older.
	if s.Generation >= old.Generation {
		if s.Config != nil {
			l.versions.Config = s.Config.Revision
		}
		if s.Servers != old.Servers {
			l.versions.Servers++
		}
		if !sameShards(s, old) {
			l.versions.Shards++
			l.remember(s)
		}
		if s.Hosts != old.Hosts || !maps.Equal(s.Dispatchers, old.Dispatchers) {
			l.versions.Placement++
		}
		if len(s.Blocked) != len(old.Blocked) {
			l.versions.Blocked++
		}
		l.seen = s
	}
	v := &l.versions
	return l.seen, &fleetpb.Known{Term: v.Term, Config: v.Config, Servers: v.Servers, Shards: v.Shards, Blocked: v.Blocked, Placement: v.Placement}
}

func sameShards(a, b *Snapshot) bool {
	if len(a.Shards) != len(b.Shards) {
		return false
	}
	for service, assignment := range a.Shards {
		if b.Shards[service] != assignment {
			return false
		}
	}
	return true
}
