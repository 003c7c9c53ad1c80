// Package exchange sends one request to one server and classifies the outcome.
//
// The outcomes differ in what they prove. NotSent means that no byte of the
// request was written. Refused means that the server stated that it did not
// execute the request. Any other outcome without a complete response proves
// nothing: the server may have executed the request.
package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cassiasill/cassiasill/internal/ratelimit"
)

// HeaderNames holds the names of the headers that hosts and servers exchange.
type HeaderNames struct {
	RequestID      string
	DeadlineMillis string
	// Signature proves that a response comes from the server.
	Signature string
	// ExpectInstance names the server instance that may run the request; any other
	// refuses it.
	ExpectInstance string
	Instance       string
	// Load holds the server's running requests, waiting requests and slots, and maybe
	// how long work takes at present, in percent of the usual time.
	Load string
	// NotExecuted states that the server did not execute the request.
	NotExecuted string
	KeyPosition string
	// RateLimit holds the requests per second that the server accepts from all hosts
	// together.
	RateLimit string
	// Leaving states that the server is shutting down.
	Leaving string
}

// Outcome classifies how an exchange ended.
type Outcome uint8

// Outcomes of an exchange.
const (
	// NotSent: no byte of the request was written.
	NotSent Outcome = iota
	// Refused: the server states that it did not execute the request.
	Refused
	// Answered: the server sent a complete response to this request.
	Answered
	// Broken: the connection ended early, or the response is invalid.
	Broken
	// TimedOut: no complete response arrived before the deadline.
	TimedOut
	// Canceled: the caller canceled the request.
	Canceled
)

var outcomeNames = [...]string{"not sent", "refused", "answered", "broken", "timed out", "canceled"}

// String returns the outcome's name for logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// ServerLoad is the load that a server reports with a response.
type ServerLoad struct {
	Running, Waiting, Slots int
	// TimePercent is how long work takes at the server at present: 100 if as long as
	// usual, 300 if three times as long; 0 if it does not say.
	TimePercent int
}

// MaxTimePercent is the largest valid ServerLoad.TimePercent.
const MaxTimePercent = 10_000

// Request is a request to a server. Its header and body are sent unchanged.
type Request struct {
	ID               string
	Method           string
	Target           string // path and query as received
	Host             string
	Header           http.Header
	Body             []byte
	RemainingBody    io.Reader // the body after Body, if it is too large to buffer
	ContentLength    int64     // of the complete body; negative if unknown
	Deadline         time.Time
	ExpectedInstance string // ID of the server instance that may run the request
	// BeforeSend, if not nil, is called right before the request is written. If it
	// returns an error, nothing is written and the exchange ends with that error: as
	// canceled if it is context.Canceled, and otherwise as not sent.
	BeforeSend func() error
	// FreshConnOnly avoids connections that have been idle for long: if the server
	// closes one at that moment, a request that must not be retried is lost.
	FreshConnOnly bool
}

// Result is the outcome of an exchange and the response, if there is one.
type Result struct {
	Outcome Outcome
	Status  int
	Header  http.Header
	Body    []byte
	// HeldBytes are taken from the pool's budget for Body. The receiver must give them back.
	HeldBytes int64
	// RemainingBody is the unread part of a large response, or nil. The receiver must
	// close it.
	RemainingBody io.ReadCloser
	// ContentLength is the announced length of the complete body, negative if unknown.
	ContentLength int64
	Load          ServerLoad
	// HasLoad is true if the server reported its load.
	HasLoad bool
	// RateLimit and Rate are what the server states about its rate limit.
	// RateLimitErr reports an invalid limit.
	RateLimit    ratelimit.Announcement
	Rate         float64
	RateLimitErr error
	// Leaving is true if the server states that it is shutting down.
	Leaving bool
	// RetryAfter is for how long the server wants no request from this host; 0 if it
	// does not say.
	RetryAfter time.Duration
	// Misdirected is true if another server has the address, or the server does
	// not own the key.
	Misdirected bool
	// OtherInstance is true if another server has the address: the expected one has ended.
	OtherInstance bool
	// Sent is true if any byte of the request was written.
	Sent bool
	// SentLate is true if the request was written although its context had ended.
	SentLate bool
	Err      error
}

// maxStaleResponses bounds the responses that are read in search of the one to the
// request. Late responses to earlier requests are skipped; a connection with more
// of them counts as broken.
const maxStaleResponses = 3

