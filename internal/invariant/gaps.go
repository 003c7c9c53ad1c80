package invariant

import (
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// GapTracker measures how long positions on the hash ring of one service are held
// by no server.
type GapTracker struct {
	covered bool
	gaps    []gap
	longest time.Duration
}

type gap struct {
	bounds topology.Range
	since  time.Time
}

// Observe records the ranges that servers hold under valid grants at now. Gaps
// count only after the full ring was held for the first time.
func (g *GapTracker) Observe(now time.Time, held []topology.Range) {
	missing := topology.SubtractRanges([]topology.Range{topology.FullRange}, held)
	if !g.covered {
		g.covered = len(missing) == 0
		return
	}
	var next []gap
	for _, m := range missing {
		remaining := []topology.Range{m}
		for _, earlier := range g.gaps {
			if !earlier.bounds.Overlaps(m) {
				continue
			}
			common := topology.Range{First: max(earlier.bounds.First, m.First), Last: min(earlier.bounds.Last, m.Last)}
			next = append(next, gap{common, earlier.since})
			remaining = topology.SubtractRanges(remaining, []topology.Range{common})
		}
		for _, r := range remaining {
			next = append(next, gap{r, now})
		}
	}
	g.gaps = next
	for _, current := range next {
		g.longest = max(g.longest, now.Sub(current.since))
	}
}

// HasBeenCovered reports whether the full ring has been held at least once.
func (g *GapTracker) HasBeenCovered() bool { return g.covered }

// LongestGap returns the longest time for which some position was not held.
func (g *GapTracker) LongestGap() time.Duration { return g.longest }
