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
	size   int // requests in all queues
}

func newQueueSet() queueSet { return queueSet{byName: make(map[string][]*queuedRequest)} }

// add appends a request to a queue and returns the queue's name.
func (q *queueSet) add(name string, r *queuedRequest) string {
	q.byName[name] = append(q.byName[name], r)
	q.size++
	return name
}

// remove removes the request with the given ID from its queue.
func (q *queueSet) remove(id uint64) {
	for name, queue := range q.byName {
		remaining := slices.DeleteFunc(queue, func(r *queuedRequest) bool { return r.ID == id })
		if oldLength := len(queue); len(remaining) < oldLength {
			q.replace(name, remaining, oldLength)
			return
		}
	}
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
	for name, queue := range q.byName {
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
