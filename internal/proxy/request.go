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
	retryBase  = 25 * time.Millisecond
	retryLimit = time.Second
	// renewalWait is how long a request that was refused as not the owner's
	// waits before it tries the same owner again. A change of the routes ends
	// the wait at once; a server whose lease was renewed late publishes none.
	renewalWait = 250 * time.Millisecond
	// freshRetries bounds the immediate retries after an unused connection
	// turned out to be closed; they put no load on the upstream.
	freshRetries = 2
)

// request is one caller's request on its way through the handler.
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

	print quarantine.Fingerprint
	held  quarantine.Permit
	keep  bool                  // a small answer is kept for a replay
	kept  *idempotency.Response // set once the answer is whole

	attempts int
	fresh    int
	exclude  []topology.ServerName
	avoid    avoidance
	waitEnd  time.Time // end of the wait for an owner, set when it begins
	sent     bool      // an attempt may have been executed
	started  bool      // part of an answer was passed on
	status   int
}

// avoidance keeps a request from the owner that just failed, until the route
// changes or a pause ends.
type avoidance struct {
	owner    routing.Owner
	until    time.Time // zero: only another owner can help
	budgeted bool      // sending again takes from the retry budget
	err      error
}

// run forwards the request and passes the answer on.
func (q *request) run() error {
	q.ctx, q.cancel = context.WithCancelCause(q.r.Context())
	defer q.cancel(errFinished)
	q.timer = time.AfterFunc(time.Until(q.deadline), func() { q.cancel(errDeadline) })
	defer q.timer.Stop()
	q.service.budget.CountRequest(q.start)
	if err := q.body.prepare(q); err != nil {
		return err
	}
	defer q.body.release(q)
	if err := q.checkQuarantine(); err != nil {
		return err
	}
	return q.runOnce()
}

// transfer sends the request and passes the answer on.
func (q *request) transfer() error {
	a, err := q.forward(nil)
	if err != nil {
		return err
	}
	return q.deliver(a)
}

// forward sends the request until an upstream answers or no retry is allowed.
// With a part, it asks for the rest of an answer that broke off.
func (q *request) forward(p *part) (*answer, error) {
	for {
		ticket, owner, err := q.place()
		if err != nil {
			return nil, err
		}
		q.attempts++
		start := time.Now()
		a, f := q.send(ticket, owner, p)
		latency := time.Since(start)
		if f == nil {
			q.logAttempt(ticket.Server(), owner, SeenAnswered, latency, nil)
			a.latency = latency
			return a, nil
		}
		ticket.Done(f.outcome(), latency)
		q.settleFailure(f, q.service.upstreams[ticket.Server()])
		q.logAttempt(ticket.Server(), owner, f.seen, latency, f.err)
		if !f.seen.NotExecuted() {
			q.sent = true
		}
		if err := q.next(f, ticket.Server(), owner, p); err != nil {
			return nil, err
		}
	}
}

func (q *request) logAttempt(server topology.ServerName, owner routing.Owner, seen Seen, latency time.Duration, err error) {
	q.handler.metrics.Attempt(q.service.Name, server, seen, latency)
	if entry := q.handler.log.Check(zap.InfoLevel, "proxy: request routed"); entry != nil {
		entry.Write(zap.String("request", q.id), zap.String("service", string(q.service.Name)),
			zap.String("server", string(server)), zap.Stringer("token", owner.Token),
			zap.Uint64("position", uint64(q.position)), zap.Int("attempt", q.attempts),
			zap.Stringer("seen", seen), zap.Duration("latency", latency), zap.NamedError("cause", err))
	}
}

