package control

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
)

// followOnce does one step as a follower: it syncs with the leader, or searches
// for a leader if none is known or reachable.
func (n *Node) followOnce(ctx context.Context) {
	n.mu.Lock()
	leader, unreachable := n.leader, n.unreachableTerm
	n.mu.Unlock()
	if leader.Address != "" && leader.Term != unreachable {
		err := n.syncWith(ctx, leader)
		if err == nil {
			// A leader that does not reach the store can't lead. If the list is
			// stale, its key may have expired; then findLeader campaigns.
			switch stale := n.serversAge() > staleAfter; {
			case stale && n.isRelay():
				if n.readEntries(ctx) {
					n.findLeader(ctx)
				}
			case stale:
				n.queryPeers(ctx)
			case n.maySucceed():
				n.readEntries(ctx)
			}
			n.refreshEvacuations(ctx)
			n.sleep(ctx, n.syncDelay())
			return
		}
		n.mu.Lock()
		n.unreachableTerm, n.leaderLostAt = leader.Term, n.Clock()
		n.mu.Unlock()
		if ctx.Err() == nil {
			n.logLeaderLost(leader, err)
		}
	}
	if n.maySearchStore() {
		if !n.isRelay() && n.view.Load().Servers != nil && n.serversAge() > staleAfter {
			// No relay can tell what has changed, and an election takes longer.
			n.readEntries(ctx)
		}
		if !n.findLeader(ctx) {
			n.queryPeers(ctx)
		}
	} else {
		n.queryPeers(ctx)
		if n.knowsLeader() {
			return
		}
		n.sleep(ctx, peerRetryDelay)
		return
	}
	if n.currentLeadership() != nil {
		return
	}
	// Without this delay a host that finds no leader would call the store in a
	// tight loop.
	n.sleep(ctx, noLeaderDelay)
	if n.serversAge() > minReadInterval && n.mayListServers() {
		n.readEntries(ctx)
	}
}

// serversAge returns the time since the store last confirmed the server list.
func (n *Node) serversAge() time.Duration { return n.Clock().Sub(n.view.Load().ServersConfirmedAt) }

// errNotLeading reports that the queried host no longer leads.
var errNotLeading = errors.New("the host does not lead")

// logLeaderLost logs the loss of the leader and distinguishes one that has
// resigned from one that does not respond.
func (n *Node) logLeaderLost(leader leaderRecord, err error) {
	message := "control: leader does not answer"
	if errors.Is(err, errNotLeading) {
		message = "control: leader has resigned"
	}
	n.Log.Info(message, zap.String("leader", leader.Host), zap.Int64("term", leader.Term), zap.Error(err))
}

// syncWith reports to the leader and applies the state that is newer.
func (n *Node) syncWith(ctx context.Context, leader leaderRecord) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	request := &fleetpb.SyncRequest{Host: n.Host, Address: n.Address, DispatchAddress: n.DispatchAddress, Capacity: n.Capacity, WaitMillis: syncWait.Milliseconds()}
	request.CutOff = n.CutOff()
	n.mu.Lock()
	request.Detours = uint32(len(n.detours))
	request.Known = n.knownVersions
	request.StoreAgeMillis = -1
	if n.storeReachedAt != 0 {
		request.StoreAgeMillis = n.Clock().Sub(n.storeReachedAt).Milliseconds()
	}
	n.mu.Unlock()
	newTerm := request.Known == nil || request.Known.Term != leader.Term
	if newTerm {
		request.Known = &fleetpb.Known{Term: leader.Term}
	}
	if n.isRetired() {
		// A host that is stopping gives up its duties while it still serves
		// requests.
		request.Address, request.DispatchAddress, request.Capacity = "", "", 0
	}
	request.Known = n.addVersions(request.Known, n.baseServerList(true))
	n.addEvacuations(request, newTerm)
	n.Reports.drainInto(request)
	request.Leaving = n.watchLeaving()
	request.RateLimits = n.RateLimits.TakeUnreported(newTerm)
	client := n.fleetClient(leader.Address)
	sentAt := n.Clock()
	response, err := client.Sync(ctx, connect.NewRequest(request))
	if err == nil && !response.Msg.Leader {
		err = errNotLeading
	}
	if err != nil {
		n.RateLimits.RestoreUnreported(request.RateLimits)
		return err
	}
	n.applyResponse(response.Msg, sentAt)
	n.recordLeavingReported(request.Leaving)
	n.mu.Lock()
	defer n.mu.Unlock()
	if leader.Term >= n.followed.Term {
		n.followed = leader
	}
	return nil
}

func (n *Node) isRetired() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.retired
}

// syncDelay returns the delay between two syncs, in which changes accumulate.
// It grows with the number of hosts because the leader responds to all of them.
// A dispatcher uses the minimum, as it must learn of new owners at once.
func (n *Node) syncDelay() time.Duration {
	snapshot := n.view.Load()
	for _, address := range snapshot.Dispatchers {
		if address == n.DispatchAddress {
			return minSyncDelay
		}
	}
	return min(max(minSyncDelay, time.Duration(snapshot.HostCount)*syncDelayPerHost), maxSyncDelay)
}
