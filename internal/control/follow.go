package control

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb/fleetpbconnect"
	"github.com/cassiasill/cassiasill/internal/registry"
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

// mayListServers reports whether this host reads the servers itself while there
// is no leader. Until one has named relays, nothing can be served yet.
func (n *Node) mayListServers() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.peers) == 0 {
		return n.Clock().Sub(n.startedAt) > firstPatience
	}
	return n.mayAskStoreLocked()
}

// takeRelays takes the relays that the last leader has named, unless one has
// told this host since its start.
func (n *Node) takeRelays(kv store.KeyValue) {
	var stored relayRecord
	if err := json.Unmarshal(kv.Value, &stored); err != nil {
		n.Log.Warn("control: list of relays can't be read", zap.Error(err))
		return
	}
	n.mu.Lock()
	first := len(n.peers) == 0
	if first {
		n.peers, n.lostAt = stored.Relays, n.Clock()
	}
	n.mu.Unlock()
	if snapshot := n.view.Load(); first && snapshot.Hosts == 0 {
		n.view.setHosts(stored.Hosts, snapshot.Dispatchers)
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

// listBase returns the server list to which changes apply: for those from a
// leader the last one that a leader sent. What this host has learned elsewhere
// since is newer, but the leader can't know it and would send the whole list.
func (n *Node) listBase(leader bool) *registry.List {
	n.mu.Lock()
	defer n.mu.Unlock()
	if leader && n.leaderList != nil {
		return n.leaderList
	}
	return n.view.Load().Servers
}

// withVersions adds the versions of what this host has, from whatever source,
// and of the list to which changes of servers are to apply.
func (n *Node) withVersions(known *fleetpb.Known, base *registry.List) *fleetpb.Known {
	out := &fleetpb.Known{Term: known.Term, Blocked: known.Blocked, Placement: known.Placement, Assignments: make(map[string]int64)}
	snapshot := n.view.Load()
	if snapshot.Config != nil {
		out.Config = snapshot.Config.Revision
	}
	n.mu.Lock()
	whole := n.wantsWhole
	n.mu.Unlock()
	if base != nil && !whole {
		out.Servers = base.Digest
	}
	for service, a := range snapshot.Shards {
		if !whole {
			out.Assignments[service] = a.Version
		}
	}
	return out
}

func (n *Node) isRetired() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.retired
}

// isRelay reports whether this host is among those that read the store while
// the leader is away. A host that knows no relays is.
func (n *Node) isRelay() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.peers) == 0 || slices.Contains(n.peers, n.Address)
}

// mayAskStore reports whether this host looks for a leader in the store. The
// relays do at once; the others ask them first, since all hosts together would
// load the store in proportion to their number. A host that has just started
// knows none and asks the store, where it learns which hosts were relays: the
// seeds may all be gone, and after a loss of power each tenth of a second that
// callers wait counts.
func (n *Node) mayAskStore() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.mayAskStoreLocked()
}

func (n *Node) mayAskStoreLocked() bool {
	return len(n.peers) == 0 || slices.Contains(n.peers, n.Address) || n.Clock().Sub(n.lostAt) > relayPatience
}

// knowsLeader reports whether a leader is known that was not found silent.
func (n *Node) knowsLeader() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leader.Address != "" && n.leader.Term != n.unreachable
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
	if m.Known == nil {
		n.Log.Warn("control: news without versions refused", zap.Int64("term", m.Term))
		return
	}
	n.view.setTerm(m.Term)
	configAt := sentAt.Add(-ageOf(m.ConfigAgeMillis))
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
	whole := !n.applyServers(m, sentAt.Add(-ageOf(m.ServersAgeMillis)))
	for _, s := range m.Shards {
		a, err := decodeShards(s, n.view.Load().Shards[s.Service])
		if err != nil {
			n.Log.Warn("control: leader's assignment refused", zap.String("service", s.Service), zap.Error(err))
			whole = true
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
	defer n.mu.Unlock()
	n.wantsWhole = whole
	if m.Leader {
		n.known, n.successorWanted = m.Known, m.SuccessorWanted
	}
	if len(m.Peers) > 0 {
		n.peers = m.Peers
	}
}

// ageOf decodes an age. What is told of the future counts as now; otherwise it
// would look fresh for ever.
func ageOf(millis int64) time.Duration {
	return time.Duration(min(max(millis, 0), maxAge.Milliseconds())) * time.Millisecond
}

// applyServers takes a server list, or what has changed in it. It returns false
// if the changes don't lead to the sender's list.
func (n *Node) applyServers(m *fleetpb.SyncResponse, at boottime.Instant) bool {
	if !m.HasServers {
		n.view.confirmServers(at, m.ServersRevision)
		return true
	}
	base := &registry.List{}
	if have := n.listBase(m.Leader); m.ServerChangesOnly && have != nil {
		base = have
	}
	list := base.WithChanges(serversFromProto(m.Servers), m.RemovedServers)
	if list.Digest != m.Known.Servers {
		n.Log.Warn("control: leader's server list refused, its changes do not fit", zap.Int("changed", len(m.Servers)), zap.Int("removed", len(m.RemovedServers)))
		return false
	}
	if m.Leader {
		n.mu.Lock()
		n.leaderList = list
		n.mu.Unlock()
	}
	n.view.setServers(list, at, m.ServersRevision)
	return true
}

// findLeader reads the hosts' own keys. If there is no leader, it tries to
// become it. It returns false if the store did not answer.
func (n *Node) findLeader(ctx context.Context) bool {
	items, revision, err := n.Store.Range(ctx, ownPrefix)
	n.noteStore(err)
	if err != nil {
		return false
	}
	var found store.KeyValue
	var former []byte
	for _, kv := range items {
		switch {
		case kv.Key == leaderKey:
			found = kv
		case kv.Key == formerKey:
			former = kv.Value
		case kv.Key == relaysKey:
			n.takeRelays(kv)
		case strings.HasPrefix(kv.Key, shardsPrefix):
			n.takeAssignment(kv)
		}
	}
	current := n.takeLeader(found)
	n.mu.Lock()
	unreachable, retired := n.unreachable, n.retired
	n.mu.Unlock()
	switch {
	case found.Key == "" && !retired && n.mayAskStore():
		n.pause(ctx, time.Duration(rand.Float64()*float64(electionJitter))+electionDelay(n.Capacity, n.largestHost()))
		// Standing takes three calls; meanwhile another host may lead.
		if kv, taken, _, err := n.Store.Get(ctx, leaderKey); err == nil && taken {
			n.takeLeader(kv)
		} else if err == nil {
			n.stand(ctx, 0, former)
		}
	case current.Host == n.Host && !retired:
		// The key is from an earlier process on this host, which has ended.
		n.stand(ctx, found.ModRevision, former)
	case current.Term == unreachable:
		n.awaitElection(ctx, revision)
	}
	return true
}

// takeLeader takes the leader's key as the store holds it, which is empty if
// there is none.
func (n *Node) takeLeader(kv store.KeyValue) leaderRecord {
	var current leaderRecord
	if kv.Key != "" {
		if err := json.Unmarshal(kv.Value, &current); err != nil {
			n.Log.Warn("control: leader's key can't be read", zap.Error(err))
		}
		// A host that takes over its own former key changes it without a new
		// creation.
		current.Term = kv.ModRevision
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leader = current
	n.term = max(n.term, current.Term)
	return current
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
