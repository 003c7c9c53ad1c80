// Package apierror defines the error kinds and the response that callers and
// operators get for each kind.
package apierror

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap/zapcore"
)

// Kind classifies an error. It is the `kind` member of a problem+json response.
type Kind string

// All error kinds.
const (
	KindBadRequest              Kind = "bad-request"
	KindUnauthorized            Kind = "unauthorized"
	KindForbidden               Kind = "forbidden"
	KindNotFound                Kind = "not-found"
	KindMethodNotAllowed        Kind = "method-not-allowed"
	KindTooLarge                Kind = "too-large"
	KindInvalidDocument         Kind = "invalid-document"
	KindConflict                Kind = "conflict"
	KindStoreUnavailable        Kind = "store-unavailable"
	KindStoreOutcomeUnknown     Kind = "store-outcome-unknown"
	KindNoOwner                 Kind = "no-owner"
	KindNotOwner                Kind = "not-owner"
	KindNoUpstream              Kind = "no-upstream"
	KindOverloaded              Kind = "overloaded"
	KindRateLimited             Kind = "rate-limited"
	KindDeadlineUnreachable     Kind = "deadline-unreachable"
	KindTimeout                 Kind = "timeout"
	KindUpstreamRefused         Kind = "upstream-refused"
	KindUpstreamFailed          Kind = "upstream-failed"
	KindUpstreamInvalidResponse Kind = "upstream-answer-invalid"
	KindQuarantined             Kind = "quarantined"
	KindDuplicateRequest        Kind = "duplicate-request"
	KindStaleHost               Kind = "stale-host"
	KindShuttingDown            Kind = "shutting-down"
	KindCanceled                Kind = "canceled"
	KindInternal                Kind = "internal"
)

// Executed states whether an upstream may have executed the request.
type Executed string

// The values of Executed.
const (
	ExecutedNo      Executed = "no"
	ExecutedUnknown Executed = "unknown"
)

// Response is the response to a request that failed with an error of one kind.
type Response struct {
	Status     int
	Executed   Executed
	RetryAfter time.Duration // zero if waiting does not help
	LogLevel   zapcore.Level
	Title      string
}

