package admission

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// The seed is fixed so that every run checks the same inputs; -rapid.seed
// overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// Guards against counters that drift. After any sequence of arrivals,
// completions, expiries, state changes and host changes, and once every granted
// request is done, nothing is in flight or waiting and each arrival got exactly
// one decision.
func TestDoneRestoresTheCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "servers")
		s := NewScheduler(ServiceConfig{Servers: servers(n), MaxQueued: 20}, rand.New(rand.NewPCG(1, 1)))
		now, arrivals, decisions := time.Duration(0), 0, 0
		var granted []Decision
		server := func() topology.ServerName {
			return topology.ServerName(fmt.Sprintf("s%d", rapid.IntRange(0, n-1).Draw(t, "server")))
		}
		finish := func(i int) {
			g := granted[i]
			granted = append(granted[:i], granted[i+1:]...)
			s.Done(now, g, Outcome(rapid.IntRange(0, 4).Draw(t, "outcome")), 20*time.Millisecond)
		}
		arrive := func() {
			a := Arrival{
				Caller: topology.Caller(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller")),
				Class:  Class(rapid.IntRange(0, 2).Draw(t, "class")), Deadline: now + time.Duration(rapid.IntRange(0, 500).Draw(t, "left"))*time.Millisecond,
			}
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 1:
				a.Server = server()
			case 2:
				a.Exclude = []topology.ServerName{server()}
			}
			arrivals++
			s.Arrive(now, a, func(g Decision) {
				decisions++
				if g.RefusalKind == "" {
					granted = append(granted, g)
				}
			})
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond
			switch step := rapid.IntRange(0, 9).Draw(t, "step"); {
			case step < 5:
				arrive()
			case step < 7 && len(granted) > 0:
				finish(rapid.IntRange(0, len(granted)-1).Draw(t, "which"))
			case step == 7:
				s.Expire(now)
			case step == 8:
				s.SetState(now, server(), ServerState(rapid.IntRange(0, 2).Draw(t, "state")))
			case step == 9:
				s.SetHosts(now, 0, rapid.IntRange(1, 12).Draw(t, "hosts"))
			}
			shared, inFlight := 0, 0
			for _, srv := range s.core.servers {
				shared += srv.sharedInFlight
				inFlight += srv.inFlight
			}
			if inFlight != len(granted) || shared != s.core.sharedInFlight || s.core.waitingCount > 20 {
				t.Fatalf("in flight %d, granted %d; shared %d, counted %d; waiting %d", inFlight, len(granted), shared, s.core.sharedInFlight, s.core.waitingCount)
			}
		}
		for len(granted) > 0 {
			finish(len(granted) - 1)
		}
		now += time.Hour
		s.Expire(now)
		for len(granted) > 0 {
			finish(len(granted) - 1)
		}
		if decisions != arrivals || s.core.sharedInFlight != 0 || s.core.stalledShared != 0 || s.core.waitingCount != 0 || len(s.core.expiries) != 0 {
			t.Fatalf("%d arrivals, %d decisions, in flight %d, at stalled servers %d, waiting %d", arrivals, decisions, s.core.sharedInFlight, s.core.stalledShared, s.core.waitingCount)
		}
	})
}

// Guards against one caller that fills the queue. At the memory bound, the
// newest request of the longest flow is refused, not the new request of another
// caller.
func TestFullQueueDropsFromLongestFlow(t *testing.T) {
	s := NewScheduler(ServiceConfig{Servers: servers(1), MaxQueued: 10}, rand.New(rand.NewPCG(1, 1)))
	refused := map[topology.Caller]int{}
	arrive := func(caller topology.Caller) {
		s.Arrive(0, Arrival{Caller: caller, Class: ClassLookup, Deadline: time.Hour}, func(g Decision) {
			if g.RefusalKind == apierror.KindOverloaded {
				refused[caller]++
			}
		})
	}
	for range 40 {
		arrive("flood")
	}
	before := refused["flood"]
	assert.Assert(t, before > 0)
	arrive("other")
	assert.Equal(t, refused["other"], 0)
	assert.Equal(t, refused["flood"], before+1)
}

