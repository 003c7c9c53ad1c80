package leadership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cassiasill/cassiasill/internal/store"
)

// RecordKey is the store key of the witness record.
const RecordKey = "leadership/witnesses"

// records reads and writes the witness record in the store.
type records struct{ store store.Store }

// load returns the record and its revision; the revision is zero if there is
// none.
func (r records) load(ctx context.Context) (Record, int64, error) {
	kv, found, _, err := r.store.Get(ctx, RecordKey)
	if err != nil || !found {
		return Record{}, 0, err
	}
	var record Record
	if err := json.Unmarshal(kv.Value, &record); err != nil {
		return Record{}, 0, fmt.Errorf("witness record: %w", err)
	}
	return record, kv.ModRevision, nil
}

// write replaces the record that has revision. It reports whether the write is
// known to have been applied; a lost answer is resolved by reading the id.
func (r records) write(ctx context.Context, record Record, revision int64) (bool, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return false, err
	}
	result, err := r.store.Txn(ctx, []store.Compare{{Key: RecordKey, ModRevision: revision}}, []store.Op{store.Put(RecordKey, value)})
	if err == nil {
		return result.Succeeded, nil
	}
	var failure *store.Error
	if !errors.As(err, &failure) || failure.Kind != store.KindAmbiguous {
		return false, err
	}
	now, _, err := r.load(ctx)
	return err == nil && now.ID == record.ID, err
}