// responses holds the response to each kind. Executed is "no" only for kinds that
// are raised before any byte of the request is sent, or after a refusal that
// proves that the upstream did not execute it.
var responses = map[Kind]Response{
	KindBadRequest:              {http.StatusBadRequest, ExecutedNo, 0, zapcore.InfoLevel, "The request is malformed"},
	KindUnauthorized:            {http.StatusUnauthorized, ExecutedNo, 0, zapcore.WarnLevel, "Credentials are missing or wrong"},
	KindForbidden:               {http.StatusForbidden, ExecutedNo, 0, zapcore.WarnLevel, "The caller may not do this"},
	KindNotFound:                {http.StatusNotFound, ExecutedNo, 0, zapcore.InfoLevel, "No such service or document"},
	KindMethodNotAllowed:        {http.StatusMethodNotAllowed, ExecutedNo, 0, zapcore.InfoLevel, "The method is not allowed here"},
	KindTooLarge:                {http.StatusRequestEntityTooLarge, ExecutedNo, 0, zapcore.InfoLevel, "The request exceeds a size limit"},
	KindInvalidDocument:         {http.StatusUnprocessableEntity, ExecutedNo, 0, zapcore.InfoLevel, "A document is invalid"},
	KindConflict:                {http.StatusConflict, ExecutedNo, 0, zapcore.InfoLevel, "Another change was accepted first"},
	KindStoreUnavailable:        {http.StatusServiceUnavailable, ExecutedNo, 5 * time.Second, zapcore.WarnLevel, "The configuration store is unavailable"},
	KindStoreOutcomeUnknown:     {http.StatusServiceUnavailable, ExecutedUnknown, 5 * time.Second, zapcore.WarnLevel, "The store has not yet confirmed the change"},
	KindNoOwner:                 {http.StatusServiceUnavailable, ExecutedNo, time.Second, zapcore.WarnLevel, "The key has no live owner"},
	KindNotOwner:                {http.StatusServiceUnavailable, ExecutedNo, time.Second, zapcore.InfoLevel, "The server no longer owns the key"},
	KindNoUpstream:              {http.StatusServiceUnavailable, ExecutedNo, time.Second, zapcore.WarnLevel, "No upstream may serve the request"},
	KindOverloaded:              {http.StatusServiceUnavailable, ExecutedNo, time.Second, zapcore.InfoLevel, "The service is overloaded"},
	KindRateLimited:             {http.StatusServiceUnavailable, ExecutedNo, time.Second, zapcore.InfoLevel, "The upstream's rate limit is used up"},
	KindDeadlineUnreachable:     {http.StatusServiceUnavailable, ExecutedNo, time.Second, zapcore.InfoLevel, "The request cannot meet its deadline"},
	KindTimeout:                 {http.StatusGatewayTimeout, ExecutedUnknown, 0, zapcore.WarnLevel, "The upstream did not answer in time"},
	KindUpstreamRefused:         {http.StatusBadGateway, ExecutedNo, time.Second, zapcore.WarnLevel, "No connection to the upstream"},
	KindUpstreamFailed:          {http.StatusBadGateway, ExecutedUnknown, 0, zapcore.WarnLevel, "The upstream failed while it had the request"},
	KindUpstreamInvalidResponse: {http.StatusBadGateway, ExecutedUnknown, 0, zapcore.ErrorLevel, "The upstream's answer is invalid"},
	KindQuarantined:             {http.StatusServiceUnavailable, ExecutedNo, 60 * time.Second, zapcore.WarnLevel, "The request is suspected of crashing upstreams"},
	KindDuplicateRequest:        {http.StatusConflict, ExecutedUnknown, 0, zapcore.InfoLevel, "A request with this idempotency key was already sent"},
	KindStaleHost:               {http.StatusServiceUnavailable, ExecutedNo, time.Second, zapcore.WarnLevel, "This host is cut off"},
	KindShuttingDown:            {http.StatusServiceUnavailable, ExecutedNo, time.Second, zapcore.InfoLevel, "This host is shutting down"},
	KindCanceled:                {499, ExecutedUnknown, 0, zapcore.InfoLevel, "The caller went away"},
	KindInternal:                {http.StatusInternalServerError, ExecutedUnknown, 0, zapcore.ErrorLevel, "Internal error"},
}

// ResponseFor returns the response to an error of kind. A kind that is not listed
// gets the response to KindInternal.
func ResponseFor(kind Kind) Response {
	if response, ok := responses[kind]; ok {
		return response
	}
	return responses[KindInternal]
}

// Responses returns the response to each kind.
func Responses() map[Kind]Response {
	byKind := make(map[Kind]Response, len(responses))
	for kind, response := range responses {
		byKind[kind] = response
	}
	return byKind
}

// Error is an error of one kind.
type Error struct {
	Kind   Kind
	Detail string
	// Executed overrides the kind's value if it is ExecutedUnknown. Other values
	// are ignored, so that a possibly executed request is never reported as not
	// executed.
	Executed Executed
	// RetryAfter overrides the kind's value if positive.
	RetryAfter time.Duration
	Err        error
}

// New returns an error of kind with a formatted detail and no cause.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of kind with cause err.
func Wrap(kind Kind, err error, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...), Err: err}
}

// Error returns the kind, the detail and the cause.
func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: %s: %v", e.Kind, e.Detail, e.Err)
	}
	return fmt.Sprintf("%s: %s", e.Kind, e.Detail)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Response returns the response to the error's kind with the error's overrides.
func (e *Error) Response() Response {
	response := ResponseFor(e.Kind)
	if e.Executed == ExecutedUnknown {
		response.Executed = ExecutedUnknown
	}
	if e.RetryAfter > 0 {
		response.RetryAfter = e.RetryAfter
	}
	return response
}

// From returns the *Error that err is or wraps. Any other error becomes the cause
// of a KindInternal error.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(KindInternal, err, "unclassified error")
}
