package control

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
)

// Guards against a malformed response of another host that ends the process or
// changes the state of this host.
func TestMalformedResponseIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 4, 41, nil)
		time.Sleep(6 * time.Second)
		host := c.hosts["host-h0"]
		if host.node.Leading() {
			host = c.hosts["host-h1"]
		}
		before := host.node.View().Load()
		for name, m := range map[string]*fleetpb.SyncResponse{
			"empty":                     {},
			"leader without versions":   {Leader: true, Config: []byte("1"), HasServers: true},
			"servers without a digest":  {Leader: true, HasServers: true, Servers: []*fleetpb.Server{{Id: "x"}}},
			"changes of another list":   {Leader: true, Known: &fleetpb.Known{Servers: 7}, HasServers: true, ServerChangesOnly: true, RemovedServers: []string{"s0"}},
			"assignment that is none":   {Leader: true, Known: &fleetpb.Known{}, Shards: []*fleetpb.Shards{{Service: "svc", Document: []byte("{")}}},
			"changes of no assignment":  {Leader: true, Known: &fleetpb.Known{}, Shards: []*fleetpb.Shards{{Service: "other", ChangesOnly: true}}},
			"assignment with a gap":     {Leader: true, Known: &fleetpb.Known{}, Shards: []*fleetpb.Shards{{Service: "svc", Document: []byte(`{"version":99,"ranges":[{"from":5,"to":9}]}`)}}},
			"assignment of a long past": {Leader: true, Known: &fleetpb.Known{}, Shards: []*fleetpb.Shards{{Service: "svc", Document: []byte(`{"version":0,"ranges":[{"from":0,"to":65535}]}`)}}},
		} {
			host.node.applyResponse(m, host.node.Clock())
			after := host.node.View().Load()
			assert.Check(t, after.Servers == before.Servers, name)
			assert.Check(t, after.Config == before.Config, name)
			assert.Check(t, cmp.Len(after.Assignments, len(before.Assignments)), name)
			assert.Check(t, after.Assignments["svc"] == before.Assignments["svc"], name)
		}
		time.Sleep(2 * time.Second)
		assert.Equal(t, c.unservedPositions(), 0)
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
	})
}

// Guards against negative ages that make old state look fresh forever: they
// count as zero.
func TestAgesNegativeCountAsZero(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, 3, 42, nil)
		time.Sleep(6 * time.Second)
		host := c.hosts["host-h0"]
		host.node.applyResponse(&fleetpb.SyncResponse{Known: &fleetpb.Known{}, ServersAgeMillis: -1 << 40, ConfigAgeMillis: -1 << 40}, host.node.Clock())
		snapshot := host.node.View().Load()
		assert.Assert(t, snapshot.ServersConfirmedAt <= host.node.Clock())
		assert.Assert(t, snapshot.ConfigConfirmedAt <= host.node.Clock())
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
	})
}

// Guards against a host that is still a dispatcher, or queried for updates, while
// it stops.
func TestStoppingHostGivesUpItsDuties(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 4, 4, 43, nil)
		time.Sleep(6 * time.Second)
		var host *testHost
		for _, h := range c.hosts {
			if c.leader().node.View().Load().Dispatchers["svc"] == h.node.DispatchAddress {
				host = h
			}
		}
		assert.Assert(t, host != nil)
		host.node.Retire()
		time.Sleep(4 * time.Second)
		for _, h := range c.hosts {
			assert.Check(t, h.node.View().Load().Dispatchers["svc"] != host.node.DispatchAddress, h.name)
		}
		assert.Equal(t, len(c.close()), 0, "%v", c.errors)
	})
}
