package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against retries above their share of the requests, in any sequence of
// requests and retries.
func TestRetriesStayUnderShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget()
		now := time.Unix(1000, 0)
		requests, retries := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.CountRequest(now)
				requests++
			} else if b.Allow(now) {
				retries++
			}
			assert.Assert(t, float64(retries) <= MaxRetryShare*float64(requests)+1e-6, "%d retries of %d requests", retries, requests)
		}
	})
}

// Guards against retries that prolong an overload, and against rejecting retries
// after the overload has ended.
func TestNoRetriesInOverload(t *testing.T) {
	b := NewBudget()
	now := time.Unix(1000, 0)
	for range 100 {
		b.CountRequest(now)
	}
	for range 4 {
		b.CountShed(now)
	}
	assert.Assert(t, b.Allow(now))
	b.CountShed(now)
	assert.Assert(t, !b.Allow(now) && b.Overloaded(now))
	assert.Assert(t, b.Allow(now.Add(windowLength)))
}

// Guards against delays outside of their bounds and against overflow.
func TestBackoffIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		attempt := rapid.IntRange(1, 1000).Draw(t, "attempt")
		random := rapid.Float64Range(0, 0.999).Draw(t, "random")
		d := Backoff(attempt, 25*time.Millisecond, time.Second, random)
		assert.Assert(t, 0 <= d && d < time.Second)
		if attempt == 1 {
			assert.Assert(t, d < 25*time.Millisecond)
		}
	})
}
