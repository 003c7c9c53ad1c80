package placing

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/dispatch"
)

// Guards against a dispatcher that does not hear that a server is slow at present, and
// against a report of an older build, without the figure, that counts as one.
func TestRequestEndCarriesTheMomentaryTime(t *testing.T) {
	for percent, want := range map[uint32]string{0: "s1", 1 << 31: "s2"} {
		synctest.Test(t, func(t *testing.T) {
			d := dispatch.NewDispatcher()
			d.SetService("svc", 1, 0, nil, []dispatch.Server{{ID: "s1", Slots: 2, Speed: 1.1}, {ID: "s2", Slots: 2}})
			s := newSession(t, d)
			s.handleFrame(&fleetpb.DispatchFrame{Asks: []*fleetpb.DispatchAsk{newAsk(1)}})
			s.handleFrame(&fleetpb.DispatchFrame{Done: []*fleetpb.DispatchDone{{Id: 1, TimePercent: percent}}})
			now := d.Now()
			r := dispatch.Request{Service: "svc", Position: dispatch.NoPosition, Target: now + 1e9, Deadline: now + 5e9, Work: 1e8}
			decision, _ := d.Acquire(context.Background(), r)
			assert.Equal(t, decision.Server, want, "%d", percent)
		})
	}
	fc := newFrameConn(nil)
	sendDone(fc, 1, dispatch.Result{TimePercent: 300}, nil)
	assert.Equal(t, fc.pending.Done[0].TimePercent, uint32(300))
}
