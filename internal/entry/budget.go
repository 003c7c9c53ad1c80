package entry

import (
	"sync"
	"time"
)

// Budget bounds the repeats that this host adds to the requests for each
// service: a share of the requests, and this host's part of a burst that all
// hosts may use together.
type Budget struct {
	mu       sync.Mutex
	share    float64
	burst    float64 // of all hosts
	window   time.Duration
	hosts    int
	services map[string]*tokens
}

type tokens struct {
	earned float64 // by requests, at most what one window brings
	burst  float64
	at     time.Time
}

// Shares of the agreed budget that are used: the rest covers hosts that count
// each other late.
const (
	budgetShareUsed = 0.75
	budgetBurstUsed = 0.6
	// assumedHosts is used until the number of hosts is known.
	assumedHosts = 24
)

// NewBudget returns a Budget of share of the requests and burst in each window.
func NewBudget(share, burst float64, window time.Duration) *Budget {
	b := &Budget{hosts: assumedHosts, services: make(map[string]*tokens)}
	b.SetBounds(share, burst, window)
	return b
}

// SetBounds changes the agreed budget.
func (b *Budget) SetBounds(share, burst float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share, b.burst, b.window = share*budgetShareUsed, burst*budgetBurstUsed, window
}

// SetHosts tells how many hosts share the burst.
func (b *Budget) SetHosts(hosts int) {
	if hosts < 1 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = hosts
}

// Request counts a request for a service.
func (b *Budget) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.at(service, now)
	t.earned = min(t.earned+b.share, 4)
}

// Allow takes one repeat out of the budget.
func (b *Budget) Allow(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.at(service, now)
	switch {
	case t.earned >= 1:
		t.earned--
	case t.burst >= 1:
		t.burst--
	default:
		return false
	}
	return true
}

func (b *Budget) at(service string, now time.Time) *tokens {
	most := b.burst / float64(b.hosts)
	t := b.services[service]
	if t == nil {
		t = &tokens{burst: most, at: now}
		b.services[service] = t
	}
	// The burst comes back over a window: no window holds more than twice its
	// half, because what was used and what came back are counted together.
	t.burst = min(t.burst+now.Sub(t.at).Seconds()/b.window.Seconds()*most/2, most)
	t.at = now
	return t
}
