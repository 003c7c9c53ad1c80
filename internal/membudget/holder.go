package membudget

import (
	"context"
	"time"
)

// Holder holds bytes of a budget for one message that is being transferred. Its methods may
// be called concurrently.
type Holder struct {
	budget   *Budget
	transfer Interrupter

	// Guarded by the budget's mutex, except for waits, which the one goroutine that
	// acquires uses.
	held       int64
	waitsSince time.Time
	gaveWay    bool
	linked     bool
	prev, next *Holder
	waits      bool
}

// Interrupter ends a transfer.
type Interrupter interface {
	// Interrupt is called at most once, with the budget locked, if the holder has to give
	// way. It must not block nor call the budget.
	Interrupt()
}

// Init sets the budget, which may be nil, and the transfer. Release must be called at the
// end.
func (h *Holder) Init(b *Budget, transfer Interrupter) { h.budget, h.transfer = b, transfer }

// Acquire takes n bytes. If the budget is exhausted, another holder gives way. Acquire fails
// with ErrExhausted if none can, and with ErrEvicted if this one had to give way.
func (h *Holder) Acquire(ctx context.Context, n int64) error {
	if h.budget == nil {
		return nil
	}
	return h.budget.acquire(ctx, h, n)
}

// Begin states that the transfer of the next bytes begins; until End the holder may have to
// give way. It fails with ErrEvicted if it had to before.
func (h *Holder) Begin(now time.Time) error {
	b := h.budget
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.gaveWay {
		return ErrEvicted
	}
	h.waitsSince = now
	b.link(h)
	return nil
}

// End states that bytes were transferred, or that the transfer failed. It reports whether
// the holder had to give way.
func (h *Holder) End() (gaveWay bool) {
	b := h.budget
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unlink(h)
	return h.gaveWay
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
