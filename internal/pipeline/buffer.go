package pipeline

import "sync"

const (
	// minBufferBytes is the first size of a buffer. It holds a usual pipeline.
	minBufferBytes = 4 << 10
	// maxBufferBytes bounds the bytes that a connection has read ahead.
	maxBufferBytes = 32 << 10
)

// buffer holds bytes that were read ahead. Its memory is charged to the budget while it
// holds any.
type buffer struct {
	budget Budget
	data   []byte
	first  int // index of the first byte that is not discarded

	mu      sync.Mutex
	charged int64
	closed  bool
}

// bytes returns the buffered bytes. They are valid until the next change.
func (b *buffer) bytes() []byte { return b.data[b.first:] }

func (b *buffer) isEmpty() bool { return b.first == len(b.data) }

// add appends bytes. It reports false, and appends none, if they don't fit.
func (b *buffer) add(p []byte) bool {
	if len(p) == 0 {
		return true
	}
	for cap(b.data)-len(b.data) < len(p) {
		if !b.grow() {
			return false
		}
	}
	b.data = append(b.data, p...)
	return true
}

// tail returns room behind the bytes; it is empty if a bound is reached.
func (b *buffer) tail() []byte {
	if len(b.data) == cap(b.data) {
		b.grow()
	}
	return b.data[len(b.data):cap(b.data)]
}

// extend adds the first n bytes of the tail.
func (b *buffer) extend(n int) { b.data = b.data[:len(b.data)+n] }

// grow makes room by moving the bytes to the beginning or by a larger array. It reports
// whether there is more room.
func (b *buffer) grow() bool {
	if b.first > 0 {
		b.data = b.data[:copy(b.data, b.data[b.first:])]
		b.first = 0
		return true
	}
	size := min(max(2*cap(b.data), minBufferBytes), maxBufferBytes)
	if size == cap(b.data) || !b.charge(int64(size-cap(b.data))) {
		return false
	}
	b.data = append(make([]byte, 0, size), b.data...)
	return true
}

// discard removes the first n bytes.
func (b *buffer) discard(n int) {
	b.first += n
	if b.isEmpty() {
		b.data, b.first = nil, 0
		b.release(false)
	}
}

// close gives back what is charged. The buffer can't grow afterwards.
func (b *buffer) close() { b.release(true) }

func (b *buffer) charge(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || (b.budget != nil && !b.budget.TryAcquire(n)) {
		return false
	}
	b.charged += n
	return true
}

func (b *buffer) release(closed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = b.closed || closed
	if b.budget != nil && b.charged > 0 {
		b.budget.Release(b.charged)
	}
	b.charged = 0
}
