package exchange

import (
	"errors"
	"io"
)

// Budget bounds the bytes of responses that a process buffers. Its methods may be called
// concurrently.
type Budget interface {
	// TryAcquire takes n bytes and reports whether they were free.
	TryAcquire(n int64) bool
	// TryAcquireSmall does so for a small response, which may use a reserve.
	TryAcquireSmall(n int64) bool
	Release(n int64)
}

const (
	// firstBufferBytes is the first buffer of a response of unknown length.
	firstBufferBytes = 512
	// maxFirstBufferBytes bounds the first buffer of a response of known length: a response
	// to HEAD announces a length and has no body.
	maxFirstBufferBytes = 32 << 10
	// smallResponseBytes is the size up to which a response may use the budget's reserve.
	smallResponseBytes = 16 << 10
)

// SetBudget sets the budget of which buffered responses take their bytes. It must be called
// before the pool is used.
func (p *Pool) SetBudget(budget Budget) { p.budget = budget }

// take takes the bytes of a buffer from the budget.
func (p *Pool) take(n int64) bool {
	switch {
	case p.budget == nil:
		return true
	case n <= smallResponseBytes:
		return p.budget.TryAcquireSmall(n)
	default:
		return p.budget.TryAcquire(n)
	}
}

// giveBack gives back bytes of a buffer.
func (p *Pool) giveBack(n int64) {
	if p.budget != nil {
		p.budget.Release(n)
	}
}

// charged returns what a buffer takes of the budget.
func (p *Pool) charged(n int64) int64 {
	if p.budget == nil {
		return 0
	}
	return n
}

// readBuffered reads a response of the announced length, negative if unknown, up to the
// pool's limit. It stops earlier if the budget is exhausted: the rest is then streamed like
// that of a large response. Held is what the returned body takes of the budget; it is 0 if
// reading fails.
func (p *Pool) readBuffered(body io.Reader, length int64) (buffer []byte, held int64, complete bool, err error) {
	size := int64(firstBufferBytes)
	if length >= 0 {
		size = min(length+1, maxFirstBufferBytes) // one more, to read the end
	}
	if !p.take(size) {
		return nil, 0, false, nil
	}
	held, buffer = size, make([]byte, 0, size)
	for {
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case errors.Is(err, io.EOF):
			return buffer, p.charged(held), true, nil
		case err != nil:
			p.giveBack(held)
			return nil, 0, false, err
		case len(buffer) < cap(buffer):
			continue
		}
		size = min(2*held, p.maxBufferedBytes+1)
		if length >= held {
			size = min(size, length+1)
		}
		if size <= held || !p.take(size) {
			return buffer, p.charged(held), false, nil
		}
		buffer = append(make([]byte, 0, size), buffer...)
		p.giveBack(held)
		held = size
	}
}
