package entry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/membudget"
	"github.com/cassiasill/cassiasill/internal/network"
)

// CallerLimits bound what one caller may hold. The zero value sets no limit.
type CallerLimits struct {
	// MinProgressBytes is what a body must bring, and a caller that reads a response must
	// take, in each ProgressPeriod. A message of fewer bytes must end within the period.
	MinProgressBytes int
	// BodyPeriod and ResponsePeriod are the periods for request bodies and for responses.
	// Responses have a longer one: the kernel of a slow reader makes room in large steps.
	BodyPeriod, ResponsePeriod time.Duration
	// MaxHeaderBytes bounds a head while it is read; net/http allows 4 KiB more. 0:
	// defaultMaxHeaderBytes.
	MaxHeaderBytes int
}

const (
	// firstUnknownBytes is the first buffer of a body of unknown length.
	firstUnknownBytes = 512
	// firstKnownBytes bounds the first buffer of a body of known length, which an attacker
	// need not send.
	firstKnownBytes = membudget.SmallBytes
	// streamBytes is what a body that is streamed to a server takes beyond its buffered
	// part: the copy buffer and a chunk.
	streamBytes = 64 << 10
)

var (
	errBodyStalled = errors.New("the body makes no progress")
	errBodyTooLong = errors.New("the body exceeds its limit")
	errBodyClosed  = errors.New("the body was read after its request ended")
)

// requestBody reads the body of a caller's request. It takes the bytes that it buffers from
// the budget of the process, and ends if the caller makes too little progress.
type requestBody struct {
	membudget.Holder
	source  io.Reader
	conn    net.Conn // nil if no deadline can be set
	limits  CallerLimits
	allowed int64         // bytes that may still follow; negative: no limit
	left    time.Duration // of the current period, counted while the body is being read
	brought int           // in the current period

	mu     sync.Mutex // guards the deadline of conn, which after the request is not the body's
	closed bool
	ended  bool // read to its end
}

// newRequestBody returns the reader of a body of at most maxBytes, if positive.
func newRequestBody(ctx context.Context, source io.Reader, budget *membudget.Budget, limits CallerLimits, maxBytes int64) *requestBody {
	b := &requestBody{source: source, conn: network.ContextConn(ctx), limits: limits, allowed: maxBytes, left: limits.BodyPeriod}
	if maxBytes <= 0 {
		b.allowed = -1
	}
	b.Init(budget, b)
	return b
}

// Interrupt ends the current read.
func (b *requestBody) Interrupt() { b.setDeadline(time.Unix(1, 0)) }

func (b *requestBody) setDeadline(deadline time.Time) {
	if b.conn != nil {
		_ = b.conn.SetReadDeadline(deadline) // fails only on a closed connection
	}
}

// arm sets the deadline of the next read.
func (b *requestBody) arm(now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return errBodyClosed
	}
	if b.limits.BodyPeriod > 0 {
		b.setDeadline(now.Add(b.left))
	}
	return b.Begin(now) // after the deadline, which an eviction replaces
}

// Read reads the next part of the body.
func (b *requestBody) Read(p []byte) (int, error) {
	began := time.Now()
	if err := b.arm(began); err != nil {
		return 0, err
	}
	n, err := b.source.Read(p)
	gaveWay := b.End()
	b.count(n, time.Since(began))
	if b.allowed >= 0 {
		if b.allowed -= int64(n); b.allowed < 0 {
			return 0, errBodyTooLong
		}
	}
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		b.finish()
	case gaveWay:
		err = membudget.ErrEvicted
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = errBodyStalled
	}
	return n, err
}

// count counts bytes. A new period begins with the last of the bytes that the current one
// needs.
func (b *requestBody) count(n int, took time.Duration) {
	b.left -= took
	b.brought += n
	if n > 0 && b.brought >= b.limits.MinProgressBytes {
		b.brought, b.left = 0, b.limits.BodyPeriod
	}
}

// finish lifts the deadline: the HTTP server watches the connection from now on.
func (b *requestBody) finish() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	if !b.closed && b.limits.BodyPeriod > 0 {
		b.setDeadline(time.Time{})
	}
}

