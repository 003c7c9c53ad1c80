package admission

import (
	"slices"
	"time"

	"github.com/cassiasill/cassiasill/internal/balance"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// setServers replaces the list of servers. Servers that stay keep their
// estimates and windows, new ones start with a warmup. Requests that wait for a
// removed server are moved to another one or refused.
func (s *scheduler) setServers(now time.Duration, list []ServerConfig) {
	old := s.byName
	views := make(map[topology.ServerName]balance.Server, len(s.view.Servers))
	outliers := make(map[topology.ServerName]balance.OutlierDetector, len(s.outliers))
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
			srv = &server{name: c.Name, warmupStart: now, slowdown: 1}
			v = balance.Server{Name: c.Name, State: balance.StateWarmingUp, Weight: balance.WarmupWeight(0, s.config.Warmup)}
			srv.window = newWindow(float64(slots), s.view.HostCount, 0)
		}
		v.AvailabilityZone, v.Slots = c.AvailabilityZone, slots
		srv.index = len(s.servers)
		s.byName[c.Name] = srv
		s.servers = append(s.servers, srv)
		s.view.Servers = append(s.view.Servers, v)
		s.outliers = append(s.outliers, outliers[c.Name])
		s.syncView(srv)
	}
	s.resizeWindows()
	for name, srv := range old {
		if s.byName[name] == nil {
			s.clearStall(srv)
			srv.index, srv.leaving = -1, true
			s.drainQueuesOf(srv)
		}
	}
	s.dispatch(now, nil)
}

// setState changes the state of one server as requested by an operator or a
// health check.
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
		s.drainQueuesOf(srv)
	case state == ServerReady && srv.leaving:
		srv.leaving = false
		srv.warmupStart = now
		v.State, v.Weight = balance.StateWarmingUp, balance.WarmupWeight(0, s.config.Warmup)
	default:
		return
	}
	s.resizeWindows()
	s.dispatch(now, nil)
}

// drainQueuesOf empties the pinned queue of a server that takes no more
// requests. Movable requests go to another server, the others are refused.
// Shared requests are refused if no usable server remains.
func (s *scheduler) drainQueuesOf(srv *server) {
	for srv.pinnedQueue.size > 0 {
		w := srv.pinnedQueue.pop(s.callerUsage.cost)
		s.recordDequeue(w)
		w.target = nil
		if w.movable && s.hasUsableServer(w.exclude) {
			w.target = s.leastLoadedExcept(w.exclude)
			s.enqueue(w)
			continue
		}
		s.resolve(w, nil, refusedNoUpstream)
	}
	if s.sharedQueue.size > 0 && !s.hasUsableServer(nil) {
		for s.sharedQueue.size > 0 {
			w := s.sharedQueue.pop(s.callerUsage.cost)
			s.recordDequeue(w)
			s.resolve(w, nil, refusedNoUpstream)
		}
	}
}

// hasUsableServer reports whether a server outside exclude may get requests.
// Ejected servers count because they return.
func (s *scheduler) hasUsableServer(exclude []topology.ServerName) bool {
	for _, srv := range s.servers {
		if !srv.leaving && !slices.Contains(exclude, srv.name) {
			return true
		}
	}
	return false
}

// leastLoadedExcept returns the server outside exclude with the fewest requests
// in flight and pinned to it. Blocked and unusable servers come last.
func (s *scheduler) leastLoadedExcept(exclude []topology.ServerName) *server {
	var best *server
	lowest := 0
	for i, srv := range s.servers {
		if srv.leaving || slices.Contains(exclude, srv.name) {
			continue
		}
		load := srv.inFlight + srv.pinnedQueue.size
		if v := &s.view.Servers[i]; v.Blocked || !v.Usable() {
			load += s.config.MaxQueued
		}
		if best == nil || load < lowest {
			best, lowest = srv, load
		}
	}
	return best
}

// observe applies a load report on a server. Reports older than the last one
// are ignored.
func (s *scheduler) observe(now time.Duration, report LoadReport) {
	srv := s.byName[report.Server]
	if srv == nil {
		return
	}
	v := &s.view.Servers[srv.index]
	at := now - max(report.Age, 0)
	if v.HasReport && at < v.ReportedAt {
		return
	}
	v.ReportedInFlight, v.ReportedAt, v.HasReport = max(report.InFlight, 0), at, true
}

// refreshTimedState updates what changes with time alone: stalls, pauses,
// warmups and ejections. It does nothing within refreshInterval of the last
// update unless a pause has ended.
func (s *scheduler) refreshTimedState(now time.Duration) {
	if now < s.refreshAt && !s.anyPauseEnded(now) {
		return
	}
	s.refreshAt = now + refreshInterval
	balance.UpdateEjections(s.view.Servers, s.outliers, now)
	pressure, reports := 0.0, 0
	for i, srv := range s.servers {
		v := &s.view.Servers[i]
		if v.HasFreshReport(now) {
			pressure += s.serverPressure(now, srv)
			reports++
		}
		if srv.paused && now >= srv.notBefore {
			srv.paused = false
		}
		if srv.inFlight > 0 && !srv.stalled && now >= s.stallDeadline(srv) {
			srv.stalled = true
			srv.stalledShared = srv.sharedInFlight
			s.stalledShared += srv.stalledShared
		}
		switch v.State {
		case balance.StateEjected:
			srv.warmupStart = s.outliers[i].EjectedUntil()
		case balance.StateWarmingUp:
			v.Weight = balance.WarmupWeight(now-srv.warmupStart, s.config.Warmup)
			if v.Weight >= 1 {
				v.State = balance.StateReady
			}
		}
		s.syncView(srv)
	}
	s.reportedPressure = pressure / float64(max(reports, 1))
	if now >= s.usageCleanupAt {
		s.usageCleanupAt = now + usageDecayTime
		s.callerUsage.removeIdle(now)
	}
}

// serverPressure returns the reported number of requests per slot, or 0 without
// a fresh report.
func (s *scheduler) serverPressure(now time.Duration, srv *server) float64 {
	if srv.index < 0 || !s.view.Servers[srv.index].HasFreshReport(now) {
		return 0
	}
	v := &s.view.Servers[srv.index]
	return v.ReportedInFlight / float64(v.Slots)
}

func (s *scheduler) anyPauseEnded(now time.Duration) bool {
	if s.waitingCount == 0 {
		return false
	}
	for _, srv := range s.servers {
		if srv.paused && now >= srv.notBefore {
			return true
		}
	}
	return false
}

// stallDeadline returns the time at which srv counts as stalled unless it
// responds before. The requests of a stalled server no longer occupy the
// service's window, so that a frozen server does not take the capacity of the
// others.
func (s *scheduler) stallDeadline(srv *server) time.Duration {
	timeout := time.Duration(0)
	for c := range classCount {
		if srv.inFlightByClass[c] > 0 {
			timeout = max(timeout, s.latencyByClass[c].stallTimeout())
		}
	}
	return srv.lastProgressAt + timeout
}

func (s *scheduler) clearStall(srv *server) {
	s.stalledShared -= srv.stalledShared
	srv.stalledShared, srv.stalled = 0, false
}
