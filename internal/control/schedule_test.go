package control

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// hostNames are the hosts of the clusters in these tests.
var hostNames = []string{"h0", "h1", "h2", "h3"}

// runSchedule runs 40 s of random faults and 20 s without faults. It returns
// the errors: positions with two owners, tokens that do not rise, and positions
// without an owner at the end.
func runSchedule(t *testing.T, seed uint64, options func(*Node)) (errors []string) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 5, seed, options)
		time.Sleep(5 * time.Second)
		for time.Since(c.startedAt) < 40*time.Second {
			c.randomFault()
			time.Sleep(time.Duration(c.scheduleRandom.IntN(2500)) * time.Millisecond)
		}
		errors = c.recoverAndClose()
	})
	return errors
}

// recoverAndClose ends all faults and, after 20 s, the cluster. It returns the errors.
func (c *cluster) recoverAndClose() []string {
	c.endFaults()
	time.Sleep(20 * time.Second)
	if missing := c.unservedPositions(); missing > 0 {
		c.errors = append(c.errors, fmt.Sprintf("%d positions have no owner 20 s after the last fault", missing))
	}
	return c.close()
}

// randomFault starts or ends one fault.
func (c *cluster) randomFault() {
	host := hostNames[c.scheduleRandom.IntN(len(hostNames))]
	server := fmt.Sprintf("s%d", c.scheduleRandom.IntN(5))
	switch c.scheduleRandom.IntN(13) {
	case 0:
		c.store.StartOutage()
	case 1:
		c.store.EndOutage()
	case 2:
		c.store.Partition(host)
	case 3:
		c.store.Heal(host)
	case 4:
		c.crashServer(server)
	case 5:
		c.startServer(server)
	case 6:
		c.setLinkBlocked(host, server, true)
	case 7:
		c.setLinkBlocked(host, server, false)
	case 8:
		if l := c.leader(); l != nil {
			c.store.Partition(l.name)
			c.killHost(l)
			time.Sleep(time.Duration(c.scheduleRandom.IntN(3000)) * time.Millisecond)
			c.store.Heal(l.name)
			c.startHost(l.name)
		}
	case 9:
		c.mu.Lock()
		c.delayedCallRate = []float64{0, 0.3, 0.6}[c.scheduleRandom.IntN(3)]
		c.mu.Unlock()
	case 11:
		c.copies = append(c.copies, c.store.Copy())
	case 12:
		if n := len(c.copies); n > 0 {
			c.restoreStore(c.copies[n-1-c.scheduleRandom.IntN(min(n, 2))], time.Duration(c.scheduleRandom.IntN(3000))*time.Millisecond)
		}
	case 10:
		if l := c.leader(); l != nil {
			c.setLinkBlocked(host, l.name, true)
			c.setLinkBlocked(l.name, host, true)
			c.setLinkBlocked(l.name, server, true)
		}
	}
}

