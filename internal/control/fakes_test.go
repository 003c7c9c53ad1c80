package control

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
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

// points is the number of positions at which ownership is checked.
const points = 64

func pointsOf(from, to uint16) (out []int) {
	for p := range points {
		if at := uint16(p * (shards.Positions / points)); at >= from && at <= to {
			out = append(out, p)
		}
	}
	return out
}

// fakeServer holds positions as a server of the platform does.
type fakeServer struct {
	id, address string
	born        int64
	up          bool
	held        [points]struct {
		token int64
		until time.Time
	}
	seen [points]int64
}

// cluster is a deployment on a virtual clock: hosts, servers and a store.
type cluster struct {
	t        *testing.T
	store    *memory.Store
	random   *rand.Rand // of the schedule, used by one goroutine
	lateness *rand.Rand // of the orders, under mu
	start    time.Time
	options  func(*Node)

	mu       sync.Mutex
	servers  map[string]*fakeServer // by address
	hosts    map[string]*testHost   // by address
	cut      map[[2]string]bool     // from, to
	lateRate float64
	owned    [points]int64 // highest token under which each point was ever held
	holder   [points]string
	errors   []string
	refused  int // grants with a token that was too low
	group    conc.WaitGroup
	stop     context.CancelFunc
	ctx      context.Context
	births   int64
	sessions Session
	opened   map[Session]int64 // life at the other end
}

type testHost struct {
	name, address string
	node          *Node
	handler       http.Handler
	cancel        context.CancelFunc
}

func newCluster(t *testing.T, hosts, servers int, seed uint64, options func(*Node)) *cluster {
	c := &cluster{t: t, store: memory.New(), random: rand.New(rand.NewPCG(seed, 1)), lateness: rand.New(rand.NewPCG(seed, 2)), start: time.Now(), options: options,
		servers: make(map[string]*fakeServer), hosts: make(map[string]*testHost), cut: make(map[[2]string]bool), opened: make(map[Session]int64)}
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.put("config", "1")
	for i := range servers {
		c.startServer(fmt.Sprintf("s%d", i))
	}
	for i := range hosts {
		c.startHost(fmt.Sprintf("h%d", i))
	}
	c.group.Go(c.heartbeats)
	return c
}

func (c *cluster) put(key, value string) {
	// While the store is down, what should be written stays away.
	_, _ = c.store.Txn(context.Background(), nil, []store.Op{store.Put(key, []byte(value))})
}

func (c *cluster) heartbeats() {
	for c.ctx.Err() == nil {
		c.mu.Lock()
		entries := make(map[string]*fakeServer)
		for _, s := range c.servers {
			entries["servers/"+s.id] = &fakeServer{id: s.id, address: s.address, born: s.born, up: s.up}
		}
		c.mu.Unlock()
		for key, s := range entries {
			if s.up {
				value, _ := json.Marshal(map[string]any{"address": s.address, "born": s.born})
				c.put(key, string(value))
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
	c.births++
	if old := c.servers["addr-"+id]; old != nil {
		old.up = false
	}
	c.servers["addr-"+id] = &fakeServer{id: id, address: "addr-" + id, born: c.births, up: true}
}

func (c *cluster) startHost(name string) {
	ctx, cancel := context.WithCancel(c.ctx)
	h := &testHost{name: name, address: "host-" + name, cancel: cancel}
	h.node = NewNode(Options{
		Host: name, Address: h.address, DispatchAddress: "dispatch-" + name, Seeds: []string{"host-h0", "host-h1"},
		Store: &pollingStore{c.store.Client(name)}, Orders: &fakeOrders{c, name}, Reports: NewReports(),
		Schema: Schema{ConfigKey: "config", ServersPrefix: "servers/",
			DecodeConfig: func(_ []byte, revision int64) (*routes.Config, error) {
				return routes.New(1, revision, []routes.Service{{Name: "svc", KeyOwned: true}}, routes.Limits{}, nil), nil
			},
			DecodeServer: func(kv store.KeyValue) (registry.Server, error) {
				var w struct {
					Address string
					Born    int64
				}
				err := json.Unmarshal(kv.Value, &w)
				return registry.Server{ID: kv.Key[len("servers/"):], Service: "svc", Address: w.Address, Slots: 2, Born: w.Born}, err
			}},
		Peers: &http.Client{Transport: &peerTransport{c, name}},
		Clock: func() boottime.Instant { return boottime.Instant(time.Since(c.start)) + 1 },
		Log:   zap.NewNop(),
	})
	if c.options != nil {
		c.options(h.node)
	}
	mux := http.NewServeMux()
	mux.Handle(fleetpbconnect.NewFleetServiceHandler(h.node))
	h.handler = mux
	c.mu.Lock()
	c.hosts[h.address] = h
	c.mu.Unlock()
	c.group.Go(func() { _ = h.node.Run(ctx) })
}

// close ends everything and returns what went wrong.
func (c *cluster) close() []string {
	c.stop()
	c.group.Wait()
	c.store.Close()
	return c.errors
}

// unserved returns the points that no server holds.
func (c *cluster) unserved() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	missing := 0
	for p := range points {
		held := false
		for _, s := range c.servers {
			held = held || s.up && s.held[p].until.After(time.Now())
		}
		if !held {
			missing++
		}
	}
	return missing
}

// peerTransport carries calls between hosts.
type peerTransport struct {
	c    *cluster
	from string
}

func (p *peerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	p.c.mu.Lock()
	h := p.c.hosts[r.URL.Host]
	blocked := h == nil || p.c.cut[[2]string{p.from, h.name}]
	p.c.mu.Unlock()
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

// pollingStore makes single polls of the memory store's watches.
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

// leader returns the host that leads, nil if there is none or more than one.
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

func (c *cluster) crash(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.servers["addr-"+id]
	s.up = false
	s.held = [points]struct {
		token int64
		until time.Time
	}{}
}

func (c *cluster) setCut(from, to string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[[2]string{from, to}] = cut
}

// isolate cuts a host off from the other hosts, or heals that.
func (c *cluster) isolate(h *testHost, cut bool) {
	for _, other := range hostNames {
		if other != h.name {
			c.setCut(h.name, other, cut)
			c.setCut(other, h.name, cut)
		}
	}
}
