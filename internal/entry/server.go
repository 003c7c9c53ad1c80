package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Timing of callers' connections.
const (
	// headerTimeout bounds the reading of a request's header. Configurations
	// allow callers less.
	headerTimeout = 10 * time.Second
	// idleFactor times the configured idle timeout is how long an idle
	// connection is kept; callers use it until shortly before the timeout.
	idleFactor = 1.1
	// defaultIdle is used until the configuration is known.
	defaultIdle = 60 * time.Second
	// drainNotice is how long a stopping host still accepts connections: the
	// balancer asks each second and takes a host out after two refusals.
	drainNotice = 3200 * time.Millisecond
	// maxHeaderBytes is above what any configuration allows.
	maxHeaderBytes = 1 << 20
)

// Server accepts callers' connections.
type Server struct {
	handler *Handler
	http    *http.Server
	log     *zap.Logger

	mu   sync.Mutex
	idle map[net.Conn]time.Time
}

// NewServer returns a Server that is not yet listening.
func NewServer(handler *Handler) *Server {
	s := &Server{handler: handler, log: handler.Log, idle: make(map[net.Conn]time.Time)}
	s.http = &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: s.follow, ErrorLog: zap.NewStdLog(handler.Log)}
	return s
}

// follow keeps the list of idle connections.
func (s *Server) follow(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateIdle {
		s.idle[c] = time.Now()
		return
	}
	delete(s.idle, c)
}

// Serve accepts connections until Stop.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Sweep closes connections that were idle longer than the configuration allows.
func (s *Server) Sweep(now time.Time) {
	limit := defaultIdle
	if config := s.handler.View.Load().Config; config != nil && config.Limits.IdleTimeout > 0 {
		limit = time.Duration(float64(config.Limits.IdleTimeout) * idleFactor)
	}
	s.mu.Lock()
	var old []net.Conn
	for c, since := range s.idle {
		if now.Sub(since) > limit {
			old = append(old, c)
			delete(s.idle, c)
		}
	}
	s.mu.Unlock()
	for _, c := range old {
		if err := c.Close(); err != nil {
			s.log.Debug("entry: idle connection not closed", zap.Error(err))
		}
	}
}

// Stop answers what comes until the balancer has left, then waits for requests
// in flight until ctx ends.
func (s *Server) Stop(ctx context.Context) error {
	s.handler.Drain()
	timer := time.NewTimer(drainNotice)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	if err := s.http.Shutdown(ctx); err != nil {
		s.log.Warn("entry: requests cut off at the end of the shutdown", zap.Error(err))
		return s.http.Close()
	}
	return nil
}
