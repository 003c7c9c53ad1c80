package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against duties on small hosts. In the run aserrin-gw-grown trouble-1 a
// host of 0.16 cores led 59 hosts.
func TestSmallHostsGetNoDuties(t *testing.T) {
	var hosts []dutyHost
	for i := range 10 {
		hosts = append(hosts, dutyHost{address: fmt.Sprintf("small-%d", i), capacity: 0.16, leading: i == 0})
	}
	for i := range 4 {
		hosts = append(hosts, dutyHost{address: fmt.Sprintf("large-%d", i), capacity: 0.8})
	}
	out := selectDispatchers([]string{"a", "b", "c"}, hosts)
	seen := make(map[string]bool)
	for _, service := range []string{"a", "b", "c"} {
		assert.Equal(t, out[service][:5], "large")
		seen[out[service]] = true
	}
	assert.Equal(t, len(seen), 3)
}

// Guards against a leader that is also a dispatcher while other hosts are free,
// and against services without a dispatcher when there are few hosts.
func TestLeaderDispatchesOnlyIfNeeded(t *testing.T) {
	services := []string{"a", "b"}
	leader := dutyHost{address: "l", capacity: 1, leading: true}
	out := selectDispatchers(services, []dutyHost{leader, {address: "x", capacity: 1}, {address: "y", capacity: 1}})
	assert.Assert(t, out["a"] != "l" && out["b"] != "l" && out["a"] != out["b"], "%v", out)
	out = selectDispatchers(services, []dutyHost{leader})
	assert.DeepEqual(t, out, map[string]string{"a": "l", "b": "l"})
	out = selectDispatchers(services, []dutyHost{leader, {address: "x", capacity: 1}})
	assert.Assert(t, out["a"] != out["b"], "%v", out)
}

// Guards against a small host that leads although a large one is available, at
// the start and after the large one has returned.
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
		c.store.Partition("h2")
		time.Sleep(6 * time.Second)
		assert.Assert(t, c.leader() != nil && c.leader().name != "h2")
		c.store.Heal("h2")
		time.Sleep(successionDelay + 3*time.Second)
		assert.Assert(t, c.leader() != nil)
		assert.Equal(t, c.leader().name, "h2")
		assert.Equal(t, c.unservedPositions(), 0)
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
	})
}

// Guards against the election of a small host because it notices first that
// there is no leader. In the run aserrin-gw-grown trouble-1 the leader's lease
// ended while the store refused its calls, each host noticed that at its own
// next read, and a host of 0.16 cores was first.
func TestSmallHostsCampaignLater(t *testing.T) {
	assert.Equal(t, electionDelay(0.8, 0.8), time.Duration(0))
	assert.Assert(t, electionDelay(0.16, 0.8) >= minReadInterval-electionJitter)
	// After a start, when no host knows the others, hosts of equal size must
	// not wait long.
	assert.Assert(t, electionDelay(0.32, 0) < 150*time.Millisecond)
}
