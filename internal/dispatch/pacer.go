package dispatch

import (
	"math"
	"time"
)

// Parameters of the pace of requests to servers with a rate limit.
const (
	// burstWindow is the time whose requests a server may get at once after a pause,
	// at least one request.
	burstWindow = 500 * time.Millisecond
	// localRateShare is the share of a limit that all hosts together may use while
	// they place requests without the dispatcher. It is small for two reasons: others
	// may still use the dispatcher, which spends the whole limit, and the turns of
	// hosts are random, so that more of them than usual may fall into one second.
	localRateShare = 0.25
	// maxTurnWindow bounds how long the turn of a host lasts. An unused turn lapses:
	// hosts that saved theirs could all send at once when the dispatcher fails.
	maxTurnWindow = time.Second
)

// pacer decides when a server may get its next request.
type pacer interface {
	// delay returns how long a request must wait that comes after ahead others.
	delay(now Instant, ahead int) time.Duration
	// take counts a request that is sent.
	take(now Instant)
	// setRate changes the rate, in requests per second, and how many requests may be
	// sent at once after a pause.
	setRate(now Instant, rate, burst float64)
	// interval is the mean time between two requests.
	interval() time.Duration
}

// tokenBucket paces the requests of all hosts. It starts empty, because other hosts
// may just have sent what the limit allows.
type tokenBucket struct {
	rate, burst, tokens float64
	updatedAt           Instant
}

func newTokenBucket(now Instant, rate, burst float64) *tokenBucket {
	return &tokenBucket{rate: rate, burst: burst, updatedAt: now}
}

func (b *tokenBucket) refill(now Instant) {
	b.tokens = min(b.tokens+now.Sub(b.updatedAt).Seconds()*b.rate, b.burst)
	b.updatedAt = now
}

func (b *tokenBucket) delay(now Instant, ahead int) time.Duration {
	b.refill(now)
	return fromSeconds((float64(ahead+1) - b.tokens) / b.rate)
}

func (b *tokenBucket) take(now Instant) {
	b.refill(now)
	b.tokens--
}

func (b *tokenBucket) setRate(now Instant, rate, burst float64) {
	b.refill(now)
	b.rate, b.burst = rate, burst
}

func (b *tokenBucket) interval() time.Duration { return fromSeconds(1 / b.rate) }

// turns paces the requests of one of many hosts that do not see each other's. Each
// host has one turn per period, at a random time, so that the turns of all hosts are
// spread evenly. What a host does not use is lost.
type turns struct {
	period time.Duration
	next   Instant // start of the current or next turn
}

// newTurns returns turns at a rate. Phase, from 0 to 1, places them in the period.
func newTurns(now Instant, rate, phase float64) *turns {
	period := fromSeconds(1 / rate)
	return &turns{period: period, next: now.Add(time.Duration(phase * float64(period)))}
}

// skipLapsed moves next to the first turn that has not ended.
func (t *turns) skipLapsed(now Instant) {
	window := min(t.period, maxTurnWindow)
	if late := now.Sub(t.next) - window; late >= 0 {
		t.next = t.next.Add((late/t.period + 1) * t.period)
	}
}

func (t *turns) delay(now Instant, ahead int) time.Duration {
	t.skipLapsed(now)
	return max(t.next.Sub(now), 0) + time.Duration(ahead)*t.period
}

func (t *turns) take(now Instant) {
	t.skipLapsed(now)
	t.next = t.next.Add(t.period)
}

func (t *turns) setRate(now Instant, rate, _ float64) {
	t.skipLapsed(now)
	period := fromSeconds(1 / rate)
	t.next = now.Add(time.Duration(float64(t.next.Sub(now)) * (float64(period) / float64(t.period))))
	t.period = period
}

func (t *turns) interval() time.Duration { return t.period }

// fromSeconds converts to a duration from 1 ns to about 290 years; 0 or less is 0.
func fromSeconds(seconds float64) time.Duration {
	if seconds <= 0 {
		return 0
	}
	return time.Duration(min(max(seconds*float64(time.Second), 1), math.MaxInt64/2))
}
