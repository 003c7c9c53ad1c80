package ownership

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// onePlan moves one range once and remembers what it asked for.
type onePlan struct {
	mu    sync.Mutex
	ready bool
	asked []Move
	onAsk func()
}

func (p *onePlan) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ready = true
}

func (p *onePlan) move() Move {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.asked[0]
}

func (p *onePlan) Plan(_ topology.ServiceName, in PlanInput) []Move {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ready || len(p.asked) > 0 {
		return nil
	}
	s := in.Assignment.Slices[3]
	for _, other := range in.Servers {
		if other.Name != s.Owner && other.Live {
			p.asked = append(p.asked, Move{Range: s.Range, From: s.Owner, To: other.Name})
			if p.onAsk != nil {
				p.onAsk()
			}
			return p.asked
		}
	}
	return nil
}

// owner returns who holds the planned range.
func (c *cluster) owner(h topology.Hash) topology.ServerName {
	s, _ := c.checker.Owner(time.Now(), testService, h)
	return s
}

// Guards against two owners of a key and against keys that stay unserved for
// longer than the target in each fault that section 6 of the design promises
// to tolerate. Every case also runs the owner checker.
func TestPromises(t *testing.T) {
	const none = 0
	cases := []struct {
		name      string
		servers   int
		unchecked bool
		bound     time.Duration // longest time a key may go unserved
		script    func(c *cluster, plan *onePlan)
	}{
		{"leader lost", 6, false, none, func(c *cluster, _ *onePlan) {
			lost := c.leader()
			c.set(func() { c.cut[string(lost)] = true })
			c.wait(5 * time.Second)
			assert.Assert(c.t, c.leader() != "" && c.leader() != lost)
		}},
		{"leader stopped and restarted", 6, false, none, func(c *cluster, _ *onePlan) {
			lost := c.leader()
			c.crash(lost)
			c.wait(3 * time.Second)
			c.boot(lost, false)
			c.wait(3 * time.Second)
		}},
		{"leader paused and woken", 6, false, none, func(c *cluster, _ *onePlan) {
			lost := c.leader()
			c.set(func() { c.paused[lost] = true })
			c.wait(4 * time.Second)
			c.set(func() { delete(c.paused, lost) })
			c.wait(4 * time.Second)
		}},
		{"witness lost and replaced, then two more lost", 6, false, none, func(c *cluster, _ *onePlan) {
			c.boot("h5", false)
			c.wait(2 * time.Second)
			leader := c.leader()
			others := slices.DeleteFunc([]topology.HostName{"h0", "h1", "h2", "h3", "h4"}, func(h topology.HostName) bool { return h == leader })
			for i, pause := range []time.Duration{40 * time.Second, 3 * time.Second, 3 * time.Second} {
				c.set(func() { c.cut[string(others[i])] = true })
				c.wait(pause)
			}
			assert.Equal(c.t, c.leader(), leader, "the record still names the lost witness")
		}},
		{"server lost", 6, false, unservedTarget, func(c *cluster, _ *onePlan) {
			c.set(func() { c.down["s01"] = true })
			c.wait(6 * time.Second)
			assert.Equal(c.t, len(c.assignment().RangesOf("s01")), 0, "the assignment was not corrected")
		}},
		{"server restarted", 6, false, unservedTarget, func(c *cluster, _ *onePlan) {
			c.set(func() {
				c.machines["s01"] = &fakeServer{incarnation: "2"}
				c.checker.Dropped(testService, "s01")
			})
			c.wait(4 * time.Second)
		}},
		{"zone with leader and servers lost", 9, false, unservedTarget, func(c *cluster, _ *onePlan) {
			lost := c.leader()
			var in topology.AvailabilityZone
			for _, h := range c.hosts {
				if h.Name == lost {
					in = h.AvailabilityZone
				}
			}
			c.set(func() {
				for _, h := range c.hosts {
					c.cut[string(h.Name)] = c.cut[string(h.Name)] || h.AvailabilityZone == in
				}
				for _, s := range c.servers {
					if s.AvailabilityZone == in {
						c.down[string(s.Name)] = true
					}
				}
			})
			c.wait(6 * time.Second)
		}},
		{"store down for an hour with leader loss and restarts of hosts", 4, false, none, func(c *cluster, _ *onePlan) {
			c.set(func() { c.step = 400 * time.Millisecond })
			c.store.setDown(true)
			for _, h := range c.hosts[:5] {
				c.wait(10 * time.Minute)
				c.crash(h.Name)
				c.wait(20 * time.Second)
				c.boot(h.Name, false)
			}
			c.crash(c.leader())
			c.wait(9 * time.Minute)
			c.store.setDown(false)
			c.wait(10 * time.Second)
		}},
		{"server lost while the store is down", 6, false, unservedTarget, func(c *cluster, _ *onePlan) {
			c.store.setDown(true)
			c.set(func() { c.down["s01"] = true })
			c.wait(6 * time.Second)
			c.store.setDown(false)
			c.wait(3 * time.Second)
			assert.Equal(c.t, len(c.assignment().RangesOf("s01")), 0, "the assignment was not corrected")
		}},
		{"leader cut off from a healthy store", 6, false, none, func(c *cluster, _ *onePlan) {
			lost := c.leader()
			c.set(func() { c.cut[string(lost)+">store"] = true })
			c.wait(5 * time.Second)
			assert.Assert(c.t, c.leader() != "" && c.leader() != lost, "the leader did not give way")
		}},
		{"store answer lost", 6, false, unservedTarget, func(c *cluster, plan *onePlan) {
			c.store.setLose(1, false)
			plan.start()
			c.wait(5 * time.Second)
			assert.Equal(c.t, c.owner(plan.move().Range.First), plan.move().To, "the applied move was not carried out")
		}},
		{"store write lost", 6, false, none, func(c *cluster, plan *onePlan) {
			c.store.setLose(4, true)
			plan.start()
			c.wait(5 * time.Second)
			assert.Equal(c.t, c.owner(plan.move().Range.First), plan.move().From, "a move that was not stored was carried out")
		}},
		{"frozen server reads old heartbeats on return", 6, false, unservedTarget, func(c *cluster, _ *onePlan) {
			c.set(func() { c.down["s01"] = true })
			c.wait(6 * time.Second)
			c.thaw("s01")
			c.wait(4 * time.Second)
		}},
		{"release answer lost", 6, false, unservedTarget, func(c *cluster, plan *onePlan) {
			link := string(c.assignment().Slices[3].Owner) + ">" + string(c.leader())
			plan.onAsk = func() { c.set(func() { c.cut[link] = true }) }
			plan.start()
			for cut := false; !cut; c.set(func() { cut = c.cut[link] }) {
				c.wait(50 * time.Millisecond)
			}
			c.wait(500 * time.Millisecond)
			assert.Assert(c.t, c.owner(plan.move().Range.First) != plan.move().To, "a release that was not answered counts")
			c.set(func() { delete(c.cut, link) })
			c.wait(2 * time.Second)
			assert.Equal(c.t, c.owner(plan.move().Range.First), plan.move().To, "the release was not retried")
		}},
		{"drain takes too long", 6, false, unservedTarget, func(c *cluster, plan *onePlan) {
			c.set(func() {
				for _, m := range c.machines {
					m.drainFor = 5 * time.Second
				}
			})
			plan.start()
			c.wait(8 * time.Second)
			assert.Equal(c.t, c.owner(plan.move().Range.First), plan.move().From, "the move was not abandoned")
			assert.Equal(c.t, c.assignment().Slices[3].Owner, plan.move().From, "the assignment was not corrected")
		}},
		{"planned move", 6, false, unservedTarget, func(c *cluster, plan *onePlan) {
			plan.start()
			c.wait(3 * time.Second)
			assert.Equal(c.t, c.owner(plan.move().Range.First), plan.move().To)
		}},
		{"unchecked server lost, and a move", 6, true, unservedTarget, func(c *cluster, plan *onePlan) {
			c.set(func() { c.down["s05"] = true })
			c.wait(6 * time.Second)
			plan.start()
			c.wait(4 * time.Second)
			assert.Equal(c.t, c.owner(plan.move().Range.First), plan.move().To)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				plan := &onePlan{}
				c := newCluster(t, tc.servers, tc.unchecked, plan)
				tc.script(c, plan)
				t.Logf("longest unserved time %v (last reason: %s)", c.worst, c.reason)
				assert.Assert(t, c.worst <= tc.bound, "a key went unserved for %v (%s)", c.worst, c.reason)
				c.worst = 0
				c.wait(5 * time.Second)
				assert.Equal(t, c.worst, time.Duration(0), "keys unserved long after the fault: %s", c.reason)
			})
		})
	}
}
