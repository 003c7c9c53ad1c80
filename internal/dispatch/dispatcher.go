package dispatch

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// tickInterval is the interval at which queued requests are scheduled again:
// pauses of servers end and estimates change without an event.
const tickInterval = 10 * time.Millisecond

// Dispatcher runs one Scheduler for each service of a process.
type Dispatcher struct {
	epoch  time.Time
	lastID atomic.Uint64

	mu         sync.Mutex
	schedulers map[string]*Scheduler
	callbacks  map[uint64]func(Decision) // by request ID
	wake       chan struct{}             // wakes Run when a request stays queued
	rateLimits map[string]float64        // by server
	// onWarmup is told the turns of servers to cold and to warm.
	onWarmup func(WarmupTransition)
}

// NewDispatcher returns a Dispatcher without services.
func NewDispatcher() *Dispatcher {
	return &Dispatcher{epoch: time.Now(), schedulers: make(map[string]*Scheduler), callbacks: make(map[uint64]func(Decision)), wake: make(chan struct{}, 1), rateLimits: make(map[string]float64)}
}

// Now returns the time since the Dispatcher was created.
func (d *Dispatcher) Now() Instant { return d.At(time.Now()) }

// At converts a time to an Instant of the Dispatcher.
func (d *Dispatcher) At(t time.Time) Instant { return Instant(t.Sub(d.epoch)) }

// SetService creates or updates the Scheduler of a service.
func (d *Dispatcher) SetService(service string, share float64, extra int, owner func(position int) OwnerState, servers []Server) {
	onWarmup, transitions := d.setService(service, share, extra, owner, servers)
	for _, t := range transitions {
		if t.Service = service; onWarmup != nil {
			onWarmup(t)
		}
	}
}

// setService is SetService and returns the turns of servers to cold and to warm, which
// are passed on without the lock.
func (d *Dispatcher) setService(service string, share float64, extra int, owner func(position int) OwnerState, servers []Server) (func(WarmupTransition), []WarmupTransition) {
	d.mu.Lock()
	defer d.mu.Unlock()
	scheduler := d.schedulers[service]
	if scheduler == nil {
		scheduler = NewScheduler(share, extra, nil)
		scheduler.seed = rand.Uint64()
		maps.Copy(scheduler.rateLimits, d.rateLimits)
		d.schedulers[service] = scheduler
	}
	scheduler.ownerAt = owner
	scheduler.SetShare(d.Now(), share, extra)
	d.deliver(scheduler.SetServers(d.Now(), servers))
	return d.onWarmup, scheduler.takeTransitions()
}

// OnWarmup calls f for each turn of a server to cold or to warm.
func (d *Dispatcher) OnWarmup(f func(WarmupTransition)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onWarmup = f
}

// WarmupCounts returns the counts of requests that concern cold servers, of all services.
func (d *Dispatcher) WarmupCounts() (total WarmupCounts) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, scheduler := range d.schedulers {
		total.add(scheduler.warmupCounts())
	}
	return total
}

// SetOwner replaces the function that returns the owners of a service's keys.
func (d *Dispatcher) SetOwner(service string, owner func(position int) OwnerState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if scheduler := d.schedulers[service]; scheduler != nil {
		d.deliver(scheduler.SetOwner(d.Now(), owner))
	}
}

// SetRateLimit sets the rate limit of a server, in requests per second of all hosts
// together. A rate of 0 removes it.
func (d *Dispatcher) SetRateLimit(server string, rate float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if rate > 0 {
		d.rateLimits[server] = rate
	} else {
		delete(d.rateLimits, server)
	}
	for _, scheduler := range d.schedulers {
		d.deliver(scheduler.SetRateLimit(d.Now(), server, rate))
	}
}

// TakeOver prepares for requests of all hosts to a service that another host has
// dispatched so far.
func (d *Dispatcher) TakeOver(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if scheduler := d.schedulers[service]; scheduler != nil {
		scheduler.restartPace(d.Now())
	}
}

// TakeTurn counts a request to a server that another dispatcher chose without regard
// to its limit, or, if coldOnly is true, to its pace while it is cold. It returns false,
// and when to retry, if the limit does not allow it.
func (d *Dispatcher) TakeTurn(service, server string, coldOnly bool) (retryAfter time.Duration, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if scheduler := d.schedulers[service]; scheduler != nil {
		return scheduler.TakeTurn(d.Now(), server, coldOnly)
	}
	return 0, true
}

// OutOfTurn returns the servers of a service to which TakeTurn allows no request now.
func (d *Dispatcher) OutOfTurn(service string, coldOnly bool) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if scheduler := d.schedulers[service]; scheduler != nil {
		return scheduler.OutOfTurn(d.Now(), coldOnly)
	}
	return nil
}

// Acquire waits for a server for the request. After a decision that names a
// server, Release must be called with the returned ID.
func (d *Dispatcher) Acquire(ctx context.Context, request Request) (Decision, uint64) {
	result := make(chan Decision, 1)
	id := d.NewRequestID()
	d.Submit(id, request, func(decision Decision) { result <- decision })
	select {
	case decision := <-result:
		return decision, id
	case <-ctx.Done():
	}
	if !d.Cancel(request.Service, id) {
		// The decision was made at the same moment as the cancellation.
		return <-result, id
	}
	return Decision{Reason: ReasonOverload, RetryAfter: minRetryAfter}, 0
}

// NewRequestID returns a new request ID.
func (d *Dispatcher) NewRequestID() uint64 { return d.lastID.Add(1) }

// Submit queues a request under an ID from NewRequestID and calls onDecision once
// with the decision, at once or later. onDecision must not block or call the
// Dispatcher, whose lock is held.
func (d *Dispatcher) Submit(id uint64, request Request, onDecision func(Decision)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	request.ID = id
	scheduler := d.schedulers[request.Service]
	if scheduler == nil {
		onDecision(Decision{Reason: ReasonNoServer, RetryAfter: 4 * minRetryAfter})
		return
	}
	d.callbacks[request.ID] = onDecision
	d.deliver(scheduler.Submit(d.Now(), request))
	if d.callbacks[request.ID] != nil {
		select {
		case d.wake <- struct{}{}:
		default:
		}
	}
}

// Cancel removes a queued request. It returns false if the request was decided.
func (d *Dispatcher) Cancel(service string, id uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.callbacks[id] == nil {
		return false
	}
	delete(d.callbacks, id)
	if scheduler := d.schedulers[service]; scheduler != nil {
		scheduler.Cancel(d.Now(), id)
	}
	return true
}

// Release frees the slot of a request and records how the request ended.
func (d *Dispatcher) Release(service string, id uint64, result Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if scheduler := d.schedulers[service]; scheduler != nil {
		d.deliver(scheduler.Complete(d.Now(), id, result))
	}
}

// deliver calls the callback of each decided request.
func (d *Dispatcher) deliver(decisions []Decision) {
	for _, decision := range decisions {
		if onDecision := d.callbacks[decision.ID]; onDecision != nil {
			delete(d.callbacks, decision.ID)
			onDecision(decision)
		}
	}
}

// Run schedules queued requests again at each tickInterval until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.wake:
		}
		ticker := time.NewTicker(tickInterval)
		for d.tick() && ctx.Err() == nil {
			<-ticker.C
		}
		ticker.Stop()
	}
}

// tick schedules all queued requests and reports whether any is still queued.
func (d *Dispatcher) tick() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	queued := false
	for _, scheduler := range d.schedulers {
		d.deliver(scheduler.Reschedule(d.Now()))
		queued = queued || scheduler.queues.size > 0
	}
	return queued
}
