// Package balance provides the policies that choose an upstream server. They
// depend only on a view of the servers, with time and randomness as arguments.
package balance

import (
	"math/rand/v2"
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// State is the state of a server as far as it gets new requests.
type State uint8

const (
	StateReady     State = iota
	StateWarmingUp       // warms up after a start or an ejection; gets a growing share
	StateLeaving         // finishes its requests, gets no new ones
	StateEjected         // temporarily removed because of repeated failures
)

// Server is the state of one server as seen by this host.
type Server struct {
	Name             topology.ServerName
	AvailabilityZone topology.AvailabilityZone
	State            State
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// InFlight is the number of this host's requests at the server, and Limit
	// the highest number allowed.
	InFlight int
	Limit    float64
	// Quota is the part of the server's capacity that belongs to this host, in
	// requests; see AssignQuotas.
	Quota int
	// Slowdown is this host's estimate of the server's latency relative to the
	// latency without queueing. Zero means that there is no estimate.
	Slowdown float64
	// ObservedAt is the time of the last update of Slowdown.
	ObservedAt time.Duration
	// ReportedInFlight is the number of requests at the server as of
	// ReportedAt, those of all hosts included. It lags behind and may be wrong.
	ReportedInFlight float64
	ReportedAt       time.Duration
	HasReport        bool
	// Weight is the server's share relative to the others, 1 if unset. The
	// weight of a server that warms up grows with WarmupWeight.
	Weight float64
	// Blocked excludes the server from this choice only, because it is stalled
	// or pauses between requests.
	Blocked bool
}

// Usable reports whether the state of the server allows new requests.
func (s *Server) Usable() bool { return s.State == StateReady || s.State == StateWarmingUp }

// HasCapacity reports whether the server may get one more request now.
func (s *Server) HasCapacity() bool {
	return s.Usable() && !s.Blocked && (s.InFlight == 0 || float64(s.InFlight)+1 <= s.Limit)
}

// HasFreshReport reports whether there is a report that is recent enough to be
// used.
func (s *Server) HasFreshReport(now time.Duration) bool {
	return s.HasReport && now-s.ReportedAt < maxReportAge
}

func (s *Server) weight() float64 {
	if s.Weight <= 0 {
		return 1
	}
	return s.Weight
}

// View is the input of a choice: the servers of one service and the time.
type View struct {
	Servers []Server
	Now     time.Duration
	// HostRank is this host's rank among the live hosts, and HostCount their
	// number.
	HostRank, HostCount int
	// TypicalLatency is the mean latency of a request, 0 if unknown.
	TypicalLatency time.Duration
	// AvailabilityZone is the availability zone of this host.
	AvailabilityZone topology.AvailabilityZone
}

// Policy chooses the server of a request.
type Policy interface {
	// Choose returns the index of a server in view that has capacity, or -1 if
	// there is none.
	Choose(view *View, random *rand.Rand) int
}

// maxRankedServers is the number of servers up to which all are ranked. For
// longer lists only sampleSize servers are ranked, so that a choice stays cheap
// with 1,900 servers.
const (
	maxRankedServers = 64
	sampleSize       = 16
)

// ranking keeps the server with the lowest score among those with capacity.
// Ties are broken at random, so that hosts with equal views do not all choose
// the same server.
type ranking struct {
	best, ties int
	lowest     float64
}

func (r *ranking) consider(view *View, random *rand.Rand, i int, score func(*View, int) float64) {
	if !view.Servers[i].HasCapacity() {
		return
	}
	value := score(view, i)
	switch {
	case r.best < 0 || value < r.lowest:
		r.best, r.ties, r.lowest = i, 1, value
	case value == r.lowest:
		r.ties++
		if random.IntN(r.ties) == 0 {
			r.best = i
		}
	}
}

// pickLowest returns the index of the server with capacity and the lowest
// score, or -1.
func pickLowest(view *View, random *rand.Rand, score func(*View, int) float64) int {
	r := ranking{best: -1}
	n := len(view.Servers)
	if n > maxRankedServers {
		for range sampleSize {
			r.consider(view, random, random.IntN(n), score)
		}
		if r.best >= 0 {
			return r.best
		}
	}
	for i := range n {
		r.consider(view, random, i, score)
	}
	return r.best
}
