package dispatch

import "time"

// lastingSpeed returns the estimated speed, reduced during the warmup. Waits and
// capacities are estimated with it: they concern more than the next moment.
func (s *serverState) lastingSpeed(now Instant) float64 {
	speed := s.estimatedSpeed
	if now < s.warmupEnd {
		speed *= warmupSpeedFactor
	}
	return max(speed, minSpeed)
}

// recordResult updates the server's failure rate, pause and speed.
func (s *serverState) recordResult(now Instant, request inFlightRequest, result Result) {
	switch result.Outcome {
	case Abandoned:
		// A request canceled after a long time still shows that the server is slow.
		if elapsed := now.Sub(request.assignedAt); request.work > 0 && elapsed > 3*request.work {
			s.recordSample(request.work, s.warmTime(now, elapsed))
		}
		return
	case Inconclusive:
		return
	case Succeeded:
		s.failureRate *= 1 - failureWeight
		s.backoff = 0
		s.pausedUntil = min(s.pausedUntil, now)
		s.connections.markIdle(now, request.hostID)
		if !request.saturated && (!result.HasLoad || result.Waiting == 0) && request.work > 0 {
			s.recordSample(request.work, s.warmTime(now, now.Sub(request.assignedAt)))
		}
		return
	case Shed:
		s.pausedUntil = now.Add(shedPause)
		s.failureRate += (1 - s.failureRate) * failureWeight / 2
		return
	case Unreachable:
		s.backoff = min(max(s.backoff*2, minUnreachablePause), maxUnreachablePause)
		s.pausedUntil = now.Add(s.backoff)
	}
	s.failureRate += (1 - s.failureRate) * failureWeight
}

// recordSample updates the estimated speed with one request that took elapsed for the
// given expected work.
func (s *serverState) recordSample(work, elapsed time.Duration) {
	// One very long request must not undo many normal ones.
	observed := min(elapsed.Seconds(), maxSampleRatio*work.Seconds())
	s.sampleCount++
	weight := max(speedWeight, 1/(s.sampleCount+priorSamples))
	// The speed is a ratio of means. A mean of ratios would overestimate it under
	// a skewed distribution with many short requests.
	s.meanExpectedSeconds += weight * (work.Seconds() - s.meanExpectedSeconds)
	s.meanObservedSeconds += weight * (observed - s.meanObservedSeconds)
	s.estimatedSpeed = min(max(s.meanExpectedSeconds/max(s.meanObservedSeconds, 1e-6), minSpeed), maxSpeed)
}

// assumeSpeed sets the estimated speed to one that is known from elsewhere.
func (s *serverState) assumeSpeed(speed float64, work time.Duration) {
	s.estimatedSpeed = speed
	s.meanExpectedSeconds, s.meanObservedSeconds = work.Seconds(), work.Seconds()/speed
}
