package control

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb/fleetpbconnect"
	"github.com/cassiasill/cassiasill/internal/registry"
	"github.com/cassiasill/cassiasill/internal/routes"
	"github.com/cassiasill/cassiasill/internal/shards"
	"github.com/cassiasill/cassiasill/internal/store"
	"github.com/cassiasill/cassiasill/internal/store/memory"
)

// sampledPositions is the number of key positions at which ownership is
// checked.
const sampledPositions = 64

// sampledPositionsIn returns the indexes of the sampled positions in a range.
func sampledPositionsIn(from, to uint16) (positions []int) {
	for p := range sampledPositions {
		if at := uint16(p * (shards.PositionCount / sampledPositions)); at >= from && at <= to {
			positions = append(positions, p)
		}
	}
	return positions
}

// fakeServer holds granted positions as a server of the platform does.
type fakeServer struct {
	id, address string
	service     string
	incarnation int64
	up          bool
	grants      [sampledPositions]struct {
		token int64
		until time.Time
	}
	highestTokens [sampledPositions]int64
}

// cluster is a deployment of hosts, servers and a store on a virtual clock.
type cluster struct {
	t              *testing.T
	store          *memory.Store
	scheduleRandom *rand.Rand // of the fault schedule, used by one goroutine
	delayRandom    *rand.Rand // of grants and releases, guarded by mu
	startedAt      time.Time
	configure      func(*Node)
	copies         []*memory.Copy // of the store, used by the fault schedule
	emptyCopy      *memory.Copy   // from before the hosts' first write

	mu              sync.Mutex
	servers         map[string]*fakeServer // by address
	hosts           map[string]*testHost   // by address
	blockedLinks    map[[2]string]bool     // from, to
	delayedCallRate float64
	closingRate     float64                     // of grants whose response closes the connection
	histories       map[string]*positionHistory // by service
	lingering       []lingeringEntry
	errors          []string
	rejectedGrants  int // grants whose token was too low
	misdirected     int // grants and releases withheld from another server
	group           conc.WaitGroup
	stop            context.CancelFunc
	ctx             context.Context
	lastIncarnation int64
	// ignoresIdentity makes the grant clients of all hosts send grants and releases to
	// whoever has the address, and redials makes their sessions go on on another
	// connection. Tests set them to check that violations are detected.
	ignoresIdentity, redials bool
	oldBuilds                bool          // makes hosts serve others as builds without evacuations
	outage                   time.Duration // for which the last failure keeps hosts from the store
}

// positionHistory is who held the positions of one service.
type positionHistory struct {
	highestTokens [sampledPositions]int64 // highest token under which each position was ever held
	holders       [sampledPositions]string
}

// historyOf returns the history of a service. The caller holds mu.
func (c *cluster) historyOf(service string) *positionHistory {
	if c.histories[service] == nil {
		c.histories[service] = &positionHistory{}
	}
	return c.histories[service]
}

// lingeringEntry is the entry of a server that has ended without a word.
type lingeringEntry struct {
	id    string
	until time.Time
}

type testHost struct {
	name, address string
	node          *Node
	handler       http.Handler
	cancel        context.CancelFunc
}

func newCluster(t *testing.T, hosts, servers int, seed uint64, options func(*Node)) *cluster {
	c := &cluster{t: t, store: memory.New(), scheduleRandom: rand.New(rand.NewPCG(seed, 1)), delayRandom: rand.New(rand.NewPCG(seed, 2)), startedAt: time.Now(), configure: options,
		servers: make(map[string]*fakeServer), hosts: make(map[string]*testHost), blockedLinks: make(map[[2]string]bool), histories: make(map[string]*positionHistory)}
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.putEntry("operator/config", "1")
	for i := range servers {
		c.startServer(fmt.Sprintf("s%d", i))
	}
	c.emptyCopy = c.store.Copy()
	for i := range hosts {
		c.startHost(fmt.Sprintf("h%d", i))
	}
	c.group.Go(c.runHeartbeats)
	return c
}

func (c *cluster) putEntry(key, value string) {
	// Writes fail during an outage of the store; the next heartbeat repeats
	// them.
	_, _ = c.store.Txn(context.Background(), nil, []store.Op{store.Put(key, []byte(value))})
}

