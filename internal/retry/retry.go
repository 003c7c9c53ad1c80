// Package retry limits the retries of failed requests and computes the backoff
// before them. It uses no clock and no randomness of its own.
package retry

import (
	"sync"
	"time"
)

const (
	// MaxRetryShare is the largest ratio of retries to requests. Retries that add
	// more than a tenth to the load can keep a service overloaded after the cause is
	// gone.
	MaxRetryShare = 0.1
	// windowLength is the length of the sliding window over which requests and shed
	// requests are counted.
	windowLength = time.Second
	// bucketCount is the number of buckets in the window, which slides by one bucket
	// at a time.
	bucketCount = 10
	// minRequests is the least number of requests that overloadShedShare is applied
	// to, which bounds the weight of a shed request among few.
	minRequests = 20
	// overloadShedShare is the share of shed requests from which a service counts as
	// overloaded.
	overloadShedShare = 0.05
	// maxSavedRetries bounds the retries that requests without failures can add to
	// the budget.
	maxSavedRetries = 10
)

// bucket counts the events in one step of the window.
type bucket struct {
	step     int64
	requests int
	sheds    int
}

// Budget is the retry budget of one service, a token bucket. Its methods are safe
// for concurrent use.
type Budget struct {
	mu      sync.Mutex
	tokens  float64
	buckets [bucketCount]bucket
}

// NewBudget returns an empty budget, so that MaxRetryShare is kept from the first
// request on.
func NewBudget() *Budget { return &Budget{} }

// CountRequest counts the first attempt of a request.
func (b *Budget) CountRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucketFor(now).requests++
	b.tokens = min(b.tokens+MaxRetryShare, maxSavedRetries)
}

// CountShed counts one request that a server rejected because of load.
func (b *Budget) CountShed(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucketFor(now).sheds++
}

// Allow takes one retry from the budget. It returns false if the budget is empty or
// the service is overloaded.
func (b *Budget) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.overloaded(now) || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Overloaded reports whether the service has shed at least overloadShedShare of the
// requests in the window.
func (b *Budget) Overloaded(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.overloaded(now)
}

func (b *Budget) overloaded(now time.Time) bool {
	requests, sheds := 0, 0
	oldest := stepOf(now) - bucketCount
	for _, e := range b.buckets {
		if e.step > oldest {
			requests += e.requests
			sheds += e.sheds
		}
	}
	return sheds > 0 && float64(sheds) >= overloadShedShare*float64(max(requests, minRequests))
}

// bucketFor returns the bucket of now, reset if it holds the counts of an older
// step.
func (b *Budget) bucketFor(now time.Time) *bucket {
	s := stepOf(now)
	e := &b.buckets[uint64(s)%bucketCount]
	if e.step != s {
		*e = bucket{step: s}
	}
	return e
}

// stepOf returns the number of the window's step that now is in.
func stepOf(now time.Time) int64 { return now.UnixNano() / int64(windowLength/bucketCount) }

// Backoff returns the delay before retry number attempt, which counts from 1:
// exponential backoff from base, capped at limit, times random in [0, 1). This full
// jitter spreads the retries of requests that failed at the same moment.
func Backoff(attempt int, base, limit time.Duration, random float64) time.Duration {
	delay := base
	for i := 1; i < attempt && delay < limit; i++ {
		delay *= 2
	}
	return time.Duration(float64(min(delay, limit)) * random)
}
