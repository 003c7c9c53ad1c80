package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb/fleetpbconnect"
	"github.com/cassiasill/cassiasill/internal/shards"
)

// Settings of the questions to hosts that do not lead.
const (
	// relayTimeout bounds one question.
	relayTimeout = 250 * time.Millisecond
	// relayPeers is how many hosts are asked at a time.
	relayPeers = 4
	// maxPeers bounds the hosts that the leader names to others.
	maxPeers = 8
)

// askPeers asks other hosts for the leader and for what they know. It is the
// last resort of a host that reaches neither the leader nor the store.
func (n *Node) askPeers(ctx context.Context) {
	n.mu.Lock()
	peers := slices.Concat(n.Seeds, n.peers)
	n.mu.Unlock()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	asked := 0
	for _, address := range peers {
		if address == n.Address || asked == relayPeers {
			continue
		}
		asked++
		n.askPeer(ctx, address)
	}
}

func (n *Node) askPeer(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	client := fleetpbconnect.NewFleetServiceClient(n.Peers, "http://"+address)
	sentAt := n.Clock()
	response, err := client.Sync(ctx, connect.NewRequest(&fleetpb.SyncRequest{Relay: true}))
	if err != nil {
		n.Log.Debug("control: peer does not answer", zap.String("peer", address), zap.Error(err))
		return
	}
	m := response.Msg
	if m.Known != nil {
		n.apply(m, sentAt)
		n.Log.Info("control: state learned from a peer", zap.String("peer", address), zap.Int64("config", m.Known.Config),
			zap.Int64("config_age_ms", m.ConfigAgeMillis), zap.Int64("servers_age_ms", m.ServersAgeMillis))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.known = nil // versions of a relay mean nothing to the leader
	if m.LeaderAddress == "" || m.Term < n.term || m.Term == n.unreachable {
		return
	}
	n.leader = leaderRecord{Host: m.LeaderHost, Address: m.LeaderAddress, Term: m.Term}
	n.term = m.Term
}

// relay answers a host that found no leader with all that this host knows.
func (n *Node) relay() *fleetpb.SyncResponse {
	snapshot := n.view.Load()
	n.mu.Lock()
	out := &fleetpb.SyncResponse{Term: n.leader.Term, LeaderHost: n.leader.Host, LeaderAddress: n.leader.Address, Peers: n.peers}
	n.mu.Unlock()
	if snapshot.Config == nil {
		return out
	}
	now := n.Clock()
	out.Known = &fleetpb.Known{Config: snapshot.Config.Revision}
	out.Config, out.ConfigAgeMillis = snapshot.ConfigRaw, now.Sub(snapshot.ConfigAt).Milliseconds()
	out.Hosts, out.Dispatchers = uint32(snapshot.Hosts), snapshot.Dispatchers
	if snapshot.Servers != nil {
		out.Servers, out.HasServers = serversToProto(snapshot.Servers), true
		out.ServersAgeMillis = now.Sub(snapshot.ServersAt).Milliseconds()
	}
	out.Shards = n.shardsToProto(snapshot.Shards)
	return out
}

// shardsToProto encodes whole assignments.
func (n *Node) shardsToProto(assignments map[string]*shards.Assignment) []*fleetpb.Shards {
	var out []*fleetpb.Shards
	for service, a := range assignments {
		document, err := a.Encode()
		if err != nil {
			n.Log.Error("control: assignment can't be encoded", zap.String("service", service), zap.Error(err))
			continue
		}
		out = append(out, &fleetpb.Shards{Service: service, Document: document, Revision: a.Revision})
	}
	return out
}
