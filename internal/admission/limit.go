package admission

import (
	"math"
	"time"
)

// window is an adaptive concurrency limit. It starts at the host's share of the
// slots. It grows above the share while there is demand and the servers show no
// queueing, and returns to it when they do. It falls below the share only when
// the servers shed requests or time out.
type window struct {
	limit       float64
	share       float64 // this host's share of the slots, with overcommit
	ceiling     float64
	decreasedAt time.Duration // time of the last multiplicative decrease
	inDemand    bool          // a request waited for this window since the last Done
	dither      float64       // drawn from [0,1) at each Done
}

// Parameters of the window. docs/load.md compares them.
const (
	// overcommit keeps a little more than one request queued per slot, so that
	// slots do not idle at moments when hosts have few requests.
	overcommit = 2.25
	// minLimit is the lowest limit. A limit below 1 means a pause between
	// requests.
	minLimit = 0.1
	// ceilingFactor bounds the limit at this multiple of the slots.
	ceilingFactor = 4
	// decreaseFactor is applied at most once per latency, because a burst of
	// sheds is one signal.
	decreaseFactor = 0.85
	// stepFraction is the growth per latency relative to the share, and the
	// decrease per latency relative to the limit. Growth by one per latency, as
	// in TCP, would be half of a window of two. Growth relative to the limit
	// itself would preserve unequal limits between hosts.
	stepFraction = 0.05
	// growthHoldLatencies is the number of latencies after a decrease before
	// the limit grows above the share again. With twelve hosts that grow at
	// once, a server sheds soon after.
	growthHoldLatencies = 50
	// recoveryLatencies is the number of latencies after a decrease before the
	// limit grows back to the share. The delay is at most maxRecoveryDelay.
	recoveryLatencies = 10
	maxRecoveryDelay  = 500 * time.Millisecond
	// growBelowSlowdown and shrinkAboveSlowdown are slowdowns, that is
	// latencies relative to the latency without queueing.
	growBelowSlowdown   = 1.8
	shrinkAboveSlowdown = 2.5
	// growBelowPressure and shrinkAbovePressure are reported requests per slot.
	// A host that has never seen the service without queueing takes the latency
	// with queueing for normal; the reports keep its limit from growing. When
	// all hosts use their share, the pressure equals the overcommit, which is
	// above both.
	growBelowPressure   = 1.7
	shrinkAbovePressure = 2.0
)

func newWindow(slots float64, hosts int, floor float64) window {
	var w window
	w.setShare(slots, hosts, floor)
	w.limit = max(w.share, 1)
	return w
}

// setShare adapts the share to a new number of slots or hosts. The limit
// changes in proportion.
func (w *window) setShare(slots float64, hosts int, floor float64) {
	share := max(slots*overcommit/float64(max(hosts, 1)), floor)
	if w.share > 0 && w.limit > 0 {
		w.limit *= share / w.share
	}
	w.share = share
	w.ceiling = max(slots*ceilingFactor, 1)
	w.limit = min(max(w.limit, minLimit), w.ceiling)
}

// allowsOneMore reports whether one more request may be sent besides inFlight
// others. The dither turns a limit of 2.3 into three in 30 % of the cases: if
// twelve hosts all rounded down, slots would idle.
func (w *window) allowsOneMore(inFlight int) bool {
	return inFlight == 0 || float64(inFlight)+1 <= w.limit+w.dither
}

// pauseAfterRequest returns the time to wait after a request when the limit is
// below one.
func (w *window) pauseAfterRequest(latency time.Duration) time.Duration {
	if w.limit >= 1 {
		return 0
	}
	return time.Duration(float64(latency) * (1/w.limit - 1))
}

// adapt updates the limit. Under pressure it returns to base.
func (w *window) adapt(now time.Duration, base float64, outcome Outcome, slowdown, pressure float64, latency time.Duration) {
	switch outcome {
	case OutcomeShed, OutcomeTimeout:
		if now-w.decreasedAt >= latency || w.decreasedAt == 0 {
			w.decreasedAt = now
			w.limit = max(w.limit*decreaseFactor, minLimit)
		}
	case OutcomeOK:
		switch {
		case slowdown > shrinkAboveSlowdown || pressure > shrinkAbovePressure:
			if w.limit > base {
				w.limit = max(w.limit-stepFraction*min(w.limit, 1), base)
			} else if w.mayRecover(now, latency) {
				w.limit = min(w.limit+stepFraction*w.share*min(1/w.limit, 1), base)
			}
		case w.limit < base && w.mayRecover(now, latency), w.mayGrow(now, slowdown, pressure, latency):
			w.limit = min(w.limit+stepFraction*w.share*min(1/w.limit, 1), w.ceiling)
		}
		w.inDemand = false
	}
}

// mayRecover reports whether the limit may grow back to the share.
func (w *window) mayRecover(now, latency time.Duration) bool {
	return now-w.decreasedAt > min(recoveryLatencies*latency, maxRecoveryDelay)
}

// mayGrow reports whether the limit may grow above the share. It requires
// demand, no recent shed, a latency without queueing and reports of low
// pressure.
func (w *window) mayGrow(now time.Duration, slowdown, pressure float64, latency time.Duration) bool {
	return w.inDemand && slowdown < growBelowSlowdown && pressure < growBelowPressure && now-w.decreasedAt > growthHoldLatencies*latency
}

// latencyEstimator tracks a moving mean of the latency, its deviation, and the
// baseline, which is the latency without queueing.
type latencyEstimator struct {
	mean, deviation float64 // nanoseconds
	baseline        float64
	batchSum        float64
	batchCount      int
	baselineAt      time.Duration
}

const (
	meanSmoothing = 0.05
	batchSize     = 16
	// baselineDrift lets the baseline rise by 1 % per second, so that it
	// follows a service that became slower permanently.
	baselineDrift = 0.01
)

func (e *latencyEstimator) observe(now, latency time.Duration) {
	value := float64(latency)
	if e.mean == 0 {
		e.mean, e.deviation = value, value/2
	}
	e.deviation += meanSmoothing * (math.Abs(value-e.mean) - e.deviation)
	e.mean += meanSmoothing * (value - e.mean)
	e.batchSum += value
	e.batchCount++
	if e.batchCount < batchSize {
		return
	}
	batchMean := e.batchSum / float64(e.batchCount)
	e.batchSum, e.batchCount = 0, 0
	if e.baseline > 0 {
		batchMean = min(batchMean, e.baseline*(1+baselineDrift*(now-e.baselineAt).Seconds()))
	}
	e.baseline, e.baselineAt = batchMean, now
}

// slowdown returns the latency relative to the baseline.
func (e *latencyEstimator) slowdown(latency time.Duration) float64 {
	if e.baseline <= 0 {
		return 1
	}
	return float64(latency) / e.baseline
}

// stallTimeout returns the time after which a request is unusually late. It is
// computed like the retransmission timeout of TCP.
func (e *latencyEstimator) stallTimeout() time.Duration {
	if e.mean == 0 {
		return defaultStallTimeout
	}
	return max(time.Duration(e.mean+6*e.deviation), minStallTimeout)
}

// highLatency returns the latency that only a few requests exceed.
func (e *latencyEstimator) highLatency() time.Duration { return time.Duration(e.mean + 2*e.deviation) }

const (
	minStallTimeout     = 50 * time.Millisecond
	defaultStallTimeout = time.Second
)
