package detour

import (
	"context"
	"net/http"

	"go.uber.org/zap"
)

// begin counts a detour that is being opened. It returns false if none may be: the bound is
// reached, or the server is stopping.
func (s *Server) begin(w http.ResponseWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		w.Header().Set(stoppingHeader, "true")
		return false
	}
	if s.open >= maxOpen {
		return false
	}
	s.open++
	return true
}

// end counts a detour that has ended, or was not opened.
func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	if s.stopping && s.open == 0 {
		close(s.ended)
	}
}

// track records a connection that is being copied until the returned function is called. If
// the server stops meanwhile, its host is told.
func (s *Server) track(c *carried) (untrack func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.carried[c] = struct{}{}
	switch {
	case s.aborted:
		c.abort()
	case s.stopping:
		s.announceStop(c)
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.carried, c)
	}
}

// announceStop tells a host, if its build understands it, that this process stops.
func (s *Server) announceStop(c *carried) {
	w, ok := c.writer.(*frameWriter)
	if !ok {
		return
	}
	s.notices.Go(func() { // a host that does not read would delay the others
		if err := w.announceStop(); err != nil {
			s.log.Debug("detour: stop not announced", zap.Error(err))
		}
	})
}

// Stop refuses further detours and asks the hosts that use those that are open to leave them
// after their current request.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return
	}
	s.stopping = true
	if s.open == 0 {
		close(s.ended)
	}
	for c := range s.carried {
		s.announceStop(c)
	}
}

// Shutdown is Stop, and then waits until no detour is open. Those that are open when ctx ends
// are reset.
func (s *Server) Shutdown(ctx context.Context) error {
	s.Stop()
	defer s.notices.Wait()
	select {
	case <-s.ended:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == 0 { // both have happened
		return nil
	}
	s.log.Warn("detour: connections for other hosts aborted at the end of the shutdown", zap.Int("connections", len(s.carried)))
	s.aborted = true
	for c := range s.carried {
		c.abort()
	}
	return ctx.Err()
}

// abort resets both connections.
func (c *carried) abort() {
	reset(c.host)
	reset(c.server)
}
