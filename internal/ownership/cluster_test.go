package ownership

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/granter"
	"github.com/cassiasill/cassiasill/internal/hostlist"
	"github.com/cassiasill/cassiasill/internal/invariant"
	"github.com/cassiasill/cassiasill/internal/leadership"
	"github.com/cassiasill/cassiasill/internal/peer/peerpb"
	"github.com/cassiasill/cassiasill/internal/store"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const (
	testService = topology.ServiceName("inventario")
	linkDelay   = time.Millisecond
	// unservedTarget is the longest time a key may go unserved after a loss.
	unservedTarget = 3 * time.Second
)

// host is one host of the cluster under test.
type host struct {
	elector    *leadership.Elector
	controller *Controller
	bus        *fakeBus
	cancel     context.CancelFunc
	done       chan struct{}
}

// cluster runs hosts against fake servers, a fake store and a network that can
// be cut. Everything runs on the virtual clock of synctest.
type cluster struct {
	t       *testing.T
	start   time.Time
	store   *fakeStore
	checker *invariant.OwnerChecker
	servers []topology.Server
	hosts   hostlist.Static
	planner Planner

	mu       sync.Mutex
	running  map[topology.HostName]*host
	machines map[topology.ServerName]*fakeServer
	queued   map[topology.ServerName][]func() // heartbeats read on return
	down     map[string]bool                  // crashed or frozen servers
	cut      map[string]bool                  // hosts or links "a>b" cut off
	paused   map[topology.HostName]bool
	worst    time.Duration
	lastOK   map[topology.Hash]time.Time
	reason   string
	decoded  map[topology.HostName]*topology.RouteTable
	step     time.Duration // of sampling and replication
}

func zone(i int) topology.AvailabilityZone {
	return topology.AvailabilityZone([]string{"santa-fe", "rafaela", "reconquista"}[i%3])
}

