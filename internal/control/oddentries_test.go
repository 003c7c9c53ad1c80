package control

import (
	"fmt"
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
