package control

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/registry"
	"github.com/cassiasill/cassiasill/internal/store"
	"github.com/cassiasill/cassiasill/internal/store/memory"
)

const evacuationPrefix = "operator/evacuate/"

func decodeEvacuation(kv store.KeyValue) (string, bool, error) {
	zone, ok := strings.CutPrefix(kv.Key, evacuationPrefix)
	if ok && zone == "" {
		return "", false, errors.New("no zone")
	}
	return zone, ok, nil
}

// zoneOf returns the availability zone of a server of a cluster.
func zoneOf(id string) string {
	return map[byte]string{'0': "a", '1': "b", '2': "a", '3': "b", '4': "c", '5': "c"}[id[len(id)-1]]
}

func (c *cluster) evacuate(zone string) { c.putEntry(evacuationPrefix+zone, "{}") }

// takeBack withdraws the evacuation of a zone.
func (c *cluster) takeBack(zone string) {
	_, _ = c.store.Txn(context.Background(), nil, []store.Op{store.Delete(evacuationPrefix + zone)})
}

// requireZones waits up to a limit until every host has exactly the evacuated zones.
func (c *cluster) requireZones(within time.Duration, zones ...string) {
	c.t.Helper()
	start := time.Now()
	for {
		missing := ""
		c.mu.Lock()
		for _, h := range c.hosts {
			if got := h.node.View().Load().Evacuations.Zones(); !slices.Equal(got, zones) {
				missing += fmt.Sprintf(" %s: %v", h.name, got)
			}
		}
		c.mu.Unlock()
		if missing == "" {
			return
		}
		if time.Since(start) > within {
			c.t.Fatalf("after %s, want %v:%s", within, zones, missing)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// heldIn returns how many sampled positions servers of the zone hold.
func (c *cluster) heldIn(zone string) (held int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.servers {
		for _, g := range s.grants {
			if s.up && zoneOf(s.id) == zone && g.until.After(time.Now()) {
				held++
			}
		}
	}
	return held
}

// runEvacuation runs test with a cluster of 4 hosts and 6 servers in 3 zones.
func runEvacuation(t *testing.T, test func(*cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 6, 1, nil)
		defer func() {
			errors := c.close()
			assert.Equal(t, len(errors), 0, "%v", errors)
		}()
		time.Sleep(6 * time.Second)
		test(c)
	})
}

// knownWithin is when every host must know of a change at the latest: the limit of 5 s
// less the 2 s for which keys are still sent to their owners.
const knownWithin = 3 * time.Second

// Guards against hosts that do not learn of an evacuation or of its end, keys that stay
// in the zone, and keys that nobody serves meanwhile for longer than a move takes.
func TestEvacuationMovesKeysAndIsTakenBack(t *testing.T) {
	runEvacuation(t, func(c *cluster) {
		c.evacuate("a")
		c.requireZones(1500*time.Millisecond, "a")
		for range 20 { // hosts send requests for held keys for 2 s
			time.Sleep(100 * time.Millisecond)
			if c.heldIn("a") == 0 {
				break
			}
		}
		assert.Equal(t, c.heldIn("a"), 0)
		assert.Equal(t, c.unservedPositions(), 0)
		handovers := 0
		for _, r := range c.leader().node.View().Load().Assignments[firstService].Ranges {
			if r.Handover != "" {
				handovers++
			}
		}
		assert.Assert(t, handovers > 0, "keys were moved without a handover")
		c.evacuate("b") // zones overlap, one is unknown, and a repetition changes nothing
		c.evacuate("unknown")
		c.evacuate("a")
		c.requireZones(1500*time.Millisecond, "a", "b", "unknown")
		time.Sleep(3 * time.Second)
		assert.Equal(t, c.heldIn("a")+c.heldIn("b"), 0)
		assert.Equal(t, c.unservedPositions(), 0)
		c.takeBack("a")
		c.takeBack("unknown")
		c.requireZones(1500*time.Millisecond, "b")
		c.takeBack("b")
		c.requireZones(1500 * time.Millisecond)
		time.Sleep(10 * time.Second)
		assert.Equal(t, c.unservedPositions(), 0)
	})
}

// Guards against keys without an owner if an evacuation is taken back while they move,
// or if all servers of a service are evacuated.
func TestEvacuationTakenBackInTheMiddle(t *testing.T) {
	for _, after := range []time.Duration{0, 5 * time.Millisecond, 60 * time.Millisecond, 700 * time.Millisecond} {
		runEvacuation(t, func(c *cluster) {
			for _, zones := range []string{"a", "abc"} {
				for _, zone := range strings.Split(zones, "") {
					c.evacuate(zone)
				}
				time.Sleep(after)
				for _, zone := range strings.Split(zones, "") {
					c.takeBack(zone)
				}
				time.Sleep(6 * time.Second)
				c.requireZones(0)
				assert.Equal(t, c.unservedPositions(), 0, "after %s", after)
			}
		})
	}
}

// Guards against hosts that learn too late of an evacuation or of its end, which one
// failure at that moment makes harder.
func TestEvacuationIsKnownDespiteAFailure(t *testing.T) {
	failures := map[string]func(*cluster){
		"leader lost": func(c *cluster) {
			l := c.leader()
			c.store.Partition(l.name)
			c.killHost(l)
		},
		"leader cut off from the store": func(c *cluster) { c.store.Partition(c.leader().name) },
		"leader cut off from the hosts": func(c *cluster) { c.setIsolated(c.leader(), true) },
		"host cut off from the store": func(c *cluster) {
			for _, name := range hostNames {
				if name != c.leader().name {
					c.store.Partition(name)
				}
			}
		},
		"host cut off from store and leader": func(c *cluster) {
			h := c.hosts["host-h3"]
			if h.node.Leading() {
				h = c.hosts["host-h2"]
			}
			c.store.Partition(h.name)
			c.setLinkBlocked(h.name, c.leader().name, true)
		},
		"history compacted":      func(c *cluster) { c.store.Compact() },
		"responses lost":         func(c *cluster) { c.store.DropResponses(4) },
		"all hosts start again":  func(c *cluster) { c.restartHosts() },
		"store away for a while": func(c *cluster) { c.restoreFrom(nil) },
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			runEvacuation(t, func(c *cluster) {
				c.evacuate("a")
				fail(c)
				c.requireZones(knownWithin+c.outage, "a")
				time.Sleep(15 * time.Second)
				assert.Equal(t, c.heldIn("a"), 0)
				assert.Equal(t, c.unservedPositions(), 0)
			})
			runEvacuation(t, func(c *cluster) {
				fail(c)
				c.evacuate("a")
				c.requireZones(knownWithin+c.outage, "a")
			})
			runEvacuation(t, func(c *cluster) {
				c.evacuate("a")
				c.requireZones(knownWithin, "a")
				c.takeBack("a")
				fail(c)
				c.requireZones(knownWithin + c.outage)
			})
		})
	}
}

