package control

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb/fleetpbconnect"
	"github.com/cassiasill/cassiasill/internal/shards"
	"github.com/cassiasill/cassiasill/internal/store"
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
			if n.Clock().Sub(n.view.Load().ServersAt) > staleAfter && n.readEntries(ctx) {
				n.findLeader(ctx)
			}
			if n.maySucceed() {
				n.readEntries(ctx)
			}
			n.pause(ctx, syncGap)
			return
		}
		n.mu.Lock()
		n.unreachable = leader.Term
		n.mu.Unlock()
		if ctx.Err() == nil {
			n.logLost(leader, err)
		}
	}
	if !n.findLeader(ctx) {
		n.askPeers(ctx)
	}
	if n.currentLeadership() != nil {
		return
	}
	// Without it a host that finds no leader would ask the store without end.
	n.pause(ctx, stepPause)
	if n.Clock().Sub(n.view.Load().ServersAt) > readInterval {
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
	request.Known = n.withAssignments(request.Known)
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

// withAssignments adds the versions of the assignments that this host has.
func (n *Node) withAssignments(known *fleetpb.Known) *fleetpb.Known {
	out := &fleetpb.Known{Term: known.Term, Config: known.Config, Servers: known.Servers, Shards: known.Shards, Blocked: known.Blocked,
		Placement: known.Placement, Assignments: make(map[string]int64)}
	for service, a := range n.view.Load().Shards {
		out.Assignments[service] = a.Version
	}
	return out
}

// decodeShards decodes an assignment, or the changes since the one that this
// host has.
func decodeShards(s *fleetpb.Shards, have *shards.Assignment) (*shards.Assignment, error) {
	switch {
	case !s.ChangesOnly:
		return shards.Decode(s.Document, s.Revision)
	case have == nil:
		return nil, &shards.InvalidError{Problem: "changes without an assignment"}
	default:
		return have.WithChanges(s.Document, s.Revision)
	}
}

// apply takes a leader's answer. Ages count from the answer; measured from the
// sending of the request they are too long by at most the time it took, which
// errs on the safe side.
func (n *Node) apply(m *fleetpb.SyncResponse, sentAt boottime.Instant) {
	n.mu.Lock()
	n.known = m.Known
	n.mu.Unlock()
	n.view.setTerm(m.Term)
	configAt := sentAt.Add(-time.Duration(m.ConfigAgeMillis) * time.Millisecond)
	if len(m.Config) > 0 {
		config, err := n.Schema.DecodeConfig(m.Config, m.Known.Config)
		if err != nil {
			n.Log.Warn("control: leader's configuration refused", zap.Error(err))
		} else {
			n.view.setConfig(config, m.Config, configAt)
		}
	} else {
		n.view.setConfig(nil, nil, configAt)
	}
	serversAt := sentAt.Add(-time.Duration(m.ServersAgeMillis) * time.Millisecond)
	if m.HasServers {
		n.view.setServers(serversFromProto(m.Servers), serversAt)
	} else {
		n.view.setServers(nil, serversAt)
	}
	for _, s := range m.Shards {
		a, err := decodeShards(s, n.view.Load().Shards[s.Service])
		if err != nil {
			n.Log.Warn("control: leader's assignment refused", zap.String("service", s.Service), zap.Error(err))
			n.mu.Lock()
			n.known.Shards = 0 // asks for it again
			n.mu.Unlock()
			continue
		}
		n.view.setShards(s.Service, a)
	}
	if m.HasBlocked {
		blocked := make(map[string]bool, len(m.Blocked))
		for _, f := range m.Blocked {
			blocked[string(f)] = true
		}
		n.view.setBlocked(blocked)
	}
	n.view.setHosts(int(m.Hosts), m.Dispatchers)
	n.noteLargest(m.LargestCapacity)
	n.mu.Lock()
	n.successorWanted = m.SuccessorWanted
	n.mu.Unlock()
	if len(m.Peers) > 0 {
		n.mu.Lock()
		n.peers = m.Peers
		n.mu.Unlock()
	}
}

// findLeader reads the hosts' own keys. If there is no leader, it tries to
// become it. It returns false if the store did not answer.
func (n *Node) findLeader(ctx context.Context) bool {
	items, revision, err := n.Store.Range(ctx, ownPrefix)
	n.noteStore(err)
	if err != nil {
		return false
	}
	var current leaderRecord
	var found store.KeyValue
	var former []byte
	for _, kv := range items {
		switch {
		case kv.Key == leaderKey:
			found = kv
			if err := json.Unmarshal(kv.Value, &current); err != nil {
				n.Log.Warn("control: leader's key can't be read", zap.Error(err))
			}
			// A host that takes over its own former key changes it without a new
			// creation.
			current.Term = kv.ModRevision
		case kv.Key == formerKey:
			former = kv.Value
		case strings.HasPrefix(kv.Key, shardsPrefix):
			n.takeAssignment(kv)
		}
	}
	n.mu.Lock()
	n.leader = current
	n.term = max(n.term, current.Term)
	unreachable, retired := n.unreachable, n.retired
	n.mu.Unlock()
	switch {
	case found.Key == "" && !retired:
		n.pause(ctx, time.Duration(rand.Float64()*float64(electionJitter))+electionDelay(n.Capacity, n.largestHost()))
		n.stand(ctx, 0, former)
	case current.Host == n.Host && !retired:
		// The key is from an earlier process on this host, which has ended.
		n.stand(ctx, found.ModRevision, former)
	case current.Term == unreachable:
		n.awaitElection(ctx, revision)
	}
	return true
}

// awaitElection waits until the key of a leader that does not answer is gone
// or changed, and for a short time at most: the leader may answer again.
func (n *Node) awaitElection(ctx context.Context, revision int64) {
	batch, err := n.Store.Poll(ctx, leaderKey, revision, leaderWatch)
	n.noteStore(err)
	if err == nil && len(batch.Events) > 0 {
		return
	}
	n.mu.Lock()
	n.unreachable = 0
	n.mu.Unlock()
	if err != nil {
		n.pause(ctx, retryPause)
	}
}