// runHeartbeats keeps the servers' entries in the store until the cluster is
// closed.
func (c *cluster) runHeartbeats() {
	for c.ctx.Err() == nil {
		c.mu.Lock()
		entries := make(map[string]*fakeServer)
		for _, s := range c.servers {
			entries["servers/"+s.id] = &fakeServer{id: s.id, service: s.service, address: s.address, incarnation: s.incarnation, up: s.up}
		}
		// Again with each heartbeat: the store may be away, or come back with the entry.
		for _, e := range c.lingering {
			if !time.Now().Before(e.until) && entries["servers/"+e.id] == nil {
				entries["servers/"+e.id] = &fakeServer{id: e.id}
			}
		}
		c.mu.Unlock()
		for key, s := range entries {
			if s.up {
				value, _ := json.Marshal(map[string]any{"service": s.service, "address": s.address, "born": s.incarnation})
				c.putEntry(key, string(value))
			} else {
				_, _ = c.store.Txn(context.Background(), nil, []store.Op{store.Delete(key)})
			}
		}
		time.Sleep(heartbeat)
	}
}

// heartbeat is how often servers write their entries.
const heartbeat = 870 * time.Millisecond

func (c *cluster) startServer(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startServerAt("addr-"+id, id, firstService)
}

// Services of a cluster. The second one has servers only after reuseAddress.
const (
	firstService  = "svc"
	secondService = "svc2"
)

// startServerAt starts a server, in place of the one that had the address. The caller
// holds mu.
func (c *cluster) startServerAt(address, id, service string) {
	c.lastIncarnation++
	if old := c.servers[address]; old != nil {
		old.up = false
		if old.id != id {
			c.lingering = append(c.lingering, lingeringEntry{old.id, time.Now()})
		}
	}
	c.servers[address] = &fakeServer{id: id, service: service, address: address, incarnation: c.lastIncarnation, up: true}
}

// reuseAddress ends a server without a word. Its address goes to a new server of the
// other service, while its entry stays for three heartbeats.
func (c *cluster) reuseAddress(id string) {
	c.crashServer(id)
	c.mu.Lock()
	address := "addr-" + id
	s := c.servers[address]
	delete(c.servers, address)
	c.lingering = append(c.lingering, lingeringEntry{s.id, time.Now().Add(3 * heartbeat)})
	c.mu.Unlock()
	time.Sleep(2 * time.Second)
	c.mu.Lock()
	defer c.mu.Unlock()
	service := secondService
	if s.service == secondService {
		service = firstService
	}
	c.startServerAt(address, fmt.Sprintf("%s-%d", id, c.lastIncarnation+1), service)
}

func (c *cluster) startHost(name string) {
	ctx, cancel := context.WithCancel(c.ctx)
	h := &testHost{name: name, address: "host-" + name, cancel: cancel}
	h.node = NewNode(Options{
		Host: name, Address: h.address, DispatchAddress: "dispatch-" + name, Seeds: []string{"host-h0", "host-h1"},
		Store: &pollingStore{c.store.Client(name)}, GrantClient: &fakeGrantClient{c, name}, Reports: NewReports(),
		Schema: Schema{OperatorPrefix: "operator/", ConfigKey: "operator/config", DecodeEvacuation: decodeEvacuation, ServersPrefix: "servers/",
			DecodeConfig: func(value []byte, revision int64) (*routes.Config, error) {
				text, two := strings.CutSuffix(string(value), twoServices)
				version, err := strconv.ParseInt(text, 10, 64)
				if err != nil {
					return nil, err
				}
				services := []routes.Service{{Name: firstService, HasKeyOwners: true}}
				if two {
					services = append(services, routes.Service{Name: secondService, HasKeyOwners: true})
				}
				return routes.NewConfig(version, revision, services, routes.Limits{}, nil), nil
			},
			DecodeServer: func(kv store.KeyValue) (registry.Server, error) {
				var entry struct {
					Service, Address string
					Born             int64
				}
				err := json.Unmarshal(kv.Value, &entry)
				return registry.Server{ID: kv.Key[len("servers/"):], Service: cmp.Or(entry.Service, firstService), Address: entry.Address, AvailabilityZone: zoneOf(kv.Key), Slots: 2, Incarnation: entry.Born}, err
			}},
		PeerClient: &http.Client{Transport: &peerTransport{c, name}},
		Clock:      func() boottime.Instant { return boottime.Instant(time.Since(c.startedAt)) + 1 },
		Log:        zap.NewNop(),
	})
	if c.configure != nil {
		c.configure(h.node)
	}
	mux := http.NewServeMux()
	if mux.Handle(fleetpbconnect.NewFleetServiceHandler(h.node)); c.oldBuilds {
		mux = http.NewServeMux()
		mux.Handle(fleetpbconnect.NewFleetServiceHandler(oldBuild{h.node}))
	}
	h.handler = mux
	c.mu.Lock()
	c.hosts[h.address] = h
	c.mu.Unlock()
	c.group.Go(func() { _ = h.node.Run(ctx) })
}

