package matrix

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/host"
	"github.com/cassiasill/cassiasill/internal/netfault"
	"github.com/cassiasill/cassiasill/internal/settings"
	"github.com/cassiasill/cassiasill/internal/standin"
	"github.com/cassiasill/cassiasill/internal/store/memory"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const (
	// hostCount is the number of witnesses that tolerate two lost hosts.
	hostCount    = 5
	archiveBytes = 256 << 10
	storeAddress = "10.0.2.1:2379"
	// latency is the round trip, charged to a host's writes.
	latency = time.Millisecond
	// balancerNotice is within the time for which a host that shuts down still
	// accepts requests.
	balancerNotice = 300 * time.Millisecond
)

// The services of the deployment and their numbers of servers.
var serverCounts = map[topology.ServiceName]int{stock: 5, bookings: 4, archive: 3}

const (
	stock    topology.ServiceName = "inventario"
	bookings topology.ServiceName = "agenda"
	archive  topology.ServiceName = "archivo"
)

// variant is a deliberate defect of the deployment, to test the checks.
type variant struct {
	unchecked    bool // servers check neither ownership nor fencing tokens
	wrapCallers  func(http.Handler) http.Handler
	abruptStop   bool // a graceful shutdown closes connections at once
	wrapRevision func(now time.Time, revision uint64) uint64
}

// pipes adapts the in-memory network to netfault.
type pipes struct{ *standin.Network }

func (p pipes) Listen(_ context.Context, address string) (net.Listener, error) {
	return p.Network.Listen("pipe", address)
}

func (p pipes) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return p.DialContext(ctx, network, address)
}

// deployment is a whole deployment in one bubble of testing/synctest.
type deployment struct {
	// picking guards random and hit, which the step and the fault share.
	picking    sync.Mutex
	random     *rand.Rand
	t          *testing.T
	seed       uint64
	variant    variant
	pipes      pipes
	store      *memory.Store
	settings   settings.Settings
	servers    map[topology.ServerName]*standin.Server
	hosts      []*entryHost
	group      conc.WaitGroup
	watch      *watcher
	closeStore func() error
	operators  []*operator                  // two that race, one for the steps, one that always works
	hit        map[topology.ServerName]bool // servers that a step or fault has taken out
}

func newDeployment(t *testing.T, seed uint64, v variant, ghost bool) *deployment {
	d := &deployment{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), variant: v, pipes: pipes{standin.NewNetwork()},
		store: memory.New(), servers: make(map[topology.ServerName]*standin.Server), hit: make(map[topology.ServerName]bool),
	}
	d.watch = newWatcher(d)
	example, err := settings.Deployment("aserrin")
	assert.NilError(t, err)
	d.settings = *example
	d.settings.Store.Endpoints = []string{"http://" + storeAddress}
	d.settings.Hosts = nil
	for i := range hostCount {
		d.settings.Hosts = append(d.settings.Hosts, topology.Host{
			Name: topology.HostName(fmt.Sprintf("host-%d", i)), PeerAddress: address(i, "peer"),
			AvailabilityZone: d.settings.AvailabilityZones[i%3].Name,
		})
	}
	if ghost {
		// The list is late: it still names a host that is long gone.
		d.settings.Hosts = append(d.settings.Hosts, topology.Host{Name: "host-9", PeerAddress: address(9, "peer"),
			AvailabilityZone: d.settings.AvailabilityZones[0].Name})
	}
	listener, err := d.pipes.Listen(t.Context(), storeAddress)
	assert.NilError(t, err)
	storeServer := &http.Server{Handler: standin.NewStoreServer(d.store.Client("hosts"))}
	d.group.Go(func() { _ = storeServer.Serve(listener) })
	d.closeStore = storeServer.Close
	for i := range d.settings.Services {
		service := &d.settings.Services[i]
		service.Servers = append([]topology.Server(nil), service.Servers[:serverCounts[service.Name]]...)
		for j := range service.Servers {
			d.startServer(service, &service.Servers[j])
		}
	}
	for i := range hostCount {
		d.hosts = append(d.hosts, &entryHost{d: d, index: i, name: string(d.settings.Hosts[i].Name)})
	}
	return d
}

