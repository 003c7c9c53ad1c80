package control

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/store"
)

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
