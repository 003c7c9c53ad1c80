package control

import (
	"context"
	"net"
	"strings"
	"sync/atomic"

	"github.com/cassiasill/cassiasill/internal/network"
)

// traffic counts the bytes that one host sends, by whom they go to.
type traffic struct {
	peers, servers atomic.Int64
}

// countedNetwork is the machine's network with a count of the bytes sent.
type countedNetwork struct {
	traffic *traffic
	// isPeer tells whether a remote address is a host's peer address.
	isPeer func(address string) bool
}

func (n countedNetwork) Listen(ctx context.Context, address string) (net.Listener, error) {
	l, err := network.OS{}.Listen(ctx, address)
	if err != nil {
		return nil, err
	}
	// Callers and operators are idle, so that what a host answers goes to peers.
	return countedListener{l, &n.traffic.peers}, nil
}

func (n countedNetwork) Dial(ctx context.Context, protocol, address string) (net.Conn, error) {
	c, err := network.OS{}.Dial(ctx, protocol, address)
	if err != nil {
		return nil, err
	}
	count := &n.traffic.servers
	if n.isPeer(strings.TrimSpace(address)) {
		count = &n.traffic.peers
	}
	return countedConn{c, count}, nil
}

type countedListener struct {
	net.Listener
	sent *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.sent}, nil
}

type countedConn struct {
	net.Conn
	sent *atomic.Int64
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}
