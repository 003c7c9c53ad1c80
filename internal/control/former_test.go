package control

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// cutLeader starts a deployment, cuts the leader off from the store and the
// other hosts, and returns both.
func cutLeader(t *testing.T) (*cluster, *testHost) {
	c := newCluster(t, 4, 5, 7, nil)
	time.Sleep(6 * time.Second)
	first := c.leader()
	c.store.Cut(first.name)
	c.isolate(first, true)
	return c, first
}

// Guards against a range that is given away while a grant runs that a former
// leader sent before it answered that it had stopped.
func TestFormerLeaderStopsLate(t *testing.T) {
	for healAfter := 2 * time.Second; healAfter <= 4*time.Second; healAfter += 250 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			c, first := cutLeader(t)
			for _, h := range hostNames {
				c.setCut(h, "s1", h != first.name)
			}
			time.Sleep(healAfter)
			c.isolate(first, false)
			time.Sleep(12 * time.Second)
			assert.Equal(t, c.unserved(), 0)
			assert.Equal(t, len(c.close()), 0, "healed after %s: %v", healAfter, c.errors)
		})
	}
}

// Guards against a former leader that reaches the store again before it learns
// that its lease has ended: it took ranges from servers that the new leader
// still renewed. Seeds 1 and 17 of the random schedules found it.
func TestFormerLeaderChangesNothing(t *testing.T) {
	for healAfter := 4 * time.Second; healAfter <= 5*time.Second; healAfter += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			c, first := cutLeader(t)
			c.setCut(first.name, "s1", true)
			time.Sleep(healAfter)
			c.store.Heal(first.name)
			time.Sleep(6 * time.Second)
			assert.Equal(t, c.unserved(), 0)
			assert.Equal(t, len(c.close()), 0, "healed after %s: %v", healAfter, c.errors)
		})
	}
}

// Guards against a former leader that sends grants without a pause to servers
// that have refused them for a newer leader's.
func TestRefusedGrantsAreNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, first := cutLeader(t)
		time.Sleep(8 * time.Second)
		assert.Assert(t, first.node.Leading())
		c.mu.Lock()
		refused := c.refused
		c.mu.Unlock()
		assert.Assert(t, refused > 0 && refused <= 5*5, "%d grants refused", refused)
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
	})
}

// Guards against a change of the assignment for each try to reach a server that
// does not answer.
func TestUnreachableServerCostsFewChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 5, 7, nil)
		time.Sleep(6 * time.Second)
		version := func() int64 { return c.leader().node.View().Load().Shards["svc"].Version }
		before := version()
		for _, h := range hostNames {
			c.setCut(h, "s1", true)
		}
		time.Sleep(suspectAfter)
		for _, h := range hostNames {
			c.setCut(h, "s1", false)
		}
		time.Sleep(2 * time.Second)
		assert.Equal(t, c.unserved(), 0)
		// One for the session that broke.
		assert.Assert(t, version()-before <= 1, "%d changes", version()-before)
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
	})
}
