package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// What a cold server bears in these tests: 1.5 times 2.5 requests per second and 8 more.
const coldRate, coldMax = 3.75, 11.75

// coldReplay replays requests with keys of 65 hosts to 210 servers, 70 of which turn cold
// at 2 s, again while cold at 6 s, and warm at 20 s. One host dispatches up to 9 s, then
// another one, and from 15 s on no host does.
type coldReplay struct {
	random       *rand.Rand
	servers      []Server
	former, next *Scheduler
	local        []*Scheduler
	steps        [][]func(now Instant) // by time in steps of 5 ms
	lastID       uint64
	arrivals     map[string][]Instant // at cold servers
	waits        []time.Duration      // of served requests for the keys of cold servers
	rejected     int
	misdirected  float64 // share of the requests that are answered 421
	pending      map[uint64]pendingCall
}

type pendingCall struct {
	request Request
	sched   *Scheduler
	since   Instant
	retries int
}

const replayStep, replayEnd = 5 * ms, 22 * second

func newColdReplay(rate, misdirected float64) *coldReplay {
	r := &coldReplay{random: rand.New(rand.NewPCG(7, 8)), arrivals: make(map[string][]Instant), pending: make(map[uint64]pendingCall),
		steps: make([][]func(Instant), replayEnd/replayStep+1), misdirected: misdirected}
	owner := func(position int) OwnerState { return OwnerState{Server: fmt.Sprint("s", position)} }
	r.former, r.next = NewScheduler(1, 1, owner), NewScheduler(1, 1, owner)
	for i := range 65 {
		sched := NewScheduler(1.0/65, 0, owner)
		sched.seed = uint64(i + 1)
		r.local = append(r.local, sched)
	}
	for i := range 210 {
		r.servers = append(r.servers, Server{ID: fmt.Sprint("s", i), Zone: fmt.Sprint(i % 3), Slots: 2, WarmupRate: rate, WarmupMax: coldMax})
	}
	r.list(0, 0)
	r.at(2*second, func(now Instant) { r.list(now, 8*time.Second) })
	r.at(6*second, func(now Instant) { r.list(now, 9*time.Second) })
	r.at(20*second, func(now Instant) { r.list(now, 0) })
	r.at(9250*ms, func(now Instant) { r.next.restartPace(now) })
	return r
}

func (r *coldReplay) at(now Instant, f func(Instant)) {
	if i := int(now / replayStep); i < len(r.steps) {
		r.steps[i] = append(r.steps[i], f)
	}
}

// list tells all hosts that the servers of one zone are cold for the given time.
func (r *coldReplay) list(now Instant, warmup time.Duration) {
	for i := range r.servers {
		if r.servers[i].Zone == "0" {
			r.servers[i].Warmup = warmup
		}
	}
	for _, sched := range append([]*Scheduler{r.former, r.next}, r.local...) {
		r.decide(now, sched, sched.SetServers(now, r.servers))
	}
}

// schedulerOf returns what places the requests of a host. Hosts learn of another
// dispatcher at different times, some before the dispatcher does.
func (r *coldReplay) schedulerOf(now Instant, host int) *Scheduler {
	late := Instant(host) * 8 * ms
	switch {
	case now < 9*second+late:
		return r.former
	case now < 15*second+late:
		return r.next
	default:
		return r.local[host]
	}
}

func (r *coldReplay) submit(now Instant, request Request, since Instant, retries int) {
	r.lastID++
	request.ID, request.Target, request.Deadline = r.lastID, now.Add(time.Second), now.Add(3*time.Second)
	sched := r.schedulerOf(now, int(request.HostID))
	r.pending[request.ID] = pendingCall{request, sched, since, retries}
	r.decide(now, sched, sched.Submit(now, request))
}