// endFaults ends all faults and restarts the servers that are down.
func (c *cluster) endFaults() {
	c.store.EndOutage()
	for _, h := range hostNames {
		c.store.Heal(h)
	}
	c.mu.Lock()
	clear(c.blockedLinks)
	c.delayedCallRate, c.closingRate = 0, 0
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

// runAddressSchedule is runSchedule with two services that are divided by key, whose
// servers end, start again and leave their addresses to servers of the other service,
// close connections after grants, and have their entries overwritten by others.
func runAddressSchedule(t *testing.T, seed uint64, change func(*cluster)) (errors []string) {
	synctest.Test(t, func(t *testing.T) {
		c := newTwoServicesCluster(t, seed, change)
		for time.Since(c.startedAt) < 45*time.Second {
			if c.scheduleRandom.IntN(2) == 0 {
				c.randomAddressFault()
			} else {
				c.randomFault()
			}
			time.Sleep(time.Duration(c.scheduleRandom.IntN(2000)) * time.Millisecond)
		}
		errors = c.recoverAndClose()
	})
	return errors
}

// randomAddressFault starts or ends one fault that concerns who has an address.
func (c *cluster) randomAddressFault() {
	name := fmt.Sprintf("s%d", c.scheduleRandom.IntN(5))
	other := fmt.Sprintf("addr-t%d", c.scheduleRandom.IntN(4))
	c.mu.Lock()
	server := c.servers["addr-"+name]
	c.mu.Unlock()
	switch c.scheduleRandom.IntN(5) {
	case 0:
		c.reuseAddress(name)
	case 1: // it starts again at once, before its entry says so
		if server != nil {
			c.mu.Lock()
			c.startServerAt(server.address, server.id, server.service)
			c.mu.Unlock()
		}
	case 2:
		c.mu.Lock()
		c.closingRate = []float64{0, 0.1, 0.5}[c.scheduleRandom.IntN(3)]
		c.mu.Unlock()
	case 3:
		if server != nil {
			c.putEntry("servers/"+server.id, `{"service":"`+server.service+`","address":"`+other+`","born":1}`)
		}
	case 4:
		if server != nil {
			c.putEntry("servers/"+server.id, `{"service":"unnamed","address":"`+other+`","born":`+fmt.Sprint(server.incarnation)+`}`)
		}
	}
}

// Guards against positions with two owners, and positions that stay without one, under
// random faults that concern who has an address.
func TestSchedulesWithReusedAddresses(t *testing.T) {
	requireNoErrors(t, func(seed uint64) []string { return runAddressSchedule(t, seed, nil) })
}

// Checks that the schedules with reused addresses detect grant clients that take an
// address or a connection for a server.
func TestAddressSchedulesFindBrokenVariants(t *testing.T) {
	variants := map[string]func(*cluster){
		"sends to whoever has the address": func(c *cluster) { c.ignoresIdentity = true },
		"opens another connection":         func(c *cluster) { c.redials = true },
	}
	for name, broken := range variants {
		t.Run(name, func(t *testing.T) {
			requireDetected(t, func(seed uint64) []string { return runAddressSchedule(t, seed, broken) })
		})
	}
}

// Longer runs: go test ./internal/control -run TestRandomSchedules -schedules 2000 -seed 1000
var (
	schedules = flag.Uint64("schedules", 24, "number of random schedules")
	firstSeed = flag.Uint64("seed", 0, "seed of the first random schedule")
)

// Guards against positions with two owners, and positions that stay without
// one, under random faults.
func TestRandomSchedules(t *testing.T) {
	requireNoErrors(t, func(seed uint64) []string { return runSchedule(t, seed, nil) })
}

// requireNoErrors runs the schedules that the flags choose.
func requireNoErrors(t *testing.T, run func(seed uint64) []string) {
	t.Helper()
	for seed := *firstSeed; seed < *firstSeed+*schedules; seed++ {
		errors := run(seed)
		assert.Equal(t, len(errors), 0, "seed %d: %v", seed, errors)
	}
}

// requireDetected runs schedules of a broken variant until one reports errors.
func requireDetected(t *testing.T, run func(seed uint64) []string) {
	t.Helper()
	for seed := range uint64(60) {
		if len(run(seed)) > 0 {
			return
		}
	}
	t.Error("no schedule detects the variant")
}

// Checks that the schedules detect a leader with unsafe timing. Otherwise
// passing them would prove nothing.
func TestSchedulesFindBrokenVariants(t *testing.T) {
	variants := map[string]func(*Node){
		"does not wait for grants to expire": func(n *Node) { n.timing.grantExpiry = 0 },
		"waits less than a grant lasts":      func(n *Node) { n.timing.grantExpiry = GrantTTL / 2 },
	}
	for name, broken := range variants {
		t.Run(name, func(t *testing.T) {
			requireDetected(t, func(seed uint64) []string { return runSchedule(t, seed, broken) })
		})
	}
}

// runIsolatedLeader cuts the leader off from the store and the other hosts
// while it still reaches a server that the others do not reach. It returns the
// errors.
func runIsolatedLeader(t *testing.T, options func(*Node)) (errors []string) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 5, 7, options)
		time.Sleep(6 * time.Second)
		first := c.leader()
		c.store.Partition(first.name)
		c.setIsolated(first, true)
		for _, h := range hostNames {
			c.setLinkBlocked(h, "s1", h != first.name)
		}
		time.Sleep(30 * time.Second)
		if missing := c.unservedPositions(); missing > 0 {
			c.errors = append(c.errors, fmt.Sprintf("%d positions have no owner", missing))
		}
		errors = c.close()
	})
	return errors
}

// Guards against a new leader that reassigns ranges that a former leader still
// renews.
func TestIsolatedLeader(t *testing.T) {
	assert.Equal(t, len(runIsolatedLeader(t, nil)), 0)
	assert.Assert(t, len(runIsolatedLeader(t, func(n *Node) { n.timing.storeOutageTolerance = time.Minute })) > 0, "renews without a lease for a minute")
	assert.Assert(t, len(runIsolatedLeader(t, func(n *Node) { n.timing.formerLeaderWait = 0 })) > 0, "does not wait for former leaders")
	assert.Assert(t, len(runIsolatedLeader(t, func(n *Node) { n.timing.assumeFormerStopped = true })) > 0, "forgets that former leaders may be alive")
}
