package placement

import (
	"math"
	"time"
)

// Policy holds the planner's constants. Loads are relative to the fair share,
// the mean load of an available server. docs/placement.md gives the
// measurements behind the values.
type Policy struct {
	// SlicesPerServer sets the widest slice: merging never makes fewer slices
	// than servers times this.
	SlicesPerServer int
	// MaxSlicesPerServer bounds the assignment's size.
	MaxSlicesPerServer int
	// HeavyShare is the load from which a key gets its own slice. It keeps the
	// slice until MergeShare allows a merge.
	HeavyShare float64
	// SplitShare is the load above which a slice is halved.
	SplitShare float64
	// MergeShare is the load below which two neighbors are merged; far below
	// SplitShare, so that a merge is not undone.
	MergeShare float64
	// Tolerance is the least excess over the mean that causes moves.
	Tolerance float64
	// Scarcity raises tolerance and price as the budget is used up, so that the
	// rest remains for the largest excesses. It is added in full when nothing
	// is left.
	Scarcity float64
	// ChurnCost and UnavailableCost price the move of one fair share, in units
	// of squared relative excess, per unit of weight. UnavailableCost is for a
	// gap of 20 ms.
	ChurnCost, UnavailableCost float64
	// DeficitWeight is the weight of squared deficits relative to squared
	// excesses: underused servers matter less, but do matter.
	DeficitWeight float64
	// LowWater is the utilization below which a server is filled although no
	// other is above the tolerance.
	LowWater float64
	// Dwell is the time for which a moved slice stays, unless forced.
	Dwell time.Duration
	// Ramp is the warm-up time of a returning server and RampFloor its share
	// of capacity at the start.
	Ramp      time.Duration
	RampFloor float64
	// ReadingMaxAge is the age from which readings are ignored.
	ReadingMaxAge time.Duration
	// MinimumSamples is the sample size below which no voluntary move is made.
	MinimumSamples float64
}

// DefaultPolicy returns the measured policy.
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

// DefaultBudget returns the budget for the target of 2 % per minute. It is
// averaged over five minutes, because within one minute it would not suffice to
// move the neighbors of a single new hot key.
func DefaultBudget() Budget {
	return Budget{LoadPerMinute: 0.017, Window: 5 * time.Minute, ConcurrentMoves: 8}
}

// moveCost returns the price of moving one fair share, in units of squared
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

// tolerance returns the excess over the mean that causes moves: the policy's,
// at least what the move cost makes worthwhile, and at least what the sample
// can show.
func tolerance(in *Input, cost float64, servers int) float64 {
	t := math.Max(in.Policy.Tolerance, cost/2)
	if in.Samples > 0 {
		// Three standard deviations of a server's count.
		t = math.Max(t, 3*math.Sqrt(float64(servers)/in.Samples))
	}
	return t
}

// effectiveCapacity returns the capacity that the planner may use now.
func effectiveCapacity(s Server, policy Policy) float64 {
	capacity := s.Capacity
	if capacity <= 0 {
		capacity = 1
	}
	switch s.State {
	case Ready:
		return capacity
	case Returning:
		if policy.Ramp <= 0 || s.Since >= policy.Ramp {
			return capacity
		}
		return capacity * (policy.RampFloor + (1-policy.RampFloor)*float64(max(s.Since, 0))/float64(policy.Ramp))
	default:
		return 0
	}
}
