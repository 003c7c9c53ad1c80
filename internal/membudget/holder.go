package membudget

import (
	"context"
	"time"
)

// Holder holds bytes of a budget for one message that is being transferred. Its methods may
// be called concurrently.
type Holder struct {
	budget *Budget
	evict  func()

	// Guarded by the budget's mutex, except for waits, which the one goroutine that
	// acquires uses.
	held       int64
	progressAt time.Time
	gaveWay    bool
	linked     bool
	prev, next *Holder
	waits      bool
}

// Init registers the holder with a budget, which may be nil. Evict is called at most once,
// with the budget locked, if the holder has to give way; it must not block nor call the
// budget. Release must be called at the end.
func (h *Holder) Init(b *Budget, evict func(), now time.Time) {
	h.budget, h.evict, h.progressAt = b, evict, now
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.link(h)
}

// Acquire takes n bytes. If the budget is exhausted, another holder gives way. Acquire fails
// with ErrExhausted if none can, and with ErrEvicted if this one had to give way.
func (h *Holder) Acquire(ctx context.Context, n int64) error {
	if h.budget == nil {
		return nil
	}
	return h.budget.acquire(ctx, h, n)
}

// Progress records that bytes were transferred.
func (h *Holder) Progress(now time.Time) {
	b := h.budget
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	h.progressAt = now
	if h.linked {
		b.unlink(h)
		b.link(h)
	}
}

// Settle ends the transfer: the holder keeps its bytes and need not give way any more.
func (h *Holder) Settle() {
	if h.budget == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.unlink(h)
}

// Shrink gives back n bytes of those held.
func (h *Holder) Shrink(n int64) {
	if h.budget == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.held -= n
	h.budget.releaseLocked(n)
}

// GaveWay reports whether the holder had to give way.
func (h *Holder) GaveWay() bool {
	if h.budget == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.gaveWay
}

// Release gives back all bytes held. It may be called again.
func (h *Holder) Release() {
	if h.budget == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.unlink(h)
	if h.held > 0 {
		h.budget.releaseLocked(h.held)
		h.held = 0
	}
}
