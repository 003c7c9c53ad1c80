// Package standin implements stand-ins for the external systems: the platform's
// store behind its published protocol, and upstream servers.
package standin

import (
	"slices"
	"time"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/granter"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// GrantState is the server side of range grants as a state machine without
// clock or I/O: the caller passes the server's clock reading. One incarnation of a
// server has one GrantState. It is not safe for concurrent use.
type GrantState struct {
	incarnation    string
	highestTerm    topology.Term
	held           granter.GrantSet
	expiry         time.Duration
	drainRequested bool
	inFlightByHash map[topology.Hash]int
	inFlight       int
	// acquisitions records for each part of the held set the version since
	// which it has been held without interruption.
	acquisitions []acquisition
	// drainingRanges lists released ranges in which requests may still run.
	drainingRanges []topology.Range
}

// acquisition is a range and the version of the set that first granted it.
type acquisition struct {
	bounds topology.Range
	since  topology.Version
}

// NewGrantState returns the state of a server that holds nothing.
func NewGrantState(incarnation string) *GrantState {
	return &GrantState{incarnation: incarnation, inFlightByHash: make(map[topology.Hash]int)}
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
		HeldSet: granter.GrantSet{Version: g.held.Version}, Expiry: g.expiry,
		Draining: g.pruneDraining(), DrainRequested: g.drainRequested, InFlight: g.inFlight,
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
	case !g.acceptsVersion(heartbeat):
		return granter.RefusalOlderVersion
	}
	return granter.RefusalNone
}

// acceptsVersion reports whether the heartbeat carries a newer set or renews the
// held one. A repeated heartbeat with the held set counts as a renewal. Other
// ranges under the held version are refused because a version identifies one set.
func (g *GrantState) acceptsVersion(heartbeat granter.Heartbeat) bool {
	if heartbeat.Set == nil {
		return heartbeat.SetVersion == g.held.Version
	}
	if heartbeat.Set.Version != heartbeat.SetVersion {
		return false
	}
	if heartbeat.SetVersion == g.held.Version {
		return slices.Equal(topology.NormalizeRanges(heartbeat.Set.Ranges), g.held.Ranges)
	}
	return heartbeat.SetVersion.NewerThan(g.held.Version)
}

func (g *GrantState) install(heartbeat granter.Heartbeat) {
	if heartbeat.SetVersion == g.held.Version {
		// A delayed renewal must not move the expiry back before that of a later renewal.
		g.expiry = max(g.expiry, heartbeat.Expiry)
		return
	}
	ranges := topology.NormalizeRanges(heartbeat.Set.Ranges)
	candidates := append(g.drainingRanges, topology.SubtractRanges(g.held.Ranges, ranges)...)
	g.drainingRanges = nil
	for _, r := range candidates {
		g.drainingRanges = append(g.drainingRanges, topology.SubtractRanges([]topology.Range{r}, ranges)...)
	}
	g.updateAcquisitions(ranges, heartbeat.SetVersion)
	g.held = granter.GrantSet{Version: heartbeat.SetVersion, Ranges: ranges}
	g.expiry = heartbeat.Expiry
}

// updateAcquisitions records version for the newly granted parts of the set; the
// other parts keep their earlier version.
func (g *GrantState) updateAcquisitions(ranges []topology.Range, version topology.Version) {
	var next []acquisition
	for _, a := range g.acquisitions {
		gone := topology.SubtractRanges([]topology.Range{a.bounds}, ranges)
		for _, kept := range topology.SubtractRanges([]topology.Range{a.bounds}, gone) {
			next = append(next, acquisition{kept, a.since})
		}
	}
	for _, fresh := range topology.SubtractRanges(ranges, g.held.Ranges) {
		next = append(next, acquisition{fresh, version})
	}
	g.acquisitions = next
}

// heldSince returns the version of the set that first granted h without
// interruption since.
func (g *GrantState) heldSince(h topology.Hash) topology.Version {
	for _, a := range g.acquisitions {
		if a.bounds.Contains(h) {
			return a.since
		}
	}
	return g.held.Version
}

// pruneDraining drops released ranges in which no request runs and returns the
// others.
func (g *GrantState) pruneDraining() []topology.Range {
	g.drainingRanges = slices.DeleteFunc(g.drainingRanges, func(r topology.Range) bool {
		for h := range g.inFlightByHash {
			if r.Contains(h) {
				return false
			}
		}
		return true
	})
	return slices.Clone(g.drainingRanges)
}

// Holds reports whether h lies in the held set and the set has not expired.
func (g *GrantState) Holds(h topology.Hash, clock time.Duration) bool {
	return clock < g.expiry && topology.FindRange(g.held.Ranges, h) >= 0
}

// Check returns an error of kind not-owner unless a request for h with the
// fencing token may run now.
func (g *GrantState) Check(h topology.Hash, token topology.Version, clock time.Duration) error {
	switch {
	case topology.FindRange(g.held.Ranges, h) < 0:
		return apierror.New(apierror.KindNotOwner, "position %016x is not in set %s", uint64(h), g.held.Version)
	case clock >= g.expiry:
		return apierror.New(apierror.KindNotOwner, "set %s ended at %s, the clock is %s", g.held.Version, g.expiry, clock)
	case g.heldSince(h).NewerThan(token):
		return apierror.New(apierror.KindNotOwner, "fencing token %s is older than the grant %s", token, g.heldSince(h))
	}
	return nil
}

// BeginRequest records that a request for h starts to run.
func (g *GrantState) BeginRequest(h topology.Hash) {
	g.inFlightByHash[h]++
	g.inFlight++
}

// FinishRequest records the end of a request that BeginRequest recorded.
func (g *GrantState) FinishRequest(h topology.Hash) {
	g.inFlight--
	g.inFlightByHash[h]--
	if g.inFlightByHash[h] == 0 {
		delete(g.inFlightByHash, h)
	}
}

// SetDrainRequested makes every reply ask for the server to be drained.
func (g *GrantState) SetDrainRequested(leaving bool) { g.drainRequested = leaving }

// Held returns the held set and its expiry on the server's clock.
func (g *GrantState) Held() (granter.GrantSet, time.Duration) {
	return granter.GrantSet{Version: g.held.Version, Ranges: slices.Clone(g.held.Ranges)}, g.expiry
}

// InFlight returns the number of running requests.
func (g *GrantState) InFlight() int { return g.inFlight }