// closedLoop keeps five requests of every caller waiting for duration. The
// function latencyOf returns the latency of a request, or 0 if the server never
// responds. The results are the number of responses per server and per caller,
// and the highest number of requests in flight.
func closedLoop(
	s *Scheduler, duration time.Duration, callers []topology.Caller, latencyOf func(topology.ServerName, topology.Caller) time.Duration,
) (perServer map[topology.ServerName]int, perCaller map[topology.Caller]int, maxInFlight int) {
	perServer, perCaller = map[topology.ServerName]int{}, map[topology.Caller]int{}
	waiting, inFlight, now := map[topology.Caller]int{}, 0, time.Duration(0)
	completions := map[time.Duration][]func(){}
	for ; now < duration; now += time.Millisecond {
		for _, run := range completions[now] {
			run()
		}
		delete(completions, now)
		for _, caller := range callers {
			for waiting[caller] < 5 {
				waiting[caller]++
				s.Arrive(now, Arrival{Caller: caller, Class: ClassLookup, Deadline: time.Hour}, func(g Decision) {
					waiting[caller]--
					inFlight++
					maxInFlight = max(maxInFlight, inFlight)
					if latency := latencyOf(g.Server, caller); latency > 0 {
						completions[now+latency] = append(completions[now+latency], func() {
							inFlight--
							perServer[g.Server]++
							perCaller[caller]++
							s.Done(now, g, OutcomeOK, latency)
						})
					}
				})
			}
		}
		s.Expire(now)
	}
	return perServer, perCaller, maxInFlight
}

// Guards against stalled servers whose unfinished requests fill the window, so
// that the healthy server idles.
func TestStalledServersFreeTheWindow(t *testing.T) {
	s := NewScheduler(ServiceConfig{Servers: servers(3), MaxWait: time.Hour}, rand.New(rand.NewPCG(1, 1)))
	s.SetHosts(0, 0, 6)
	perServer, _, _ := closedLoop(s, 10*time.Second, []topology.Caller{"a"}, func(name topology.ServerName, _ topology.Caller) time.Duration {
		if name == "s2" {
			return 20 * time.Millisecond
		}
		return 0
	})
	// From the first second on, requests run one after the other.
	assert.Assert(t, perServer["s2"] >= 9*50*95/100, "the healthy server responded to %d requests in 10 s", perServer["s2"])
}

// Guards against an old report of high load that keeps a host's limit at its
// share although the other hosts are idle now.
func TestStaleReportDoesNotHoldTheWindow(t *testing.T) {
	s := NewScheduler(ServiceConfig{Servers: servers(1), MaxWait: time.Hour}, rand.New(rand.NewPCG(1, 1)))
	s.SetHosts(0, 0, 12)
	s.ObserveLoad(0, LoadReport{Server: "s0", InFlight: 50, Age: 10 * time.Second})
	_, _, maxInFlight := closedLoop(s, 20*time.Second, []topology.Caller{"a"}, func(topology.ServerName, topology.Caller) time.Duration {
		return 20 * time.Millisecond
	})
	assert.Assert(t, maxInFlight >= 2, "the host never used both slots")
}

// Guards against round robin that ignores the cost of requests. A caller whose
// requests take four times as long must not get four times the servers' time.
func TestLongRequestsGetFewerTurns(t *testing.T) {
	s := NewScheduler(ServiceConfig{Servers: servers(1), MaxWait: time.Hour}, rand.New(rand.NewPCG(1, 1)))
	_, perCaller, _ := closedLoop(s, 30*time.Second, []topology.Caller{"long", "short"}, func(_ topology.ServerName, caller topology.Caller) time.Duration {
		if caller == "long" {
			return 80 * time.Millisecond
		}
		return 20 * time.Millisecond
	})
	long, short := perCaller["long"]*80, perCaller["short"]*20
	assert.Assert(t, long <= 2*short && short <= 2*long, "time used: long %d ms, short %d ms", long, short)
}

// Guards against retries under overload, and against bookings that are not
// retried while only lookups wait.
func TestOverloadedStopsRetries(t *testing.T) {
	s := NewScheduler(ServiceConfig{Servers: servers(2)}, rand.New(rand.NewPCG(1, 1)))
	var grants []Decision
	arrive := func(n int) {
		for range n {
			s.Arrive(0, Arrival{Caller: "a", Class: ClassLookup, Deadline: time.Hour}, func(g Decision) { grants = append(grants, g) })
		}
	}
	arrive(4)
	assert.Assert(t, !s.Overloaded(0, ClassLookup))
	arrive(50)
	assert.Assert(t, s.Overloaded(0, ClassLookup))
	assert.Assert(t, !s.Overloaded(0, ClassBooking))
	for i := 0; i < len(grants); i++ {
		if grants[i].RefusalKind == "" {
			s.Done(time.Second, grants[i], OutcomeShed, time.Millisecond)
		}
		s.Expire(time.Second + time.Duration(i)*10*time.Millisecond)
	}
	assert.Assert(t, s.Overloaded(3*time.Second, ClassBooking), "most requests were shed")
}
