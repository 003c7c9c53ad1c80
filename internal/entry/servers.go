package entry

import (
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/cassiasill/cassiasill/internal/control"
	"github.com/cassiasill/cassiasill/internal/dispatch"
	"github.com/cassiasill/cassiasill/internal/exchange"
	"github.com/cassiasill/cassiasill/internal/registry"
	"github.com/cassiasill/cassiasill/internal/shards"
)

// Waits that callers are told while a key has no usable owner.
const (
	// movingWait is about the time of a planned move.
	movingWait = 150 * time.Millisecond
	// lostWait is about the time until the grants of a lost server run out.
	lostWait = 2500 * time.Millisecond
)

// centralExtra is how many requests a server may hold beyond its slots, so that
// it has work while the end of a request is on its way to the dispatcher.
const centralExtra = 1

// Servers keeps the connections to the servers that requests may go to, and
// tells the dispatcher about them.
type Servers struct {
	headers *exchange.Headers
	dial    exchange.DialFunc
	// local places this host's requests with its share of each server; central
	// places all hosts' requests of the services that the leader gave it.
	local, central *dispatch.Dispatcher
	opened         func()
	background     conc.WaitGroup

	mu    sync.Mutex
	pools map[string]*serverPool // by server ID
	last  *control.Snapshot      // that was followed
}

type serverPool struct {
	pool    *exchange.Pool
	address string
	born    int64
}

// NewServers returns Servers without any server.
func NewServers(headers *exchange.Headers, dial exchange.DialFunc, local, central *dispatch.Dispatcher, opened func()) *Servers {
	return &Servers{headers: headers, dial: dial, local: local, central: central, opened: opened, pools: make(map[string]*serverPool)}
}

// Pool returns the connections to a server and the instance it must be.
func (s *Servers) Pool(id string) (pool *exchange.Pool, instance string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[id]
	if p == nil {
		return nil, "", false
	}
	return p.pool, id, true
}

// Update follows a new snapshot. Calls must not overlap.
func (s *Servers) Update(snapshot *control.Snapshot) {
	if snapshot.Servers == nil || snapshot.Config == nil {
		return
	}
	last := s.last
	s.last = snapshot
	if last != nil && last.Servers == snapshot.Servers && last.Config == snapshot.Config && last.Hosts == snapshot.Hosts {
		s.updateOwners(last, snapshot)
		return
	}
	if last == nil || last.Servers != snapshot.Servers {
		s.updatePools(snapshot.Servers)
	}
	byService := make(map[string][]dispatch.Server)
	for _, server := range snapshot.Servers.Servers {
		if server.Draining {
			continue
		}
		byService[server.Service] = append(byService[server.Service], dispatch.Server{ID: server.ID, Zone: server.AvailabilityZone,
			Slots: server.Slots, Speed: server.Speed, Warmup: server.Warmup})
	}
	hosts := snapshot.Hosts
	if hosts < 1 {
		hosts = assumedHosts
	}
	share := 1 / float64(hosts)
	for name, service := range snapshot.Config.Services {
		var owner func(int) dispatch.OwnerState
		if service.KeyOwned {
			owner = ownerOf(snapshot, snapshot.Shards[name])
		}
		s.local.SetService(name, share, 0, owner, byService[name])
		s.central.SetService(name, 1, centralExtra, owner, byService[name])
	}
}

// updateOwners follows changes of owners, which in a large deployment are many
// times as frequent as those of servers.
func (s *Servers) updateOwners(last, snapshot *control.Snapshot) {
	for name, a := range snapshot.Shards {
		if service := snapshot.Config.Services[name]; !service.KeyOwned || last.Shards[name] == a {
			continue
		}
		owner := ownerOf(snapshot, a)
		s.local.SetOwner(name, owner)
		s.central.SetOwner(name, owner)
	}
}

// ownerOf returns a function that finds the owner of a position.
func ownerOf(snapshot *control.Snapshot, a *shards.Assignment) func(position int) dispatch.OwnerState {
	return func(position int) dispatch.OwnerState {
		if a == nil {
			return dispatch.OwnerState{Moving: true, Wait: lostWait}
		}
		r := a.Find(uint16(position))
		server, listed := snapshot.Servers.Servers[r.Owner]
		switch {
		case !listed || server.Born != r.Born:
			return dispatch.OwnerState{Moving: true, Wait: lostWait}
		case !r.Held() || server.Draining:
			return dispatch.OwnerState{Moving: true, Wait: movingWait}
		}
		return dispatch.OwnerState{Server: r.Owner}
	}
}

func (s *Servers) updatePools(list *registry.List) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, p := range s.pools {
		server, ok := list.Servers[id]
		if !ok || server.Draining || server.Address != p.address || server.Born != p.born {
			p.pool.Close()
			delete(s.pools, id)
		}
	}
	for id, server := range list.Servers {
		if server.Draining || s.pools[id] != nil {
			continue
		}
		s.pools[id] = &serverPool{address: server.Address, born: server.Born,
			pool: exchange.NewPool(server.Address, s.headers, s.dial, &s.background, s.opened)}
	}
}

// Sweep closes connections that were idle for too long.
func (s *Servers) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		p.pool.Sweep(now)
	}
}
