package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/admission"
	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/idempotency"
	"github.com/cassiasill/cassiasill/internal/quarantine"
	"github.com/cassiasill/cassiasill/internal/retry"
	"github.com/cassiasill/cassiasill/internal/routing"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const (
	retryBaseDelay = 25 * time.Millisecond
	maxRetryDelay  = time.Second
	// renewalDelay is how long a request waits, after the first attempt, before
	// it retries the owner that rejected it as not the owner. A change of the
	// routes ends the wait at once, but a server whose lease was renewed late
	// causes no change.
	renewalDelay = 250 * time.Millisecond
	// maxImmediateRetries bounds the retries without delay after an idle
	// connection turned out to be closed; they put no load on the upstream.
	maxImmediateRetries = 2
)

// request is the state of one caller's request in the handler.
type request struct {
	handler *Handler
	w       http.ResponseWriter
	r       *http.Request
	id      string
	start   time.Time

	service  *service
	route    Route
	caller   topology.Caller
	position topology.Hash
	deadline time.Time
	ctx      context.Context
	cancel   context.CancelCauseFunc
	timer    *time.Timer
	body     requestBody

	requestFingerprint quarantine.Fingerprint
	quarantinePermit   quarantine.Permit
	storeResponse      bool                  // store a small response for replay
	storedResponse     *idempotency.Response // the stored response; set once it is complete

	attempts         int
	immediateRetries int
	excluded         []topology.ServerName
	ownerAvoidance   avoidance
	ownerWaitEnd     time.Time // when the wait for an owner ends; set when the wait begins
	possiblyExecuted bool      // an attempt may have been executed by an upstream
	responseStarted  bool      // part of a response was passed on
	status           int
}

// avoidance keeps a request away from the owner whose attempt just failed until
// the route changes or a delay ends.
type avoidance struct {
	owner      routing.Owner
	until      time.Time // zero: wait for another owner
	usesBudget bool      // the next attempt counts against the retry budget
	err        error
}

// run forwards the request within its deadline and passes the response on.
func (q *request) run() error {
	q.ctx, q.cancel = context.WithCancelCause(q.r.Context())
	defer q.cancel(errRequestEnded)
	q.timer = time.AfterFunc(time.Until(q.deadline), func() { q.cancel(errDeadline) })
	defer q.timer.Stop()
	q.service.retryBudget.CountRequest(q.start)
	if err := q.body.bufferStart(q); err != nil {
		return err
	}
	defer q.body.releaseBuffer(q)
	if err := q.checkQuarantine(); err != nil {
		return err
	}
	return q.runWithIdempotencyKey()
}

// forwardAndDeliver sends the request and passes the response on.
func (q *request) forwardAndDeliver() error {
	a, err := q.forward(nil)
	if err != nil {
		return err
	}
	return q.deliver(a)
}

// forward sends the request until an upstream responds or no retry is allowed.
// If p is not nil, it requests the missing range of an interrupted response.
func (q *request) forward(p *resumeRange) (*upstreamResponse, error) {
	for {
		ticket, owner, err := q.admit()
		if err != nil {
			return nil, err
		}
		q.attempts++
		start := time.Now()
		a, f := q.sendAttempt(ticket, owner, p)
		latency := time.Since(start)
		if f == nil {
			q.recordAttempt(ticket.Server(), owner, AttemptResponded, latency, nil)
			a.latency = latency
			return a, nil
		}
		ticket.Done(f.outcome(), latency)
		q.endFailedPermit(f, q.service.upstreams[ticket.Server()])
		q.recordAttempt(ticket.Server(), owner, f.result, latency, f.err)
		if !f.result.NotExecuted() {
			q.possiblyExecuted = true
		}
		if err := q.prepareRetry(f, ticket.Server(), owner, p); err != nil {
			return nil, err
		}
	}
}

func (q *request) recordAttempt(server topology.ServerName, owner routing.Owner, seen AttemptResult, latency time.Duration, err error) {
	q.handler.metrics.CountAttempt(q.service.Name, server, seen, latency)
	if entry := q.handler.log.Check(zap.InfoLevel, "proxy: request routed"); entry != nil {
		entry.Write(zap.String("request", q.id), zap.String("service", string(q.service.Name)),
			zap.String("server", string(server)), zap.Stringer("token", owner.Token),
			zap.Uint64("position", uint64(q.position)), zap.Int("attempt", q.attempts),
			zap.Stringer("seen", seen), zap.Duration("latency", latency), zap.NamedError("cause", err))
	}
}

