package proxy

import (
	"context"
	"errors"
	"time"

	"github.com/cassiasill/cassiasill/internal/admission"
	"github.com/cassiasill/cassiasill/internal/apierror"
)

// Seen classifies an attempt by what the upstream can have seen of it.
type Seen uint8

// The classes, from nothing to everything.
const (
	// SeenNotConnected: no connection was made.
	SeenNotConnected Seen = iota
	// SeenNothing: connected, but not one byte was sent.
	SeenNothing
	// SeenRefused: the upstream refused as not the owner, before executing.
	SeenRefused
	// SeenShed: the upstream shed the request for load, before executing.
	SeenShed
	// SeenUnknown: some of the request was sent and the outcome is unknown.
	SeenUnknown
	// SeenAnswered: the upstream answered the request.
	SeenAnswered
)

var seenNames = [...]string{"not-connected", "nothing-sent", "refused", "shed", "unknown", "answered"}

// String returns the class's name for logs and metrics.
func (s Seen) String() string { return seenNames[s] }

// NotExecuted reports whether the request was provably not executed.
func (s Seen) NotExecuted() bool { return s <= SeenShed }

// Causes with which a request's context is canceled.
var (
	errDeadline = errors.New("the deadline has passed")
	errStalled  = errors.New("the body made no progress")
	errFinished = errors.New("the request has ended")
	errMoved    = errors.New("another server has become the owner of the key")
)

// failure describes a failed attempt.
type failure struct {
	seen Seen
	kind apierror.Kind
	err  error
	// broken is set if the upstream broke the connection after the request
	// was sent: possible evidence of a crash.
	broken bool
	// moved is set if the attempt was given up because the key has a new owner.
	moved bool
	at    time.Time
}

// failed classifies the error of a round trip. It ends the attempt: what has
// not been sent by now never will be.
func failed(ctx context.Context, x *exchange, err error, bodyErr error) *failure {
	connected, sent := x.seal()
	f := &failure{err: err, at: time.Now()}
	switch {
	case !connected:
		f.seen, f.kind = SeenNotConnected, apierror.KindUpstreamRefused
	case !sent:
		f.seen, f.kind = SeenNothing, apierror.KindUpstreamRefused
	default:
		f.seen, f.kind, f.broken = SeenUnknown, apierror.KindUpstreamFailed, true
	}
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errDeadline), errors.Is(cause, errStalled):
		f.kind, f.broken = apierror.KindTimeout, false
		if f.seen.NotExecuted() {
			f.kind = apierror.KindDeadlineUnreachable
		}
	case cause != nil:
		f.kind, f.broken = apierror.KindCanceled, false
	case errors.Is(bodyErr, errBodyTooLarge):
		f.kind, f.broken, f.err = apierror.KindTooLarge, false, bodyErr
	case bodyErr != nil:
		f.kind, f.broken, f.err = apierror.KindBadRequest, false, bodyErr
	}
	return f
}

// movedIf notes that the attempt was given up for a new owner, if that is the
// cause of its end.
func (f *failure) movedIf(cause error) *failure {
	if errors.Is(cause, errMoved) {
		f.moved, f.broken, f.err = true, false, errMoved
	}
	return f
}

// outcome returns what admission should learn from the failure.
func (f *failure) outcome() admission.Outcome {
	switch {
	case f.seen == SeenShed:
		return admission.OutcomeShed
	case f.seen == SeenRefused:
		return admission.OutcomeOK
	case f.kind == apierror.KindTimeout || f.kind == apierror.KindDeadlineUnreachable:
		return admission.OutcomeTimeout
	case f.kind == apierror.KindCanceled || f.kind == apierror.KindBadRequest || f.kind == apierror.KindTooLarge:
		return admission.OutcomeCanceled
	}
	return admission.OutcomeFailed
}
