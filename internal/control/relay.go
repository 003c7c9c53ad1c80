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
)

// Settings of the questions to hosts that do not lead.
const (
	// relayTimeout bounds one question.
	relayTimeout = 250 * time.Millisecond
	// relayPeers is how many hosts are asked at a time.
	relayPeers = 2
)

// askPeers asks some relays for the leader and for what they know, and a seed if
// none of them answers.
func (n *Node) askPeers(ctx context.Context) {
	n.mu.Lock()
	relays, seeds := slices.Clone(n.peers), slices.Clone(n.Seeds)
	n.mu.Unlock()
	if !n.askSome(ctx, relays, relayPeers) {
		n.askSome(ctx, seeds, relayPeers)
	}
}

// askSome asks a number of the hosts and reports whether one has answered.
func (n *Node) askSome(ctx context.Context, addresses []string, number int) bool {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	answered := false
	for _, address := range addresses {
		if address == n.Address {
			continue
		}
		if number == 0 {
			break
		}
		number--
		answered = n.askPeer(ctx, address) || answered
	}
	return answered
}

func (n *Node) askPeer(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	client := fleetpbconnect.NewFleetServiceClient(n.Peers, "http://"+address)
	sentAt := n.Clock()
	response, err := client.Sync(ctx, connect.NewRequest(&fleetpb.SyncRequest{Relay: true, Known: n.withVersions(&fleetpb.Known{}, n.listBase(false))}))
	if err != nil {
		n.Log.Debug("control: peer does not answer", zap.String("peer", address), zap.Error(err))
		return false
	}
	m := response.Msg
	if m.Known != nil {
		n.apply(m, sentAt)
		n.Log.Debug("control: state learned from a peer", zap.String("peer", address), zap.Int64("config", m.Known.Config),
			zap.Int64("config_age_ms", m.ConfigAgeMillis), zap.Int64("servers_age_ms", m.ServersAgeMillis))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if m.LeaderAddress != "" && m.Term >= n.term && m.Term != n.unreachable {
		n.leader = leaderRecord{Host: m.LeaderHost, Address: m.LeaderAddress, Term: m.Term}
		n.term = m.Term
	}
	return true
}

// relay answers a host that found no leader with what this host knows beyond.
func (n *Node) relay(known *fleetpb.Known) *fleetpb.SyncResponse {
	snapshot := n.view.Load()
	if snapshot.Config == nil {
		snapshot = &Snapshot{}
	}
	out, _ := n.newsSince(snapshot, known)
	if snapshot.Config == nil {
		out.Known = nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	out.LargestCapacity, out.Peers = n.largest, n.peers
	// A leader that does not answer this host either is no help.
	if n.leader.Term != n.unreachable {
		out.Term, out.LeaderHost, out.LeaderAddress = n.leader.Term, n.leader.Host, n.leader.Address
	}
	return out
}
