package admission

import (
	"context"
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// Class is the priority class of a request within its service. The settings
// assign it; bookings precede lookups, and lookups precede downloads.
type Class uint8

// The classes, highest priority first.
const (
	ClassBooking Class = iota
	ClassLookup
	ClassDownload
	classCount
)

var classNames = [classCount]string{"booking", "lookup", "download"}

// String returns the class as it is named in the settings.
func (c Class) String() string {
	if c >= classCount {
		return "unknown"
	}
	return classNames[c]
}

// Request describes a request to the Admitter.
type Request struct {
	Service  topology.ServiceName
	Caller   topology.Caller
	Class    Class
	Deadline time.Time
	// Server is the only server that may run the request. If it is empty, any
	// server of the service may.
	Server topology.ServerName
}

// Outcome is how an admitted request ended. It feeds the adaptive limits.
type Outcome uint8

// The outcomes of an admitted request.
const (
	OutcomeOK       Outcome = iota
	OutcomeShed             // the upstream refused because of load, before it ran the request
	OutcomeFailed           // connection or protocol failure
	OutcomeTimeout          // no response before the deadline
	OutcomeCanceled         // the caller went away
)

// Ticket is the permission to send one request. Done must be called exactly
// once.
type Ticket interface {
	// Server returns the server to which the request must be sent.
	Server() topology.ServerName
	// Done releases the ticket and updates the adaptive limits.
	Done(outcome Outcome, latency time.Duration)
}

// Admitter decides when a request is sent and to which server. Admit blocks
// while the request waits in the fair queue. It fails with an *apierror.Error
// of kind overloaded, deadline-unreachable, no-upstream or canceled; the
// request was not sent then. The exclude argument lists servers already tried
// for this request.
type Admitter interface {
	Admit(ctx context.Context, request Request, exclude []topology.ServerName) (Ticket, error)
}
