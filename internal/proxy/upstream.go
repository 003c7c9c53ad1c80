package proxy

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// upstream is one server with its own pool of connections.
type upstream struct {
	server    topology.Server
	transport *http.Transport
	dial      DialFunc

	mu    sync.Mutex
	conns map[*conn]struct{}
	// broken counts the connections that were open at brokenAt and that the
	// server broke then or soon after.
	broken   int
	brokenAt time.Time

	probing      sync.Mutex // held during a probe
	probedAt     time.Time
	probeCrashed bool
}

// dialError marks a failure to connect, which proves that nothing was sent.
type dialError struct{ err error }

func (e *dialError) Error() string { return "connect: " + e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

func newUpstream(server topology.Server, limits Limits, dial DialFunc) *upstream {
	u := &upstream{server: server, dial: dial, conns: make(map[*conn]struct{})}
	u.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, limits.DialTimeout)
			defer cancel()
			c, err := dial(ctx, network, server.Address)
			if err != nil {
				return nil, &dialError{err}
			}
			return u.track(c), nil
		},
		// The answer's bytes must reach the caller as they are.
		DisableCompression:     true,
		MaxIdleConnsPerHost:    limits.Connections,
		MaxConnsPerHost:        limits.Connections,
		IdleConnTimeout:        limits.IdleTimeout,
		MaxResponseHeaderBytes: limits.AnswerHeaderBytes,
	}
	return u
}

func (u *upstream) track(c net.Conn) *conn {
	t := &conn{Conn: c, upstream: u, opened: time.Now()}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conns[t] = struct{}{}
	return t
}

// drop forgets a connection; remote is set if the server broke it.
func (u *upstream) drop(c *conn, remote bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, ok := u.conns[c]; !ok {
		return
	}
	delete(u.conns, c)
	if !remote {
		return
	}
	now := time.Now()
	switch {
	case now.Sub(u.brokenAt) > crashWindow:
		u.broken, u.brokenAt = 1, now
	case c.opened.Before(u.brokenAt):
		u.broken++
	}
}

// conn is a connection that reports each read and write to the exchange that
// uses it.
type conn struct {
	net.Conn
	upstream *upstream
	opened   time.Time

	pending []byte // received, but not yet passed on

	mu      sync.Mutex
	current *exchange
}

func (c *conn) begin(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = x
}

func (c *conn) exchange() *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

var errSealed = errors.New("the attempt has ended")

// Write refuses to send for an attempt that has been reported as not sent.
func (c *conn) Write(p []byte) (int, error) {
	x := c.exchange()
	if x != nil && !x.startWrite() {
		return 0, errSealed
	}
	n, err := c.Conn.Write(p)
	if x != nil {
		x.endWrite(n)
	}
	return n, err
}

// Read passes on the bytes of the current answer only. net/http never calls it
// concurrently.
func (c *conn) Read(p []byte) (int, error) {
	var n int
	var err error
	if len(c.pending) > 0 {
		n = copy(p, c.pending)
		c.pending = c.pending[n:]
	} else if n, err = c.Conn.Read(p); err != nil {
		c.upstream.drop(c, !errors.Is(err, net.ErrClosed))
	}
	if n == 0 {
		return 0, err
	}
	x := c.exchange()
	if x == nil {
		return 0, errTooLong // an answer before any request
	}
	k, frameErr := x.take(p[:n])
	if frameErr != nil {
		return 0, frameErr
	}
	if k < n {
		// What follows the header is held until its framing is known.
		c.pending = append(bytes.Clone(p[k:n]), c.pending...)
		return k, nil
	}
	return n, err
}

func (c *conn) Close() error {
	c.upstream.drop(c, false)
	return c.Conn.Close()
}

// exchange records what one attempt has sent and received, so that a failure
// is classified by what the upstream can have seen.
type exchange struct {
	abort context.CancelFunc
	// owned reports whether the request may still go to this server; nil if
	// the service is not divided by key. It is asked right before the first
	// byte is written, because opening a connection takes time in which the
	// key can move.
	owned func() bool

	mu        sync.Mutex
	connected int  // connections obtained
	sealed    bool // no byte may be written any more
	writing   bool // a write is under way
	written   int64
	frame     frame
}

// trace returns ctx with hooks that bind the connection to x.
func (x *exchange) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				x.bind(c)
			}
		},
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			x.mu.Lock()
			defer x.mu.Unlock()
			x.frame = frame{}
			return nil
		},
	})
}

// bind attaches x to a connection. net/http silently sends some requests again
// when a reused connection breaks; if a byte had been written before, the
// second sending is refused, because the first may have been executed.
func (x *exchange) bind(c *conn) {
	x.mu.Lock()
	x.connected++
	refuse := x.writing || x.written > 0
	if refuse {
		x.sealed = true
	}
	x.mu.Unlock()
	c.begin(x)
	if refuse {
		x.abort()
	}
}

func (x *exchange) startWrite() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.sealed && x.written == 0 && x.owned != nil && !x.owned() {
		x.sealed = true
		// Without this, net/http would try its other connections as well.
		x.abort()
	}
	if x.sealed {
		return false
	}
	x.writing = true
	return true
}

func (x *exchange) endWrite(n int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.writing = false
	x.written += int64(n)
}

// take returns how many of the received bytes belong to the answer.
func (x *exchange) take(p []byte) (int, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.frame.take(p)
}

// expect tells how long the body is, negative for a body in chunks.
func (x *exchange) expect(length int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.frame.expect(length)
}

// tooLong reports whether bytes followed the answer's end.
func (x *exchange) tooLong() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.frame.long
}

// seal forbids further writes and returns what the upstream can have seen.
func (x *exchange) seal() (connected, sent bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sealed = true
	return x.connected > 0, x.writing || x.written > 0
}
