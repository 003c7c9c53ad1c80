// Package network defines the interface through which a host listens and dials, so
// that tests and the dev command can substitute another network.
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
