// Package granter is the port to the servers that take fenced grants.
//
// The port assumes that a server (1) accepts one grant set with a version, an
// end on the server's own monotonic clock and a term, (2) refuses lower terms,
// other incarnations and older versions, (3) replies to each heartbeat with its
// clock reading and what it holds, and (4) refuses requests outside its set or
// after the set's end. The clock must keep counting while the server is frozen.
package granter

import (
	"context"
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// GrantTTL is how far the end of a grant set lies after the server's clock
// reading on which it is based. It outlasts the election of a new leader, so
// that the loss of a leader interrupts no key.
const GrantTTL = 1150 * time.Millisecond

// ClockMargin is the relative difference in clock rate, in percent, that every
// wait on another process's clock adds.
const ClockMargin = 1

// WithMargin returns d lengthened by ClockMargin.
func WithMargin(d time.Duration) time.Duration { return d + d*ClockMargin/100 }

// GrantSet is the complete set of ranges that a server may own.
type GrantSet struct {
	Version topology.Version `json:"version"`
	Ranges  []topology.Range `json:"ranges"`
}

// Heartbeat is sent by the leader to one server. A nil Set renews the set that
// the server holds at SetVersion; a zero End only asks.
type Heartbeat struct {
	Leader topology.HostName `json:"leader"`
	Term   topology.Term     `json:"term"`
	// Incarnation is the server's incarnation that the leader last saw; a set
	// or an end for another incarnation is refused. Empty with a zero End.
	Incarnation string `json:"incarnation,omitempty"`
	// SetVersion is the version of the set to renew, or of Set if given.
	SetVersion topology.Version `json:"setVersion"`
	Set        *GrantSet        `json:"set,omitempty"`
	// End is the end of the set on the server's clock.
	End time.Duration `json:"end,omitempty"`
}

// Refusal says why a server did not apply a heartbeat.
type Refusal string

// The reasons for which a server refuses a heartbeat.
const (
	RefusalNone        Refusal = ""
	RefusalTerm        Refusal = "lower-term"
	RefusalIncarnation Refusal = "other-incarnation"
	RefusalVersion     Refusal = "older-version"
	RefusalEnd         Refusal = "end-out-of-bounds"
)

// Reply is the server's answer to a heartbeat, applied or refused.
type Reply struct {
	Incarnation string `json:"incarnation"`
	// Clock is the server's monotonic clock when it answered.
	Clock time.Duration `json:"clock"`
	// HighestTerm is the highest term that the server has seen.
	HighestTerm topology.Term `json:"highestTerm"`
	Refused     Refusal       `json:"refused,omitempty"`
	// Held is the set that the server holds; Held.Ranges is sent only if the
	// heartbeat carried no End or the versions differ.
	Held GrantSet `json:"held"`
	// End is the end of the held set on the server's clock.
	End time.Duration `json:"end"`
	// Draining lists released ranges whose requests still run.
	Draining []topology.Range `json:"draining,omitempty"`
	// Leaving is true once the server asked to be drained.
	Leaving bool `json:"leaving,omitempty"`
	// InFlight is the server's own count of running requests; it may lag.
	InFlight int `json:"inFlight"`
}

// Granter exchanges heartbeats with servers. An error means that the outcome
// is unknown: the heartbeat may have been applied.
type Granter interface {
	Heartbeat(ctx context.Context, server topology.Server, heartbeat Heartbeat) (Reply, error)
}
