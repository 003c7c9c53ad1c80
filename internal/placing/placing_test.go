package placing

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/dispatch"
	"github.com/cassiasill/cassiasill/internal/exchange"
	"github.com/cassiasill/cassiasill/internal/ratelimit"
)

// newDispatcher returns a dispatcher with one server that has one slot.
func newDispatcher(server string) *dispatch.Dispatcher {
	d := dispatch.NewDispatcher()
	d.SetService("svc", 1, 0, nil, []dispatch.Server{{ID: server, Slots: 1}})
	return d
}

// newTable returns an empty table of rate limits.
func newTable() *ratelimit.Table { return ratelimit.NewTable(boottime.Now, zap.NewNop()) }

// startServer serves the dispatcher to other hosts and returns the address.
func startServer(t *testing.T, d *dispatch.Dispatcher, limits *ratelimit.Table) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	server := NewServer(d, limits)
	var group conc.WaitGroup
	group.Go(func() { _ = server.Serve(ctx, listener) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return listener.Addr().String()
}

// connectedPlacer returns a Placer that is connected to the dispatcher at address.
func connectedPlacer(t *testing.T, address string) *Placer {
	t.Helper()
	p := NewPlacer("self", exchange.Dial, newDispatcher("local"), newDispatcher("own-central"), newTable())
	t.Cleanup(p.Close)
	p.SetDispatchers(map[string]string{"svc": address})
	for range 100 {
		p.mu.Lock()
		c := p.clients[address]
		p.mu.Unlock()
		if c == nil || c.ensureConnected() {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	return p
}

func (p *Placer) newRequest() dispatch.Request {
	now := time.Now()
	return dispatch.Request{Service: "svc", Position: dispatch.NoPosition, Repeatable: true, Target: p.At(now.Add(time.Second)),
		Deadline: p.At(now.Add(2 * time.Second)), Work: 50 * time.Millisecond}
}

// Guards against two hosts that use the same free slot.
func TestHostsShareOneQueue(t *testing.T) {
	address := startServer(t, newDispatcher("s1"), newTable())
	a, b := connectedPlacer(t, address), connectedPlacer(t, address)
	first, ticket := a.Acquire(context.Background(), a.newRequest())
	assert.Equal(t, first.Server, "s1")
	decided := make(chan dispatch.Decision, 1)
	var group conc.WaitGroup
	group.Go(func() {
		d, _ := b.Acquire(context.Background(), b.newRequest())
		decided <- d
	})
	select {
	case d := <-decided:
		t.Fatalf("decided %+v while the only slot was taken", d)
	case <-time.After(60 * time.Millisecond):
	}
	a.Release(ticket, dispatch.Result{})
	assert.Equal(t, (<-decided).Server, "s1")
	group.Wait()
}

// Guards against requests that wait for a dispatcher that does not respond, and
// against trying it again at once.
func TestSilentDispatcherIsAbandoned(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and sends nothing
	assert.NilError(t, err)
	defer listener.Close()
	p := connectedPlacer(t, listener.Addr().String())
	started := time.Now()
	d, ticket := p.Acquire(context.Background(), p.newRequest())
	assert.Equal(t, d.Server, "local")
	assert.Assert(t, time.Since(started) < 3*silenceTimeout)
	p.Release(ticket, dispatch.Result{})
	started = time.Now()
	d, _ = p.Acquire(context.Background(), p.newRequest())
	assert.Equal(t, d.Server, "local")
	assert.Assert(t, time.Since(started) < silenceTimeout, "the silent dispatcher was used again at once")
}

// Guards against slots that stay taken after the loss of the host that used them.
func TestLostHostFreesItsSlots(t *testing.T) {
	address := startServer(t, newDispatcher("s1"), newTable())
	a, b := connectedPlacer(t, address), connectedPlacer(t, address)
	_, _ = a.Acquire(context.Background(), a.newRequest())
	a.SetDispatchers(nil) // closes its connection
	d, _ := b.Acquire(context.Background(), b.newRequest())
	assert.Equal(t, d.Server, "s1")
}

// Guards against assigning a slot to a request that was canceled.
func TestCanceledRequestLeavesTheQueue(t *testing.T) {
	address := startServer(t, newDispatcher("s1"), newTable())
	p := connectedPlacer(t, address)
	_, ticket := p.Acquire(context.Background(), p.newRequest())
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	d, _ := p.Acquire(ctx, p.newRequest())
	assert.Equal(t, d.Server, "")
	p.Release(ticket, dispatch.Result{})
	d, _ = p.Acquire(context.Background(), p.newRequest())
	assert.Equal(t, d.Server, "s1")
}

// Guards against the wrong dispatcher, or a connection to itself, if this host is
// the dispatcher of the service.
func TestOwnDispatcher(t *testing.T) {
	p := connectedPlacer(t, "self")
	d, ticket := p.Acquire(context.Background(), p.newRequest())
	assert.Equal(t, d.Server, "own-central")
	p.Release(ticket, dispatch.Result{})
}
