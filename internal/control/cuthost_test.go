package control

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a server that left while a host was cut off from the store and that the
// host uses again with its first own read (DRAIN on aserrin-gw).
func TestServerThatLeftDuringAHostsCutStaysAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 5, 81, nil)
		time.Sleep(6 * time.Second)
		leader := c.leader()
		host := c.hosts["host-h0"]
		if host == leader {
			host = c.hosts["host-h1"]
		}
		// The host misses the leader for a time, and its own reads fail.
		c.store.Partition(host.name)
		c.setLinkBlocked(host.name, leader.name, true)
		time.Sleep(4 * time.Second)
		c.setLinkBlocked(host.name, leader.name, false)
		time.Sleep(2 * time.Second)
		c.crashServer("s1")
		time.Sleep(2 * time.Second)
		assert.Equal(t, host.node.View().Load().Servers.Servers["s1"].ID, "", "it learns from the leader that the server has left")
		c.store.Heal(host.name)
		c.store.Partition(leader.name)
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, host.node.View().Load().Servers.Servers["s1"].ID, "", "the server is in use again")
		}
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
	})
}
