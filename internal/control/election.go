package control

import (
	"context"
	"encoding/json"
	"slices"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb/fleetpbconnect"
	"github.com/cassiasill/cassiasill/internal/store"
)

// peerHost is what the leader knows of another host.
type peerHost struct {
	since, seen boottime.Instant // first and last sync
	storeAt     boottime.Instant // when it last reached the store
	address     string
	dispatch    string
	capacity    float64
}

// stand tries to become leader: it replaces the leader's key, which must be at
// the given revision, 0 if there is none. In the same transaction it notes
// itself among the leaders that may still be renewing, for the next leader.
func (n *Node) stand(ctx context.Context, revision int64, formerValue []byte) {
	var former []leaderRecord
	if len(formerValue) > 0 {
		if err := json.Unmarshal(formerValue, &former); err != nil {
			n.Log.Warn("control: list of former leaders can't be read", zap.Error(err))
		}
	}
	// A process on this host that led earlier has ended.
	former = slices.DeleteFunc(former, func(f leaderRecord) bool { return f.Host == n.Host || f.Address == n.Address })
	began := n.Clock()
	lease, err := n.Store.GrantLease(ctx, LeaseTTL)
	n.noteStore(err)
	if err != nil {
		return
	}
	self := leaderRecord{Host: n.Host, Address: n.Address}
	value, err := json.Marshal(self)
	if err != nil {
		return // strings always encode
	}
	list, err := json.Marshal(append(slices.Clone(former), self))
	if err != nil {
		return // as above
	}
	result, err := n.Store.Txn(ctx, []store.Compare{{Key: leaderKey, ModRevision: revision}},
		[]store.Op{{Key: leaderKey, Value: value, Lease: lease}, store.Put(formerKey, list)})
	n.noteStore(err)
	if err != nil || !result.Succeeded {
		// After an unanswered call the key may be ours; its lease ends unused.
		if err := n.Store.RevokeLease(ctx, lease); err != nil {
			n.Log.Debug("control: unused lease not ended", zap.Error(err))
		}
		return
	}
	l := &leadership{node: n, term: result.Revision, lease: lease, began: began, confirmed: began, lost: make(chan struct{}),
		former: former, formerEnd: began, hosts: make(map[string]peerHost), loads: make(map[string]*loadMeter),
		speeds: newSpeedMeter(), crashes: newCrashTable(), managers: make(map[string]*manager), addresses: make(map[string]string), woken: make(chan struct{}, 1)}
	n.mu.Lock()
	n.leader = leaderRecord{Host: n.Host, Address: n.Address, Term: l.term}
	n.term = max(n.term, l.term)
	n.leading = l
	n.mu.Unlock()
	n.view.setTerm(l.term)
	n.Log.Info("control: leading", zap.Int64("term", l.term), zap.Int("former_leaders", len(former)))
}

// resign ends the lease, so that the next leader need not wait for its end.
func (l *leadership) resign() {
	ctx, cancel := context.WithTimeout(context.Background(), LeaseTTL/4)
	defer cancel()
	if err := l.node.Store.RevokeLease(ctx, l.lease); err != nil {
		l.node.Log.Debug("control: lease not ended", zap.Error(err))
	}
}

// askFormer asks former leaders whether they have stopped. A host that answers
// that it does not lead has: it learned of the newer term by the question.
func (l *leadership) askFormer(ctx context.Context) {
	l.mu.Lock()
	former := slices.Clone(l.former)
	l.mu.Unlock()
	if len(former) == 0 {
		return
	}
	if l.node.Clock().Sub(l.began) > l.node.timing.formerWait {
		l.forget(ctx, former)
		return
	}
	for _, f := range former {
		callCtx, cancel := context.WithTimeout(ctx, formerInterval)
		client := fleetpbconnect.NewFleetServiceClient(l.node.Peers, "http://"+f.Address)
		response, err := client.Sync(callCtx, connect.NewRequest(&fleetpb.SyncRequest{Known: &fleetpb.Known{Term: l.term}}))
		cancel()
		if err == nil && !response.Msg.Leader {
			l.forget(ctx, []leaderRecord{f})
		}
	}
}

// forget removes leaders that have stopped, here and in the store. They may have
// renewed grants until now.
func (l *leadership) forget(ctx context.Context, stopped []leaderRecord) {
	l.mu.Lock()
	l.formerEnd = l.node.Clock()
	l.former = slices.DeleteFunc(l.former, func(f leaderRecord) bool { return slices.Contains(stopped, f) })
	left := append(slices.Clone(l.former), leaderRecord{Host: l.node.Host, Address: l.node.Address})
	l.mu.Unlock()
	l.node.Log.Info("control: former leaders have stopped", zap.Int("stopped", len(stopped)), zap.Int("left", len(left)-1))
	value, err := json.Marshal(left)
	if err != nil {
		return // strings always encode
	}
	// Losing this write only makes the next leader ask or wait longer.
	if _, err := l.node.Store.Txn(ctx, nil, []store.Op{store.Put(formerKey, value)}); err != nil {
		l.node.Log.Debug("control: list of former leaders not written", zap.Error(err))
	}
}
