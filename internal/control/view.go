package control

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/registry"
	"github.com/cassiasill/cassiasill/internal/routes"
	"github.com/cassiasill/cassiasill/internal/shards"
)

// Snapshot is the state that a host knows at one moment. It is immutable.
type Snapshot struct {
	Config *routes.Config
	// RawConfig is the configuration as stored.
	RawConfig   []byte
	Servers     *registry.List
	Assignments map[string]*shards.Assignment
	// BlockedFingerprints holds the fingerprints of requests that crash servers.
	BlockedFingerprints map[string]bool
	// Dispatchers holds the dispatch address of the host that dispatches the
	// requests of each service.
	Dispatchers map[string]string
	// HostCount is the number of live hosts; 0 if unknown.
	HostCount int
	// RateLimitsVersion is the version of the rate limits that the leader passes on.
	RateLimitsVersion uint64
	// ConfigConfirmedAt and ServersConfirmedAt are when the store last confirmed the
	// configuration and the servers.
	ConfigConfirmedAt  boottime.Instant
	ServersConfirmedAt boottime.Instant
	// Evacuations are the evacuated availability zones, which the store last confirmed at
	// EvacuationsConfirmedAt.
	Evacuations            Evacuations
	EvacuationsConfirmedAt boottime.Instant
	// ServersGap is the last time for which nobody known to this host has confirmed the
	// servers, if it was long enough for entries to expire; zero if there was none. It may
	// have been an outage of the store.
	ServersGap registry.Gap
	// ServersRevision is the store revision up to which Servers is current; 0
	// if unknown.
	ServersRevision int64
	// Term is the leader's term. Generation counts the announced changes of the
	// view.
	Term       int64
	Generation uint64
}

// CanRoute reports whether the state is complete enough to route requests: the
// configuration, the servers, the evacuated zones and the assignments of all
// services with owned keys are known.
func (s *Snapshot) CanRoute() bool {
	if s.Config == nil || s.Servers == nil || !s.Evacuations.Known() {
		return false
	}
	for _, service := range s.Config.Services {
		if service.HasKeyOwners && s.Assignments[service.Name] == nil {
			return false
		}
	}
	return true
}

// hasServers reports whether the snapshot's servers are those of the list.
func (s *Snapshot) hasServers(list *registry.List) bool {
	return s.Servers != nil && s.Servers.Digest == list.Digest
}

// View holds a host's current Snapshot. Updates never replace newer state by
// older.
type View struct {
	current atomic.Pointer[Snapshot]

	mu                   sync.Mutex
	changed              chan struct{}
	onChange             []func(*Snapshot)
	drainingIncarnations map[string]int64 // incarnations of draining servers, by ID
}

// NewView returns a View without any state.
func NewView() *View {
	v := &View{changed: make(chan struct{}), drainingIncarnations: make(map[string]int64)}
	v.current.Store(&Snapshot{Assignments: map[string]*shards.Assignment{}})
	return v
}

// NewStaticView returns a View of one Snapshot, for hosts without a store. If the
// Snapshot has no evacuations, none is in force.
func NewStaticView(snapshot Snapshot) *View {
	v := NewView()
	if !snapshot.Evacuations.Known() {
		snapshot.Evacuations = NewEvacuations(1, nil)
	}
	v.current.Store(&snapshot)
	return v
}

// Load returns the current Snapshot.
func (v *View) Load() *Snapshot { return v.current.Load() }

// Changed returns a channel that is closed at the next announced change.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// OnChange calls f once now and after each announced change. Calls are
// serialized.
func (v *View) OnChange(f func(*Snapshot)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.onChange = append(v.onChange, f)
	f(v.current.Load())
}

// update applies change to a copy of the current Snapshot. The change is
// announced only if the function returns true, as mere confirmations of the
// current state are not.
func (v *View) update(change func(next *Snapshot) bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := *v.current.Load()
	announce := change(&next)
	if announce {
		next.Generation++
	}
	v.current.Store(&next)
	if !announce {
		return
	}
	close(v.changed)
	v.changed = make(chan struct{})
	for _, f := range v.onChange {
		f(&next)
	}
}

