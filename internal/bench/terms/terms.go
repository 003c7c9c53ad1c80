// Package terms compares two ways to choose the term of a new leader when
// witnesses keep promises in memory only: one above the highest term that the
// candidate has seen, and the hybrid logical timestamp of topology.NextTerm.
package terms

import (
	"math/rand/v2"
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// Options set up a run.
type Options struct {
	Elections int
	Witnesses int
	// Restart is the probability that a witness lost its memory since the
	// last election.
	Restart float64
	// Skew is the largest difference of a host's wall clock from true time.
	Skew time.Duration
	// Interval is the mean time between elections.
	Interval time.Duration
	Seed     uint64
}

// Result counts the elections whose term servers refuse, because an earlier
// leader had a higher one: such a leader must be elected again.
type Result struct {
	Elections      int
	CounterRefused int
	HybridRefused  int
}

// Run compares the two ways on the same elections.
func Run(o Options) Result {
	random := rand.New(rand.NewPCG(o.Seed, o.Seed))
	counter, hybrid := make([]topology.Term, o.Witnesses), make([]topology.Term, o.Witnesses)
	var counterServers, hybridServers topology.Term
	out := Result{Elections: o.Elections}
	now := time.Unix(1_800_000_000, 0)
	for range o.Elections {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(o.Interval)))
		for i := range o.Witnesses {
			if random.Float64() < o.Restart {
				counter[i], hybrid[i] = 0, 0
			}
		}
		majority := random.Perm(o.Witnesses)[:o.Witnesses/2+1]
		var counterSeen, hybridSeen topology.Term
		for _, i := range majority {
			counterSeen, hybridSeen = max(counterSeen, counter[i]), max(hybridSeen, hybrid[i])
		}
		skew := time.Duration((2*random.Float64() - 1) * float64(o.Skew))
		counterTerm, hybridTerm := counterSeen+1, topology.NextTerm(hybridSeen, now.Add(skew))
		if counterTerm <= counterServers {
			out.CounterRefused++
			counterTerm = counterServers + 1 // learnt from the servers' replies
		}
		if hybridTerm <= hybridServers {
			out.HybridRefused++
			hybridTerm = hybridServers + 1
		}
		counterServers, hybridServers = counterTerm, hybridTerm
		for _, i := range majority {
			counter[i], hybrid[i] = counterTerm, hybridTerm
		}
	}
	return out
}
