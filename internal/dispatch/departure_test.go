package dispatch

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Sizes of a large deployment.
const (
	manyServers = 303
	manyQueued  = 5000
)

// newBusyScheduler returns a Scheduler of many servers, all of whose slots are taken,
// with queued requests that have IDs from 1 on. Lookups counts how often the owner of
// a key is looked up, which happens for each request that is considered.
func newBusyScheduler(t *testing.T, queued int) (sched *Scheduler, lookups *int) {
	t.Helper()
	lookups = new(int)
	servers := make([]Server, manyServers)
	for i := range servers {
		servers[i] = Server{ID: fmt.Sprint("s", i), Slots: 1}
	}
	sched = NewScheduler(1, 0, func(position int) OwnerState {
		*lookups++
		return OwnerState{Server: fmt.Sprint("s", position%manyServers)}
	})
	sched.SetServers(0, servers)
	request := func(id uint64, position int) Request {
		return Request{ID: id, Position: position, Target: Instant(time.Hour), Deadline: Instant(time.Hour), Work: time.Millisecond}
	}
	for i := range manyServers {
		assert.Equal(t, len(sched.Submit(0, request(uint64(1_000_000+i), i))), 1)
	}
	for i := range queued {
		assert.Equal(t, len(sched.Submit(0, request(uint64(i+1), i))), 0)
	}
	*lookups = 0
	return sched, lookups
}

// Guards against departures whose cost grows with the queue: when nine tenths of the
// callers leave within a second, a dispatcher has no time left for anything else.
func TestDepartureConsidersNoOtherRequest(t *testing.T) {
	sched, lookups := newBusyScheduler(t, manyQueued)
	for id := range uint64(manyQueued * 9 / 10) {
		sched.Cancel(1, id+1)
	}
	assert.Equal(t, *lookups, 0)
	assert.Equal(t, sched.queues.size, manyQueued/10)
}

// Guards against departed requests that keep their place, get a server, or are counted
// in what is promised to those behind them.
func TestDepartedRequestsLeaveTheQueue(t *testing.T) {
	sched := NewScheduler(1, 0, nil)
	sched.SetServers(0, []Server{{ID: "s", Slots: 1}})
	submit := func(id uint64, deadline time.Duration) []Decision {
		return sched.Submit(0, Request{ID: id, Position: NoPosition, Target: Instant(time.Minute), Deadline: Instant(deadline), Work: 100 * time.Millisecond})
	}
	assert.Equal(t, submit(1, time.Second)[0].Server, "s")
	for id := uint64(2); id <= 9; id++ {
		assert.Equal(t, len(submit(id, time.Minute)), 0)
	}
	assert.Equal(t, submit(10, time.Second/2)[0].Reason, ReasonOverload, "behind eight others")
	for id := uint64(2); id <= 9; id++ {
		sched.Cancel(0, id)
		sched.Cancel(0, id) // has no effect
	}
	assert.Equal(t, sched.queues.size, 0)
	assert.Equal(t, len(submit(11, time.Second/2)), 0, "behind nobody")
	decisions := sched.Complete(0, 1, Result{})
	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0].ID, uint64(11))
}

// Guards against rejecting requests for a load that has left: callers who stay would
// be told to come back although there is room for them.
func TestDepartedRequestsAreNoLoad(t *testing.T) {
	for name, owner := range map[string]func(int) OwnerState{"without keys": nil, "with keys": func(int) OwnerState { return OwnerState{Server: "s"} }} {
		sched := NewScheduler(1, 0, owner)
		sched.SetServers(0, []Server{{ID: "s", Slots: 1}})
		now := Instant(0)
		submit := func(id uint64, target time.Duration) []Decision {
			return sched.Submit(now, Request{ID: id, Position: 0, Target: now.Add(target), Deadline: now.Add(time.Minute), Work: 100 * time.Millisecond})
		}
		assert.Equal(t, submit(1, time.Second)[0].Server, "s", name)
		for id := uint64(2); id <= 40; id++ {
			assert.Equal(t, len(submit(id, time.Minute)), 0, name)
		}
		now = now.Add(100 * time.Millisecond)
		for id := uint64(2); id <= 40; id++ {
			sched.Cancel(now, id)
		}
		// It will be late for its target, which an idle service accepts.
		assert.Equal(t, len(submit(41, 50*time.Millisecond)), 0, name)
	}
}

// Guards against a queue that counts, keeps or hands out removed requests, whatever
// the order of additions, removals and moves between queues.
func TestQueuesAgreeWithAModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queues, model := newQueueSet(), make(map[uint64]string)
		names := rapid.SampledFrom([]string{"a", "b", "c"})
		for id := range uint64(rapid.IntRange(1, 60).Draw(t, "steps")) {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				model[id] = queues.add(names.Draw(t, "queue"), &queuedRequest{Request: Request{ID: id}})
			case 2:
				target := rapid.Uint64Range(0, id).Draw(t, "removed")
				removed := queues.remove(target)
				if name, queued := model[target]; queued != (removed != nil) || queued && removed.queue != name {
					t.Fatalf("removal of %d from %q returned %v", target, name, removed)
				}
				delete(model, target)
			case 3:
				merged := names.Draw(t, "merged")
				queues.regroup(func(*queuedRequest) string { return merged })
				for id := range model {
					model[id] = merged
				}
			}
		}
		found := make(map[uint64]string)
		for _, name := range queues.names() {
			for _, r := range queues.get(name) {
				found[r.ID] = name
			}
		}
		if !maps.Equal(found, model) || queues.size != len(model) {
			t.Fatalf("%d requests, queued are %v, want %v", queues.size, found, model)
		}
	})
}
