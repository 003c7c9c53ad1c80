package placing

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/dispatch"
	"github.com/cassiasill/cassiasill/internal/exchange"
	"github.com/cassiasill/cassiasill/internal/ratelimit"
)

// limitedHost is a dispatching host with its own table, or a host that uses one.
type limitedHost struct {
	placer *Placer
	limits *ratelimit.Table
}

// newLimitedHost returns a host that is connected to the dispatcher at address.
func newLimitedHost(t *testing.T, address string, limits *ratelimit.Table) limitedHost {
	t.Helper()
	h := limitedHost{limits: limits}
	h.placer = NewPlacer("self", exchange.Dial, newDispatcher("s1"), newDispatcher("s1"), limits)
	t.Cleanup(h.placer.Close)
	h.placer.SetDispatchers(map[string]string{"svc": address})
	deadline := time.Now().Add(2 * time.Second)
	for time.Now().Before(deadline) {
		if _, slot := h.placer.Acquire(context.Background(), h.expiredRequest()); slot.dispatcher == nil {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	return h
}

// expiredRequest is a request that every dispatcher rejects at once.
func (h limitedHost) expiredRequest() dispatch.Request {
	r := h.placer.newRequest()
	r.Deadline = h.placer.At(time.Now())
	r.Exclude = []string{"s1"}
	return r
}

func observe(limits *ratelimit.Table, rate float64) {
	limits.Observe(ratelimit.Server{ID: "s1", Service: "svc", Incarnation: 1}, ratelimit.Limited, rate, 0)
}

// startLimitedServer serves a dispatcher that follows the limits of a table.
func startLimitedServer(t *testing.T, limits *ratelimit.Table) string {
	t.Helper()
	d := newDispatcher("s1")
	limits.OnChange(func(limit ratelimit.Limit) { d.SetRateLimit(limit.ID, limit.Rate) })
	return startServer(t, d, limits)
}

// startOldServer serves a dispatcher as an older build does, which does not say that
// it keeps rate limits.
func startOldServer(t *testing.T, d *dispatch.Dispatcher) string {
	t.Helper()
	return startServerThatSays(t, d, &fleetpb.DispatchFrame{})
}

// startServerThatSays is startOldServer for a build that says something of itself.
func startServerThatSays(t *testing.T, d *dispatch.Dispatcher, greeting *fleetpb.DispatchFrame) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var group conc.WaitGroup
	group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			fc := newFrameConn(conn)
			fc.enqueue(func(f *fleetpb.DispatchFrame) {
				f.PacesRequests, f.PacesWarmups = greeting.PacesRequests, greeting.PacesWarmups
			})
			group.Go(fc.writeFrames)
			group.Go(newHostSession(1, d, newTable(), fc).serve)
		}
	})
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// Guards against a new dispatcher that does not know the limits that its hosts know.
func TestNewDispatcherLearnsRateLimitsFromItsHosts(t *testing.T) {
	known := newTable()
	observe(known, 0.01)
	dispatcherLimits := newTable()
	h := newLimitedHost(t, startLimitedServer(t, dispatcherLimits), known)
	decision, _ := h.placer.Acquire(context.Background(), h.placer.newRequest())
	assert.Equal(t, decision.Reason, dispatch.ReasonRateLimited)
	assert.Equal(t, len(dispatcherLimits.Statuses()), 1)
}

// Guards against a limit that reaches the dispatcher late: the report of a request's
// end carries it.
func TestRequestEndCarriesTheRateLimit(t *testing.T) {
	dispatcherLimits := newTable()
	address := startLimitedServer(t, dispatcherLimits)
	first, second := newLimitedHost(t, address, newTable()), newLimitedHost(t, address, newTable())
	decision, slot := first.placer.Acquire(context.Background(), first.placer.newRequest())
	assert.Equal(t, decision.Server, "s1")
	observe(first.limits, 0.01)
	first.placer.Release(slot, dispatch.Result{})
	deadline := time.Now().Add(2 * time.Second)
	for len(dispatcherLimits.Statuses()) == 0 && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	decision, _ = second.placer.Acquire(context.Background(), second.placer.newRequest())
	assert.Equal(t, decision.Reason, dispatch.ReasonRateLimited)
}

// Guards against hosts that exceed a limit because their dispatcher runs an older
// build, which does not know limits.
func TestRateLimitHoldsUnderADispatcherOfAnOlderBuild(t *testing.T) {
	h := newLimitedHost(t, startOldServer(t, newDispatcher("s1")), newTable())
	decision, slot := h.placer.Acquire(context.Background(), h.placer.newRequest())
	assert.Equal(t, decision.Server, "s1", "there is no limit yet")
	observe(h.limits, 0.01)
	h.placer.Release(slot, dispatch.Result{})
	for _, position := range []int{dispatch.NoPosition, 7} {
		r := h.placer.newRequest()
		r.Position = position
		decision, _ = h.placer.Acquire(context.Background(), r)
		assert.Equal(t, decision.Server, "", "position %d", position)
	}
}

// Guards against a host of an older build, which reports no limits, that is not
// subject to those that its dispatcher knows.
func TestDispatcherPacesHostsOfOlderBuilds(t *testing.T) {
	dispatcherLimits := newTable()
	address := startLimitedServer(t, dispatcherLimits)
	observe(dispatcherLimits, 0.01)
	conn, err := exchange.Dial(context.Background(), "tcp", address)
	assert.NilError(t, err)
	var group conc.WaitGroup
	c := newClient(address, exchange.Dial, &group, newTable())
	fc := newFrameConn(conn) // an older build sends no limits when it connects
	c.conn, c.lastReceived = fc, time.Now()
	group.Go(fc.writeFrames)
	group.Go(func() { fc.readFrames(func(f *fleetpb.DispatchFrame) { c.handleFrame(fc, f) }) })
	p := NewPlacer("self", exchange.Dial, newDispatcher("s1"), newDispatcher("s1"), newTable())
	t.Cleanup(p.Close)
	decision, _, ok := c.acquire(context.Background(), p.local.Now(), p.newRequest())
	assert.Assert(t, ok)
	assert.Equal(t, decision.Reason, dispatch.ReasonRateLimited)
	fc.close()
	group.Wait()
}

// Guards against tokens that a host has saved while another one dispatched.
func TestNewDispatcherHasNoSavedTokens(t *testing.T) {
	limits := newTable()
	p := NewPlacer("self", exchange.Dial, newDispatcher("s1"), newDispatcher("s1"), limits)
	t.Cleanup(p.Close)
	observe(limits, 50)
	time.Sleep(100 * time.Millisecond)
	p.SetDispatchers(map[string]string{"svc": "self"})
	r := p.newRequest()
	r.Deadline = p.At(time.Now())
	decision, _ := p.Acquire(context.Background(), r)
	assert.Equal(t, decision.Reason, dispatch.ReasonRateLimited)
}
