package control

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/shards"
	"github.com/cassiasill/cassiasill/internal/store"
	"github.com/cassiasill/cassiasill/internal/store/memory"
)

// restoreStore takes the store away for a time and restores it from the copy.
func (c *cluster) restoreStore(from *memory.Copy, away time.Duration) {
	c.store.StartOutage()
	time.Sleep(away)
	c.store.Restore(from)
	c.store.EndOutage()
}

// cutServer blocks or unblocks all hosts' calls to a server.
func (c *cluster) cutServer(id string, blocked bool) {
	for _, h := range hostNames {
		c.setLinkBlocked(h, id, blocked)
	}
}

// moveKeysSince returns a copy of the store, after which the keys of s1 and s2
// have moved to other servers, while both live on.
func (c *cluster) moveKeysSince() *memory.Copy {
	before := c.store.Copy()
	c.cutServer("s1", true)
	c.cutServer("s2", true)
	time.Sleep(7 * time.Second)
	c.cutServer("s1", false)
	c.cutServer("s2", false)
	time.Sleep(time.Second)
	return before
}

// restoreCase is a way in which the store goes back to an older copy.
type restoreCase struct {
	name string
	// hideChanges keeps the changes since the copy from all hosts but the leader.
	hideChanges bool
	// restore takes the store back to the copy.
	restore func(*cluster, *memory.Copy)
}

// setFollowersCut cuts all hosts but the leader off from the leader and the store,
// or reconnects them.
func (c *cluster) setFollowersCut(leader *testHost, cut bool) {
	c.setIsolated(leader, cut)
	for _, name := range hostNames {
		switch {
		case name == leader.name:
		case cut:
			c.store.Partition(name)
		default:
			c.store.Heal(name)
		}
	}
}

// replaceLeaderHost kills the leader and waits for the next one.
func replaceLeaderHost(c *cluster) *testHost {
	first := c.leader()
	c.killHost(first)
	time.Sleep(4 * time.Second)
	return first
}

