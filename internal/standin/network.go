package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
)

// limitListener closes connections above the limit right after accepting them;
// a limit of zero means no limit.
type limitListener struct {
	net.Listener
	limit int
	mu    sync.Mutex
	open  int
}

func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || l.limit <= 0 {
			return conn, err
		}
		l.mu.Lock()
		full := l.open >= l.limit
		if !full {
			l.open++
		}
		l.mu.Unlock()
		if !full {
			return &limitedConn{Conn: conn, onClose: l.connClosed}, nil
		}
		_ = conn.Close()
	}
}

func (l *limitListener) connClosed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

type limitedConn struct {
	net.Conn
	once    sync.Once
	onClose func()
}

func (c *limitedConn) Close() error {
	c.once.Do(c.onClose)
	return c.Conn.Close()
}

// Network connects the components of one process by pipes instead of sockets, so
// that they run on the virtual clock of testing/synctest.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	nextPort  int
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{listeners: make(map[string]*pipeListener), nextPort: 20_000}
}

// Listen listens at address; port 0 selects a free port.
func (n *Network) Listen(_, address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	if port == "0" {
		n.nextPort++
		address = net.JoinHostPort(host, fmt.Sprint(n.nextPort))
	}
	if n.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: "pipe", Err: syscall.EADDRINUSE}
	}
	l := &pipeListener{network: n, address: address, conns: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// DialContext connects to the listener at address.
func (n *Network) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	refused := &net.OpError{Op: "dial", Net: "pipe", Err: syscall.ECONNREFUSED}
	if l == nil {
		return nil, refused
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.done:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Client returns an HTTP client that dials through the network.
func (n *Network) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.DialContext, MaxIdleConnsPerHost: 16}}
}

type pipeListener struct {
	network *Network
	address string
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

type pipeAddr string

func (pipeAddr) Network() string  { return "pipe" }
func (a pipeAddr) String() string { return string(a) }

func (l *pipeListener) Addr() net.Addr { return pipeAddr(l.address) }

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
	})
	return nil
}