// sendTime is enough for what is in send buffers to arrive.
const sendTime = 50 * time.Millisecond

func address(host int, of string) string {
	return fmt.Sprintf("127.0.0.%d:%d", host+1, map[string]int{"callers": 80, "admin": 81, "peer": 82}[of])
}

func (d *deployment) startServer(service *settings.Service, server *topology.Server) {
	s := standin.NewServer(standin.ServerOptions{
		Name: server.Name, Service: service.Name, DividedByKey: service.DividedByKey, Unchecked: d.variant.unchecked,
		Slots: service.Slots, MaxQueued: 8, MaxConnections: service.Connections,
		ServiceTime: 5 * time.Millisecond, Distribution: standin.DistributionExponential,
		Seed: d.seed + uint64(len(d.servers)), ArchiveBytes: archiveBytes, LoadLag: time.Second,
		PoisonPath: "poison", RestartAfter: 2 * time.Second, Listen: d.pipes.Network.Listen, OnOwnership: d.watch.ownership,
	})
	address, err := s.Listen(fmt.Sprintf("127.0.1.%d:80", len(d.servers)+1))
	assert.NilError(d.t, err)
	server.Address = address
	d.servers[server.Name] = s
}

// of returns the servers of a service in the order of the settings.
func (d *deployment) of(service topology.ServiceName) []*standin.Server {
	var out []*standin.Server
	for _, s := range d.settings.ServiceNamed(service).Servers {
		out = append(out, d.servers[s.Name])
	}
	return out
}

// start starts the first n hosts and waits until every key is served.
func (d *deployment) start(n int) {
	for _, h := range d.hosts[:n] {
		h.start()
	}
	d.group.Go(d.watch.run)
	d.await("every key to have an owner", 10*time.Second, d.settled)
}

// settled reports whether every key is served, one host leads and all hosts
// that run are ready.
func (d *deployment) settled() bool {
	for _, h := range d.hosts {
		if ready, running := h.ready(); running && !ready {
			return false
		}
	}
	return d.leader() != nil && d.watch.covered()
}

// await waits for a condition and notes a violation if it does not come true.
func (d *deployment) await(what string, limit time.Duration, condition func() bool) {
	for begun := time.Now(); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Since(begun) > limit {
			d.watch.violated("recovery", "waited more than %s for %s", limit, what)
			return
		}
	}
}

// leader returns the host that leads and is not affected by a fault.
func (d *deployment) leader() *entryHost {
	for _, h := range d.hosts {
		if e := h.running(); e != nil && h.well() && e.IsLeader() {
			return h
		}
	}
	return nil
}

// follower returns a host that is well and does not lead.
func (d *deployment) follower() *entryHost {
	leader := d.leader()
	d.picking.Lock()
	defer d.picking.Unlock()
	for _, i := range d.random.Perm(len(d.hosts)) {
		if h := d.hosts[i]; h != leader && h.running() != nil && h.well() {
			return h
		}
	}
	return nil
}

// close ends everything, so that the bubble can end.
func (d *deployment) close() {
	d.store.EndOutage()
	d.store.SetResponseDelay(0)
	d.watch.stop()
	for _, h := range d.hosts {
		h.kill()
	}
	for _, h := range d.hosts {
		h.wait()
	}
	for _, s := range d.servers {
		s.Close()
	}
	_ = d.closeStore()
	d.store.Close()
	d.group.Wait()
}

// entryHost is one host with the switches of its faults.
type entryHost struct {
	d     *deployment
	index int
	name  string

	mu           sync.Mutex
	entry        *host.Host // nil while it does not run
	inner, outer *netfault.Network
	cancel       context.CancelFunc
	done         []chan struct{}
	starts       int
	faulty       bool
	leaving      time.Time
	wellSince    time.Time
}

// entryNetwork separates the callers' address from the other traffic, so that a
// partitioned host can still be reached by callers.
type entryNetwork struct {
	*netfault.Network
	outer *netfault.Network
}

