package sketch

import (
	"sync"
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// Counter counts the requests of one host to one service. It is safe for
// concurrent use and does not allocate on each request.
type Counter struct {
	mu        sync.Mutex
	sketch    *Sketch
	decayedAt time.Time
}

// NewCounter returns an empty counter that starts at now.
func NewCounter(config Config, now time.Time) *Counter {
	return &Counter{sketch: New(config), decayedAt: now}
}

// Add counts one request with the given weight at position h.
func (c *Counter) Add(h topology.Hash, weight float64) {
	c.mu.Lock()
	c.sketch.Add(h, weight)
	c.mu.Unlock()
}

// Encode decays the counts until now and returns them in the wire format.
func (c *Counter) Encode(now time.Time, limit int) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.After(c.decayedAt) {
		c.sketch.Decay(now.Sub(c.decayedAt))
		c.decayedAt = now
	}
	return c.sketch.Encode(limit)
}
