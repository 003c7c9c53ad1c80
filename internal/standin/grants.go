// Package standin holds stand-ins for the outside systems: the platform's store
// behind its published protocol, and upstream servers.
package standin

import (
	"slices"
	"time"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/granter"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// GrantState is the server side of grants as a state machine without clock or
// I/O: the caller passes the server's clock reading. One incarnation of a
// server has one GrantState. It is not safe for concurrent use.
type GrantState struct {
	incarnation string
	highestTerm topology.Term
	held        granter.GrantSet
	end         time.Duration
	leaving     bool
	running     map[topology.Hash]int
	inFlight    int
	// acquired notes since which version each part of the held set has been
	// held without a break.
	acquired []acquisition
	// released lists ranges given up in which requests may still run.
	released []topology.Range
}

// acquisition is a range that has been held since a version.
type acquisition struct {
	bounds topology.Range
	since  topology.Version
}

// NewGrantState returns the state of a server that holds nothing.
func NewGrantState(incarnation string) *GrantState {
	return &GrantState{incarnation: incarnation, running: make(map[topology.Hash]int)}
}

// Apply handles one heartbeat at the given clock reading.
func (g *GrantState) Apply(heartbeat granter.Heartbeat, clock time.Duration) granter.Reply {
	refused := g.refusal(heartbeat, clock)
	if refused != granter.RefusalLowerTerm {
		g.highestTerm = heartbeat.Term
	}
	if refused == granter.RefusalNone && heartbeat.Expiry != 0 {
		g.install(heartbeat)
	}
	reply := granter.Reply{
		Incarnation: g.incarnation, Clock: clock, HighestTerm: g.highestTerm, Refusal: refused,
		HeldSet: granter.GrantSet{Version: g.held.Version}, Expiry: g.end,
		Draining: g.draining(), DrainRequested: g.leaving, InFlight: g.inFlight,
	}
	if heartbeat.Expiry == 0 || heartbeat.SetVersion != g.held.Version {
		reply.HeldSet.Ranges = slices.Clone(g.held.Ranges)
	}
	return reply
}

func (g *GrantState) refusal(heartbeat granter.Heartbeat, clock time.Duration) granter.Refusal {
	switch {
	case heartbeat.Term < g.highestTerm:
		return granter.RefusalLowerTerm
	case heartbeat.Expiry == 0 && heartbeat.Set == nil:
		return granter.RefusalNone
	case heartbeat.Incarnation != g.incarnation:
		return granter.RefusalOtherIncarnation
	case heartbeat.Expiry <= 0 || heartbeat.Expiry > clock+granter.GrantTTL:
		return granter.RefusalExpiryOutOfBounds
	case !g.versionFits(heartbeat):
		return granter.RefusalOlderVersion
	}
	return granter.RefusalNone
}

// versionFits accepts a newer set, or the renewal of the held one. A repeated
// heartbeat with the held set counts as its renewal; other ranges under the
// held version are refused because a version names one set.
func (g *GrantState) versionFits(heartbeat granter.Heartbeat) bool {
	if heartbeat.Set == nil {
		return heartbeat.SetVersion == g.held.Version
	}
	if heartbeat.Set.Version != heartbeat.SetVersion {
		return false
	}
	if heartbeat.SetVersion == g.held.Version {
		return slices.Equal(topology.NormalizeRanges(heartbeat.Set.Ranges), g.held.Ranges)
	}
	return heartbeat.SetVersion.Newer(g.held.Version)
}

func (g *GrantState) install(heartbeat granter.Heartbeat) {
	if heartbeat.SetVersion == g.held.Version {
		// A delayed renewal never shortens the end that a later one gave.
		g.end = max(g.end, heartbeat.Expiry)
		return
	}
	ranges := topology.NormalizeRanges(heartbeat.Set.Ranges)
	candidates := append(g.released, topology.SubtractRanges(g.held.Ranges, ranges)...)
	g.released = nil
	for _, r := range candidates {
		g.released = append(g.released, topology.SubtractRanges([]topology.Range{r}, ranges)...)
	}
	g.acquire(ranges, heartbeat.SetVersion)
	g.held = granter.GrantSet{Version: heartbeat.SetVersion, Ranges: ranges}
	g.end = heartbeat.Expiry
}

// acquire notes which parts of the new set are held since version; the others
// keep their earlier version.
func (g *GrantState) acquire(ranges []topology.Range, version topology.Version) {
	var next []acquisition
	for _, a := range g.acquired {
		gone := topology.SubtractRanges([]topology.Range{a.bounds}, ranges)
		for _, kept := range topology.SubtractRanges([]topology.Range{a.bounds}, gone) {
			next = append(next, acquisition{kept, a.since})
		}
	}
	for _, fresh := range topology.SubtractRanges(ranges, g.held.Ranges) {
		next = append(next, acquisition{fresh, version})
	}
	g.acquired = next
}

// since returns the version since which h has been held.
func (g *GrantState) since(h topology.Hash) topology.Version {
	for _, a := range g.acquired {
		if a.bounds.Contains(h) {
			return a.since
		}
	}
	return g.held.Version
}

// draining forgets released ranges in which nothing runs and returns the rest.
func (g *GrantState) draining() []topology.Range {
	g.released = slices.DeleteFunc(g.released, func(r topology.Range) bool {
		for h := range g.running {
			if r.Contains(h) {
				return false
			}
		}
		return true
	})
	return slices.Clone(g.released)
}

// Holds reports whether h lies in the held set and the set has not ended.
func (g *GrantState) Holds(h topology.Hash, clock time.Duration) bool {
	return clock < g.end && topology.FindRange(g.held.Ranges, h) >= 0
}

// Check returns an error of kind not-owner unless a request for h with the
// fencing token may run now.
func (g *GrantState) Check(h topology.Hash, token topology.Version, clock time.Duration) error {
	switch {
	case topology.FindRange(g.held.Ranges, h) < 0:
		return apierror.New(apierror.KindNotOwner, "position %016x is not in set %s", uint64(h), g.held.Version)
	case clock >= g.end:
		return apierror.New(apierror.KindNotOwner, "set %s ended at %s, the clock is %s", g.held.Version, g.end, clock)
	case g.since(h).Newer(token):
		return apierror.New(apierror.KindNotOwner, "fencing token %s is older than the grant %s", token, g.since(h))
	}
	return nil
}

// Begin notes that a request for h runs.
func (g *GrantState) Begin(h topology.Hash) {
	g.running[h]++
	g.inFlight++
}

// Finish ends one request that Begin noted.
func (g *GrantState) Finish(h topology.Hash) {
	g.inFlight--
	g.running[h]--
	if g.running[h] == 0 {
		delete(g.running, h)
	}
}

// SetLeaving makes every reply ask for the server to be drained.
func (g *GrantState) SetLeaving(leaving bool) { g.leaving = leaving }

// Held returns the held set and its end on the server's clock.
func (g *GrantState) Held() (granter.GrantSet, time.Duration) {
	return granter.GrantSet{Version: g.held.Version, Ranges: slices.Clone(g.held.Ranges)}, g.end
}

// InFlight returns the number of requests that run.
func (g *GrantState) InFlight() int { return g.inFlight }
