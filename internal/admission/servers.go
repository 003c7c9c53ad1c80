package admission

import (
	"slices"
	"time"

	"github.com/cassiasill/cassiasill/internal/balance"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// setServers replaces the list of servers. Servers that stay keep what was
// learned; new ones start cold; requests waiting for a removed one are moved
// or refused.
func (s *scheduler) setServers(now time.Duration, list []ServerConfig) {
	old := s.byName
	views := make(map[topology.ServerName]balance.Server, len(s.view.Servers))
	outliers := make(map[topology.ServerName]balance.Outlier, len(s.outliers))
	for i, v := range s.view.Servers {
		views[v.Name], outliers[v.Name] = v, s.outliers[i]
	}
	s.byName = make(map[topology.ServerName]*server, len(list))
	s.servers, s.outliers, s.view.Servers = nil, nil, nil
	for _, c := range list {
		if s.byName[c.Name] != nil {
			continue
		}
		slots := c.Slots
		if slots <= 0 {
			slots = s.config.Slots
		}
		srv, v := old[c.Name], views[c.Name]
		if srv == nil {
			srv = &server{name: c.Name, coldSince: now, slowdown: 1}
			v = balance.Server{Name: c.Name, State: balance.StateCold, Weight: balance.Ramp(0, s.config.Ramp)}
			srv.window = newWindow(float64(slots), s.view.Hosts, 0)
		}
		v.AvailabilityZone, v.Slots = c.AvailabilityZone, slots
		srv.index = len(s.servers)
		s.byName[c.Name] = srv
		s.servers = append(s.servers, srv)
		s.view.Servers = append(s.view.Servers, v)
		s.outliers = append(s.outliers, outliers[c.Name])
		s.sync(srv)
	}
	s.resize()
	for name, srv := range old {
		if s.byName[name] == nil {
			s.unstall(srv)
			srv.index, srv.leaving = -1, true
			s.release(srv)
		}
	}
	s.dispatch(now, nil)
}

// setState changes one server's state by an operator's or health check's word.
func (s *scheduler) setState(now time.Duration, name topology.ServerName, state ServerState) {
	srv := s.byName[name]
	if srv == nil {
		return
	}
	v := &s.view.Servers[srv.index]
	switch {
	case state != ServerReady && !srv.leaving:
		srv.leaving = true
		v.State = balance.StateLeaving
		s.release(srv)
	case state == ServerReady && srv.leaving:
		srv.leaving = false
		srv.coldSince = now
		v.State, v.Weight = balance.StateCold, balance.Ramp(0, s.config.Ramp)
	default:
		return
	}
	s.resize()
	s.dispatch(now, nil)
}

// release empties the queue of a server that takes no more requests: what may
// go elsewhere does, the rest is refused.
func (s *scheduler) release(srv *server) {
	for srv.pinned.size > 0 {
		w := srv.pinned.pop(s.callers.cost)
		s.dequeued(w)
		w.pinned = nil
		if w.movable && s.anyUsable(w.exclude) {
			w.pinned = s.bestExcept(w.exclude)
			s.enqueue(w)
			continue
		}
		s.resolve(w, nil, refusedNoUpstream)
	}
	if s.shared.size > 0 && !s.anyUsable(nil) {
		for s.shared.size > 0 {
			w := s.shared.pop(s.callers.cost)
			s.dequeued(w)
			s.resolve(w, nil, refusedNoUpstream)
		}
	}
}

// anyUsable tells whether a server outside exclude may get requests. Ejected
// servers count: they come back.
func (s *scheduler) anyUsable(exclude []topology.ServerName) bool {
	for _, srv := range s.servers {
		if !srv.leaving && !slices.Contains(exclude, srv.name) {
			return true
		}
	}
	return false
}

// bestExcept returns the server outside exclude with the shortest own line.
func (s *scheduler) bestExcept(exclude []topology.ServerName) *server {
	var best *server
	lowest := 0
	for i, srv := range s.servers {
		if srv.leaving || slices.Contains(exclude, srv.name) {
			continue
		}
		line := srv.inFlight + srv.pinned.size
		if v := &s.view.Servers[i]; v.Blocked || !v.Usable() {
			line += s.config.MaxWaiting
		}
		if best == nil || line < lowest {
			best, lowest = srv, line
		}
	}
	return best
}

// observe takes a shared report on a server's load.
func (s *scheduler) observe(now time.Duration, report Report) {
	srv := s.byName[report.Server]
	if srv == nil {
		return
	}
	v := &s.view.Servers[srv.index]
	at := now - max(report.Age, 0)
	if v.HasReport && at < v.ReportedAt {
		return
	}
	v.Reported, v.ReportedAt, v.HasReport = max(report.InFlight, 0), at, true
}

// check updates what changes with time alone: stalls, pauses, ramps and
// ejections. It does nothing within checkInterval of the last check.
func (s *scheduler) check(now time.Duration) {
	if now < s.checkAt && !s.pauseOver(now) {
		return
	}
	s.checkAt = now + checkInterval
	balance.Eject(s.view.Servers, s.outliers, now)
	pressure, reports := 0.0, 0
	for i, srv := range s.servers {
		v := &s.view.Servers[i]
		if v.Fresh(now) {
			pressure += s.serverPressure(now, srv)
			reports++
		}
		if srv.paused && now >= srv.notBefore {
			srv.paused = false
		}
		if srv.inFlight > 0 && !srv.stalled && now >= s.stallAt(srv) {
			srv.stalled = true
			srv.stuck = srv.shared
			s.stuck += srv.stuck
		}
		switch v.State {
		case balance.StateEjected:
			srv.coldSince = s.outliers[i].Until()
		case balance.StateCold:
			v.Weight = balance.Ramp(now-srv.coldSince, s.config.Ramp)
			if v.Weight >= 1 {
				v.State = balance.StateReady
			}
		}
		s.sync(srv)
	}
	s.pressure = pressure / float64(max(reports, 1))
	if now >= s.forgetAt {
		s.forgetAt = now + useMemory
		s.callers.forget(now)
	}
}

// serverPressure is the reported number of requests per slot, or 0 without a
// fresh report.
func (s *scheduler) serverPressure(now time.Duration, srv *server) float64 {
	if srv.index < 0 || !s.view.Servers[srv.index].Fresh(now) {
		return 0
	}
	v := &s.view.Servers[srv.index]
	return v.Reported / float64(v.Slots)
}

func (s *scheduler) pauseOver(now time.Duration) bool {
	if s.waiting == 0 {
		return false
	}
	for _, srv := range s.servers {
		if srv.paused && now >= srv.notBefore {
			return true
		}
	}
	return false
}

// stallAt is when srv counts as stalled if it answers nothing until then. Its
// requests then no longer occupy the service's window, so that a frozen server
// does not take the others' capacity.
func (s *scheduler) stallAt(srv *server) time.Duration {
	patience := time.Duration(0)
	for c := range classCount {
		if srv.classes[c] > 0 {
			patience = max(patience, s.latencies[c].patience())
		}
	}
	return srv.progressAt + patience
}

func (s *scheduler) unstall(srv *server) {
	s.stuck -= srv.stuck
	srv.stuck, srv.stalled = 0, false
}
