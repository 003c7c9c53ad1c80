package connlimit

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// descriptorPause is the time between two attempts to accept a connection while the process
// has no descriptors left.
const descriptorPause = 50 * time.Millisecond

// Counted returns a listener that refuses connections while maxConns are open; 0 sets no
// bound. It is for servers other than http.Server. Unlike the listener that it wraps, it
// bears a lack of descriptors.
func Counted(listener net.Listener, maxConns int, onRefuse func()) net.Listener {
	return &counted{Listener: listener, max: int64(maxConns), onRefuse: onRefuse}
}

type counted struct {
	net.Listener
	max      int64
	onRefuse func()
	open     atomic.Int64
}

// Accept returns the next connection that the bound allows.
func (l *counted) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		switch {
		case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE):
			time.Sleep(descriptorPause)
		case err != nil:
			return nil, err
		case l.max > 0 && l.open.Load() >= l.max:
			_ = c.Close() // refused
			l.onRefuse()
		default:
			l.open.Add(1)
			return &countedConn{Conn: c, listener: l}, nil
		}
	}
}

// countedConn gives back its place when it is closed first.
type countedConn struct {
	net.Conn
	listener *counted
	once     sync.Once
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
