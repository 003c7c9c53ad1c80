package proxy

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassiasill/cassiasill/internal/apierror"
)

// requestBody holds the start of a request's body, or all of it if it is small,
// so that a request that was provably not executed can be sent again.
type requestBody struct {
	buffer   []byte
	rest     bool  // more follows in the caller's connection
	length   int64 // -1 if unknown
	reserved int64

	mu       sync.Mutex
	consumed bool  // some of the rest was read
	ended    bool  // all of the rest was read
	err      error // failure of the caller's connection
}

var errBodyTooLarge = errors.New("the body exceeds the limit")

// prepare reads the start of the body into the buffer.
func (b *requestBody) prepare(q *request) error {
	b.length = q.r.ContentLength
	if q.r.Body == nil || q.r.Body == http.NoBody || b.length == 0 {
		b.length = 0
		return nil
	}
	h := q.handler
	if b.length > h.limits.RequestBytes {
		return apierror.New(apierror.KindTooLarge, "the body exceeds %d bytes", h.limits.RequestBytes)
	}
	size := h.limits.BodyBytes
	if b.length > 0 {
		size = min(size, b.length)
	}
	b.reserved = size
	if h.buffered.Add(size) > h.limits.BufferBytes {
		b.release(q)
		return apierror.New(apierror.KindOverloaded, "too many request bodies are buffered")
	}
	control := http.NewResponseController(q.w)
	_ = control.SetReadDeadline(q.deadline) // not supported outside of a server
	var buffer bytes.Buffer
	if b.length > 0 {
		buffer.Grow(int(size))
	}
	n, err := io.CopyN(&buffer, q.r.Body, size)
	b.buffer = buffer.Bytes()
	switch {
	case err == nil:
		b.rest = b.length != n
	case errors.Is(err, io.EOF) && b.length < 0:
		b.length = n
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.release(q)
		return apierror.Wrap(apierror.KindDeadlineUnreachable, err, "the body did not arrive before the deadline")
	default:
		b.release(q)
		return apierror.Wrap(apierror.KindBadRequest, err, "the body cannot be read")
	}
	_ = control.SetReadDeadline(time.Time{})
	return nil
}

// release returns the reserved memory.
func (b *requestBody) release(q *request) {
	q.handler.buffered.Add(-b.reserved)
	b.reserved = 0
}

// replayable reports whether the whole body can be sent once more.
func (b *requestBody) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.consumed
}

// failure returns the error with which the caller's side of the body failed.
func (b *requestBody) failure() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// open returns a reader over the whole body for one attempt, or nil if the
// request has none.
func (b *requestBody) open(q *request) *attemptBody {
	if b.length == 0 {
		return nil
	}
	return &attemptBody{body: b, request: q, start: b.buffer}
}

// attemptBody reads a request's body for one attempt. net/http may read from
// it after the attempt has failed, so it can be cut off.
type attemptBody struct {
	body    *requestBody
	request *request
	start   []byte
	total   int64

	mu     sync.Mutex // held while a read waits for the caller
	closed atomic.Bool
}

// Read reads from the buffer, then from the caller.
func (a *attemptBody) Read(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed.Load() {
		return 0, errSealed
	}
	if len(a.start) > 0 {
		n := copy(p, a.start)
		a.start = a.start[n:]
		a.total += int64(n)
		return n, nil
	}
	if !a.body.rest {
		return 0, io.EOF
	}
	a.body.mu.Lock()
	if a.closed.Load() {
		a.body.mu.Unlock()
		return 0, errSealed
	}
	a.body.consumed = true
	a.body.mu.Unlock()
	control := http.NewResponseController(a.request.w)
	_ = control.SetReadDeadline(time.Now().Add(a.request.handler.limits.StallTime)) // not supported outside of a server
	n, err := a.request.r.Body.Read(p)
	if err == io.EOF {
		// net/http goes on reading to notice a caller that leaves.
		_ = control.SetReadDeadline(time.Time{})
	}
	a.total += int64(n)
	if a.total > a.request.handler.limits.RequestBytes {
		err = errBodyTooLarge
	}
	if err != nil {
		a.body.mu.Lock()
		defer a.body.mu.Unlock()
		if a.body.ended = err == io.EOF; !a.body.ended {
			a.body.err = err
		}
	}
	return n, err
}

// Close ends the attempt's reading; the caller's body stays open. It doesn't
// wait for a Read that waits for the caller.
func (a *attemptBody) Close() error {
	a.closed.Store(true)
	return nil
}

// stop is Close for a body that may be nil. It must come before the decision
// whether the body can be sent again.
func (a *attemptBody) stop() {
	if a != nil {
		a.closed.Store(true)
	}
}

// finished reports whether nothing of the body is left in the caller's
// connection.
func (b *requestBody) finished() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.rest || b.ended
}
