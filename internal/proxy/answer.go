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
	// headBytes is the size of the buffer through which answers stream. An
	// answer that fits is checked as a whole before any of it is passed on.
	headBytes = 32 << 10
	// refusalBytes is how much of a refusal's body is read to keep its
	// connection in use.
	refusalBytes = 4 << 10
)

// answer is an upstream's checked answer whose body is being read.
type answer struct {
	response *http.Response
	exchange *exchange
	cancel   context.CancelFunc
	ticket   admission.Ticket
	owner    routing.Owner
	upstream *upstream
	latency  time.Duration
	buffer   *[headBytes]byte
	head     []byte // the part of the body that was read
	whole    bool   // head is the whole body
	length   int64  // bytes that the body must have, -1 if unknown
	left     int64  // bytes of it that have not been read
}

var buffers = sync.Pool{New: func() any { return new([headBytes]byte) }}

// end releases what the answer holds and the quarantine's permit.
func (q *request) end(a *answer, outcome admission.Outcome) {
	a.release(outcome)
	q.settle(outcome)
}

// release gives back what the answer holds. Its connection is closed unless
// the answer was read to its end.
func (a *answer) release(outcome admission.Outcome) {
	a.cancel()
	a.response.Body.Close()
	if a.buffer != nil {
		buffers.Put(a.buffer)
		a.buffer = nil
	}
	a.ticket.Done(outcome, a.latency)
}

// send makes one attempt. It returns an answer whose beginning has been read
// and checked, or what failed.
func (q *request) send(ticket admission.Ticket, owner routing.Owner, p *part) (*answer, *failure) {
	u := q.service.upstreams[ticket.Server()]
	if u == nil {
		return nil, &failure{seen: SeenNotConnected, kind: apierror.KindNoUpstream, err: errors.New("the server is not in the settings")}
	}
	ctx, cancelCause := context.WithCancelCause(q.ctx)
	cancel := func() { cancelCause(nil) }
	x := &exchange{abort: cancel}
	if q.service.Keyed {
		x.owned = func() bool { return q.handler.options.Resolver.Owner(q.service.Name, q.position) == owner }
	}
	endWatch := func() {}
	if q.service.Keyed && q.route.Repeatable {
		endWatch = q.watchOwner(owner, cancelCause)
	}
	body := q.body.open(q)
	response, err := u.transport.RoundTrip(q.outgoing(x.trace(ctx), u, owner, body, p))
	endWatch()
	cause := context.Cause(ctx)
	if err != nil {
		cancel()
		body.stop()
		return nil, failed(q.ctx, x, err, q.body.failure()).movedIf(cause)
	}
	a := &answer{response: response, exchange: x, cancel: cancel, ticket: ticket, owner: owner, upstream: u, length: response.ContentLength}
	if !hasBody(q.r.Method, response.StatusCode) {
		a.length = 0
	}
	a.left = a.length
	x.expect(a.length)
	if f := q.inspect(a, p); f != nil {
		f = f.movedIf(cause)
		cancel()
		body.stop()
		response.Body.Close()
		if a.buffer != nil {
			buffers.Put(a.buffer)
		}
		return nil, f
	}
	return a, nil
}

