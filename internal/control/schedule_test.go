package control

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// hostNames are the hosts of the schedules' clusters.
var hostNames = []string{"h0", "h1", "h2", "h3"}

// schedule runs 40 s of random faults and 20 s of calm, and returns what went
// wrong: positions with two owners, tokens that do not rise, or positions that
// stay without an owner in the calm.
func schedule(t *testing.T, seed uint64, options func(*Node)) (errors []string) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 5, seed, options)
		time.Sleep(5 * time.Second)
		for time.Since(c.start) < 40*time.Second {
			c.randomFault()
			time.Sleep(time.Duration(c.random.IntN(2500)) * time.Millisecond)
		}
		c.calm()
		time.Sleep(20 * time.Second)
		if missing := c.unserved(); missing > 0 {
			c.errors = append(c.errors, fmt.Sprintf("%d points have no owner after 20 s of calm", missing))
		}
		errors = c.close()
	})
	return errors
}

// randomFault starts or ends one fault.
func (c *cluster) randomFault() {
	host := hostNames[c.random.IntN(len(hostNames))]
	server := fmt.Sprintf("s%d", c.random.IntN(5))
	switch c.random.IntN(11) {
	case 0:
		c.store.Down()
	case 1:
		c.store.Up()
	case 2:
		c.store.Cut(host)
	case 3:
		c.store.Heal(host)
	case 4:
		c.crash(server)
	case 5:
		c.startServer(server)
	case 6:
		c.setCut(host, server, true)
	case 7:
		c.setCut(host, server, false)
	case 8:
		if l := c.leader(); l != nil {
			c.store.Cut(l.name)
			c.killHost(l)
			time.Sleep(time.Duration(c.random.IntN(3000)) * time.Millisecond)
			c.store.Heal(l.name)
			c.startHost(l.name)
		}
	case 9:
		c.mu.Lock()
		c.lateRate = []float64{0, 0.3, 0.6}[c.random.IntN(3)]
		c.mu.Unlock()
	case 10:
		if l := c.leader(); l != nil {
			c.setCut(host, l.name, true)
			c.setCut(l.name, host, true)
			c.setCut(l.name, server, true)
		}
	}
}

func (c *cluster) calm() {
	c.store.Up()
	for _, h := range hostNames {
		c.store.Heal(h)
	}
	c.mu.Lock()
	clear(c.cut)
	c.lateRate = 0
	var down []string
	for _, s := range c.servers {
		if !s.up {
			down = append(down, s.id)
		}
	}
	c.mu.Unlock()
	for _, id := range down {
		c.startServer(id)
	}
}

// Longer runs: go test ./internal/control -run TestRandomSchedules -schedules 2000 -seed 1000
var (
	schedules = flag.Uint64("schedules", 24, "number of random schedules")
	firstSeed = flag.Uint64("seed", 0, "seed of the first random schedule")
)

// Guards against two owners of a position, and against positions that are lost,
// under random faults.
func TestRandomSchedules(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*schedules; seed++ {
		errors := schedule(t, seed, nil)
		assert.Equal(t, len(errors), 0, "seed %d: %v", seed, errors)
	}
}

// The schedules must find a leader that takes shortcuts; otherwise they prove
// nothing.
func TestSchedulesFindBrokenVariants(t *testing.T) {
	variants := map[string]func(*Node){
		"does not wait for grants to expire": func(n *Node) { n.timing.grantExpiry = 0 },
		"waits less than a grant lasts":      func(n *Node) { n.timing.grantExpiry = Hold / 2 },
	}
	for name, broken := range variants {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(60) {
				if len(schedule(t, seed, broken)) > 0 {
					return
				}
			}
			t.Error("no schedule finds the variant")
		})
	}
}

// isolatedLeader cuts the leader off from the store and the other hosts, while
// it still reaches a server that the others do not reach.
func isolatedLeader(t *testing.T, options func(*Node)) (errors []string) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 5, 7, options)
		time.Sleep(6 * time.Second)
		first := c.leader()
		c.store.Cut(first.name)
		c.isolate(first, true)
		for _, h := range hostNames {
			c.setCut(h, "s1", h != first.name)
		}
		time.Sleep(30 * time.Second)
		if missing := c.unserved(); missing > 0 {
			c.errors = append(c.errors, fmt.Sprintf("%d points have no owner", missing))
		}
		errors = c.close()
	})
	return errors
}

// Guards against a new leader that gives away what a former one still renews.
func TestIsolatedLeader(t *testing.T) {
	assert.Equal(t, len(isolatedLeader(t, nil)), 0)
	assert.Assert(t, len(isolatedLeader(t, func(n *Node) { n.timing.outageAuthority = time.Minute })) > 0, "renews without a lease for a minute")
	assert.Assert(t, len(isolatedLeader(t, func(n *Node) { n.timing.formerWait = 0 })) > 0, "does not wait for former leaders")
	assert.Assert(t, len(isolatedLeader(t, func(n *Node) { n.timing.assumeStopped = true })) > 0, "forgets that former leaders may be alive")
}
