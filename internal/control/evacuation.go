package control

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/registry"
	"github.com/cassiasill/cassiasill/internal/store"
)

// Limits of evacuations.
const (
	// DefaultEvacuationLimit is the time after the store's response to the operator from
	// which on no request may be written to a server of an evacuated zone.
	DefaultEvacuationLimit = 5 * time.Second
	// heldKeysPeriod is how long after a host has learned of an evacuation it sends
	// requests for keys to the owners in the zone, whose keys the leader moves meanwhile.
	heldKeysPeriod = 2 * time.Second
	// evacuationMargin is the part of the limit that is left for the time between the
	// check of a server and the arrival of the request.
	evacuationMargin = 250 * time.Millisecond
	// maxEvacuatedZones bounds the zones in force and, separately, the withdrawn ones that
	// a host remembers. It is far above the zones of a deployment.
	maxEvacuatedZones = 256
)

// Evacuation is what is known of the evacuation of one availability zone.
type Evacuation struct {
	// Revision is the store revision of the write that began or ended the evacuation. An
	// end that was found by a listing has the revision of the listing.
	Revision  int64
	Withdrawn bool
	// KnownSince is when this host learned of it, and KeysUntil until when this host sends
	// requests for keys to servers of the zone that hold them. Both are local.
	KnownSince, KeysUntil boottime.Instant
}

// Evacuations is the immutable set of evacuated availability zones. The zero value is
// an unknown set.
type Evacuations struct {
	// Revision is the store revision up to which the set is current; 0 if unknown.
	Revision int64
	// zones also holds withdrawn evacuations: without them a host that has missed the
	// end could bring an evacuation back after a restore of the store.
	zones map[string]Evacuation
	hash  uint64
}

// NewEvacuations returns the set of the given evacuations by zone. The map must not be
// modified afterwards.
func NewEvacuations(revision int64, zones map[string]Evacuation) Evacuations {
	zones = limitZones(zones)
	out := Evacuations{Revision: revision, zones: zones}
	for zone, e := range zones {
		if !e.Withdrawn {
			out.hash += xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(zone), uint64(e.Revision)))
		}
	}
	return out
}

// limitZones drops the zones beyond maxEvacuatedZones: the latest of those in force,
// as if their keys had not been written, and the earliest of the withdrawn ones.
func limitZones(zones map[string]Evacuation) map[string]Evacuation {
	if len(zones) <= maxEvacuatedZones {
		return zones
	}
	out := make(map[string]Evacuation, len(zones))
	for _, withdrawn := range []bool{false, true} {
		var names []string
		for zone, e := range zones {
			if e.Withdrawn == withdrawn {
				names = append(names, zone)
			}
		}
		slices.SortFunc(names, func(a, b string) int { return cmp.Compare(zones[a].Revision, zones[b].Revision) })
		if withdrawn {
			slices.Reverse(names)
		}
		for _, zone := range names[:min(len(names), maxEvacuatedZones)] {
			out[zone] = zones[zone]
		}
	}
	return out
}

// Known reports whether the set has been read from the store by this or another host.
func (e Evacuations) Known() bool { return e.Revision > 0 }

// Digest returns a hash of the evacuations in force, which is never 0.
func (e Evacuations) Digest() uint64 { return e.hash | 1 }

// Get returns the evacuation of a zone that is in force.
func (e Evacuations) Get(zone string) (Evacuation, bool) {
	found, known := e.zones[zone]
	return found, known && !found.Withdrawn
}

