package placing

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/cassiasill/cassiasill/internal/dispatch"
	"github.com/cassiasill/cassiasill/internal/exchange"
)

// Placer finds servers for this host's requests.
type Placer struct {
	self string // own address as a dispatcher
	dial exchange.DialFunc
	// local places with this host's share of each server; central places for
	// all hosts.
	local, central *dispatch.Dispatcher
	group          conc.WaitGroup

	mu          sync.Mutex
	dispatchers map[string]string // by service
	clients     map[string]*client
}

// Ticket is the place of a request at a server.
type Ticket struct {
	service string
	number  uint64
	owner   *dispatch.Dispatcher // or
	link    *link
}

// NewPlacer returns a Placer that places everything locally until it is told of
// dispatchers.
func NewPlacer(self string, dial exchange.DialFunc, local, central *dispatch.Dispatcher) *Placer {
	return &Placer{self: self, dial: dial, local: local, central: central, clients: make(map[string]*client)}
}

// SetDispatchers tells which host places the requests of each service.
func (p *Placer) SetDispatchers(dispatchers map[string]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if maps.Equal(p.dispatchers, dispatchers) {
		return
	}
	p.dispatchers = maps.Clone(dispatchers)
	used := make(map[string]bool)
	for _, address := range dispatchers {
		used[address] = true
		if p.clients[address] == nil && address != p.self {
			p.clients[address] = newClient(address, p.dial, &p.group)
			p.clients[address].ready()
		}
	}
	for address, c := range p.clients {
		if !used[address] {
			delete(p.clients, address)
			c.close()
		}
	}
}

// At converts a time to the one of targets and deadlines.
func (p *Placer) At(t time.Time) dispatch.Instant { return p.local.At(t) }

// Acquire waits for a server. After a decision that names a server, Release
// must be called with the Ticket.
func (p *Placer) Acquire(ctx context.Context, ask dispatch.Ask) (dispatch.Decision, Ticket) {
	p.mu.Lock()
	address := p.dispatchers[ask.Service]
	c := p.clients[address]
	p.mu.Unlock()
	if address == p.self && address != "" {
		// The two dispatchers count time from different starts.
		shift := p.central.Now().Sub(p.local.Now())
		ask.Target, ask.Deadline = ask.Target.Add(shift), ask.Deadline.Add(shift)
		return acquireFrom(ctx, p.central, ask)
	}
	if c != nil && c.ready() {
		if decision, l, ok := c.acquire(ctx, p.local.Now(), ask); ok {
			return decision, Ticket{service: ask.Service, number: decision.ID, link: l}
		}
	}
	return acquireFrom(ctx, p.local, ask)
}

func acquireFrom(ctx context.Context, d *dispatch.Dispatcher, ask dispatch.Ask) (dispatch.Decision, Ticket) {
	decision, number := d.Acquire(ctx, ask)
	return decision, Ticket{service: ask.Service, number: number, owner: d}
}

// Release tells how the request ended.
func (p *Placer) Release(t Ticket, result dispatch.Result) {
	switch {
	case t.owner != nil:
		t.owner.Release(t.service, t.number, result)
	case t.link != nil:
		done(t.link, t.number, result)
	}
}

// Close ends the connections to dispatchers.
func (p *Placer) Close() {
	p.SetDispatchers(nil)
	p.group.Wait()
}
