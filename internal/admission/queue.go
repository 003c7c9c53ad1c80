package admission

import (
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// waiter is a request in a queue, then its verdict.
type waiter struct {
	caller   topology.Caller
	class    Class
	rank     Class   // the class in whose queue it waits
	pinned   *server // nil: any server
	movable  bool    // pinned only because other servers were already tried
	exclude  []topology.ServerName
	enqueued time.Duration
	latest   time.Duration // the last moment at which sending still meets the deadline
	deadline bool          // latest comes from the deadline, not from the wait bound

	flow       *flow
	queue      *classQueue
	prev, next *waiter
	heapIndex  int

	resolved bool
	server   *server       // granted
	kind     refusal       // refused
	ready    chan struct{} // closed with the verdict, by the Controller
	verdict  func()        // called with the verdict, by the Scheduler
}

// flow is one caller's queue within a class.
type flow struct {
	caller     topology.Caller
	head, tail *waiter
	size       int
	deficit    float64
	granted    bool // its quantum for this round is in deficit
	prev, next *flow
}

// fairQueue serves the flows of one class by deficit round robin. The cost of
// a request is its caller's usual time at a server relative to the class's, so
// a caller with long requests gets fewer of them.
type fairQueue struct {
	flows  map[topology.Caller]*flow
	turn   *flow // ring of flows with waiting requests
	active int
	size   int
}

// The bounds on a request's cost: a caller with extreme times can neither stop
// its own flow for many rounds nor become free.
const minCost, maxCost = 0.25, 8.0

func (q *fairQueue) push(w *waiter) {
	if q.flows == nil {
		q.flows = make(map[topology.Caller]*flow)
	}
	f := q.flows[w.caller]
	if f == nil {
		f = &flow{caller: w.caller}
		q.flows[w.caller] = f
		q.link(f)
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

// link puts f last in the round.
func (q *fairQueue) link(f *flow) {
	if q.turn == nil {
		f.prev, f.next = f, f
		q.turn = f
	} else {
		f.prev, f.next = q.turn.prev, q.turn
		f.prev.next, f.next.prev = f, f
	}
	q.active++
}

// remove takes w out; an emptied flow is forgotten with its deficit.
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
	q.active--
	if q.active == 0 {
		q.turn = nil
		return
	}
	if q.turn == f {
		q.turn = f.next
	}
	f.prev.next, f.next.prev = f.next, f.prev
}

// pop takes the next request out of the round.
func (q *fairQueue) pop(cost func(topology.Caller) float64) *waiter {
	for q.turn != nil {
		f := q.turn
		if !f.granted {
			f.deficit++
			f.granted = true
		}
		need := min(max(cost(f.caller), minCost), maxCost)
		if q.active > 1 && f.deficit < need {
			f.granted = false
			q.turn = f.next
			continue
		}
		f.deficit = max(f.deficit-need, 0)
		w := f.head
		q.remove(w)
		return w
	}
	return nil
}

// ahead estimates how many requests of the class are served before a new one
// of caller: each other flow can be served once for each of the caller's own.
func (q *fairQueue) ahead(caller topology.Caller) int {
	own := 0
	others := q.active
	if f := q.flows[caller]; f != nil {
		own = f.size
		others--
	}
	return min(q.size, own+others*(own+1))
}

// longest returns the flow with the most waiting requests.
func (q *fairQueue) longest() *flow {
	var best *flow
	f := q.turn
	for range q.active {
		if best == nil || f.size > best.size {
			best = f
		}
		f = f.next
	}
	return best
}

// classQueue serves the classes in order of importance.
type classQueue struct {
	classes [classCount]fairQueue
	passed  [classCount]int
	size    int
}

// starvationBound is the number of more important requests after which a
// waiting class gets one turn: a sixteenth of the turns keeps a lower class
// moving and costs the bookings at most 12 % in two lower classes together.
const starvationBound = 16

func (q *classQueue) push(w *waiter) {
	w.queue = q
	q.classes[w.rank].push(w)
	q.size++
}

func (q *classQueue) remove(w *waiter) {
	q.classes[w.rank].remove(w)
	q.size--
	w.queue = nil
}

// nextClass returns the class whose turn it is; the queue must not be empty.
func (q *classQueue) nextClass() Class {
	first := classCount
	for c := range classCount {
		if q.classes[c].size == 0 {
			continue
		}
		if first == classCount {
			first = c
		} else if q.passed[c] >= starvationBound {
			return c
		}
	}
	return first
}

func (q *classQueue) pop(cost func(topology.Caller) float64) *waiter {
	class := q.nextClass()
	for c := class + 1; c < classCount; c++ {
		if q.classes[c].size > 0 {
			q.passed[c]++
		}
	}
	q.passed[class] = 0
	w := q.classes[class].pop(cost)
	q.size--
	w.queue = nil
	return w
}

// ahead estimates how many waiting requests are served before a new one.
func (q *classQueue) ahead(caller topology.Caller, class Class) int {
	count := q.classes[class].ahead(caller)
	for c := range class {
		count += q.classes[c].size
	}
	return count
}

// expiryHeap orders waiters by their last useful moment (container/heap).
type expiryHeap []*waiter

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].latest < h[j].latest }
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
