package control

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb/fleetpbconnect"
)

// follow does one step as a follower: a sync with the leader, or a reading of
// the store if the leader is unknown or does not answer.
func (n *Node) follow(ctx context.Context) {
	n.mu.Lock()
	leader, unreachable := n.leader, n.unreachable
	n.mu.Unlock()
	if leader.Address != "" && leader.Term != unreachable {
		err := n.syncWith(ctx, leader)
		if err == nil {
			// A leader that does not reach the store can't lead: if its key is
			// gone, this host stands for election.
			switch stale := n.Clock().Sub(n.view.Load().ServersAt) > staleAfter; {
			case stale && n.isRelay():
				if n.readEntries(ctx) {
					n.findLeader(ctx)
				}
			case stale:
				n.askPeers(ctx)
			case n.maySucceed():
				n.readEntries(ctx)
			}
			n.pause(ctx, n.syncPause())
			return
		}
		n.mu.Lock()
		n.unreachable, n.lostAt = leader.Term, n.Clock()
		n.mu.Unlock()
		if ctx.Err() == nil {
			n.logLost(leader, err)
		}
	}
	if n.mayAskStore() {
		if !n.findLeader(ctx) {
			n.askPeers(ctx)
		}
	} else {
		n.askPeers(ctx)
		if n.knowsLeader() {
			return
		}
		n.pause(ctx, peerPause)
		return
	}
	if n.currentLeadership() != nil {
		return
	}
	// Without it a host that finds no leader would ask the store without end.
	n.pause(ctx, stepPause)
	if n.Clock().Sub(n.view.Load().ServersAt) > readInterval && n.mayListServers() {
		n.readEntries(ctx)
	}
}

// errNotLeading is the answer of a host that leads no more.
var errNotLeading = errors.New("the host does not lead")

// logLost tells a leader that has resigned from one that does not answer.
func (n *Node) logLost(leader leaderRecord, err error) {
	message := "control: leader does not answer"
	if errors.Is(err, errNotLeading) {
		message = "control: leader has resigned"
	}
	n.Log.Info(message, zap.String("leader", leader.Host), zap.Int64("term", leader.Term), zap.Error(err))
}

// syncWith reports to the leader and takes what is newer.
func (n *Node) syncWith(ctx context.Context, leader leaderRecord) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	request := &fleetpb.SyncRequest{Host: n.Host, Address: n.Address, DispatchAddress: n.DispatchAddress, Capacity: n.Capacity, WaitMillis: syncWait.Milliseconds()}
	n.mu.Lock()
	request.Known = n.known
	request.StoreAgeMillis = -1
	if n.storeAt != 0 {
		request.StoreAgeMillis = n.Clock().Sub(n.storeAt).Milliseconds()
	}
	n.mu.Unlock()
	if request.Known == nil || request.Known.Term != leader.Term {
		request.Known = &fleetpb.Known{Term: leader.Term}
	}
	if n.isRetired() {
		// A host that is stopping gives up its duties while it still answers.
		request.Address, request.DispatchAddress, request.Capacity = "", "", 0
	}
	request.Known = n.withVersions(request.Known, n.listBase(true))
	n.Reports.take(request)
	client := fleetpbconnect.NewFleetServiceClient(n.Peers, "http://"+leader.Address)
	sentAt := n.Clock()
	response, err := client.Sync(ctx, connect.NewRequest(request))
	if err != nil {
		return err
	}
	if !response.Msg.Leader {
		return errNotLeading
	}
	n.apply(response.Msg, sentAt)
	return nil
}

func (n *Node) isRetired() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.retired
}

// syncPause lets news gather between two syncs. The more hosts there are, the
// longer it is, because the leader answers all of them. A host that places
// requests for others must know new owners at once.
func (n *Node) syncPause() time.Duration {
	snapshot := n.view.Load()
	for _, address := range snapshot.Dispatchers {
		if address == n.DispatchAddress {
			return syncGap
		}
	}
	return min(max(syncGap, time.Duration(snapshot.Hosts)*syncGapPerHost), maxSyncGap)
}
