package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The work that the leader, the relays and the dispatchers do for other hosts
// grows with the deployment, and hosts differ in size. These duties go to the
// largest hosts.
const (
	// minDutyCapacityShare is the share of the largest host's capacity that a
	// host needs to get duties. A smaller host would be overloaded by them
	// first.
	minDutyCapacityShare = 0.5
	// maxElectionDelay is how much later than the largest host a host without
	// any capacity campaigns. Hosts that read the store do so at intervals of
	// minReadInterval, so they may notice up to that far apart that there is no
	// leader.
	maxElectionDelay = minReadInterval + 200*time.Millisecond
	// maxElectionDelayUnknown replaces maxElectionDelay while no larger host is
	// known, as after a start. A small host that wins such an election gives
	// way once it knows the larger ones.
	maxElectionDelayUnknown = 200 * time.Millisecond
	// successionDelay is how long a larger host must have been live before a
	// leader gives way to it.
	successionDelay = time.Second
	// assumedLargestCores is the assumed capacity of the largest host, in
	// cores, while none is known.
	assumedLargestCores = 1.0
)

// isFitForDuties reports whether a host of the given capacity may get duties.
func isFitForDuties(capacity, largest float64) bool { return capacity >= minDutyCapacityShare*largest }

// electionDelay returns how much later than the largest host a host of the
// given capacity campaigns. The capacity of the largest host is 0 if unknown.
func electionDelay(capacity, largest float64) time.Duration {
	delay := maxElectionDelay
	if largest <= 0 {
		largest, delay = assumedLargestCores, maxElectionDelayUnknown
	}
	return time.Duration(float64(delay) * (1 - min(capacity/largest, 1)))
}

// dutyHost is a live host that may get duties.
type dutyHost struct {
	address  string // for the duty: as a dispatcher or of the FleetService
	capacity float64
	leading  bool
}

// maxRelays bounds the number of hosts that read the store themselves while
// there is no leader. In a deployment of at most that many hosts all of them
// do.
const maxRelays = 12

// selectRelays returns the addresses of the largest hosts. The result does not
// depend on the order of the input.
func selectRelays(hosts []dutyHost) []string {
	slices.SortFunc(hosts, func(a, b dutyHost) int {
		return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(xxhash.Sum64String(a.address), xxhash.Sum64String(b.address)))
	})
	var out []string
	for _, h := range hosts[:min(len(hosts), maxRelays)] {
		out = append(out, h.address)
	}
	return out
}

// selectDispatchers chooses a host for each service by rendezvous hashing, so
// that the loss of a host moves few other services. As long as there are enough
// hosts, each dispatches for at most one service and the leader for none.
func selectDispatchers(services []string, hosts []dutyHost) map[string]string {
	largest := 0.0
	for _, h := range hosts {
		largest = max(largest, h.capacity)
	}
	var eligible []string
	leader := ""
	for _, h := range hosts {
		switch {
		case !isFitForDuties(h.capacity, largest):
		case h.leading:
			leader = h.address
		default:
			eligible = append(eligible, h.address)
		}
	}
	if leader != "" && len(eligible) < len(services) {
		eligible = append(eligible, leader)
	}
	out := make(map[string]string, len(services))
	free := slices.Clone(eligible)
	for _, service := range slices.Sorted(slices.Values(services)) {
		if len(free) == 0 {
			free = slices.Clone(eligible)
		}
		if len(free) == 0 {
			return out
		}
		chosen := slices.MaxFunc(free, func(a, b string) int {
			return cmp.Compare(xxhash.Sum64String(service+a), xxhash.Sum64String(service+b))
		})
		out[service] = chosen
		free = slices.DeleteFunc(free, func(a string) bool { return a == chosen })
	}
	return out
}
