package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"
)

// LimitName names a limit in logs and metrics.
type LimitName string

// The limits. The last two concern other hosts and operators, the others callers.
const (
	LimitMemory           LimitName = "memory"
	LimitBodyProgress     LimitName = "body-progress"
	LimitResponseProgress LimitName = "response-progress"
	LimitConnections      LimitName = "connections"
	LimitHeader           LimitName = "header"
	LimitPeerConnections  LimitName = "peer-connections"
	LimitAdminConnections LimitName = "admin-connections"
)

// limitLogInterval is the least time between two log lines about a limit.
const limitLogInterval = time.Second

// LimitEvents counts how often limits are reached, and logs it. Its methods may be called
// concurrently and on nil.
type LimitEvents struct {
	counter metric.Int64Counter
	log     *zap.Logger
	// refusedAt is when a connection was last refused, in Unix nanoseconds.
	refusedAt atomic.Int64

	mu     sync.Mutex
	limits map[LimitName]*limitState
}

// limitState is what is known of one limit.
type limitState struct {
	loggedAt time.Time
	unlogged int
}

// NewLimitEvents creates the counter.
func NewLimitEvents(meter metric.Meter, log *zap.Logger) (*LimitEvents, error) {
	counter, err := meter.Int64Counter("entry.limits_reached", metric.WithDescription("Requests and connections that a limit ended, by limit."))
	return &LimitEvents{counter: counter, log: log.Named("entry"), limits: make(map[LimitName]*limitState)}, err
}

// Reached counts that a limit was reached. Setting is the path of the setting that changes
// it.
func (e *LimitEvents) Reached(name LimitName, setting string) {
	if e == nil {
		return
	}
	e.counter.Add(context.Background(), 1, metric.WithAttributes(attribute.String("limit", string(name))))
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.limits[name]
	if state == nil {
		state = &limitState{}
		e.limits[name] = state
	}
	state.unlogged++
	if now.Sub(state.loggedAt) < limitLogInterval {
		return
	}
	e.log.Warn("entry: limit reached", zap.String("limit", string(name)), zap.String("setting", setting), zap.Int("times", state.unlogged))
	state.loggedAt, state.unlogged = now, 0
}

// pressurePeriod is how long connections count as short after one was refused.
const pressurePeriod = time.Second

// refusedConn records that a connection was refused because no other could be closed.
func (e *LimitEvents) refusedConn(now time.Time) {
	if e != nil {
		e.refusedAt.Store(now.UnixNano())
	}
}

// connsAreShort reports whether connections are being refused.
func (e *LimitEvents) connsAreShort(now time.Time) bool {
	return e != nil && now.UnixNano()-e.refusedAt.Load() < int64(pressurePeriod)
}
