package dispatch

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const second = Instant(time.Second)

// ownedScheduler returns a Scheduler of a service whose keys all belong to the server "a".
func ownedScheduler(share float64) *Scheduler {
	sched := NewScheduler(share, 1, func(int) OwnerState { return OwnerState{Server: "a"} })
	sched.SetServers(0, []Server{{ID: "a", Slots: 8}, {ID: "b", Slots: 8}})
	return sched
}

func keyedRequest(id uint64, now Instant) Request {
	r := newRequest(id, now)
	r.Position = 5
	return r
}

// assignedTo counts the decisions for a server.
func assignedTo(decisions []Decision, server string) (count int) {
	for _, d := range decisions {
		if d.Server == server {
			count++
		}
	}
	return count
}

// Guards against requests that were queued before the limit was known and are sent
// without regard to it.
func TestRateLimitAppliesToQueuedRequests(t *testing.T) {
	sched := ownedScheduler(1)
	for id := range uint64(9) {
		assert.Equal(t, onlyDecision(t, sched.Submit(0, keyedRequest(id, 0))).Server, "a")
	}
	for id := range uint64(9) {
		r := keyedRequest(100+id, 0)
		r.Target, r.Deadline = 5*second, 20*second
		assert.Equal(t, len(sched.Submit(0, r)), 0)
	}
	sched.SetRateLimit(0, "a", 2)
	sent := 0
	for id := range uint64(9) {
		sent += assignedTo(sched.Complete(ms, id, Result{}), "a")
	}
	for now := ms; now <= 4*second; now += 10 * ms {
		sent += assignedTo(sched.Reschedule(now), "a")
	}
	assert.Assert(t, sent >= 7 && sent <= 8, "%d of the queued requests were sent in 4 s at a limit of 2 a second", sent)
}

// Guards against probes of an ejected server, and against requests that exclude the
// other servers after a failure, beyond the limit.
func TestRateLimitAppliesToProbesAndRetries(t *testing.T) {
	sched := testScheduler(Server{ID: "a", Slots: 8}, Server{ID: "b", Slots: 8}, Server{ID: "c", Slots: 8})
	sched.SetRateLimit(0, "a", 0.5)
	for range 20 {
		sched.servers["a"].failureRate += (1 - sched.servers["a"].failureRate) * failureWeight
	}
	sent, id := 0, uint64(0)
	for now := Instant(0); now < 20*second; now += 20 * ms {
		for _, exclude := range [][]string{nil, {"b", "c"}} {
			id++
			r := newRequest(id, now)
			r.Exclude = exclude
			for _, d := range sched.Submit(now, r) {
				if d.Server == "a" {
					sent++
				}
				sched.Complete(now, d.ID, Result{Outcome: Failed})
				sched.servers["b"].failureRate, sched.servers["c"].failureRate = 0, 0
			}
		}
		sched.Reschedule(now)
	}
	assert.Assert(t, sent >= 5 && sent <= 11, "%d requests in 20 s at a limit of one in 2 s", sent)
}

// Guards against callers that are told to return before the limit allows it, or all
// at the same time.
func TestRejectedCallersReturnWhenTheRateLimitAllowsIt(t *testing.T) {
	sched := ownedScheduler(1)
	sched.SetRateLimit(0, "a", 1)
	var last time.Duration
	for id := range uint64(4) {
		r := keyedRequest(id, 0)
		d := onlyDecision(t, sched.Submit(0, r))
		assert.Equal(t, d.Reason, ReasonRateLimited)
		assert.Equal(t, d.QueueTime, time.Duration(0))
		assert.Assert(t, d.RetryAfter >= last+time.Second, "retry after %s, the one before after %s", d.RetryAfter, last)
		last = d.RetryAfter
	}
	for id := range uint64(4) {
		now := Instant(time.Duration(id+1) * time.Second)
		assert.Equal(t, onlyDecision(t, sched.Submit(now, keyedRequest(10+id, now))).Server, "a")
	}
}

// Guards against a rejection of requests that other servers of the service can serve.
func TestRateLimitLeavesOtherServersAlone(t *testing.T) {
	sched := testScheduler(Server{ID: "a", Zone: "z", Slots: 2}, Server{ID: "b", Zone: "z", Slots: 2})
	sched.SetRateLimit(0, "a", 0.1)
	assert.Equal(t, onlyDecision(t, sched.Submit(0, newRequest(1, 0))).Server, "b")
	assert.Equal(t, onlyDecision(t, sched.Submit(0, newRequest(2, 0))).Server, "b")
	assert.Equal(t, len(sched.Submit(0, newRequest(3, 0))), 0, "queued for b")
	assert.Equal(t, onlyDecision(t, sched.Complete(10*ms, 1, Result{})).Server, "b")
}

