package balance

import "time"

// coldWeight is the share of a server that has just started; low enough that
// empty caches get a trickle, high enough that they fill.
const coldWeight = 0.1

// Ramp returns the weight of a server that started or returned since ago: it
// grows evenly from a tenth to 1 within duration.
func Ramp(since, duration time.Duration) float64 {
	if duration <= 0 || since >= duration {
		return 1
	}
	return coldWeight + (1-coldWeight)*max(float64(since), 0)/float64(duration)
}
