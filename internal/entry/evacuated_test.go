package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control"
	"github.com/cassiasill/cassiasill/internal/dispatch"
	"github.com/cassiasill/cassiasill/internal/exchange"
	"github.com/cassiasill/cassiasill/internal/ratelimit"
	"github.com/cassiasill/cassiasill/internal/registry"
	"github.com/cassiasill/cassiasill/internal/routes"
	"github.com/cassiasill/cassiasill/internal/shards"
)

// evacuate gives a host a snapshot in which the zones of the servers at the addresses
// are evacuated. Without addresses, none is.
func (p *testHost) evacuate(addresses ...string) {
	pools := p.handler.ServerPools
	next := *pools.lastSnapshot
	servers, zones := make(map[string]registry.Server), make(map[string]control.Evacuation)
	for id, s := range next.Servers.Servers {
		s.AvailabilityZone = "zone-" + id
		servers[id] = s
		for _, address := range addresses {
			if s.Address == address {
				zones[s.AvailabilityZone] = control.Evacuation{Revision: 2}
			}
		}
	}
	next.Servers = registry.NewList(servers)
	next.Evacuations = control.NewEvacuations(3, zones)
	pools.Update(&next)
}

// Guards against a request that is written to a server of an evacuated zone because the
// host learned of the evacuation while it opened the connection, and against servers
// that get no requests after the end of the evacuation.
func TestRequestIsNotSentToAnEvacuatedServer(t *testing.T) {
	var p *testHost
	var once sync.Once
	var evacuated atomic.Value
	var mistaken atomic.Int64
	served := make(chan string, 1000)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := exchange.Dial(ctx, network, address)
		once.Do(func() {
			evacuated.Store(address)
			p.evacuate(address)
		})
		return c, err
	}
	serve := func(w http.ResponseWriter, r *http.Request) {
		address := r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
		if address == evacuated.Load() {
			mistaken.Add(1)
		}
		served <- address
		respondOK(w, r)
	}
	p = newTestHostWith(t, testHostOptions{dial: dial}, serve, serve)
	for range 20 {
		status, body, _, err := p.do(t, "GET", "/unsafe/x", "")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK, body)
	}
	assert.Equal(t, mistaken.Load(), int64(0))

	all := []string{evacuated.Load().(string), <-served}
	p.evacuate(all...)
	before := p.executions.Load()
	started := time.Now()
	status, _, header, err := p.do(t, "GET", "/safe/x", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, header.Get("Retry-After") != "" && time.Since(started) < 500*time.Millisecond)
	assert.Equal(t, p.executions.Load(), before)

	p.evacuate()
	p.evacuate(all[1])
	evacuated.Store(all[1])
	status, body, _, err := p.do(t, "GET", "/safe/x", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK, body)
	assert.Equal(t, mistaken.Load(), int64(0))
}

// Guards against requests for keys that do not go to the owner while it may have them,
// go there later, or wait although all servers of the service are evacuated, and against
// requests without keys for an owner.
func TestEvacuatedOwnerGetsItsKeysForATime(t *testing.T) {
	now := boottime.Instant(time.Hour)
	local, central := dispatch.NewDispatcher(), dispatch.NewDispatcher()
	pools := NewServerPools(&headerNames, exchange.Dial, local, central, nil, func() boottime.Instant { return now })
	servers := map[string]registry.Server{}
	for _, id := range []string{"a", "b"} {
		servers[id] = registry.Server{ID: id, Service: "svc", Address: "127.0.0.1:1", Slots: 2, Incarnation: 1, AvailabilityZone: "zone-" + id}
	}
	snapshot := func(zones ...string) *control.Snapshot {
		evacuated := make(map[string]control.Evacuation)
		for _, zone := range zones {
			evacuated[zone] = control.Evacuation{Revision: 2, KeysUntil: now.Add(time.Second)}
		}
		return &control.Snapshot{Config: routes.NewConfig(1, 1, []routes.Service{{Name: "svc", HasKeyOwners: true}}, routes.Limits{}, nil), Servers: registry.NewList(servers), HostCount: 1,
			Assignments: map[string]*shards.Assignment{"svc": {Version: 1, Ranges: []shards.Range{{From: 0, To: 65535, Owner: "a", Incarnation: 1, Token: 1}}}},
			Evacuations: control.NewEvacuations(3, evacuated)}
	}
	ask := func(position int) string {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		decision, _ := central.Acquire(ctx, dispatch.Request{Service: "svc", Position: position, Work: time.Millisecond,
			Target: central.Now().Add(50 * time.Millisecond), Deadline: central.Now().Add(100 * time.Millisecond)})
		return decision.Server + string(decision.Reason)
	}
	owner := ratelimit.Server{ID: "a", Service: "svc", Incarnation: 1}
	pools.Update(snapshot("zone-a"))
	assert.Equal(t, ask(7), "a")
	assert.Equal(t, ask(dispatch.NoPosition), "b")
	assert.Assert(t, pools.isUsable(owner, true) && !pools.isUsable(owner, false))
	now = now.Add(time.Second)
	assert.Equal(t, ask(7), "no-owner")
	assert.Assert(t, !pools.isUsable(owner, true))
	pools.Update(snapshot("zone-a", "zone-b"))
	assert.Equal(t, ask(7), "no-owner")
	assert.Equal(t, ask(dispatch.NoPosition), "no-server")
	assert.Assert(t, !pools.isUsable(owner, true))
	pools.Update(snapshot())
	assert.Equal(t, ask(7), "a")
	assert.Assert(t, pools.isUsable(owner, false))
}
