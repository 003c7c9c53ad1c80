package placing

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/cassiasill/cassiasill/internal/dispatch"
	"github.com/cassiasill/cassiasill/internal/exchange"
	"github.com/cassiasill/cassiasill/internal/ratelimit"
)

// Placer acquires servers for this host's requests, from the dispatcher of the
// service or, if that can't be reached, from a local one.
type Placer struct {
	selfAddress string // address of this host's central dispatcher
	dial        exchange.DialFunc
	// local chooses servers for this host alone, with its share of their slots.
	// central chooses for all hosts, for services whose dispatcher is this host.
	local, central *dispatch.Dispatcher
	limits         *ratelimit.Table
	group          conc.WaitGroup

	mu                  sync.Mutex
	dispatcherAddresses map[string]string // by service
	clients             map[string]*client
}

// AcquiredSlot identifies the slot of a request at a server. Either dispatcher or
// conn is set, depending on whether the slot was acquired in this process or over a
// connection.
type AcquiredSlot struct {
	service    string
	server     string
	id         uint64
	dispatcher *dispatch.Dispatcher
	conn       *frameConn
}

// NewPlacer returns a Placer that uses the local dispatcher for all services until
// SetDispatchers is called. Both dispatchers follow the limits of the table.
func NewPlacer(self string, dial exchange.DialFunc, local, central *dispatch.Dispatcher, limits *ratelimit.Table) *Placer {
	limits.OnChange(func(limit ratelimit.Limit) {
		local.SetRateLimit(limit.ID, limit.Rate)
		central.SetRateLimit(limit.ID, limit.Rate)
	})
	return &Placer{selfAddress: self, dial: dial, local: local, central: central, limits: limits, clients: make(map[string]*client)}
}

// SetDispatchers sets the dispatcher's address for each service.
func (p *Placer) SetDispatchers(dispatchers map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if maps.Equal(p.dispatcherAddresses, dispatchers) {
		return
	}
	for service, address := range dispatchers {
		if address == p.selfAddress && p.dispatcherAddresses[service] != p.selfAddress {
			p.central.TakeOver(service)
		}
	}
	p.dispatcherAddresses = maps.Clone(dispatchers)
	used := make(map[string]bool)
	for _, address := range dispatchers {
		used[address] = true
		if p.clients[address] == nil && address != p.selfAddress {
			p.clients[address] = newClient(address, p.dial, &p.group, p.limits)
			p.clients[address].ensureConnected()
		}
	}
	for address, c := range p.clients {
		if !used[address] {
			delete(p.clients, address)
			c.close()
		}
	}
}

// DispatchesRemotely reports whether another host dispatches the requests of the
// service.
func (p *Placer) DispatchesRemotely(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	address := p.dispatcherAddresses[service]
	return address != "" && address != p.selfAddress
}

// At converts a time to an Instant for targets and deadlines.
func (p *Placer) At(t time.Time) dispatch.Instant { return p.local.At(t) }

// Acquire waits for a server for the request. After a decision that names a
// server, Release must be called with the AcquiredSlot.
func (p *Placer) Acquire(ctx context.Context, request dispatch.Request) (dispatch.Decision, AcquiredSlot) {
	var retryAfter time.Duration // when a server that was out of turn can be used
	for {
		decision, slot := p.acquire(ctx, request)
		slot.server = decision.Server
		if retryAfter > 0 && decision.Reason == dispatch.ReasonNoServer {
			decision.Reason, decision.RetryAfter = dispatch.ReasonRateLimited, retryAfter
		}
		if decision.Server == "" || slot.conn == nil || slot.conn.pacesRequests.Load() && slot.conn.pacesWarmups.Load() {
			return decision, slot
		}
		// The dispatcher runs a build that does not know rate limits, or does not know
		// the pace of cold servers.
		coldOnly := slot.conn.pacesRequests.Load()
		wait, ok := p.local.TakeTurn(request.Service, decision.Server, coldOnly)
		if ok {
			return decision, slot
		}
		p.Release(slot, dispatch.Result{Outcome: dispatch.Abandoned})
		if request.Position != dispatch.NoPosition {
			return dispatch.Decision{Reason: dispatch.ReasonRateLimited, RetryAfter: wait, QueueTime: decision.QueueTime}, AcquiredSlot{}
		}
		retryAfter = wait
		// Many servers may be cold: to learn of them one by one would take a round trip
		// each. The dispatcher counts what is excluded, so nothing may be named twice.
		excluded := append(slices.Clone(request.Exclude), decision.Server)
		excluded = append(excluded, p.local.OutOfTurn(request.Service, coldOnly)...)
		slices.Sort(excluded)
		request.Exclude = slices.Compact(excluded)
	}
}

// Dispatches reports whether this host dispatches the requests of the service.
func (p *Placer) Dispatches(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.selfAddress != "" && p.dispatcherAddresses[service] == p.selfAddress
}

// acquire is Acquire without regard to rate limits that the dispatcher does not know.
func (p *Placer) acquire(ctx context.Context, request dispatch.Request) (dispatch.Decision, AcquiredSlot) {
	p.mu.Lock()
	address := p.dispatcherAddresses[request.Service]
	c := p.clients[address]
	p.mu.Unlock()
	if address == p.selfAddress && address != "" {
		// The instants of the two dispatchers count from different epochs.
		epochOffset := p.central.Now().Sub(p.local.Now())
		request.Target, request.Deadline = request.Target.Add(epochOffset), request.Deadline.Add(epochOffset)
		return acquireFrom(ctx, p.central, request)
	}
	if c != nil && c.ensureConnected() {
		if decision, fc, ok := c.acquire(ctx, p.local.Now(), request); ok {
			return decision, AcquiredSlot{service: request.Service, id: decision.ID, conn: fc}
		}
	}
	return acquireFrom(ctx, p.local, request)
}

// acquireFrom acquires a server from a dispatcher in this process.
func acquireFrom(ctx context.Context, d *dispatch.Dispatcher, request dispatch.Request) (dispatch.Decision, AcquiredSlot) {
	decision, id := d.Acquire(ctx, request)
	return decision, AcquiredSlot{service: request.Service, id: id, dispatcher: d}
}

// Release frees the slot of a request and reports how the request ended.
func (p *Placer) Release(t AcquiredSlot, result dispatch.Result) {
	switch {
	case t.dispatcher != nil:
		t.dispatcher.Release(t.service, t.id, result)
	case t.conn != nil:
		sendDone(t.conn, t.id, result, p.limits.Get(t.server))
	}
}

// Close closes the connections to dispatchers and waits for their goroutines.
func (p *Placer) Close() {
	p.SetDispatchers(nil)
	p.group.Wait()
}
