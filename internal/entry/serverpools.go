package entry

import (
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control"
	"github.com/cassiasill/cassiasill/internal/dispatch"
	"github.com/cassiasill/cassiasill/internal/exchange"
	"github.com/cassiasill/cassiasill/internal/ratelimit"
	"github.com/cassiasill/cassiasill/internal/registry"
	"github.com/cassiasill/cassiasill/internal/routes"
	"github.com/cassiasill/cassiasill/internal/shards"
)

// Estimates of how long a key stays without a usable owner.
const (
	// movingOwnerWait is the approximate time of a planned move.
	movingOwnerWait = 150 * time.Millisecond
	// lostOwnerWait is the approximate time until the grants of a lost server expire.
	lostOwnerWait = 2500 * time.Millisecond
)

// centralExtraSlots is how many requests the central dispatcher sends to a server
// beyond its slots, so that the server has work while the completion of a request
// is on its way to the dispatcher.
const centralExtraSlots = 1

// ServerPools keeps a connection pool for each server that may get requests, and
// updates the dispatchers with the servers and owners of each snapshot.
type ServerPools struct {
	headerNames *exchange.HeaderNames
	dial        exchange.DialFunc
	// local places this host's requests within its share of each server. central
	// places the requests of all hosts for the services that the leader assigned
	// to this host.
	local, central     *dispatch.Dispatcher
	onConnectionOpened func()
	clock              boottime.Clock // that of the snapshots
	budget             exchange.Budget
	background         conc.WaitGroup

	mu           sync.Mutex
	pools        map[string]*serverPool // by server ID
	lastSnapshot *control.Snapshot      // last one passed to Update
	// evacuated holds the services all of whose servers are in evacuated zones.
	evacuated map[string]bool
}

// serverPool is the connection pool of one incarnation of a server.
type serverPool struct {
	pool    *exchange.Pool
	address string
	server  ratelimit.Server
	// keysOnly is true if the server is in an evacuated zone. It then gets requests for
	// the keys that it holds until keysUntil, and no others.
	keysOnly  bool
	keysUntil boottime.Instant
}

// NewServerPools returns an empty set of pools. onConnectionOpened, if not nil, is
// called for each new connection. The clock is that of the snapshots.
func NewServerPools(headerNames *exchange.HeaderNames, dial exchange.DialFunc, local, central *dispatch.Dispatcher, onConnectionOpened func(), clock boottime.Clock) *ServerPools {
	return &ServerPools{headerNames: headerNames, dial: dial, local: local, central: central, onConnectionOpened: onConnectionOpened, clock: clock, pools: make(map[string]*serverPool)}
}

// SetBudget sets the budget of which pools take the bytes of buffered responses. It must be
// called before the first Update.
func (s *ServerPools) SetBudget(budget exchange.Budget) { s.budget = budget }

// Pool returns the connection pool of a server and the incarnation that it connects
// to.
func (s *ServerPools) Pool(id string) (pool *exchange.Pool, server ratelimit.Server, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[id]
	if p == nil {
		return nil, ratelimit.Server{}, false
	}
	return p.pool, p.server, true
}

// isUsable reports whether the process of the server is listed and takes requests, with
// or without a key.
func (s *ServerPools) isUsable(server ratelimit.Server, hasKey bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[server.ID]
	return p != nil && p.server == server && (!p.keysOnly || hasKey && !s.evacuated[server.Service] && s.clock() < p.keysUntil)
}

// isReplaced reports whether another process of the server is listed.
func (s *ServerPools) isReplaced(server ratelimit.Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[server.ID]
	return p != nil && p.server != server
}

// Update applies a new snapshot. It is not safe for concurrent use.
func (s *ServerPools) Update(snapshot *control.Snapshot) {
	if snapshot.Servers == nil || snapshot.Config == nil {
		return
	}
	previous := s.lastSnapshot
	s.lastSnapshot = snapshot
	sameZones := previous != nil && previous.Evacuations.Digest() == snapshot.Evacuations.Digest()
	if sameZones && previous.Servers == snapshot.Servers && previous.Config == snapshot.Config && previous.HostCount == snapshot.HostCount {
		s.updateOwners(previous, snapshot)
		return
	}
	if !sameZones || previous.Servers != snapshot.Servers {
		s.updatePools(snapshot)
	}
	byService := make(map[string][]dispatch.Server)
	for _, server := range snapshot.Servers.Servers {
		if server.Draining {
			continue
		}
		entry := dispatchServer(server, snapshot.Config.Services[server.Service].Warmup)
		entry.KeysOnly = !snapshot.TakesNewRequests(server)
		byService[server.Service] = append(byService[server.Service], entry)
	}
	hosts := snapshot.HostCount
	if hosts < 1 {
		hosts = defaultHosts
	}
	share := 1 / float64(hosts)
	for name, service := range snapshot.Config.Services {
		var owner func(int) dispatch.OwnerState
		if service.HasKeyOwners {
			owner = s.ownerLookup(snapshot, snapshot.Assignments[name], s.evacuated[name])
		}
		s.local.SetService(name, share, 0, owner, byService[name])
		s.central.SetService(name, 1, centralExtraSlots, owner, byService[name])
	}
}

