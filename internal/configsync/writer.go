package configsync

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/declaration"
	"github.com/cassiasill/cassiasill/internal/pause"
	"github.com/cassiasill/cassiasill/internal/store"
)

const (
	// callTimeout bounds one store call; the store usually responds in milliseconds.
	callTimeout = time.Second
	// maxAttempts bounds the transactions of one batch when other hosts write
	// at the same time.
	maxAttempts = 8
	// maxBatchChanges bounds how many queued changes share one transaction.
	maxBatchChanges = 16
	// maxQueuedChanges bounds the changes queued on one host.
	maxQueuedChanges = 256
	// resolveInterval is the interval of lookups for a write whose response was
	// lost.
	resolveInterval = 100 * time.Millisecond
)

// Result describes an accepted change.
type Result struct {
	ID string `json:"id"`
	// Revision is the first revision that contains the change. If Edits is
	// empty, the change had no effect and Revision is the current one.
	Revision uint64                `json:"revision"`
	Edits    []AcceptedEdit        `json:"edits"`
	Warnings []declaration.Finding `json:"warnings,omitempty"`
}

// Writer applies operators' changes. Changes that arrive during a write are
// batched into the next transaction.
type Writer struct {
	store     store.Store
	inventory declaration.Inventory
	log       *zap.Logger
	// onAccepted is called with the state after each accepted batch, before
	// the requests of the batch are finished.
	onAccepted func(State)
	queue      chan *request
	// unresolved is true while the outcome of a write whose response was lost
	// is being looked up. New changes are then rejected at once.
	unresolved atomic.Bool
	// cached is the state at its headMod. Only the goroutine of Run uses it.
	cached State
}

const (
	requestQueued int32 = iota
	requestStarted
	requestCanceled
)

type request struct {
	change   Change
	status   atomic.Int32
	response chan outcome
}

type outcome struct {
	result Result
	err    error
}

func (r *request) finish(result Result, err error) { r.response <- outcome{result, err} }

// NewWriter returns a writer. Apply returns a result only while Run runs.
func NewWriter(s store.Store, inventory declaration.Inventory, onAccepted func(State), log *zap.Logger) *Writer {
	return &Writer{
		store: s, inventory: inventory, onAccepted: onAccepted, log: log.Named("configsync"),
		queue: make(chan *request, maxQueuedChanges), cached: State{headMod: -1},
	}
}

// Apply merges the change into the current documents and writes it. An error
// whose response says `executed: no` means that the change was not and will not
// be accepted. If ctx ends before the store responds, the error is of kind
// store-outcome-unknown; Outcome then returns the result.
func (w *Writer) Apply(ctx context.Context, change Change) (Result, error) {
	if err := change.Check(); err != nil {
		return Result{}, err
	}
	if w.unresolved.Load() {
		return Result{}, apierror.New(apierror.KindStoreUnavailable, "the store does not answer; nothing was changed")
	}
	r := &request{change: change, response: make(chan outcome, 1)}
	select {
	case w.queue <- r:
	default:
		return Result{}, apierror.New(apierror.KindOverloaded, "%d changes are waiting on this host; nothing was changed", maxQueuedChanges)
	}
	select {
	case o := <-r.response:
		return o.result, o.err
	case <-ctx.Done():
	}
	if r.status.CompareAndSwap(requestQueued, requestCanceled) {
		return Result{}, apierror.New(apierror.KindOverloaded, "the change waited until its deadline; nothing was changed")
	}
	return Result{}, apierror.New(apierror.KindStoreOutcomeUnknown, "the store has not confirmed change %s; ask for its outcome by this id", change.ID)
}

// Run writes changes until ctx ends.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			w.rejectQueued(apierror.New(apierror.KindShuttingDown, "this host is shutting down; nothing was changed"))
			return nil
		case first := <-w.queue:
			if batch := w.collectBatch(first); len(batch) > 0 {
				w.commitBatch(ctx, batch)
			}
		}
	}
}

