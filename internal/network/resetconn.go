package network

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// ReportResets returns a TCP connection whose Read returns io.EOF only after a regular end
// of the peer's bytes. Of c itself, a Read returns io.EOF also after a reset or a timeout of
// which the kernel has told a Write or a former Read: it tells each error once, to whoever
// calls next. A connection that is not of the operating system is returned unchanged.
func ReportResets(c net.Conn) net.Conn {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c
	}
	return &resetConn{Conn: tcp, tcp: tcp}
}

// resetConn is the connection of ReportResets.
type resetConn struct {
	net.Conn // hides the methods of tcp that bypass Read and Write
	tcp      *net.TCPConn

	writing sync.Mutex            // held during a Write
	broken  atomic.Pointer[error] // the first error that the kernel has told, nil if none
}

// Write writes p.
func (c *resetConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.tcp.Write(p)
	c.record(err)
	return n, err
}

// Read reads the next bytes of the peer.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.tcp.Read(p)
	c.record(err)
	if errors.Is(err, io.EOF) {
		c.awaitWriteError()
		if broken := c.broken.Load(); broken != nil {
			err = *broken
		}
	}
	return n, err
}

// record keeps the first error that the kernel has told. EPIPE is none of the connection's
// own: somebody was told of that one, or the peer had ended its bytes regularly before it
// reset the connection.
func (c *resetConn) record(err error) {
	if err == nil {
		return // before anything is allocated
	}
	told := err
	var errno syscall.Errno
	if errors.As(err, &errno) && errno != syscall.EPIPE {
		c.broken.CompareAndSwap(nil, &told)
	}
}

// awaitWriteError waits until a Write in progress has recorded what it was told. It does
// not wait if the connection is open: the Write may take long, and is told of no error.
func (c *resetConn) awaitWriteError() {
	if !c.writing.TryLock() {
		if c.isOpen() {
			return
		}
		c.writing.Lock()
	}
	c.writing.Unlock()
}

// isOpen reports whether the connection is known to be neither reset nor timed out.
func (c *resetConn) isOpen() bool {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return false
	}
	info, err := tcpInfo(raw)
	return err == nil && info.State != unix.BPF_TCP_CLOSE
}

// SetLinger is that of net.TCPConn.
func (c *resetConn) SetLinger(seconds int) error { return c.tcp.SetLinger(seconds) }

// SyscallConn is that of net.TCPConn.
func (c *resetConn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }
