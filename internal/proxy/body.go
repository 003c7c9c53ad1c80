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

// requestBody buffers the start of a request's body, or all of it if it is
// small, so that a request that was provably not executed can be sent again.
type requestBody struct {
	buffer        []byte
	hasRest       bool  // more of the body follows on the caller's connection
	length        int64 // -1 if unknown
	reservedBytes int64

	mu           sync.Mutex
	restConsumed bool  // some of the body after the buffer was read
	ended        bool  // the body was read to its end
	err          error // error of reading from the caller's connection
}

var errBodyTooLarge = errors.New("the body exceeds the limit")

// bufferStart reads the start of the body into the buffer.
func (b *requestBody) bufferStart(q *request) error {
	b.length = q.r.ContentLength
	if q.r.Body == nil || q.r.Body == http.NoBody || b.length == 0 {
		b.length = 0
		return nil
	}
	h := q.handler
	if b.length > h.limits.MaxBodyBytes {
		return apierror.New(apierror.KindTooLarge, "the body exceeds %d bytes", h.limits.MaxBodyBytes)
	}
	size := h.limits.MaxReplayBodyBytes
	if b.length > 0 {
		size = min(size, b.length)
	}
	b.reservedBytes = size
	if h.bufferedBytes.Add(size) > h.limits.MaxBufferedBytes {
		b.releaseBuffer(q)
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
		b.hasRest = b.length != n
	case errors.Is(err, io.EOF) && b.length < 0:
		b.length = n
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.releaseBuffer(q)
		return apierror.Wrap(apierror.KindDeadlineUnreachable, err, "the body did not arrive before the deadline")
	default:
		b.releaseBuffer(q)
		return apierror.Wrap(apierror.KindBadRequest, err, "the body cannot be read")
	}
	_ = control.SetReadDeadline(time.Time{})
	return nil
}

// releaseBuffer returns the reserved bytes to the limit on buffered bodies.
func (b *requestBody) releaseBuffer(q *request) {
	q.handler.bufferedBytes.Add(-b.reservedBytes)
	b.reservedBytes = 0
}

// replayable reports whether the complete body can be sent again.
func (b *requestBody) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.restConsumed
}

// readError returns the error of reading the body from the caller, if any.
func (b *requestBody) readError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// newAttemptBody returns a reader over the complete body for one attempt, or nil
// if the request has no body.
func (b *requestBody) newAttemptBody(q *request) *attemptBody {
	if b.length == 0 {
		return nil
	}
	return &attemptBody{body: b, request: q, buffered: b.buffer}
}

// attemptBody reads a request's body for one attempt. net/http may read from it
// after the attempt has failed, so Close and stop make later reads fail.
type attemptBody struct {
	body      *requestBody
	request   *request
	buffered  []byte
	bytesRead int64

	mu     sync.Mutex // serializes reads; held while a read waits for the caller
	closed atomic.Bool
}

// Read reads from the buffer, then from the caller.
func (a *attemptBody) Read(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed.Load() {
		return 0, errAttemptEnded
	}
	if len(a.buffered) > 0 {
		n := copy(p, a.buffered)
		a.buffered = a.buffered[n:]
		a.bytesRead += int64(n)
		return n, nil
	}
	if !a.body.hasRest {
		return 0, io.EOF
	}
	a.body.mu.Lock()
	if a.closed.Load() {
		a.body.mu.Unlock()
		return 0, errAttemptEnded
	}
	a.body.restConsumed = true
	a.body.mu.Unlock()
	control := http.NewResponseController(a.request.w)
	_ = control.SetReadDeadline(time.Now().Add(a.request.handler.limits.StallTimeout)) // not supported outside of a server
	n, err := a.request.r.Body.Read(p)
	if err == io.EOF {
		// net/http continues to read the connection to detect that the caller
		// disconnects; that read must have no deadline.
		_ = control.SetReadDeadline(time.Time{})
	}
	a.bytesRead += int64(n)
	if a.bytesRead > a.request.handler.limits.MaxBodyBytes {
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

// Close makes further reads fail; the caller's body stays open. It does not wait
// for a Read that is waiting for the caller.
func (a *attemptBody) Close() error {
	a.closed.Store(true)
	return nil
}

// stop is Close for a body that may be nil. It must be called before replayable
// decides whether the body can be sent again.
func (a *attemptBody) stop() {
	if a != nil {
		a.closed.Store(true)
	}
}

// fullyRead reports whether no byte of the body remains unread on the caller's
// connection.
func (b *requestBody) fullyRead() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.hasRest || b.ended
}