func (n entryNetwork) Listen(ctx context.Context, address string) (net.Listener, error) {
	if strings.HasSuffix(address, ":80") {
		return n.outer.Listen(ctx, address)
	}
	return n.Network.Listen(ctx, address)
}

// start runs the host; it returns before the host is ready.
func (h *entryHost) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.d
	charge := func(string) time.Duration { return latency }
	h.inner, h.outer = netfault.NewNetworkOver(d.pipes, charge), netfault.NewNetworkOver(d.pipes, nil)
	s := d.settings
	s.Host = settings.Host{
		Name: topology.HostName(h.name), AvailabilityZone: s.Hosts[h.index].AvailabilityZone,
		Addresses: settings.Addresses{Callers: address(h.index, "callers"), Admin: address(h.index, "admin"), Peer: address(h.index, "peer")},
	}
	h.starts++
	entry, err := host.New(host.Options{
		Settings: &s, Log: d.watch.log, Network: entryNetwork{h.inner, h.outer},
		Seed: d.seed<<8 + uint64(h.index)<<4 + uint64(h.starts), WrapCallers: d.variant.wrapCallers,
	})
	assert.NilError(d.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	h.entry, h.cancel, h.done = entry, cancel, append(h.done, done)
	h.faulty, h.leaving, h.wellSince = false, time.Time{}, time.Time{}
	inner, outer := h.inner, h.outer
	d.group.Go(func() {
		defer close(done)
		err := entry.Run(ctx, nil)
		h.mu.Lock()
		current := h.entry == entry
		if current {
			h.entry = nil
		}
		h.mu.Unlock()
		if err != nil && current {
			d.watch.violated("shutdown", "%s ended with %v", h.name, err)
		}
		// The kernel still sends what a process wrote before it ended.
		time.Sleep(sendTime)
		inner.Kill()
		outer.Kill()
	})
}

func (h *entryHost) running() *host.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.entry
}

func (h *entryHost) ready() (ready, running bool) {
	if e := h.running(); e != nil {
		ready, _ = e.Ready()
		return ready, true
	}
	return false, false
}

// well reports whether no fault affects the host.
func (h *entryHost) well() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.entry != nil && !h.faulty && h.leaving.IsZero()
}

// wellFrom returns since when the host is ready without fault, or zero.
func (h *entryHost) wellFrom() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.wellSince
}

// noteWell is called regularly to note since when the host is well.
func (h *entryHost) noteWell(now time.Time) {
	well := h.well()
	ready, _ := h.ready()
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case !well:
		h.wellSince = time.Time{}
	case ready && h.wellSince.IsZero():
		h.wellSince = now
	}
}

// accepts reports whether the balancer sends requests to the host.
func (h *entryHost) accepts() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.entry != nil && (h.leaving.IsZero() || time.Since(h.leaving) < balancerNotice)
}

// block holds back the host's traffic; with callers it is paused, otherwise
// partitioned.
func (h *entryHost) block(callers bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faulty, h.wellSince = true, time.Time{}
	h.inner.Block()
	if callers {
		h.outer.Block()
	}
}

func (h *entryHost) unblock() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.entry != nil {
		h.faulty = false
		h.inner.Unblock()
		h.outer.Unblock()
	}
}

// kill ends the host as the loss of its process does.
func (h *entryHost) kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.entry == nil {
		return
	}
	h.entry, h.wellSince = nil, time.Time{}
	h.inner.Kill()
	h.outer.Kill()
	h.cancel()
}

// shutDown stops the host gracefully and waits for its end.
func (h *entryHost) shutDown() {
	h.mu.Lock()
	h.leaving, h.wellSince = time.Now(), time.Time{}
	done, cancel, outer, begun := h.done[len(h.done)-1], h.cancel, h.outer, h.leaving
	h.mu.Unlock()
	h.d.watch.shutdownBegan(h.name, begun)
	if h.d.variant.abruptStop {
		outer.Kill()
	}
	cancel()
	<-done
}

// wait returns when every process that the host has been has ended.
func (h *entryHost) wait() {
	for _, done := range h.done {
		<-done
	}
}
