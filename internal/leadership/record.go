package leadership

import (
	"cmp"
	"slices"

	"github.com/cassiasill/cassiasill/internal/peer/peerpb"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// MaxWitnesses is the largest number of witnesses. A majority of five remains
// after the loss of an availability zone and of one more host.
const MaxWitnesses = 5

// Record lists the witnesses. Consecutive records differ by exactly one host,
// so that any majority of one shares a witness with any majority of the next.
// Replacing a host in one step would allow disjoint majorities and therefore
// two leaders, one under each record. A replacement takes two records, and the
// number of witnesses is even in between.
type Record struct {
	Version uint64              `json:"version"`
	Hosts   []topology.HostName `json:"hosts"`
	// Previous lists the hosts of the preceding record. A leader writes the
	// next record only after a majority of them refuses requests under the
	// preceding record.
	Previous []topology.HostName `json:"previous,omitempty"`
	// ID is unique to the write. If the store's response is lost, it shows
	// whether the write was applied.
	ID string `json:"id"`
}

// Majority returns the number of promises that elect a leader.
func (r Record) Majority() int { return len(r.Hosts)/2 + 1 }

// HasWitness reports whether host is one of the witnesses.
func (r Record) HasWitness(host topology.HostName) bool { return slices.Contains(r.Hosts, host) }

func (r Record) toMessage() *peerpb.WitnessRecord {
	if r.Version == 0 {
		return nil
	}
	out := &peerpb.WitnessRecord{Version: r.Version}
	for _, h := range r.Hosts {
		out.Hosts = append(out.Hosts, string(h))
	}
	return out
}

func recordFromMessage(m *peerpb.WitnessRecord) Record {
	out := Record{Version: m.GetVersion()}
	for _, h := range m.GetHosts() {
		out.Hosts = append(out.Hosts, topology.HostName(h))
	}
	return out
}

// targetWitnessCount returns the largest odd number that exceeds neither the
// number of hosts nor MaxWitnesses.
func targetWitnessCount(hosts int) int {
	n := min(hosts, MaxWitnesses)
	if n%2 == 0 {
		n--
	}
	return max(n, 0)
}

// selectWitness returns the host to add to the chosen witnesses. It prefers the
// availability zone with the fewest witnesses, then the first name. Hosts that
// leave or that exclude reports are skipped.
func selectWitness(hosts []topology.Host, chosen []topology.HostName, exclude func(topology.HostName) bool) (topology.HostName, bool) {
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

// initialRecord returns the record with the witnesses of a new deployment. It
// reports false if no host can be a witness.
func initialRecord(hosts []topology.Host, id string) (Record, bool) {
	live := slices.DeleteFunc(slices.Clone(hosts), func(h topology.Host) bool { return h.Leaving })
	r := Record{Version: 1, ID: id}
	for range targetWitnessCount(len(live)) {
		if name, ok := selectWitness(live, r.Hosts, nil); ok {
			r.Hosts = append(r.Hosts, name)
		}
	}
	return r, len(r.Hosts) > 0
}

// nextRecord returns the record that adds a missing witness or removes an
// unavailable one. It reports false if the current record needs no change or no
// host is available to replace a witness.
func nextRecord(current Record, hosts []topology.Host, unavailable func(topology.HostName) bool) (Record, bool) {
	next := Record{Version: current.Version + 1, Previous: current.Hosts}
	name, spare := selectWitness(hosts, current.Hosts, unavailable)
	live := len(current.Hosts)
	for _, h := range hosts {
		if !h.Leaving && !unavailable(h.Name) && !current.HasWitness(h.Name) {
			live++
		}
	}
	if len(current.Hosts) < targetWitnessCount(live) && spare {
		next.Hosts = append(slices.Clone(current.Hosts), name)
		return next, true
	}
	index := slices.IndexFunc(current.Hosts, unavailable)
	// Without a spare host, a removal does not help the deployment to survive
	// the loss of another witness.
	if index < 0 || !spare {
		return Record{}, false
	}
	next.Hosts = slices.Delete(slices.Clone(current.Hosts), index, index+1)
	return next, true
}
