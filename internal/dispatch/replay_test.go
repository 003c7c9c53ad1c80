package dispatch

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"
)

// replayedCaller is a caller in a replay. It returns as told after a rejection, unless
// the delay exceeds a third of its time left, and gives up after maxReturns.
type replayedCaller struct {
	request  Request
	target   Instant // counted from the first attempt
	deadline Instant
	returns  int
	work     time.Duration // the actual work at a server of speed 1
}

const maxReturns = 2

// replayEvent is an arrival of a caller, or the end of a request at a server.
type replayEvent struct {
	at     Instant
	caller *replayedCaller
	ends   bool
}

type replayEvents []replayEvent

func (e replayEvents) Len() int           { return len(e) }
func (e replayEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e replayEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *replayEvents) Push(x any)        { *e = append(*e, x.(replayEvent)) }
func (e *replayEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// replayResult counts how the callers of a replay ended.
type replayResult struct {
	callers, inTime, late, refused int
	// heldAndRefused counts rejections after a wait of more than half of the target.
	heldAndRefused int
}

func (r replayResult) share(n int) float64 { return float64(n) / float64(max(r.callers, 1)) }

// replay passes arrivals to the scheduler and models servers that run as many requests
// as they have slots, in the order in which they get them. SlownessAt returns how many
// times as long work takes at a server at an instant.
func replay(sched *Scheduler, servers map[string]Server, arrivals []*replayedCaller, slownessAt func(server string, at Instant) float64) replayResult {
	events := &replayEvents{}
	callers := make(map[uint64]*replayedCaller)
	slotFree := make(map[string][]Instant)
	var result replayResult
	for _, c := range arrivals {
		heap.Push(events, replayEvent{at: c.request.Target - c.target, caller: c})
	}
	nextID := uint64(0)
	apply := func(now Instant, decisions []Decision) {
		for _, d := range decisions {
			c := callers[d.ID]
			if d.Server != "" {
				end := serveAt(slotFree, servers[d.Server], now, time.Duration(float64(c.work)*slownessAt(d.Server, now)))
				heap.Push(events, replayEvent{at: end, caller: c, ends: true})
				continue
			}
			if d.QueueTime > time.Duration(c.target)/2 {
				result.heldAndRefused++
			}
			if c.returns >= maxReturns || d.RetryAfter > c.deadline.Sub(now)/3 {
				result.refused++
				continue
			}
			c.returns++
			heap.Push(events, replayEvent{at: now.Add(d.RetryAfter), caller: c})
		}
	}
	tick := Instant(0)
	for events.Len() > 0 {
		e := heap.Pop(events).(replayEvent)
		for ; tick < e.at && sched.queues.size > 0; tick = tick.Add(tickInterval) {
			apply(tick, sched.Reschedule(tick))
		}
		tick = max(tick, e.at)
		if e.ends {
			if e.at <= e.caller.request.Target {
				result.inTime++
			} else {
				result.late++
			}
			apply(e.at, sched.Complete(e.at, e.caller.request.ID, Result{Outcome: Succeeded}))
			continue
		}
		nextID++
		if e.caller.returns == 0 {
			result.callers++
		}
		e.caller.request.ID, e.caller.request.PreviouslyRejected = nextID, e.caller.returns > 0
		callers[nextID] = e.caller
		apply(e.at, sched.Submit(e.at, e.caller.request))
	}
	return result
}

// serveAt returns when a server that has got a request at an instant ends it.
func serveAt(slotFree map[string][]Instant, server Server, now Instant, work time.Duration) Instant {
	slots := slotFree[server.ID]
	if slots == nil {
		slots = make([]Instant, server.Slots)
		slotFree[server.ID] = slots
	}
	first := 0
	for i := range slots {
		if slots[i] < slots[first] {
			first = i
		}
	}
	slots[first] = max(slots[first], now).Add(time.Duration(float64(work) / server.Speed))
	return slots[first]
}

// poissonArrivals returns callers that arrive at random at a rate per second. Each gets
// its request from the function.
func poissonArrivals(random *rand.Rand, rate float64, length time.Duration, target, deadline time.Duration, request func() Request) []*replayedCaller {
	var callers []*replayedCaller
	for now := Instant(0); now < Instant(length); {
		now = now.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / rate))
		r := request()
		r.Target, r.Deadline = now.Add(target), now.Add(deadline)
		callers = append(callers, &replayedCaller{request: r, target: Instant(target), deadline: r.Deadline, work: time.Duration(float64(r.Work) * math.Exp(0.5*random.NormFloat64()-0.125))})
	}
	return callers
}
