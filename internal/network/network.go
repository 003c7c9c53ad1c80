// Package network is the port to the network on which a host listens and dials,
// so that tests and the dev command can put another beneath it.
package network

import (
	"context"
	"net"
)

// Network opens TCP listeners and connections.
type Network interface {
	Listen(ctx context.Context, address string) (net.Listener, error)
	Dial(ctx context.Context, network, address string) (net.Conn, error)
}

// Machine is the machine's own network.
type Machine struct{}

// Listen listens at a TCP address.
func (Machine) Listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", address)
}

// Dial connects to an address.
func (Machine) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, address)
}
