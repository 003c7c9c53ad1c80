package exchange

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"

	"github.com/cassiasill/cassiasill/internal/headers"
	"github.com/cassiasill/cassiasill/internal/network"
)

// Limits of connections to servers.
const (
	// DialTimeout bounds the opening of a connection. It allows for a round trip,
	// 1 ms at the server and a busy machine.
	DialTimeout = 300 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the server sends
	// no Keep-Alive timeout.
	defaultIdleTimeout = 4 * time.Second
	// keepAliveFraction is the fraction of the server's Keep-Alive timeout for
	// which an idle connection is kept. The rest covers the round trip after
	// which the next request reaches the server.
	keepAliveFraction = 0.85
	// maxFreshIdle bounds how long a connection may have been idle to carry a
	// request that must not be retried.
	maxFreshIdle = 5 * time.Second
	// unackedTimeout closes connections whose peer acknowledges no data; a machine
	// that lost power sends no reset.
	unackedTimeout = 3 * time.Second
	// MaxHeaderBytes bounds the status line and header of a response, and its
	// trailer: a faulty peer may send bytes without end.
	MaxHeaderBytes = 64 << 10
	// maxRefusalsPerConn is how many refused requests a connection remembers. It
	// is not reused after that many.
	maxRefusalsPerConn = 8
	// DefaultMaxBufferedBytes bounds the response body that is buffered before any of it
	// is sent to the caller, so that a truncated one can still be retried.
	DefaultMaxBufferedBytes = 768 << 10
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial opens a TCP connection that fails if the peer stops acknowledging data, and whose
// Read returns io.EOF only after a regular end: a body without a length ends so.
func Dial(ctx context.Context, protocol, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: DialTimeout, KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return setErr
	}}
	c, err := dialer.DialContext(ctx, protocol, address)
	if err != nil {
		return nil, err
	}
	return network.ReportResets(c), nil
}

// Limits of the clients that call other hosts and the store.
const (
	// clientMaxIdleConns bounds the idle connections to one address: some calls
	// wait long for updates, and others run at the same time.
	clientMaxIdleConns = 4
	clientIdleTimeout  = 30 * time.Second
)

// NewClient returns an HTTP client that calls other hosts and the store.
func NewClient(dial DialFunc) *http.Client {
	return &http.Client{Transport: headers.CheckResponses(&http.Transport{DialContext: dial, MaxIdleConnsPerHost: clientMaxIdleConns,
		IdleConnTimeout: clientIdleTimeout, DisableCompression: true, MaxResponseHeaderBytes: MaxHeaderBytes})}
}

// Pool is a connection pool to one server.
type Pool struct {
	address            string
	headers            *HeaderNames
	dial               DialFunc
	maxBufferedBytes   int64
	background         *conc.WaitGroup
	onConnectionOpened func() // called for each new connection
	budget             Budget // nil: none

	mu     sync.Mutex
	idle   []*conn // most recently used last
	closed bool
}

// NewPool returns a pool for the server at address. onConnectionOpened, if not
// nil, is called for each new connection. Goroutines that send large bodies run
// in background.
func NewPool(address string, headers *HeaderNames, dial DialFunc, background *conc.WaitGroup, onConnectionOpened func()) *Pool {
	if onConnectionOpened == nil {
		onConnectionOpened = func() {}
	}
	return &Pool{address: address, headers: headers, dial: dial, maxBufferedBytes: DefaultMaxBufferedBytes, background: background, onConnectionOpened: onConnectionOpened}
}

// acquire returns an idle connection that looks alive and may carry the request,
// or opens one.
func (p *Pool) acquire(ctx context.Context, r *Request) (*conn, error) {
	now := time.Now()
	for {
		c := p.popIdle()
		if c == nil {
			break
		}
		idleFor := now.Sub(c.idleSince)
		if idleFor > c.idleTimeout || !c.hasNoPendingInput() || c.hasRefused(r.ID) {
			c.discard()
			continue
		}
		if r.FreshConnOnly && idleFor > maxFreshIdle {
			p.returnUnused(c)
			break
		}
		return c, nil
	}
	raw, err := p.dial(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	p.onConnectionOpened()
	return newConn(raw, p, now), nil
}

// popIdle removes and returns the most recently used idle connection, or nil.
func (p *Pool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// returnUnused returns an unused connection to the pool as the least recently
// used one.
func (p *Pool) returnUnused(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append([]*conn{c}, p.idle...)
}

// release returns a connection to the pool after use.
func (p *Pool) release(c *conn) {
	c.idleSince = time.Now()
	p.putBack(c)
}

// putBack returns a connection on which nothing was written to the pool as the most
// recently used one. At the server it has been idle since before.
func (p *Pool) putBack(c *conn) {
	p.mu.Lock()
	if !p.closed {
		p.idle = append(p.idle, c)
		c = nil
	}
	p.mu.Unlock()
	if c != nil {
		c.discard()
	}
}

// CloseExpiredConns closes connections that have been idle for too long, and those by way of
// hosts that have ended them or are about to.
func (p *Pool) CloseExpiredConns(now time.Time) {
	p.mu.Lock()
	var expired []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) > c.idleTimeout || c.isRelayed() && !c.hasNoPendingInput() {
			expired = append(expired, c)
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range expired {
		c.discard()
	}
}

// CloseIdleConns closes the idle connections.
func (p *Pool) CloseIdleConns() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.discard()
	}
}

// Close closes the idle connections; those in use end with their exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdleConns()
}

// relayedConn is a connection to a server by way of another host.
type relayedConn interface {
	// Stopping reports whether the other host has said that it stops.
	Stopping() bool
}

// isRelayed reports whether the connection leads to the server by way of another host that
// says when it stops.
func (c *conn) isRelayed() bool {
	_, relayed := c.Conn.(relayedConn)
	return relayed
}

// isStopping reports whether the host by way of which the connection leads is stopping.
func (c *conn) isStopping() bool {
	relayed, ok := c.Conn.(relayedConn)
	return ok && relayed.Stopping()
}

// discard closes the connection. Its error is ignored, since the connection is not
// used any more.
func (c *conn) discard() { _ = c.Conn.Close() }

// hasNoPendingInput reports whether an idle connection has received neither bytes,
// which would belong to no request, nor its end.
func (c *conn) hasNoPendingInput() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if framed, ok := c.Conn.(interface{ Buffered() int }); ok && framed.Buffered() > 0 {
		return false
	}
	return !network.HasUnread(c.Conn)
}

// hasRefused reports whether the server refused an earlier attempt of this request
// on the connection. A late duplicate of that refusal would look like the response
// to the next attempt.
func (c *conn) hasRefused(id string) bool { return slices.Contains(c.refusedIDs, id) }

// recordRefusal records that the server refused a request on the connection.
func (c *conn) recordRefusal(id string) {
	c.refusedIDs = append(c.refusedIDs, id)
	if len(c.refusedIDs) >= maxRefusalsPerConn {
		c.reusable = false
	}
}
