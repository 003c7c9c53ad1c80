package balance

import "math/rand/v2"

// ZonePreference keeps requests in the host's availability zone while it has
// capacity, and spreads the rest over the other zones in proportion to their
// slots. Within a zone it ranks by requests in flight and latency.
type ZonePreference struct{}

// Choose implements Policy.
func (ZonePreference) Choose(view *View, random *rand.Rand) int {
	return pickLowest(view, random, zoneScore)
}

// remoteZonePenalty is added to the requests per slot of a remote server. A local
// server with one more request per slot ranks behind it: a longer queue costs more
// than the latency between availability zones, which is at most a few milliseconds.
const remoteZonePenalty = 0.75

func zoneScore(view *View, i int) float64 {
	s := &view.Servers[i]
	score := localScore(view, i)
	if s.AvailabilityZone != view.AvailabilityZone {
		score += remoteZonePenalty * float64(max(s.Slots, 1)) / s.weight()
	}
	return score
}
