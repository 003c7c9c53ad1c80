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

// Snapshot is what a host knows at one moment. It is immutable.
type Snapshot struct {
	Config *routes.Config
	// ConfigRaw is the configuration as the store holds it.
	ConfigRaw []byte
	Servers   *registry.List
	Shards    map[string]*shards.Assignment
	// Blocked holds the fingerprints of requests that crash servers.
	Blocked map[string]bool
	// Dispatchers names the host that places the requests of each service.
	Dispatchers map[string]string
	// Hosts is the number of hosts that share the work; 0 if unknown.
	Hosts int
	// ConfigAt and ServersAt are when the store last confirmed them.
	ConfigAt  boottime.Instant
	ServersAt boottime.Instant
	// ServersRevision is the store's revision up to which Servers has followed;
	// 0 if unknown.
	ServersRevision int64
	// Term is the leader's term; Generation counts the changes of this view.
	Term       int64
	Generation uint64
}

// Known reports whether requests can be routed.
func (s *Snapshot) Known() bool {
	if s.Config == nil || s.Servers == nil {
		return false
	}
	for _, service := range s.Config.Services {
		if service.KeyOwned && s.Shards[service.Name] == nil {
			return false
		}
	}
	return true
}

// View is a host's current Snapshot. Changes only move it forward.
type View struct {
	current atomic.Pointer[Snapshot]

	mu       sync.Mutex
	changed  chan struct{}
	onChange []func(*Snapshot)
	draining map[string]int64 // servers seen leaving, with the life
}

// NewView returns a View that knows nothing.
func NewView() *View {
	v := &View{changed: make(chan struct{}), draining: make(map[string]int64)}
	v.current.Store(&Snapshot{Shards: map[string]*shards.Assignment{}})
	return v
}

// NewStaticView returns a View of one Snapshot, for hosts without a store.
func NewStaticView(snapshot Snapshot) *View {
	v := NewView()
	v.current.Store(&snapshot)
	return v
}

// Load returns the current Snapshot.
func (v *View) Load() *Snapshot { return v.current.Load() }

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// OnChange calls f after each change, and once now. Calls are serialized.
func (v *View) OnChange(f func(*Snapshot)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.onChange = append(v.onChange, f)
	f(v.current.Load())
}

// update applies change to a copy of the current Snapshot. Only a change that
// returns true is announced; a confirmation of what is known is not news.
func (v *View) update(change func(next *Snapshot) bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := *v.current.Load()
	news := change(&next)
	if news {
		next.Generation++
	}
	v.current.Store(&next)
	if !news {
		return
	}
	close(v.changed)
	v.changed = make(chan struct{})
	for _, f := range v.onChange {
		f(&next)
	}
}

// setConfig takes a configuration that the store held at the given instant.
func (v *View) setConfig(config *routes.Config, raw []byte, at boottime.Instant) {
	v.update(func(next *Snapshot) bool {
		next.ConfigAt = max(next.ConfigAt, at)
		if config == nil || next.Config != nil && config.Revision <= next.Config.Revision {
			return false
		}
		next.Config, next.ConfigRaw = config, raw
		return true
	})
}

// confirmServers notes that the store still held the list at the given instant
// and revision.
func (v *View) confirmServers(at boottime.Instant, revision int64) {
	v.update(func(next *Snapshot) bool {
		next.ServersAt = max(next.ServersAt, at)
		next.ServersRevision = max(next.ServersRevision, revision)
		return false
	})
}

// setServers takes a list that the store held at the given instant and revision,
// unless a newer one is known. A server that was seen leaving stays so, whatever
// another reader has seen.
func (v *View) setServers(list *registry.List, at boottime.Instant, revision int64) {
	v.update(func(next *Snapshot) bool {
		if at < next.ServersAt {
			return false
		}
		next.ServersAt, next.ServersRevision = at, revision
		list = v.keepLeaving(list)
		if next.Servers != nil && next.Servers.Digest == list.Digest {
			return false
		}
		next.Servers = list
		return true
	})
}

// keepLeaving returns the list with every server that was seen leaving marked
// so.
func (v *View) keepLeaving(list *registry.List) *registry.List {
	var forgotten []registry.Server
	leaving := make(map[string]int64)
	for id, s := range list.Servers {
		if born, left := v.draining[id]; left && born == s.Born && !s.Draining {
			s.Draining = true
			forgotten = append(forgotten, s)
		}
		if s.Draining {
			leaving[id] = s.Born
		}
	}
	maps.Copy(v.draining, leaving)
	if len(forgotten) == 0 {
		return list
	}
	return list.WithChanges(forgotten, nil)
}

// setShards takes an assignment if it is newer.
func (v *View) setShards(service string, a *shards.Assignment) {
	v.update(func(next *Snapshot) bool {
		if old := next.Shards[service]; old != nil && a.Version <= old.Version {
			return false
		}
		next.Shards = maps.Clone(next.Shards)
		next.Shards[service] = a
		return true
	})
}

// setBlocked replaces the blocked fingerprints.
func (v *View) setBlocked(blocked map[string]bool) {
	v.update(func(next *Snapshot) bool {
		if maps.Equal(next.Blocked, blocked) {
			return false
		}
		next.Blocked = blocked
		return true
	})
}

// setHosts notes how many hosts share the work, and who places requests.
func (v *View) setHosts(hosts int, dispatchers map[string]string) {
	v.update(func(next *Snapshot) bool {
		if next.Hosts == hosts && maps.Equal(next.Dispatchers, dispatchers) {
			return false
		}
		next.Hosts, next.Dispatchers = hosts, dispatchers
		return true
	})
}

// setTerm notes the leader's term.
func (v *View) setTerm(term int64) {
	v.update(func(next *Snapshot) bool {
		next.Term = max(next.Term, term)
		return false
	})
}
