package control

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
)

// oldBuild serves hosts as a build without evacuations does.
type oldBuild struct{ *Node }

func (o oldBuild) Sync(ctx context.Context, r *connect.Request[fleetpb.SyncRequest]) (*connect.Response[fleetpb.SyncResponse], error) {
	r.Msg.Evacuations, r.Msg.EvacuationsRevision = nil, 0
	if r.Msg.Known != nil {
		r.Msg.Known.Evacuations = 0
	}
	response, err := o.Node.Sync(ctx, r)
	if err == nil {
		m := response.Msg
		m.Evacuations, m.HasEvacuations, m.EvacuationsRevision, m.EvacuationsAgeMillis = nil, false, 0, 0
	}
	return response, err
}

// Guards against hosts that never become ready, learn of no evacuation or call the store
// all the time while the leader, and some of the relays, run a build without evacuations.
func TestHostsReadEvacuationsThemselvesBesideOlderBuilds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int64
		c := newCluster(t, 0, 6, 1, func(n *Node) { n.Store = &storeCallCounter{n.Store, &calls} })
		c.oldBuilds = true
		for i := range 20 {
			c.startHost(fmt.Sprintf("h%d", i))
		}
		time.Sleep(8 * time.Second)
		for _, h := range c.hosts {
			assert.Assert(t, h.node.View().Load().CanRoute())
		}
		before := calls.Load()
		time.Sleep(4 * time.Second)
		assert.Assert(t, calls.Load()-before < 4*20*2, "%d calls in 4 s", calls.Load()-before)
		c.evacuate("a")
		c.requireZones(knownWithin, "a")
		c.takeBack("a")
		c.requireZones(knownWithin)
		c.close()
	})
}
