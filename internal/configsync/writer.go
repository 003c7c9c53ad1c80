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
	// callTimeout bounds one store call; the store answers in milliseconds.
	callTimeout = time.Second
	// maxAttempts bounds the transactions of one batch when other hosts write
	// at the same time.
	maxAttempts = 8
	// maxBatch bounds how many waiting changes share one transaction.
	maxBatch = 16
	// queueLength bounds the changes that wait on one host.
	queueLength = 256
	// resolvePause is how often a change with a lost answer is looked up.
	resolvePause = 100 * time.Millisecond
)

// Result tells what became of an accepted change.
type Result struct {
	ID string `json:"id"`
	// Revision contains the change; if Edits is empty nothing had to change.
	Revision uint64                `json:"revision"`
	Edits    []AcceptedEdit        `json:"edits"`
	Warnings []declaration.Finding `json:"warnings,omitempty"`
}

// Writer applies operators' changes. Changes that arrive while another is
// being written are written together.
type Writer struct {
	store     store.Store
	inventory declaration.Inventory
	log       *zap.Logger
	// onAccepted is called with the state after each accepted batch.
	onAccepted func(State)
	queue      chan *request
	// unresolved is true while a lost answer is being looked up; new changes
	// are then refused at once.
	unresolved atomic.Bool
	// cached is the state at its headMod; only the worker uses it.
	cached State
}

const (
	requestWaiting int32 = iota
	requestTaken
	requestCanceled
)

type request struct {
	change Change
	status atomic.Int32
	answer chan outcome
}

type outcome struct {
	result Result
	err    error
}

func (r *request) finish(result Result, err error) { r.answer <- outcome{result, err} }

// NewWriter returns a writer; Run must be running for Apply to be answered.
func NewWriter(s store.Store, inventory declaration.Inventory, onAccepted func(State), log *zap.Logger) *Writer {
	return &Writer{
		store: s, inventory: inventory, onAccepted: onAccepted, log: log.Named("configsync"),
		queue: make(chan *request, queueLength), cached: State{headMod: -1},
	}
}

// Apply merges the change into the current documents and writes it. An error
// whose answer says `executed: no` means that the change was not and will not
// be accepted. If ctx ends while the store owes an answer the error is of kind
// store-outcome-unknown; Outcome then tells the result.
func (w *Writer) Apply(ctx context.Context, change Change) (Result, error) {
	if err := change.Check(); err != nil {
		return Result{}, err
	}
	if w.unresolved.Load() {
		return Result{}, apierror.New(apierror.KindStoreUnavailable, "the store does not answer; nothing was changed")
	}
	r := &request{change: change, answer: make(chan outcome, 1)}
	select {
	case w.queue <- r:
	default:
		return Result{}, apierror.New(apierror.KindOverloaded, "%d changes are waiting on this host; nothing was changed", queueLength)
	}
	select {
	case o := <-r.answer:
		return o.result, o.err
	case <-ctx.Done():
	}
	if r.status.CompareAndSwap(requestWaiting, requestCanceled) {
		return Result{}, apierror.New(apierror.KindOverloaded, "the change waited until its deadline; nothing was changed")
	}
	return Result{}, apierror.New(apierror.KindStoreOutcomeUnknown, "the store has not confirmed change %s; ask for its outcome by this id", change.ID)
}

// Run writes changes until ctx ends.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			w.refuseWaiting(apierror.New(apierror.KindShuttingDown, "this host is shutting down; nothing was changed"))
			return nil
		case first := <-w.queue:
			if batch := w.collect(first); len(batch) > 0 {
				w.write(ctx, batch)
			}
		}
	}
}

// collect takes the requests that are waiting and fit in one transaction.
func (w *Writer) collect(first *request) []*request {
	var batch []*request
	ops, bytes := 1, 0
	for r := first; r != nil; {
		if r.status.CompareAndSwap(requestWaiting, requestTaken) {
			batch = append(batch, r)
			ops += len(r.change.Edits) + 1
			bytes += len(encode(r.change))
		}
		r = nil
		// One more is taken only while even the largest change would still fit.
		if len(batch) < maxBatch && ops < maxOps-MaxDocuments && bytes < MaxChangeBytes/4 {
			select {
			case r = <-w.queue:
			default:
			}
		}
	}
	return batch
}

func (w *Writer) refuseWaiting(err error) {
	for {
		select {
		case r := <-w.queue:
			if r.status.CompareAndSwap(requestWaiting, requestTaken) {
				r.finish(Result{}, err)
			}
		default:
			return
		}
	}
}

