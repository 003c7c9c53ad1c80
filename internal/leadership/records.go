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

// recordStore reads and writes the witness record in the configuration store.
type recordStore struct{ store store.Store }

// load returns the record and its revision in the store. The revision is zero if
// there is no record.
func (r recordStore) load(ctx context.Context) (Record, int64, error) {
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

// write replaces the record if it still has the given revision. It reports
// whether the write is known to have been applied. If the outcome is ambiguous,
// it reads the record back and compares the ID.
func (r recordStore) write(ctx context.Context, record Record, revision int64) (bool, error) {
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
	current, _, err := r.load(ctx)
	return err == nil && current.ID == record.ID, err
}
