package entry

import (
	"sync"
	"time"

	"github.com/cassiasill/cassiasill/internal/routes"
)

// costEstimator estimates the work and response size of each route's requests.
type costEstimator struct {
	mu     sync.Mutex
	routes map[string]*routeCost
}

// routeCost holds moving averages over the responses of one route.
type routeCost struct {
	workSeconds   float64 // at a server of speed 1
	responseBytes float64
	samples       float64
	// longestWait is the longest time that a caller of the route allowed, which
	// is what callers allow on a first attempt.
	longestWait time.Duration
}

// minSampleWeight is the least weight of one response in a route's averages; the
// first responses weigh more.
const minSampleWeight = 0.03

func newCostEstimator() *costEstimator { return &costEstimator{routes: make(map[string]*routeCost)} }

// estimate returns the expected work and response size of a request.
func (e *costEstimator) estimate(route *routes.Route) (work time.Duration, bytes float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.costOf(route)
	return time.Duration(c.workSeconds * float64(time.Second)), c.responseBytes
}

// recordResponse adds the size of a response to the averages and, if took is
// positive, its time at a server of the given speed.
func (e *costEstimator) recordResponse(route *routes.Route, took time.Duration, speed float64, size int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.costOf(route)
	weight := max(minSampleWeight, 1/(c.samples+2))
	c.samples++
	c.responseBytes += weight * (float64(size) - c.responseBytes)
	if took > 0 {
		c.workSeconds += weight * (took.Seconds()*speed - c.workSeconds)
	}
}

// callerWaited estimates how long a caller has already waited, given the time
// that it has left. A caller that returns after a rejection sends its remaining
// time, which is shorter than the longest seen on the route.
func (e *costEstimator) callerWaited(route *routes.Route, left time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.costOf(route)
	c.longestWait = max(c.longestWait, left)
	return c.longestWait - left
}

// costOf returns the averages of a route.
func (e *costEstimator) costOf(route *routes.Route) *routeCost {
	c := e.routes[route.Name]
	if c == nil {
		// The target includes queueing time; a third of it is the initial estimate.
		c = &routeCost{workSeconds: route.Target.Seconds() / 3}
		e.routes[route.Name] = c
	}
	return c
}