// collectBatch dequeues the requests that fit in one transaction.
func (w *Writer) collectBatch(first *request) []*request {
	var batch []*request
	ops, bytes := 1, 0
	for r := first; r != nil; {
		if r.status.CompareAndSwap(requestQueued, requestStarted) {
			batch = append(batch, r)
			ops += len(r.change.Edits) + 1
			bytes += len(mustMarshal(r.change))
		}
		r = nil
		// Another request is dequeued only if the largest allowed change would
		// still fit.
		if len(batch) < maxBatchChanges && ops < maxOps-MaxDocuments && bytes < MaxChangeBytes/4 {
			select {
			case r = <-w.queue:
			default:
			}
		}
	}
	return batch
}

func (w *Writer) rejectQueued(err error) {
	for {
		select {
		case r := <-w.queue:
			if r.status.CompareAndSwap(requestQueued, requestStarted) {
				r.finish(Result{}, err)
			}
		default:
			return
		}
	}
}

// commitBatch writes a batch and finishes all of its requests. After a concurrent
// change of the head it tries again, with at most maxAttempts transactions in all.
func (w *Writer) commitBatch(ctx context.Context, batch []*request) {
	for attempt := range maxAttempts {
		if attempt > 0 {
			// The delay depends on the change's ID, so that hosts rarely retry at the
			// same time.
			_ = pause.For(ctx, time.Duration(attempt)*time.Duration(5+len(batch)+int(batch[0].change.ID[len(batch[0].change.ID)-1])%16)*time.Millisecond)
		}
		before, err := w.loadState(ctx)
		if err != nil {
			finishAll(batch, unavailableError(err))
			return
		}
		var plans []plannedChange
		batch, plans = w.planBatch(ctx, &before, batch)
		if len(batch) == 0 {
			return
		}
		compares := []store.Compare{{Key: headKey, ModRevision: before.headMod}}
		for _, r := range batch {
			compares = append(compares, store.Compare{Key: changeKey(r.change.ID)})
		}
		result, err := w.txn(ctx, compares, buildOps(before, plans))
		switch {
		case provesNoEffect(err):
			finishAll(batch, unavailableError(err))
			return
		case err != nil:
			w.log.Warn("configsync: store response to a write was lost; looking up the outcome", zap.String("change", batch[0].change.ID), zap.Error(err))
			w.resolveOutcome(ctx, batch, plans)
			return
		case result.Succeeded:
			w.finishAccepted(batch, plans, result.Revision)
			w.trimHistory(ctx, before.Revision, plans[len(plans)-1].state.Revision)
			return
		default:
			if batch = w.finishDecided(ctx, batch, before.headMod); len(batch) == 0 {
				return
			}
		}
	}
	finishAll(batch, apierror.New(apierror.KindConflict, "other changes came first %d times in a row; nothing was changed, apply again", maxAttempts))
}

// planBatch merges the changes of a batch one after the other. It finishes the
// requests whose change is refused or has no effect. With 10⁴ documents a
// validation takes about 0.2 s, so the whole batch is validated once; only if that
// fails is each change validated separately.
func (w *Writer) planBatch(ctx context.Context, before *State, batch []*request) ([]*request, []plannedChange) {
	history := &lazyHistory{writer: w}
	left, plans := w.planEach(ctx, *before, batch, history, func(state State, c Change, known []Accepted) (plannedChange, error) {
		return mergeChange(state, c, known, time.Now())
	})
	if len(plans) == 0 {
		return nil, nil
	}
	if err := validatePlans(before, plans, w.inventory); err == nil {
		return left, plans
	}
	return w.planEach(ctx, *before, left, history, func(state State, c Change, known []Accepted) (plannedChange, error) {
		return planChange(state, c, known, w.inventory, time.Now())
	})
}

// planEach calls decide for one change after the other, each with the state that
// the previous one produced.
func (w *Writer) planEach(ctx context.Context, state State, batch []*request, history *lazyHistory,
	decide func(State, Change, []Accepted) (plannedChange, error)) ([]*request, []plannedChange) {
	var left []*request
	var plans []plannedChange
	for _, r := range batch {
		known, err := history.forChange(ctx, r.change, state, plans)
		var p plannedChange
		if err == nil {
			p, err = decide(state, r.change, known)
		}
		switch {
		case err != nil:
			w.log.Info("configsync: change refused", zap.String("change", r.change.ID), zap.String("author", r.change.Author), zap.Error(err))
			r.finish(Result{}, err)
		case len(p.accepted.Edits) == 0:
			r.finish(Result{ID: r.change.ID, Revision: state.Revision, Edits: []AcceptedEdit{}}, nil)
		default:
			state = p.state
			left, plans = append(left, r), append(plans, p)
		}
	}
	return left, plans
}

