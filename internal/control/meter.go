package control

import (
	"math"
	"time"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/shards"
)

// Parameters of the leader's load and speed estimates.
const (
	// loadWindow is short because keys become hot within seconds.
	loadWindow = time.Second
	// recentWindow is the window in which a hot set is recognized: its rates rise more
	// than three times as fast as those of loadWindow.
	recentWindow = 300 * time.Millisecond
	// speedWindow is longer because the work of requests varies widely.
	speedWindow = 4 * time.Second
	// speedTTL is how long the speed of a server without responses is kept.
	speedTTL = time.Minute
	// minObservedSeconds is the observed work that a speed estimate requires.
	minObservedSeconds = 0.6
)

// loadMeter estimates the request rates of a service's key positions from
// exponentially decaying counts.
type loadMeter struct {
	counts, recentCounts   []float64
	samples, recentSamples float64
	decayedAt              boottime.Instant
	// rates and recentRates are what load returned last.
	rates, recentRates []float64
}

func newLoadMeter(now boottime.Instant) *loadMeter {
	floats := func() []float64 { return make([]float64, shards.PositionCount) }
	return &loadMeter{counts: floats(), recentCounts: floats(), rates: floats(), recentRates: floats(), decayedAt: now}
}

// add adds the counts that a host has reported.
func (m *loadMeter) add(load *fleetpb.ServiceLoad) {
	for i, position := range load.Positions {
		if int(position) < len(m.counts) && i < len(load.Counts) {
			count := float64(load.Counts[i])
			m.counts[position] += count
			m.recentCounts[position] += count
			m.samples += count
			m.recentSamples += count
		}
	}
}

// load decays the counts up to now and returns them as rates. The result is valid until
// the next call: it is large, and hot keys are looked for often.
func (m *loadMeter) load(now boottime.Instant) shards.Load {
	elapsed := now.Sub(m.decayedAt).Seconds()
	m.decayedAt = now
	decayCounts(m.rates, m.counts, &m.samples, elapsed, loadWindow.Seconds())
	decayCounts(m.recentRates, m.recentCounts, &m.recentSamples, elapsed, recentWindow.Seconds())
	return shards.Load{Rates: m.rates, Samples: m.samples, RecentRates: m.recentRates, RecentSamples: m.recentSamples, RecentWindowRatio: recentWindow.Seconds() / loadWindow.Seconds()}
}

// decayCounts decays counts and their sum by the elapsed seconds and sets rates to the
// counts as rates in a window in seconds.
func decayCounts(rates, counts []float64, sum *float64, elapsed, window float64) {
	decay := math.Exp(-elapsed / window)
	*sum *= decay
	for i := range counts {
		counts[i] *= decay
		rates[i] = counts[i] / window
	}
}

// speedMeter estimates the speed of servers relative to the mean of their
// service.
type speedMeter struct {
	sums map[string]*speedSum
}

// speedSum holds the exponentially decaying work of one server.
type speedSum struct {
	expected, observed float64
	decayedAt          boottime.Instant
}

func newSpeedMeter() *speedMeter { return &speedMeter{sums: make(map[string]*speedSum)} }

// add adds the work of one server that a host has reported.
func (m *speedMeter) add(report *fleetpb.ServerReport, now boottime.Instant) {
	s := m.sums[report.Server]
	if s == nil {
		s = &speedSum{decayedAt: now}
		m.sums[report.Server] = s
	}
	decay := math.Exp(-now.Sub(s.decayedAt).Seconds() / speedWindow.Seconds())
	s.expected = s.expected*decay + report.ExpectedSeconds
	s.observed = s.observed*decay + report.ObservedSeconds
	s.decayedAt = now
}

// all returns the known speeds by server. It removes servers without recent
// reports, because server IDs are new at each start.
func (m *speedMeter) all(now boottime.Instant) map[string]float64 {
	out := make(map[string]float64, len(m.sums))
	for id, s := range m.sums {
		if now.Sub(s.decayedAt) > speedTTL {
			delete(m.sums, id)
			continue
		}
		if speed, ok := m.speed(id); ok {
			out[id] = speed
		}
	}
	return out
}

// speed returns a server's speed; ok is false while too little work was
// observed.
func (m *speedMeter) speed(server string) (speed float64, ok bool) {
	s := m.sums[server]
	if s == nil || s.observed < minObservedSeconds {
		return 0, false
	}
	return s.expected / s.observed, true
}