// admit waits for an owner, if the service is divided by key, and for admission
// to an upstream. It looks the owner up again after admission, so that a request
// is never sent to a server that lost the key in the meantime.
func (q *request) admit() (admission.Ticket, routing.Owner, error) {
	admissionRequest := admission.Request{Service: q.service.Name, Caller: q.caller, Class: q.route.Class, Deadline: q.deadline}
	exclude := q.excluded
	for {
		owner := routing.Owner{}
		if q.service.HasKeyOwners {
			var err error
			if owner, err = q.awaitOwner(); err != nil {
				return nil, owner, err
			}
			admissionRequest.Server = owner.Server
		}
		ticket, err := q.handler.options.Admitter.Admit(q.ctx, admissionRequest, exclude)
		if err != nil {
			return nil, owner, err
		}
		granted, only, err := q.acquirePermit(ticket)
		if err != nil {
			return nil, owner, err
		}
		if !granted {
			if admissionRequest.Server = only; only != "" {
				exclude = nil
			}
			continue
		}
		if !q.service.HasKeyOwners {
			return ticket, owner, nil
		}
		now := q.handler.options.Resolver.Owner(q.service.Name, q.position)
		if now.State == routing.StateServed && now.Server == owner.Server {
			return ticket, now, nil
		}
		ticket.Done(admission.OutcomeCanceled, 0)
		q.endPermit(admission.OutcomeCanceled)
	}
}

// prepareRetry decides whether the request may be retried after f and prepares
// the retry. If no retry is allowed, it returns the error for the caller.
func (q *request) prepareRetry(f *failure, server topology.ServerName, owner routing.Owner, p *resumeRange) error {
	now := time.Now()
	err := f.callerError(server)
	if f.result == AttemptShed {
		q.service.retryBudget.CountShed(now)
	}
	switch {
	case q.ctx.Err() != nil, f.kind == apierror.KindBadRequest, f.kind == apierror.KindTooLarge, f.kind == apierror.KindUpstreamInvalidResponse:
		return err
	case !f.result.NotExecuted() && !q.route.Repeatable, !q.body.replayable():
		return err
	case q.attempts >= q.handler.limits.MaxAttempts:
		return err
	}
	if f.result == AttemptNothingSent && q.immediateRetries < maxImmediateRetries {
		q.immediateRetries++
		return nil
	}
	if f.result == AttemptNotOwner && q.service.HasKeyOwners {
		// When a key range moves, its old owner rejects many requests at once
		// without load on the server, so these retries do not count against the
		// budget.
		q.ownerAvoidance = avoidance{owner: owner, until: now.Add(renewalDelay << min(q.attempts-1, 4)), err: err}
		return nil
	}
	// An attempt that was not sent put no load on an upstream. The missing range
	// of a response is transferred only once, so it is no extra load either, but
	// it is not fetched while the service is overloaded. An attempt at a server
	// that lost the key is not counted because that server's load is gone.
	budgeted := f.result == AttemptShed || f.result == AttemptUnknown && p == nil && !f.ownerChanged
	if p != nil && q.service.retryBudget.Overloaded(now) {
		return err
	}
	pause := retry.Backoff(q.attempts, retryBaseDelay, maxRetryDelay, rand.Float64())
	if q.service.HasKeyOwners {
		q.ownerAvoidance = avoidance{owner: owner, until: now.Add(pause), usesBudget: budgeted, err: err}
		if q.attempts == q.handler.limits.MaxAttempts-1 {
			// The last attempt is reserved for the next owner.
			q.ownerAvoidance.until = time.Time{}
		}
		return nil
	}
	if budgeted && !q.service.retryBudget.Allow(now) {
		return err
	}
	q.excluded = append(q.excluded, server)
	return q.sleep(pause)
}

// sleep waits for d or until the request's context ends.
func (q *request) sleep(d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-q.ctx.Done():
		return q.contextError()
	}
}

// contextError returns the error of a request whose context ended between
// attempts.
func (q *request) contextError() error {
	if context.Cause(q.ctx) == errDeadline {
		return apierror.New(apierror.KindDeadlineUnreachable, "the deadline passed before the request was sent")
	}
	return apierror.Wrap(apierror.KindCanceled, context.Cause(q.ctx), "the caller went away")
}

// callerError returns the error for the caller after f.
func (f *failure) callerError(server topology.ServerName) error {
	e := apierror.Wrap(f.kind, f.err, "upstream %s: %s", server, f.result)
	if !f.result.NotExecuted() {
		e.Executed = apierror.ExecutedUnknown
	}
	return e
}
