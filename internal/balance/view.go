// Package balance holds the policies that choose an upstream server. They are
// pure functions over a view of the servers: time and randomness are arguments.
package balance

import (
	"math/rand/v2"
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// State tells whether a server may get new requests.
type State uint8

// The states of a server.
const (
	StateReady   State = iota
	StateCold          // starts up; gets a growing share
	StateLeaving       // finishes its requests, gets no new ones
	StateEjected       // taken out because it behaves worse than the others
)

// Server is what one host knows of a server.
type Server struct {
	Name             topology.ServerName
	AvailabilityZone topology.AvailabilityZone
	State            State
	// Slots is the number of requests that the server runs at once.
	Slots int
	// InFlight is this host's own number of requests at the server; Limit is
	// how many of them it may have.
	InFlight int
	Limit    float64
	// Leased is the number of places that belong to this host; see AssignLeases.
	Leased int
	// Slowdown is this host's estimate of the server's latency, relative to
	// the latency without queueing. Zero means no observation.
	Slowdown float64
	// ObservedAt is when Slowdown was last updated.
	ObservedAt time.Duration
	// Reported is the number of requests at the server, other hosts' included,
	// as last reported for ReportedAt. It lags and may be false.
	Reported   float64
	ReportedAt time.Duration
	HasReport  bool
	// Weight is the server's share relative to the others, 1 if unset; a cold
	// server's grows from ColdWeight to its full value.
	Weight float64
	// Blocked excludes the server from this choice only: it was already tried,
	// or waits for its pacing interval.
	Blocked bool
}

// Usable tells whether the server may get new requests at all.
func (s *Server) Usable() bool { return s.State == StateReady || s.State == StateCold }

// Free tells whether the server may get one more request now.
func (s *Server) Free() bool {
	return s.Usable() && !s.Blocked && (s.InFlight == 0 || float64(s.InFlight)+1 <= s.Limit)
}

// Fresh tells whether there is a report that is young enough to be used.
func (s *Server) Fresh(now time.Duration) bool {
	return s.HasReport && now-s.ReportedAt < reportMaxAge
}

func (s *Server) weight() float64 {
	if s.Weight <= 0 {
		return 1
	}
	return s.Weight
}

// View is the list of servers of one service with the time of the choice.
type View struct {
	Servers []Server
	Now     time.Duration
	// Host is this host's rank among the live hosts, Hosts their number.
	Host, Hosts int
	// Usual is the usual latency of a request, 0 if unknown.
	Usual time.Duration
	// AvailabilityZone is this host's own.
	AvailabilityZone topology.AvailabilityZone
}

// Policy chooses a server.
type Policy interface {
	// Choose returns the index of a free server in view, or -1 if none is.
	Choose(view *View, random *rand.Rand) int
}

// maxScan is the number of servers up to which all are ranked. Of more, a
// sample is ranked: the decision must stay cheap with 1,900 servers.
const (
	maxScan    = 64
	sampleSize = 16
)

// ranking keeps the free server with the lowest score; equal scores are decided
// at random, so that hosts with equal views do not herd.
type ranking struct {
	best, ties int
	lowest     float64
}

func (r *ranking) offer(view *View, random *rand.Rand, i int, score func(*View, int) float64) {
	if !view.Servers[i].Free() {
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

// pickLowest returns the free server with the lowest score, or -1.
func pickLowest(view *View, random *rand.Rand, score func(*View, int) float64) int {
	r := ranking{best: -1}
	n := len(view.Servers)
	if n > maxScan {
		for range sampleSize {
			r.offer(view, random, random.IntN(n), score)
		}
		if r.best >= 0 {
			return r.best
		}
	}
	for i := range n {
		r.offer(view, random, i, score)
	}
	return r.best
}
