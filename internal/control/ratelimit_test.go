package control

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/ratelimit"
)

// hostsWithLimit returns how many hosts know the limit of the server s0 as rate, or
// know of none if rate is 0.
func (c *cluster) hostsWithLimit(rate float64) (count int) {
	for _, h := range c.hosts {
		known := 0.0
		for _, s := range h.node.RateLimits.Statuses() {
			if s.ID == "s0" {
				known = s.Rate
			}
		}
		if known == rate {
			count++
		}
	}
	return count
}

// hear makes a host hear a limit from the server s0; a rate of 0 is its end.
func (c *cluster) hear(host string, rate float64) {
	announcement := ratelimit.Limited
	if rate == 0 {
		announcement = ratelimit.Unlimited
	}
	table := c.hosts[host].node.RateLimits
	table.Observe(ratelimit.Server{ID: "s0", Service: "svc", Incarnation: 1}, announcement, rate, 0)
}

// Guards against a limit that is known to the hosts only that the server has answered.
func TestRateLimitReachesEveryHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, 5, 11, nil)
		time.Sleep(6 * time.Second)
		for _, rate := range []float64{1.5, 4, 0.5, 0} {
			c.hear("host-h1", rate)
			time.Sleep(time.Second)
			assert.Equal(t, c.hostsWithLimit(rate), 5, "limit %g", rate)
		}
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
	})
}

// Guards against a limit that a new leader does not know: the former one collected it.
func TestRateLimitOutlivesTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 5, 12, nil)
		time.Sleep(6 * time.Second)
		c.hear("host-h1", 1.5)
		time.Sleep(time.Second)
		c.replaceLeader()
		time.Sleep(3 * time.Second)
		c.startHost("h9")
		time.Sleep(3 * time.Second)
		assert.Equal(t, c.hostsWithLimit(1.5), 4)
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
	})
}

// Guards against a new leader without the limits that only other hosts know.
func TestNewLeaderAsksForRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 5, 15, nil)
		time.Sleep(6 * time.Second)
		leader := c.leader()
		var followers []*testHost
		for _, h := range c.hosts {
			if h != leader {
				followers = append(followers, h)
			}
		}
		next := followers[0]
		c.setLinks(next, followers[1:], true)
		c.setLinks(next, []*testHost{leader}, true)
		c.hear(followers[1].address, 4)
		time.Sleep(2 * time.Second)
		assert.Equal(t, c.hostsWithLimit(4), 3)
		for _, h := range followers[1:] {
			h.node.Retire() // so that the host without the limit leads
		}
		c.replaceLeader()
		c.setLinks(next, followers[1:], false)
		time.Sleep(5 * time.Second)
		assert.Assert(t, next.node.Leading())
		assert.Equal(t, c.hostsWithLimit(4), 3)
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
	})
}

// setLinks blocks or unblocks the links between a host and others.
func (c *cluster) setLinks(h *testHost, others []*testHost, blocked bool) {
	for _, other := range others {
		c.setLinkBlocked(h.name, other.name, blocked)
		c.setLinkBlocked(other.name, h.name, blocked)
	}
}

// Guards against a host that starts while there is neither leader nor store and
// sends without regard to the limits that the others know.
func TestNewHostLearnsRateLimitsFromPeersDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 5, 13, nil)
		time.Sleep(6 * time.Second)
		c.hear("host-h1", 1.5)
		time.Sleep(time.Second)
		c.store.StartOutage()
		c.replaceLeader()
		time.Sleep(time.Second)
		c.startHost("h9")
		time.Sleep(2 * time.Second)
		assert.Equal(t, c.hostsWithLimit(1.5), 4)
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
	})
}

// Guards against a limit that the hosts report to each other again and again, which
// makes it look newer than its end.
func TestEndOfRateLimitIsFinal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 5, 5, 14, nil)
		time.Sleep(6 * time.Second)
		for i := range 20 {
			c.hear("host-h1", 1.5+float64(i))
			time.Sleep(300 * time.Millisecond)
		}
		c.hear("host-h2", 0)
		time.Sleep(10 * time.Second)
		assert.Equal(t, c.hostsWithLimit(0), 5)
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
	})
}
