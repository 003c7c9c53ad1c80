package placing

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
)

// Limits of the connections between hosts and dispatchers.
const (
	// maxFrameBytes bounds the size of one frame.
	maxFrameBytes = 1 << 20
	// writeTimeout bounds one write, so that a peer that does not read loses its
	// connection.
	writeTimeout = 500 * time.Millisecond
	// maxQueuedMessages bounds the messages that wait to be written; a connection
	// with more is closed.
	maxQueuedMessages = 20_000
)

// frameConn sends and receives frames on one connection. Messages that are queued
// during a write are batched into the next frame.
type frameConn struct {
	conn net.Conn
	// pacesRequests is true if the dispatcher at the other end keeps the servers' rate
	// limits.
	pacesRequests atomic.Bool
	// pacesWarmups is true if it keeps the pace of cold servers.
	pacesWarmups atomic.Bool

	mu           sync.Mutex
	pending      *fleetpb.DispatchFrame
	pendingCount int
	wake         chan struct{}
	closed       bool
}

func newFrameConn(conn net.Conn) *frameConn {
	return &frameConn{conn: conn, pending: &fleetpb.DispatchFrame{}, wake: make(chan struct{}, 1)}
}

// enqueue adds a message to the next frame.
func (c *frameConn) enqueue(add func(*fleetpb.DispatchFrame)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	add(c.pending)
	if c.pendingCount++; c.pendingCount > maxQueuedMessages {
		c.closeLocked()
		return
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// writeFrames writes frames until the connection is closed.
func (c *frameConn) writeFrames() {
	defer c.close()
	out := bufio.NewWriterSize(c.conn, 4096)
	for range c.wake {
		c.mu.Lock()
		frame := c.pending
		c.pending, c.pendingCount = &fleetpb.DispatchFrame{}, 0
		closed := c.closed
		c.mu.Unlock()
		if closed {
			return
		}
		if c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
			return
		}
		if _, err := protodelim.MarshalTo(out, frame); err != nil {
			return
		}
		if out.Flush() != nil {
			return
		}
	}
}

// readFrames passes received frames to handle until the connection ends.
func (c *frameConn) readFrames(handle func(*fleetpb.DispatchFrame)) {
	defer c.close()
	in := bufio.NewReaderSize(c.conn, 4096)
	options := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	for {
		frame := &fleetpb.DispatchFrame{}
		if options.UnmarshalFrom(in, frame) != nil {
			return
		}
		handle(frame)
	}
}

func (c *frameConn) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

func (c *frameConn) closeLocked() {
	if c.closed {
		return
	}
	c.closed = true
	close(c.wake)
	// The connection is of no more use, so an error of Close does not matter.
	_ = c.conn.Close()
}

// toMicros returns d in microseconds, clamped to the range of uint32.
func toMicros(d time.Duration) uint32 {
	return uint32(min(max(d.Microseconds(), 0), 1<<32-1))
}

func fromMicros(v uint32) time.Duration { return time.Duration(v) * time.Microsecond }
