package control

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// isolateLeader starts a deployment and cuts the leader off from the store and
// the other hosts. It returns the deployment and the leader.
func isolateLeader(t *testing.T) (*cluster, *testHost) {
	c := newCluster(t, 4, 5, 7, nil)
	time.Sleep(6 * time.Second)
	first := c.leader()
	c.store.Partition(first.name)
	c.setIsolated(first, true)
	return c, first
}

// Guards against reassigning a range while a grant is valid that a former
// leader sent before it confirmed that it had stopped.
func TestFormerLeaderStopsLate(t *testing.T) {
	for healAfter := 2 * time.Second; healAfter <= 4*time.Second; healAfter += 250 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			c, first := isolateLeader(t)
			for _, h := range hostNames {
				c.setLinkBlocked(h, "s1", h != first.name)
			}
			time.Sleep(healAfter)
			c.setIsolated(first, false)
			time.Sleep(12 * time.Second)
			assert.Equal(t, c.unservedPositions(), 0)
			assert.Equal(t, len(c.close()), 0, "healed after %s: %v", healAfter, c.errors)
		})
	}
}

// Guards against commits of a former leader that reaches the store again before
// it learns that its lease has expired. It released ranges at servers that the
// new leader still renewed. Seeds 1 and 17 of the random schedules reproduce
// it.
func TestFormerLeaderChangesNothing(t *testing.T) {
	for healAfter := 4 * time.Second; healAfter <= 5*time.Second; healAfter += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			c, first := isolateLeader(t)
			c.setLinkBlocked(first.name, "s1", true)
			time.Sleep(healAfter)
			c.store.Heal(first.name)
			time.Sleep(6 * time.Second)
			assert.Equal(t, c.unservedPositions(), 0)
			assert.Equal(t, len(c.close()), 0, "healed after %s: %v", healAfter, c.errors)
		})
	}
}

// Guards against a former leader that keeps resending grants to servers that
// have refused them because of a newer leader's tokens.
func TestRefusedGrantsAreNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, first := isolateLeader(t)
		time.Sleep(8 * time.Second)
		assert.Assert(t, first.node.Leading())
		c.mu.Lock()
		refused := c.rejectedGrants
		c.mu.Unlock()
		assert.Assert(t, refused > 0 && refused <= 5*5, "%d grants refused", refused)
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
	})
}

// Guards against a new version of the assignment for each attempt to reach a
// server that does not respond.
func TestUnreachableServerCostsFewChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 5, 7, nil)
		time.Sleep(6 * time.Second)
		version := func() int64 { return c.leader().node.View().Load().Assignments["svc"].Version }
		before := version()
		for _, h := range hostNames {
			c.setLinkBlocked(h, "s1", true)
		}
		time.Sleep(suspectAfter)
		for _, h := range hostNames {
			c.setLinkBlocked(h, "s1", false)
		}
		time.Sleep(2 * time.Second)
		assert.Equal(t, c.unservedPositions(), 0)
		// One change is expected: new tokens after the broken session.
		assert.Assert(t, version()-before <= 1, "%d changes", version()-before)
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
	})
}