// Guards against the limit of a server that is listed only later, or whose limit has
// ended.
func TestRateLimitOfUnlistedServer(t *testing.T) {
	sched := testScheduler()
	sched.SetRateLimit(0, "a", 1)
	sched.SetServers(0, []Server{{ID: "a", Slots: 2}})
	assert.Equal(t, onlyDecision(t, sched.Submit(0, newRequest(1, 0))).Reason, ReasonRateLimited)
	sched.SetRateLimit(ms, "a", 0)
	assert.Equal(t, onlyDecision(t, sched.Submit(ms, newRequest(2, ms))).Server, "a")
}

// sentByHosts returns how many requests hosts without a dispatcher send to a server
// with a limit, in the busiest window of 4 s, if each of them always has one to send
// from the given time on.
func sentByHosts(hosts int, rate float64, from, until Instant) (busiest, total int) {
	var schedulers []*Scheduler
	for i := range hosts {
		sched := NewScheduler(1/float64(hosts), 0, nil)
		sched.seed = uint64(i + 1)
		sched.SetServers(0, []Server{{ID: "a", Slots: 2}})
		sched.SetRateLimit(0, "a", rate)
		schedulers = append(schedulers, sched)
	}
	var sentAt []Instant
	id := uint64(0)
	for now := from; now < until; now += 50 * ms {
		for _, sched := range schedulers {
			id++
			for range assignedTo(sched.Submit(now, newRequest(id, now)), "a") {
				sentAt = append(sentAt, now)
				sched.Complete(now, id, Result{})
			}
			sched.queues = newQueueSet()
		}
	}
	first := 0
	for i, at := range sentAt {
		for at-sentAt[first] > 4*second {
			first++
		}
		busiest = max(busiest, i-first+1)
	}
	return busiest, len(sentAt)
}

// Guards against hosts that each save up a request for the time without a dispatcher,
// and against a server that gets none then.
func TestHostsWithoutDispatcherShareTheRateLimit(t *testing.T) {
	for _, c := range []struct {
		hosts int
		rate  float64
	}{{10, 1.5}, {10, 0.2}, {60, 1}, {195, 1}, {195, 4}, {195, 40}, {3, 30}} {
		from, until := 100*second, 160*second
		busiest, total := sentByHosts(c.hosts, c.rate, from, until)
		// The rules allow 1.5 times the limit and 5 requests, of which a dispatcher
		// may spend the limit itself at the same time.
		allowed := 0.5*4*c.rate + 5
		assert.Assert(t, float64(busiest) <= allowed, "%d hosts at %g a second: %d requests in 4 s, want at most %.1f", c.hosts, c.rate, busiest, allowed)
		want := localRateShare * c.rate * until.Sub(from).Seconds()
		assert.Assert(t, float64(total) >= want/3, "%d hosts at %g a second: %d requests in a minute, want %.1f", c.hosts, c.rate, total, want)
	}
}

// Guards against a burst after a pause or a change of the limit.
func TestTokenBucketBounds(t *testing.T) {
	for _, rate := range []float64{0.2, 1, 3, 50} {
		b := newTokenBucket(0, rate, limitBurst(rate))
		sent, now := 0, 60*second
		for ; now < 64*second; now += ms {
			for b.delay(now, 0) == 0 {
				b.take(now)
				sent++
			}
		}
		assert.Assert(t, float64(sent) <= 4*rate+max(1, rate/2)+1, "rate %g: %d requests in 4 s", rate, sent)
		assert.Assert(t, float64(sent) >= 4*rate-1, "rate %g: %d requests in 4 s", rate, sent)
	}
	b := newTokenBucket(0, 1000, limitBurst(1000))
	b.setRate(10*second, 1, limitBurst(1))
	assert.Assert(t, b.delay(10*second, 1) > 0, "the tokens of a former limit are spent under a lower one")
}

// Guards against the limit of a server whose service a host serves only later.
func TestRateLimitOfUnknownService(t *testing.T) {
	d := NewDispatcher()
	d.SetRateLimit("a", 0.01)
	d.SetService("svc", 1, 0, nil, []Server{{ID: "a", Slots: 2}})
	r := newRequest(1, d.Now())
	r.Service = "svc"
	decision, _ := d.Acquire(context.Background(), r)
	assert.Equal(t, decision.Reason, ReasonRateLimited)
}

// Guards against a burst of a dispatcher that takes over, on top of what its
// predecessor has sent.
func TestTakeOverStartsWithoutSavedTokens(t *testing.T) {
	sched := ownedScheduler(1)
	sched.SetRateLimit(0, "a", 4)
	now := 60 * second
	assert.Equal(t, sched.servers["a"].paceDelay(now, 1), time.Duration(0), "the bucket is not full")
	sched.restartPace(now)
	assert.Equal(t, sched.servers["a"].paceDelay(now, 0), 250*time.Millisecond)
}
