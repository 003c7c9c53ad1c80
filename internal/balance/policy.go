package balance

import (
	"math/rand/v2"
	"time"
)

// Random chooses any server with capacity. It is a baseline for comparison.
type Random struct{}

// Choose implements Policy.
func (Random) Choose(view *View, random *rand.Rand) int {
	return pickLowest(view, random, func(*View, int) float64 { return 0 })
}

// RoundRobin chooses the servers with capacity in turn. It is a baseline for
// comparison.
type RoundRobin struct{ next int }

// Choose implements Policy.
func (r *RoundRobin) Choose(view *View, _ *rand.Rand) int {
	for range view.Servers {
		i := r.next % len(view.Servers)
		r.next = i + 1
		if view.Servers[i].HasCapacity() {
			return i
		}
	}
	return -1
}

// LeastInFlight chooses the server with the fewest requests of this host in
// flight.
type LeastInFlight struct{}

// Choose implements Policy.
func (LeastInFlight) Choose(view *View, random *rand.Rand) int {
	return pickLowest(view, random, localLoad)
}

func localLoad(view *View, i int) float64 {
	s := &view.Servers[i]
	return (float64(s.InFlight) + 1) / s.weight()
}

// maxReportAge is the age from which a report is ignored. With 2 slots and
// service times of tens of milliseconds, the queue of a server has been
// replaced many times by then.
const maxReportAge = 2 * time.Second

// maxObservationAge is the age from which this host's latency estimate no
// longer counts, so that a server that was slow once is tried again.
const maxObservationAge = 2 * time.Second

// estimatedLoad combines the reported load with the load observed by this host.
// The weight of a report falls with the number of requests that may have
// started and ended since. A report only raises the estimate: a low one never
// lowers the load that this host's requests and their latency show.
func estimatedLoad(view *View, i int) float64 {
	s := &view.Servers[i]
	load := float64(s.InFlight) + observedLoad(view, s)
	if s.HasFreshReport(view.Now) && s.ReportedInFlight > load {
		confidence := 1 / (1 + float64(view.Now-s.ReportedAt)/float64(max(view.TypicalLatency, time.Millisecond)))
		load += confidence * (s.ReportedInFlight - load)
	}
	return (load + 1) / s.weight()
}

// observedLoad returns the number of requests that the latency seen by this
// host implies. At a slowdown of n, a server with k slots holds about n*k
// requests. A slowdown of up to 1.5 is noise and implies nothing.
func observedLoad(view *View, s *Server) float64 {
	if s.Slowdown <= 1.5 || view.Now-s.ObservedAt >= maxObservationAge {
		return 0
	}
	freshness := 1 - float64(view.Now-s.ObservedAt)/float64(maxObservationAge)
	return (s.Slowdown - 1) * float64(max(s.Slots, 1)) * freshness
}

// TwoChoices draws two servers with capacity at random and chooses the one with
// the lower load by shared reports and this host's observations.
type TwoChoices struct{}

// Choose implements Policy.
func (TwoChoices) Choose(view *View, random *rand.Rand) int {
	first := pickRandomFree(view, random, -1)
	if first < 0 {
		return -1
	}
	second := pickRandomFree(view, random, first)
	if second < 0 {
		return first
	}
	if estimatedLoad(view, second) < estimatedLoad(view, first) {
		return second
	}
	return first
}

// pickRandomFree draws a server with capacity other than skip. It tries a few
// random indexes before it scans the list.
func pickRandomFree(view *View, random *rand.Rand, skip int) int {
	n := len(view.Servers)
	for range min(n, 4) {
		if i := random.IntN(n); i != skip && view.Servers[i].HasCapacity() {
			return i
		}
	}
	chosen, freeCount := -1, 0
	for i := range view.Servers {
		if i == skip || !view.Servers[i].HasCapacity() {
			continue
		}
		freeCount++
		if random.IntN(freeCount) == 0 {
			chosen = i
		}
	}
	return chosen
}

// Probing ranks servers by this host's requests in flight and its latency
// estimate. A server without a recent estimate counts as fast, so that a real
// request probes it.
type Probing struct{}

// Choose implements Policy.
func (Probing) Choose(view *View, random *rand.Rand) int {
	return pickLowest(view, random, localScore)
}

func localScore(view *View, i int) float64 {
	s := &view.Servers[i]
	return (float64(s.InFlight) + 1 + observedLoad(view, s)) / s.weight()
}

// HostQuota divides the capacity of all servers among the live hosts by rank. A
// host fills its own quota first. Beyond that it uses any server, ranked by its
// requests in flight and their latency. Hosts that stay within their quotas
// spread the load evenly without communication.
type HostQuota struct{}

// Choose implements Policy.
func (HostQuota) Choose(view *View, random *rand.Rand) int {
	if len(view.Servers) <= maxRankedServers {
		return pickLowest(view, random, quotaScore)
	}
	// A long list is not ranked entirely. The servers of this host's quota
	// follow from its rank.
	r := ranking{best: -1}
	n, hosts := len(view.Servers), max(view.HostCount, 1)
	slotIndex := view.HostRank % hosts
	for range sampleSize {
		if slotIndex >= n*quotaPerSlot*max(view.Servers[slotIndex%n].Slots, 1) {
			break
		}
		r.consider(view, random, slotIndex%n, quotaScore)
		slotIndex += hosts
	}
	if r.best >= 0 && view.Servers[r.best].InFlight < view.Servers[r.best].Quota {
		return r.best
	}
	return pickLowest(view, random, quotaScore)
}

const (
	// quotaPerSlot counts one running and one queued request per slot.
	quotaPerSlot = 2
	// overQuotaPenalty ranks a server whose quota is used up behind one with
	// quota left, unless the latter is much slower.
	overQuotaPenalty = 2
)

func quotaScore(view *View, i int) float64 {
	s := &view.Servers[i]
	score := localScore(view, i)
	if s.InFlight >= s.Quota {
		score += overQuotaPenalty / s.weight()
	}
	return score
}

// AssignQuotas sets this host's quota at each server. Unit k of server i has
// the number k*n+i for n servers, and the numbers are dealt to the hosts in
// turn. It must be called after every change of the servers or hosts.
func AssignQuotas(view *View) {
	n, hosts := len(view.Servers), max(view.HostCount, 1)
	for i := range view.Servers {
		s := &view.Servers[i]
		s.Quota = 0
		for k := range max(s.Slots, 1) * quotaPerSlot {
			if (k*n+i)%hosts == view.HostRank%hosts {
				s.Quota++
			}
		}
	}
}
