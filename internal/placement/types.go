// Package placement plans which server owns which slice of the ring. It is
// pure: the same input gives the same plan, and time is passed in as ages.
package placement

import (
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// ServerState tells whether a server may own slices.
type ServerState uint8

// The states of a server. Only ready and returning servers receive slices.
const (
	Ready ServerState = iota
	// Returning: available again after a loss or a restart; its capacity ramps
	// up over Policy.Ramp.
	Returning
	// Draining: leaving; its slices move away at once.
	Draining
	// Gone: lost; its slices have no owner until they are assigned again.
	Gone
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
	// Capacity is relative to the other servers; zero counts as 1.
	Capacity float64
	// Observed is the server's load as the hosts measured it, in the unit of
	// Input.Load. Reported is what the server states about itself; it is used
	// only when nothing recent was observed, because reports lag and mislead.
	Observed, Reported Reading
}

// HeavyKey is a position that carries much load alone.
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

// Budget bounds the voluntary moves. Moves away from lost, draining or
// ineligible servers are not bounded, but count.
type Budget struct {
	// LoadPerMinute is the share of the total load that may move per minute in
	// the long run.
	LoadPerMinute float64
	// Window is the time whose budget may be saved up and spent at once.
	Window time.Duration
	// ConcurrentMoves bounds the moves in flight at once.
	ConcurrentMoves int
}

// capacity is the share that may move at once.
func (b Budget) capacity() float64 { return b.LoadPerMinute * b.Window.Minutes() }

// RecentMove is a move that an earlier plan contained.
type RecentMove struct {
	Range topology.Range
	// Share is the share of the total load that moved.
	Share float64
	Age   time.Duration
	// InFlight is true until the new owner holds the range; such a range is
	// neither split, merged nor moved.
	InFlight bool
}

// Input is all that the planner knows.
type Input struct {
	Service    topology.ServiceName
	Assignment *topology.Assignment
	Servers    []Server
	// Load returns the load that the hosts counted in a range, per second.
	Load func(topology.Range) float64
	// Samples is the number of requests behind Load; differences that such a
	// sample cannot show cause no moves. Zero means that Load is exact.
	Samples float64
	// HeavyKeys are the keys with the highest load; Load includes them.
	HeavyKeys []HeavyKey
	// Isolated are positions of keys with an ownership rule of their own; each
	// gets its own slice.
	Isolated []topology.Hash
	// Eligible tells whether a server may own a range; nil means that each may.
	Eligible func(topology.Range, topology.ServerName) bool
	Weights  Weights
	Budget   Budget
	// MoveGap is the measured time for which a moving range is not served.
	MoveGap time.Duration
	// Recent holds the moves of at least the last four budget windows.
	Recent []RecentMove
	Policy Policy
}

// Reason tells why a move is planned.
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

// Forced reports whether the move is made regardless of the budget.
func (r Reason) Forced() bool {
	return r == ReasonLost || r == ReasonDraining || r == ReasonIneligible
}

// Move gives a range to another server. Ranges are those after the plan's
// splits and merges.
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

// WarningKind tells what the operator should know.
type WarningKind string

// The kinds of warnings.
const (
	// WarningNoEligibleServer: the slice keeps its last owner.
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

// Plan is the planner's output.
type Plan struct {
	Splits   []Split
	Merges   []Merge
	Moves    []Move
	Warnings []Warning
	// SuccessorChanges counts the slices whose successors differ.
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
