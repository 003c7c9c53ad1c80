package leadership

import (
	"cmp"
	"slices"

	"github.com/cassiasill/cassiasill/internal/peer/peerpb"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// MaxWitnesses is the largest number of witnesses. Five survive the loss of a
// whole availability zone and of one more host.
const MaxWitnesses = 5

// Record names the witnesses. Consecutive records differ by exactly one host,
// so that any majority of one shares a witness with any majority of the next:
// replacing a host in one step would allow disjoint majorities, and with them
// two leaders, under the old and the new record. A replacement therefore takes
// two records and the number of witnesses is even in between.
type Record struct {
	Version uint64              `json:"version"`
	Hosts   []topology.HostName `json:"hosts"`
	// Previous lists the hosts of the record before. A leader writes the next
	// record only after a majority of them refuses the previous record.
	Previous []topology.HostName `json:"previous,omitempty"`
	// ID is unique to the write and resolves a lost answer of the store.
	ID string `json:"id"`
}

// Majority returns how many witnesses make a leader.
func (r Record) Majority() int { return len(r.Hosts)/2 + 1 }

// Names reports whether host is a witness.
func (r Record) Names(host topology.HostName) bool { return slices.Contains(r.Hosts, host) }

func (r Record) message() *peerpb.WitnessRecord {
	if r.Version == 0 {
		return nil
	}
	out := &peerpb.WitnessRecord{Version: r.Version}
	for _, h := range r.Hosts {
		out.Hosts = append(out.Hosts, string(h))
	}
	return out
}

func recordOf(m *peerpb.WitnessRecord) Record {
	out := Record{Version: m.GetVersion()}
	for _, h := range m.GetHosts() {
		out.Hosts = append(out.Hosts, topology.HostName(h))
	}
	return out
}

// wantedWitnesses is the largest odd number that the hosts and MaxWitnesses
// allow.
func wantedWitnesses(hosts int) int {
	n := min(hosts, MaxWitnesses)
	if n%2 == 0 {
		n--
	}
	return max(n, 0)
}

// addWitness returns the host to add to the chosen ones: from the availability
// zone that has the fewest, then by name.
func addWitness(hosts []topology.Host, chosen []topology.HostName, exclude func(topology.HostName) bool) (topology.HostName, bool) {
	perZone := make(map[topology.AvailabilityZone]int)
	var candidates []topology.Host
	for _, h := range hosts {
		switch {
		case slices.Contains(chosen, h.Name):
			perZone[h.AvailabilityZone]++
		case !h.Leaving && (exclude == nil || !exclude(h.Name)):
			candidates = append(candidates, h)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	best := slices.MinFunc(candidates, func(a, b topology.Host) int {
		return cmp.Or(cmp.Compare(perZone[a.AvailabilityZone], perZone[b.AvailabilityZone]), cmp.Compare(a.Name, b.Name))
	})
	return best.Name, true
}

// firstRecord chooses the witnesses of a new deployment.
func firstRecord(hosts []topology.Host, id string) (Record, bool) {
	live := slices.DeleteFunc(slices.Clone(hosts), func(h topology.Host) bool { return h.Leaving })
	r := Record{Version: 1, ID: id}
	for range wantedWitnesses(len(live)) {
		if name, ok := addWitness(live, r.Hosts, nil); ok {
			r.Hosts = append(r.Hosts, name)
		}
	}
	return r, len(r.Hosts) > 0
}

// nextRecord returns the record that removes a gone witness or adds a missing
// one; ok is false if the current record is as it should be.
func nextRecord(current Record, hosts []topology.Host, gone func(topology.HostName) bool) (Record, bool) {
	next := Record{Version: current.Version + 1, Previous: current.Hosts}
	name, spare := addWitness(hosts, current.Hosts, gone)
	live := len(current.Hosts)
	for _, h := range hosts {
		if !h.Leaving && !gone(h.Name) && !current.Names(h.Name) {
			live++
		}
	}
	if len(current.Hosts) < wantedWitnesses(live) && spare {
		next.Hosts = append(slices.Clone(current.Hosts), name)
		return next, true
	}
	lost := slices.IndexFunc(current.Hosts, gone)
	// Without a spare host a removal would not make the loss of another
	// witness survivable.
	if lost < 0 || !spare {
		return Record{}, false
	}
	next.Hosts = slices.Delete(slices.Clone(current.Hosts), lost, lost+1)
	return next, true
}
