package peersync

import (
	"cmp"
	"slices"

	"github.com/cassiasill/cassiasill/internal/topology"
	"github.com/cespare/xxhash/v2"
)

// RelaysPerAvailabilityZone bounds the fan-out across zones. With two relays, the
// loss of one does not interrupt replication.
const RelaysPerAvailabilityZone = 2

// Relays returns the relays of an availability zone among the live hosts. They are
// chosen by rendezvous hashing, so that a host that joins or leaves does not
// change the order of the others.
func Relays(live []topology.Host, zone topology.AvailabilityZone) []topology.Host {
	type scored struct {
		host  topology.Host
		score uint64
	}
	var candidates []scored
	for _, h := range live {
		if h.AvailabilityZone == zone {
			candidates = append(candidates, scored{h, xxhash.Sum64String("relay/" + string(zone) + "/" + string(h.Name))})
		}
	}
	slices.SortFunc(candidates, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.host.Name, b.host.Name))
	})
	var out []topology.Host
	for _, c := range candidates[:min(len(candidates), RelaysPerAvailabilityZone)] {
		out = append(out, c.host)
	}
	return out
}

// IsRelay reports whether the named host is a relay of its zone.
func IsRelay(live []topology.Host, self topology.Host) bool {
	return slices.ContainsFunc(Relays(live, self.AvailabilityZone), func(h topology.Host) bool { return h.Name == self.Name })
}

// Sources returns the hosts from which self pulls: the relays of its zone, and
// for a relay also the hosts of its zone and the relays of the other zones.
func Sources(live []topology.Host, self topology.Host) []topology.Host {
	relay := IsRelay(live, self)
	var out []topology.Host
	for _, zone := range zonesOf(live) {
		for _, h := range Relays(live, zone) {
			if h.Name != self.Name && (relay || zone == self.AvailabilityZone) {
				out = append(out, h)
			}
		}
	}
	if relay {
		for _, h := range live {
			if h.AvailabilityZone == self.AvailabilityZone && h.Name != self.Name && !IsRelay(live, h) {
				out = append(out, h)
			}
		}
	}
	return out
}

func zonesOf(hosts []topology.Host) []topology.AvailabilityZone {
	var zones []topology.AvailabilityZone
	for _, h := range hosts {
		zones = append(zones, h.AvailabilityZone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}
