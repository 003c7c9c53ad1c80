package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Hosts differ in size, and what the leader and the dispatchers do for others
// grows with the deployment. These duties go to the largest hosts.
const (
	// dutyShare is the part of the largest host's capacity from which a host
	// gets duties; a smaller one would be busy with them first.
	dutyShare = 0.5
	// smallHostDelay is by how much a host without any capacity stands later
	// for election than the largest. Hosts that read the store themselves do so
	// each readInterval, and find out that far apart that there is no leader.
	smallHostDelay = readInterval + 200*time.Millisecond
	// unknownDelay takes its place while no larger host is known, as after a
	// start; a wrong choice is mended once the leader knows the others.
	unknownDelay = 200 * time.Millisecond
	// giveWayAfter is how long a larger host must have been seen before a leader
	// gives way to it.
	giveWayAfter = time.Second
	// assumedLargest is the capacity in cores of the largest host while none is
	// known.
	assumedLargest = 1.0
)

// fitForDuties reports whether a host of the given capacity gets duties.
func fitForDuties(capacity, largest float64) bool { return capacity >= dutyShare*largest }

// electionDelay is how much later than the largest host one of the given
// capacity stands for election. The largest is 0 if unknown.
func electionDelay(capacity, largest float64) time.Duration {
	delay := smallHostDelay
	if largest <= 0 {
		largest, delay = assumedLargest, unknownDelay
	}
	return time.Duration(float64(delay) * (1 - min(capacity/largest, 1)))
}

// dutyHost is a live host that may get duties.
type dutyHost struct {
	address  string // as a dispatcher
	capacity float64
	leads    bool
}

// maxRelays bounds the hosts that read the store themselves while the leader is
// away. In a deployment of that many hosts all of them do.
const maxRelays = 12

// assignRelays names the largest hosts, in an order that does not depend on
// that of the hosts.
func assignRelays(hosts []dutyHost) []string {
	slices.SortFunc(hosts, func(a, b dutyHost) int {
		return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(xxhash.Sum64String(a.address), xxhash.Sum64String(b.address)))
	})
	var out []string
	for _, h := range hosts[:min(len(hosts), maxRelays)] {
		out = append(out, h.address)
	}
	return out
}

// assignDispatchers names a host for each service by rendezvous hashing, so that
// the loss of a host moves little but what it had. As long as there are enough
// hosts, each places the requests of one service and the leader of none.
func assignDispatchers(services []string, hosts []dutyHost) map[string]string {
	largest := 0.0
	for _, h := range hosts {
		largest = max(largest, h.capacity)
	}
	var fit []string
	leader := ""
	for _, h := range hosts {
		switch {
		case !fitForDuties(h.capacity, largest):
		case h.leads:
			leader = h.address
		default:
			fit = append(fit, h.address)
		}
	}
	if leader != "" && len(fit) < len(services) {
		fit = append(fit, leader)
	}
	out := make(map[string]string, len(services))
	free := slices.Clone(fit)
	for _, service := range slices.Sorted(slices.Values(services)) {
		if len(free) == 0 {
			free = slices.Clone(fit)
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
