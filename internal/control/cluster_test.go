package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
)

// Guards against keys without an owner, or with two, on a calm deployment.
func TestCalmDeployment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 6, 1, nil)
		time.Sleep(6 * time.Second)
		assert.Equal(t, c.unserved(), 0)
		for _, h := range c.hosts {
			s := h.node.View().Load()
			assert.Assert(t, s.Known())
			assert.Equal(t, s.Hosts, 4)
		}
		// A host counts the age of what it knows from before it asked for it:
		// two syncs and one reading of the leader, 1.4 s at most in calm. A
		// leaving server must be known everywhere within 2 s.
		const leavingKnown = 2 * time.Second
		for range 80 {
			time.Sleep(50 * time.Millisecond)
			for _, h := range c.hosts {
				age := h.node.Clock().Sub(h.node.View().Load().ServersAt)
				assert.Assert(t, age < leavingKnown, "%s: %s", h.name, age)
			}
		}
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
	})
}

// Guards against keys that lapse while another host takes over.
func TestLeaderLostKeysStayServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 6, 2, nil)
		time.Sleep(6 * time.Second)
		first := c.leader()
		// Nothing of a killed leader runs on: it can't resign either.
		c.store.Cut(first.name)
		c.killHost(first)
		for range 80 {
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, c.unserved(), 0, "at %s", time.Since(c.start))
		}
		assert.Assert(t, c.leader() != nil && c.leader() != first)
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
	})
}

// Guards against keys that lapse during an outage of the store.
func TestStoreOutageKeysStayServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 5, 3, nil)
		time.Sleep(6 * time.Second)
		c.store.Down()
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, c.unserved(), 0, "at %s", time.Since(c.start))
		}
		c.store.Up()
		time.Sleep(8 * time.Second)
		assert.Equal(t, c.unserved(), 0)
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
	})
}

// Guards against aserrin-gw trouble-1: the store refused the leader alone for
// 7 s, and nobody took over.
func TestLeaderCutOffFromStoreIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 6, 4, nil)
		time.Sleep(6 * time.Second)
		first := c.leader()
		c.store.Cut(first.name)
		time.Sleep(5 * time.Second)
		assert.Assert(t, !first.node.Leading())
		assert.Assert(t, c.leader() != nil)
		assert.Equal(t, c.unserved(), 0)
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
	})
}

// Guards against a lost server whose keys nobody gets within the time that its
// grants and a new assignment need.
func TestLostServerIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 6, 5, nil)
		time.Sleep(6 * time.Second)
		c.crash("s2")
		time.Sleep(6500 * time.Millisecond)
		assert.Equal(t, c.unserved(), 0)
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
	})
}

// Guards against a host that is started while the store is away and learns
// nothing, though other hosts know everything.
func TestNewHostLearnsFromPeersDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 5, 6, nil)
		time.Sleep(6 * time.Second)
		c.store.Down()
		time.Sleep(time.Second)
		c.startHost("h9")
		time.Sleep(2 * time.Second)
		assert.Assert(t, c.hosts["host-h9"].node.View().Load().Known())
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
	})
}

// Guards against deploy/days/late-orders-and-moves.toml: with half of all orders
// unanswered, one failed grant kept the other ranges of its server waiting, and
// ranges were taken from servers that live.
func TestUnansweredOrdersKeepKeysServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 6, 8, nil)
		time.Sleep(6 * time.Second)
		c.mu.Lock()
		c.lateRate = 0.5
		c.mu.Unlock()
		unserved := 0
		for range 150 {
			time.Sleep(100 * time.Millisecond)
			unserved += c.unserved()
		}
		share := float64(unserved) / 150 / points
		assert.Assert(t, share < 0.05, "%.2f of the positions were unserved", share)
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
	})
}

// Guards against hosts whose assignment differs from the leader's, although they
// are sent changes only.
func TestHostsFollowTheAssignment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 6, 9, nil)
		time.Sleep(6 * time.Second)
		for i := range 3 {
			c.crash(fmt.Sprintf("s%d", i))
			time.Sleep(6500 * time.Millisecond)
			c.startServer(fmt.Sprintf("s%d", i))
			time.Sleep(2 * time.Second)
			want := c.leader().node.View().Load().Shards["svc"]
			for _, h := range c.hosts {
				assert.DeepEqual(t, h.node.View().Load().Shards["svc"], want)
			}
		}
		// A host that can't apply what it was sent asks again.
		host := c.hosts["host-h0"]
		if host.node.Leading() {
			host = c.hosts["host-h1"]
		}
		a := host.node.View().Load().Shards["svc"]
		_, err := decodeShards(&fleetpb.Shards{ChangesOnly: true, Document: []byte(`{"base":1,"version":9}`)}, a)
		assert.ErrorContains(t, err, "do not fit")
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
	})
}
