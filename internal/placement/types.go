// Package placement plans which server owns which slice of the ring. Planning
// is a pure function: the same input gives the same plan, and time is passed in as
// ages.
package placement

import (
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// ServerState determines whether a server may own slices.
type ServerState uint8

// The states of a server. Only ready and returning servers receive slices.
const (
	StateReady ServerState = iota
	// StateReturning: available again after a failure or a restart. Its effective
	// capacity grows over Policy.Ramp.
	StateReturning
	// StateDraining: about to leave. Its slices move away at once.
	StateDraining
	// StateLost: failed. Its slices have no owner until they are reassigned.
	StateLost
)

// Reading is a measured value with its age.
type Reading struct {
	Value float64
	Age   time.Duration
	Known bool
}

// Server is one upstream server as the planner sees it.
type Server struct {
	Name             topology.ServerName
	AvailabilityZone topology.AvailabilityZone
	State            ServerState
	// Since is how long the state has lasted.
	Since time.Duration
	// Capacity is relative to the other servers. Zero means 1.
	Capacity float64
	// Observed is the server's load as the hosts measured it, in the unit of
	// Input.Load. Reported is the load that the server itself reports. It is
	// used only without a recent observation, because reports are late and can
	// be wrong.
	Observed, Reported Reading
}

// HeavyKey is the ring position of a key with a high load.
type HeavyKey struct {
	Hash topology.Hash
	Load float64
}

// Weights are the objective weights of a deployment.
type Weights struct {
	Imbalance       float64 `json:"imbalance" yaml:"imbalance"`
	Churn           float64 `json:"churn" yaml:"churn"`
	UnavailableTime float64 `json:"unavailableTime" yaml:"unavailableTime"`
}

// Budget bounds the voluntary moves. Forced moves, which are those away from
// lost, draining or ineligible servers, are not bounded but use up the budget.
type Budget struct {
	// LoadPerMinute is the share of the total load that may move per minute on
	// average.
	LoadPerMinute float64
	// Window is the time over which unused budget accumulates. The budget of
	// one window may be used at once.
	Window time.Duration
	// ConcurrentMoves bounds the moves in flight at once.
	ConcurrentMoves int
}

// capacity returns the share of the total load that may move at once.
func (b Budget) capacity() float64 { return b.LoadPerMinute * b.Window.Minutes() }

// RecentMove is a move that an earlier plan contained.
type RecentMove struct {
	Range topology.Range
	// Share is the share of the total load that moved.
	Share float64
	Age   time.Duration
	// InFlight is true until the new owner holds the range. Until then the
	// range is not split, merged or moved.
	InFlight bool
}

// Input is the input of one planning round.
type Input struct {
	Service    topology.ServiceName
	Assignment *topology.Assignment
	Servers    []Server
	// Load returns the load that the hosts counted in a range, per second.
	Load func(topology.Range) float64
	// Samples is the number of requests from which Load is estimated. Load
	// differences within the sampling error cause no moves. Zero means that
	// Load is exact.
	Samples float64
	// HeavyKeys are the keys with the highest load. Load includes them.
	HeavyKeys []HeavyKey
	// Isolated holds the positions of keys that have an ownership rule for the
	// single key. Each gets a separate slice.
	Isolated []topology.Hash
	// Eligible reports whether a server may own a range. If it is nil, every
	// server may own every range.
	Eligible func(topology.Range, topology.ServerName) bool
	Weights  Weights
	Budget   Budget
	// MoveGap is the time for which a moving range is not served.
	MoveGap time.Duration
	// Recent holds the moves of at least the last four budget windows.
	Recent []RecentMove
	Policy Policy
}

// Reason is the reason for which a move is planned.
type Reason string

// The reasons of moves.
const (
	ReasonLost       Reason = "owner lost"
	ReasonDraining   Reason = "owner draining"
	ReasonIneligible Reason = "owner not eligible"
	ReasonBalance    Reason = "balance"
	ReasonFill       Reason = "fill underused server"
	ReasonRejoin     Reason = "rejoin cold fragment"
)

// Forced reports whether a move for this reason ignores the budget.
func (r Reason) Forced() bool {
	return r == ReasonLost || r == ReasonDraining || r == ReasonIneligible
}

// Move assigns a range to another server. Its range is one that results from the
// plan's splits and merges.
type Move struct {
	Range  topology.Range
	From   topology.ServerName
	To     topology.ServerName
	Reason Reason
	// Share is the share of the total load in the range.
	Share float64
}

// Split divides a slice into parts with the same owner.
type Split struct {
	Range topology.Range
	Parts []topology.Range
}

// Merge joins adjacent slices of one owner.
type Merge struct {
	Parts []topology.Range
	Range topology.Range
}

// WarningKind identifies the condition that a warning reports to the operator.
type WarningKind string

// The kinds of warnings.
const (
	// WarningNoEligibleServer: no available server may own the slice, so it
	// keeps its last owner.
	WarningNoEligibleServer WarningKind = "no eligible server"
	// WarningKeyAboveFairShare: one key exceeds a server's fair share, so that
	// no placement can balance the service.
	WarningKeyAboveFairShare WarningKind = "key above fair share"
)

// Warning is a condition that placement cannot resolve.
type Warning struct {
	Kind  WarningKind
	Range topology.Range
	Owner topology.ServerName
}

// Plan is the result of one planning round.
type Plan struct {
	Splits   []Split
	Merges   []Merge
	Moves    []Move
	Warnings []Warning
	// SuccessorChanges is the number of slices whose successors change.
	SuccessorChanges int
	// Next is the assignment after the plan, with the version of the input.
	Next *topology.Assignment
	// Imbalance is the estimated maximum over mean utilization of available
	// servers before the plan's moves.
	Imbalance float64
}

// Empty reports whether the plan changes nothing.
func (p *Plan) Empty() bool {
	return len(p.Splits) == 0 && len(p.Merges) == 0 && len(p.Moves) == 0 && p.SuccessorChanges == 0
}