func restoreCases() []restoreCase {
	return []restoreCase{
		{name: "leader stays", restore: func(c *cluster, old *memory.Copy) { c.restoreStore(old, 2*time.Second) }},
		{name: "store away for 0.2 s", restore: func(c *cluster, old *memory.Copy) { c.restoreStore(old, 200*time.Millisecond) }},
		{name: "store away for 10 s", restore: func(c *cluster, old *memory.Copy) { c.restoreStore(old, 10*time.Second) }},
		{name: "leader killed during the outage", restore: func(c *cluster, old *memory.Copy) {
			c.store.StartOutage()
			c.killHost(c.leader())
			c.restoreStore(old, time.Second)
		}},
		{name: "leader killed after the restore", restore: func(c *cluster, old *memory.Copy) {
			l := c.leader()
			c.restoreStore(old, time.Second)
			time.Sleep(100 * time.Millisecond)
			c.killHost(l)
		}},
		{name: "leader cut off from the store", restore: func(c *cluster, old *memory.Copy) {
			l := c.leader()
			c.store.Partition(l.name)
			c.restoreStore(old, time.Second)
			time.Sleep(6 * time.Second)
			c.store.Heal(l.name)
		}},
		{name: "leader cut off from store and hosts", restore: func(c *cluster, old *memory.Copy) {
			l := c.leader()
			c.store.Partition(l.name)
			c.setIsolated(l, true)
			c.restoreStore(old, time.Second)
			time.Sleep(8 * time.Second)
			c.setIsolated(l, false)
			c.store.Heal(l.name)
		}},
		{name: "former leader's record is back", restore: func(c *cluster, old *memory.Copy) {
			first := replaceLeaderHost(c)
			c.startHost(first.name)
			time.Sleep(time.Second)
			c.restoreStore(old, 2*time.Second)
		}},
		{name: "record of a lost leader is back", restore: func(c *cluster, old *memory.Copy) {
			replaceLeaderHost(c)
			c.restoreStore(old, 2*time.Second)
		}},
		{name: "restored twice", restore: func(c *cluster, old *memory.Copy) {
			c.restoreStore(old, time.Second)
			time.Sleep(3 * time.Second)
			c.restoreStore(old, time.Second)
		}},
		{name: "restored right after an outage", restore: func(c *cluster, old *memory.Copy) {
			c.store.StartOutage()
			time.Sleep(3 * time.Second)
			c.store.EndOutage()
			time.Sleep(300 * time.Millisecond)
			c.restoreStore(old, 200*time.Millisecond)
		}},
		{name: "host starts in the new era", restore: func(c *cluster, old *memory.Copy) {
			c.restoreStore(old, time.Second)
			c.startHost("h9")
		}},
		{name: "new host and no leader", restore: func(c *cluster, old *memory.Copy) {
			c.store.StartOutage()
			c.killHost(c.leader())
			c.startHost("h9")
			c.restoreStore(old, time.Second)
		}},
		{name: "server lost in the new era", restore: func(c *cluster, old *memory.Copy) {
			c.restoreStore(old, time.Second)
			time.Sleep(500 * time.Millisecond)
			c.crashServer("s3")
		}},
		{name: "last leader lost with changes that no host knows", hideChanges: true, restore: func(c *cluster, old *memory.Copy) {
			l := c.leader()
			c.store.StartOutage()
			c.killHost(l)
			c.setFollowersCut(l, false)
			c.restoreStore(old, 200*time.Millisecond)
		}},
		{name: "last leader cut off with changes that no host knows", hideChanges: true, restore: func(c *cluster, old *memory.Copy) {
			l := c.leader()
			c.store.StartOutage()
			c.setFollowersCut(l, false)
			c.setIsolated(l, true)
			c.store.Partition(l.name)
			c.restoreStore(old, 200*time.Millisecond)
			time.Sleep(5 * time.Second)
			c.setIsolated(l, false)
			c.store.Heal(l.name)
		}},
		{name: "last leader tells changes that no host knows", hideChanges: true, restore: func(c *cluster, old *memory.Copy) {
			l := c.leader()
			c.store.StartOutage()
			c.setFollowersCut(l, false)
			c.store.Partition(l.name)
			c.restoreStore(old, 200*time.Millisecond)
		}},
		{name: "only a new host reaches the store", restore: func(c *cluster, old *memory.Copy) {
			c.store.StartOutage()
			for _, name := range hostNames {
				c.store.Partition(name)
			}
			c.killHost(c.leader())
			c.startHost("h9")
			c.restoreStore(old, time.Second)
		}},
		{name: "all hosts are new and the last leader renews on", restore: func(c *cluster, old *memory.Copy) {
			l := c.leader()
			c.store.StartOutage()
			c.store.Partition(l.name)
			c.setIsolated(l, true)
			for _, name := range hostNames {
				if name != l.name {
					c.killHost(c.hosts["host-"+name])
				}
			}
			for _, server := range []string{"s1", "s3", "s4"} {
				c.setLinkBlocked("h9", server, true)
			}
			c.startHost("h9")
			c.setLinkBlocked("h9", l.name, true)
			c.restoreStore(old, time.Second)
			time.Sleep(8 * time.Second)
			for _, server := range []string{"s1", "s3", "s4"} {
				c.setLinkBlocked("h9", server, false)
			}
		}},
		{name: "all hosts are new", restore: func(c *cluster, old *memory.Copy) {
			c.store.StartOutage()
			for _, name := range hostNames {
				c.killHost(c.hosts["host-"+name])
			}
			c.startHost("h8")
			c.startHost("h9")
			c.restoreStore(old, time.Second)
		}},
		{name: "change without an outcome before the outage", restore: func(c *cluster, old *memory.Copy) {
			c.cutServer("s4", true)
			time.Sleep(1500 * time.Millisecond)
			c.restoreStore(old, 2*time.Second)
			c.cutServer("s4", false)
		}},
		{name: "copy from before the first assignment", restore: func(c *cluster, _ *memory.Copy) {
			c.restoreStore(c.emptyCopy, time.Second)
		}},
		{name: "all hosts are new and the copy has no assignment", restore: func(c *cluster, _ *memory.Copy) {
			c.store.StartOutage()
			for _, name := range hostNames {
				c.killHost(c.hosts["host-"+name])
			}
			c.startHost("h9")
			c.restoreStore(c.emptyCopy, time.Second)
		}},
		{name: "former leader is elected again and reaches no host", restore: func(c *cluster, old *memory.Copy) {
			l := c.leader()
			c.store.Partition(l.name)
			c.setIsolated(l, true)
			time.Sleep(16 * time.Second) // another host leads, and the former one has stopped
			c.cutServer("s3", true)
			time.Sleep(7 * time.Second)
			c.cutServer("s3", false)
			time.Sleep(time.Second)
			c.store.StartOutage()
			c.setFollowersCut(l, true)
			c.store.Heal(l.name)
			c.restoreStore(old, 200*time.Millisecond)
			time.Sleep(8 * time.Second)
			c.setFollowersCut(l, false)
		}},
		{name: "calls of the old era arrive late", restore: func(c *cluster, old *memory.Copy) {
			c.mu.Lock()
			c.delayedCallRate = 0.3
			c.mu.Unlock()
			c.restoreStore(old, time.Second)
			time.Sleep(8 * time.Second)
			c.mu.Lock()
			c.delayedCallRate = 0
			c.mu.Unlock()
		}},
	}
}

// runRestore plays one case and returns the errors, with positions that have no
// owner at the end.
func runRestore(t *testing.T, play restoreCase, seed uint64, options func(*Node)) (errors []string) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 5, seed, options)
		time.Sleep(6 * time.Second)
		if play.hideChanges {
			c.setFollowersCut(c.leader(), true)
		}
		play.restore(c, c.moveKeysSince())
		time.Sleep(25 * time.Second)
		if missing := c.unservedPositions(); missing > 0 {
			c.errors = append(c.errors, fmt.Sprintf("%d positions have no owner 25 s after the restore", missing))
		}
		errors = c.close()
	})
	return errors
}

