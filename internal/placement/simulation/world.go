package simulation

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cassiasill/cassiasill/internal/placement"
	"github.com/cassiasill/cassiasill/internal/topology"
)

func sqrt(x float64) float64 { return math.Sqrt(x) }

// availabilityZones is the number of availability zones of both deployments.
const availabilityZones = 3

// world is the true state: the owner of each key and the state of each server.
type world struct {
	options  Options
	scenario Scenario
	load     *load
	owners   []int16 // by key
	loads    []float64
	servers  []serverState
	// totals of the current second
	moved              float64 // weight of the keys that moved
	unserved           float64 // weight times seconds
	unservedKeySeconds float64 // keys times seconds
}

// serverState is the true state of a server.
type serverState struct {
	state placement.ServerState
	since int // second of the last change
	// absent servers have not joined yet.
	absent bool
}

func newWorld(s Scenario, o Options) *world {
	w := &world{options: o, scenario: s, load: newLoad(s, o.Keys, o.Seed)}
	w.owners = make([]int16, o.Keys)
	w.servers = make([]serverState, o.Servers+s.Joining)
	w.loads = make([]float64, len(w.servers))
	for i := range w.servers {
		w.servers[i] = serverState{absent: i >= o.Servers, since: -1 << 20}
	}
	return w
}

// serverName returns the name of server i.
func serverName(i int) topology.ServerName { return topology.ServerName(fmt.Sprintf("server-%02d", i)) }

// applyEvent changes the fleet. The keys of a lost server are not served until the
// loss is detected and the keys are granted to other servers.
func (w *world) applyEvent(e Event, second int) {
	for _, i := range w.eventServers(e) {
		s := &w.servers[i]
		s.since = second
		switch e.Kind {
		case EventCrash:
			s.state = placement.StateLost
			for _, owner := range w.owners {
				if int(owner) == i {
					w.unservedKeySeconds += w.options.LossGap.Seconds()
				}
			}
			w.unserved += w.loads[i] * w.options.LossGap.Seconds()
		case EventDrain:
			s.state = placement.StateDraining
		case EventReturn:
			s.state = placement.StateReturning
		case EventJoin:
			s.state, s.absent = placement.StateReturning, false
		}
	}
}

// eventServers returns the servers of an event. Index -1 is the last server.
func (w *world) eventServers(e Event) []int {
	var out []int
	for _, i := range e.Servers {
		out = append(out, (i+len(w.servers))%len(w.servers))
	}
	if len(e.Servers) == 0 {
		for i := range w.servers {
			if i%availabilityZones == e.Zone {
				out = append(out, i)
			}
		}
	}
	return out
}

// alive reports whether server i responds to requests.
func (w *world) alive(i int) bool {
	return !w.servers[i].absent && w.servers[i].state != placement.StateLost
}

// mayOwnKeys reports whether server i should own keys.
func (w *world) mayOwnKeys(i int) bool {
	return w.alive(i) && w.servers[i].state != placement.StateDraining
}

// visible returns the servers as the leader sees them. A loss is detected after
// the loss gap, rounded up to a full second.
func (w *world) visible(second int) []placement.Server {
	var out []placement.Server
	detectionSeconds := int((w.options.LossGap + time.Second - 1) / time.Second)
	for i, s := range w.servers {
		if s.absent {
			continue
		}
		state := s.state
		if state == placement.StateLost && second-s.since < detectionSeconds {
			state = placement.StateReady
		}
		out = append(out, placement.Server{
			Name: serverName(i), State: state, Since: time.Duration(second-s.since) * time.Second,
			AvailabilityZone: topology.AvailabilityZone(fmt.Sprintf("zone-%d", i%availabilityZones)),
		})
	}
	return out
}

// keysIn returns the index of the first key in r and that of the first key after r.
func (w *world) keysIn(r topology.Range) (int, int) {
	lo, _ := slices.BinarySearch(w.load.hashes, r.First)
	hi, found := slices.BinarySearchFunc(w.load.hashes, r.Last, func(a, b topology.Hash) int { return cmp.Compare(a, b) })
	if found {
		hi++
	}
	return lo, hi
}

// assign assigns the keys from lo up to but not including hi to a server and adds
// the move to the totals.
func (w *world) assign(lo, hi, to int) {
	gap := w.options.MoveGap.Seconds()
	for k := lo; k < hi; k++ {
		from := int(w.owners[k])
		if from == to {
			continue
		}
		weight := w.load.weights[k]
		w.owners[k] = int16(to)
		w.loads[from] -= weight
		w.loads[to] += weight
		w.moved += weight
		// The unserved time of a lost server's keys is counted at the loss.
		if w.servers[from].state != placement.StateLost {
			w.unserved += weight * gap
			w.unservedKeySeconds += gap
		}
	}
}

// recount sums the loads of all servers.
func (w *world) recount() {
	clear(w.loads)
	for k, owner := range w.owners {
		w.loads[owner] += w.load.weights[k]
	}
}

// absorbedKeys returns some of the keys of each of the first three servers.
func (w *world) absorbedKeys() [3][]int {
	var out [3][]int
	for k, owner := range w.owners {
		if owner < 3 && k%10 == 0 {
			out[owner] = append(out[owner], k)
		}
	}
	return out
}

// ratios returns the ratio of the maximum server load to the mean load of the
// servers that should own keys, and the lowest ratio that a placement can reach.
func (w *world) ratios() (ratio, bound float64) {
	highest, sum, n := 0.0, 0.0, 0
	for i, l := range w.loads {
		if !w.alive(i) {
			continue
		}
		sum += l
		if w.mayOwnKeys(i) {
			n++
		}
		highest = max(highest, l)
	}
	mean := sum / float64(n)
	return highest / mean, max(1, w.load.hottest()/mean)
}