// Do sends the request to the server at the pool's address.
func (p *Pool) Do(ctx context.Context, r *Request) Result {
	if err := ctx.Err(); err != nil {
		return Result{Outcome: Canceled, Err: err}
	}
	c, err := p.acquire(ctx, r)
	if err != nil {
		return Result{Outcome: canceledOr(ctx, NotSent), Err: err}
	}
	return p.roundTrip(ctx, c, r)
}

// roundTrip sends the request on a connection and reads the response.
func (p *Pool) roundTrip(ctx context.Context, c *conn, r *Request) Result {
	// Before ctx is watched: BeforeSend may end it, which would close the connection.
	if r.BeforeSend != nil {
		if err := r.BeforeSend(); err != nil {
			p.putBack(c)
			if errors.Is(err, context.Canceled) {
				return Result{Outcome: Canceled, Err: err}
			}
			return Result{Outcome: NotSent, Err: err}
		}
	}
	if err := c.SetDeadline(r.Deadline); err != nil {
		c.discard()
		return Result{Outcome: NotSent, Err: err}
	}
	// A canceled context closes the connection, which ends the exchange here and the
	// work at the server without waiting for this goroutine.
	stop := context.AfterFunc(ctx, c.discard)
	result := p.exchange(ctx, c, r, stop)
	if result.RemainingBody == nil {
		stop()
	}
	return result
}

// exchange writes the request and reads the response. Stop ends the watch of ctx; if
// the response is streamed, it must be called at the end of it.
func (p *Pool) exchange(ctx context.Context, c *conn, r *Request, stop func() bool) Result {
	sent := make(chan error, 1)
	written, err := p.writeRequest(c, r, sent)
	if err != nil && written == 0 {
		c.discard()
		return Result{Outcome: canceledOr(ctx, NotSent), Err: err}
	}
	sentLate := ctx.Err() != nil
	result := p.readResponse(c, r)
	result.Sent, result.SentLate = true, sentLate
	if result.Outcome != Answered && result.Outcome != Refused {
		c.discard()
		if result.Outcome = failureOutcome(ctx, result.Err); c.bodyBroken.Load() {
			result.Outcome = Canceled
		}
		return result
	}
	complete := true
	select {
	case err := <-sent:
		complete = err == nil
	default:
		// The response arrived before the body was fully sent. The server
		// still expects the rest of it, so the connection can't be reused.
		complete = false
	}
	if result.RemainingBody != nil {
		result.RemainingBody.(*streamedBody).stop = stop
		return result
	}
	// An idle connection has no deadline: once one passes, the connection looks
	// broken.
	if !stop() || !complete || !c.reusable || c.isStopping() || c.reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		c.discard()
		return result
	}
	p.release(c)
	return result
}

// failureOutcome returns the outcome of an exchange whose request was sent but got
// no response.
func failureOutcome(ctx context.Context, err error) Outcome {
	var netErr net.Error
	switch {
	case ctx.Err() != nil:
		return Canceled
	case errors.As(err, &netErr) && netErr.Timeout():
		return TimedOut
	default:
		return Broken
	}
}

// canceledOr returns Canceled if ctx has ended, and otherwise o.
func canceledOr(ctx context.Context, o Outcome) Outcome {
	if ctx.Err() != nil {
		return Canceled
	}
	return o
}

var (
	errWrongRequest       = errors.New("the response belongs to another request")
	errUnexpectedEncoding = errors.New("the response has a content encoding that was not requested")
	errUnsigned           = errors.New("the successful response has no server signature")
	errTooManyStale       = errors.New("too many responses to earlier requests")
	errTooLong            = errors.New("the response exceeds its size limit")
	errShortBody          = errors.New("the response body is truncated")
	errInvalidStatus      = errors.New("the response's status is none that a request without an upgrade can have")
)

// readResponse reads the response to the request and skips late responses to
// earlier requests.
func (p *Pool) readResponse(c *conn, r *Request) Result {
	reused := c.hasCarriedRequest
	c.hasCarriedRequest = true
	for range maxStaleResponses {
		response, err := c.readHead(&http.Request{Method: r.Method})
		if err != nil {
			return Result{Outcome: Broken, Err: err}
		}
		if response.StatusCode < 200 {
			continue
		}
		id := response.Header.Get(p.headers.RequestID)
		if id == "" && r.ID != "" && reused {
			// It may be a late duplicate of the response to an earlier request.
			// On the connection's first request there is no earlier one.
			return Result{Outcome: Broken, Err: errWrongRequest}
		}
		if id != "" && id != r.ID {
			if err := discardBody(&boundedBody{response.Body, c.bounded}, p.maxBufferedBytes); err != nil {
				return Result{Outcome: Broken, Err: err}
			}
			continue
		}
		return p.classifyResponse(c, r, response)
	}
	return Result{Outcome: Broken, Err: errTooManyStale}
}

