package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against aserrin-gw-grown trouble-1: a host of 0.16 cores led 59 hosts.
func TestSmallHostsGetNoDuties(t *testing.T) {
	var hosts []dutyHost
	for i := range 10 {
		hosts = append(hosts, dutyHost{address: fmt.Sprintf("small-%d", i), capacity: 0.16, leads: i == 0})
	}
	for i := range 4 {
		hosts = append(hosts, dutyHost{address: fmt.Sprintf("large-%d", i), capacity: 0.8})
	}
	out := assignDispatchers([]string{"a", "b", "c"}, hosts)
	seen := make(map[string]bool)
	for _, service := range []string{"a", "b", "c"} {
		assert.Equal(t, out[service][:5], "large")
		seen[out[service]] = true
	}
	assert.Equal(t, len(seen), 3)
}

// Guards against a leader that also places requests while other hosts are free,
// and against services without a dispatcher on few hosts.
func TestLeaderPlacesOnlyIfNeeded(t *testing.T) {
	services := []string{"a", "b"}
	leader := dutyHost{address: "l", capacity: 1, leads: true}
	out := assignDispatchers(services, []dutyHost{leader, {address: "x", capacity: 1}, {address: "y", capacity: 1}})
	assert.Assert(t, out["a"] != "l" && out["b"] != "l" && out["a"] != out["b"], "%v", out)
	out = assignDispatchers(services, []dutyHost{leader})
	assert.DeepEqual(t, out, map[string]string{"a": "l", "b": "l"})
	out = assignDispatchers(services, []dutyHost{leader, {address: "x", capacity: 1}})
	assert.Assert(t, out["a"] != out["b"], "%v", out)
}

// Guards against a small host that leads although a large one is there, at the
// start and after the large one was away.
func TestLargestHostLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 5, 7, func(n *Node) {
			n.Capacity = 0.16
			if n.Host == "h2" {
				n.Capacity = 0.8
			}
		})
		time.Sleep(6 * time.Second)
		assert.Equal(t, c.leader().name, "h2")
		c.store.Cut("h2")
		time.Sleep(6 * time.Second)
		assert.Assert(t, c.leader() != nil && c.leader().name != "h2")
		c.store.Heal("h2")
		time.Sleep(giveWayAfter + 3*time.Second)
		assert.Assert(t, c.leader() != nil)
		assert.Equal(t, c.leader().name, "h2")
		assert.Equal(t, c.unserved(), 0)
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
	})
}

// Guards against aserrin-gw-grown trouble-1: the leader's lease ended while the
// store refused it, each host found that out at its own next reading, and a host
// of 0.16 cores was first.
func TestSmallHostsStandLater(t *testing.T) {
	assert.Equal(t, electionDelay(0.8, 0.8), time.Duration(0))
	assert.Assert(t, electionDelay(0.16, 0.8) >= readInterval-electionJitter)
	// Hosts of one size lose little at a start, when none knows the others.
	assert.Assert(t, electionDelay(0.32, 0) < 150*time.Millisecond)
}
