package balance

import "time"

// initialWeight is the weight of a server that has just started. It is low
// enough that a server with empty caches gets few requests, and high enough
// that the caches fill.
const initialWeight = 0.1

// WarmupWeight returns the weight of a server whose warmup started elapsed ago.
// It grows linearly from initialWeight to 1 within duration.
func WarmupWeight(elapsed, duration time.Duration) float64 {
	if duration <= 0 || elapsed >= duration {
		return 1
	}
	return initialWeight + (1-initialWeight)*max(float64(elapsed), 0)/float64(duration)
}
