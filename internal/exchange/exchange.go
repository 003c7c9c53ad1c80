// Package exchange sends one request to one server and tells how that ended.
//
// What an outcome proves: NotSent means that no byte of the request was
// written. Refused means that the server stated that it did not run the
// request. Everything else that is not a complete answer proves nothing: the
// request may have run.
package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers names the headers on the wire.
type Headers struct {
	RequestID      string
	DeadlineMillis string
	// Signature proves that an answer is the server's.
	Signature string
	// ExpectInstance makes any other server refuse the request.
	ExpectInstance string
	Instance       string
	// Load holds running requests, waiting requests and slots.
	Load string
	// NotExecuted states that the server did not run the request.
	NotExecuted string
	KeyPosition string
}

// Outcome classifies how an exchange ended.
type Outcome uint8

// The outcomes.
const (
	// NotSent: no byte was written.
	NotSent Outcome = iota
	// Refused: the server states that it did not run the request.
	Refused
	// Answered: a complete answer to this request.
	Answered
	// Broken: the connection ended, or the answer is not one.
	Broken
	// TimedOut: no complete answer until the deadline.
	TimedOut
	// Canceled: the caller left.
	Canceled
)

var outcomeNames = [...]string{"not sent", "refused", "answered", "broken", "timed out", "canceled"}

// String returns the outcome in words.
func (o Outcome) String() string { return outcomeNames[o] }

// ServerLoad is what a server told of itself with an answer.
type ServerLoad struct{ Running, Waiting, Slots int }

// Request is what is sent. Head and body go out unchanged.
type Request struct {
	ID       string
	Method   string
	Target   string // path and query as received
	Host     string
	Header   http.Header
	Body     []byte
	Rest     io.Reader // what follows Body, if the body is too large to hold
	Length   int64     // of the whole body; negative if unknown
	Deadline time.Time
	Instance string
	// FreshOnly avoids connections that were idle for long, because a request
	// that must not be repeated is lost if the server closes at that moment.
	FreshOnly bool
}

// Result is how an exchange ended.
type Result struct {
	Outcome Outcome
	Status  int
	Header  http.Header
	Body    []byte
	// Rest is the part of a large answer that was not read yet, nil if there
	// is none. It must be closed.
	Rest io.ReadCloser
	// Length is the announced length of the whole body, negative if unknown.
	Length int64
	Load   ServerLoad
	// HasLoad is true if the server told its load.
	HasLoad bool
	// Misdirected: another server has the address, or the server does not own
	// the key.
	Misdirected bool
	// Connected is false if no connection could be opened.
	Connected bool
	Err       error
}

// maxSkipped bounds the answers to earlier requests that are passed over on one
// connection before it counts as broken.
const maxSkipped = 3

// Do sends the request to the server at the pool's address.
func (p *Pool) Do(ctx context.Context, r *Request) Result {
	c, err := p.get(ctx, r)
	if err != nil {
		return Result{Outcome: canceledOr(ctx, NotSent), Err: err}
	}
	result := p.exchange(ctx, c, r)
	result.Connected = true
	return result
}

func (p *Pool) exchange(ctx context.Context, c *conn, r *Request) Result {
	if err := c.SetDeadline(r.Deadline); err != nil {
		c.discard()
		return Result{Outcome: NotSent, Err: err}
	}
	// A caller that leaves ends the exchange by expiring the connection.
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	sent := make(chan error, 1)
	written, err := p.write(c, r, sent)
	if err != nil && written == 0 {
		c.discard()
		return Result{Outcome: canceledOr(ctx, NotSent), Err: err}
	}
	result := p.read(c, r)
	if result.Outcome != Answered && result.Outcome != Refused {
		c.discard()
		result.Outcome = failure(ctx, result.Err)
		return result
	}
	complete := true
	select {
	case err := <-sent:
		complete = err == nil
	default:
		// The answer came before the body was out: the server still expects
		// the rest of it, so the connection can't carry another request.
		complete = false
	}
	if result.Rest != nil {
		return result
	}
	// An idle connection has no deadline: it would look broken after it.
	if !stop() || !complete || !c.reusable || c.reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		c.discard()
		return result
	}
	p.put(c)
	return result
}

// failure tells why an exchange whose request was sent ended without an answer.
func failure(ctx context.Context, err error) Outcome {
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

func canceledOr(ctx context.Context, o Outcome) Outcome {
	if ctx.Err() != nil {
		return Canceled
	}
	return o
}

// inlineBody is the largest body that is written together with the head; larger
// ones are written while the answer is awaited, since a server may answer first.
const inlineBody = 32 << 10

func (p *Pool) write(c *conn, r *Request, sent chan<- error) (int, error) {
	head := p.head(r)
	if r.Rest == nil && len(r.Body) <= inlineBody {
		n, err := c.Write(append(head, r.Body...))
		sent <- err
		return n, err
	}
	n, err := c.Write(head)
	if err != nil {
		sent <- err
		return n, err
	}
	p.background.Go(func() { sent <- writeBody(c, r) })
	return n, nil
}

func writeBody(c *conn, r *Request) error {
	var body io.Reader = strings.NewReader(string(r.Body))
	if r.Rest != nil {
		body = io.MultiReader(body, r.Rest)
	}
	if r.Length >= 0 {
		_, err := io.Copy(c.Conn, io.LimitReader(body, r.Length))
		return err
	}
	buffer := make([]byte, inlineBody)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, werr := fmt.Fprintf(c.Conn, "%x\r\n%s\r\n", n, buffer[:n]); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			_, err = io.WriteString(c.Conn, "0\r\n\r\n")
			return err
		}
		if err != nil {
			return err
		}
	}
}

