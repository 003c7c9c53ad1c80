package control

import (
	"context"
	"encoding/json"
	"errors"
	"slices"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/store"
)

// peerHost is what the leader knows about another host.
type peerHost struct {
	firstSyncAt, lastSyncAt boottime.Instant
	storeReachedAt          boottime.Instant // last successful call to the store
	address                 string
	dispatchAddress         string
	capacity                float64
	cutOff                  bool // from all servers
}

// campaign tries to become leader by replacing the leader's key, which must be
// at the given revision; 0 means that the key must not exist. The same
// transaction adds this host to the list of leaders that may still renew
// grants, which the next leader reads, and replaces the keys of earlier eras by
// that of the store's era.
func (n *Node) campaign(ctx context.Context, revision int64, formerValue []byte, eraKeys []string) {
	former, err := decodeFormerLeaders(formerValue)
	if err != nil {
		n.Log.Warn("control: list of former leaders can't be decoded", zap.Error(err))
	}
	// Earlier leaders on this host were processes that have ended.
	former = slices.DeleteFunc(former, func(f leaderRecord) bool { return f.Host == n.Host || f.Address == n.Address })
	former = n.addLostLeader(former)
	startedAt := n.Clock()
	era := n.Store.Era()
	lease, err := n.Store.GrantLease(ctx, LeaseTTL)
	n.recordStoreResult(err)
	if err != nil {
		return
	}
	self := leaderRecord{Host: n.Host, Address: n.Address}
	value, err := json.Marshal(self)
	if err != nil {
		return // strings can always be encoded
	}
	list, err := json.Marshal(append(slices.Clone(former), self))
	if err != nil {
		return // strings can always be encoded
	}
	ops := []store.Op{{Key: leaderKey, Value: value, Lease: lease}, store.Put(formerLeadersKey, list), store.Put(eraKey(era), value)}
	for _, key := range eraKeys {
		if key != eraKey(era) {
			ops = append(ops, store.Delete(key))
		}
	}
	result, err := n.Store.Txn(ctx, []store.Compare{{Key: leaderKey, ModRevision: revision}}, ops)
	n.recordStoreResult(err)
	if err != nil || !result.Succeeded || store.EraOf(result.Revision) != era {
		// After a call without a response the key may have been written.
		// Revoking the lease deletes it; without that the lease expires unused.
		if err := n.Store.RevokeLease(ctx, lease); err != nil {
			n.Log.Debug("control: failed to revoke unused lease", zap.Error(err))
		}
		return
	}
	l := &leadership{node: n, term: result.Revision, lease: lease, startedAt: startedAt, leaseConfirmedAt: startedAt, ended: make(chan struct{}), formerHostCount: n.view.Load().HostCount,
		formerLeaders: former, formerStoppedAt: startedAt, hosts: make(map[string]peerHost), loads: make(map[string]*loadMeter),
		speeds: newSpeedMeter(), crashes: newCrashTable(n.view.Load().BlockedFingerprints, startedAt), managers: make(map[string]*assignmentManager), addresses: make(map[string]string), wakeups: make(chan struct{}, 1)}
	n.mu.Lock()
	n.leader = leaderRecord{Host: n.Host, Address: n.Address, Term: l.term}
	n.highestTerm = max(n.highestTerm, l.term)
	n.leadership = l
	l.recovery = &recovery{leadership: l, ledTerm: n.ledTerm, followedTerm: n.followed.Term}
	n.ledTerm, n.followed = l.term, n.leader
	n.mu.Unlock()
	n.view.setTerm(l.term)
	n.Log.Info("control: leading", zap.Int64("term", l.term), zap.Int("former_leaders", len(former)))
}

// maxFormerLeaders is far above the leaders that may renew grants at a time.
const maxFormerLeaders = 1000

// decodeFormerLeaders decodes the list of former leaders. If it can't be decoded, any
// host may be one: the list then holds a leader that can't be asked.
func decodeFormerLeaders(value []byte) ([]leaderRecord, error) {
	if len(value) == 0 {
		return nil, nil
	}
	var former []leaderRecord
	err := json.Unmarshal(value, &former)
	if err == nil && len(former) <= maxFormerLeaders && !slices.ContainsFunc(former, func(f leaderRecord) bool { return !f.isValid() && f.Host != unknownLeader }) {
		return former, nil
	}
	if err == nil {
		err = errors.New("it has too many records or one that names no host")
	}
	return []leaderRecord{{Host: unknownLeader}}, err
}

// confirmKey steps down if the leader's key is no longer the one that this host has
// written: it could commit nothing any more. It returns false if the key is not
// confirmed.
func (l *leadership) confirmKey(ctx context.Context) bool {
	kv, found, _, err := l.node.Store.Get(ctx, leaderKey)
	l.node.recordStoreResult(err)
	if err == nil && (!found || kv.ModRevision != l.term) {
		l.stepDown("the leader's key was overwritten or has expired")
		return false
	}
	return err == nil
}

// revokeLease ends the lease, so that the next leader need not wait for its
// expiry.
func (l *leadership) revokeLease() {
	ctx, cancel := context.WithTimeout(context.Background(), LeaseTTL/4)
	defer cancel()
	if err := l.node.Store.RevokeLease(ctx, l.lease); err != nil {
		l.node.Log.Debug("control: failed to revoke lease", zap.Error(err))
	}
}

// queryFormerLeaders asks former leaders whether they have stopped. A host that
// responds that it does not lead has stopped for good: the query told it of the
// newer term. After formerLeaderWait all former leaders count as stopped.
func (l *leadership) queryFormerLeaders(ctx context.Context) {
	l.mu.Lock()
	former := slices.Clone(l.formerLeaders)
	l.mu.Unlock()
	if len(former) == 0 {
		return
	}
	if l.node.Clock().Sub(l.startedAt) > l.node.timing.formerLeaderWait {
		l.removeFormerLeaders(ctx, former)
		return
	}
	for _, f := range former {
		if f.Address == "" {
			continue // unknownLeader
		}
		callCtx, cancel := context.WithTimeout(ctx, formerQueryInterval)
		client := l.node.fleetClient(f.Address)
		response, err := client.Sync(callCtx, connect.NewRequest(&fleetpb.SyncRequest{Known: &fleetpb.Known{Term: l.term}}))
		cancel()
		if err == nil && !response.Msg.Leader {
			l.removeFormerLeaders(ctx, []leaderRecord{f})
		}
	}
}

// removeFormerLeaders removes stopped leaders here and in the store. They may
// have renewed grants until now.
func (l *leadership) removeFormerLeaders(ctx context.Context, stoppedLeaders []leaderRecord) {
	l.mu.Lock()
	l.formerStoppedAt = l.node.Clock()
	l.formerLeaders = slices.DeleteFunc(l.formerLeaders, func(f leaderRecord) bool { return slices.Contains(stoppedLeaders, f) })
	remaining := append(slices.Clone(l.formerLeaders), leaderRecord{Host: l.node.Host, Address: l.node.Address})
	l.mu.Unlock()
	l.node.Log.Info("control: former leaders have stopped", zap.Int("stopped", len(stoppedLeaders)), zap.Int("left", len(remaining)-1))
	value, err := json.Marshal(remaining)
	if err != nil {
		return // strings can always be encoded
	}
	// If this write is lost, the next leader only queries or waits longer.
	if _, err := l.node.Store.Txn(ctx, l.conditions(), []store.Op{store.Put(formerLeadersKey, value)}); err != nil {
		l.node.Log.Debug("control: failed to write list of former leaders", zap.Error(err))
	}
}
