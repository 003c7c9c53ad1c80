package control

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// replaceLeader stops the leader's process; another host follows.
func (c *cluster) replaceLeader() {
	leader := c.leader()
	leader.cancel()
	delete(c.hosts, leader.address)
}

// Guards against shares that grow when the leader is lost: each host takes its part of
// a server and of the retry budget by the number of hosts.
func TestHostCountOutlivesTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 8, 5, 16, nil)
		time.Sleep(8 * time.Second)
		c.replaceLeader()
		for range 400 {
			time.Sleep(10 * time.Millisecond)
			for _, h := range c.hosts {
				count := h.node.View().Load().HostCount
				assert.Assert(t, count >= 7, "%s counts %d hosts, 7 are left", h.name, count)
			}
		}
		time.Sleep(2 * time.Second)
		for _, h := range c.hosts {
			assert.Equal(t, h.node.View().Load().HostCount, 7)
		}
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
	})
}
