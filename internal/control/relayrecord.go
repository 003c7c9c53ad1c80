package control

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/store"
)

// minRelaysWriteInterval is the minimum time between two writes of the
// relays to the store.
const minRelaysWriteInterval = 3 * time.Second

// Bounds of a relayRecord, far above what a leader writes.
const (
	maxHostCount    = 100_000
	maxStoredRelays = 64
)

// relayRecord is the value of the relays' key.
type relayRecord struct {
	// HostCount is the number of hosts. After a restart, each host uses it to
	// determine its share of the servers until a leader reports the number.
	HostCount int      `json:"hosts"`
	Relays    []string `json:"relays"`
}

// storeRelays writes the relays to the store, where hosts look for them after a
// restart of all hosts. The list changes rarely, and an outdated one does no
// harm.
func (l *leadership) storeRelays(ctx context.Context, now boottime.Instant) {
	relays := l.relayAddresses()
	if now.Sub(max(l.relaysStoredAt, l.startedAt)) < minRelaysWriteInterval || slices.Equal(relays, l.storedRelays) {
		return
	}
	l.relaysStoredAt = now
	value, err := json.Marshal(relayRecord{HostCount: l.node.view.Load().HostCount, Relays: relays})
	if err != nil {
		return // strings can always be encoded
	}
	result, err := l.node.Store.Txn(ctx, l.conditions(), []store.Op{store.Put(relaysKey, value)})
	l.node.recordStoreResult(err)
	if err != nil || !result.Succeeded {
		l.node.Log.Info("control: relays not written", zap.Int64("term", l.term), zap.Error(err))
		return
	}
	l.storedRelays = relays
}
