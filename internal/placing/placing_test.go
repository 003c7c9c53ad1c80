package placing

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/dispatch"
	"github.com/cassiasill/cassiasill/internal/exchange"
)

// dispatcher returns a dispatcher with one server of one slot.
func dispatcher(server string) *dispatch.Dispatcher {
	d := dispatch.NewDispatcher()
	d.SetService("svc", 1, 0, nil, []dispatch.Server{{ID: server, Slots: 1}})
	return d
}

// serve lets a dispatcher answer other hosts and returns its address.
func serve(t *testing.T, d *dispatch.Dispatcher) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { _ = NewServer(d).Serve(ctx, listener) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return listener.Addr().String()
}

// placer returns a Placer that knows the dispatcher at address and is connected.
func placer(t *testing.T, address string) *Placer {
	t.Helper()
	p := NewPlacer("self", exchange.Dial, dispatcher("local"), dispatcher("own-central"))
	t.Cleanup(p.Close)
	p.SetDispatchers(map[string]string{"svc": address})
	for range 100 {
		p.mu.Lock()
		c := p.clients[address]
		p.mu.Unlock()
		if c == nil || c.ready() {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	return p
}

func (p *Placer) ask() dispatch.Ask {
	now := time.Now()
	return dispatch.Ask{Service: "svc", Position: dispatch.NoPosition, Repeatable: true, Target: p.At(now.Add(time.Second)),
		Deadline: p.At(now.Add(2 * time.Second)), Work: 50 * time.Millisecond}
}

// Guards against two hosts that each think a slot is free.
func TestHostsShareOneQueue(t *testing.T) {
	address := serve(t, dispatcher("s1"))
	a, b := placer(t, address), placer(t, address)
	first, ticket := a.Acquire(context.Background(), a.ask())
	assert.Equal(t, first.Server, "s1")
	decided := make(chan dispatch.Decision, 1)
	var group conc.WaitGroup
	group.Go(func() {
		d, _ := b.Acquire(context.Background(), b.ask())
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

// Guards against requests that wait for a dispatcher that is silent.
func TestSilentDispatcherIsGivenUp(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") // accepts and says nothing
	assert.NilError(t, err)
	defer listener.Close()
	p := placer(t, listener.Addr().String())
	started := time.Now()
	d, ticket := p.Acquire(context.Background(), p.ask())
	assert.Equal(t, d.Server, "local")
	assert.Assert(t, time.Since(started) < 3*silenceLimit)
	p.Release(ticket, dispatch.Result{})
	started = time.Now()
	d, _ = p.Acquire(context.Background(), p.ask())
	assert.Equal(t, d.Server, "local")
	assert.Assert(t, time.Since(started) < silenceLimit, "asked again at once")
}

// Guards against slots that a lost host keeps for ever.
func TestLostHostFreesItsSlots(t *testing.T) {
	address := serve(t, dispatcher("s1"))
	a, b := placer(t, address), placer(t, address)
	_, _ = a.Acquire(context.Background(), a.ask())
	a.SetDispatchers(nil) // closes its connection
	d, _ := b.Acquire(context.Background(), b.ask())
	assert.Equal(t, d.Server, "s1")
}

// Guards against a caller who has left and still gets a slot.
func TestCanceledQuestionFreesItsPlace(t *testing.T) {
	address := serve(t, dispatcher("s1"))
	p := placer(t, address)
	_, ticket := p.Acquire(context.Background(), p.ask())
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	d, _ := p.Acquire(ctx, p.ask())
	assert.Equal(t, d.Server, "")
	p.Release(ticket, dispatch.Result{})
	d, _ = p.Acquire(context.Background(), p.ask())
	assert.Equal(t, d.Server, "s1")
}

// Guards against a service whose dispatcher is this host.
func TestOwnDispatcher(t *testing.T) {
	p := placer(t, "self")
	d, ticket := p.Acquire(context.Background(), p.ask())
	assert.Equal(t, d.Server, "own-central")
	p.Release(ticket, dispatch.Result{})
}
