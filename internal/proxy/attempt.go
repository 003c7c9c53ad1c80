package proxy

import (
	"context"
	"errors"
	"time"

	"github.com/cassiasill/cassiasill/internal/admission"
	"github.com/cassiasill/cassiasill/internal/apierror"
)

// AttemptResult is the result of an attempt, classified by how much of the request the
// upstream can have received.
type AttemptResult uint8

// The results, ordered by how much the upstream can have received.
const (
	// AttemptNotConnected means that no connection was opened.
	AttemptNotConnected AttemptResult = iota
	// AttemptNothingSent means that a connection was open but no byte was sent.
	AttemptNothingSent
	// AttemptNotOwner means that the upstream rejected the request before executing
	// it because it does not own the key.
	AttemptNotOwner
	// AttemptShed means that the upstream shed the request because of overload,
	// before executing it.
	AttemptShed
	// AttemptUnknown means that some of the request was sent and its outcome is
	// unknown.
	AttemptUnknown
	// AttemptResponded means that the upstream responded to the request.
	AttemptResponded
)

var attemptResultNames = [...]string{"not-connected", "nothing-sent", "refused", "shed", "unknown", "answered"}

// String returns the result's name for logs and metrics.
func (s AttemptResult) String() string { return attemptResultNames[s] }

// NotExecuted reports whether the request was provably not executed.
func (s AttemptResult) NotExecuted() bool { return s <= AttemptShed }

// The causes with which the context of a request or an attempt is canceled.
var (
	errDeadline     = errors.New("the deadline of the request has passed")
	errStalled      = errors.New("the transfer of the body stalled")
	errRequestEnded = errors.New("the request has ended")
	errOwnerChanged = errors.New("another server became the owner of the key")
)

// failure describes a failed attempt.
type failure struct {
	result AttemptResult
	kind   apierror.Kind
	err    error
	// connectionBroke is set if the connection failed after some of the request
	// was sent, which may be evidence of a crash.
	connectionBroke bool
	// ownerChanged is set if the attempt was canceled because the key has a new
	// owner.
	ownerChanged bool
	failedAt     time.Time
}

// classifyFailure classifies the error of a round trip. It seals the attempt, so
// that no more bytes are sent after the classification.
func classifyFailure(ctx context.Context, x *exchange, err error, bodyErr error) *failure {
	connected, sent := x.seal()
	f := &failure{err: err, failedAt: time.Now()}
	switch {
	case !connected:
		f.result, f.kind = AttemptNotConnected, apierror.KindUpstreamRefused
	case !sent:
		f.result, f.kind = AttemptNothingSent, apierror.KindUpstreamRefused
	default:
		f.result, f.kind, f.connectionBroke = AttemptUnknown, apierror.KindUpstreamFailed, true
	}
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errDeadline), errors.Is(cause, errStalled):
		f.kind, f.connectionBroke = apierror.KindTimeout, false
		if f.result.NotExecuted() {
			f.kind = apierror.KindDeadlineUnreachable
		}
	case cause != nil:
		f.kind, f.connectionBroke = apierror.KindCanceled, false
	case errors.Is(bodyErr, errBodyTooLarge):
		f.kind, f.connectionBroke, f.err = apierror.KindTooLarge, false, bodyErr
	case bodyErr != nil:
		f.kind, f.connectionBroke, f.err = apierror.KindBadRequest, false, bodyErr
	}
	return f
}

// markOwnerChange marks the failure if its cause is that the attempt was
// canceled because the key has a new owner.
func (f *failure) markOwnerChange(cause error) *failure {
	if errors.Is(cause, errOwnerChanged) {
		f.ownerChanged, f.connectionBroke, f.err = true, false, errOwnerChanged
	}
	return f
}

// outcome returns the outcome that is reported to admission.
func (f *failure) outcome() admission.Outcome {
	switch {
	case f.result == AttemptShed:
		return admission.OutcomeShed
	case f.result == AttemptNotOwner:
		return admission.OutcomeOK
	case f.kind == apierror.KindTimeout || f.kind == apierror.KindDeadlineUnreachable:
		return admission.OutcomeTimeout
	case f.kind == apierror.KindCanceled || f.kind == apierror.KindBadRequest || f.kind == apierror.KindTooLarge:
		return admission.OutcomeCanceled
	}
	return admission.OutcomeFailed
}
