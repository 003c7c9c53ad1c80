package configsync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/store"
)

// Outcome returns whether the change with the ID was accepted. An ID that is not
// stored yet is closed first, so that the result is final.
func (w *Writer) Outcome(ctx context.Context, id string) (Accepted, error) {
	if err := checkID(id); err != nil {
		return Accepted{}, err
	}
	for range 3 {
		a, found, err := w.readChange(ctx, id)
		if err != nil {
			return Accepted{}, unavailableError(err)
		}
		if found {
			return a, nil
		}
		closed := Accepted{ID: id, Time: time.Now().UTC(), Refused: true}
		result, err := w.txn(ctx, []store.Compare{{Key: changeKey(id)}}, []store.Op{store.Put(changeKey(id), mustMarshal(closed))})
		if err == nil && result.Succeeded {
			return closed, nil
		}
	}
	return Accepted{}, apierror.New(apierror.KindStoreUnavailable, "the store does not tell the outcome of change %s yet", id)
}

func (w *Writer) readChange(ctx context.Context, id string) (Accepted, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kv, found, _, err := w.store.Get(ctx, changeKey(id))
	if err != nil || !found {
		return Accepted{}, false, err
	}
	var a Accepted
	if err := json.Unmarshal(kv.Value, &a); err != nil {
		return Accepted{}, false, fmt.Errorf("store key %s: %w", kv.Key, err)
	}
	return a, true, nil
}

// loadState returns the current state. It reads all documents only if the head is
// not the one that is cached.
func (w *Writer) loadState(ctx context.Context) (State, error) {
	getCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kv, found, _, err := w.store.Get(getCtx, headKey)
	if err != nil {
		return State{}, err
	}
	if found && kv.ModRevision == w.cached.headMod {
		return w.cached, nil
	}
	state, _, err := readState(ctx, w.store)
	if err == nil {
		w.cached = state
	}
	return state, err
}

// readState reads all documents and the store's revision.
func readState(ctx context.Context, s store.Store) (State, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kvs, revision, err := s.Range(ctx, currentPrefix)
	if err != nil {
		return State{}, 0, err
	}
	state, err := decodeState(kvs)
	return state, revision, err
}

func (w *Writer) txn(ctx context.Context, compares []store.Compare, ops []store.Op) (store.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return w.store.Txn(ctx, compares, ops)
}

// provesNoEffect reports whether err proves that a write had no effect.
func provesNoEffect(err error) bool {
	var e *store.Error
	return errors.As(err, &e) && (e.Kind == store.KindUnavailable || e.Kind == store.KindTooLarge)
}

func unavailableError(err error) error {
	var known *apierror.Error
	if errors.As(err, &known) {
		return err
	}
	return apierror.Wrap(apierror.KindStoreUnavailable, err, "nothing was changed, because the declarations cannot be read or written: %v", err)
}
