package netfault

import (
	"context"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// connect returns a connection that was dialled through the network, and its
// remote end.
func connect(t *testing.T, n *Network) (dialled, peer net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	accepted := make(chan net.Conn, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			accepted <- c
		}
	}()
	dialled, err = n.Dial(t.Context(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	peer = <-accepted
	t.Cleanup(func() { _ = peer.Close(); _ = dialled.Close() })
	return dialled, peer
}

// Guards against a block that loses data or lets it through.
func TestBlockHoldsTrafficUntilUnblock(t *testing.T) {
	n := NewNetwork(nil)
	dialled, peer := connect(t, n)
	n.Block()
	assert.NilError(t, dialled.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	_, err := dialled.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	assert.NilError(t, dialled.SetReadDeadline(time.Time{}))

	written := make(chan error, 1)
	go func() {
		_, err := dialled.Write([]byte("late"))
		written <- err
	}()
	assert.NilError(t, peer.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	_, err = peer.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)

	n.Unblock()
	assert.NilError(t, <-written)
	assert.NilError(t, peer.SetReadDeadline(time.Time{}))
	got := make([]byte, 4)
	_, err = io.ReadFull(peer, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "late")
}

// Guards against a killed network whose peers see no broken connection, or that
// still opens connections.
func TestKillBreaksConnectionsAndRefusesNewOnes(t *testing.T) {
	n := NewNetwork(nil)
	_, peer := connect(t, n)
	n.Kill()
	_, err := peer.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	_, err = n.Dial(context.Background(), "tcp", peer.LocalAddr().String())
	assert.ErrorIs(t, err, errKilled)
	_, err = n.Listen(context.Background(), "127.0.0.1:0")
	assert.ErrorIs(t, err, errKilled)
}