// isValidStatus reports whether a server may answer a request with the status. http.ReadResponse
// accepts any three digits. A 101 would end HTTP on the connection, which no request asks for.
func isValidStatus(status int) bool {
	return status >= 100 && status <= 599 && status != http.StatusSwitchingProtocols
}

// classifyResponse checks the response, reads its body and sets the outcome.
func (p *Pool) classifyResponse(c *conn, r *Request, response *http.Response) Result {
	result := Result{Outcome: Answered, Status: response.StatusCode, Header: response.Header, ContentLength: response.ContentLength}
	result.Load, result.HasLoad = parseLoad(response.Header.Get(p.headers.Load))
	result.Leaving = p.headers.Leaving != "" && slices.Contains(response.Header.Values(p.headers.Leaving), "1")
	if response.StatusCode == http.StatusServiceUnavailable {
		result.RetryAfter = parseRetryAfter(response.Header.Values("Retry-After"))
	}
	success := response.StatusCode >= 200 && response.StatusCode < 300
	switch {
	case success && response.Header.Get(p.headers.RequestID) != r.ID:
		return Result{Outcome: Broken, Err: errWrongRequest}
	case success && response.Header.Get(p.headers.Signature) == "":
		return Result{Outcome: Broken, Err: errUnsigned}
	case success && response.Header.Get("Content-Encoding") != "":
		return Result{Outcome: Broken, Err: errUnexpectedEncoding}
	}
	c.applyKeepAlive(response)
	rest := &boundedBody{response.Body, c.bounded}
	misdirected := response.StatusCode == http.StatusMisdirectedRequest
	if misdirected || response.Header.Get(p.headers.NotExecuted) != "" {
		if err := c.skipRefusalBody(rest, r.Deadline); err != nil {
			return Result{Outcome: Broken, Err: fmt.Errorf("%w: %w", errShortBody, err)}
		}
		id := response.Header.Get(p.headers.Instance)
		result.Outcome, result.Misdirected = Refused, misdirected
		result.OtherInstance = misdirected && id != "" && id != r.ExpectedInstance
		c.recordRefusal(r.ID)
		p.parseRateLimit(&result)
		return result
	}
	if response.ContentLength > p.maxBufferedBytes {
		result.RemainingBody = &streamedBody{body: rest, conn: c}
		p.parseRateLimit(&result)
		return result
	}
	body, held, complete, err := p.readBuffered(rest, response.ContentLength)
	if err != nil {
		return Result{Outcome: Broken, Err: fmt.Errorf("%w: %w", errShortBody, err)}
	}
	result.Body, result.HeldBytes = body, held
	if !complete {
		result.RemainingBody = &streamedBody{body: rest, conn: c}
	}
	p.parseRateLimit(&result)
	return result
}

// maxRetryAfter bounds for how long a server may ask a host to stay away.
const maxRetryAfter = 5 * time.Minute

// parseRetryAfter returns the longest valid number of seconds. Dates and numbers that
// are not positive are ignored.
func parseRetryAfter(values []string) time.Duration {
	longest := time.Duration(0)
	for _, text := range values {
		seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || !(seconds > 0) {
			continue
		}
		longest = max(longest, time.Duration(min(seconds, maxRetryAfter.Seconds())*float64(time.Second)))
	}
	return longest
}

// parseLoad parses "running,waiting,slots" or "running,waiting,slots,percent". It returns
// false if text is malformed. An invalid percentage alone is ignored.
func parseLoad(text string) (ServerLoad, bool) {
	parts := strings.Split(text, ",")
	if len(parts) != 3 && len(parts) != 4 {
		return ServerLoad{}, false
	}
	var values [3]int
	for i, part := range parts[:3] {
		v, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || v < 0 {
			return ServerLoad{}, false
		}
		values[i] = v
	}
	load := ServerLoad{Running: values[0], Waiting: values[1], Slots: values[2]}
	if len(parts) == 4 {
		if percent, err := strconv.Atoi(strings.TrimSpace(parts[3])); err == nil && percent >= 1 && percent <= MaxTimePercent {
			load.TimePercent = percent
		}
	}
	return load, true
}
