package network

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// lingerStall is the time without progress of the peer after which Linger closes.
	lingerStall = time.Second
	// lingerLimit bounds Linger for peers that make progress.
	lingerLimit = 30 * time.Second
	// lingerBufferBytes is the buffer for what is discarded.
	lingerBufferBytes = 2 << 10
)

// Linger closes a connection so that its peer receives all that was written: it ends the own
// bytes, then reads and drops what the peer still sends until the peer has ended, too, and
// closes then. The kernel resets a connection that is closed while unread bytes wait, or on
// which bytes arrive afterwards, and drops what it has not sent.
//
// A peer that makes no progress for a second, or that has not ended after 30 s, is not waited
// for any longer. Closing the connection ends the wait. A connection that can't end its own
// bytes alone is closed at once.
func Linger(c net.Conn) {
	defer c.Close()
	w, ok := c.(interface{ CloseWrite() error })
	if !ok || w.CloseWrite() != nil {
		return
	}
	buffer := make([]byte, lingerBufferBytes)
	acked, _ := sendProgressOf(c)
	for limit := time.Now().Add(lingerLimit); time.Now().Before(limit); {
		if c.SetReadDeadline(time.Now().Add(lingerStall)) != nil {
			return
		}
		n, err := c.Read(buffer)
		if n > 0 {
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return // it has ended
		}
		progress, pending := sendProgressOf(c)
		if !pending || progress == acked {
			return
		}
		acked = progress
	}
}

// HasUnsent reports whether bytes wait to be acknowledged by the peer. It reports false for a
// connection that is not of the operating system.
func HasUnsent(c net.Conn) bool {
	_, pending := sendProgressOf(c)
	return pending
}

// sendProgressOf is SendProgress, without progress if that fails.
func sendProgressOf(c net.Conn) (acked uint64, pending bool) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, false
	}
	if acked, pending, err = SendProgress(raw); err != nil {
		return 0, false
	}
	return acked, pending
}
