package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// replayDownloads replays 30 s of downloads and small requests that must not be repeated
// from hosts in three availability zones, at under half of the capacity of 30 servers. It
// returns the shares of the downloads that left their zone and that met their target.
func replayDownloads(t *testing.T) (crossed, met float64) {
	t.Helper()
	const (
		rate     = 80 // requests per second
		hosts    = 27
		requests = 30 * rate
	)
	random := rand.New(rand.NewPCG(1, 2))
	zones := []string{"a", "b", "c"}
	serverZone, speeds := make(map[string]string), make(map[string]float64)
	var servers []Server
	for i := range 30 {
		s := Server{ID: fmt.Sprint("s", i), Zone: zones[i%3], Slots: 2, Speed: []float64{0.5, 1, 1, 1.5}[i%4]}
		servers, serverZone[s.ID], speeds[s.ID] = append(servers, s), s.Zone, s.Speed
	}
	sched := NewScheduler(1, 1, nil)
	sched.SetServers(0, servers)
	type running struct {
		id   uint64
		ends Instant
	}
	var inFlight []running
	downloads, crossings, inTime := 0, 0, 0
	targets := make(map[uint64]Request)
	assign := func(now Instant, decisions []Decision) {
		for _, d := range decisions {
			if d.Server == "" {
				continue
			}
			request := targets[d.ID]
			actual := math.Exp(0.5*random.NormFloat64() - 0.125)
			if random.Float64() < 0.03 {
				actual *= 7
			}
			end := now.Add(time.Duration(float64(request.Work) * actual / speeds[d.Server]))
			inFlight = append(inFlight, running{d.ID, end})
			if request.ResponseBytes < 50_000 {
				continue
			}
			downloads++
			if serverZone[d.Server] != request.Zone {
				crossings++
			}
			if end <= request.Target {
				inTime++
			}
		}
	}
	now := Instant(0)
	for id := range uint64(requests) {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / rate))
		for i := 0; i < len(inFlight); i++ {
			if done := inFlight[i]; done.ends <= now {
				inFlight = append(inFlight[:i], inFlight[i+1:]...)
				assign(done.ends, sched.Complete(done.ends, done.id, Result{Outcome: Succeeded}))
				i--
			}
		}
		host := random.Uint64N(hosts)
		request := Request{ID: id, Position: NoPosition, Repeatable: true, HostID: host, Zone: zones[host%3], ResponseBytes: 90_000,
			Target: now.Add(1200 * time.Millisecond), Deadline: now.Add(3 * time.Second), Work: 150 * time.Millisecond}
		if id%5 < 2 {
			request.Repeatable, request.ResponseBytes = false, 1500
		}
		targets[id] = request
		assign(now, sched.Submit(now, request))
	}
	return float64(crossings) / float64(downloads), float64(inTime) / float64(downloads)
}

// Guards against large responses that leave their availability zone for the sake of an
// idle connection, while servers of the zone would respond within the target.
func TestDownloadsStayInTheirZoneAtHalfLoad(t *testing.T) {
	crossed, met := replayDownloads(t)
	t.Logf("%.3f of the responses left their zone, %.3f met their target", crossed, met)
	assert.Assert(t, crossed < 0.05, "%.3f of the responses left their zone", crossed)
	assert.Assert(t, met > 0.99, "%.3f met their target", met)
}
