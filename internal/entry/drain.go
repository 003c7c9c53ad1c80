package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/dispatch"
	"github.com/cassiasill/cassiasill/internal/placing"
)

const (
	// lateDrainPeriod is how long after the begin of a planned stop the load balancer
	// has removed the host. Requests then come on kept connections only, and their
	// callers reach another host at once.
	lateDrainPeriod = 3 * time.Second
	// drainMargin is reserved before the end of a stop to return responses on a busy host.
	drainMargin = 250 * time.Millisecond
	// drainWorkFactor multiplies the expected work of a request that is passed on during a
	// stop: it may take longer than expected, and to be rejected costs its caller less than
	// to be cut off.
	drainWorkFactor = 2
)

// errStopping reports that a request can't be run before the process ends.
var errStopping = errors.New("the host stops before the request can be run")

// drainPeriod is the time from the begin of a planned stop to the end of the process.
type drainPeriod struct{ since, end time.Time }

// startBy returns until when a request with the expected work may be passed on to a server.
func (d *drainPeriod) startBy(work time.Duration) time.Time {
	return d.end.Add(-drainMargin - drainWorkFactor*work)
}

// finishBy returns when the server's response must have come.
func (d *drainPeriod) finishBy() time.Time { return d.end.Add(-drainMargin) }

// Drain makes the last response on each connection to a request that has been started
// close it, and starts no requests before their turn. Requests that wait for a server are
// rejected when they can't be run any more before the end of the period; late in it, so are
// those that may not finish before.
func (h *Handler) Drain(since, end time.Time) {
	d := &drainPeriod{since, end}
	h.drain.Store(d)
	h.readAhead.stop()
	h.waits.drain(d)
}

// mayOutlastDrain reports whether the request came late during a planned stop and
// may take longer than the process lives.
func (h *Handler) mayOutlastDrain(q *request) bool {
	drain := h.drain.Load()
	return drain != nil && q.started.Sub(drain.since) >= lateDrainPeriod && q.deadline.After(drain.end)
}

// boundByDrain lets the dispatcher reject a request at once that it can't place before the
// end of a planned stop.
func (h *Handler) boundByDrain(q *request) {
	if drain := h.drain.Load(); drain != nil && q.deadline.After(drain.finishBy()) {
		q.placement.Deadline = min(q.placement.Deadline, h.Placer.At(drain.finishBy()))
		q.boundByDrain = true
	}
}

// acquire waits for a server for the request, during a planned stop for no longer than the
// request can still be run. It fails with errStopping then.
func (h *Handler) acquire(ctx context.Context, q *request) (dispatch.Decision, placing.AcquiredSlot, error) {
	if drain := h.drain.Load(); drain != nil && time.Now().After(drain.startBy(q.expectedWork)) {
		return dispatch.Decision{}, placing.AcquiredSlot{}, errStopping
	}
	waitCtx, cancel := context.WithCancelCause(ctx)
	w := &serverWait{work: q.expectedWork, cancel: cancel}
	h.waits.begin(w)
	decision, slot := h.Placer.Acquire(waitCtx, q.placement)
	h.waits.end(w)
	cause := context.Cause(waitCtx)
	cancel(nil)
	if cause != nil && decision.Server != "" {
		h.Placer.Release(slot, dispatch.Result{Outcome: dispatch.Abandoned})
	}
	if cause == nil && decision.Reason == dispatch.ReasonOverload && q.boundByDrain {
		cause = errStopping
	}
	return decision, slot, cause
}

// stoppingError returns the error of a request that the host can't run before it stops. Its
// caller reaches another host at once.
func stoppingError(q *request) *apierror.Error {
	return &apierror.Error{Kind: kindIfNotExecuted(q.attempts, apierror.KindShuttingDown), Detail: "the host stops before the request can be run",
		Err: errStopping, RetryAfter: 2 * responseMargin}
}

// serverWaits are the requests that wait for a server.
type serverWaits struct {
	mu      sync.Mutex
	period  *drainPeriod // nil unless the host is stopping
	pending map[*serverWait]struct{}
}

// serverWait is the wait of one request.
type serverWait struct {
	work   time.Duration
	cancel context.CancelCauseFunc
	timer  *time.Timer // nil unless the host is stopping
}

func (s *serverWaits) begin(w *serverWait) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending == nil {
		s.pending = make(map[*serverWait]struct{})
	}
	s.pending[w] = struct{}{}
	if s.period != nil {
		w.bound(s.period)
	}
}

func (s *serverWaits) end(w *serverWait) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, w)
	if w.timer != nil {
		w.timer.Stop()
	}
}

// drain bounds all waits, also those that begin later.
func (s *serverWaits) drain(period *drainPeriod) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.period = period
	for w := range s.pending {
		w.bound(period)
	}
}

// bound ends the wait when the request can't be run any more.
func (w *serverWait) bound(period *drainPeriod) {
	w.timer = time.AfterFunc(time.Until(period.startBy(w.work)), func() { w.cancel(errStopping) })
}