// newCluster starts five hosts and n servers in three availability zones and
// waits until every key is served.
func newCluster(t *testing.T, n int, unchecked bool, planner Planner) *cluster {
	c := &cluster{
		t: t, start: time.Now(), store: newFakeStore(), checker: invariant.NewOwnerChecker(), planner: planner,
		running: make(map[topology.HostName]*host), machines: make(map[topology.ServerName]*fakeServer),
		queued: make(map[topology.ServerName][]func()), down: make(map[string]bool), cut: make(map[string]bool),
		paused: make(map[topology.HostName]bool), lastOK: make(map[topology.Hash]time.Time),
		decoded: make(map[topology.HostName]*topology.RouteTable), step: 10 * time.Millisecond,
	}
	for i := range n {
		s := topology.Server{Name: topology.ServerName(fmt.Sprintf("s%02d", i)), Service: testService, AvailabilityZone: zone(i)}
		c.servers = append(c.servers, s)
		c.machines[s.Name] = &fakeServer{incarnation: "1"}
	}
	for i := range 6 {
		c.hosts = append(c.hosts, topology.Host{Name: topology.HostName(fmt.Sprintf("h%d", i)), AvailabilityZone: zone(i)})
	}
	for _, h := range c.hosts[:5] {
		c.boot(h.Name, unchecked)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var group conc.WaitGroup
	group.Go(func() { c.replicate(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
		for _, h := range c.hosts {
			c.crash(h.Name)
		}
		for _, v := range c.checker.Violations() {
			t.Errorf("violation: %s", v)
		}
	})
	c.wait(10 * time.Second)
	c.worst = 0
	return c
}

// boot starts a host with empty memory.
func (c *cluster) boot(name topology.HostName, unchecked bool) {
	ctx, cancel := context.WithCancel(context.Background())
	h := &host{bus: newFakeBus(), cancel: cancel, done: make(chan struct{})}
	port := &hostPort{cluster: c, self: name}
	seed := uint64(len(name)) + uint64(name[1])
	h.elector = leadership.New(leadership.Options{
		Self: name, Transport: port, Store: &hostStore{fakeStore: c.store, port: port}, Hosts: c.hosts[:], Log: zap.NewNop(),
		Random: rand.NewPCG(seed, uint64(time.Since(c.start))),
	})
	h.controller = New(Options{
		Self: name, Leadership: h.elector, Granter: port, Store: &hostStore{fakeStore: c.store, port: port}, Bus: h.bus,
		Services: []Service{{Name: testService, Unchecked: unchecked, Servers: c.servers}}, Planner: c.planner,
		Log: zap.NewNop(), Random: rand.NewPCG(seed, 2),
	})
	c.mu.Lock()
	c.running[name] = h
	c.mu.Unlock()
	go func() {
		defer close(h.done)
		var group conc.WaitGroup
		group.Go(func() { _ = h.elector.Run(ctx) })
		group.Go(func() { _ = h.controller.Run(ctx) })
		group.Wait()
	}()
}

// crash ends a host without a release: its messages are cut off first.
func (c *cluster) crash(name topology.HostName) {
	c.mu.Lock()
	h := c.running[name]
	delete(c.running, name)
	c.mu.Unlock()
	if h != nil {
		h.cancel()
		<-h.done
	}
}

// leader returns the host with authority, or "".
func (c *cluster) leader() topology.HostName {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, h := range c.running {
		if _, _, ok := h.elector.LeaderLease(time.Now()); ok && !c.cut[string(name)] && !c.paused[name] {
			return name
		}
	}
	return ""
}

// set changes the network or the machines.
func (c *cluster) set(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

// thaw lets a frozen server read what was queued for it.
func (c *cluster) thaw(s topology.ServerName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.down, string(s))
	for _, read := range c.queued[s] {
		read()
	}
	c.queued[s] = nil
}

// wait lets virtual time pass and measures how long keys go unserved.
func (c *cluster) wait(d time.Duration) {
	step := c.step // only the test itself changes it
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(step)
		c.sample()
	}
	synctest.Wait()
}

// sample checks, for positions over the ring, that every host that callers can
// reach routes to a server that accepts.
func (c *cluster) sample() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	tables := make(map[topology.HostName]*topology.RouteTable)
	for name, h := range c.running {
		if !c.cut[string(name)] && !c.paused[name] {
			topic, _ := h.bus.Get(routesTopic(testService))
			if old := c.decoded[name]; old == nil || old.Version != topic.Version {
				c.decoded[name] = decode[topology.RouteTable](h.bus, routesTopic(testService))
			}
			// A host that was just started is not ready before it has routes.
			if c.decoded[name] != nil {
				tables[name] = c.decoded[name]
			}
		}
	}
	for i := range 48 {
		h := topology.Hash(i) * (^topology.Hash(0) / 48)
		served := len(tables) > 0
		for name, table := range tables {
			if why := c.serves(table, h); why != "" {
				served, c.reason = false, string(name)+": "+why
			}
		}
		if served {
			c.lastOK[h] = now
			continue
		}
		if c.lastOK[h].IsZero() {
			c.lastOK[h] = c.start
		}
		c.worst = max(c.worst, now.Sub(c.lastOK[h]))
	}
}

func (c *cluster) serves(table *topology.RouteTable, h topology.Hash) string {
	i, _ := slices.BinarySearchFunc(table.Routes, h, func(r topology.Route, h topology.Hash) int {
		return cmp.Or(cmp.Compare(r.Range.Last, h), 1)
	})
	r := table.Routes[i]
	switch {
	case !r.Held:
		return "not held"
	case c.down[string(r.Server)]:
		return "server down"
	case !c.machines[r.Server].accepts(time.Since(c.start), h, r.Token):
		return "refused by " + string(r.Server)
	}
	return ""
}

// replicate copies topics between connected hosts, as peersync does.
func (c *cluster) replicate(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		for a, from := range c.running {
			for b, to := range c.running {
				if a == b || !c.reachable(string(a), string(b)) {
					continue
				}
				for _, topic := range from.bus.List("") {
					to.bus.Publish(topic)
				}
			}
		}
		step := 2 * c.step
		c.mu.Unlock()
		time.Sleep(step)
	}
}

func (c *cluster) reachable(a, b string) bool {
	return !c.cut[a] && !c.cut[b] && !c.cut[a+">"+b] && !c.paused[topology.HostName(a)] && !c.paused[topology.HostName(b)]
}

