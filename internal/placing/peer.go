package placing

import (
	"bufio"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
)

// Settings of the connections between hosts and dispatchers.
const (
	// maxFrameBytes bounds one frame.
	maxFrameBytes = 1 << 20
	// writeLimit ends a connection whose peer does not read.
	writeLimit = 500 * time.Millisecond
	// maxQueued bounds what waits to be written.
	maxQueued = 20_000
)

// link writes frames to one connection. What is queued while a write is under
// way goes out together with the next.
type link struct {
	conn net.Conn

	mu     sync.Mutex
	next   *fleetpb.DispatchFrame
	size   int
	wake   chan struct{}
	closed bool
}

func newLink(conn net.Conn) *link {
	return &link{conn: conn, next: &fleetpb.DispatchFrame{}, wake: make(chan struct{}, 1)}
}

// queue adds to the next frame.
func (l *link) queue(add func(*fleetpb.DispatchFrame)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	add(l.next)
	if l.size++; l.size > maxQueued {
		l.closeLocked()
		return
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// writeAll writes frames until the link is closed.
func (l *link) writeAll() {
	defer l.close()
	out := bufio.NewWriterSize(l.conn, 4096)
	for range l.wake {
		l.mu.Lock()
		frame := l.next
		l.next, l.size = &fleetpb.DispatchFrame{}, 0
		closed := l.closed
		l.mu.Unlock()
		if closed {
			return
		}
		if l.conn.SetWriteDeadline(time.Now().Add(writeLimit)) != nil {
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

// readAll passes on frames until the connection ends.
func (l *link) readAll(handle func(*fleetpb.DispatchFrame)) {
	defer l.close()
	in := bufio.NewReaderSize(l.conn, 4096)
	options := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	for {
		frame := &fleetpb.DispatchFrame{}
		if options.UnmarshalFrom(in, frame) != nil {
			return
		}
		handle(frame)
	}
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeLocked()
}

func (l *link) closeLocked() {
	if l.closed {
		return
	}
	l.closed = true
	close(l.wake)
	// The peer sees the end; an error has no further meaning here.
	_ = l.conn.Close()
}

func micros(d time.Duration) uint32 {
	return uint32(min(max(d.Microseconds(), 0), 1<<32-1))
}

func fromMicros(v uint32) time.Duration { return time.Duration(v) * time.Microsecond }
