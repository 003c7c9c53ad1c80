package proxy

import (
	"context"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/idempotency"
)

const (
	// maxIdempotencyKey is the longest idempotency key, in bytes.
	maxIdempotencyKey = 255
	// finishTimeout bounds the report of an outcome to the keepers.
	finishTimeout = time.Second
)

// runOnce runs a request that may not be repeated under its idempotency key,
// if it carries one and the host keeps claims.
func (q *request) runOnce() error {
	client := q.handler.options.Idempotency
	keys := q.r.Header[headerIdempotency]
	if client == nil || q.route.Repeatable || len(keys) == 0 {
		return q.transfer()
	}
	if len(keys) > 1 || keys[0] == "" || len(keys[0]) > maxIdempotencyKey {
		return apierror.New(apierror.KindBadRequest, "%s must be one key of at most %d bytes", headerIdempotency, maxIdempotencyKey)
	}
	fingerprint := q.fingerprint()
	claim := idempotency.Claim{
		Caller: q.caller, Key: string(q.service.Name) + "/" + keys[0], RequestID: q.id, Fingerprint: hex.EncodeToString(fingerprint[:]),
	}
	decision, err := client.Claim(q.ctx, claim)
	switch {
	case q.ctx.Err() != nil && err != nil:
		return q.ended()
	case err != nil:
		return err
	case decision.Response != nil:
		return q.replay(decision.Response)
	case !decision.Proceed:
		return duplicate(decision)
	}
	q.keep = true
	finished := false
	finish := func(outcome idempotency.Outcome) {
		if !finished {
			finished = true
			ctx, cancel := context.WithTimeout(context.WithoutCancel(q.ctx), finishTimeout)
			defer cancel()
			client.Finish(ctx, claim, outcome, q.kept)
		}
	}
	// A panic must not leave the key in flight on this host.
	defer finish(idempotency.OutcomeUnknown)
	err = q.transfer()
	switch {
	case q.started:
		finish(idempotency.OutcomeExecuted)
	case q.sent:
		finish(idempotency.OutcomeUnknown)
	default:
		finish(idempotency.OutcomeNotExecuted)
	}
	return err
}

// replay answers with the kept answer of the request that was executed.
func (q *request) replay(a *idempotency.Response) error {
	header := q.w.Header()
	copyHeaders(header, http.Header(a.Header))
	header[apierror.HeaderRequestID] = []string{q.id}
	header[headerReplayed] = []string{"true"}
	q.status, q.started = a.Status, true
	q.w.WriteHeader(a.Status)
	if len(a.Body) == 0 {
		return nil
	}
	_, err := q.w.Write(a.Body)
	return callerGone(err)
}

// duplicate tells what is known of the request that holds the key. Whether
// that one was executed may be known; the caller's question is one and the
// same, so the answer never claims that it was not.
func duplicate(d idempotency.Decision) error {
	switch d.Outcome {
	case idempotency.OutcomeExecuted:
		return apierror.New(apierror.KindDuplicateRequest, "the request was executed as %s; its answer is not kept here", d.RequestID)
	case idempotency.OutcomeInFlight:
		e := apierror.New(apierror.KindDuplicateRequest, "the request is being executed as %s", d.RequestID)
		e.RetryAfter = time.Second
		return e
	}
	return apierror.New(apierror.KindDuplicateRequest, "the request was sent as %s with unknown outcome", d.RequestID)
}
