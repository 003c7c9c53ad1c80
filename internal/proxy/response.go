package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/cassiasill/cassiasill/internal/admission"
	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/routing"
)

const (
	// responseBufferBytes is the size of the buffer through which responses
	// stream. A response that fits into the buffer is read and checked
	// completely before any of it is passed on.
	responseBufferBytes = 32 << 10
	// maxDiscardBytes bounds how much of a rejection's body is read and
	// discarded so that its connection can be reused.
	maxDiscardBytes = 4 << 10
)

// upstreamResponse is a checked response of an upstream whose body is being
// read.
type upstreamResponse struct {
	response     *http.Response
	exchange     *exchange
	cancel       context.CancelFunc
	ticket       admission.Ticket
	owner        routing.Owner
	upstream     *upstream
	latency      time.Duration
	buffer       *[responseBufferBytes]byte
	bufferedBody []byte // the part of the body that was read but not passed on
	complete     bool   // bufferedBody is the complete body
	length       int64  // length of the body in bytes, -1 if unknown
	remaining    int64  // bytes of the body that have not been read
}

var bufferPool = sync.Pool{New: func() any { return new([responseBufferBytes]byte) }}

// finishResponse releases the response's resources and ends the quarantine
// permit of the attempt.
func (q *request) finishResponse(a *upstreamResponse, outcome admission.Outcome) {
	a.release(outcome)
	q.endPermit(outcome)
}

// release frees the buffer and the admission ticket of the response and closes
// its body. The connection is closed too unless the response was read to its
// end.
func (a *upstreamResponse) release(outcome admission.Outcome) {
	a.cancel()
	a.response.Body.Close()
	if a.buffer != nil {
		bufferPool.Put(a.buffer)
		a.buffer = nil
	}
	a.ticket.Done(outcome, a.latency)
}

// sendAttempt makes one attempt. It returns a response whose beginning has been
// read and checked, or the failure.
func (q *request) sendAttempt(ticket admission.Ticket, owner routing.Owner, p *resumeRange) (*upstreamResponse, *failure) {
	u := q.service.upstreams[ticket.Server()]
	if u == nil {
		return nil, &failure{result: AttemptNotConnected, kind: apierror.KindNoUpstream, err: errors.New("the server is not configured")}
	}
	ctx, cancelCause := context.WithCancelCause(q.ctx)
	cancel := func() { cancelCause(nil) }
	x := &exchange{abort: cancel}
	if q.service.HasKeyOwners {
		x.stillOwned = func() bool { return q.handler.options.Resolver.Owner(q.service.Name, q.position) == owner }
	}
	endWatch := func() {}
	if q.service.HasKeyOwners && q.route.Repeatable {
		endWatch = q.watchOwner(owner, cancelCause)
	}
	body := q.body.newAttemptBody(q)
	response, err := u.transport.RoundTrip(q.newUpstreamRequest(x.trace(ctx), u, owner, body, p))
	endWatch()
	cause := context.Cause(ctx)
	if err != nil {
		cancel()
		body.stop()
		return nil, classifyFailure(q.ctx, x, err, q.body.readError()).markOwnerChange(cause)
	}
	a := &upstreamResponse{response: response, exchange: x, cancel: cancel, ticket: ticket, owner: owner, upstream: u, length: response.ContentLength}
	if !hasBody(q.r.Method, response.StatusCode) {
		a.length = 0
	}
	a.remaining = a.length
	x.setBodyLength(a.length)
	if f := q.checkResponse(a, p); f != nil {
		f = f.markOwnerChange(cause)
		cancel()
		body.stop()
		response.Body.Close()
		if a.buffer != nil {
			bufferPool.Put(a.buffer)
		}
		return nil, f
	}
	return a, nil
}

// watchOwner cancels an attempt as soon as another server owns the key: a
// frozen owner would hold the request until its deadline although the key is
// already served by its new owner. It returns the function that ends the watch.
// Only repeatable requests are watched, and only until the response's header
// has arrived: a transfer that breaks later is resumed.
func (q *request) watchOwner(owner routing.Owner, cancel context.CancelCauseFunc) (stop func()) {
	done := make(chan struct{})
	var group conc.WaitGroup
	group.Go(func() {
		for {
			changed := q.handler.options.Resolver.Changed(q.service.Name)
			now := q.handler.options.Resolver.Owner(q.service.Name, q.position)
			if now.State == routing.StateServed && now.Server != owner.Server {
				cancel(errOwnerChanged)
				return
			}
			select {
			case <-changed:
			case <-done:
				return
			}
		}
	})
	return func() {
		close(done)
		group.Wait()
	}
}