// decide lets the servers run the assigned requests. Rejected callers return twice.
func (r *coldReplay) decide(now Instant, sched *Scheduler, decisions []Decision) {
	for _, d := range decisions {
		call := r.pending[d.ID]
		delete(r.pending, d.ID)
		switch cold := r.servers[call.request.Position].Warmup > 0; {
		case d.Server == "" && call.retries < 2:
			r.at(now.Add(d.RetryAfter), func(now Instant) { r.submit(now, call.request, call.since, call.retries+1) })
		case d.Server == "":
			r.rejected++
		default:
			arrival := now.Add(time.Duration(1+r.random.IntN(40)) * time.Millisecond)
			if cold {
				r.arrivals[d.Server] = append(r.arrivals[d.Server], arrival)
			}
			if r.random.Float64() < r.misdirected {
				r.at(arrival+replayStep, func(now Instant) {
					r.decide(now, sched, sched.Complete(now, d.ID, Result{Outcome: Abandoned}))
					r.submit(now, call.request, call.since, call.retries)
				})
				continue
			}
			if cold {
				r.waits = append(r.waits, now.Sub(call.since))
			}
			r.at(arrival.Add(call.request.Work+time.Duration(replayStep)), func(now Instant) { r.decide(now, sched, sched.Complete(now, d.ID, Result{})) })
		}
	}
}

// run returns the most requests that reached a cold server in any one second.
func (r *coldReplay) run() (busiest int) {
	for i := range r.steps {
		now := Instant(i) * replayStep
		for range 8 { // 1600 requests per second
			request := Request{Service: "svc", Position: r.random.IntN(210), Repeatable: true, HostID: r.random.Uint64N(65), Work: time.Duration(10+r.random.IntN(70)) * time.Millisecond}
			r.submit(now, request, now, 0)
		}
		for len(r.steps[i]) > 0 { // may add to the step
			next := r.steps[i][0]
			r.steps[i] = r.steps[i][1:]
			next(now)
		}
		if i%2 == 0 {
			for _, sched := range append([]*Scheduler{r.former, r.next}, r.local...) {
				r.decide(now, sched, sched.Reschedule(now))
			}
		}
	}
	for _, times := range r.arrivals {
		slices.Sort(times)
		first := 0
		for i, at := range times {
			for at.Sub(times[first]) >= time.Second {
				first++
			}
			busiest = max(busiest, i-first+1)
		}
	}
	return busiest
}

// Guards against cold servers that crash: by what hosts save up, by two dispatchers, by
// hosts without one, and by requests that other servers return.
func TestColdServersGetNoMoreThanTheyBear(t *testing.T) {
	for _, misdirected := range []float64{0, 0.2} {
		r := newColdReplay(coldRate, misdirected)
		busiest := r.run()
		sent := 0
		for _, times := range r.arrivals {
			sent += len(times)
		}
		slices.Sort(r.waits)
		p50, p99 := r.waits[len(r.waits)/2], r.waits[len(r.waits)*99/100]
		t.Logf("%.1f answered 421: at most %d requests in a second, %.2f/s at a mean cold server; waits of the served: p50 %s, p99 %s; %d rejected", misdirected, busiest, float64(sent)/70/18, p50, p99, r.rejected)
		assert.Assert(t, float64(busiest) <= coldMax, "%d requests in one second, at most %g are allowed", busiest, coldMax)
		// The dispatchers use the whole rate and the hosts a quarter.
		assert.Assert(t, float64(sent) > 0.8*70*coldRate*(13+0.25*5), "%d requests", sent)
		counts := r.former.warmupCounts()
		counts.add(r.next.warmupCounts())
		assert.Assert(t, counts.Sent > 0 && counts.Delayed > 0 && counts.Rejected > 0 && counts.Cold == 0, "%+v", counts)
	}
	busiest := newColdReplay(0, 0).run()
	t.Logf("without the pace: at most %d requests in a second", busiest)
	assert.Assert(t, float64(busiest) > coldMax, "the load says nothing: %d requests in one second without the pace", busiest)
}

// coldServer returns a server that is cold for the given time.
func coldServer(id string, warmup time.Duration) Server {
	return Server{ID: id, Zone: "z", Slots: 8, Incarnation: 1, Warmup: warmup, WarmupRate: coldRate, WarmupMax: coldMax}
}

