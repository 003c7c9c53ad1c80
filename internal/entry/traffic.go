package entry

import (
	"sync"
	"time"

	"github.com/cassiasill/cassiasill/internal/routes"
)

// traffic estimates what requests of each route cost.
type traffic struct {
	mu     sync.Mutex
	routes map[string]*routeCost
}

type routeCost struct {
	work    float64 // seconds at a server of speed 1
	bytes   float64
	samples float64
	// patience is the longest time that callers of the route wait, which is
	// what a caller brings that has not been rejected before.
	patience time.Duration
}

// costWeight is the weight of one answer in a route's averages.
const costWeight = 0.03

func newTraffic() *traffic { return &traffic{routes: make(map[string]*routeCost)} }

// cost returns the expected work and answer size of a request.
func (t *traffic) cost(route *routes.Route) (work time.Duration, bytes float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.get(route)
	return time.Duration(c.work * float64(time.Second)), c.bytes
}

// note takes an answer's size and, if took is positive, its time at a server of
// the given speed.
func (t *traffic) note(route *routes.Route, took time.Duration, speed float64, size int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.get(route)
	weight := max(costWeight, 1/(c.samples+2))
	c.samples++
	c.bytes += weight * (float64(size) - c.bytes)
	if took > 0 {
		c.work += weight * (took.Seconds()*speed - c.work)
	}
}

// waited returns how long a caller has already waited that will wait so much
// longer: one that comes back after a rejection brings what is left of its time.
func (t *traffic) waited(route *routes.Route, left time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.get(route)
	c.patience = max(c.patience, left)
	return c.patience - left
}

func (t *traffic) get(route *routes.Route) *routeCost {
	c := t.routes[route.Name]
	if c == nil {
		// The target leaves room for waiting; a third of it is a first guess.
		c = &routeCost{work: route.Target.Seconds() / 3}
		t.routes[route.Name] = c
	}
	return c
}