// close stops the cluster and returns the recorded errors.
func (c *cluster) close() []string {
	c.stop()
	c.group.Wait()
	c.store.Close()
	return c.errors
}

// unservedPositions returns the number of sampled positions that no server
// holds, of each service that has servers.
func (c *cluster) unservedPositions() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	unserved := map[string]map[int]bool{}
	for _, s := range c.servers {
		if unserved[s.service] == nil && (s.up || s.service == firstService) {
			unserved[s.service] = make(map[int]bool)
			for p := range sampledPositions {
				unserved[s.service][p] = true
			}
		}
	}
	missing := 0
	for _, s := range c.servers {
		for p, g := range s.grants {
			if s.up && g.until.After(time.Now()) {
				delete(unserved[s.service], p)
			}
		}
	}
	for _, positions := range unserved {
		missing += len(positions)
	}
	return missing
}

// twoServices is the end of a configuration that names both services.
const twoServices = " and two services"

// peerTransport carries the requests of one host to other hosts.
type peerTransport struct {
	cluster *cluster
	from    string
}

func (p *peerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	p.cluster.mu.Lock()
	h := p.cluster.hosts[r.URL.Host]
	blocked := h == nil || p.cluster.blockedLinks[[2]string{p.from, h.name}]
	p.cluster.mu.Unlock()
	if h == nil {
		return nil, fmt.Errorf("connection refused")
	}
	if blocked {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	w := httptest.NewRecorder()
	h.handler.ServeHTTP(w, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return w.Result(), nil
}

// pollingStore implements Poll with the watches of the memory store.
type pollingStore struct{ *memory.View }

func (s *pollingStore) Poll(ctx context.Context, prefix string, after int64, wait time.Duration) (store.WatchBatch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	watch := s.Watch(ctx, prefix, after+1)
	for batch := range watch.Batches() {
		if len(batch.Events) > 0 {
			return batch, nil
		}
	}
	if ctx.Err() != nil {
		return store.WatchBatch{Revision: after}, nil
	}
	return store.WatchBatch{}, watch.Err()
}

// leader returns a host that leads, or nil if there is none.
func (c *cluster) leader() *testHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found *testHost
	for _, h := range c.hosts {
		if h.node.Leading() {
			found = h
		}
	}
	return found
}

func (c *cluster) killHost(h *testHost) {
	h.cancel()
	c.mu.Lock()
	delete(c.hosts, h.address)
	c.mu.Unlock()
}

func (c *cluster) crashServer(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers["addr-"+id]
	if s == nil {
		return // between two servers at its address
	}
	s.up = false
	s.grants = [sampledPositions]struct {
		token int64
		until time.Time
	}{}
}

// setLinkBlocked blocks or unblocks calls in one direction.
func (c *cluster) setLinkBlocked(from, to string, blocked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blockedLinks[[2]string{from, to}] = blocked
}

// setIsolated isolates a host from the other hosts or reconnects it.
func (c *cluster) setIsolated(h *testHost, isolated bool) {
	for _, other := range hostNames {
		if other != h.name {
			c.setLinkBlocked(h.name, other, isolated)
			c.setLinkBlocked(other, h.name, isolated)
		}
	}
}