// Guards against a warmup that counts only when the server is first seen, and against a
// pace that outlives it.
func TestWarmupRestartsAndEndsWithTheList(t *testing.T) {
	sched := testScheduler(coldServer("a", 0))
	s := sched.servers["a"]
	assert.Assert(t, s.limit == nil)
	sched.SetServers(second, []Server{coldServer("a", 4*time.Second)})
	assert.Equal(t, s.effectiveSpeed(2*second), warmupSpeedFactor)
	assert.Assert(t, s.paceDelay(second, 0) > 0, "the bucket is not empty")
	assert.Equal(t, s.effectiveSpeed(6*second), 1.0)
	assert.Assert(t, s.limit != nil, "cold as long as the list says so")
	restarted := coldServer("a", 4*time.Second)
	restarted.Incarnation = 2
	sched.SetServers(7*second, []Server{restarted})
	assert.Equal(t, s.effectiveSpeed(8*second), warmupSpeedFactor)
	assert.Assert(t, s.paceDelay(7*second, 0) > 0, "a new process starts with an empty bucket")
	// Without its entry for a while, it comes back with an empty bucket.
	sched.SetServers(7500*ms, nil)
	sched.SetServers(7700*ms, []Server{restarted})
	s = sched.servers["a"]
	assert.Assert(t, s.paceDelay(7700*ms, 0) > 0)
	onlyDecision(t, sched.Submit(8*second, newRequest(1, 8*second)))
	sched.SetServers(8*second, []Server{coldServer("a", 0)})
	assert.Equal(t, s.effectiveSpeed(8*second), 1.0)
	assert.Assert(t, s.limit == nil)
	var turns []string
	for _, turn := range sched.takeTransitions() {
		turns = append(turns, fmt.Sprintf("%s %t %g %d", turn.Server, turn.Cold, turn.Rate, turn.Sent))
	}
	assert.DeepEqual(t, turns, []string{"a true 3.75 0", "a true 3.75 0", "a true 3.75 0", "a false 3.75 1"})
}

// Guards against the higher of two limits, and against an announced limit that is lost
// when the server turns warm.
func TestColdServerKeepsTheLowerLimit(t *testing.T) {
	for _, limit := range []float64{1.5, 20} {
		sched := testScheduler(coldServer("a", time.Minute))
		sched.SetRateLimit(0, "a", limit)
		s := sched.servers["a"]
		assert.Equal(t, s.limit.interval(), fromSeconds(1/min(limit, coldRate)))
		sched.SetServers(second, []Server{coldServer("a", 0)})
		assert.Equal(t, s.limit.interval(), fromSeconds(1/limit))
	}
}

// Guards against requests without a key that wait for a cold server, and against servers
// without a stated rate that get a pace.
func TestRequestsGoToWarmServers(t *testing.T) {
	unpaced := coldServer("c", time.Minute)
	unpaced.WarmupRate = 0
	sched := testScheduler(coldServer("a", time.Minute), coldServer("b", 0), unpaced)
	for id := range uint64(10) {
		d := onlyDecision(t, sched.Submit(0, newRequest(id, 0)))
		assert.Assert(t, d.Server == "b" || d.Server == "c", "%+v", d)
	}
	assert.Assert(t, sched.servers["c"].limit == nil)
}

// Guards against a pace above the bound for one second.
func TestWarmupPaceStaysBelowTheBound(t *testing.T) {
	for _, slack := range []float64{0, 0.5, 2, 8, 100, 1e6} {
		for _, stated := range []float64{1e-3, 0.5, 3.75, 100, 1e6} {
			rate, burst := warmupPace(stated, stated+slack)
			assert.Assert(t, rate > 0 && rate <= stated && burst >= 1)
			if bound := stated + slack; bound > 4 {
				assert.Assert(t, rate+burst <= warmupMargin*bound+1e-6, "%g and %g in one second: %g and %g", stated, bound, rate, burst)
			}
		}
	}
	rate, burst := warmupPace(coldRate, coldMax)
	assert.Equal(t, rate, coldRate)
	assert.Assert(t, burst+overlappingRates*rate+idleTokens <= coldMax)
}

// Guards against a speed that is halved twice, by the samples of a cold server and by its
// warmup, and that stays low once the server is warm.
func TestSamplesOfAColdServerKeepItsWarmSpeed(t *testing.T) {
	sched := testScheduler(coldServer("a", time.Minute))
	for id := range uint64(30) {
		now := Instant(id+1) * second
		r := newRequest(id, now)
		r.Deadline = now.Add(5 * time.Second)
		assert.Equal(t, onlyDecision(t, sched.Submit(now, r)).Server, "a")
		sched.Complete(now.Add(2*r.Work), id, Result{Outcome: Succeeded})
	}
	s := sched.servers["a"]
	assert.Assert(t, s.estimatedSpeed > 0.99 && s.estimatedSpeed < 1.01, "%g", s.estimatedSpeed)
	assert.Equal(t, s.effectiveSpeed(31*second), s.estimatedSpeed*warmupSpeedFactor)
}