// place waits for an owner, if the service is divided by key, and for a place
// at an upstream. The owner is looked up again after the wait for the place,
// so that a request never goes to an owner that has changed meanwhile.
func (q *request) place() (admission.Ticket, routing.Owner, error) {
	want := admission.Request{Service: q.service.Name, Caller: q.caller, Class: q.route.Class, Deadline: q.deadline}
	exclude := q.exclude
	for {
		owner := routing.Owner{}
		if q.service.Keyed {
			var err error
			if owner, err = q.awaitOwner(); err != nil {
				return nil, owner, err
			}
			want.Server = owner.Server
		}
		ticket, err := q.handler.options.Admitter.Admit(q.ctx, want, exclude)
		if err != nil {
			return nil, owner, err
		}
		granted, only, err := q.permit(ticket)
		if err != nil {
			return nil, owner, err
		}
		if !granted {
			if want.Server = only; only != "" {
				exclude = nil
			}
			continue
		}
		if !q.service.Keyed {
			return ticket, owner, nil
		}
		now := q.handler.options.Resolver.Owner(q.service.Name, q.position)
		if now.State == routing.StateServed && now.Server == owner.Server {
			return ticket, now, nil
		}
		ticket.Done(admission.OutcomeCanceled, 0)
		q.settle(admission.OutcomeCanceled)
	}
}

// next decides whether the request may be sent again after f and prepares it;
// it returns the error to answer with if not.
func (q *request) next(f *failure, server topology.ServerName, owner routing.Owner, p *part) error {
	now := time.Now()
	err := f.answer(server)
	if f.seen == SeenShed {
		q.service.budget.CountShed(now)
	}
	switch {
	case q.ctx.Err() != nil, f.kind == apierror.KindBadRequest, f.kind == apierror.KindTooLarge, f.kind == apierror.KindUpstreamInvalidResponse:
		return err
	case !f.seen.NotExecuted() && !q.route.Repeatable, !q.body.replayable():
		return err
	case q.attempts >= q.handler.limits.Attempts:
		return err
	}
	if f.seen == SeenNothing && q.fresh < freshRetries {
		q.fresh++
		return nil
	}
	if f.seen == SeenRefused && q.service.Keyed {
		// Moves refuse many requests at once without any load on the server,
		// so these retries don't count against the budget.
		q.avoid = avoidance{owner: owner, until: now.Add(renewalWait << min(q.attempts-1, 4)), err: err}
		return nil
	}
	// An attempt that was not sent put no load on an upstream. The rest of an
	// answer is sent only once, so it is not extra load either, but it gives
	// way to other requests in overload.
	// Neither was an attempt at a server that has lost the key: its load is gone.
	budgeted := f.seen == SeenShed || f.seen == SeenUnknown && p == nil && !f.moved
	if p != nil && q.service.budget.Overloaded(now) {
		return err
	}
	pause := retry.Backoff(q.attempts, retryBase, retryLimit, rand.Float64())
	if q.service.Keyed {
		q.avoid = avoidance{owner: owner, until: now.Add(pause), budgeted: budgeted, err: err}
		if q.attempts == q.handler.limits.Attempts-1 {
			// The last attempt is saved for the owner that takes over.
			q.avoid.until = time.Time{}
		}
		return nil
	}
	if budgeted && !q.service.budget.Allow(now) {
		return err
	}
	q.exclude = append(q.exclude, server)
	return q.pause(pause)
}

// pause waits for d or the end of the request.
func (q *request) pause(d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-q.ctx.Done():
		return q.ended()
	}
}

// ended returns the error of a request whose context ended between attempts.
func (q *request) ended() error {
	if context.Cause(q.ctx) == errDeadline {
		return apierror.New(apierror.KindDeadlineUnreachable, "the deadline passed before the request was sent")
	}
	return apierror.Wrap(apierror.KindCanceled, context.Cause(q.ctx), "the caller went away")
}

// answer returns the error to answer a caller with after f.
func (f *failure) answer(server topology.ServerName) error {
	e := apierror.Wrap(f.kind, f.err, "upstream %s: %s", server, f.seen)
	if !f.seen.NotExecuted() {
		e.Executed = apierror.ExecutedUnknown
	}
	return e
}
