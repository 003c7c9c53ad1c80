package control

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/store"
)

// mayListServers reports whether this host lists the servers itself while there
// is no leader. A host without known relays waits for initialLeaderWait first:
// if there never was a leader, there is no assignment yet, and nothing can be
// served.
func (n *Node) mayListServers() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.relays) == 0 {
		return n.Clock().Sub(n.startedAt) > initialLeaderWait
	}
	return n.maySearchStoreLocked()
}

// applyStoredRelays applies the relays that the last leader has stored, unless
// this host has received relays since its start.
func (n *Node) applyStoredRelays(kv store.KeyValue) {
	var stored relayRecord
	if err := json.Unmarshal(kv.Value, &stored); err != nil {
		n.Log.Warn("control: list of relays can't be decoded", zap.Error(err))
		return
	}
	stored.Relays = slices.DeleteFunc(stored.Relays, func(a string) bool { return a == "" || len(a) > maxAddressBytes })
	if stored.HostCount < 0 || stored.HostCount > maxHostCount || len(stored.Relays) > maxStoredRelays {
		n.Log.Warn("control: list of relays is out of bounds", zap.Int("hosts", stored.HostCount), zap.Int("relays", len(stored.Relays)))
		return
	}
	n.mu.Lock()
	first := len(n.relays) == 0
	if first {
		n.relays, n.leaderLostAt = stored.Relays, n.Clock()
	}
	n.mu.Unlock()
	if snapshot := n.view.Load(); first && snapshot.HostCount == 0 {
		n.view.setHosts(stored.HostCount, snapshot.Dispatchers)
	}
}

// isRelay reports whether this host is one of the relays, which read the store
// while there is no leader. A host that knows no relays counts as one.
func (n *Node) isRelay() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.relays) == 0 || slices.Contains(n.relays, n.Address)
}

// maySearchStore reports whether this host searches the store for a leader. The
// relays do so at once. The others query the relays first, since the load on
// the store would otherwise grow with the number of hosts, but not for long if no
// relay answers: it may be lost together with the leader. A host that has just
// started knows no relays and searches the store, which also holds the list of
// relays. Querying the seeds first would delay the recovery after a power
// failure, as all of them may be gone; callers wait for that long.
func (n *Node) maySearchStore() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.maySearchStoreLocked()
}

// maySearchStoreLocked is maySearchStore for callers that hold mu.
func (n *Node) maySearchStoreLocked() bool {
	searched := n.Clock().Sub(n.leaderLostAt)
	relaysAreSilent := searched > silentRelaysTimeout && n.relayAnsweredAt < n.leaderLostAt
	return len(n.relays) == 0 || slices.Contains(n.relays, n.Address) || relaysAreSilent || searched > relaySearchTimeout
}

// knowsLeader reports whether a leader is known that has not been found
// unreachable.
func (n *Node) knowsLeader() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leader.Address != "" && n.leader.Term != n.unreachableTerm
}

// findLeader reads the keys of this package from the store. If there is no
// leader, it campaigns. It returns false if the store did not respond.
func (n *Node) findLeader(ctx context.Context) bool {
	items, revision, err := n.Store.Range(ctx, controlPrefix)
	n.recordStoreResult(err)
	if err != nil {
		return false
	}
	var leaderEntry store.KeyValue
	var formerValue []byte
	var eraKeys []string
	for _, kv := range items {
		switch {
		case kv.Key == leaderKey:
			leaderEntry = kv
		case kv.Key == formerLeadersKey:
			formerValue = kv.Value
		case kv.Key == relaysKey:
			n.applyStoredRelays(kv)
		case strings.HasPrefix(kv.Key, eraPrefix):
			eraKeys = append(eraKeys, kv.Key)
		case strings.HasPrefix(kv.Key, assignmentsPrefix):
			n.applyStoredAssignment(kv)
		}
	}
	// A key that another writer has overwritten is replaced like a missing one: its
	// leader can commit nothing any more, and is among the former leaders.
	current, valid := n.recordLeader(leaderEntry)
	n.mu.Lock()
	unreachable, retired := n.unreachableTerm, n.retired
	n.mu.Unlock()
	switch {
	case !valid && !retired && n.maySearchStore():
		delay := time.Duration(rand.Float64()*float64(electionJitter)) + electionDelay(n.Capacity, n.largestCapacity())
		if n.CutOff() {
			delay += cutOffElectionDelay
		}
		n.sleep(ctx, delay)
		// A campaign takes three calls, and another host may have been elected
		// during the delay.
		kv, _, _, err := n.Store.Get(ctx, leaderKey)
		if err != nil {
			break
		}
		if _, valid := n.recordLeader(kv); !valid {
			n.campaign(ctx, kv.ModRevision, formerValue, eraKeys)
		}
	case current.Host == n.Host && !retired:
		// The key was written by an earlier process on this host, which has
		// ended.
		n.campaign(ctx, leaderEntry.ModRevision, formerValue, eraKeys)
	case current.Term == unreachable:
		n.awaitElection(ctx, revision)
	}
	return true
}

// recordLeader records the leader from the leader's key, which is empty if there is
// none. It returns false if the key is empty or was not written by a leader.
func (n *Node) recordLeader(kv store.KeyValue) (leaderRecord, bool) {
	current, err := decodeLeader(kv)
	if err != nil {
		n.Log.Warn("control: leader's key can't be decoded", zap.Int64("revision", kv.ModRevision), zap.Error(err))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leader = current
	n.highestTerm = max(n.highestTerm, current.Term)
	return current, current.Address != ""
}

// maxAddressBytes bounds the names and addresses of hosts in the store.
const maxAddressBytes = 256

// isValid reports whether the record can be that of a host.
func (l leaderRecord) isValid() bool {
	return l.Host != "" && l.Address != "" && len(l.Host) <= maxAddressBytes && len(l.Address) <= maxAddressBytes
}

// decodeLeader decodes the leader's key, which is empty if there is no leader. The
// zero record stands for none.
func decodeLeader(kv store.KeyValue) (leaderRecord, error) {
	if kv.Key == "" {
		return leaderRecord{}, nil
	}
	var current leaderRecord
	if err := json.Unmarshal(kv.Value, &current); err != nil {
		return leaderRecord{}, err
	}
	if !current.isValid() || kv.Lease == 0 {
		// Without a lease it would never end.
		return leaderRecord{}, errors.New("it names no host or has no lease")
	}
	// The term is not the creation revision: a host that takes over the key of its
	// earlier process changes it without creating it.
	current.Term = kv.ModRevision
	return current, nil
}

// awaitElection waits up to leaderWatchTimeout for the key of an unreachable
// leader to change or disappear. If it does not, the leader counts as reachable
// again and the next step syncs with it.
func (n *Node) awaitElection(ctx context.Context, revision int64) {
	batch, err := n.Store.Poll(ctx, leaderKey, revision, leaderWatchTimeout)
	n.recordStoreResult(err)
	if err == nil && len(batch.Events) > 0 {
		return
	}
	n.mu.Lock()
	n.unreachableTerm = 0
	n.mu.Unlock()
	if err != nil {
		n.sleep(ctx, storeRetryDelay)
	}
}
