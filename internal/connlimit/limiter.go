// Package connlimit bounds the number of connections of an HTTP server and ends those that
// wait for a request. When the bound is reached, the connection that has waited for longest is
// ended; if there is none, the new connection is.
//
// A connection that is closed behind a response stays until its caller has received that:
// see network.Linger.
//
// A connection on which a request has arrived is never ended, whether the request has been
// read or not: http.Server closes connections whose request it has read and not yet handed
// over, so neither its Shutdown nor its idle timeout serves here.
package connlimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/cassiasill/cassiasill/internal/network"
)

// Limiter bounds the connections of one http.Server, whose ConnState must call it and which
// must accept connections by way of Listener. Its methods may be called concurrently.
type Limiter struct {
	max int
	// onLimit is called for each connection that the bound closes; refused is true if it
	// is the new one.
	onLimit func(refused bool)

	mu    sync.Mutex
	conns map[*conn]connState
	// Connections that wait for a request and are not being ended, the one that waits for
	// longest first.
	first, last *conn
	// lingering are those that are being closed, except for what their callers have not
	// received.
	lingering map[*conn]struct{}
	closed    bool // connections do not linger any more
	group     conc.WaitGroup
}

// connState is what the HTTP server does with a connection.
type connState uint8

const (
	waits connState = iota // for a request, of which a part may have been read
	serves
)

// New returns a Limiter for at most maxConns connections; 0 sets no bound.
func New(maxConns int, onLimit func(refused bool)) *Limiter {
	return &Limiter{max: maxConns, onLimit: onLimit, conns: make(map[*conn]connState), lingering: make(map[*conn]struct{})}
}

// Count returns the number of open connections, lingering ones included.
func (l *Limiter) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count()
}

func (l *Limiter) count() int { return len(l.conns) + len(l.lingering) }

// ConnState is the hook of the http.Server. A connection on which a request has not been
// read to the end of its head waits for a request.
func (l *Limiter) ConnState(c net.Conn, state http.ConnState) {
	tracked := unwrap(c)
	if tracked == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, open := l.conns[tracked]
	switch {
	case state == http.StateNew, state == http.StateIdle && open:
		l.conns[tracked] = waits
		l.link(tracked)
	case state == http.StateActive && open:
		l.conns[tracked] = serves
		l.unlink(tracked)
		tracked.keep()
	case state == http.StateHijacked:
		l.unlink(tracked)
		delete(l.conns, tracked)
	}
}

// remove forgets a connection that is being closed. It returns true if it closes the
// connection later, when the caller has received the last response.
func (l *Limiter) remove(c *conn) (lingers bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state, open := l.conns[c]
	l.unlink(c)
	delete(l.conns, c)
	if !open || l.closed || !c.mayOweBytes(state) {
		return false
	}
	l.lingering[c] = struct{}{}
	l.group.Go(func() {
		network.Linger(c.Conn)
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.lingering, c)
	})
	return true
}

// Close closes the lingering connections. From now on connections do not linger, so that the
// HTTP server can be closed with requests in progress.
func (l *Limiter) Close() {
	l.mu.Lock()
	l.closed = true
	for c := range l.lingering {
		_ = c.Conn.Close() // fails only if it is closed already
	}
	l.mu.Unlock()
	l.group.Wait()
}

// waitAgain records that bytes have arrived on a connection that was being ended. It has
// another period to complete the request.
func (l *Limiter) waitAgain(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state, open := l.conns[c]; open && state == waits {
		l.link(c)
	}
}

// EndIdle ends the connections that have waited for a request for longer than the limit,
// unless one arrives meanwhile.
func (l *Limiter) EndIdle(limit time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := l.first; c != nil && now.Sub(c.idleSince) > limit; {
		next := c.next
		if c.endIdle() {
			l.unlink(c)
		}
		c = next
	}
}

const (
	// endPollInterval is how often Drain ends connections that wait for a request.
	endPollInterval = 20 * time.Millisecond
	// drainIdlePeriod is how long a connection may wait for a request during Shutdown.
	drainIdlePeriod = time.Second
)

// Drain returns when no connection is open. It ends those that wait for a request for longer
// than the limit, and waits for the others until ctx ends, whose error it returns then. No
// more connections may be accepted, and responses should close theirs.
func (l *Limiter) Drain(ctx context.Context, limit time.Duration) error {
	ticker := time.NewTicker(endPollInterval)
	defer ticker.Stop()
	for {
		l.EndIdle(limit, time.Now())
		if l.Count() == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
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
		if err != nil {
			return nil, err
		}
		if l.limiter.admit() {
			return &conn{Conn: c, limiter: l.limiter}, nil
		}
		_ = c.Close() // refused
	}
}

// admit makes room for one connection.
func (l *Limiter) admit() bool {
	for {
		victim, room := l.endLongestIdle()
		if room {
			return true
		}
		if victim == nil {
			l.onLimit(true)
			return false
		}
		if victim.hasEnded() {
			l.onLimit(false)
			return true
		}
	}
}

// endLongestIdle ends the connection that has waited for a request for longest, if there is
// no room for another one and no lingering connection that can be closed.
func (l *Limiter) endLongestIdle() (victim *conn, room bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.max <= 0 || l.count() < l.max {
		return nil, true
	}
	for c := range l.lingering {
		_ = c.Conn.Close() // fails only if it is closed already
		delete(l.lingering, c)
		return nil, true
	}
	for c := l.first; c != nil; c = c.next {
		if c.endIdle() {
			l.unlink(c)
			return c, false
		}
	}
	return nil, false
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
