package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// tickInterval is the pace at which waiting requests are looked at again:
// pauses of servers end and estimates change without an event.
const tickInterval = 10 * time.Millisecond

// Dispatcher runs the Cores of all services of one process.
type Dispatcher struct {
	start time.Time
	last  atomic.Uint64

	mu      sync.Mutex
	cores   map[string]*Core
	waiting map[uint64]func(Decision)
	pending chan struct{} // wakes Run when requests wait
}

// NewDispatcher returns a Dispatcher without services.
func NewDispatcher() *Dispatcher {
	return &Dispatcher{start: time.Now(), cores: make(map[string]*Core), waiting: make(map[uint64]func(Decision)), pending: make(chan struct{}, 1)}
}

// Now returns the Dispatcher's time.
func (d *Dispatcher) Now() Instant { return d.At(time.Now()) }

// At converts a time.
func (d *Dispatcher) At(t time.Time) Instant { return Instant(t.Sub(d.start)) }

// SetService creates or changes the Core of a service.
func (d *Dispatcher) SetService(service string, share float64, extra int, owner func(position int) OwnerState, servers []Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	core := d.cores[service]
	if core == nil {
		core = NewCore(share, extra, nil)
		d.cores[service] = core
	}
	core.owner = owner
	core.SetShare(share, extra)
	d.deliver(core.SetServers(d.Now(), servers))
}

// SetOwner changes who owns the keys of a service.
func (d *Dispatcher) SetOwner(service string, owner func(position int) OwnerState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if core := d.cores[service]; core != nil {
		d.deliver(core.SetOwner(d.Now(), owner))
	}
}

// Acquire waits for a server for the request. After a decision that names a
// server, Release must be called with the returned number.
func (d *Dispatcher) Acquire(ctx context.Context, ask Ask) (Decision, uint64) {
	result := make(chan Decision, 1)
	number := d.Number()
	d.Ask(number, ask, func(decision Decision) { result <- decision })
	select {
	case decision := <-result:
		return decision, number
	case <-ctx.Done():
	}
	if !d.Cancel(ask.Service, number) {
		// The decision came at the same moment.
		return <-result, number
	}
	return Decision{Reason: ReasonOverload, RetryAfter: retryAfterMin}, 0
}

// Number returns a number for a request.
func (d *Dispatcher) Number() uint64 { return d.last.Add(1) }

// Ask takes a request under its number and calls decided once with the
// decision, at once or later. The function must not block or call the
// Dispatcher.
func (d *Dispatcher) Ask(number uint64, ask Ask, decided func(Decision)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ask.ID = number
	core := d.cores[ask.Service]
	if core == nil {
		decided(Decision{Reason: ReasonNoServer, RetryAfter: 4 * retryAfterMin})
		return
	}
	d.waiting[ask.ID] = decided
	d.deliver(core.Ask(d.Now(), ask))
	if d.waiting[ask.ID] != nil {
		select {
		case d.pending <- struct{}{}:
		default:
		}
	}
}

// Cancel forgets a request that waits. It returns false if it was decided.
func (d *Dispatcher) Cancel(service string, number uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.waiting[number] == nil {
		return false
	}
	delete(d.waiting, number)
	if core := d.cores[service]; core != nil {
		d.deliver(core.Cancel(d.Now(), number))
	}
	return true
}

// Release tells how a request ended at its server.
func (d *Dispatcher) Release(service string, id uint64, result Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if core := d.cores[service]; core != nil {
		d.deliver(core.Done(d.Now(), id, result))
	}
}

func (d *Dispatcher) deliver(decisions []Decision) {
	for _, decision := range decisions {
		if decided := d.waiting[decision.ID]; decided != nil {
			delete(d.waiting, decision.ID)
			decided(decision)
		}
	}
}

// Run looks at waiting requests until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.pending:
		}
		ticker := time.NewTicker(tickInterval)
		for d.tick() && ctx.Err() == nil {
			<-ticker.C
		}
		ticker.Stop()
	}
}

// tick looks at all queues and reports whether a request still waits.
func (d *Dispatcher) tick() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	waits := false
	for _, core := range d.cores {
		d.deliver(core.Tick(d.Now()))
		waits = waits || core.lines.size > 0
	}
	return waits
}
