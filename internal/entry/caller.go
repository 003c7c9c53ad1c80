package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cassiasill/cassiasill/internal/network"
)

// callerCheckInterval is how often the connection of a caller is examined while its
// request is in progress. The HTTP server notices most ends by itself and at once,
// but it does not watch a connection on which more bytes have arrived, nor one whose
// request body is not read to its end.
const callerCheckInterval = 250 * time.Millisecond

// caller is the client that waits for the response to one request.
type caller struct {
	ctx    context.Context // ends when the caller leaves
	cancel context.CancelFunc
	conn   syscall.RawConn // nil if the connection can't be examined
	since  time.Time
	seenAt atomic.Int64 // last time when it was known to be there, in ns after since

	mu    sync.Mutex
	timer *time.Timer // nil unless checks are scheduled
	// response is watched while it is written.
	response responseProgress
}

// newCaller returns the caller of the request with the given context. Its cancel
// function must be called when the request has ended.
func newCaller(ctx context.Context, now time.Time) *caller {
	c := &caller{since: now, conn: network.CallerConn(ctx)}
	c.ctx, c.cancel = context.WithCancel(ctx)
	return c
}

// hasLeft examines the connection and reports whether the caller has closed it; if so,
// it ends the caller's context. The end of a connection shows even if unread bytes
// precede it. A caller that closes only its sending direction counts as one that has
// left, as for the HTTP server.
func (c *caller) hasLeft() bool {
	if c.ctx.Err() != nil {
		return true
	}
	if c.conn != nil && isConnClosed(c.conn) {
		c.cancel()
		return true
	}
	c.seenAt.Store(int64(time.Since(c.since)))
	return false
}

// isConnClosed reports whether the peer has closed or reset a connection.
func isConnClosed(conn syscall.RawConn) bool {
	closed := false
	err := conn.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		closed = err == nil && n > 0 && fds[0].Revents != 0
	})
	return err != nil || closed
}

// startChecks examines the connection each callerCheckInterval until the returned
// function is called.
func (c *caller) startChecks() (stop func()) {
	if c.conn == nil {
		return func() {}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timer = time.AfterFunc(callerCheckInterval, c.check)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.timer.Stop()
		c.timer = nil
	}
}

// check examines the connection and schedules the next check.
func (c *caller) check() {
	left := c.hasLeft()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkResponse(time.Now())
	if !left && c.timer != nil {
		c.timer.Reset(callerCheckInterval)
	}
}

// lastSeen returns when the caller was last known to be there.
func (c *caller) lastSeen() time.Time { return c.since.Add(time.Duration(c.seenAt.Load())) }