// restartHosts ends all hosts without a word and starts them again.
func (c *cluster) restartHosts() {
	for _, name := range hostNames {
		c.store.Partition(name)
		c.killHost(c.hosts["host-"+name])
	}
	time.Sleep(time.Second)
	c.outage = 2 * time.Second // the lease of the last leader and an election
	for _, name := range hostNames {
		c.store.Heal(name)
		c.startHost(name)
	}
}

// restoreFrom takes the store away for 2 s and restores it from a copy, if there is one.
func (c *cluster) restoreFrom(old *memory.Copy) {
	c.store.StartOutage()
	time.Sleep(2 * time.Second)
	if old != nil {
		c.store.Restore(old)
	}
	c.store.EndOutage()
	c.outage = 2 * time.Second // writes of the operator fail meanwhile
}

// Guards against an evacuation that is lost with the store's latest writes, one of the
// copy that does not count, and one that can't be ended after a restore.
func TestEvacuationAfterARestore(t *testing.T) {
	for name, kill := range map[string]bool{"leader stays": false, "leader lost": true} {
		t.Run(name, func(t *testing.T) {
			runEvacuation(t, func(c *cluster) {
				lacks := c.store.Copy()
				c.evacuate("a")
				c.requireZones(knownWithin, "a")
				if kill {
					c.killHost(c.leader())
				}
				c.restoreFrom(lacks)
				time.Sleep(6 * time.Second)
				c.requireZones(0, "a")
				c.evacuate("b")
				c.requireZones(knownWithin, "a", "b")
				c.evacuate("a")
				c.takeBack("a")
				c.requireZones(knownWithin, "b")
				c.startHost("h9") // a late host brings nothing back
				time.Sleep(time.Second)
				c.requireZones(0, "b")
				c.evacuate("c")
				has := c.store.Copy()
				c.takeBack("c")
				c.requireZones(knownWithin, "b")
				c.restoreFrom(has)
				c.requireZones(8*time.Second, "b", "c")
			})
		})
	}
}

// Guards against the loss of an evacuation that only a host other than the first leader
// of the new era knows.
func TestEvacuationThatOneHostKnowsOutlivesARestore(t *testing.T) {
	p := newSyncPair(t)
	p.follower.mergeEvacuations(NewEvacuations(90, map[string]Evacuation{"a": {Revision: 80}}), p.now)
	p.leader.mergeEvacuations(NewEvacuations(store.WithEra(2, 60), nil), p.now)
	p.exchange()
	p.exchange()
	for _, n := range []*Node{p.leader, p.follower} {
		assert.DeepEqual(t, n.view.Load().Evacuations.Zones(), []string{"a"})
	}
	// Its end in the new era counts, whatever a host has missed.
	p.leader.applyEvacuationEvents([]store.Event{{KeyValue: store.KeyValue{Key: evacuationPrefix + "a", ModRevision: store.WithEra(2, 70)}, Deleted: true}}, store.WithEra(2, 70), p.now)
	p.leader.mergeEvacuations(NewEvacuations(90, map[string]Evacuation{"a": {Revision: 80}}), 0)
	p.exchange()
	for _, n := range []*Node{p.leader, p.follower} {
		assert.Equal(t, len(n.view.Load().Evacuations.Zones()), 0)
	}
}