// dispatchServer returns what a dispatcher is told of a server, given what the service's
// servers bear while they are cold.
func dispatchServer(server registry.Server, warmup routes.Warmup) dispatch.Server {
	out := dispatch.Server{ID: server.ID, Zone: server.AvailabilityZone, Slots: server.Slots, Speed: server.Speed,
		Incarnation: server.Incarnation, Warmup: server.Warmup, WarmupRate: warmup.Rate, WarmupMax: warmup.MaxPerSecond}
	if warmup.Rate > 0 && warmup.Duration > 0 {
		out.Warmup = min(out.Warmup, warmup.Duration)
	}
	return out
}

// updateOwners applies changed owners only, which in a large deployment change
// far more often than the servers.
func (s *ServerPools) updateOwners(previous, snapshot *control.Snapshot) {
	for name, assignment := range snapshot.Assignments {
		if service := snapshot.Config.Services[name]; !service.HasKeyOwners || previous.Assignments[name] == assignment {
			continue
		}
		owner := s.ownerLookup(snapshot, assignment, s.evacuated[name])
		s.local.SetOwner(name, owner)
		s.central.SetOwner(name, owner)
	}
}

// ownerLookup returns a function that finds the owner of a key position. If all servers
// of the service are evacuated, there is no owner and none to wait for.
func (s *ServerPools) ownerLookup(snapshot *control.Snapshot, assignment *shards.Assignment, evacuated bool) func(position int) dispatch.OwnerState {
	return func(position int) dispatch.OwnerState {
		if evacuated {
			return dispatch.OwnerState{}
		}
		if assignment == nil {
			return dispatch.OwnerState{Moving: true, ExpectedWait: lostOwnerWait}
		}
		r := assignment.FindRange(uint16(position))
		server, listed := snapshot.Servers.Servers[r.Owner]
		switch {
		case !listed || server.Incarnation != r.Incarnation:
			return dispatch.OwnerState{Moving: true, ExpectedWait: lostOwnerWait}
		case !r.Held() || !snapshot.TakesNewRequests(server) && s.clock() >= snapshot.TakesKeysUntil(server):
			return dispatch.OwnerState{Moving: true, ExpectedWait: movingOwnerWait}
		}
		return dispatch.OwnerState{Server: r.Owner}
	}
}

// updatePools closes the pools of servers that are gone, draining, moved or
// restarted, and opens pools for new ones. Servers in evacuated zones keep theirs: they
// have requests in flight, and the evacuation may be withdrawn.
func (s *ServerPools) updatePools(snapshot *control.Snapshot) {
	list := snapshot.Servers
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuated = snapshot.FullyEvacuated()
	for id, p := range s.pools {
		server, ok := list.Servers[id]
		if !ok || server.Draining || server.Address != p.address || server.Incarnation != p.server.Incarnation {
			p.pool.Close()
			delete(s.pools, id)
		}
	}
	for id, server := range list.Servers {
		if server.Draining || s.pools[id] != nil {
			continue
		}
		pool := exchange.NewPool(server.Address, s.headerNames, s.dial, &s.background, s.onConnectionOpened)
		pool.SetBudget(s.budget)
		s.pools[id] = &serverPool{address: server.Address, server: ratelimit.Server{ID: id, Service: server.Service, Incarnation: server.Incarnation}, pool: pool}
	}
	for id, p := range s.pools {
		p.keysOnly, p.keysUntil = !snapshot.TakesNewRequests(list.Servers[id]), snapshot.TakesKeysUntil(list.Servers[id])
	}
}

// CloseExpiredConns closes connections that have been idle for too long.
func (s *ServerPools) CloseExpiredConns(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		p.pool.CloseExpiredConns(now)
	}
}

// CloseIdleConns closes all idle connections. They are of no use once the path to the
// servers has changed: they hang during a cut, and take a detour after it.
func (s *ServerPools) CloseIdleConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		p.pool.CloseIdleConns()
	}
}
