package peer

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/cassiasill/cassiasill/internal/peer/peerpb"
	"github.com/cassiasill/cassiasill/internal/peer/peerpb/peerpbconnect"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const (
	dialTimeout = 250 * time.Millisecond
	// pingAfter and pingTimeout detect a connection whose remote side is gone
	// before a promise or a pull has waited for its own timeout twice.
	pingAfter   = time.Second
	pingTimeout = time.Second
)

// CallError is a failed call to a peer. The outcome of the call is unknown.
type CallError struct {
	Host   topology.HostName
	Method string
	Err    error
}

// Error returns the peer, the method and the cause.
func (e *CallError) Error() string { return fmt.Sprintf("peer %s: %s: %v", e.Host, e.Method, e.Err) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Client calls the peer service of other hosts.
type Client struct {
	http   *http.Client
	scheme string

	mu      sync.Mutex
	clients map[string]peerpbconnect.PeerServiceClient
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client that uses HTTP/2, over TLS if config is not nil.
func NewClient(dial DialFunc, config *tls.Config) *Client {
	protocols := new(http.Protocols)
	scheme := "http"
	if config != nil {
		scheme = "https"
		protocols.SetHTTP2(true)
	} else {
		protocols.SetUnencryptedHTTP2(true)
	}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, dialTimeout)
			defer cancel()
			return dial(ctx, network, address)
		},
		TLSClientConfig: config,
		Protocols:       protocols,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
	return &Client{http: &http.Client{Transport: transport}, scheme: scheme, clients: make(map[string]peerpbconnect.PeerServiceClient)}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) clientFor(host topology.Host) peerpbconnect.PeerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[host.PeerAddress]
	if !ok {
		client = peerpbconnect.NewPeerServiceClient(c.http, c.scheme+"://"+host.PeerAddress, connect.WithReadMaxBytes(maxMessageBytes))
		c.clients[host.PeerAddress] = client
	}
	return client
}

// Promise requests a leadership promise from host.
func (c *Client) Promise(ctx context.Context, host topology.Host, request *peerpb.PromiseRequest) (*peerpb.PromiseResponse, error) {
	return call(ctx, host, "promise", request, c.clientFor(host).Promise)
}

// Seal asks host to reject requests under older witness records.
func (c *Client) Seal(ctx context.Context, host topology.Host, request *peerpb.SealRequest) (*peerpb.SealResponse, error) {
	return call(ctx, host, "seal", request, c.clientFor(host).Seal)
}

// Sync pulls topics from host.
func (c *Client) Sync(ctx context.Context, host topology.Host, request *peerpb.SyncRequest) (*peerpb.SyncResponse, error) {
	return call(ctx, host, "sync", request, c.clientFor(host).Sync)
}

// Reserve claims an idempotency key at host.
func (c *Client) Reserve(ctx context.Context, host topology.Host, request *peerpb.ReserveRequest) (*peerpb.ReserveResponse, error) {
	return call(ctx, host, "reserve", request, c.clientFor(host).Reserve)
}

func call[Req, Res any](ctx context.Context, host topology.Host, name string, request *Req,
	method func(context.Context, *connect.Request[Req]) (*connect.Response[Res], error),
) (*Res, error) {
	response, err := method(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, &CallError{Host: host.Name, Method: name, Err: err}
	}
	return response.Msg, nil
}
