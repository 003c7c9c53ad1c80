package invariant

import (
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// GapTracker measures how long positions of one service's ring go without a
// server that holds them.
type GapTracker struct {
	started bool
	gaps    []gap
	longest time.Duration
}

type gap struct {
	bounds topology.Range
	since  time.Time
}

// Observe takes the ranges that servers validly hold at now. Gaps count from
// the first time that the whole ring was held.
func (g *GapTracker) Observe(now time.Time, held []topology.Range) {
	missing := topology.SubtractRanges([]topology.Range{topology.FullRange}, held)
	if !g.started {
		g.started = len(missing) == 0
		return
	}
	var next []gap
	for _, m := range missing {
		rest := []topology.Range{m}
		for _, old := range g.gaps {
			if !old.bounds.Overlaps(m) {
				continue
			}
			common := topology.Range{First: max(old.bounds.First, m.First), Last: min(old.bounds.Last, m.Last)}
			next = append(next, gap{common, old.since})
			rest = topology.SubtractRanges(rest, []topology.Range{common})
		}
		for _, r := range rest {
			next = append(next, gap{r, now})
		}
	}
	g.gaps = next
	for _, current := range next {
		g.longest = max(g.longest, now.Sub(current.since))
	}
}

// Covered reports whether the whole ring has been held once.
func (g *GapTracker) Covered() bool { return g.started }

// Longest returns the longest time for which a position was not held.
func (g *GapTracker) Longest() time.Duration { return g.longest }
