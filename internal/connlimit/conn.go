package connlimit

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cassiasill/cassiasill/internal/network"
)

// conn is one open connection. The HTTP server alone reads from it, so only the reader can
// tell whether a request has arrived: a connection that waits for one is not closed under the
// reader but ended by way of its read deadline, which takes no bytes from the socket.
type conn struct {
	net.Conn
	limiter *Limiter

	// Guarded by the limiter's mutex.

	idleSince  time.Time
	idle       bool
	prev, next *conn

	// written is true if bytes were written, peerEnded if the caller has ended the connection or
	// it has failed, and resets if its close is to be a reset.
	written, peerEnded, resets atomic.Bool

	// ending is true from endIdle until the connection is closed or bytes of a request arrive.
	ending atomic.Bool

	mu           sync.Mutex
	readDeadline time.Time     // as the HTTP server has set it
	settled      chan struct{} // closed when ending turns false
	closed       bool
}

// endIdle asks the reader to end the connection unless bytes of a request have arrived. It
// reports whether it has. The limiter's mutex is held.
func (c *conn) endIdle() bool {
	if network.HasUnread(c.Conn) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.settled = make(chan struct{})
	c.ending.Store(true)
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
	return true
}

// keep withdraws endIdle and reports whether there was one.
func (c *conn) keep() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ending.Load() {
		return false
	}
	c.settle()
	_ = c.Conn.SetReadDeadline(c.readDeadline) // fails only on a closed connection
	return true
}

// hasEnded waits for the outcome of endIdle, which comes when the reader runs next, and
// reports whether the connection is closed.
func (c *conn) hasEnded() bool {
	<-c.settled
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// settle records the outcome of endIdle. c.mu is held.
func (c *conn) settle() {
	if c.ending.Swap(false) {
		close(c.settled)
	}
}

// Read reads the next bytes of the caller. Of a connection that is being ended it returns an
// error only if none have arrived.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.peerEnded.Store(true)
		}
		if !c.ending.Load() || n == 0 && !network.HasUnread(c.Conn) {
			return n, err
		}
		if c.keep() {
			c.limiter.waitAgain(c)
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
	}
}

// SetReadDeadline is that of net.Conn. A connection that is being ended keeps the deadline
// that ends it.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.ending.Load() {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline is that of net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.Conn.SetWriteDeadline(t))
}

// Write writes bytes to the caller.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.written.Store(true)
	}
	if err != nil {
		c.peerEnded.Store(true)
	}
	return n, err
}

// Close closes the connection. If the caller may not have received all of a response, that
// takes place in the background.
func (c *conn) Close() error {
	lingers := c.limiter.remove(c)
	c.mu.Lock()
	c.closed = true
	c.settle()
	c.mu.Unlock()
	if lingers {
		return nil
	}
	return c.Conn.Close()
}

// mayOweBytes reports whether the caller may not have received all that was written. If the
// last response has just been written, its bytes have hardly arrived.
func (c *conn) mayOweBytes(state connState) bool {
	if !c.written.Load() || c.peerEnded.Load() || c.resets.Load() {
		return false
	}
	return state == serves || network.HasUnsent(c.Conn)
}

// SyscallConn returns the operating system's connection. It fails if there is none.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// SetLinger is that of net.TCPConn; it does nothing if the connection is none.
func (c *conn) SetLinger(seconds int) error {
	c.resets.Store(seconds >= 0)
	return network.SetLinger(c.Conn, seconds)
}

// CloseWrite is that of net.TCPConn; it does nothing if the connection is none.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// unwrap returns the conn below the connection of an HTTP server, or nil if the limiter's
// listener has not accepted it.
func unwrap(c net.Conn) *conn {
	for {
		switch v := c.(type) {
		case *conn:
			return v
		case interface{ NetConn() net.Conn }:
			c = v.NetConn()
		default:
			return nil
		}
	}
}