// hostPort is one host's access to the network. A paused host sends nothing
// until it is woken, then sends what it was about to send.
type hostPort struct {
	cluster *cluster
	self    topology.HostName
}

// reach waits out a pause and the link, and reports whether to is connected.
func (p *hostPort) reach(ctx context.Context, to string) error {
	c := p.cluster
	for {
		c.mu.Lock()
		paused, _ := c.paused[p.self], to
		c.mu.Unlock()
		if !paused {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(linkDelay)
	c.mu.Lock()
	defer c.mu.Unlock()
	_, runs := c.running[p.self]
	if !runs || !c.reachable(string(p.self), to) {
		c.mu.Unlock()
		<-ctx.Done()
		c.mu.Lock()
		return errUnreachable
	}
	return nil
}

func (p *hostPort) peer(ctx context.Context, to topology.HostName) (*leadership.Elector, error) {
	if err := p.reach(ctx, string(to)); err != nil {
		return nil, err
	}
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	if h, ok := p.cluster.running[to]; ok {
		return h.elector, nil
	}
	return nil, errUnreachable
}

func (p *hostPort) Promise(ctx context.Context, to topology.HostName, r *peerpb.PromiseRequest) (*peerpb.PromiseResponse, error) {
	e, err := p.peer(ctx, to)
	if err != nil {
		return nil, err
	}
	response := e.HandlePromise(r)
	time.Sleep(linkDelay)
	return response, ctx.Err()
}

func (p *hostPort) Seal(ctx context.Context, to topology.HostName, r *peerpb.SealRequest) (*peerpb.SealResponse, error) {
	e, err := p.peer(ctx, to)
	if err != nil {
		return nil, err
	}
	return e.HandleSeal(r), nil
}

func (p *hostPort) Heartbeat(ctx context.Context, s topology.Server, h granter.Heartbeat) (granter.Reply, error) {
	if err := p.reach(ctx, string(s.Name)); err != nil {
		return granter.Reply{}, err
	}
	c := p.cluster
	var reply granter.Reply
	read := func() { reply = c.deliver(s.Name, h) }
	c.mu.Lock()
	if c.down[string(s.Name)] {
		c.queued[s.Name] = append(c.queued[s.Name], read)
		c.mu.Unlock()
		<-ctx.Done()
		return granter.Reply{}, ctx.Err()
	}
	read()
	lost := c.cut[string(s.Name)+">"+string(p.self)]
	c.mu.Unlock()
	time.Sleep(linkDelay)
	if lost {
		<-ctx.Done()
	}
	return reply, ctx.Err()
}

// deliver applies a heartbeat and reports the result to the checker.
func (c *cluster) deliver(name topology.ServerName, h granter.Heartbeat) granter.Reply {
	s := c.machines[name]
	clock := time.Since(c.start)
	reply := s.heartbeat(clock, h)
	c.checker.Granted(time.Now(), testService, name, s.owned(), c.start.Add(s.end))
	return reply
}

// hostStore is the store as one host reaches it.
type hostStore struct {
	*fakeStore
	port *hostPort
}

func (s *hostStore) Get(ctx context.Context, key string) (kv store.KeyValue, found bool, revision int64, err error) {
	if err := s.port.reach(ctx, "store"); err != nil {
		return kv, false, 0, &store.Error{Kind: store.KindUnavailable, Op: "reach"}
	}
	return s.fakeStore.Get(ctx, key)
}

func (s *hostStore) Txn(ctx context.Context, compares []store.Compare, ops []store.Op) (store.TxnResult, error) {
	if err := s.port.reach(ctx, "store"); err != nil {
		return store.TxnResult{}, &store.Error{Kind: store.KindUnavailable, Op: "reach"}
	}
	return s.fakeStore.Txn(ctx, compares, ops)
}

// assignment returns the stored assignment.
func (c *cluster) assignment() *topology.Assignment {
	p := &assignments{store: c.store}
	a, _, err := p.load(c.t.Context(), testService)
	if err != nil {
		c.t.Fatal(err)
	}
	return a
}
