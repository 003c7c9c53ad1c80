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

// Bounds of the history. The limit of changes is more than a day's changes; the
// limit of bytes keeps reading the history short.
const (
	historyLimit = 2000
	historyBytes = 8 << 20
	// trimInterval is how many revisions lie between two looks at the size.
	trimInterval = 64
)

// History returns the accepted changes that are kept, oldest first.
func (w *Writer) History(ctx context.Context) ([]Accepted, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kvs, _, err := w.store.Range(ctx, changesPrefix)
	if err != nil {
		return nil, unavailable(err)
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

// trim deletes the oldest changes beyond the limits, every trimInterval
// revisions. A failure is made up for at the next trim.
func (w *Writer) trim(ctx context.Context, before, after uint64) {
	if before/trimInterval == after/trimInterval {
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
		// The newest stay whatever their size, so that an outcome can be asked for.
		if i >= historyLimit || bytes > historyBytes && i >= trimInterval {
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
