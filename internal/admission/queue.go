package admission

import (
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// waiter is a queued request and, once resolved, the decision on it.
type waiter struct {
	caller          topology.Caller
	class           Class
	queueClass      Class   // class whose queue it waits in
	target          *server // nil if any server may run the request
	movable         bool    // may go to another server: target was chosen because others were already tried
	exclude         []topology.ServerName
	enqueued        time.Duration
	sendBy          time.Duration // latest time at which sending still makes sense
	boundByDeadline bool          // sendBy follows from the deadline, not from ServiceConfig.MaxWait

	flow       *flow
	queue      *classQueue
	prev, next *waiter
	heapIndex  int

	resolved   bool
	server     *server       // set if the request was granted a server
	reason     refusal       // set if the request was refused
	ready      chan struct{} // closed by the Controller when the request is resolved
	onResolved func()        // called by the Scheduler when the request is resolved
}

// flow is the queue of one caller within a class.
type flow struct {
	caller     topology.Caller
	head, tail *waiter
	size       int
	deficit    float64
	credited   bool // the quantum of this round was added to deficit
	prev, next *flow
}

// fairQueue serves the flows of one class by deficit round robin. The cost of a
// request is its caller's mean latency relative to that of the class, so a
// caller with long requests gets fewer of them.
type fairQueue struct {
	flows       map[topology.Caller]*flow
	current     *flow // ring of the flows with waiting requests
	activeFlows int
	size        int
}

// The bounds of a request's cost. The upper one keeps a caller with long
// requests from blocking its own flow for many rounds, the lower one keeps a
// caller with short requests from being served for free.
const minCost, maxCost = 0.25, 8.0

func (q *fairQueue) push(w *waiter) {
	if q.flows == nil {
		q.flows = make(map[topology.Caller]*flow)
	}
	f := q.flows[w.caller]
	if f == nil {
		f = &flow{caller: w.caller}
		q.flows[w.caller] = f
		q.appendFlow(f)
	}
	w.flow, w.prev = f, f.tail
	if f.tail == nil {
		f.head = w
	} else {
		f.tail.next = w
	}
	f.tail = w
	f.size++
	q.size++
}

// appendFlow puts f at the end of the round.
func (q *fairQueue) appendFlow(f *flow) {
	if q.current == nil {
		f.prev, f.next = f, f
		q.current = f
	} else {
		f.prev, f.next = q.current.prev, q.current
		f.prev.next, f.next.prev = f, f
	}
	q.activeFlows++
}

// remove takes w out of its flow. A flow that becomes empty is removed, its
// deficit included.
func (q *fairQueue) remove(w *waiter) {
	f := w.flow
	if w.prev == nil {
		f.head = w.next
	} else {
		w.prev.next = w.next
	}
	if w.next == nil {
		f.tail = w.prev
	} else {
		w.next.prev = w.prev
	}
	w.prev, w.next, w.flow = nil, nil, nil
	f.size--
	q.size--
	if f.size > 0 {
		return
	}
	delete(q.flows, f.caller)
	q.activeFlows--
	if q.activeFlows == 0 {
		q.current = nil
		return
	}
	if q.current == f {
		q.current = f.next
	}
	f.prev.next, f.next.prev = f.next, f.prev
}

// pop removes and returns the next request in round-robin order.
func (q *fairQueue) pop(cost func(topology.Caller) float64) *waiter {
	for q.current != nil {
		f := q.current
		if !f.credited {
			f.deficit++
			f.credited = true
		}
		requestCost := min(max(cost(f.caller), minCost), maxCost)
		if q.activeFlows > 1 && f.deficit < requestCost {
			f.credited = false
			q.current = f.next
			continue
		}
		f.deficit = max(f.deficit-requestCost, 0)
		w := f.head
		q.remove(w)
		return w
	}
	return nil
}

// countAhead estimates how many requests of the class are served before a new
// one of caller. Each other flow can be served once for each of the caller's
// waiting requests.
func (q *fairQueue) countAhead(caller topology.Caller) int {
	ownWaiting := 0
	otherFlows := q.activeFlows
	if f := q.flows[caller]; f != nil {
		ownWaiting = f.size
		otherFlows--
	}
	return min(q.size, ownWaiting+otherFlows*(ownWaiting+1))
}

// longestFlow returns the flow with the most waiting requests.
func (q *fairQueue) longestFlow() *flow {
	var longest *flow
	f := q.current
	for range q.activeFlows {
		if longest == nil || f.size > longest.size {
			longest = f
		}
		f = f.next
	}
	return longest
}

// classQueue serves the classes in order of priority.
type classQueue struct {
	classes      [classCount]fairQueue
	skippedTurns [classCount]int
	size         int
}

// maxSkippedTurns is the number of higher-class requests after which a waiting
// class gets one turn. One turn in sixteen keeps a lower class moving and costs
// the bookings at most 12 % for two lower classes together.
const maxSkippedTurns = 16

func (q *classQueue) push(w *waiter) {
	w.queue = q
	q.classes[w.queueClass].push(w)
	q.size++
}

func (q *classQueue) remove(w *waiter) {
	q.classes[w.queueClass].remove(w)
	q.size--
	w.queue = nil
}

// nextClass returns the class to serve next. The queue must not be empty.
func (q *classQueue) nextClass() Class {
	mostImportant := classCount
	for c := range classCount {
		if q.classes[c].size == 0 {
			continue
		}
		if mostImportant == classCount {
			mostImportant = c
		} else if q.skippedTurns[c] >= maxSkippedTurns {
			return c
		}
	}
	return mostImportant
}

func (q *classQueue) pop(cost func(topology.Caller) float64) *waiter {
	class := q.nextClass()
	for c := class + 1; c < classCount; c++ {
		if q.classes[c].size > 0 {
			q.skippedTurns[c]++
		}
	}
	q.skippedTurns[class] = 0
	w := q.classes[class].pop(cost)
	q.size--
	w.queue = nil
	return w
}

// countAhead estimates how many waiting requests are served before a new one.
func (q *classQueue) countAhead(caller topology.Caller, class Class) int {
	count := q.classes[class].countAhead(caller)
	for c := range class {
		count += q.classes[c].size
	}
	return count
}

// expiryHeap is a container/heap of waiters, ordered by sendBy.
type expiryHeap []*waiter

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].sendBy < h[j].sendBy }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	w := x.(*waiter)
	w.heapIndex = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.heapIndex = -1
	return w
}