// Guards against two owners of a key, and tokens given out twice, after the store
// came back from an older copy.
func TestRestoredStoreGivesNoKeyTwoOwners(t *testing.T) {
	for _, play := range restoreCases() {
		t.Run(play.name, func(t *testing.T) {
			errors := runRestore(t, play, 11, nil)
			assert.Equal(t, len(errors), 0, "%v", errors)
		})
	}
}

// Guards against a new leader that gets only what a former leader has published,
// not what it has committed.
func TestRecoveryIncludesUnpublishedAssignments(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, 3, 15, nil)
		time.Sleep(6 * time.Second)
		n := c.leader().node
		published := n.View().Load().Assignments["svc"].Version
		n.recordCommitted("svc", n.View().Load().Assignments["svc"].NextVersion())
		versionIn := func(recovery bool) int64 {
			response := n.relayResponse(&fleetpb.Known{}, recovery)
			a, err := shards.Decode(response.Shards[0].Document, 1)
			assert.NilError(t, err)
			return a.Version
		}
		normal, recovery := versionIn(false), versionIn(true)
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
		assert.Equal(t, normal, published)
		assert.Equal(t, recovery, published+1)
	})
}

// Guards against a write of an earlier era that is applied late, under revisions
// that have been given out again by chance.
func TestRecoveryShutsOutLateWritesOfTheLostEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 3, 16, nil)
		time.Sleep(6 * time.Second)
		late := c.leader().node.currentLeadership().conditions()
		c.restoreStore(c.store.Copy(), time.Second)
		time.Sleep(4 * time.Second)
		current := c.leader().node.currentLeadership().term
		late[0].ModRevision = store.WithoutEra(current)
		result, err := c.store.RawClient("late").Txn(context.Background(), late, []store.Op{store.Put("late", nil)})
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
		assert.NilError(t, err)
		assert.Assert(t, !result.Succeeded)
	})
}

// Guards against keys that stay without an owner while a leader in place writes
// again what the store has lost.
func TestRestoredStoreKeepsKeysServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 5, 12, nil)
		time.Sleep(6 * time.Second)
		old := c.moveKeysSince()
		time.Sleep(8 * time.Second)
		c.restoreStore(old, time.Second)
		unserved := 0
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			unserved += c.unservedPositions()
		}
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
		assert.Equal(t, unserved, 0, "of %d", 100*sampledPositions)
	})
}

// configVersions returns the configuration versions in force at the hosts.
func (c *cluster) configVersions() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]int64)
	for _, h := range c.hosts {
		out[h.name] = 0
		if config := h.node.View().Load().Config; config != nil {
			out[h.name] = config.Version
		}
	}
	return out
}

// checkConfig records an error for each host with another version in force.
func (c *cluster) checkConfig(want int64) {
	for host, version := range c.configVersions() {
		if version != want {
			c.errors = append(c.errors, fmt.Sprintf("%s: configuration %d at %s, want %d", time.Since(c.startedAt), version, host, want))
		}
	}
}

// Guards against a configuration that goes back with the store, and one that is
// ignored because its revision was given out before.
func TestRestoredStoreTakesNoConfigurationBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 5, 13, nil)
		c.putEntry("operator/config", "4")
		time.Sleep(6 * time.Second)
		old := c.store.Copy()
		c.putEntry("operator/config", "9")
		time.Sleep(time.Second)
		c.putEntry("operator/config", "13")
		time.Sleep(time.Second)
		c.checkConfig(13)

		c.restoreStore(old, time.Second)
		c.startHost("h9")
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			for host, version := range c.configVersions() {
				if version != 13 && (host != "h9" || version == 4) {
					c.errors = append(c.errors, fmt.Sprintf("configuration went back to %d at %s", version, host))
				}
			}
		}
		c.checkConfig(13)
		// Written again under a revision that the hosts have seen; then a new one.
		c.putEntry("operator/config", "13")
		time.Sleep(time.Second)
		c.putEntry("operator/config", "17")
		time.Sleep(1500 * time.Millisecond)
		c.checkConfig(17)
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
	})
}

// Guards against an invalid configuration, or a newer one under a revision that
// was seen before, deciding what is in force after a restore.
func TestRestoredStoreKeepsTheConfigurationOverAnInvalidOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 5, 14, nil)
		time.Sleep(6 * time.Second)
		old := c.store.Copy()
		c.putEntry("operator/config", "9")
		time.Sleep(time.Second)
		c.restoreStore(old, 200*time.Millisecond)
		c.putEntry("operator/config", "not a number")
		time.Sleep(time.Second)
		c.checkConfig(9)
		c.putEntry("operator/config", "10")
		time.Sleep(1500 * time.Millisecond)
		c.checkConfig(10)
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
	})
}
