package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// largeCore is a service of the given number of servers, each owner of as many
// positions, whose places are all taken.
func largeCore(servers int) (*Core, []Ask) {
	const perServer = 65536
	owner := func(position int) OwnerState {
		return OwnerState{Server: fmt.Sprintf("s%03d", position*servers/perServer)}
	}
	c := NewCore(1, 1, owner)
	list := make([]Server, servers)
	for i := range list {
		list[i] = Server{ID: fmt.Sprintf("s%03d", i), Zone: "z", Slots: 2, Speed: 1}
	}
	c.SetServers(0, list)
	var sent []Ask
	for i := range servers * 3 {
		a := ask(uint64(i+1), 0)
		a.Position = (i % servers) * perServer / servers
		a.Position += min(1, a.Position)
		sent = append(sent, a)
		c.Ask(0, a)
	}
	return c, sent
}

// Guards against the load of aserrin-gw-large, where each request and each end
// of one looked at all requests that waited in a service of 303 servers: only
// the line of the server concerned may be looked at.
func TestAPlaceConcernsOneLine(t *testing.T) {
	const servers = 303
	c, _ := largeCore(servers)
	looked := 0
	owner := c.owner
	c.owner = func(position int) OwnerState { looked++; return owner(position) }
	next := uint64(10_000)
	for i := range servers {
		a := ask(next+uint64(i), 0)
		a.Target, a.Deadline = 10*Instant(time.Second), 10*Instant(time.Second)
		a.Position = i*65536/servers + 1
		c.Ask(0, a)
	}
	assert.Equal(t, c.lines.size, servers)
	looked = 0
	d := one(t, c.Done(10*ms, 1, Result{}))
	assert.Equal(t, d.Server, "s000")
	assert.Assert(t, looked <= 3, "%d requests were looked at for one free place", looked)
}

// Guards against requests that wait at the former owner of a key which has
// moved.
func TestRequestsFollowTheirKey(t *testing.T) {
	state := OwnerState{Server: "a"}
	c := NewCore(1, 0, func(int) OwnerState { return state })
	c.SetServers(0, []Server{{ID: "a", Slots: 1}, {ID: "b", Slots: 1}})
	for id := uint64(1); id <= 2; id++ {
		a := ask(id, 0)
		a.Position = 9
		a.Target, a.Deadline = 10*Instant(time.Second), 10*Instant(time.Second)
		c.Ask(0, a)
	}
	assert.Equal(t, c.lines.size, 1)
	d := one(t, c.SetOwner(5*ms, func(int) OwnerState { return OwnerState{Server: "b"} }))
	assert.Equal(t, d.ID, uint64(2))
	assert.Equal(t, d.Server, "b")
}

// BenchmarkLargeService measures a request and its end at a service of 303
// servers in which requests wait.
func BenchmarkLargeService(b *testing.B) {
	c, sent := largeCore(303)
	now := Instant(0)
	id := uint64(1 << 20)
	for i := range b.N {
		now += Instant(500 * time.Microsecond)
		a := sent[i%len(sent)]
		id++
		a.ID, a.Target, a.Deadline = id, now+1200*ms, now+3000*ms
		for _, d := range c.Ask(now, a) {
			if d.Server != "" {
				c.Done(now+100*ms, d.ID, Result{})
			}
		}
	}
}
