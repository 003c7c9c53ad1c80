package detour

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

// frameKind is the first byte of a frame. Two bytes with the length of its content follow.
type frameKind uint8

const (
	frameData frameKind = 1 + iota // bytes of the server
	// frameEnd states that the server's connection has ended regularly.
	frameEnd
	// frameStopping states that the peer stops. It still copies what the host sends, but
	// ends before long, so the host should leave the connection after the current request.
	frameStopping
)

const (
	frameHeadBytes = 3
	maxFrameBytes  = frameHeadBytes + copyBufferBytes
)

// errInvalidFrame reports bytes of a peer that are no frame.
var errInvalidFrame = errors.New("invalid frame")

// frameWriter writes frames. Its methods may be called concurrently.
type frameWriter struct {
	host net.Conn

	mu     sync.Mutex
	buffer [maxFrameBytes]byte
	ended  bool
}

func newFrameWriter(host net.Conn) *frameWriter { return &frameWriter{host: host} }

// Write writes p as frames of server bytes.
func (w *frameWriter) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		n := min(len(p)-written, copyBufferBytes)
		if err := w.writeFrame(frameData, p[written:written+n]); err != nil {
			return written, err
		}
		written += n
	}
	return written, nil
}

func (w *frameWriter) markEnd() error { return w.writeFrame(frameEnd, nil) }

// announceStop tells the host that this process stops.
func (w *frameWriter) announceStop() error { return w.writeFrame(frameStopping, nil) }

// writeFrame writes one frame with one write to the connection. Nothing follows the end.
func (w *frameWriter) writeFrame(kind frameKind, content []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return nil
	}
	w.ended = kind == frameEnd
	w.buffer[0] = byte(kind)
	binary.BigEndian.PutUint16(w.buffer[1:], uint16(len(content)))
	_, err := w.host.Write(w.buffer[:frameHeadBytes+copy(w.buffer[frameHeadBytes:], content)])
	return err
}

// framedConn is a connection to a server by way of a peer that sends its bytes in frames.
type framedConn struct {
	net.Conn
	buffer *bufio.Reader
	left   int  // bytes of the current frame
	ended  bool // the server's connection has ended regularly
	// onStopping is called once, when the peer says that it stops.
	onStopping func()
	stopping   atomic.Bool
}

func newFramedConn(c net.Conn, onStopping func()) *framedConn {
	// The buffer holds a whole frame, so that a frame behind the last bytes of a response
	// is seen before the connection is used again.
	return &framedConn{Conn: c, buffer: bufio.NewReaderSize(c, maxFrameBytes), onStopping: onStopping}
}

// Read reads bytes of the server. It returns io.EOF only if the peer has stated that the
// server's connection ended regularly.
func (c *framedConn) Read(p []byte) (int, error) {
	for c.left == 0 && !c.ended {
		if err := c.readHead(); err != nil {
			return 0, err
		}
	}
	if c.ended {
		return 0, io.EOF
	}
	n, err := c.buffer.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, c.proven(err)
}

// readHead reads the head of the next frame.
func (c *framedConn) readHead() error {
	head, err := c.buffer.Peek(frameHeadBytes)
	if err != nil {
		return c.proven(err)
	}
	kind, length := frameKind(head[0]), int(binary.BigEndian.Uint16(head[1:]))
	if _, err := c.buffer.Discard(frameHeadBytes); err != nil {
		return err
	}
	switch {
	case kind == frameData && length <= copyBufferBytes:
		c.left = length
	case kind == frameEnd && length == 0:
		c.ended = true
	case kind == frameStopping && length == 0:
		if !c.stopping.Swap(true) {
			c.onStopping()
		}
	default:
		return fmt.Errorf("%w: kind %d, length %d", errInvalidFrame, kind, length)
	}
	return nil
}

// proven replaces the end of the connection to the peer, which proves nothing.
func (c *framedConn) proven(err error) error {
	if errors.Is(err, io.EOF) {
		return unprovenEnd(c.Conn)
	}
	return err
}

// Stopping reports whether the peer has said that it stops.
func (c *framedConn) Stopping() bool { return c.stopping.Load() }

// Buffered returns the number of bytes that have been received and not read, frame heads
// included.
func (c *framedConn) Buffered() int { return c.buffer.Buffered() }

// SyscallConn returns the connection to the peer.
func (c *framedConn) SyscallConn() (syscall.RawConn, error) { return syscallConn(c.Conn) }
