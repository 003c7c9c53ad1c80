package balance

import "math/rand/v2"

// ZonePreference keeps requests in the host's own availability zone while it
// has capacity and spills the rest to the others in proportion to their slots.
// Within the chosen group it ranks by own in-flight requests and latency.
type ZonePreference struct{}

// Choose implements Policy.
func (ZonePreference) Choose(view *View, random *rand.Rand) int {
	return pickLowest(view, random, zoneScore)
}

// zonePenalty ranks a remote server behind a local one that has one request
// per slot queued less: a longer queue costs more than the latency between
// availability zones, which is at most a few milliseconds.
const zonePenalty = 0.75

func zoneScore(view *View, i int) float64 {
	s := &view.Servers[i]
	score := probeScore(view, i)
	if s.AvailabilityZone != view.AvailabilityZone {
		score += zonePenalty * float64(max(s.Slots, 1)) / s.weight()
	}
	return score
}