func (p *Pool) head(r *Request) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	_ = r.Header.Write(&b) // a strings.Builder never fails
	fmt.Fprintf(&b, "%s: %s\r\n", p.headers.ExpectInstance, r.Instance)
	if !r.Deadline.IsZero() {
		left := max(time.Until(r.Deadline).Milliseconds(), 1)
		fmt.Fprintf(&b, "%s: %d\r\n", p.headers.DeadlineMillis, left)
	}
	switch {
	case r.Length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case r.Length > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead):
		fmt.Fprintf(&b, "Content-Length: %d\r\n", r.Length)
	}
	b.WriteString("\r\n")
	return []byte(b.String())
}

var (
	errNoAnswer  = errors.New("the server's answer is not one to this request")
	errEncoded   = errors.New("the server's answer has an encoding that was not asked for")
	errUnsigned  = errors.New("a success without the server's signature")
	errTooMany   = errors.New("too many answers to earlier requests")
	errEndless   = errors.New("the server's answer does not end")
	errShortBody = errors.New("the answer's body ends early")
)

// read reads the answer to the request and passes over late answers to earlier
// requests.
func (p *Pool) read(c *conn, r *Request) Result {
	reused := c.used
	c.used = true
	for range maxSkipped {
		c.bounded.left = MaxHeadBytes
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return Result{Outcome: Broken, Err: err}
		}
		if response.StatusCode < 200 {
			continue
		}
		id := response.Header.Get(p.headers.RequestID)
		if id == "" && r.ID != "" && reused {
			// It may be a late copy of the answer to an earlier request; on a
			// connection's first one there is none.
			return Result{Outcome: Broken, Err: errNoAnswer}
		}
		if id != "" && id != r.ID {
			if err := skip(&boundedBody{response.Body, c.bounded}, p.maxHeld); err != nil {
				return Result{Outcome: Broken, Err: err}
			}
			continue
		}
		return p.answer(c, r, response)
	}
	return Result{Outcome: Broken, Err: errTooMany}
}

func (p *Pool) answer(c *conn, r *Request, response *http.Response) Result {
	result := Result{Outcome: Answered, Status: response.StatusCode, Header: response.Header, Length: response.ContentLength}
	result.Load, result.HasLoad = parseLoad(response.Header.Get(p.headers.Load))
	success := response.StatusCode >= 200 && response.StatusCode < 300
	switch {
	case success && response.Header.Get(p.headers.RequestID) != r.ID:
		return Result{Outcome: Broken, Err: errNoAnswer}
	case success && response.Header.Get(p.headers.Signature) == "":
		return Result{Outcome: Broken, Err: errUnsigned}
	case success && response.Header.Get("Content-Encoding") != "":
		return Result{Outcome: Broken, Err: errEncoded}
	}
	c.noteKeepAlive(response)
	rest := &boundedBody{response.Body, c.bounded}
	if response.ContentLength > p.maxHeld {
		result.Rest = &streamed{body: rest, conn: c}
		return result
	}
	body, err := io.ReadAll(io.LimitReader(rest, p.maxHeld+1))
	if err != nil {
		return Result{Outcome: Broken, Err: fmt.Errorf("%w: %w", errShortBody, err)}
	}
	result.Body = body
	if int64(len(body)) > p.maxHeld {
		result.Rest = &streamed{body: rest, conn: c}
		return result
	}
	result.Misdirected = response.StatusCode == http.StatusMisdirectedRequest
	if result.Misdirected || response.Header.Get(p.headers.NotExecuted) != "" {
		result.Outcome = Refused
		c.noteRefused(r.ID)
	}
	return result
}

// parseLoad reads running, waiting and slots, separated by commas.
func parseLoad(text string) (ServerLoad, bool) {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return ServerLoad{}, false
	}
	var values [3]int
	for i, part := range parts {
		v, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || v < 0 {
			return ServerLoad{}, false
		}
		values[i] = v
	}
	return ServerLoad{values[0], values[1], values[2]}, true
}

// conn is one connection to a server.
type conn struct {
	net.Conn
	pool      *Pool
	bounded   *boundedReader
	reader    *bufio.Reader // of bounded
	used      bool          // has carried a request
	refused   []string      // IDs of requests that were refused on it
	idleSince time.Time
	idleLimit time.Duration
	reusable  bool
}

// noteKeepAlive learns from an answer whether and how long the connection may
// be used again.
func (c *conn) noteKeepAlive(response *http.Response) {
	c.reusable = !response.Close
	for part := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if s, err := strconv.Atoi(text); err == nil && s >= 0 {
				c.idleLimit = time.Duration(float64(s) * keptShare * float64(time.Second))
			}
		}
	}
}
