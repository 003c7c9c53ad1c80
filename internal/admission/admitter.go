package admission

import (
	"context"
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// Class orders requests of one service: bookings before lookups before
// downloads, where the settings say so.
type Class uint8

// The classes, most important first.
const (
	ClassBooking Class = iota
	ClassLookup
	ClassDownload
	classCount
)

var classNames = [classCount]string{"booking", "lookup", "download"}

// String returns the class as the settings name it.
func (c Class) String() string {
	if c >= classCount {
		return "unknown"
	}
	return classNames[c]
}

// Request is what admission needs to know of a request.
type Request struct {
	Service  topology.ServiceName
	Caller   topology.Caller
	Class    Class
	Deadline time.Time
	// Server is the only server that may run the request, or empty if any
	// upstream of the service may.
	Server topology.ServerName
}

// Outcome tells admission how an admitted request ended.
type Outcome uint8

// The outcomes of an admitted request.
const (
	OutcomeOK       Outcome = iota
	OutcomeShed             // the upstream refused for load, before running
	OutcomeFailed           // connection or protocol failure
	OutcomeTimeout          // no answer before the deadline
	OutcomeCanceled         // the caller went away
)

// Ticket is the right to send one request. Done must be called exactly once.
type Ticket interface {
	// Server is the server to which the request goes.
	Server() topology.ServerName
	// Done releases the ticket and feeds the adaptive limits.
	Done(outcome Outcome, latency time.Duration)
}

// Admitter decides when and to which server a request is sent. Admit waits in
// the fair queue; it fails with an *apierror.Error of kind overloaded,
// deadline-unreachable, no-upstream or canceled, and then nothing was sent.
// Exclude lists servers already tried for this request.
type Admitter interface {
	Admit(ctx context.Context, request Request, exclude []topology.ServerName) (Ticket, error)
}
