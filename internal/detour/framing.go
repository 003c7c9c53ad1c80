package detour

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"syscall"
)

// A response without a length ends with its connection. If the process of a peer
// ends, for whatever reason, the kernel closes its connections just as regularly as
// a server does. So the peer frames the server's bytes, and only the last frame states
// that the server's connection has ended regularly. Hosts of older builds use HTTP
// chunks, or no framing at all.

// unprovenEndError reports that the connection to a peer has ended without the last
// frame. It is not io.EOF, which would look like the end of a body.
type unprovenEndError struct{ peer string }

// Error names the peer.
func (e *unprovenEndError) Error() string {
	return fmt.Sprintf("the connection by way of host %s ended, which does not prove that the server's connection did", e.peer)
}

// hostWriter writes a server's bytes to the host that asked for the connection.
type hostWriter interface {
	io.Writer
	// markEnd states that the server's connection has ended regularly.
	markEnd() error
}

// newHostWriter returns the writer for a framing: one of the names of framings, or empty.
func newHostWriter(host net.Conn, framing string) hostWriter {
	switch framing {
	case framesFraming:
		return newFrameWriter(host)
	case chunkedFraming:
		buffer := bufio.NewWriterSize(host, maxChunkBytes)
		return &chunkWriter{buffer: buffer, chunks: httputil.NewChunkedWriter(buffer)}
	default:
		setLinger(host, 0)
		return plainWriter{host}
	}
}

// chunkWriter writes chunks.
type chunkWriter struct {
	buffer *bufio.Writer
	chunks io.WriteCloser
}

// Write writes p as one chunk, with one write to the connection.
func (w *chunkWriter) Write(p []byte) (int, error) {
	n, err := w.chunks.Write(p)
	if err != nil {
		return n, err
	}
	return n, w.buffer.Flush()
}

func (w *chunkWriter) markEnd() error {
	if err := w.chunks.Close(); err != nil {
		return err
	}
	if _, err := w.buffer.WriteString("\r\n"); err != nil {
		return err
	}
	return w.buffer.Flush()
}

// plainWriter writes to a host of an older build, which takes the regular end of the
// connection for that of the server's. Until the server's end is known, the kernel is
// told to reset the connection when it is closed, also at the end of this process.
type plainWriter struct{ net.Conn }

func (w plainWriter) markEnd() error {
	setLinger(w.Conn, -1)
	return nil
}

// maxChunkBytes is the size of the largest chunk with its header and its end.
const maxChunkBytes = copyBufferBytes + 16

// chunkedConn is a connection to a server by way of a peer that sends its bytes in chunks.
type chunkedConn struct {
	net.Conn
	buffer *bufio.Reader
	chunks io.Reader
}

func newChunkedConn(c net.Conn) *chunkedConn {
	// The buffer holds a whole chunk, so that the end of a chunk is read with its
	// bytes and a connection between two requests has nothing left to read.
	buffer := bufio.NewReaderSize(c, maxChunkBytes)
	return &chunkedConn{Conn: c, buffer: buffer, chunks: httputil.NewChunkedReader(buffer)}
}

// Read reads bytes of the server. It returns io.EOF only if the peer has stated that
// the server's connection ended regularly.
func (c *chunkedConn) Read(p []byte) (int, error) {
	n, err := c.chunks.Read(p)
	if errors.Is(err, io.ErrUnexpectedEOF) {
		err = unprovenEnd(c.Conn)
	}
	return n, err
}

// Buffered returns the number of bytes that have been received and not read.
func (c *chunkedConn) Buffered() int { return c.buffer.Buffered() }

// SyscallConn returns the connection to the peer.
func (c *chunkedConn) SyscallConn() (syscall.RawConn, error) { return syscallConn(c.Conn) }

// unframedConn is a connection to a server by way of a peer of an older build, which
// can't state how the server's connection ended.
type unframedConn struct{ net.Conn }

// Read reads bytes of the server. It never returns io.EOF.
func (c *unframedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = unprovenEnd(c.Conn)
	}
	return n, err
}

// SyscallConn returns the connection to the peer.
func (c *unframedConn) SyscallConn() (syscall.RawConn, error) { return syscallConn(c.Conn) }

func unprovenEnd(peer net.Conn) error {
	return &unprovenEndError{peer: peer.RemoteAddr().String()}
}

func syscallConn(c net.Conn) (syscall.RawConn, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}