// newUpstreamRequest builds the request for an upstream. GetBody stays nil so
// that net/http never resends a body by itself.
func (q *request) newUpstreamRequest(ctx context.Context, u *upstream, owner routing.Owner, body *attemptBody, p *resumeRange) *http.Request {
	header := make(http.Header, len(q.r.Header)+5)
	copyHeaders(header, q.r.Header)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // keeps net/http from adding its own
	}
	header[apierror.HeaderRequestID] = []string{q.id}
	header[headerCaller] = []string{string(q.caller)}
	header[headerDeadline] = []string{strconv.FormatInt(max(time.Until(q.deadline).Milliseconds(), 1), 10)}
	if q.service.HasKeyOwners {
		header[headerFencingToken] = []string{owner.Token.String()}
	}
	if p != nil {
		p.setHeaders(header)
	}
	out := &http.Request{
		Method: q.r.Method,
		URL: &url.URL{
			Scheme: "http", Host: u.server.Address, Path: q.r.URL.Path, RawPath: q.r.URL.RawPath,
			RawQuery: q.r.URL.RawQuery, ForceQuery: q.r.URL.ForceQuery,
		},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: header, Host: u.server.Address,
	}
	if body != nil {
		out.Body, out.ContentLength = body, q.body.length
	}
	return out.WithContext(ctx)
}

// checkResponse checks that the response belongs to the request, classifies
// rejections and reads the beginning of the body.
func (q *request) checkResponse(a *upstreamResponse, p *resumeRange) *failure {
	r := a.response
	if err := a.exchange.checkHeader(r.Header); err != nil {
		return invalidResponse("%w", err)
	}
	if ids := r.Header[apierror.HeaderRequestID]; len(ids) != 1 || ids[0] != q.id {
		return invalidResponse("the response belongs to another request")
	}
	executed := r.Header[apierror.HeaderExecuted]
	switch {
	case r.StatusCode == http.StatusMisdirectedRequest:
		discardBody(r)
		a.exchange.seal()
		return &failure{result: AttemptNotOwner, kind: apierror.KindNotOwner, err: errors.New("rejected: the server does not own the key")}
	case r.StatusCode == http.StatusServiceUnavailable && len(executed) == 1 && executed[0] == string(apierror.ExecutedNo):
		discardBody(r)
		a.exchange.seal()
		return &failure{result: AttemptShed, kind: apierror.KindOverloaded, err: errors.New("shed by the overloaded server")}
	case r.StatusCode < http.StatusOK || r.StatusCode > 599:
		return invalidResponse("status %d cannot be forwarded", r.StatusCode)
	case r.ContentLength < 0 && len(r.TransferEncoding) == 0 && hasBody(q.r.Method, r.StatusCode):
		return invalidResponse("the response has neither a length nor chunked encoding, so a truncated body could not be detected")
	}
	if p != nil {
		if err := p.checkResponse(r); err != nil {
			return invalidResponse("the response does not continue the interrupted one: %w", err)
		}
	}
	return q.readBodyStart(a)
}

// readBodyStart reads the complete body if it fits into the buffer, otherwise
// the bytes that have arrived.
func (q *request) readBodyStart(a *upstreamResponse) *failure {
	a.buffer = bufferPool.Get().(*[responseBufferBytes]byte)
	small := a.length >= 0 && a.length <= responseBufferBytes
	n, err := a.read(a.buffer[:])
	for small && err == nil {
		var k int
		k, err = a.read(a.buffer[n:])
		n += k
	}
	a.bufferedBody = a.buffer[:n]
	a.complete = err == io.EOF
	switch {
	case a.exchange.tooLong():
		return invalidResponse("%w", errTooLong)
	case err != nil && err != io.EOF:
		f := classifyFailure(q.ctx, a.exchange, err, q.body.readError())
		f.result = AttemptUnknown
		return f
	}
	return nil
}

// read reads the next bytes of the body. The last byte is read on its own:
// net/http reads it through its buffer, which also takes in the bytes that
// follow. A response that is too long therefore fails before its last byte is
// passed on.
func (a *upstreamResponse) read(p []byte) (int, error) {
	next := p
	if a.remaining > 1 {
		next = p[:min(int64(len(p)), a.remaining-1)]
	}
	n, err := a.response.Body.Read(next)
	if a.remaining > 0 {
		a.remaining -= int64(n)
	}
	if err != nil || a.remaining != 1 || n == len(p) {
		return n, err
	}
	k, err := a.response.Body.Read(p[n : n+1])
	a.remaining -= int64(k)
	return n + k, err
}

func invalidResponse(format string, args ...any) *failure {
	return &failure{result: AttemptUnknown, kind: apierror.KindUpstreamInvalidResponse, err: fmt.Errorf(format, args...)}
}

// discardBody reads a short body to its end so that the connection can be
// reused.
func discardBody(r *http.Response) {
	if r.ContentLength >= 0 && r.ContentLength <= maxDiscardBytes {
		_, _ = io.Copy(io.Discard, r.Body) // on failure net/http closes the connection
	}
}

// hasBody reports whether a response can have a body.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}
