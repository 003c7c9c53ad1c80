package ownership

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/granter"
	"github.com/cassiasill/cassiasill/internal/peersync"
	"github.com/cassiasill/cassiasill/internal/store"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const (
	// tickInterval is how late a decision can be taken; the time budget
	// allows 50 ms.
	tickInterval = 50 * time.Millisecond
	// heartbeatTimeout frees the single outstanding heartbeat of a server that
	// does not answer, so that the next ones stay on time.
	heartbeatTimeout = 300 * time.Millisecond
	// DefaultConcurrency bounds outstanding heartbeats. It exceeds the servers
	// of the largest availability zone, whose loss must not delay the others.
	DefaultConcurrency = 256
)

// Leadership tells whether this host is the leader.
type Leadership interface {
	LeaderLease(now time.Time) (term topology.Term, until time.Time, ok bool)
	Changed() <-chan struct{}
	ObserveTerm(term topology.Term)
	RecordStoreReachable()
}

// Service is one service whose keys are owned.
type Service struct {
	Name      topology.ServiceName
	Unchecked bool // its servers do not check fencing tokens
	Servers   []topology.Server
}

// Options sets up a Controller. Planner and Eligible may be nil.
type Options struct {
	Self       topology.HostName
	Leadership Leadership
	Granter    granter.Granter
	Store      store.Store
	Bus        peersync.Bus
	Services   []Service
	Planner    Planner
	Eligible   func(topology.ServiceName, topology.ServerName, topology.Range) bool
	Log        *zap.Logger
	Random     rand.Source
	// Concurrency bounds outstanding heartbeats; zero is DefaultConcurrency.
	Concurrency int
}

// Controller runs the ledgers of the terms in which this host leads.
type Controller struct {
	o           Options
	log         *zap.Logger
	assignments assignments
	outstanding atomic.Int64

	mu       sync.Mutex
	random   *rand.Rand
	services map[topology.ServiceName]Service
	runs     []*run
}

// run is one service during one term.
type run struct {
	term topology.Term
	// planTook is the duration of the last planning round; only the run's
	// persisting goroutine uses it.
	planTook time.Duration

	mu        sync.Mutex
	ledger    *Ledger
	stored    *stored // nil until the store was read in this term
	former    *topology.RouteTable
	published topology.Version
	kick      chan struct{}
}

// New returns a Controller.
func New(o Options) *Controller {
	if o.Concurrency == 0 {
		o.Concurrency = DefaultConcurrency
	}
	c := &Controller{o: o, log: o.Log.Named("ownership"), random: rand.New(o.Random), services: make(map[topology.ServiceName]Service)}
	c.assignments = assignments{store: o.Store, newID: c.newID}
	for _, s := range o.Services {
		c.services[s.Name] = s
	}
	return c
}

func (c *Controller) newID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%s-%016x", c.o.Self, c.random.Uint64())
}

// SetServers replaces the servers of a service.
func (c *Controller) SetServers(service topology.ServiceName, servers []topology.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[service]
	s.Servers = slices.Clone(servers)
	c.services[service] = s
	for _, r := range c.runs {
		if r.ledger.service == service {
			r.mu.Lock()
			r.ledger.SetServers(s.Servers)
			r.mu.Unlock()
		}
	}
}

// Run leads whenever this host is the leader, until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := c.o.Leadership.Changed()
		if term, _, ok := c.o.Leadership.LeaderLease(time.Now()); ok {
			c.lead(ctx, term, changed)
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return nil
}

// holds reports whether this host has authority for term at this moment.
func (c *Controller) holds(term topology.Term) bool {
	current, _, ok := c.o.Leadership.LeaderLease(time.Now())
	return ok && current == term
}

// lead runs the services until the term ends.
func (c *Controller) lead(ctx context.Context, term topology.Term, changed <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	kick := make(chan struct{}, 1)
	runs := c.takeOver(term, kick)
	for _, r := range runs {
		group.Go(func() { c.persist(ctx, r) })
	}
	defer c.setRuns(nil)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil && c.holds(term) {
		for _, r := range runs {
			c.tick(ctx, r, &group)
			c.publish(r)
		}
		select {
		case <-ctx.Done():
		case <-changed:
			changed = nil
		case <-ticker.C:
		case <-kick:
		}
	}
}

func (c *Controller) setRuns(runs []*run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs = runs
}

