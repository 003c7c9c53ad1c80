package placement

import (
	"math"
	"time"
)

// Policy holds the planner's parameters. Loads are relative to the fair share,
// which is the mean load of an available server. docs/placement.md explains the
// values.
type Policy struct {
	// SlicesPerServer sets the maximum width of a merged slice: merges never
	// leave fewer than this number of slices per available server.
	SlicesPerServer int
	// MaxSlicesPerServer bounds the number of slices that halving may create,
	// relative to the number of available servers.
	MaxSlicesPerServer int
	// HeavyShare is the minimum load of a key that gets a separate slice. The
	// key keeps the slice until MergeShare allows a merge.
	HeavyShare float64
	// SplitShare is the load above which a slice is halved.
	SplitShare float64
	// MergeShare is the joint load below which two neighbors are merged. It is
	// far below SplitShare, so that the next rounds do not split them again.
	MergeShare float64
	// Tolerance is the minimum excess over the mean that causes moves.
	Tolerance float64
	// Scarcity is added to the tolerance and to the move cost in proportion to
	// the used part of the budget, so that the remaining budget goes to the
	// largest excesses. It is added in full when the budget is used up.
	Scarcity float64
	// ChurnCost and UnavailableCost are the costs of moving one fair share, in
	// units of squared relative excess, per unit of weight. UnavailableCost is
	// for a move gap of 20 ms.
	ChurnCost, UnavailableCost float64
	// DeficitWeight is the weight of squared deficits relative to squared
	// excesses. Underused servers count less than overused ones.
	DeficitWeight float64
	// LowWater is the utilization below which a server receives load even if no
	// other server is above the tolerance.
	LowWater float64
	// Dwell is the minimum time between a move of a slice and its next voluntary
	// move.
	Dwell time.Duration
	// Ramp is the warmup time of a returning server. RampFloor is the share of
	// its capacity that is used at the start of the warmup.
	Ramp      time.Duration
	RampFloor float64
	// ReadingMaxAge is the maximum age of a reading that is used.
	ReadingMaxAge time.Duration
	// MinimumSamples is the sample size below which no voluntary moves are planned.
	MinimumSamples float64
}

// DefaultPolicy returns the policy that is used when Input has none.
func DefaultPolicy() Policy {
	return Policy{
		SlicesPerServer:    16,
		MaxSlicesPerServer: 64,
		HeavyShare:         0.1,
		SplitShare:         0.2,
		MergeShare:         0.04,
		Tolerance:          0.05,
		Scarcity:           0.15,
		ChurnCost:          0.03,
		UnavailableCost:    0.03,
		DeficitWeight:      0.25,
		LowWater:           0.6,
		Dwell:              30 * time.Second,
		Ramp:               time.Minute,
		RampFloor:          0.2,
		ReadingMaxAge:      5 * time.Second,
		MinimumSamples:     1000,
	}
}

// DefaultBudget returns the budget for the churn target of 2 % of the load per
// minute. The window is five minutes, because the budget of one minute would not
// suffice to move the neighbors of a single new hot key.
func DefaultBudget() Budget {
	return Budget{LoadPerMinute: 0.017, Window: 5 * time.Minute, ConcurrentMoves: 8}
}

// moveCost returns the cost of moving one fair share, in units of squared
// relative excess.
func moveCost(in *Input) float64 {
	w := in.Weights
	if w == (Weights{}) {
		w = Weights{Imbalance: 1, Churn: 1, UnavailableTime: 1}
	}
	const referenceGap = 20 * time.Millisecond
	gap := float64(in.MoveGap) / float64(referenceGap)
	if in.MoveGap == 0 {
		gap = 1
	}
	cost := w.Churn*in.Policy.ChurnCost + w.UnavailableTime*in.Policy.UnavailableCost*gap
	return cost / math.Max(w.Imbalance, 1e-6)
}

// tolerance returns the minimum excess over the mean that causes moves. It is
// the policy's tolerance, raised to the excess that justifies the move cost and
// to the sampling error.
func tolerance(in *Input, cost float64, servers int) float64 {
	t := math.Max(in.Policy.Tolerance, cost/2)
	if in.Samples > 0 {
		// Three standard deviations of the request count of one server.
		t = math.Max(t, 3*math.Sqrt(float64(servers)/in.Samples))
	}
	return t
}

// effectiveCapacity returns the capacity that the planner may use, which depends
// on the state of the server and on its warmup.
func effectiveCapacity(s Server, policy Policy) float64 {
	capacity := s.Capacity
	if capacity <= 0 {
		capacity = 1
	}
	switch s.State {
	case StateReady:
		return capacity
	case StateReturning:
		if policy.Ramp <= 0 || s.Since >= policy.Ramp {
			return capacity
		}
		return capacity * (policy.RampFloor + (1-policy.RampFloor)*float64(max(s.Since, 0))/float64(policy.Ramp))
	default:
		return 0
	}
}
