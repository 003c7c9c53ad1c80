// Package membudget bounds the memory that a process holds on behalf of others: request
// bodies, buffered responses, requests read ahead.
//
// Bytes are taken before they are read and given back exactly once. A part of the budget is
// a reserve for small messages, so that large ones cannot displace them. When the budget is
// exhausted, the holder that has made no progress for longest gives way.
package membudget

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// SmallBytes is the size up to which a message may use the reserve.
	SmallBytes = 16 << 10
	// minStall is the least time without progress after which a holder gives way.
	// Without it, holders that all progress would displace each other and none would end.
	minStall = 250 * time.Millisecond
	// releaseWait is the longest wait for the bytes of a holder that gives way. It closes
	// its connection meanwhile, which takes no network round trip.
	releaseWait = 500 * time.Millisecond
)

// ErrExhausted reports that the budget has no room.
var ErrExhausted = errors.New("membudget: the byte budget is exhausted")

// ErrEvicted reports that a holder had to give way.
var ErrEvicted = errors.New("membudget: gave way to another, without progress for longest")

// Budget is the byte budget of a process. Its methods may be called concurrently, and on
// nil, which is a budget without a limit.
type Budget struct {
	total, reserve int64

	mu      sync.Mutex
	used    int64
	evicted int64
	refused int64
	surplus int64
	freed   chan struct{} // closed at the next release; nil if nobody waits
	// Holders that wait for a transfer, the one that waits for longest first.
	first, last *Holder
}

// New returns a budget of total bytes, of which reserve are kept for small messages.
func New(total, reserve int64) *Budget { return &Budget{total: total, reserve: min(reserve, total)} }

// TryAcquire takes n bytes outside of the reserve. It reports false if they are not free.
func (b *Budget) TryAcquire(n int64) bool { return b.tryAcquire(n, false) }

// TryAcquireSmall takes n bytes, also of the reserve. It is for messages of at most
// SmallBytes.
func (b *Budget) TryAcquireSmall(n int64) bool { return b.tryAcquire(n, true) }

func (b *Budget) tryAcquire(n int64, small bool) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tryAcquireLocked(n, small)
}

func (b *Budget) tryAcquireLocked(n int64, small bool) bool {
	limit := b.total
	if !small {
		limit -= b.reserve
	}
	if n > limit-b.used {
		return false
	}
	b.used += n
	return true
}

// Release gives back n bytes.
func (b *Budget) Release(n int64) {
	if b == nil || n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseLocked(n)
}

func (b *Budget) releaseLocked(n int64) {
	b.used -= n
	if b.used < 0 { // a fault of the program, which must not end it
		b.surplus -= b.used
		b.used = 0
	}
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// Usage is the state of a budget, in bytes and in counts since the start.
type Usage struct {
	Total, Used      int64
	Evicted, Refused int64
	// Surplus is what was given back and had not been taken: 0 unless there is a fault.
	Surplus int64
}

// Usage returns the state of the budget.
func (b *Budget) Usage() Usage {
	if b == nil {
		return Usage{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{b.total, b.used, b.evicted, b.refused, b.surplus}
}

// EvictStalled makes the holder that has made no progress for longest give way, if that is
// at least the given time. It reports whether there was one.
func (b *Budget) EvictStalled(least time.Duration, now time.Time) bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.evictLocked(least, now)
}

func (b *Budget) evictLocked(least time.Duration, now time.Time) bool {
	h := b.first
	if h == nil || now.Sub(h.waitsSince) < least {
		return false
	}
	b.unlink(h)
	h.gaveWay = true
	b.evicted++
	h.transfer.Interrupt()
	return true
}

// acquire takes n bytes for a holder and waits for others to give way.
func (b *Budget) acquire(ctx context.Context, h *Holder, n int64) error {
	deadline := time.Now().Add(releaseWait)
	for {
		b.mu.Lock()
		if h.gaveWay {
			b.mu.Unlock()
			return ErrEvicted
		}
		if b.tryAcquireLocked(n, h.held+n <= SmallBytes) {
			h.held += n
			b.mu.Unlock()
			return nil
		}
		now := time.Now()
		// One holder gives way at a time: its bytes may be enough.
		if !h.waits {
			h.waits = b.evictLocked(minStall, now)
		}
		if !h.waits || !now.Before(deadline) {
			h.waits = false
			b.refused++
			b.mu.Unlock()
			return ErrExhausted
		}
		if b.freed == nil {
			b.freed = make(chan struct{})
		}
		freed := b.freed
		b.mu.Unlock()
		h.waits = !waitFreed(ctx, freed, deadline)
	}
}

// waitFreed waits until bytes are given back and reports whether they were.
func waitFreed(ctx context.Context, freed <-chan struct{}, deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-freed:
		return true
	case <-ctx.Done():
	case <-timer.C:
	}
	return false
}

func (b *Budget) unlink(h *Holder) {
	if !h.linked {
		return
	}
	if h.prev != nil {
		h.prev.next = h.next
	} else {
		b.first = h.next
	}
	if h.next != nil {
		h.next.prev = h.prev
	} else {
		b.last = h.prev
	}
	h.prev, h.next, h.linked = nil, nil, false
}

func (b *Budget) link(h *Holder) {
	b.unlink(h)
	if h.prev = b.last; h.prev != nil {
		h.prev.next = h
	} else {
		b.first = h
	}
	b.last, h.linked = h, true
}
