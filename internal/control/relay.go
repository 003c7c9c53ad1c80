package control

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
)

// Limits of queries to hosts that do not lead.
const (
	// peerQueryTimeout bounds one query.
	peerQueryTimeout = 250 * time.Millisecond
	// maxQueriedPeers is how many hosts are queried in one round.
	maxQueriedPeers = 2
)

// queryPeers queries some relays for the leader and for their state, and some
// seeds if no relay responds.
func (n *Node) queryPeers(ctx context.Context) {
	n.mu.Lock()
	relays, seeds := slices.Clone(n.relays), slices.Clone(n.Seeds)
	n.mu.Unlock()
	if n.queryHosts(ctx, relays, maxQueriedPeers) {
		n.mu.Lock()
		n.relayAnsweredAt = n.Clock()
		n.mu.Unlock()
		return
	}
	n.queryHosts(ctx, seeds, maxQueriedPeers)
}

// queryHosts queries up to count of the hosts, in random order but last those that have
// not responded lately, and reports whether any has responded.
func (n *Node) queryHosts(ctx context.Context, addresses []string, count int) bool {
	n.shuffleForQuery(addresses)
	responded := false
	for _, address := range addresses {
		if address == n.Address {
			continue
		}
		if count == 0 {
			break
		}
		count--
		responded = n.queryPeer(ctx, address) || responded
	}
	return responded
}

// shuffleForQuery puts addresses of hosts in a random order, but last those that have not
// answered a query lately.
func (n *Node) shuffleForQuery(addresses []string) {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock()
	maps.DeleteFunc(n.silentSince, func(_ string, since boottime.Instant) bool { return now.Sub(since) > relayAvoidance })
	rank := func(address string) int {
		if _, silent := n.silentSince[address]; silent {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(addresses, func(a, b string) int { return rank(a) - rank(b) })
}

// recordAnswer records whether a host has answered a query.
func (n *Node) recordAnswer(address string, answered bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if answered {
		delete(n.silentSince, address)
		return
	}
	n.silentSince[address] = n.Clock()
}

// queryPeer queries one host, applies the state that it returns and records the
// leader that it knows. It reports whether the host has responded.
func (n *Node) queryPeer(ctx context.Context, address string) bool {
	message := n.requestState(ctx, address, &fleetpb.SyncRequest{Relay: true, Known: &fleetpb.Known{}})
	if message == nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if message.LeaderAddress != "" && message.Term >= n.highestTerm && message.Term != n.unreachableTerm {
		n.leader = leaderRecord{Host: message.LeaderHost, Address: message.LeaderAddress, Term: message.Term}
		n.highestTerm = message.Term
	}
	return true
}

// requestState requests the state that this host lacks from another and applies
// it. It returns nil if the other host does not respond.
func (n *Node) requestState(ctx context.Context, address string, request *fleetpb.SyncRequest) *fleetpb.SyncResponse {
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	request.Known = n.addVersions(request.Known, n.baseServerList(false))
	client := n.fleetClient(address)
	sentAt := n.Clock()
	response, err := client.Sync(ctx, connect.NewRequest(request))
	n.recordAnswer(address, err == nil)
	if err != nil {
		n.Log.Debug("control: peer does not answer", zap.String("peer", address), zap.Error(err))
		return nil
	}
	message := response.Msg
	if message.Known != nil {
		n.applyResponse(message, sentAt)
		n.Log.Debug("control: state learned from a peer", zap.String("peer", address), zap.Int64("config", message.Known.Config),
			zap.Int64("config_age_ms", message.ConfigAgeMillis), zap.Int64("servers_age_ms", message.ServersAgeMillis))
	}
	return message
}

// configResponse returns the configuration and the evacuations that a host with the given
// versions lacks.
func (n *Node) configResponse(known *fleetpb.Known) *fleetpb.SyncResponse {
	snapshot := n.view.Load()
	if snapshot.Config == nil {
		return &fleetpb.SyncResponse{}
	}
	out, _ := n.updateSince(&Snapshot{Config: snapshot.Config, RawConfig: snapshot.RawConfig, ConfigConfirmedAt: snapshot.ConfigConfirmedAt,
		Evacuations: snapshot.Evacuations, EvacuationsConfirmedAt: snapshot.EvacuationsConfirmedAt}, known)
	return out
}

// relayResponse returns the response to a host that has found no leader: the
// state that it lacks and the leader that this host knows. With recovery, it
// includes assignments that this host has not published as leader.
func (n *Node) relayResponse(known *fleetpb.Known, recovery bool) *fleetpb.SyncResponse {
	snapshot := n.view.Load()
	if recovery {
		full := *snapshot
		full.Assignments = n.newestAssignments()
		snapshot = &full
	}
	if snapshot.Config == nil {
		snapshot = &Snapshot{}
	}
	out, _ := n.updateSince(snapshot, known)
	out.RateLimits = n.RateLimits.All()
	if snapshot.Config == nil {
		out.Known = nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	out.LedTerm, out.FollowedTerm = n.ledTerm, n.followed.Term
	out.LargestCapacity, out.Peers = n.largestHostCapacity, n.relays
	// A leader that this host can't reach is not passed on.
	if n.leader.Term != n.unreachableTerm {
		out.Term, out.LeaderHost, out.LeaderAddress = n.leader.Term, n.leader.Host, n.leader.Address
	}
	return out
}
