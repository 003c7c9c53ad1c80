package placing

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/dispatch"
)

// Guards against cold servers that get too much because their dispatcher runs an older
// build, which keeps rate limits but no pace, and against hosts that also take turns for
// the limits that it does keep.
func TestColdServersKeepTheirPaceUnderADispatcherOfAnOlderBuild(t *testing.T) {
	for _, paces := range []bool{false, true} {
		d := dispatch.NewDispatcher()
		servers := []dispatch.Server{{ID: "s1", Slots: 9}, {ID: "s2", Slots: 9}, {ID: "s3", Slots: 9}}
		d.SetService("svc", 1, 0, nil, servers)
		limits := newTable()
		h := newLimitedHost(t, startServerThatSays(t, d, &fleetpb.DispatchFrame{PacesRequests: true, PacesWarmups: paces}), limits)
		for i := range 2 { // s3 stays warm
			servers[i].Warmup, servers[i].WarmupRate, servers[i].WarmupMax = time.Minute, 0.01, 5
		}
		h.placer.local.SetService("svc", 0.1, 0, nil, servers)
		r := h.placer.newRequest()
		decision, slot := h.placer.Acquire(context.Background(), r)
		assert.Assert(t, paces || decision.Server == "s3", "%+v", decision)
		h.placer.Release(slot, dispatch.Result{})
		r.Exclude = []string{"s3"}
		decision, _ = h.placer.Acquire(context.Background(), r)
		if paces {
			assert.Assert(t, decision.Server != "")
			continue
		}
		assert.Equal(t, decision.Reason, dispatch.ReasonRateLimited)
		assert.Assert(t, decision.RetryAfter > time.Second, "%s", decision.RetryAfter)
		assert.Assert(t, h.placer.local.WarmupCounts().Rejected > 0)
	}
}
