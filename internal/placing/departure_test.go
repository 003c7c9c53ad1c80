package placing

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/dispatch"
)

// newSession returns the session of a host with a dispatcher whose frames to the host
// are discarded.
func newSession(t *testing.T, d *dispatch.Dispatcher) *hostSession {
	t.Helper()
	host, dispatcher := net.Pipe()
	t.Cleanup(func() { _ = host.Close() })
	go func() { _, _ = io.Copy(io.Discard, host) }()
	fc := newFrameConn(dispatcher)
	t.Cleanup(fc.close)
	return newHostSession(1, d, newTable(), fc)
}

func newAsk(id uint64) *fleetpb.DispatchAsk {
	return &fleetpb.DispatchAsk{Id: id, Service: "svc", Repeatable: true, TargetMicros: 1e6, DeadlineMicros: 5e6, WorkMicros: 1000}
}

// holdsFreeSlot reports whether a request gets a server at once.
func holdsFreeSlot(d *dispatch.Dispatcher) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	now := d.Now()
	decision, id := d.Acquire(ctx, dispatch.Request{Service: "svc", Position: dispatch.NoPosition, Repeatable: true, Target: now.Add(time.Second), Deadline: now.Add(5 * time.Second), Work: time.Millisecond})
	if decision.Server == "" {
		return false
	}
	d.Release("svc", id, dispatch.Result{})
	return true
}

// Guards against a request that waits, and gets a server, after its caller has left: a
// busy host sends the request and its end in the same frame.
func TestRequestThatEndsInItsOwnFrameIsNotQueued(t *testing.T) {
	d := newDispatcher("s1")
	s := newSession(t, d)
	s.handleFrame(&fleetpb.DispatchFrame{Asks: []*fleetpb.DispatchAsk{newAsk(1), newAsk(2)}, Canceled: []uint64{1, 2}})
	assert.Equal(t, len(s.requests), 0)
	assert.Assert(t, holdsFreeSlot(d))
}

// Guards against a slot that is freed twice, or never, if a decision and the end of its
// request cross: the host then says twice that the request has ended.
func TestSlotIsFreedOnceWhenDecisionAndDepartureCross(t *testing.T) {
	d := dispatch.NewDispatcher()
	d.SetService("svc", 1, 0, nil, []dispatch.Server{{ID: "s1", Slots: 2}})
	s := newSession(t, d)
	s.handleFrame(&fleetpb.DispatchFrame{Asks: []*fleetpb.DispatchAsk{newAsk(1), newAsk(2), newAsk(3)}}) // 3 waits
	s.handleFrame(&fleetpb.DispatchFrame{Canceled: []uint64{1}})                                         // 3 gets the slot of 1
	s.handleFrame(&fleetpb.DispatchFrame{Canceled: []uint64{1}, Done: []*fleetpb.DispatchDone{{Id: 1}}})
	assert.Assert(t, !holdsFreeSlot(d), "the slot of another request was freed")
	s.handleFrame(&fleetpb.DispatchFrame{Done: []*fleetpb.DispatchDone{{Id: 2}}, Canceled: []uint64{3}})
	assert.Assert(t, holdsFreeSlot(d))
	assert.Equal(t, len(s.requests), 0)
}

// Guards against slots and places in the queue that stay taken when the connection of
// the host is lost before it could say that their callers have left.
func TestLostConnectionEndsAllRequestsOfTheHost(t *testing.T) {
	d := newDispatcher("s1")
	s := newSession(t, d)
	s.handleFrame(&fleetpb.DispatchFrame{Asks: []*fleetpb.DispatchAsk{newAsk(1), newAsk(2)}}) // 2 waits
	s.conn.close()
	s.serve()
	assert.Assert(t, holdsFreeSlot(d))
	// A frame that was read before the connection was lost changes nothing.
	s.handleFrame(&fleetpb.DispatchFrame{Asks: []*fleetpb.DispatchAsk{newAsk(3)}, Canceled: []uint64{1}})
	assert.Assert(t, holdsFreeSlot(d))
}

// Guards against departures that cost more messages the more hosts there are: a host
// sends one for each, and the dispatcher none.
func TestDepartureIsOneMessage(t *testing.T) {
	const hosts, perHost = 195, 10
	d := newDispatcher("s1")
	_, id := d.Acquire(context.Background(), dispatch.Request{Service: "svc", Position: dispatch.NoPosition, Deadline: d.Now().Add(time.Minute), Target: d.Now().Add(time.Minute)})
	var sessions []*hostSession
	for range hosts {
		s := newSession(t, d)
		frame := &fleetpb.DispatchFrame{}
		for i := range perHost {
			ask := newAsk(uint64(i))
			ask.DeadlineMicros, ask.TargetMicros = 3e9, 2e9
			frame.Asks = append(frame.Asks, ask)
		}
		s.handleFrame(frame)
		assert.Equal(t, len(s.requests), perHost)
		sessions = append(sessions, s)
	}
	for _, s := range sessions {
		for i := range perHost {
			s.handleFrame(&fleetpb.DispatchFrame{Canceled: []uint64{uint64(i)}})
		}
		assert.Equal(t, len(s.requests), 0)
		assert.Equal(t, s.conn.pendingCount, 0)
	}
	d.Release("svc", id, dispatch.Result{})
	assert.Assert(t, holdsFreeSlot(d))

	synctest.Test(t, func(t *testing.T) {
		host, dispatcher := net.Pipe()
		defer dispatcher.Close()
		c := newClient("a", nil, nil, newTable())
		c.conn = newFrameConn(host)
		defer c.conn.close()
		for range perHost {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
			_, _, decided := c.acquire(ctx, 0, dispatch.Request{Service: "svc", Deadline: dispatch.Instant(time.Second)})
			cancel()
			assert.Assert(t, decided)
		}
		assert.Equal(t, len(c.pending), 0)
		assert.Equal(t, len(c.conn.pending.Canceled), perHost)
	})
}