// exchange plays one sync in which the follower also states its evacuations.
func (p *syncPair) exchange() {
	p.leader.Schema.DecodeEvacuation = decodeEvacuation
	request := &fleetpb.SyncRequest{}
	p.follower.addEvacuations(request, true)
	p.leader.mergeEvacuations(evacuationsFromProto(request.Evacuations, request.EvacuationsRevision), 0)
	p.sync(0, nil)
}

// Guards against an end that a host does not see because its revision does not rise
// with polls without events, an older set that replaces a newer one, and a response of
// a build without evacuations that ends them.
func TestEvacuationSetWithTheHigherRevisionWins(t *testing.T) {
	p := newSyncPair(t)
	p.leader.mergeEvacuations(NewEvacuations(10, map[string]Evacuation{"a": {Revision: 9}}), p.now)
	p.sync(0, nil)
	p.leader.applyEvacuationEvents(nil, 30, p.now)
	p.sync(0, nil)
	assert.Equal(t, p.follower.view.Load().Evacuations.Revision, int64(30))
	p.follower.mergeEvacuations(NewEvacuations(20, map[string]Evacuation{"b": {Revision: 15}}), p.now)
	assert.DeepEqual(t, p.follower.view.Load().Evacuations.Zones(), []string{"a"})
	p.follower.applyResponse(&fleetpb.SyncResponse{Leader: true, Known: &fleetpb.Known{Config: 1}}, p.now)
	assert.DeepEqual(t, p.follower.view.Load().Evacuations.Zones(), []string{"a"})
	assert.Assert(t, p.follower.leaderOmitsEvacuations)
	p.follower.mergeEvacuations(NewEvacuations(40, nil), p.now)
	assert.Equal(t, len(p.follower.view.Load().Evacuations.Zones()), 0)
	// A host of an older build gets no update for what it does not know.
	_, update := p.leader.updateSince(&Snapshot{Evacuations: p.leader.view.Load().Evacuations}, &fleetpb.Known{})
	assert.Assert(t, !update)
}

// Guards against requests for keys that reach the zone after the limit: a host that
// learns late sends them for a shorter time, and one that has just started for none.
func TestKeysAreSentUntilTheLimitAtMost(t *testing.T) {
	server := registry.Server{AvailabilityZone: "a"}
	set := NewEvacuations(10, map[string]Evacuation{"a": {Revision: 9}})
	for age, want := range map[time.Duration]time.Duration{
		time.Second: heldKeysPeriod, 4 * time.Second: time.Second - evacuationMargin, 9 * time.Second: -4*time.Second - evacuationMargin} {
		p := newSyncPair(t)
		p.follower.mergeEvacuations(NewEvacuations(5, nil), p.now)
		p.now = p.now.Add(age)
		p.follower.mergeEvacuations(set, p.now)
		assert.Equal(t, p.follower.view.Load().TakesKeysUntil(server).Sub(p.now), want)
		p.now = p.now.Add(time.Second)
		p.follower.mergeEvacuations(NewEvacuations(20, map[string]Evacuation{"a": {Revision: 15}}), p.now) // repeated
		assert.Equal(t, p.follower.view.Load().TakesKeysUntil(server).Sub(p.now), want-time.Second)
	}
	p := newSyncPair(t)
	p.follower.mergeEvacuations(set, p.now)
	assert.Equal(t, p.follower.view.Load().TakesKeysUntil(server), boottime.Instant(0))
	assert.Assert(t, !p.follower.view.Load().TakesNewRequests(server))
}

// Guards against detours to servers of evacuated zones, and to any server before the
// host knows which zones are evacuated.
func TestDetoursToEvacuatedServersAreRefused(t *testing.T) {
	list := serverList(false)
	for zones, want := range map[string]bool{"a": false, "b": true, "": true} {
		s := Snapshot{Servers: list.WithChanges([]registry.Server{{ID: "s1", Address: "a1", AvailabilityZone: "a"}}, nil)}
		assert.Assert(t, !s.TakesNewRequestsAt("a1"))
		s.Evacuations = NewEvacuations(3, map[string]Evacuation{zones: {Revision: 2}})
		assert.Equal(t, s.TakesNewRequestsAt("a1"), want, zones)
		assert.Assert(t, !s.TakesNewRequestsAt("unlisted"))
	}
}
