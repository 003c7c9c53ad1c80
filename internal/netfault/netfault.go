// Package netfault wraps the network of one in-process host or server stand-in so
// that it can be paused, partitioned, killed or given latency. Reads and writes of
// a paused host block and continue afterwards, as those of a stopped process do.
// Those of a partitioned host block too, but its timers and deadlines fire.
package netfault

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/cassiasill/cassiasill/internal/network"
)

// sendBufferBytes is how many bytes a connection buffers before writes block.
const sendBufferBytes = 64 << 10

// errKilled is returned by operations on a killed network.
var errKilled = errors.New("netfault: the network was killed")

// Network is the network of one process.
type Network struct {
	base  network.Network
	group conc.WaitGroup // goroutines that flush send buffers
	// latency returns the one-way latency to a remote address; nil means none.
	latency func(remote string) time.Duration

	mu        sync.Mutex
	unblocked chan struct{} // closed while traffic is not blocked
	blocked   bool
	killed    bool
	conns     map[*conn]struct{}
	listeners map[net.Listener]struct{}
}

// NewNetwork returns an unblocked network over that of the operating system.
func NewNetwork(latency func(remote string) time.Duration) *Network {
	return NewNetworkOver(network.OS{}, latency)
}

// NewNetworkOver returns an unblocked network over base.
func NewNetworkOver(base network.Network, latency func(remote string) time.Duration) *Network {
	open := make(chan struct{})
	close(open)
	return &Network{base: base, latency: latency, unblocked: open, conns: make(map[*conn]struct{}), listeners: make(map[net.Listener]struct{})}
}

// Block holds back all traffic until Unblock.
func (n *Network) Block() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.blocked {
		n.blocked = true
		n.unblocked = make(chan struct{})
	}
}

// Unblock lets traffic pass again, including the traffic that was held back.
func (n *Network) Unblock() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.blocked {
		n.blocked = false
		close(n.unblocked)
	}
}

// Kill closes all connections and listeners at once, as the death of a process
// does.
func (n *Network) Kill() {
	n.mu.Lock()
	n.killed = true
	conns, listens := n.conns, n.listeners
	n.conns, n.listeners = make(map[*conn]struct{}), make(map[net.Listener]struct{})
	n.mu.Unlock()
	for l := range listens {
		_ = l.Close()
	}
	for c := range conns {
		// With a linger time of zero the peer sees a reset, as after a crash.
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.abort()
	}
	n.Unblock()
	n.group.Wait()
}

// Listen listens on a TCP address.
func (n *Network) Listen(ctx context.Context, address string) (net.Listener, error) {
	l, err := n.base.Listen(ctx, address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.killed {
		_ = l.Close()
		return nil, errKilled
	}
	n.listeners[l] = struct{}{}
	return &listener{Listener: l, network: n}, nil
}

// Dial connects to a TCP address.
func (n *Network) Dial(ctx context.Context, protocol, address string) (net.Conn, error) {
	if err := n.wait(ctx); err != nil {
		return nil, err
	}
	c, err := n.base.Dial(ctx, protocol, address)
	if err != nil {
		return nil, err
	}
	return n.wrap(c)
}

func (n *Network) wrap(c net.Conn) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.killed {
		_ = c.Close()
		return nil, errKilled
	}
	wrapped := &conn{Conn: c, network: n, closed: make(chan struct{}), spaceFreed: make(chan struct{})}
	if n.latency != nil {
		wrapped.latency = n.latency(c.RemoteAddr().String())
	}
	n.conns[wrapped] = struct{}{}
	return wrapped, nil
}

