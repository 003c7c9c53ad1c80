package network

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// ReportResets returns a TCP connection whose Read returns io.EOF only after a regular end
// of the peer's bytes. Of c itself, a Read returns io.EOF also after a reset or a timeout of
// which the kernel has told a Write: it tells each error once, to whoever calls next. A
// connection that is not of the operating system is returned unchanged.
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

	writing sync.Mutex // held during a Write
	broken  error      // the first error that the kernel has told a Write
}

// Write writes p.
func (c *resetConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.tcp.Write(p)
	// EPIPE is no error of the connection's own: a Read was told of that one, or the peer had
	// ended its bytes regularly before it reset the connection.
	var errno syscall.Errno
	if c.broken == nil && errors.As(err, &errno) && errno != syscall.EPIPE {
		c.broken = err
	}
	return n, err
}

// Read reads the next bytes of the peer.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.tcp.Read(p)
	if errors.Is(err, io.EOF) {
		if broken := c.writeError(); broken != nil {
			err = broken
		}
	}
	return n, err
}

// writeError returns the error of the connection that a Write was told before the end of
// the peer's bytes was read, or nil.
func (c *resetConn) writeError() error {
	if !c.writing.TryLock() {
		if c.isOpen() {
			return nil // the Write may wait for long, and is told of no error
		}
		c.writing.Lock() // the Write returns soon
	}
	defer c.writing.Unlock()
	return c.broken
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