// setConfig sets a configuration that the store held at the given instant,
// unless it is not newer than the current one. A nil config only confirms the
// current one. It reports whether the configuration has changed.
func (v *View) setConfig(config *routes.Config, raw []byte, at boottime.Instant) (changed bool) {
	v.update(func(next *Snapshot) bool {
		next.ConfigConfirmedAt = max(next.ConfigConfirmedAt, at)
		if changed = config != nil && config.IsNewerThan(next.Config); changed {
			next.Config, next.RawConfig = config, raw
		}
		return changed
	})
	return changed
}

// setServers sets a list that the store held at the given instant and revision,
// unless a newer one is known. The revision decides which is newer: the instant of a
// list that came from another host is too early by the time for which that host held
// the response back. Only without a revision, which older builds do not send, the
// instant decides. A server that was seen draining stays draining, whatever another
// reader has seen.
func (v *View) setServers(list *registry.List, at boottime.Instant, revision int64) {
	v.update(func(next *Snapshot) bool {
		isOlder := revision < next.ServersRevision
		if revision == 0 || next.ServersRevision == 0 {
			isOlder = at < next.ServersConfirmedAt
		}
		if isOlder {
			return false
		}
		if next.ServersConfirmedAt != 0 && at.Sub(next.ServersConfirmedAt) > registry.MinOutage {
			next.ServersGap = registry.Gap{From: next.ServersConfirmedAt, To: at}
		}
		next.ServersConfirmedAt, next.ServersRevision = max(next.ServersConfirmedAt, at), revision
		if next.hasServers(list) {
			return false // the usual confirmation: the marks were restored before
		}
		if list = v.preserveDraining(list); next.hasServers(list) {
			return false
		}
		next.Servers = list
		return true
	})
}

// setDraining marks one incarnation of a server as draining, whatever its entry says.
// It returns false if the server is not listed or was marked before.
func (v *View) setDraining(id string, incarnation int64) (changed bool) {
	v.update(func(next *Snapshot) bool {
		if next.Servers == nil {
			return false
		}
		s, listed := next.Servers.Servers[id]
		if !listed || s.Incarnation != incarnation || s.Draining {
			return false
		}
		v.drainingIncarnations[id] = incarnation
		next.Servers, changed = v.preserveDraining(next.Servers), true
		return true
	})
	return changed
}

// preserveDraining returns the list with every incarnation that was seen
// draining marked as draining.
func (v *View) preserveDraining(list *registry.List) *registry.List {
	var restored []registry.Server
	draining := make(map[string]int64)
	for id, s := range list.Servers {
		if born, wasDraining := v.drainingIncarnations[id]; wasDraining && born == s.Incarnation && !s.Draining {
			s.Draining = true
			restored = append(restored, s)
		}
		if s.Draining {
			draining[id] = s.Incarnation
		}
	}
	maps.Copy(v.drainingIncarnations, draining)
	if len(restored) == 0 {
		return list
	}
	return list.WithChanges(restored, nil)
}

// setAssignment sets the assignment of a service if it is newer.
func (v *View) setAssignment(service string, a *shards.Assignment) {
	v.update(func(next *Snapshot) bool {
		if old := next.Assignments[service]; old != nil && a.Version <= old.Version {
			return false
		}
		next.Assignments = maps.Clone(next.Assignments)
		next.Assignments[service] = a
		return true
	})
}

// setBlocked replaces the blocked fingerprints.
func (v *View) setBlocked(blocked map[string]bool) {
	v.update(func(next *Snapshot) bool {
		if maps.Equal(next.BlockedFingerprints, blocked) {
			return false
		}
		next.BlockedFingerprints = blocked
		return true
	})
}

// setHosts sets the number of live hosts and the dispatchers.
func (v *View) setHosts(hosts int, dispatchers map[string]string) {
	v.update(func(next *Snapshot) bool {
		if next.HostCount == hosts && maps.Equal(next.Dispatchers, dispatchers) {
			return false
		}
		next.HostCount, next.Dispatchers = hosts, dispatchers
		return true
	})
}

// setRateLimitsVersion announces changed rate limits.
func (v *View) setRateLimitsVersion(version uint64) {
	v.update(func(next *Snapshot) bool {
		changed := next.RateLimitsVersion != version
		next.RateLimitsVersion = version
		return changed
	})
}

// setTerm raises the leader's term.
func (v *View) setTerm(term int64) {
	v.update(func(next *Snapshot) bool {
		next.Term = max(next.Term, term)
		return false
	})
}
