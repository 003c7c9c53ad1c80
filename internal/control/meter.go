package control

import (
	"math"
	"time"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/shards"
)

// Windows of the leader's estimates.
const (
	// loadWindow is short, because keys become hot within seconds.
	loadWindow = time.Second
	// speedWindow is longer: the work of requests varies much.
	speedWindow = 4 * time.Second
	// speedMemory is how long a server is remembered that has no answers.
	speedMemory = time.Minute
	// minSpeedSeconds is the observed work from which a speed is believed.
	minSpeedSeconds = 0.6
)

// loadMeter estimates the rates of a service's key positions with
// exponentially decaying counts.
type loadMeter struct {
	counts  []float64
	samples float64
	at      boottime.Instant
}

func newLoadMeter(now boottime.Instant) *loadMeter {
	return &loadMeter{counts: make([]float64, shards.Positions), at: now}
}

func (m *loadMeter) add(load *fleetpb.ServiceLoad) {
	for i, position := range load.Positions {
		if int(position) < len(m.counts) && i < len(load.Counts) {
			m.counts[position] += float64(load.Counts[i])
			m.samples += float64(load.Counts[i])
		}
	}
}

// load decays the counts to now and returns them as rates.
func (m *loadMeter) load(now boottime.Instant) shards.Load {
	decay := math.Exp(-now.Sub(m.at).Seconds() / loadWindow.Seconds())
	m.at = now
	m.samples *= decay
	rates := make([]float64, len(m.counts))
	for i := range m.counts {
		m.counts[i] *= decay
		rates[i] = m.counts[i] / loadWindow.Seconds()
	}
	return shards.Load{Rates: rates, Samples: m.samples}
}

// speedMeter estimates the speed of servers relative to their service's mean.
type speedMeter struct {
	sums map[string]*speedSum
}

type speedSum struct {
	expected, observed float64
	at                 boottime.Instant
}

func newSpeedMeter() *speedMeter { return &speedMeter{sums: make(map[string]*speedSum)} }

func (m *speedMeter) add(report *fleetpb.ServerReport, now boottime.Instant) {
	s := m.sums[report.Server]
	if s == nil {
		s = &speedSum{at: now}
		m.sums[report.Server] = s
	}
	decay := math.Exp(-now.Sub(s.at).Seconds() / speedWindow.Seconds())
	s.expected = s.expected*decay + report.ExpectedSeconds
	s.observed = s.observed*decay + report.ObservedSeconds
	s.at = now
}

// all returns the speeds that are known, and forgets servers that were not heard
// of for long: IDs are new at each start.
func (m *speedMeter) all(now boottime.Instant) map[string]float64 {
	out := make(map[string]float64, len(m.sums))
	for id, s := range m.sums {
		if now.Sub(s.at) > speedMemory {
			delete(m.sums, id)
			continue
		}
		if speed, ok := m.speed(id); ok {
			out[id] = speed
		}
	}
	return out
}

// speed returns a server's speed; ok is false while too little was observed.
func (m *speedMeter) speed(server string) (speed float64, ok bool) {
	s := m.sums[server]
	if s == nil || s.observed < minSpeedSeconds {
		return 0, false
	}
	return s.expected / s.observed, true
}
