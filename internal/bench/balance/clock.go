// Package balance measures the load policies: discrete-event runs on a virtual
// clock drive the real schedulers of several hosts against model servers.
package balance

import (
	"container/heap"
	"time"
)

// clock runs events in order of time; equal times run in order of creation.
type clock struct {
	now    time.Duration
	events eventHeap
	serial uint64
}

type event struct {
	at     time.Duration
	serial uint64
	run    func()
}

// at schedules run; a time in the past means now.
func (c *clock) at(t time.Duration, run func()) {
	c.serial++
	heap.Push(&c.events, event{max(t, c.now), c.serial, run})
}

func (c *clock) after(d time.Duration, run func()) { c.at(c.now+d, run) }

// runUntil runs the events before end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at < end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].serial < h[j].serial)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}
