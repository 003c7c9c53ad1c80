package control

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/registry"
	"github.com/cassiasill/cassiasill/internal/store"
)

// oddEntry is an entry that is no server.
const oddEntry = `{"address":[[[`

// hostsWithout returns the hosts that do not list the server.
func (c *cluster) hostsWithout(server string) (out []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		if list := h.node.View().Load().Servers; list == nil || list.Servers[server].ID == "" {
			out = append(out, h.name)
		}
	}
	return out
}

// Guards against a server that loses its keys and its requests because another writer
// overwrites its entry, at whatever host reads it, and against a line in the log for
// each read.
func TestOddEntryAtTheKeyOfAServerChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zap.WarnLevel)
		c := newCluster(t, 4, 4, 71, func(n *Node) { n.Log = zap.New(core).With(zap.String("host", n.Host)) })
		time.Sleep(6 * time.Second)
		before := c.leader().node.View().Load().Assignments["svc"]
		for range 100 {
			for i := range 50 {
				c.putEntry(fmt.Sprint("servers/odd-", i), oddEntry)
			}
			c.putEntry("servers/s1", oddEntry)
			time.Sleep(50 * time.Millisecond)
			assert.Equal(t, len(c.hostsWithout("s1")), 0, "%v", c.hostsWithout("s1"))
			assert.Equal(t, len(c.hostsWithout("odd-1")), 4)
			assert.Equal(t, c.unservedPositions(), 0)
		}
		assert.Equal(t, c.leader().node.View().Load().Assignments["svc"].Version, before.Version, "keys have moved")
		lines := make(map[string]int)
		for _, e := range logs.FilterMessage("control: invalid server entry ignored").All() {
			lines[fmt.Sprint(e.ContextMap()["host"], e.ContextMap()["key"])]++
		}
		for who, count := range lines {
			limit := 1
			if strings.HasSuffix(who, "s1") {
				limit = 7 // it becomes valid again with each heartbeat
			}
			assert.Check(t, count <= limit, "%s: %d lines", who, count)
		}
		assert.Assert(t, len(c.leader().node.InvalidEntries()) >= 50, "%v", c.leader().node.InvalidEntries())
		c.crashServer("s1") // its entry is deleted
		time.Sleep(4 * time.Second)
		assert.Equal(t, len(c.hostsWithout("s1")), 4)
		assert.Equal(t, c.unservedPositions(), 0)
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
	})
}

// Guards against a host that starts, or a leader that is elected, while odd entries lie
// there and that does not get the list because of them.
func TestHostsStartBesideOddEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 4, 72, nil)
		for i := range 50 {
			c.putEntry(fmt.Sprint("servers/", i), oddEntry)
		}
		time.Sleep(6 * time.Second)
		assert.Equal(t, c.unservedPositions(), 0)
		c.startHost("h3")
		time.Sleep(2 * time.Second)
		c.killHost(c.leader())
		time.Sleep(8 * time.Second)
		for i := range 4 {
			assert.Equal(t, len(c.hostsWithout(fmt.Sprint("s", i))), 0)
		}
		assert.Equal(t, c.unservedPositions(), 0)
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
	})
}

// Guards against hosts that stop following the list of servers because a leader of the
// production build accepts an entry whose capacity it can't send to them.
func TestHostsFollowBesideALeaderThatAcceptsOddEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		accept := func(n *Node) {
			if n.Host != "h0" {
				return
			}
			decode := n.Schema.DecodeServer
			n.Schema.DecodeServer = func(kv store.KeyValue) (registry.Server, error) {
				if s, err := decode(kv); err == nil {
					return s, nil
				}
				return registry.Server{ID: kv.Key[len("servers/"):], Service: "svc", Address: "odd", Slots: 1 << 32}, nil
			}
		}
		c := newCluster(t, 1, 4, 73, accept)
		time.Sleep(6 * time.Second)
		c.startHost("h1")
		c.startHost("h2")
		c.startHost("h3")
		time.Sleep(3 * time.Second)
		assert.Equal(t, c.leader().name, "h0")
		c.putEntry("servers/odd", oddEntry)
		time.Sleep(2 * time.Second)
		c.startServer("s9")
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(c.hostsWithout("s9")), 0, "%v", c.hostsWithout("s9"))
		c.crashServer("s9")
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(c.hostsWithout("s9")), 4)
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
	})
}

// ownKeys are the keys that this system writes itself, with values of another writer.
var ownKeys = map[string][]string{
	leaderKey:                 {oddEntry, `{}`, `{"host":"h9","address":"host-h9"}`, `{"host":9}`},
	formerLeadersKey:          {oddEntry, `{}`, `[{"host":9}]`},
	relaysKey:                 {oddEntry, `{"hosts":9000000000000000000,"relays":["a:99999"]}`, `{"hosts":-5}`, `{"hosts":1,"relays":9}`},
	assignmentsPrefix + "svc": {oddEntry, `{"version":9223372036854775807,"ranges":[{"from":0,"to":65535}]}`, `{"version":-1}`, `{"version":1e300}`},
}

// Guards against a deployment without a leader, or keys without an owner, because
// another writer has overwritten an item of the system itself: at once, and when a
// leader has to be elected, a server starts and all hosts start anew.
func TestOddItemsOfTheSystemItselfAreReplaced(t *testing.T) {
	for key, values := range ownKeys {
		for _, value := range values {
			t.Run(key+" "+value, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newCluster(t, 4, 4, 74, nil)
					closed := false
					defer func() {
						if !closed {
							c.close()
						}
					}()
					time.Sleep(6 * time.Second)
					c.putEntry(key, value)
					time.Sleep(3 * time.Second)
					assert.Equal(t, c.unservedPositions(), 0, "after the entry")
					c.crashServer("s1")
					c.startServer("s9")
					time.Sleep(12 * time.Second)
					assert.Equal(t, c.unservedPositions(), 0, "after the loss of a server")
					c.putEntry(key, value)
					c.killHost(c.leader())
					time.Sleep(25 * time.Second)
					assert.Assert(t, c.leader() != nil, "no leader after the loss of one")
					assert.Equal(t, c.unservedPositions(), 0, "after the loss of the leader")
					c.putEntry(key, value)
					for _, h := range slices.Collect(maps.Values(c.hosts)) {
						c.killHost(h)
					}
					for i := range 4 {
						c.startHost(fmt.Sprint("h", i))
					}
					time.Sleep(30 * time.Second)
					assert.Assert(t, c.leader() != nil, "no leader after a start of all hosts")
					assert.Equal(t, c.unservedPositions(), 0, "after a start of all hosts")
					closed = true
					assert.Equal(t, len(c.close()), 0, "%v", c.errors)
				})
			})
		}
	}
}

// Guards against moving keys while a former leader renews grants, because the list of
// those can't be decoded and counts as empty.
func TestUnreadableFormerLeadersMayStillRenew(t *testing.T) {
	for _, value := range []string{oddEntry, `{}`, `[{"host":9}]`, `[{"host":"h1"}]`, `[{"host":"h1","address":"` + strings.Repeat("a", 1000) + `"}]`} {
		former, err := decodeFormerLeaders([]byte(value))
		assert.Assert(t, err != nil, value)
		assert.DeepEqual(t, former, []leaderRecord{{Host: unknownLeader}})
	}
	for _, value := range []string{``, `[]`, `[{"host":"h1","address":"host-h1"},{"host":"unknown","address":""}]`} {
		_, err := decodeFormerLeaders([]byte(value))
		assert.NilError(t, err, value)
	}
}
