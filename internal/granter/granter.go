// Package granter defines the protocol with which the leader grants key ranges to
// servers, and an HTTP client for it.
//
// A server must (1) accept one grant set with a version, a term, and an expiry on
// the server's own monotonic clock, (2) reject heartbeats with a lower term,
// another incarnation or an older version, (3) reply to each heartbeat with its
// clock reading and the set that it holds, and (4) reject requests for keys outside
// the set or after its expiry. The clock must advance while the server is frozen.
package granter

import (
	"context"
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// GrantTTL is how long a grant set is valid after the server's clock reading from
// which its expiry is computed. It is longer than the election of a new leader, so
// that the failure of a leader interrupts no key.
const GrantTTL = 1150 * time.Millisecond

// ClockMarginPercent bounds the difference between the clock rates of two processes, in
// percent. Every wait for a time on another process's clock is longer by it.
const ClockMarginPercent = 1

// WithClockMargin returns d lengthened by ClockMarginPercent.
func WithClockMargin(d time.Duration) time.Duration { return d + d*ClockMarginPercent/100 }

// GrantSet is the complete set of ranges that a server may own.
type GrantSet struct {
	Version topology.Version `json:"version"`
	Ranges  []topology.Range `json:"ranges"`
}

// Heartbeat is the leader's message to one server. With a nil Set it renews the
// set that the server holds at SetVersion. With a zero expiry it changes nothing
// and only requests a reply.
type Heartbeat struct {
	Leader topology.HostName `json:"leader"`
	Term   topology.Term     `json:"term"`
	// Incarnation is the server's incarnation that the leader last saw. The
	// server rejects a set or an expiry that is for another one. Empty with a zero expiry.
	Incarnation string `json:"incarnation,omitempty"`
	// SetVersion is the version of Set or, if Set is nil, of the set to renew.
	SetVersion topology.Version `json:"setVersion"`
	Set        *GrantSet        `json:"set,omitempty"`
	// Expiry is when the set expires, on the server's clock.
	Expiry time.Duration `json:"end,omitempty"`
}

// Refusal is the reason why a server rejected a heartbeat.
type Refusal string

// The reasons for which a server rejects a heartbeat.
const (
	RefusalNone              Refusal = ""
	RefusalLowerTerm         Refusal = "lower-term"
	RefusalOtherIncarnation  Refusal = "other-incarnation"
	RefusalOlderVersion      Refusal = "older-version"
	RefusalExpiryOutOfBounds Refusal = "end-out-of-bounds"
)

// Reply is the server's response to a heartbeat, whether applied or rejected.
type Reply struct {
	Incarnation string `json:"incarnation"`
	// Clock is the reading of the server's monotonic clock at the reply.
	Clock time.Duration `json:"clock"`
	// HighestTerm is the highest term that the server has seen.
	HighestTerm topology.Term `json:"highestTerm"`
	Refusal     Refusal       `json:"refused,omitempty"`
	// HeldSet is the set that the server holds. Its ranges are sent only if the
	// heartbeat had no expiry or the versions differ.
	HeldSet GrantSet `json:"held"`
	// Expiry is when the held set expires, on the server's clock.
	Expiry time.Duration `json:"end"`
	// Draining lists the released ranges that still have requests in flight.
	Draining []topology.Range `json:"draining,omitempty"`
	// DrainRequested is true after the server has requested to be drained.
	DrainRequested bool `json:"leaving,omitempty"`
	// InFlight is the server's count of requests in flight; it may lag.
	InFlight int `json:"inFlight"`
}

// Granter sends heartbeats to servers. After an error the outcome is unknown: the
// heartbeat may have been applied.
type Granter interface {
	Heartbeat(ctx context.Context, server topology.Server, heartbeat Heartbeat) (Reply, error)
}
