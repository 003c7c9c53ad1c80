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

// upstream is one server with its own connection pool.
type upstream struct {
	server    topology.Server
	transport *http.Transport
	dial      DialFunc

	mu    sync.Mutex
	conns map[*conn]struct{}
	// brokenConns counts the connections that were open at brokenAt and that the
	// server broke within crashWindow of it.
	brokenConns int
	brokenAt    time.Time

	probeMu      sync.Mutex // held while crashed probes the server
	probedAt     time.Time
	probeCrashed bool
}

// dialError is a failure to connect, which proves that nothing was sent.
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
			return u.trackConn(c), nil
		},
		// The bytes of the response must reach the caller unchanged.
		DisableCompression:     true,
		MaxIdleConnsPerHost:    limits.MaxConnsPerUpstream,
		MaxConnsPerHost:        limits.MaxConnsPerUpstream,
		IdleConnTimeout:        limits.IdleTimeout,
		MaxResponseHeaderBytes: limits.MaxResponseHeaderBytes,
	}
	return u
}

func (u *upstream) trackConn(c net.Conn) *conn {
	t := &conn{Conn: c, upstream: u, opened: time.Now()}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conns[t] = struct{}{}
	return t
}

// removeConn removes a closed connection; remote is set if the server broke it.
func (u *upstream) removeConn(c *conn, remote bool) {
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
		u.brokenConns, u.brokenAt = 1, now
	case c.opened.Before(u.brokenAt):
		u.brokenConns++
	}
}

// conn is a connection that reports each read and write to the exchange that
// currently uses it.
type conn struct {
	net.Conn
	upstream *upstream
	opened   time.Time

	pending []byte // received but not yet passed on

	mu             sync.Mutex
	activeExchange *exchange
}

func (c *conn) setExchange(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeExchange = x
}

func (c *conn) currentExchange() *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.activeExchange
}

var errAttemptEnded = errors.New("the attempt has already ended")

// Write fails for an attempt that was sealed, so that no byte is sent after the
// attempt was classified.
func (c *conn) Write(p []byte) (int, error) {
	x := c.currentExchange()
	if x != nil && !x.startWrite() {
		return 0, errAttemptEnded
	}
	n, err := c.Conn.Write(p)
	if x != nil {
		x.endWrite(n)
	}
	return n, err
}

// Read returns only bytes of the current response. net/http never calls it
// concurrently.
func (c *conn) Read(p []byte) (int, error) {
	var n int
	var err error
	if len(c.pending) > 0 {
		n = copy(p, c.pending)
		c.pending = c.pending[n:]
	} else if n, err = c.Conn.Read(p); err != nil {
		c.upstream.removeConn(c, !errors.Is(err, net.ErrClosed))
	}
	if n == 0 {
		return 0, err
	}
	x := c.currentExchange()
	if x == nil {
		return 0, errTooLong // bytes arrived before any request was sent
	}
	k, frameErr := x.accept(p[:n])
	if frameErr != nil {
		return 0, frameErr
	}
	if k < n {
		// The bytes after the header are held back until its framing is known.
		c.pending = append(bytes.Clone(p[k:n]), c.pending...)
		return k, nil
	}
	return n, err
}

func (c *conn) Close() error {
	c.upstream.removeConn(c, false)
	return c.Conn.Close()
}

// exchange records what one attempt has sent and received, so that a failure can
// be classified by how much the upstream can have received.
type exchange struct {
	abort context.CancelFunc
	// stillOwned reports whether this server still owns the key; nil if the service
	// is not divided by key. It is called right before the first byte is
	// written because the key can move while a connection is opened.
	stillOwned func() bool

	mu           sync.Mutex
	connCount    int  // number of connections obtained
	sealed       bool // no more bytes may be written
	writing      bool // a write is in progress
	writtenBytes int64
	framer       responseFramer
}

// trace returns ctx with hooks that bind the connection to x and restart the
// framer after an informational response.
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
			x.framer = responseFramer{}
			return nil
		},
	})
}

// bind attaches x to a connection. net/http silently resends some requests when
// a reused connection breaks. If a byte was already written, bind aborts the
// resend because the first request may have been executed.
func (x *exchange) bind(c *conn) {
	x.mu.Lock()
	x.connCount++
	refuse := x.writing || x.writtenBytes > 0
	if refuse {
		x.sealed = true
	}
	x.mu.Unlock()
	c.setExchange(x)
	if refuse {
		x.abort()
	}
}

func (x *exchange) startWrite() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.sealed && x.writtenBytes == 0 && x.stillOwned != nil && !x.stillOwned() {
		x.sealed = true
		// Otherwise net/http would retry on its other connections.
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
	x.writtenBytes += int64(n)
}

// accept returns how many of the received bytes belong to the response.
func (x *exchange) accept(p []byte) (int, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.framer.accept(p)
}

// setBodyLength sets the length of the body, negative for a chunked body.
func (x *exchange) setBodyLength(length int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.framer.setBodyLength(length)
}

// tooLong reports whether bytes followed the end of the response.
func (x *exchange) tooLong() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.framer.tooLong
}

// checkHeader returns an error if the response's header has an invalid field.
func (x *exchange) checkHeader(header http.Header) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.framer.scanner.Check(header)
}

// seal forbids further writes and reports whether a connection was obtained and
// whether the upstream can have received any byte.
func (x *exchange) seal() (connected, sent bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sealed = true
	return x.connCount > 0, x.writing || x.writtenBytes > 0
}