// write brings a batch to a definite outcome.
func (w *Writer) write(ctx context.Context, batch []*request) {
	for attempt := range maxAttempts {
		if attempt > 0 {
			// The pause differs from host to host because the ids do.
			_ = pause.For(ctx, time.Duration(attempt)*time.Duration(5+len(batch)+int(batch[0].change.ID[len(batch[0].change.ID)-1])%16)*time.Millisecond)
		}
		before, err := w.load(ctx)
		if err != nil {
			finishAll(batch, unavailable(err))
			return
		}
		var plans []planned
		batch, plans = w.planBatch(ctx, &before, batch)
		if len(batch) == 0 {
			return
		}
		compares := []store.Compare{{Key: headKey, ModRevision: before.headMod}}
		for _, r := range batch {
			compares = append(compares, store.Compare{Key: changeKey(r.change.ID)})
		}
		result, err := w.txn(ctx, compares, operations(before, plans))
		switch {
		case isUnavailable(err):
			finishAll(batch, unavailable(err))
			return
		case err != nil:
			w.log.Warn("configsync: answer of a write lost, looking it up", zap.String("change", batch[0].change.ID), zap.Error(err))
			w.resolve(ctx, batch, plans)
			return
		case result.Succeeded:
			w.accept(batch, plans, result.Revision)
			w.trim(ctx, before.Revision, plans[len(plans)-1].state.Revision)
			return
		default:
			if batch = w.dropClosed(ctx, batch, before.headMod); len(batch) == 0 {
				return
			}
		}
	}
	finishAll(batch, apierror.New(apierror.KindConflict, "other changes came first %d times in a row; nothing was changed, apply again", maxAttempts))
}

// planBatch merges the changes of a batch one after the other and answers
// those that are refused or change nothing. With 10⁴ documents a validation
// takes about 0.2 s, so the batch is validated as a whole; only if that
// fails is each change validated by itself.
func (w *Writer) planBatch(ctx context.Context, before *State, batch []*request) ([]*request, []planned) {
	history := &lazyHistory{writer: w}
	left, plans := w.planEach(ctx, *before, batch, history, func(state State, c Change, known []Accepted) (planned, error) {
		return merge(state, c, known, time.Now())
	})
	if len(plans) == 0 {
		return nil, nil
	}
	if err := validate(before, plans, w.inventory); err == nil {
		return left, plans
	}
	return w.planEach(ctx, *before, left, history, func(state State, c Change, known []Accepted) (planned, error) {
		return plan(state, c, known, w.inventory, time.Now())
	})
}

// planEach applies decide to one change after the other.
func (w *Writer) planEach(ctx context.Context, state State, batch []*request, history *lazyHistory,
	decide func(State, Change, []Accepted) (planned, error)) ([]*request, []planned) {
	var left []*request
	var plans []planned
	for _, r := range batch {
		known, err := history.forChange(ctx, r.change, state, plans)
		var p planned
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

func (h *lazyHistory) forChange(ctx context.Context, c Change, state State, plans []planned) ([]Accepted, error) {
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

// resolve looks up a batch whose answer was lost until the store answers. A
// batch that was not applied is closed, so that a write that is still on its
// way can never be applied after the operator was told otherwise.
func (w *Writer) resolve(ctx context.Context, batch []*request, plans []planned) {
	w.unresolved.Store(true)
	defer w.unresolved.Store(false)
	for {
		outcome, err := w.Outcome(ctx, batch[0].change.ID)
		switch {
		case err == nil && !outcome.Refused:
			// All changes of the batch were in one transaction.
			w.accept(batch, plans, 0)
			return
		case err == nil:
			// Closing the first id stops the whole transaction for good.
			finishAll(batch, apierror.New(apierror.KindStoreUnavailable, "the store lost the write; nothing was changed, apply again"))
			return
		case ctx.Err() != nil:
			finishAll(batch, apierror.New(apierror.KindStoreOutcomeUnknown, "this host shuts down before the store confirmed the change; ask another host for its outcome by the id"))
			return
		}
		w.refuseWaiting(apierror.New(apierror.KindStoreUnavailable, "the store does not answer; nothing was changed"))
		_ = pause.For(ctx, resolvePause)
	}
}

// dropClosed answers requests whose id was closed or is already applied. It is
// only needed if the transaction did not fail because of the head.
func (w *Writer) dropClosed(ctx context.Context, batch []*request, headMod int64) []*request {
	if s, err := w.load(ctx); err == nil && s.headMod != headMod {
		return batch
	}
	var left []*request
	for _, r := range batch {
		a, found, err := w.change(ctx, r.change.ID)
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

func (w *Writer) accept(batch []*request, plans []planned, headMod int64) {
	state := plans[len(plans)-1].state
	state.headMod = headMod
	w.cached = State{headMod: -1}
	if headMod > 0 {
		w.cached = state
	}
	for i, r := range batch {
		a := plans[i].accepted
		w.log.Info("configsync: change accepted", zap.String("change", a.ID), zap.String("author", a.Author),
			zap.Uint64("revision", a.Revision), zap.Uint64("from", a.From), zap.Int("documents", len(a.Edits)))
		r.finish(Result{ID: a.ID, Revision: a.Revision, Edits: a.Edits, Warnings: plans[i].warnings}, nil)
	}
	if w.onAccepted != nil {
		w.onAccepted(state)
	}
}

func finishAll(batch []*request, err error) {
	for _, r := range batch {
		r.finish(Result{}, err)
	}
}
