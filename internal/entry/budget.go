package entry

import (
	"sync"
	"time"
)

// RetryBudget limits the retries that this host adds to the requests of each
// service: a share of the host's requests, plus the host's part of a burst that
// all hosts share.
type RetryBudget struct {
	mu        sync.Mutex
	share     float64
	burst     float64 // shared by all hosts, in retries
	window    time.Duration
	hosts     int
	byService map[string]*retryTokens
}

// retryTokens are the retries that one service may still use.
type retryTokens struct {
	fromRequests float64 // earned by requests, at most 4
	burst        float64 // left of this host's part of the burst
	updatedAt    time.Time
}

// Fractions of the configured budget that are used. The rest is a margin for
// hosts that see a change in the number of hosts late.
const (
	shareUsedFraction = 0.75
	burstUsedFraction = 0.6
	// defaultHosts is the assumed number of hosts until it is known. It divides the
	// burst and the slots of the servers.
	defaultHosts = 24
)

// NewRetryBudget returns a budget that allows, in each window, retries for a share of
// the requests plus a burst.
func NewRetryBudget(share, burst float64, window time.Duration) *RetryBudget {
	b := &RetryBudget{hosts: defaultHosts, byService: make(map[string]*retryTokens)}
	b.SetLimits(share, burst, window)
	return b
}

// SetLimits changes the configured limits.
func (b *RetryBudget) SetLimits(share, burst float64, window time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share, b.burst, b.window = share*shareUsedFraction, burst*burstUsedFraction, window
}

// SetHosts sets the number of hosts that share the burst.
func (b *RetryBudget) SetHosts(hosts int) {
	if hosts < 1 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = hosts
}

// CountRequest counts a request of a service, which adds its share of a retry to the
// budget.
func (b *RetryBudget) CountRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.tokensAt(service, now)
	t.fromRequests = min(t.fromRequests+b.share, 4)
}

// Allow reports whether a request of a service may be retried, and if so takes
// the retry out of the budget.
func (b *RetryBudget) Allow(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.tokensAt(service, now)
	switch {
	case t.fromRequests >= 1:
		t.fromRequests--
	case t.burst >= 1:
		t.burst--
	default:
		return false
	}
	return true
}

// tokensAt returns the tokens of a service, refilled up to now.
func (b *RetryBudget) tokensAt(service string, now time.Time) *retryTokens {
	maxBurst := b.burst / float64(b.hosts)
	t := b.byService[service]
	if t == nil {
		t = &retryTokens{burst: maxBurst, updatedAt: now}
		b.byService[service] = t
	}
	// The burst refills by half per window, so that one window allows at most
	// 1.5 times maxBurst: a full burst and what is refilled meanwhile.
	t.burst = min(t.burst+now.Sub(t.updatedAt).Seconds()/b.window.Seconds()*maxBurst/2, maxBurst)
	t.updatedAt = now
	return t
}
