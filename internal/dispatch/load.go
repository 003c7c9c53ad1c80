package dispatch

import (
	"math"
	"time"
)

// loadMeter measures offered load, the work requested per second whether served
// or not, as an exponentially decaying average.
type loadMeter struct {
	rate      float64 // seconds of work per second
	updatedAt Instant
}

// add counts the work of a new request.
func (m *loadMeter) add(now Instant, work time.Duration) {
	m.rate = m.current(now) + work.Seconds()/loadWindow.Seconds()
	m.updatedAt = now
}

// remove takes back the work of a request that was added at the given instant.
func (m *loadMeter) remove(now, addedAt Instant, work time.Duration) {
	left := work.Seconds() / loadWindow.Seconds() * math.Exp(-now.Sub(addedAt).Seconds()/loadWindow.Seconds())
	m.rate, m.updatedAt = max(m.current(now)-left, 0), now
}

// current returns the offered load in seconds of work per second.
func (m *loadMeter) current(now Instant) float64 {
	return m.rate * math.Exp(-now.Sub(m.updatedAt).Seconds()/loadWindow.Seconds())
}

// loadNoiseMargin is by how many standard deviations of the measured load it must exceed
// the capacity of a single server before the server counts as overloaded: a server that
// gets five requests a second is offered twice its mean load in many a second.
const loadNoiseMargin = 2

// isOverloaded reports whether the server is offered more work for its keys than the
// Scheduler's share of its capacity, given the work of a request.
func (s *serverState) isOverloaded(now Instant, share float64, work time.Duration) bool {
	offered := s.offeredLoad.current(now)
	noise := math.Sqrt(offered * work.Seconds() / (2 * loadWindow.Seconds()))
	return offered > fullLoadRatio*s.workCapacity(now, share, work.Seconds())+loadNoiseMargin*noise
}
