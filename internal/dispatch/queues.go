package dispatch

import (
	"cmp"
	"maps"
	"slices"
)

// Names of the queues that do not belong to a server. No server has such an ID.
const (
	// unkeyedQueue holds requests without a key.
	unkeyedQueue = ""
	// unownedQueue holds requests whose key has no usable owner.
	unownedQueue = "\x00"
)

// queueSet holds the queued requests of a service, with one queue for each server
// that owns the key of a queued request. A slot that becomes free then concerns one queue, not
// all queued requests of a large service.
type queueSet struct {
	byName map[string][]*queuedRequest
	byID   map[uint64]*queuedRequest
	size   int // requests in all queues
	// removed counts, by queue, the requests that were removed and still have their
	// place in it.
	removed map[string]int
}

func newQueueSet() queueSet {
	return queueSet{byName: make(map[string][]*queuedRequest), byID: make(map[uint64]*queuedRequest), removed: make(map[string]int)}
}

// add appends a request to a queue and returns the queue's name.
func (q *queueSet) add(name string, r *queuedRequest) string {
	r.queue = name
	q.byName[name] = append(q.byName[name], r)
	q.byID[r.ID] = r
	q.size++
	return name
}

// remove removes the request with the given ID and returns it, or nil if it is not
// queued. Its place stays until half of the queue is removed or the queue is read,
// so that the cost of a removal does not grow with the queue.
func (q *queueSet) remove(id uint64) *queuedRequest {
	r := q.byID[id]
	if r == nil {
		return nil
	}
	delete(q.byID, id)
	q.size--
	r.removed = true
	if q.removed[r.queue]++; 2*q.removed[r.queue] > len(q.byName[r.queue]) {
		q.compact(r.queue)
	}
	return r
}

// compact drops the removed requests from a queue.
func (q *queueSet) compact(name string) {
	if q.removed[name] == 0 {
		return
	}
	delete(q.removed, name)
	remaining := slices.DeleteFunc(q.byName[name], func(r *queuedRequest) bool { return r.removed })
	if len(remaining) == 0 {
		delete(q.byName, name)
		return
	}
	q.byName[name] = remaining
}

// get returns the requests in a queue.
func (q *queueSet) get(name string) []*queuedRequest {
	q.compact(name)
	return q.byName[name]
}

// replace stores the remaining requests of a queue that had the given length.
// Remaining shares the queue's array.
func (q *queueSet) replace(name string, remaining []*queuedRequest, oldLength int) {
	q.size -= oldLength - len(remaining)
	clear(q.byName[name][len(remaining):oldLength])
	if len(remaining) == 0 {
		delete(q.byName, name)
		return
	}
	q.byName[name] = remaining
}

// regroup moves each request to the queue that nameOf returns for it now.
func (q *queueSet) regroup(nameOf func(*queuedRequest) string) {
	var moved []*queuedRequest
	for name := range q.byName {
		queue := q.get(name)
		remaining := queue[:0]
		for _, r := range queue {
			if nameOf(r) == name {
				remaining = append(remaining, r)
			} else {
				moved = append(moved, r)
			}
		}
		q.replace(name, remaining, len(queue))
	}
	// Requests are collected in map order; sorting makes the result deterministic.
	slices.SortFunc(moved, func(a, b *queuedRequest) int { return cmp.Compare(a.ID, b.ID) })
	for _, r := range moved {
		q.add(nameOf(r), r)
	}
}

// names returns the names of the queues in a fixed order.
func (q *queueSet) names() []string { return slices.Sorted(maps.Keys(q.byName)) }