// lazyHistory reads the history at most once, and only for a change that
// needs it.
type lazyHistory struct {
	writer *Writer
	stored []Accepted
	read   bool
}

func (h *lazyHistory) forChange(ctx context.Context, c Change, state State, plans []plannedChange) ([]Accepted, error) {
	if !c.needsHistory(state) {
		return nil, nil
	}
	if !h.read {
		stored, err := h.writer.History(ctx)
		if err != nil {
			return nil, err
		}
		h.stored, h.read = stored, true
	}
	known := slices.Clone(h.stored)
	for _, p := range plans {
		known = append(known, p.accepted)
	}
	return known, nil
}

// resolveOutcome looks up the outcome of a batch whose response was lost, until the
// store responds. A batch that was not applied is closed, so that a delayed write
// cannot be applied after the operator was told that it failed.
func (w *Writer) resolveOutcome(ctx context.Context, batch []*request, plans []plannedChange) {
	w.unresolved.Store(true)
	defer w.unresolved.Store(false)
	for {
		outcome, err := w.Outcome(ctx, batch[0].change.ID)
		switch {
		case err == nil && !outcome.Refused:
			// All changes of the batch were in one transaction.
			w.finishAccepted(batch, plans, 0)
			return
		case err == nil:
			// The transaction requires that the first ID is not stored, so
			// closing this ID prevents the whole batch.
			finishAll(batch, apierror.New(apierror.KindStoreUnavailable, "the store lost the write; nothing was changed, apply again"))
			return
		case ctx.Err() != nil:
			finishAll(batch, apierror.New(apierror.KindStoreOutcomeUnknown, "this host shuts down before the store confirmed the change; ask another host for its outcome by the id"))
			return
		}
		w.rejectQueued(apierror.New(apierror.KindStoreUnavailable, "the store does not answer; nothing was changed"))
		_ = pause.For(ctx, resolveInterval)
	}
}

// finishDecided finishes the requests whose ID is closed or already applied, and
// returns the others. It checks the IDs only if the head is unchanged, since
// otherwise the head was the reason for the failed transaction.
func (w *Writer) finishDecided(ctx context.Context, batch []*request, headMod int64) []*request {
	if s, err := w.loadState(ctx); err == nil && s.headMod != headMod {
		return batch
	}
	var left []*request
	for _, r := range batch {
		a, found, err := w.readChange(ctx, r.change.ID)
		switch {
		case err != nil || !found:
			left = append(left, r)
		case a.Refused:
			r.finish(Result{}, apierror.New(apierror.KindConflict, "change %s was closed before it was applied; nothing was changed, apply again", a.ID))
		default:
			r.finish(Result{ID: a.ID, Revision: a.Revision, Edits: a.Edits}, nil)
		}
	}
	return left
}

// finishAccepted puts the accepted changes into force on this host and then
// finishes their requests, so that an operator reads what was just accepted.
func (w *Writer) finishAccepted(batch []*request, plans []plannedChange, headMod int64) {
	state := plans[len(plans)-1].state
	state.headMod = headMod
	w.cached = State{headMod: -1}
	if headMod > 0 {
		w.cached = state
	}
	if w.onAccepted != nil {
		w.onAccepted(state)
	}
	for i, r := range batch {
		a := plans[i].accepted
		w.log.Info("configsync: change accepted", zap.String("change", a.ID), zap.String("author", a.Author),
			zap.Uint64("revision", a.Revision), zap.Uint64("from", a.From), zap.Int("documents", len(a.Edits)))
		r.finish(Result{ID: a.ID, Revision: a.Revision, Edits: a.Edits, Warnings: plans[i].warnings}, nil)
	}
}

func finishAll(batch []*request, err error) {
	for _, r := range batch {
		r.finish(Result{}, err)
	}
}
