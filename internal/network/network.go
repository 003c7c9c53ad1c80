// Package network defines the interface through which a host listens and dials, so
// that tests and the dev command can substitute another network.
package network

import (
	"context"
	"errors"
	"net"

	"golang.org/x/sys/unix"
)

// Network opens TCP listeners and connections.
type Network interface {
	Listen(ctx context.Context, address string) (net.Listener, error)
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

// OS is the network of the operating system.
type OS struct{}

// Listen opens a TCP listener at an address.
func (OS) Listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", address)
}

// Dial opens a connection to an address.
func (OS) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, address)
}

// SetListenerBuffers bounds the kernel's buffers of the connections that a listener accepts,
// in bytes. The kernel reserves twice as much for its own structures. A listener that is not
// of the operating system is left alone.
func SetListenerBuffers(l net.Listener, receive, send int) error {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = errors.Join(unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receive),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, send))
	})
	return errors.Join(err, setErr)
}

// SetLinger sets how a connection ends when it is closed: with a reset if seconds is 0, and
// regularly if it is negative. A connection without that choice is left alone.
func SetLinger(c net.Conn, seconds int) error {
	if l, ok := c.(interface{ SetLinger(int) error }); ok {
		return l.SetLinger(seconds)
	}
	return nil
}
