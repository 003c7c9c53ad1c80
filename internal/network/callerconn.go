package network

import (
	"context"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// connContextKey is the context key of a caller's connection.
type connContextKey struct{}

// ContextWithConn is the ConnContext of an HTTP server whose handlers use CallerConn.
func ContextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, c)
}

// ContextConn returns the connection that ContextWithConn has added to the context, or nil.
func ContextConn(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connContextKey{}).(net.Conn)
	return c
}

// CallerConn returns the connection of the caller whose request has the context, or nil
// if it is none of the operating system's.
func CallerConn(ctx context.Context) syscall.RawConn {
	sc, ok := ctx.Value(connContextKey{}).(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// SendProgress returns how many bytes the peer of a connection has acknowledged since it was
// opened, and whether others wait to be acknowledged.
func SendProgress(c syscall.RawConn) (acked uint64, pending bool, err error) {
	info, err := tcpInfo(c)
	if err != nil {
		return 0, false, err
	}
	return info.Bytes_acked, info.Unacked > 0 || info.Notsent_bytes > 0, nil
}

// HasUnread reports whether a Read would return at once: bytes of the peer wait, or the end or
// the failure of the connection. It reports false for a connection that is not of the operating
// system.
func HasUnread(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	empty := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = err == unix.EAGAIN
	})
	return err != nil || !empty
}

func tcpInfo(c syscall.RawConn) (info *unix.TCPInfo, err error) {
	var getErr error
	err = c.Control(func(fd uintptr) { info, getErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	return info, errors.Join(err, getErr)
}
