package configsync

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/store"
)

// Limits of the history. The number of changes exceeds those of one day; the
// limit of bytes bounds the time to read the history.
const (
	maxHistoryChanges = 2000
	maxHistoryBytes   = 8 << 20
	// trimIntervalRevisions is the number of revisions between two trims.
	trimIntervalRevisions = 64
)

// History returns the accepted changes in the store, oldest first.
func (w *Writer) History(ctx context.Context) ([]Accepted, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kvs, _, err := w.store.Range(ctx, changesPrefix)
	if err != nil {
		return nil, unavailableError(err)
	}
	out := make([]Accepted, 0, len(kvs))
	for _, kv := range kvs {
		var a Accepted
		if err := json.Unmarshal(kv.Value, &a); err != nil {
			return nil, fmt.Errorf("store key %s: %w", kv.Key, err)
		}
		if !a.Refused {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b Accepted) int { return cmp.Compare(a.Revision, b.Revision) })
	return out, nil
}

// trimHistory deletes the oldest changes beyond the limits, every
// trimIntervalRevisions revisions. After a failure the next trim deletes them.
func (w *Writer) trimHistory(ctx context.Context, before, after uint64) {
	if before/trimIntervalRevisions == after/trimIntervalRevisions {
		return
	}
	rangeCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kvs, _, err := w.store.Range(rangeCtx, changesPrefix)
	if err != nil {
		w.log.Warn("configsync: cannot trim the history", zap.Error(err))
		return
	}
	slices.SortFunc(kvs, func(a, b store.KeyValue) int { return cmp.Compare(b.ModRevision, a.ModRevision) })
	var ops []store.Op
	bytes := 0
	for i, kv := range kvs {
		bytes += len(kv.Value)
		// The newest changes stay whatever their size, so that their outcome
		// can be read.
		if i >= maxHistoryChanges || bytes > maxHistoryBytes && i >= trimIntervalRevisions {
			ops = append(ops, store.Delete(kv.Key))
		}
	}
	if len(ops) == 0 {
		return
	}
	slices.Reverse(ops) // oldest first
	if _, err := w.txn(ctx, nil, ops[:min(len(ops), maxOps)]); err != nil {
		w.log.Warn("configsync: cannot trim the history", zap.Error(err))
	}
}