// takeOver starts a ledger for each service from what the bus knows.
func (c *Controller) takeOver(term topology.Term, kick chan struct{}) []*run {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var runs []*run
	for _, service := range c.services {
		o := LedgerOptions{Service: service.Name, Leader: c.o.Self, Term: term, Unchecked: service.Unchecked, Servers: service.Servers}
		if c.o.Eligible != nil {
			o.Eligible = func(s topology.ServerName, r topology.Range) bool { return c.o.Eligible(service.Name, s, r) }
		}
		r := &run{term: term, kick: kick, former: decode[topology.RouteTable](c.o.Bus, routesTopic(service.Name))}
		if a := decode[topology.Assignment](c.o.Bus, assignmentTopic(service.Name)); a != nil && a.Validate() == nil {
			o.Assignment = a
		}
		r.ledger = NewLedger(now, o)
		runs = append(runs, r)
	}
	c.runs = runs
	return runs
}

func routesTopic(s topology.ServiceName) string     { return "routes/" + string(s) }
func assignmentTopic(s topology.ServiceName) string { return "assignment/" + string(s) }

func decode[T any](bus peersync.Bus, name string) *T {
	topic, ok := bus.Get(name)
	if !ok {
		return nil
	}
	var out T
	if json.Unmarshal(topic.Payload, &out) != nil {
		return nil
	}
	return &out
}

// tick takes the decisions that are due and sends the heartbeats.
func (c *Controller) tick(ctx context.Context, r *run, group *conc.WaitGroup) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.ledger.Tick(now)
	for _, server := range r.ledger.Due(now) {
		if c.outstanding.Load() >= int64(c.o.Concurrency) {
			break
		}
		heartbeat := r.ledger.Next(now, server.Name)
		c.outstanding.Add(1)
		group.Go(func() {
			defer c.outstanding.Add(-1)
			c.send(ctx, r, server, heartbeat)
		})
	}
	c.logEvents(r)
	if term := r.ledger.Superseded(); term != 0 {
		group.Go(func() { c.o.Leadership.ObserveTerm(term) })
	}
}

func (c *Controller) logEvents(r *run) {
	for _, e := range r.ledger.Events() {
		e.log(c.log, r.ledger.service)
	}
}

// send sends one heartbeat if this host still has authority.
func (c *Controller) send(ctx context.Context, r *run, server topology.Server, heartbeat granter.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var reply granter.Reply
	err := context.Canceled
	// A pause after this check does no harm: the end that the heartbeat
	// carries is based on a reading from within the authority.
	if c.holds(r.term) {
		reply, err = c.o.Granter.Heartbeat(ctx, server, heartbeat)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.ledger.Failed(server.Name)
		return
	}
	r.ledger.Replied(time.Now(), server.Name, heartbeat, reply)
	if r.ledger.urgent(server.Name) {
		select {
		case r.kick <- struct{}{}:
		default:
		}
	}
}

// publish publishes the routes if they changed.
func (c *Controller) publish(r *run) {
	now := time.Now()
	r.mu.Lock()
	if !r.ledger.routesDirty || !r.ledger.settled(now) {
		r.mu.Unlock()
		return
	}
	r.ledger.routesDirty = false
	version := topology.Version{Term: r.term, Sequence: r.published.Sequence + 1}
	r.published = topology.Version{} // nothing can be confirmed until published
	table := topology.RouteTable{Service: r.ledger.service, Version: version, Routes: r.ledger.Routes(now, r.former)}
	r.mu.Unlock()
	c.publishTopic(routesTopic(table.Service), version, table)
	r.mu.Lock()
	r.published = version
	r.mu.Unlock()
}

func (c *Controller) publishTopic(name string, version topology.Version, value any) {
	payload, err := json.Marshal(value)
	if err != nil {
		c.log.Error("ownership: topic not encoded", zap.String("topic", name), zap.Error(err))
		return
	}
	c.o.Bus.Publish(peersync.Topic{Name: name, Version: version, Payload: payload})
}

// Confirm returns the version of the newest routes of service if this host has
// authority and they show every decision taken. A host whose servers do not
// check may act under that version for topology.RouteTableValidity from before
// it asked the leader; a copy at another host confirms nothing.
func (c *Controller) Confirm(service topology.ServiceName) (topology.Version, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.runs {
		if r.ledger.service != service {
			continue
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.published, !r.ledger.routesDirty && !r.published.IsZero() && c.holds(r.term)
	}
	return topology.Version{}, false
}

// Status describes the services that this host leads; it is empty on others.
func (c *Controller) Status() []ServiceStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []ServiceStatus
	for _, r := range c.runs {
		r.mu.Lock()
		out = append(out, r.ledger.Status(time.Now()))
		r.mu.Unlock()
	}
	return out
}
