package connlimit

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
)

// Server runs an http.Server whose connections a Limiter bounds, and stops it in one order for
// all of them: stop accepting, end those on which no request has arrived, wait for the others,
// close.
type Server struct {
	http  *http.Server
	conns *Limiter

	mu        sync.Mutex
	listeners []net.Listener
	stopping  bool // no connections are accepted any more
}

// NewServer returns a Server for at most maxConns connections; 0 sets no bound. It sets the
// ConnState of the http.Server. onLimit is that of a Limiter.
func NewServer(server *http.Server, maxConns int, onLimit func(refused bool)) *Server {
	s := &Server{http: server, conns: New(maxConns, onLimit)}
	server.ConnState = s.conns.ConnState
	return s
}

// Conns returns the connections of the server.
func (s *Server) Conns() *Limiter { return s.conns }

// Serve accepts connections until the server is stopped or closed. Wrap, if not nil, wraps the
// listener from which the HTTP server accepts.
func (s *Server) Serve(listener net.Listener, wrap func(net.Listener) net.Listener) error {
	s.mu.Lock()
	s.listeners = append(s.listeners, listener)
	stopping := s.stopping
	s.mu.Unlock()
	if stopping {
		return listener.Close()
	}
	bounded := s.conns.Listener(listener)
	if wrap != nil {
		bounded = wrap(bounded)
	}
	err := s.http.Serve(bounded)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// StopAccepting closes the listeners.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for _, l := range s.listeners {
		_ = l.Close() // fails only if it is closed already
	}
}

// Shutdown stops accepting, drains the connections and closes those that are left when ctx
// ends, whose error it returns then. Responses should close their connections meanwhile.
func (s *Server) Shutdown(ctx context.Context) error {
	s.StopAccepting()
	err := s.conns.Drain(ctx, drainIdlePeriod)
	return errors.Join(err, s.Close())
}

// Close closes all connections at once.
func (s *Server) Close() error {
	s.conns.Close()
	if err := s.http.Close(); !errors.Is(err, net.ErrClosed) { // by StopAccepting
		return err
	}
	return nil
}
