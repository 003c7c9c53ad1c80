package exchange

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"
)

// Settings of connections to servers.
const (
	// DialTimeout bounds the opening of a connection: a round trip and the
	// server's 1 ms, with room for a busy machine.
	DialTimeout = 300 * time.Millisecond
	// defaultIdle is how long a connection is kept whose server does not tell.
	defaultIdle = 4 * time.Second
	// keptShare is the part of the idle time told by the server for which a
	// connection is kept; its last use and the next are a round trip apart.
	keptShare = 0.85
	// freshIdle is how long a connection may have been idle that carries a
	// request that must not be repeated.
	freshIdle = 5 * time.Second
	// unackedLimit ends connections whose peer acknowledges nothing; a machine
	// without power sends no reset.
	unackedLimit = 3 * time.Second
	// MaxHeadBytes bounds the head of an answer, and its trailer: a peer in
	// trouble may send bytes without end.
	MaxHeadBytes = 64 << 10
	// maxRefused is how many refused requests a connection remembers; it is not
	// used again after that many.
	maxRefused = 8
	// DefaultMaxHeld is the largest answer that is read whole before it is
	// passed on, so that one that ends early can still be replaced.
	DefaultMaxHeld = 768 << 10
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial opens a TCP connection that notices a silent peer.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: DialTimeout, KeepAlive: -1, Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}}
	return dialer.DialContext(ctx, network, address)
}

// Settings of the clients for calls to other hosts and to the store.
const (
	// clientIdleConns is what is kept open to one address: the calls that wait
	// for news and those beside them.
	clientIdleConns = 4
	clientIdle      = 30 * time.Second
)

// NewClient returns a client for calls to other hosts and to the store.
func NewClient(dial DialFunc) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: clientIdleConns,
		IdleConnTimeout: clientIdle, DisableCompression: true, MaxResponseHeaderBytes: MaxHeadBytes}}
}

// Pool keeps the connections to one server.
type Pool struct {
	address    string
	headers    *Headers
	dial       DialFunc
	maxHeld    int64
	background *conc.WaitGroup
	opened     func() // counts a new connection

	mu     sync.Mutex
	idle   []*conn // most recently used last
	closed bool
}

// NewPool returns a pool for the server at address. Opened, if not nil, is
// called for each new connection. Background runs the sending of large bodies.
func NewPool(address string, headers *Headers, dial DialFunc, background *conc.WaitGroup, opened func()) *Pool {
	if opened == nil {
		opened = func() {}
	}
	return &Pool{address: address, headers: headers, dial: dial, maxHeld: DefaultMaxHeld, background: background, opened: opened}
}

// get returns an idle connection that looks alive and may carry the request, or
// opens one.
func (p *Pool) get(ctx context.Context, r *Request) (*conn, error) {
	now := time.Now()
	for {
		c := p.pop()
		if c == nil {
			break
		}
		idle := now.Sub(c.idleSince)
		if idle > c.idleLimit || !c.quiet() || c.refusedBefore(r.ID) {
			c.discard()
			continue
		}
		if r.FreshOnly && idle > freshIdle {
			p.unshift(c)
			break
		}
		return c, nil
	}
	raw, err := p.dial(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	p.opened()
	bounded := &boundedReader{reader: raw}
	return &conn{Conn: raw, pool: p, bounded: bounded, reader: bufio.NewReaderSize(bounded, 4096), idleLimit: defaultIdle}, nil
}

func (p *Pool) pop() *conn {
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

// unshift returns a connection that was not used, as the least recently used.
func (p *Pool) unshift(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append([]*conn{c}, p.idle...)
}

func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
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

// Sweep closes connections that have been idle for too long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	var old []*conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) > c.idleLimit {
			old = append(old, c)
			continue
		}
		kept = append(kept, c)
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range old {
		c.discard()
	}
}

// Close closes the idle connections; those in use end with their exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		c.discard()
	}
}

// discard closes the connection. What the peer does with it has no meaning any
// more, so an error is not reported.
func (c *conn) discard() { _ = c.Conn.Close() }

// quiet reports whether nothing has arrived on an idle connection: bytes that
// belong to no request, or its end.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// refusedBefore reports whether the connection may still bring a second copy of
// the refusal of an earlier try of this request.
func (c *conn) refusedBefore(id string) bool { return slices.Contains(c.refused, id) }

// noteRefused remembers that a request was refused on the connection.
func (c *conn) noteRefused(id string) {
	c.refused = append(c.refused, id)
	if len(c.refused) >= maxRefused {
		c.reusable = false
	}
}
