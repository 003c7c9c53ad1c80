package entry

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/connlimit"
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
	// connLimitStall is the time without a byte after which a body gives way to a new
	// connection when the bound on connections is reached.
	connLimitStall = time.Second
	// shutdownStall is the time without a byte after which a body no longer delays the end
	// of a shutdown.
	shutdownStall = time.Second
	// defaultMaxHeaderBytes bounds the heads of requests while they are read. Many short
	// fields take some ten times their size in memory.
	defaultMaxHeaderBytes = 16 << 10
)

// Server accepts callers' connections.
type Server struct {
	handler *Handler
	server  *connlimit.Server
	log     *zap.Logger
}

// NewServer returns a Server that is not yet listening. At most maxConns connections are open
// at a time; 0 sets no bound.
func NewServer(handler *Handler, maxConns int) *Server {
	s := &Server{handler: handler, log: handler.Log}
	s.server = connlimit.NewServer(&http.Server{Handler: handler, ReadHeaderTimeout: headerReadTimeout, MaxHeaderBytes: cmp.Or(handler.CallerLimits.MaxHeaderBytes, defaultMaxHeaderBytes),
		ConnContext: network.ContextWithConn, ErrorLog: zap.NewStdLog(handler.Log)}, maxConns, s.onConnLimit)
	return s
}

// onConnLimit makes room for the next connection if this one was refused: without
// connections that wait for a request, a body that makes no progress gives way, and responses
// have a shorter period.
func (s *Server) onConnLimit(refused bool) {
	s.handler.Limits.Reached(LimitConnections, "callers.maxConnections")
	if refused {
		s.handler.Limits.refusedConn(time.Now())
		s.handler.Budget.EvictStalled(connLimitStall, time.Now())
	}
}

// ConnCount returns the number of open connections.
func (s *Server) ConnCount() int { return s.server.Conns().Count() }

// Serve accepts connections until Shutdown is called.
func (s *Server) Serve(listener net.Listener) error {
	return s.server.Serve(listener, s.handler.Listener)
}

// CloseExpiredConns ends connections that have been idle for longer than the configuration
// allows.
func (s *Server) CloseExpiredConns(now time.Time) {
	limit := defaultIdleTimeout
	if config := s.handler.View.Load().Config; config != nil && config.Limits.IdleTimeout > 0 {
		limit = time.Duration(float64(config.Limits.IdleTimeout) * idleTimeoutFactor)
	}
	s.server.Conns().EndIdle(limit, now)
}

// Shutdown stops the server in one order for all connections: it keeps accepting for
// drainAcceptPeriod, so that the load balancer removes the host first; then it accepts no
// more, ends the connections on which no request has arrived, and waits for those with one
// until ctx ends.
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
	s.server.StopAccepting()
	// Bodies that make no progress would last until the end of the period.
	for now := time.Now(); s.handler.Budget.EvictStalled(shutdownStall, now); {
	}
	err := s.server.Shutdown(ctx)
	if err != nil {
		s.log.Warn("entry: requests in flight aborted at the end of the shutdown", zap.Int("pipelined", s.handler.readAhead.waitingCount()), zap.Error(err))
	}
	s.handler.readAhead.group.Wait()
	return nil
}
