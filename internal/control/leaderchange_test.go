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
	c.mu.Lock()
	defer c.mu.Unlock()
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

// Guards against a request that crashes servers and is sent again because the leader
// that counted the crashes is lost.
func TestBlockedRequestsOutliveTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 5, 17, nil)
		time.Sleep(6 * time.Second)
		fingerprint := []byte("crashing request")
		for _, server := range []string{"s0", "s1", "s2"} {
			c.hosts["host-h1"].node.Reports.ReportCrash(fingerprint, server, false)
		}
		time.Sleep(2 * time.Second)
		isBlocked := func(h *testHost) bool { return h.node.View().Load().BlockedFingerprints[string(fingerprint)] }
		for _, h := range c.hosts {
			assert.Assert(t, isBlocked(h), "%s", h.name)
		}
		c.replaceLeader()
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			for _, h := range c.hosts {
				assert.Assert(t, isBlocked(h), "%s forgot the request", h.name)
			}
		}
		time.Sleep(suspicionTTL)
		for _, h := range c.hosts {
			assert.Assert(t, !isBlocked(h), "%s still blocks the request without a new crash", h.name)
		}
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
	})
}
