package network

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a regular end behind an error that a former Read was told: a reader that
// has dropped the error would take what it has for whole.
func TestReadAfterAResetIsNoRegularEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	raw, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer raw.Close()
	peer, err := listener.Accept()
	assert.NilError(t, err)
	assert.NilError(t, peer.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, peer.Close())
	c := ReportResets(raw)
	assert.NilError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	for range 3 {
		_, err := c.Read(make([]byte, 1))
		assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
	}
}
