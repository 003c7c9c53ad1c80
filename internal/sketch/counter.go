package sketch

import (
	"sync"
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// Counter counts one host's requests to one service. It is safe for concurrent
// use and allocates nothing per request.
type Counter struct {
	mu     sync.Mutex
	sketch *Sketch
	last   time.Time
}

// NewCounter returns an empty counter that starts at now.
func NewCounter(config Config, now time.Time) *Counter {
	return &Counter{sketch: New(config), last: now}
}

// Add counts one request with the given weight at position h.
func (c *Counter) Add(h topology.Hash, weight float64) {
	c.mu.Lock()
	c.sketch.Add(h, weight)
	c.mu.Unlock()
}

// Encode lets the counts age until now and returns their wire form.
func (c *Counter) Encode(now time.Time, limit int) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.After(c.last) {
		c.sketch.Decay(now.Sub(c.last))
		c.last = now
	}
	return c.sketch.Encode(limit)
}
