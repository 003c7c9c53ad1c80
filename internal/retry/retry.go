// Package retry decides whether a failed request may be tried again and how
// long to wait before. It uses no clock and no randomness of its own.
package retry

import (
	"sync"
	"time"
)

const (
	// Share is the largest share of retries among requests. More than a tenth
	// of extra load can keep a service overloaded after the cause has gone.
	Share = 0.1
	// window is the span over which requests, retries and sheds are counted.
	window = time.Second
	// buckets divides the window, so that it slides in steps.
	buckets = 10
	// minimumRequests is the number of requests below which one shed answer
	// is not yet taken for overload.
	minimumRequests = 20
	// overloadShare is the share of shed requests that counts as overload.
	overloadShare = 0.05
	// burst is the largest number of retries that quiet seconds can save up.
	burst = 10
)

// bucket counts what happened in one step of the window.
type bucket struct {
	step     int64
	requests int
	sheds    int
}

// Budget limits the retries of one service. Its methods are safe for
// concurrent use.
type Budget struct {
	mu      sync.Mutex
	tokens  float64
	buckets [buckets]bucket
}

// NewBudget returns a budget that starts empty, so that the share holds from
// the first request on.
func NewBudget() *Budget { return &Budget{} }

// Request counts one first attempt.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at(now).requests++
	b.tokens = min(b.tokens+Share, burst)
}

// Shed counts one answer that refused a request for load.
func (b *Budget) Shed(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at(now).sheds++
}

// Allow takes one retry out of the budget. It returns false if the budget is
// used up or the service is overloaded.
func (b *Budget) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.overloaded(now) || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Overloaded reports whether the service has shed too much in the window.
func (b *Budget) Overloaded(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.overloaded(now)
}

func (b *Budget) overloaded(now time.Time) bool {
	requests, sheds := 0, 0
	oldest := step(now) - buckets
	for _, e := range b.buckets {
		if e.step > oldest {
			requests += e.requests
			sheds += e.sheds
		}
	}
	return sheds > 0 && float64(sheds) >= overloadShare*float64(max(requests, minimumRequests))
}

// at returns the bucket of now, emptied if it holds an older step.
func (b *Budget) at(now time.Time) *bucket {
	s := step(now)
	e := &b.buckets[uint64(s)%buckets]
	if e.step != s {
		*e = bucket{step: s}
	}
	return e
}

func step(now time.Time) int64 { return now.UnixNano() / int64(window/buckets) }

// Backoff returns the wait before retry number attempt, which counts from 1:
// a random part, given as random in [0, 1), of an exponentially growing span.
// Full jitter spreads callers that failed at the same moment.
func Backoff(attempt int, base, limit time.Duration, random float64) time.Duration {
	span := base
	for i := 1; i < attempt && span < limit; i++ {
		span *= 2
	}
	return time.Duration(float64(min(span, limit)) * random)
}