// watchOwner gives an attempt up as soon as another server owns the key: a
// frozen owner would hold the request until its deadline, although the key is
// served again. It returns the function that ends the watch. Only requests that
// may be repeated are watched, and only until the answer's header is there: a
// transfer that breaks off later is resumed.
func (q *request) watchOwner(owner routing.Owner, cancel context.CancelCauseFunc) (stop func()) {
	done := make(chan struct{})
	var group conc.WaitGroup
	group.Go(func() {
		for {
			changed := q.handler.options.Resolver.Changed(q.service.Name)
			now := q.handler.options.Resolver.Owner(q.service.Name, q.position)
			if now.State == routing.StateServed && now.Server != owner.Server {
				cancel(errMoved)
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

// outgoing builds the request for an upstream. GetBody stays nil, so that
// net/http never sends a body twice on its own.
func (q *request) outgoing(ctx context.Context, u *upstream, owner routing.Owner, body *attemptBody, p *part) *http.Request {
	header := make(http.Header, len(q.r.Header)+5)
	copyHeaders(header, q.r.Header)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // keeps net/http from adding its own
	}
	header[apierror.HeaderRequestID] = []string{q.id}
	header[headerCaller] = []string{string(q.caller)}
	header[headerDeadline] = []string{strconv.FormatInt(max(time.Until(q.deadline).Milliseconds(), 1), 10)}
	if q.service.Keyed {
		header[headerFencingToken] = []string{owner.Token.String()}
	}
	if p != nil {
		p.ask(header)
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

// inspect checks that the answer belongs to the request, classifies refusals
// and reads the beginning of the body.
func (q *request) inspect(a *answer, p *part) *failure {
	r := a.response
	if ids := r.Header[apierror.HeaderRequestID]; len(ids) != 1 || ids[0] != q.id {
		return invalid("the answer is not to this request")
	}
	executed := r.Header[apierror.HeaderExecuted]
	switch {
	case r.StatusCode == http.StatusMisdirectedRequest:
		discard(r)
		a.exchange.seal()
		return &failure{seen: SeenRefused, kind: apierror.KindNotOwner, err: errors.New("refused as not the owner")}
	case r.StatusCode == http.StatusServiceUnavailable && len(executed) == 1 && executed[0] == string(apierror.ExecutedNo):
		discard(r)
		a.exchange.seal()
		return &failure{seen: SeenShed, kind: apierror.KindOverloaded, err: errors.New("shed for load")}
	case r.StatusCode < http.StatusOK:
		return invalid("status %d cannot be passed on", r.StatusCode)
	case r.ContentLength < 0 && len(r.TransferEncoding) == 0 && hasBody(q.r.Method, r.StatusCode):
		return invalid("the answer's end is not marked, so its loss could not be noticed")
	}
	if p != nil {
		if err := p.matches(r); err != nil {
			return invalid("the rest does not continue the answer: %w", err)
		}
	}
	return q.readHead(a)
}

// readHead reads a small answer whole, and of others what has arrived.
func (q *request) readHead(a *answer) *failure {
	a.buffer = buffers.Get().(*[headBytes]byte)
	small := a.length >= 0 && a.length <= headBytes
	n, err := a.read(a.buffer[:])
	for small && err == nil {
		var k int
		k, err = a.read(a.buffer[n:])
		n += k
	}
	a.head = a.buffer[:n]
	a.whole = err == io.EOF
	switch {
	case a.exchange.tooLong():
		return invalid("%w", errTooLong)
	case err != nil && err != io.EOF:
		f := failed(q.ctx, a.exchange, err, q.body.failure())
		f.seen = SeenUnknown
		return f
	}
	return nil
}

// read reads the next bytes of the body. The last byte is read by itself: it
// passes through net/http's buffer, which takes in what follows as well, so
// that an answer that is too long fails before its last byte is passed on.
func (a *answer) read(p []byte) (int, error) {
	next := p
	if a.left > 1 {
		next = p[:min(int64(len(p)), a.left-1)]
	}
	n, err := a.response.Body.Read(next)
	if a.left > 0 {
		a.left -= int64(n)
	}
	if err != nil || a.left != 1 || n == len(p) {
		return n, err
	}
	k, err := a.response.Body.Read(p[n : n+1])
	a.left -= int64(k)
	return n + k, err
}

func invalid(format string, args ...any) *failure {
	return &failure{seen: SeenUnknown, kind: apierror.KindUpstreamInvalidResponse, err: fmt.Errorf(format, args...)}
}

// discard reads a short body to its end, which keeps the connection in use.
func discard(r *http.Response) {
	if r.ContentLength >= 0 && r.ContentLength <= refusalBytes {
		_, _ = io.Copy(io.Discard, r.Body) // a failure closes the connection
	}
}

// hasBody reports whether an answer can have a body.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}
