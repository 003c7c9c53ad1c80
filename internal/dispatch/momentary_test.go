package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// momentaryReplay replays a minute of requests without keys to 16 servers, a fifth of
// which is three times as slow for 400 ms at a time.
type momentaryReplay struct {
	random    *rand.Rand
	sched     *Scheduler
	reported  bool // whether the servers report it
	slotsFree map[string][2]Instant
	inFlight  []runningRequest // by end
	requests  map[uint64]Request
	times     []time.Duration
}

type runningRequest struct {
	id     uint64
	server string
	ends   Instant
}

// percent returns the time of work at a server. Servers change at different moments.
func (r *momentaryReplay) percent(server string, at Instant) int {
	period := uint64(float64(at)/float64(400*ms) + hashToUnit(1, server))
	if hashToUnit(period, server) < 0.2 {
		return 300
	}
	return 100
}

func (r *momentaryReplay) decide(now Instant, decisions []Decision) {
	for _, d := range decisions {
		if d.Server == "" {
			continue
		}
		slots := r.slotsFree[d.Server]
		slot := 0
		if slots[1] < slots[0] {
			slot = 1
		}
		end := max(now+ms, slots[slot])
		for work := 0.1 * math.Exp(0.3*r.random.NormFloat64()-0.045); work > 0; end += ms {
			work -= 0.1 / float64(r.percent(d.Server, end))
		}
		slots[slot] = end
		r.slotsFree[d.Server] = slots
		r.inFlight = append(r.inFlight, runningRequest{d.ID, d.Server, end})
	}
}

func (r *momentaryReplay) run() (mean, p99 time.Duration) {
	var servers []Server
	for i := range 16 {
		servers = append(servers, Server{ID: fmt.Sprint("s", i), Zone: "z", Slots: 2})
	}
	r.decide(0, r.sched.SetServers(0, servers))
	id, next := uint64(0), Instant(0)
	for now := Instant(0); now < 60*second; now += ms {
		for i := 0; i < len(r.inFlight); i++ {
			done := r.inFlight[i]
			if done.ends+ms > now {
				continue
			}
			r.inFlight = slices.Delete(r.inFlight, i, i+1)
			i--
			result := Result{Outcome: Succeeded, HasLoad: true}
			if r.reported {
				result.TimePercent = r.percent(done.server, done.ends)
			}
			r.times = append(r.times, now.Sub(r.requests[done.id].Target.Add(-time.Second)))
			r.decide(now, r.sched.Complete(now, done.id, result))
		}
		// 0.7 of what the servers can do: 16 x 2 slots at 10/s and a mean speed of 0.867.
		for next <= now {
			next = next.Add(time.Duration(r.random.ExpFloat64() * float64(time.Second) / (0.7 * 16 * 2 * 10 * 0.867)))
			id++
			r.requests[id] = newRequest(id, now)
			request := r.requests[id]
			request.Target, request.Deadline, request.Work = now.Add(time.Second), now.Add(5*time.Second), 100*time.Millisecond
			r.requests[id] = request
			r.decide(now, r.sched.Submit(now, request))
		}
		if now%(10*ms) == 0 {
			r.decide(now, r.sched.Reschedule(now))
		}
	}
	total := time.Duration(0)
	for _, took := range r.times {
		total += took
	}
	slices.Sort(r.times)
	return total / time.Duration(len(r.times)), r.times[len(r.times)*99/100]
}

// Guards against requests at servers that say that they are slow at present, and against
// lasting speeds that take it in.
func TestMomentarySpeedShortensResponses(t *testing.T) {
	var means, p99s [2]time.Duration
	for i, reported := range []bool{false, true} {
		r := &momentaryReplay{random: rand.New(rand.NewPCG(3, 4)), sched: NewScheduler(1, 1, nil), reported: reported, slotsFree: make(map[string][2]Instant), requests: make(map[uint64]Request)}
		means[i], p99s[i] = r.run()
		slowest, fastest := math.Inf(1), 0.0
		for _, s := range r.sched.sortedServers {
			slowest, fastest = min(slowest, s.estimatedSpeed), max(fastest, s.estimatedSpeed)
		}
		t.Logf("reported %t: mean %s, p99 %s of %d; estimated speeds %.2f to %.2f", reported, means[i], p99s[i], len(r.times), slowest, fastest)
	}
	assert.Assert(t, means[1] < means[0] && p99s[1] < p99s[0])
}

// Guards against a factor that outlives its time or the server's process, and against one
// from a response of the former process.
func TestMomentaryTimeFadesAndEndsWithTheProcess(t *testing.T) {
	sched := testScheduler(Server{ID: "a", Zone: "z", Slots: 4, Incarnation: 1})
	s := sched.servers["a"]
	for id := range uint64(2) {
		onlyDecision(t, sched.Submit(0, newRequest(id, 0)))
	}
	sched.Complete(0, 0, Result{Outcome: Succeeded, TimePercent: 300})
	assert.Equal(t, s.momentary.factor(0), 3.0)
	assert.Equal(t, s.momentary.factor(200*ms), 2.0)
	assert.Equal(t, s.momentary.factor(400*ms), 1.0)
	assert.Assert(t, s.effectiveSpeed(0) < 0.5*s.lastingSpeed(0))
	sched.SetServers(ms, []Server{{ID: "a", Zone: "z", Slots: 4, Incarnation: 2}})
	assert.Equal(t, s.momentary.factor(ms), 1.0)
	sched.Complete(ms, 1, Result{Outcome: Succeeded, TimePercent: 300})
	assert.Equal(t, s.momentary.factor(ms), 1.0)
	s.momentary = newMomentaryTime(ms, 1)
	assert.Assert(t, s.effectiveSpeed(ms) <= maxSpeed)
}
