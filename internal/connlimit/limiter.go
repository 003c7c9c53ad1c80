// Package connlimit bounds the number of connections of an HTTP server. When the bound is
// reached, the connection that has waited for a request for longest is closed; if there is
// none, the new connection is.
package connlimit

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Limiter bounds the connections of one http.Server, whose ConnState must call it and which
// must accept connections by way of Listener. Its methods may be called concurrently.
type Limiter struct {
	max int
	// onLimit is called for each connection that the bound closes; refused is true if it
	// is the new one.
	onLimit func(refused bool)

	mu    sync.Mutex
	conns map[net.Conn]*conn
	// Connections that wait for a request, the one that waits for longest first.
	first, last *conn
}

// conn is one open connection.
type conn struct {
	net.Conn
	idleSince  time.Time
	idle       bool
	prev, next *conn
}

// New returns a Limiter for at most maxConns connections; 0 sets no bound.
func New(maxConns int, onLimit func(refused bool)) *Limiter {
	return &Limiter{max: maxConns, onLimit: onLimit, conns: make(map[net.Conn]*conn)}
}

// Count returns the number of open connections.
func (l *Limiter) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// ConnState is the hook of the http.Server. A connection on which a request has not been
// read to the end of its head waits for a request.
func (l *Limiter) ConnState(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	tracked := l.conns[c]
	switch state {
	case http.StateNew:
		tracked = &conn{Conn: c}
		l.conns[c] = tracked
		l.link(tracked)
	case http.StateIdle:
		if tracked != nil {
			l.link(tracked)
		}
	case http.StateActive:
		if tracked != nil {
			l.unlink(tracked)
		}
	default:
		l.remove(c)
	}
}

// CloseIdle closes the connections that have waited for a request for longer than the limit.
func (l *Limiter) CloseIdle(limit time.Duration, now time.Time) {
	l.mu.Lock()
	var expired []net.Conn
	for c := l.first; c != nil && now.Sub(c.idleSince) > limit; c = l.first {
		expired = append(expired, c.Conn)
		l.remove(c.Conn)
	}
	l.mu.Unlock()
	for _, c := range expired {
		_ = c.Close() // fails only if it is closed already
	}
}

// Listener returns a listener whose Accept keeps the bound.
func (l *Limiter) Listener(listener net.Listener) net.Listener { return &limited{listener, l} }

type limited struct {
	net.Listener
	limiter *Limiter
}

// Accept returns the next connection that the bound allows.
func (l *limited) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil || l.limiter.admit() {
			return c, err
		}
		_ = c.Close() // refused
	}
}

// admit makes room for one connection.
func (l *Limiter) admit() bool {
	l.mu.Lock()
	if l.max <= 0 || len(l.conns) < l.max {
		l.mu.Unlock()
		return true
	}
	longest := l.first
	if longest != nil {
		l.remove(longest.Conn)
	}
	l.mu.Unlock()
	if longest != nil {
		_ = longest.Close() // fails only if it is closed already
	}
	l.onLimit(longest == nil)
	return longest != nil
}

func (l *Limiter) remove(c net.Conn) {
	if tracked := l.conns[c]; tracked != nil {
		l.unlink(tracked)
		delete(l.conns, c)
	}
}

func (l *Limiter) link(c *conn) {
	l.unlink(c)
	c.idle, c.idleSince, c.prev = true, time.Now(), l.last
	if l.last != nil {
		l.last.next = c
	} else {
		l.first = c
	}
	l.last = c
}

func (l *Limiter) unlink(c *conn) {
	if !c.idle {
		return
	}
	if c.prev != nil {
		c.prev.next = c.next
	} else {
		l.first = c.next
	}
	if c.next != nil {
		c.next.prev = c.prev
	} else {
		l.last = c.prev
	}
	c.idle, c.prev, c.next = false, nil, nil
}
