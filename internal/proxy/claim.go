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
	// maxIdempotencyKeyBytes is the length of the longest idempotency key.
	maxIdempotencyKeyBytes = 255
	// reportTimeout bounds the report of an outcome to the replica hosts of a
	// claim.
	reportTimeout = time.Second
)

// runWithIdempotencyKey forwards the request. If the request is not repeatable
// and carries an idempotency key, and the host has a client for claims, it first
// claims the key and forwards the request only if no earlier request holds it.
func (q *request) runWithIdempotencyKey() error {
	client := q.handler.options.Idempotency
	keys := q.r.Header[headerIdempotency]
	if client == nil || q.route.Repeatable || len(keys) == 0 {
		return q.forwardAndDeliver()
	}
	if len(keys) > 1 || keys[0] == "" || len(keys[0]) > maxIdempotencyKeyBytes {
		return apierror.New(apierror.KindBadRequest, "%s must be one key of at most %d bytes", headerIdempotency, maxIdempotencyKeyBytes)
	}
	fingerprint := q.computeFingerprint()
	claim := idempotency.Claim{
		Caller: q.caller, Key: string(q.service.Name) + "/" + keys[0], RequestID: q.id, Fingerprint: hex.EncodeToString(fingerprint[:]),
	}
	decision, err := client.Claim(q.ctx, claim)
	switch {
	case q.ctx.Err() != nil && err != nil:
		return q.contextError()
	case err != nil:
		return err
	case decision.Response != nil:
		return q.replayResponse(decision.Response)
	case !decision.Proceed:
		return duplicateError(decision)
	}
	q.storeResponse = true
	finished := false
	finish := func(outcome idempotency.Outcome) {
		if !finished {
			finished = true
			ctx, cancel := context.WithTimeout(context.WithoutCancel(q.ctx), reportTimeout)
			defer cancel()
			client.Finish(ctx, claim, outcome, q.storedResponse)
		}
	}
	// A panic must not leave the claim in flight on this host.
	defer finish(idempotency.OutcomeUnknown)
	err = q.forwardAndDeliver()
	switch {
	case q.responseStarted:
		finish(idempotency.OutcomeExecuted)
	case q.possiblyExecuted:
		finish(idempotency.OutcomeUnknown)
	default:
		finish(idempotency.OutcomeNotExecuted)
	}
	return err
}

// replayResponse sends the stored response of the earlier request that was
// executed with the same key.
func (q *request) replayResponse(a *idempotency.Response) error {
	header := q.w.Header()
	copyHeaders(header, http.Header(a.Header))
	header[apierror.HeaderRequestID] = []string{q.id}
	header[headerReplayed] = []string{"true"}
	q.status, q.responseStarted = a.Status, true
	q.w.WriteHeader(a.Status)
	if len(a.Body) == 0 {
		return nil
	}
	_, err := q.w.Write(a.Body)
	return canceledError(err)
}

// duplicateError returns the error for a request whose key another request
// holds. Even if the outcome of that request is known, the error never claims
// that nothing was executed: for the caller both are the same operation.
func duplicateError(d idempotency.Decision) error {
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
