package balance

import (
	"math/rand/v2"
	"time"
)

// Random chooses any free server. It is a baseline for comparison.
type Random struct{}

// Choose implements Policy.
func (Random) Choose(view *View, random *rand.Rand) int {
	return pickLowest(view, random, func(*View, int) float64 { return 0 })
}

// RoundRobin takes the free servers in turn. It is a baseline for comparison.
type RoundRobin struct{ next int }

// Choose implements Policy.
func (r *RoundRobin) Choose(view *View, _ *rand.Rand) int {
	for range view.Servers {
		i := r.next % len(view.Servers)
		r.next = i + 1
		if view.Servers[i].Free() {
			return i
		}
	}
	return -1
}

// LeastInFlight chooses the server with the fewest of this host's own requests.
type LeastInFlight struct{}

// Choose implements Policy.
func (LeastInFlight) Choose(view *View, random *rand.Rand) int {
	return pickLowest(view, random, ownLoad)
}

func ownLoad(view *View, i int) float64 {
	s := &view.Servers[i]
	return (float64(s.InFlight) + 1) / s.weight()
}

// reportMaxAge is the age from which a report is ignored: with 2 slots and
// service times of tens of milliseconds a server's queue has turned over many
// times by then.
const reportMaxAge = 2 * time.Second

// observationMaxAge is the age from which an own latency estimate no longer
// counts, so that a server that was slow once is tried again.
const observationMaxAge = 2 * time.Second

// estimatedLoad combines the reported load with the own observation. A report
// counts the less the more requests may have come and gone since. The own
// observation outranks it: a low report never lowers the load that the own
// requests and their latency show.
func estimatedLoad(view *View, i int) float64 {
	s := &view.Servers[i]
	load := float64(s.InFlight) + observedLoad(view, s)
	if s.Fresh(view.Now) && s.Reported > load {
		trust := 1 / (1 + float64(view.Now-s.ReportedAt)/float64(max(view.Usual, time.Millisecond)))
		load += trust * (s.Reported - load)
	}
	return (load + 1) / s.weight()
}

// observedLoad is the number of requests that the own latency implies: at a
// slowdown of n a server with k slots holds about n*k requests. Up to a
// slowdown of 1.5 the difference is noise and nothing is implied.
func observedLoad(view *View, s *Server) float64 {
	if s.Slowdown <= 1.5 || view.Now-s.ObservedAt >= observationMaxAge {
		return 0
	}
	fresh := 1 - float64(view.Now-s.ObservedAt)/float64(observationMaxAge)
	return (s.Slowdown - 1) * float64(max(s.Slots, 1)) * fresh
}

// TwoChoices draws two free servers and takes the one with the lower load by
// shared reports and own observation.
type TwoChoices struct{}

// Choose implements Policy.
func (TwoChoices) Choose(view *View, random *rand.Rand) int {
	first := drawFree(view, random, -1)
	if first < 0 {
		return -1
	}
	second := drawFree(view, random, first)
	if second < 0 {
		return first
	}
	if estimatedLoad(view, second) < estimatedLoad(view, first) {
		return second
	}
	return first
}

// drawFree draws a free server other than skip. A few blind draws are tried
// before the whole list is counted.
func drawFree(view *View, random *rand.Rand, skip int) int {
	n := len(view.Servers)
	for range min(n, 4) {
		if i := random.IntN(n); i != skip && view.Servers[i].Free() {
			return i
		}
	}
	chosen, seen := -1, 0
	for i := range view.Servers {
		if i == skip || !view.Servers[i].Free() {
			continue
		}
		seen++
		if random.IntN(seen) == 0 {
			chosen = i
		}
	}
	return chosen
}

// Probing ranks servers by own in-flight requests times the own latency
// estimate. A server without a fresh estimate counts as fast and is thereby
// probed with a real request.
type Probing struct{}

// Choose implements Policy.
func (Probing) Choose(view *View, random *rand.Rand) int {
	return pickLowest(view, random, probeScore)
}

func probeScore(view *View, i int) float64 {
	s := &view.Servers[i]
	return (float64(s.InFlight) + 1 + observedLoad(view, s)) / s.weight()
}

// Leased divides the places at all servers among the live hosts by rank. A
// host uses its own places first and borrows others when they are taken, by
// its own in-flight requests and latency. Hosts that all keep to their places
// spread evenly without telling each other.
type Leased struct{}

// Choose implements Policy.
func (Leased) Choose(view *View, random *rand.Rand) int {
	if len(view.Servers) <= maxScan {
		return pickLowest(view, random, leasedScore)
	}
	// A long list is not ranked whole: the own places are found by arithmetic.
	r := ranking{best: -1}
	n, hosts := len(view.Servers), max(view.Hosts, 1)
	place := view.Host % hosts
	for range sampleSize {
		if place >= n*placesPerSlot*max(view.Servers[place%n].Slots, 1) {
			break
		}
		r.offer(view, random, place%n, leasedScore)
		place += hosts
	}
	if r.best >= 0 && view.Servers[r.best].InFlight < view.Servers[r.best].Leased {
		return r.best
	}
	return pickLowest(view, random, leasedScore)
}

const (
	// placesPerSlot counts one running and one queued request.
	placesPerSlot = 2
	// borrowPenalty ranks a borrowed place behind a leased one unless the leased
	// server is visibly slower.
	borrowPenalty = 2
)

func leasedScore(view *View, i int) float64 {
	s := &view.Servers[i]
	score := probeScore(view, i)
	if s.InFlight >= s.Leased {
		score += borrowPenalty / s.weight()
	}
	return score
}

// AssignLeases sets the number of places that this host has at each server.
// Place k of server i has the number k*n+i; the numbers are dealt to the hosts
// in turn. It must run after every change of the servers or hosts.
func AssignLeases(view *View) {
	n, hosts := len(view.Servers), max(view.Hosts, 1)
	for i := range view.Servers {
		s := &view.Servers[i]
		s.Leased = 0
		for k := range max(s.Slots, 1) * placesPerSlot {
			if (k*n+i)%hosts == view.Host%hosts {
				s.Leased++
			}
		}
	}
}
