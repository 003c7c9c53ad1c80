// Package apierror holds the closed list of error kinds and the one table from
// a kind to the answer that callers and operators get.
package apierror

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap/zapcore"
)

// Kind names an error; it is the `kind` of a problem+json answer.
type Kind string

// The closed list of error kinds.
const (
	KindBadRequest       Kind = "bad-request"
	KindUnauthorized     Kind = "unauthorized"
	KindForbidden        Kind = "forbidden"
	KindNotFound         Kind = "not-found"
	KindMethodNotAllowed Kind = "method-not-allowed"
	KindTooLarge         Kind = "too-large"
	KindInvalidDocument  Kind = "invalid-document"
	KindConflict         Kind = "conflict"
	KindStoreUnavailable Kind = "store-unavailable"
	KindStoreUnknown     Kind = "store-outcome-unknown"
	KindNoOwner          Kind = "no-owner"
	KindNotOwner         Kind = "not-owner"
	KindNoUpstream       Kind = "no-upstream"
	KindOverloaded       Kind = "overloaded"
	KindDeadline         Kind = "deadline-unreachable"
	KindTimeout          Kind = "timeout"
	KindUpstreamRefused  Kind = "upstream-refused"
	KindUpstreamFailed   Kind = "upstream-failed"
	KindUpstreamAnswer   Kind = "upstream-answer-invalid"
	KindQuarantined      Kind = "quarantined"
	KindDuplicate        Kind = "duplicate-request"
	KindStale            Kind = "stale-host"
	KindShuttingDown     Kind = "shutting-down"
	KindCanceled         Kind = "canceled"
	KindInternal         Kind = "internal"
)

// Executed tells whether the request can have been run.
type Executed string

// The values of Executed.
const (
	ExecutedNo      Executed = "no"
	ExecutedUnknown Executed = "unknown"
)

// Answer is what a kind turns into.
type Answer struct {
	Status     int
	Executed   Executed
	RetryAfter time.Duration // zero: waiting does not help
	Level      zapcore.Level
	Title      string
}

// table gives the answer of each kind. Executed is "no" only for kinds that are
// raised before any byte of the request was sent or after a refusal that proves
// that the upstream did not run it.
var table = map[Kind]Answer{
	KindBadRequest:       {http.StatusBadRequest, ExecutedNo, 0, zapcore.InfoLevel, "The request is malformed"},
	KindUnauthorized:     {http.StatusUnauthorized, ExecutedNo, 0, zapcore.WarnLevel, "Credentials are missing or wrong"},
	KindForbidden:        {http.StatusForbidden, ExecutedNo, 0, zapcore.WarnLevel, "The caller may not do this"},
	KindNotFound:         {http.StatusNotFound, ExecutedNo, 0, zapcore.InfoLevel, "No such service or document"},
	KindMethodNotAllowed: {http.StatusMethodNotAllowed, ExecutedNo, 0, zapcore.InfoLevel, "The method is not allowed here"},
	KindTooLarge:         {http.StatusRequestEntityTooLarge, ExecutedNo, 0, zapcore.InfoLevel, "The request exceeds a size limit"},
	KindInvalidDocument:  {http.StatusUnprocessableEntity, ExecutedNo, 0, zapcore.InfoLevel, "A document is invalid"},
	KindConflict:         {http.StatusConflict, ExecutedNo, 0, zapcore.InfoLevel, "Another change was accepted first"},
	KindStoreUnavailable: {http.StatusServiceUnavailable, ExecutedNo, 5 * time.Second, zapcore.WarnLevel, "The configuration store is unavailable"},
	KindStoreUnknown:     {http.StatusServiceUnavailable, ExecutedUnknown, 5 * time.Second, zapcore.WarnLevel, "The store has not yet confirmed the change"},
	KindNoOwner:          {http.StatusServiceUnavailable, ExecutedNo, time.Second, zapcore.WarnLevel, "The key has no live owner"},
	KindNotOwner:         {http.StatusServiceUnavailable, ExecutedNo, time.Second, zapcore.InfoLevel, "The server no longer owns the key"},
	KindNoUpstream:       {http.StatusServiceUnavailable, ExecutedNo, time.Second, zapcore.WarnLevel, "No upstream may serve the request"},
	KindOverloaded:       {http.StatusServiceUnavailable, ExecutedNo, time.Second, zapcore.InfoLevel, "The service is overloaded"},
	KindDeadline:         {http.StatusServiceUnavailable, ExecutedNo, time.Second, zapcore.InfoLevel, "The request cannot meet its deadline"},
	KindTimeout:          {http.StatusGatewayTimeout, ExecutedUnknown, 0, zapcore.WarnLevel, "The upstream did not answer in time"},
	KindUpstreamRefused:  {http.StatusBadGateway, ExecutedNo, time.Second, zapcore.WarnLevel, "No connection to the upstream"},
	KindUpstreamFailed:   {http.StatusBadGateway, ExecutedUnknown, 0, zapcore.WarnLevel, "The upstream failed while it had the request"},
	KindUpstreamAnswer:   {http.StatusBadGateway, ExecutedUnknown, 0, zapcore.ErrorLevel, "The upstream's answer is invalid"},
	KindQuarantined:      {http.StatusServiceUnavailable, ExecutedNo, 60 * time.Second, zapcore.WarnLevel, "The request is suspected of crashing upstreams"},
	KindDuplicate:        {http.StatusConflict, ExecutedUnknown, 0, zapcore.InfoLevel, "A request with this idempotency key was already sent"},
	KindStale:            {http.StatusServiceUnavailable, ExecutedNo, time.Second, zapcore.WarnLevel, "This host is cut off"},
	KindShuttingDown:     {http.StatusServiceUnavailable, ExecutedNo, time.Second, zapcore.InfoLevel, "This host is shutting down"},
	KindCanceled:         {499, ExecutedUnknown, 0, zapcore.InfoLevel, "The caller went away"},
	KindInternal:         {http.StatusInternalServerError, ExecutedUnknown, 0, zapcore.ErrorLevel, "Internal error"},
}

// AnswerFor returns the table's answer for kind. An unlisted kind is answered
// as KindInternal.
func AnswerFor(kind Kind) Answer {
	if answer, ok := table[kind]; ok {
		return answer
	}
	return table[KindInternal]
}

// Kinds returns every kind with its answer.
func Kinds() map[Kind]Answer {
	out := make(map[Kind]Answer, len(table))
	for k, a := range table {
		out[k] = a
	}
	return out
}

// Error is an error of one kind.
type Error struct {
	Kind   Kind
	Detail string
	// Executed overrides the table's value if not empty. It may only be set
	// to "unknown": a kind that proves nothing can never become "no".
	Executed Executed
	// RetryAfter overrides the table's value if positive.
	RetryAfter time.Duration
	Err        error
}

// New returns an error of kind with a formatted detail.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an error of kind with cause err.
func Wrap(kind Kind, err error, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...), Err: err}
}

// Error describes the failure.
func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s: %s: %v", e.Kind, e.Detail, e.Err)
	}
	return fmt.Sprintf("%s: %s", e.Kind, e.Detail)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Answer returns the table's answer with the error's overrides.
func (e *Error) Answer() Answer {
	answer := AnswerFor(e.Kind)
	if e.Executed == ExecutedUnknown {
		answer.Executed = ExecutedUnknown
	}
	if e.RetryAfter > 0 {
		answer.RetryAfter = e.RetryAfter
	}
	return answer
}

// From returns err as an *Error; an error of no kind becomes KindInternal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(KindInternal, err, "unclassified error")
}
