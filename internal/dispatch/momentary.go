package dispatch

import "time"

// momentaryLifetime is the age at which a server's momentary time no longer counts. The
// time changes about every 400 ms, at an unknown moment: after an age a, the share
// 1 - a/400 ms of the reports still holds, so that the expected factor fades linearly.
const momentaryLifetime = 400 * time.Millisecond

// momentaryTime is how long work takes at a server at present, relative to its usual time.
// Only the choice between servers takes it into account. Lasting speeds and costs include
// the slow moments: without them waits and capacities were estimated at up to 1.4 times of
// what servers served, and owners of keys were given more than they could serve in time.
type momentaryTime struct {
	reported   float64 // 0: never
	reportedAt Instant
}

func newMomentaryTime(now Instant, percent int) momentaryTime {
	return momentaryTime{reported: float64(percent) / 100, reportedAt: now}
}

// factor returns the expected time of work at now relative to its usual time.
func (m momentaryTime) factor(now Instant) float64 {
	age := now.Sub(m.reportedAt)
	if m.reported <= 0 || age >= momentaryLifetime {
		return 1
	}
	weight := 1 - max(age, 0).Seconds()/momentaryLifetime.Seconds()
	return 1 + weight*(m.reported-1)
}

// effectiveSpeed returns the speed at which the server works at present. No report makes
// it faster than maxSpeed, so that a wrong one does not attract all requests.
func (s *serverState) effectiveSpeed(now Instant) float64 {
	speed, factor := s.lastingSpeed(now), s.momentary.factor(now)
	if factor == 1 {
		return speed
	}
	return min(max(speed/factor, minSpeed), max(speed, maxSpeed))
}
