package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// largeScheduler returns the scheduler of a service whose servers each own the same
// number of positions and have no free slot, and the requests it was given.
func largeScheduler(servers int) (*Scheduler, []Request) {
	const perServer = 65536
	owner := func(position int) OwnerState {
		return OwnerState{Server: fmt.Sprintf("s%03d", position*servers/perServer)}
	}
	sched := NewScheduler(1, 1, owner)
	list := make([]Server, servers)
	for i := range list {
		list[i] = Server{ID: fmt.Sprintf("s%03d", i), Zone: "z", Slots: 2, Speed: 1}
	}
	sched.SetServers(0, list)
	var sent []Request
	for i := range servers * 3 {
		request := newRequest(uint64(i+1), 0)
		request.Position = (i % servers) * perServer / servers
		request.Position += min(1, request.Position)
		sent = append(sent, request)
		sched.Submit(0, request)
	}
	return sched, sent
}

// Guards against checking all queued requests of a service of 303 servers at each
// new and each completed request, which the load of aserrin-gw-large showed: only
// the queue of the server concerned may be checked.
func TestFreeSlotChecksOneQueue(t *testing.T) {
	const servers = 303
	sched, _ := largeScheduler(servers)
	checked := 0
	owner := sched.ownerAt
	sched.ownerAt = func(position int) OwnerState { checked++; return owner(position) }
	next := uint64(10_000)
	for i := range servers {
		request := newRequest(next+uint64(i), 0)
		request.Target, request.Deadline = 10*Instant(time.Second), 10*Instant(time.Second)
		request.Position = i*65536/servers + 1
		sched.Submit(0, request)
	}
	assert.Equal(t, sched.queues.size, servers)
	checked = 0
	d := onlyDecision(t, sched.Complete(10*ms, 1, Result{}))
	assert.Equal(t, d.Server, "s000")
	assert.Assert(t, checked <= 3, "%d requests were checked for one free slot", checked)
}

// Guards against requests that stay queued for the former owner of a key that has
// moved.
func TestRequestsFollowTheirKey(t *testing.T) {
	state := OwnerState{Server: "a"}
	sched := NewScheduler(1, 0, func(int) OwnerState { return state })
	sched.SetServers(0, []Server{{ID: "a", Slots: 1}, {ID: "b", Slots: 1}})
	for id := uint64(1); id <= 2; id++ {
		request := newRequest(id, 0)
		request.Position = 9
		request.Target, request.Deadline = 10*Instant(time.Second), 10*Instant(time.Second)
		sched.Submit(0, request)
	}
	assert.Equal(t, sched.queues.size, 1)
	d := onlyDecision(t, sched.SetOwner(5*ms, func(int) OwnerState { return OwnerState{Server: "b"} }))
	assert.Equal(t, d.ID, uint64(2))
	assert.Equal(t, d.Server, "b")
}

// BenchmarkLargeService measures a request and its completion in a service of 303
// servers with queued requests.
func BenchmarkLargeService(b *testing.B) {
	sched, sent := largeScheduler(303)
	now := Instant(0)
	id := uint64(1 << 20)
	for i := range b.N {
		now += Instant(500 * time.Microsecond)
		request := sent[i%len(sent)]
		id++
		request.ID, request.Target, request.Deadline = id, now+1200*ms, now+3000*ms
		for _, d := range sched.Submit(now, request) {
			if d.Server != "" {
				sched.Complete(now+100*ms, d.ID, Result{})
			}
		}
	}
}
