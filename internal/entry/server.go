package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/network"
)

// Limits of callers' connections.
const (
	// headerReadTimeout bounds the time to read a request's header. Configurations
	// allow callers less.
	headerReadTimeout = 10 * time.Second
	// idleTimeoutFactor multiplies the configured idle timeout: callers reuse a
	// connection until shortly before that timeout.
	idleTimeoutFactor = 1.1
	// defaultIdleTimeout applies until the configuration is known.
	defaultIdleTimeout = 60 * time.Second
	// drainAcceptPeriod is how long a stopping host still accepts connections: the
	// load balancer probes readiness each second and removes a host after two
	// failed probes.
	drainAcceptPeriod = 3200 * time.Millisecond
	// maxHeaderBytes is more than any configuration allows.
	maxHeaderBytes = 1 << 20
)

// Server accepts callers' connections.
type Server struct {
	handler *Handler
	http    *http.Server
	log     *zap.Logger

	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
}

// NewServer returns a Server that is not yet listening.
func NewServer(handler *Handler) *Server {
	s := &Server{handler: handler, log: handler.Log, idleSince: make(map[net.Conn]time.Time)}
	s.http = &http.Server{Handler: handler, ReadHeaderTimeout: headerReadTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: s.trackIdle, ConnContext: network.ContextWithConn, ErrorLog: zap.NewStdLog(handler.Log)}
	return s
}

// trackIdle records since when each connection is idle.
func (s *Server) trackIdle(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateIdle {
		s.idleSince[c] = time.Now()
		return
	}
	delete(s.idleSince, c)
}

// Serve accepts connections until Shutdown is called.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.http.Serve(s.handler.Listener(listener)); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// CloseExpiredConns closes connections that have been idle for longer than the configuration
// allows.
func (s *Server) CloseExpiredConns(now time.Time) {
	limit := defaultIdleTimeout
	if config := s.handler.View.Load().Config; config != nil && config.Limits.IdleTimeout > 0 {
		limit = time.Duration(float64(config.Limits.IdleTimeout) * idleTimeoutFactor)
	}
	s.mu.Lock()
	var expired []net.Conn
	for c, since := range s.idleSince {
		if now.Sub(since) > limit {
			expired = append(expired, c)
			delete(s.idleSince, c)
		}
	}
	s.mu.Unlock()
	for _, c := range expired {
		if err := c.Close(); err != nil {
			s.log.Debug("entry: idle connection not closed", zap.Error(err))
		}
	}
}

// Shutdown drains the server: it keeps accepting connections for drainAcceptPeriod,
// so that the load balancer removes the host first, then waits for requests in
// flight until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	now := time.Now()
	end, bounded := ctx.Deadline()
	if !bounded {
		end = now.Add(defaultIdleTimeout)
	}
	s.handler.Drain(now, end)
	timer := time.NewTimer(drainAcceptPeriod)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	// The HTTP server closes connections after the response in progress once it shuts down.
	s.handler.awaitTurns(ctx)
	err := s.http.Shutdown(ctx)
	if err != nil {
		s.log.Warn("entry: requests in flight aborted at the end of the shutdown", zap.Error(err))
		err = s.http.Close()
	}
	s.handler.readAhead.group.Wait()
	return err
}
