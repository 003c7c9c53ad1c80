package control

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
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

	mu                  sync.Mutex
	servers             map[string]*fakeServer // by address
	hosts               map[string]*testHost   // by address
	blockedLinks        map[[2]string]bool     // from, to
	delayedCallRate     float64
	highestTokens       [sampledPositions]int64 // highest token under which each position was ever held
	holders             [sampledPositions]string
	errors              []string
	rejectedGrants      int // grants whose token was too low
	group               conc.WaitGroup
	stop                context.CancelFunc
	ctx                 context.Context
	lastIncarnation     int64
	sessions            Session
	sessionIncarnations map[Session]int64 // incarnation at the other end
}

type testHost struct {
	name, address string
	node          *Node
	handler       http.Handler
	cancel        context.CancelFunc
}

func newCluster(t *testing.T, hosts, servers int, seed uint64, options func(*Node)) *cluster {
	c := &cluster{t: t, store: memory.New(), scheduleRandom: rand.New(rand.NewPCG(seed, 1)), delayRandom: rand.New(rand.NewPCG(seed, 2)), startedAt: time.Now(), configure: options,
		servers: make(map[string]*fakeServer), hosts: make(map[string]*testHost), blockedLinks: make(map[[2]string]bool), sessionIncarnations: make(map[Session]int64)}
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.putEntry("config", "1")
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
			entries["servers/"+s.id] = &fakeServer{id: s.id, address: s.address, incarnation: s.incarnation, up: s.up}
		}
		c.mu.Unlock()
		for key, s := range entries {
			if s.up {
				value, _ := json.Marshal(map[string]any{"address": s.address, "born": s.incarnation})
				c.putEntry(key, string(value))
			} else {
				_, _ = c.store.Txn(context.Background(), nil, []store.Op{store.Delete(key)})
			}
		}
		time.Sleep(870 * time.Millisecond)
	}
}

func (c *cluster) startServer(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastIncarnation++
	if old := c.servers["addr-"+id]; old != nil {
		old.up = false
	}
	c.servers["addr-"+id] = &fakeServer{id: id, address: "addr-" + id, incarnation: c.lastIncarnation, up: true}
}

func (c *cluster) startHost(name string) {
	ctx, cancel := context.WithCancel(c.ctx)
	h := &testHost{name: name, address: "host-" + name, cancel: cancel}
	h.node = NewNode(Options{
		Host: name, Address: h.address, DispatchAddress: "dispatch-" + name, Seeds: []string{"host-h0", "host-h1"},
		Store: &pollingStore{c.store.Client(name)}, GrantClient: &fakeGrantClient{c, name}, Reports: NewReports(),
		Schema: Schema{ConfigKey: "config", ServersPrefix: "servers/",
			DecodeConfig: func(value []byte, revision int64) (*routes.Config, error) {
				version, err := strconv.ParseInt(string(value), 10, 64)
				if err != nil {
					return nil, err
				}
				return routes.NewConfig(version, revision, []routes.Service{{Name: "svc", HasKeyOwners: true}}, routes.Limits{}, nil), nil
			},
			DecodeServer: func(kv store.KeyValue) (registry.Server, error) {
				var entry struct {
					Address string
					Born    int64
				}
				err := json.Unmarshal(kv.Value, &entry)
				return registry.Server{ID: kv.Key[len("servers/"):], Service: "svc", Address: entry.Address, Slots: 2, Incarnation: entry.Born}, err
			}},
		PeerClient: &http.Client{Transport: &peerTransport{c, name}},
		Clock:      func() boottime.Instant { return boottime.Instant(time.Since(c.startedAt)) + 1 },
		Log:        zap.NewNop(),
	})
	if c.configure != nil {
		c.configure(h.node)
	}
	mux := http.NewServeMux()
	mux.Handle(fleetpbconnect.NewFleetServiceHandler(h.node))
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
// holds.
func (c *cluster) unservedPositions() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	missing := 0
	for p := range sampledPositions {
		held := false
		for _, s := range c.servers {
			held = held || s.up && s.grants[p].until.After(time.Now())
		}
		if !held {
			missing++
		}
	}
	return missing
}

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