// wait returns nil when traffic may pass, or the context's error if ctx is done
// first.
func (n *Network) wait(ctx context.Context) error {
	n.mu.Lock()
	open, killed := n.unblocked, n.killed
	n.mu.Unlock()
	if killed {
		return errKilled
	}
	select {
	case <-open:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

type listener struct {
	net.Listener
	network *Network
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.network.wrap(c)
}

// conn holds back reads and writes while its network is blocked.
type conn struct {
	net.Conn
	network *Network
	latency time.Duration

	closeOnce sync.Once
	closed    chan struct{}

	mu                          sync.Mutex
	readDeadline, writeDeadline time.Time
	queue                       []segment
	queuedBytes                 int
	flushing, closing           bool
	writeErr                    error
	spaceFreed                  chan struct{} // closed when the queue has shrunk
}

// segment is data in the send buffer that is sent when it is due.
type segment struct {
	data []byte
	due  time.Time
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if waitErr := c.awaitUnblocked(c.deadline(false)); waitErr != nil && n == 0 {
		return 0, waitErr
	}
	return n, err
}

// Write appends p to the send buffer and blocks only while the buffer is full, as
// a socket does. It does not sleep for the latency because sleeping with a lock
// held would stop the virtual clock.
func (c *conn) Write(p []byte) (int, error) {
	var expired <-chan time.Time
	if deadline := c.deadline(true); !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		expired = timer.C
	}
	for {
		c.mu.Lock()
		if c.writeErr != nil || c.closing {
			defer c.mu.Unlock()
			return 0, cmp.Or(c.writeErr, net.ErrClosed)
		}
		if c.queuedBytes < sendBufferBytes {
			break
		}
		space := c.spaceFreed
		c.mu.Unlock()
		select {
		case <-space:
		case <-c.closed:
			return 0, net.ErrClosed
		case <-expired:
			return 0, os.ErrDeadlineExceeded
		}
	}
	defer c.mu.Unlock()
	c.queue = append(c.queue, segment{bytes.Clone(p), time.Now().Add(c.latency)})
	c.queuedBytes += len(p)
	if !c.flushing {
		c.flushing = true
		c.network.group.Go(c.flush)
	}
	return len(p), nil
}

// flush sends the segments of the send buffer, each when it is due and traffic may
// pass.
func (c *conn) flush() {
	for {
		c.mu.Lock()
		if len(c.queue) == 0 || c.writeErr != nil {
			c.flushing = false
			closing := c.closing
			c.mu.Unlock()
			if closing {
				c.abort()
			}
			return
		}
		next := c.queue[0]
		c.queue = c.queue[1:]
		c.mu.Unlock()
		err := c.send(next)
		c.mu.Lock()
		c.writeErr = cmp.Or(c.writeErr, err)
		c.queuedBytes -= len(next.data)
		close(c.spaceFreed)
		c.spaceFreed = make(chan struct{})
		c.mu.Unlock()
	}
}

func (c *conn) send(s segment) error {
	if wait := time.Until(s.due); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-c.closed:
			return net.ErrClosed
		}
	}
	if err := c.awaitUnblocked(time.Time{}); err != nil {
		return err
	}
	_, err := c.Conn.Write(s.data)
	return err
}

// awaitUnblocked waits until traffic may pass, the deadline expires or the
// connection is closed.
func (c *conn) awaitUnblocked(deadline time.Time) error {
	c.network.mu.Lock()
	open := c.network.unblocked
	c.network.mu.Unlock()
	select {
	case <-open:
		return nil
	default:
	}
	var expired <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-open:
		return nil
	case <-c.closed:
		return net.ErrClosed
	case <-expired:
		return os.ErrDeadlineExceeded
	}
}

func (c *conn) deadline(write bool) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if write {
		return c.writeDeadline
	}
	return c.readDeadline
}

func (c *conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline, c.writeDeadline = t, t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return nil
}

// Close closes the connection after the written data has been sent, as a socket
// does.
func (c *conn) Close() error {
	c.mu.Lock()
	c.closing = true
	flushing := c.flushing
	c.mu.Unlock()
	if flushing {
		// Reads end now; the buffered data is still sent to the peer.
		return c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
	return c.abort()
}

// abort closes the connection at once.
func (c *conn) abort() error {
	c.mu.Lock()
	// Kill waits for the goroutines that flush send buffers, so none may start.
	c.writeErr = cmp.Or(c.writeErr, net.ErrClosed)
	c.mu.Unlock()
	c.closeOnce.Do(func() { close(c.closed) })
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}