// Zones returns the evacuated zones in order.
func (e Evacuations) Zones() (zones []string) {
	for zone, state := range e.zones {
		if !state.Withdrawn {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}

// merge returns what both sets say together. The set with the higher revision wins.
// It says nothing about evacuations from before the store was restored from an older
// copy, which the copy may lack: those stay as the other set knows them.
func (e Evacuations) merge(other Evacuations) Evacuations {
	newer, older := other, e
	if e.Revision > other.Revision {
		newer, older = e, other
	}
	if !older.Known() {
		return newer
	}
	zones := make(map[string]Evacuation, len(newer.zones))
	maps.Copy(zones, newer.zones)
	for zone, known := range older.zones {
		decided, isDecided := newer.zones[zone]
		switch {
		case isDecided && decided.Revision >= known.Revision:
		case known.Revision > newer.Revision, older.Revision == newer.Revision,
			store.EraOf(known.Revision) < store.EraOf(newer.Revision):
			zones[zone] = known
		case !known.Withdrawn:
			zones[zone] = Evacuation{Revision: newer.Revision, Withdrawn: true}
		case !isDecided:
			zones[zone] = known
		}
	}
	return NewEvacuations(newer.Revision, zones)
}

// withChanges returns the set after the changes, which are all up to the revision.
// Changes that the set already covers are ignored: a poll may repeat them.
func (e Evacuations) withChanges(changes []evacuationChange, revision int64) Evacuations {
	zones := make(map[string]Evacuation, len(e.zones)+len(changes))
	maps.Copy(zones, e.zones)
	for _, c := range changes {
		if c.Revision > e.Revision && c.Revision > zones[c.zone].Revision {
			zones[c.zone] = c.Evacuation
		}
	}
	return NewEvacuations(max(e.Revision, revision), zones)
}

// evacuationChange is the begin or the end of the evacuation of a zone.
type evacuationChange struct {
	zone string
	Evacuation
}

// withLocalTimes sets the local times of the evacuations in force. Those of zones that
// were evacuated before stay. The former set was confirmed at the given instant, so an
// evacuation that it lacks has begun later.
func (e Evacuations) withLocalTimes(former Evacuations, formerConfirmedAt, now boottime.Instant, limit time.Duration) Evacuations {
	zones := make(map[string]Evacuation, len(e.zones))
	for zone, state := range e.zones {
		before, inForce := former.Get(zone)
		switch {
		case state.Withdrawn:
			state.KnownSince, state.KeysUntil = 0, 0
		case inForce:
			state.KnownSince, state.KeysUntil = before.KnownSince, before.KeysUntil
		default:
			state.KnownSince, state.KeysUntil = now, 0
			if former.Known() && formerConfirmedAt != 0 {
				state.KeysUntil = min(now.Add(heldKeysPeriod), formerConfirmedAt.Add(limit-evacuationMargin))
			}
		}
		zones[zone] = state
	}
	e.zones = zones
	return e
}

// TakesNewRequests reports whether hosts may send any new requests to the server.
func (s *Snapshot) TakesNewRequests(server registry.Server) bool {
	_, evacuated := s.Evacuations.Get(server.AvailabilityZone)
	return !server.Draining && !evacuated
}

// TakesNewRequestsAt reports whether a listed server that takes new requests has the
// address. It is false while the evacuated zones are unknown.
func (s *Snapshot) TakesNewRequestsAt(address string) bool {
	if s.Servers == nil || !s.Evacuations.Known() {
		return false
	}
	for _, server := range s.Servers.Servers {
		if server.Address == address {
			return s.TakesNewRequests(server)
		}
	}
	return false
}

// TakesKeysUntil returns until when hosts may send requests to a server that takes no
// other new ones, for the keys that it holds. The result is 0 if they may not.
func (s *Snapshot) TakesKeysUntil(server registry.Server) boottime.Instant {
	state, evacuated := s.Evacuations.Get(server.AvailabilityZone)
	if !evacuated || server.Draining {
		return 0
	}
	return state.KeysUntil
}

// FullyEvacuated returns the services that have servers in evacuated zones and none
// that takes new requests.
func (s *Snapshot) FullyEvacuated() map[string]bool {
	out := make(map[string]bool)
	if s.Servers == nil || len(s.Evacuations.Zones()) == 0 {
		return out
	}
	remaining := make(map[string]bool)
	for _, server := range s.Servers.Servers {
		_, evacuated := s.Evacuations.Get(server.AvailabilityZone)
		out[server.Service] = out[server.Service] || evacuated
		remaining[server.Service] = remaining[server.Service] || s.TakesNewRequests(server)
	}
	maps.DeleteFunc(out, func(service string, evacuated bool) bool { return !evacuated || remaining[service] })
	return out
}

// EvacuatedServersWithKeys returns how many servers of an evacuated zone hold keys.
func (s *Snapshot) EvacuatedServersWithKeys(zone string) int {
	holders := make(map[string]bool)
	for _, assignment := range s.Assignments {
		for _, r := range assignment.Ranges {
			if s.Servers != nil && r.Owner != "" && s.Servers.Servers[r.Owner].AvailabilityZone == zone {
				holders[r.Owner] = true
			}
		}
	}
	return len(holders)
}

func evacuationsToProto(e Evacuations) []*fleetpb.Evacuation {
	var out []*fleetpb.Evacuation
	for zone, state := range e.zones {
		out = append(out, &fleetpb.Evacuation{AvailabilityZone: zone, Revision: state.Revision, Withdrawn: state.Withdrawn})
	}
	return out
}

// evacuationsFromProto ignores what no host of this build sends.
func evacuationsFromProto(list []*fleetpb.Evacuation, revision int64) Evacuations {
	zones := make(map[string]Evacuation, len(list))
	for _, e := range list {
		if e != nil && e.AvailabilityZone != "" && e.Revision > 0 && revision > 0 {
			zones[e.AvailabilityZone] = Evacuation{Revision: e.Revision, Withdrawn: e.Withdrawn}
		}
	}
	return NewEvacuations(max(revision, 0), zones)
}
