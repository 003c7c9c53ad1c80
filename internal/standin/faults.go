package standin

import (
	"errors"
	"fmt"
	"time"
)

// Freeze stops all processing, heartbeats included, until Resume. Connections
// are still accepted, as the kernel does for a frozen process.
func (s *Server) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resumed == nil && s.current != nil {
		s.resumed = make(chan struct{})
	}
}

// Resume ends Freeze. Requests that arrived in the meantime are then processed.
func (s *Server) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resume()
}

func (s *Server) resume() {
	if s.resumed != nil {
		close(s.resumed)
		s.resumed = nil
	}
}

// Crash breaks all connections and drops the grants.
func (s *Server) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crash()
}

func (s *Server) crash() {
	if s.current == nil {
		return
	}
	in := s.current
	s.current = nil
	// Executions end here and not when their goroutines notice: after a crash
	// nothing runs that a peer could still observe.
	for execution := range in.unfinished {
		in.endExecution(execution, false)
	}
	s.reportOwnership()
	close(in.crashed)
	s.resume()
	if in.http != nil {
		// Both calls close the listener; the error of the second one is expected.
		_ = in.listener.Close()
		_ = in.http.Close()
	}
}

// Restart starts a new incarnation at the same address. A server that still runs
// crashes first.
func (s *Server) Restart() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errors.New("the server was closed")
	}
	s.crash()
	s.current = s.newInstance()
	if s.address == "" {
		return nil
	}
	if err := s.listen(s.address); err != nil {
		s.current = nil
		return err
	}
	return nil
}

// SetServiceTimeFactor multiplies the service time by factor; one is the normal speed.
func (s *Server) SetServiceTimeFactor(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serviceTimeFactor = factor
}

// SetReportsIdle makes /health and /load report an idle, healthy server.
func (s *Server) SetReportsIdle(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportsIdle = on
}

// Drain makes the server report that it is draining. It still runs the requests
// that it receives, so that requests sent too late show up in Executions.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if in := s.current; in != nil && in.drainingSince.IsZero() {
		in.drainingSince = time.Now()
		in.grants.SetDrainRequested(true)
		s.recordLoad(in)
	}
}

// DrainingSince returns when Drain was called, or the zero time.
func (s *Server) DrainingSince() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil {
		return time.Time{}
	}
	return s.current.drainingSince
}

// slowFactor multiplies the service time after the action "slow".
const slowFactor = 10

// RunAction runs the named action of the dev command's control address. The
// action "resume" also ends "slow".
func (s *Server) RunAction(action string) error {
	switch action {
	case "freeze":
		s.Freeze()
	case "resume":
		s.Resume()
		s.SetServiceTimeFactor(1)
	case "crash":
		s.Crash()
	case "restart":
		return s.Restart()
	case "slow":
		s.SetServiceTimeFactor(slowFactor)
	case "drain":
		s.Drain()
	default:
		return fmt.Errorf("unknown action %q", action)
	}
	return nil
}