// close ends the use of the body and gives back its bytes. The HTTP server may still discard
// the rest of it, for one period at most.
func (b *requestBody) close() {
	b.mu.Lock()
	if !b.closed && !b.ended && b.limits.BodyPeriod > 0 {
		b.setDeadline(time.Now().Add(b.limits.BodyPeriod))
	}
	b.closed = true
	b.mu.Unlock()
	b.Release()
}

// readPrefix reads the body to its end or up to maxBufferedBodyBytes. Length is the
// announced one, negative if it is unknown.
func (b *requestBody) readPrefix(ctx context.Context, length int64) (prefix []byte, complete bool, err error) {
	size := int64(firstUnknownBytes)
	if length >= 0 {
		size = min(length, firstKnownBytes)
	}
	if err := b.Acquire(ctx, size); err != nil {
		return nil, false, err
	}
	buffer := make([]byte, 0, size)
	for {
		n, err := b.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case errors.Is(err, io.EOF):
			return buffer, true, nil
		case err != nil:
			return nil, false, err
		case int64(len(buffer)) == length:
			b.finish()
			return buffer, true, nil
		case len(buffer) == maxBufferedBodyBytes:
			return buffer, false, nil
		case len(buffer) == cap(buffer):
			if buffer, err = b.grow(ctx, buffer, length); err != nil {
				return nil, false, err
			}
		}
	}
}

// grow returns a larger copy of the buffer.
func (b *requestBody) grow(ctx context.Context, buffer []byte, length int64) ([]byte, error) {
	size := min(2*int64(cap(buffer)), maxBufferedBodyBytes)
	if length > int64(cap(buffer)) {
		size = min(size, length)
	}
	if err := b.Acquire(ctx, size); err != nil {
		return nil, err
	}
	larger := append(make([]byte, 0, size), buffer...)
	b.Shrink(int64(cap(buffer)))
	return larger, nil
}

// readBody reads the body of a request up to maxBufferedBodyBytes.
func (h *Handler) readBody(q *request, r *http.Request, maxBytes int64) (prefix []byte, complete bool, err error) {
	if r.ContentLength == 0 || r.Body == nil {
		return nil, true, nil
	}
	q.body = newRequestBody(r.Context(), r.Body, h.Budget, h.CallerLimits, maxBytes)
	prefix, complete, err = q.body.readPrefix(r.Context(), r.ContentLength)
	if err == nil && !complete {
		err = q.body.Acquire(r.Context(), streamBytes)
	}
	return prefix, complete, err
}

// release gives back what the request holds of the budget. It may be called again.
func (h *Handler) release(q *request) {
	if q.body != nil {
		q.body.close()
	}
	h.Budget.Release(q.heldBytes)
	q.heldBytes = 0
}

// boundDrain bounds the time in which the HTTP server discards a body that was not read.
func (h *Handler) boundDrain(q *request, r *http.Request) {
	if r.ContentLength == 0 || q.body != nil || h.CallerLimits.BodyPeriod <= 0 {
		return
	}
	if c := network.ContextConn(r.Context()); c != nil {
		_ = c.SetReadDeadline(time.Now().Add(h.CallerLimits.BodyPeriod)) // fails only on a closed connection
	}
}

// bodyError returns the error of a request whose body could not be read. Nothing of the
// request has reached a server.
func (h *Handler) bodyError(err error) *apierror.Error {
	switch {
	case errors.Is(err, membudget.ErrEvicted), errors.Is(err, membudget.ErrExhausted):
		h.Limits.Reached(LimitMemory, "callers.memory")
		return apierror.Wrap(apierror.KindOverloaded, err, "no memory for the body")
	case errors.Is(err, errBodyTooLong):
		return apierror.Wrap(apierror.KindTooLarge, err, "the body exceeds the limit of the configuration")
	case errors.Is(err, errBodyStalled):
		h.Limits.Reached(LimitBodyProgress, "callers.bodyPeriod")
	}
	return apierror.Wrap(apierror.KindCanceled, err, "the body could not be read")
}
