package control

import (
	"context"
	"maps"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
)

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
		return connect.NewResponse(n.relay(known)), nil
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
// it holds anything new. Numbers of another term say nothing; the configuration,
// the server list and the assignments are the same in all terms.
func (l *leadership) news(known *fleetpb.Known) (*fleetpb.SyncResponse, bool) {
	snapshot, numbers := l.describe(l.node.view.Load())
	out, news := l.node.newsSince(snapshot, known)
	out.Leader, out.Term = true, l.term
	out.Known.Term, out.Known.Placement, out.Known.Blocked = l.term, numbers.Placement, numbers.Blocked
	out.Peers, out.LargestCapacity, out.SuccessorWanted = l.relayAddresses(), l.node.largestHost(), l.wantsSuccessor()
	sameTerm := known.Term == l.term
	if !sameTerm || numbers.Placement != known.Placement {
		news = true
	}
	if !sameTerm || numbers.Blocked != known.Blocked {
		out.HasBlocked, news = true, true
		for f := range snapshot.Blocked {
			out.Blocked = append(out.Blocked, []byte(f))
		}
	}
	return out, news
}

// newsSince returns the parts of a snapshot that a host with the given versions
// lacks, and whether there are any.
func (n *Node) newsSince(snapshot *Snapshot, known *fleetpb.Known) (*fleetpb.SyncResponse, bool) {
	now := n.Clock()
	out := &fleetpb.SyncResponse{Known: &fleetpb.Known{}, Hosts: uint32(snapshot.Hosts), Dispatchers: snapshot.Dispatchers,
		ConfigAgeMillis: now.Sub(snapshot.ConfigAt).Milliseconds(), ServersAgeMillis: now.Sub(snapshot.ServersAt).Milliseconds(),
		ServersRevision: snapshot.ServersRevision}
	news := false
	if snapshot.Config != nil {
		out.Known.Config = snapshot.Config.Revision
		if known.Config < snapshot.Config.Revision {
			out.Config, news = snapshot.ConfigRaw, true
		}
	}
	if snapshot.Servers != nil {
		out.Known.Servers = snapshot.Servers.Digest
		if known.Servers != snapshot.Servers.Digest {
			list := n.history.servers(snapshot.Servers, known.Servers)
			out.Servers, out.RemovedServers, out.ServerChangesOnly = list.servers, list.removed, list.changesOnly
			out.HasServers, news = true, true
		}
	}
	for service, a := range snapshot.Shards {
		base := known.Assignments[service]
		if base >= a.Version {
			continue
		}
		document, err := n.history.shards(service, a, base)
		if err != nil {
			n.Log.Error("control: assignment can't be encoded", zap.String("service", service), zap.Error(err))
			continue
		}
		out.Shards, news = append(out.Shards, document), true
	}
	return out, news
}

func (l *leadership) wantsSuccessor() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.successorWanted
}

// relayAddresses returns the addresses of the hosts that read the store
// themselves while the leader is away: the largest ones, as far as needed.
func (l *leadership) relayAddresses() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.relays
}

// chooseRelays names the relays among the live hosts.
func (l *leadership) chooseRelays() {
	candidates := make([]dutyHost, 0, len(l.hosts))
	for _, peer := range l.hosts {
		if peer.address != "" {
			candidates = append(candidates, dutyHost{address: peer.address, capacity: peer.capacity})
		}
	}
	l.relays = assignRelays(candidates)
}

// describe numbers the parts of a snapshot that have no version of their own. A
// part gets a new number when it is replaced. It returns the snapshot that the
// numbers belong to, which is a newer one if that was described before.
func (l *leadership) describe(s *Snapshot) (*Snapshot, numbers) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.seen
	if old == nil {
		old = &Snapshot{}
		l.numbers = numbers{Placement: 1, Blocked: 1}
	}
	// A snapshot that was loaded before one already described is older.
	if s.Generation >= old.Generation {
		if s.Hosts != old.Hosts || !maps.Equal(s.Dispatchers, old.Dispatchers) {
			l.numbers.Placement++
		}
		if len(s.Blocked) != len(old.Blocked) {
			l.numbers.Blocked++
		}
		l.seen = s
	}
	return l.seen, l.numbers
}

// numbers are the numbers of the parts of a snapshot in one term.
type numbers struct{ Placement, Blocked uint64 }
