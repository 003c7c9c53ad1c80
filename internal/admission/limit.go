package admission

import (
	"math"
	"time"
)

// window is an adaptive concurrency limit. It starts from the host's share of
// the slots, grows above the share while there is demand and the servers show
// no queueing, returns to it when they do, and falls below it only when they
// shed or time out.
type window struct {
	limit    float64
	share    float64 // this host's share of the slots, with overcommit
	ceiling  float64
	cutAt    time.Duration // last multiplicative decrease
	demanded bool          // a request waited for this window since the last Done
	dither   float64       // redrawn from [0,1) with each Done
}

// The constants of the window. They are compared in docs/load.md.
const (
	// overcommit keeps a little more than one request queued per slot, so that
	// slots do not idle where the hosts' requests happen to be few.
	overcommit = 2.25
	// minWindow is the lowest limit; a limit below 1 is a pause between
	// requests.
	minWindow = 0.1
	// ceilingFactor bounds the limit at this multiple of the slots.
	ceilingFactor = 4
	// decrease is applied at most once per latency: one burst of sheds is one
	// signal.
	decrease = 0.85
	// step is the growth per latency relative to the share, and the decrease per
	// latency relative to the limit. Growth by one per latency, as in TCP, is
	// half of a window of two; growth relative to the limit itself would keep
	// unequal hosts unequal.
	step = 0.05
	// holdFactor latencies after a cut pass before the limit grows above the
	// share again: with twelve hosts growing at once a server sheds soon after.
	holdFactor = 50
	// recoveryFactor latencies, and at most maxRecovery, pass before the limit
	// grows back to the share.
	recoveryFactor = 10
	maxRecovery    = 500 * time.Millisecond
	// growBelow and shrinkAbove are slowdowns (latency relative to the latency
	// without queueing).
	growBelow   = 1.8
	shrinkAbove = 2.5
	// growPressure and shrinkPressure are reported requests per slot. A host
	// that has never seen the service without queueing takes the queueing for
	// the usual latency; the reports keep it from growing then. When all hosts
	// use their share the pressure is the overcommit, which is above both.
	growPressure   = 1.7
	shrinkPressure = 2.0
)

func newWindow(slots float64, hosts int, floor float64) window {
	var w window
	w.setShare(slots, hosts, floor)
	w.limit = max(w.share, 1)
	return w
}

// setShare adapts the share to a new number of slots or hosts.
func (w *window) setShare(slots float64, hosts int, floor float64) {
	share := max(slots*overcommit/float64(max(hosts, 1)), floor)
	if w.share > 0 && w.limit > 0 {
		w.limit *= share / w.share
	}
	w.share = share
	w.ceiling = max(slots*ceilingFactor, 1)
	w.limit = min(max(w.limit, minWindow), w.ceiling)
}

// fits tells whether one more request may be sent beside inFlight others. The
// dither makes a limit of 2.3 three in 30 % of the cases: twelve hosts that all
// round down leave slots idle.
func (w *window) fits(inFlight int) bool {
	return inFlight == 0 || float64(inFlight)+1 <= w.limit+w.dither
}

// pause is the time to wait after a request when the limit is below one.
func (w *window) pause(latency time.Duration) time.Duration {
	if w.limit >= 1 {
		return 0
	}
	return time.Duration(float64(latency) * (1/w.limit - 1))
}

// onOutcome adapts the limit; base is where it returns to under pressure.
func (w *window) onOutcome(now time.Duration, base float64, outcome Outcome, slowdown, pressure float64, latency time.Duration) {
	switch outcome {
	case OutcomeShed, OutcomeTimeout:
		if now-w.cutAt >= latency || w.cutAt == 0 {
			w.cutAt = now
			w.limit = max(w.limit*decrease, minWindow)
		}
	case OutcomeOK:
		switch {
		case slowdown > shrinkAbove || pressure > shrinkPressure:
			if w.limit > base {
				w.limit = max(w.limit-step*min(w.limit, 1), base)
			} else if w.mayRecover(now, latency) {
				w.limit = min(w.limit+step*w.share*min(1/w.limit, 1), base)
			}
		case w.limit < base && w.mayRecover(now, latency), w.mayGrow(now, slowdown, pressure, latency):
			w.limit = min(w.limit+step*w.share*min(1/w.limit, 1), w.ceiling)
		}
		w.demanded = false
	}
}

// mayRecover tells whether the limit may grow back to the share.
func (w *window) mayRecover(now, latency time.Duration) bool {
	return now-w.cutAt > min(recoveryFactor*latency, maxRecovery)
}

// mayGrow tells whether the limit may grow above the share: there is demand,
// and neither sheds, nor the own latency, nor the reports speak against it.
func (w *window) mayGrow(now time.Duration, slowdown, pressure float64, latency time.Duration) bool {
	return w.demanded && slowdown < growBelow && pressure < growPressure && now-w.cutAt > holdFactor*latency
}

// estimator tracks a latency: a moving mean, its deviation, and the latency
// without queueing.
type estimator struct {
	mean, deviation float64 // nanoseconds
	baseline        float64
	batchSum        float64
	batchCount      int
	baselineAt      time.Duration
}

const (
	meanGain  = 0.05
	batchSize = 16
	// baselineDrift lets the baseline rise by 1 % per second, so that it
	// follows a service that became slower for good.
	baselineDrift = 0.01
)

func (e *estimator) observe(now, latency time.Duration) {
	value := float64(latency)
	if e.mean == 0 {
		e.mean, e.deviation = value, value/2
	}
	e.deviation += meanGain * (math.Abs(value-e.mean) - e.deviation)
	e.mean += meanGain * (value - e.mean)
	e.batchSum += value
	e.batchCount++
	if e.batchCount < batchSize {
		return
	}
	batch := e.batchSum / float64(e.batchCount)
	e.batchSum, e.batchCount = 0, 0
	if e.baseline > 0 {
		batch = min(batch, e.baseline*(1+baselineDrift*(now-e.baselineAt).Seconds()))
	}
	e.baseline, e.baselineAt = batch, now
}

// slowdown is the latency relative to the baseline.
func (e *estimator) slowdown(latency time.Duration) float64 {
	if e.baseline <= 0 {
		return 1
	}
	return float64(latency) / e.baseline
}

// patience is the time after which a request is unusually late, as in the
// retransmission timer of TCP.
func (e *estimator) patience() time.Duration {
	if e.mean == 0 {
		return defaultPatience
	}
	return max(time.Duration(e.mean+6*e.deviation), minPatience)
}

// late is the time that all but a few requests take.
func (e *estimator) late() time.Duration { return time.Duration(e.mean + 2*e.deviation) }

const (
	minPatience     = 50 * time.Millisecond
	defaultPatience = time.Second
)
