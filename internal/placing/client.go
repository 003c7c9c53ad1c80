package placing

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/dispatch"
	"github.com/cassiasill/cassiasill/internal/exchange"
	"github.com/cassiasill/cassiasill/internal/ratelimit"
)

// Timeouts of a client of a dispatcher.
const (
	// pingInterval is how often a waiting request checks when the last frame came
	// from the dispatcher.
	pingInterval = 40 * time.Millisecond
	// silenceTimeout is how long a dispatcher may send nothing while requests wait;
	// then the client disconnects.
	silenceTimeout = 120 * time.Millisecond
	// reconnectDelay is the delay before a new connection after a disconnect or a
	// failed connection attempt.
	reconnectDelay = 400 * time.Millisecond
	// connectTimeout bounds the opening of a connection to a dispatcher.
	connectTimeout = 100 * time.Millisecond
)

// client requests servers from one dispatcher on another host.
type client struct {
	address string
	dial    exchange.DialFunc
	group   *conc.WaitGroup
	limits  *ratelimit.Table

	mu           sync.Mutex
	conn         *frameConn
	retryAt      time.Time
	connecting   bool
	lastReceived time.Time
	lastID       uint64
	pending      map[uint64]chan reply
}

// reply is a decision; ok is false if the connection ended without one.
type reply struct {
	decision dispatch.Decision
	ok       bool
}

func newClient(address string, dial exchange.DialFunc, group *conc.WaitGroup, limits *ratelimit.Table) *client {
	return &client{address: address, dial: dial, group: group, limits: limits, pending: make(map[uint64]chan reply)}
}

// ensureConnected reports whether the client is connected. If not, it starts to
// connect in the background unless a delay is under way.
func (c *client) ensureConnected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		return true
	}
	if !c.connecting && time.Now().After(c.retryAt) {
		c.connecting = true
		c.group.Go(c.connect)
	}
	return false
}

// connect opens a connection and reads frames until it ends.
func (c *client) connect() {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	conn, err := c.dial(ctx, "tcp", c.address)
	known := c.limits.All()
	c.mu.Lock()
	c.connecting = false
	if err != nil {
		c.retryAt = time.Now().Add(reconnectDelay)
		c.mu.Unlock()
		return
	}
	fc := newFrameConn(conn)
	// The limits are queued before any request, so that a new dispatcher knows them
	// before it places one.
	fc.enqueue(func(f *fleetpb.DispatchFrame) { f.RateLimits = known })
	c.conn, c.lastReceived = fc, time.Now()
	c.mu.Unlock()
	c.group.Go(fc.writeFrames)
	fc.readFrames(func(frame *fleetpb.DispatchFrame) { c.handleFrame(fc, frame) })
	c.disconnect(fc)
}

// handleFrame passes decisions on to the requests that wait for them.
func (c *client) handleFrame(fc *frameConn, frame *fleetpb.DispatchFrame) {
	if frame.PacesRequests {
		fc.pacesRequests.Store(true)
	}
	if frame.PacesWarmups {
		fc.pacesWarmups.Store(true)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReceived = time.Now()
	for _, d := range frame.Decisions {
		result := c.pending[d.Id]
		if result == nil {
			// The request was canceled meanwhile; the dispatcher must free its slot.
			if d.Server != "" && c.conn != nil {
				c.conn.enqueue(func(f *fleetpb.DispatchFrame) { f.Canceled = append(f.Canceled, d.Id) })
			}
			continue
		}
		delete(c.pending, d.Id)
		result <- reply{ok: true, decision: dispatch.Decision{ID: d.Id, Server: d.Server, Reason: dispatch.Reason(d.Reason),
			RetryAfter: fromMicros(d.RetryAfterMicros), QueueTime: fromMicros(d.WaitedMicros), Speed: float64(d.Speed),
			Saturated: d.Crowded, QueueLength: int(d.Queue)}}
	}
}

// disconnect closes the connection and fails the requests that wait for a
// decision. It does nothing to a newer connection.
func (c *client) disconnect(fc *frameConn) {
	fc.close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != fc {
		return
	}
	c.conn = nil
	c.retryAt = time.Now().Add(reconnectDelay)
	for id, result := range c.pending {
		delete(c.pending, id)
		result <- reply{}
	}
}

// acquire requests a server from the dispatcher. It returns false if the
// dispatcher made no decision; the caller may then use the local dispatcher.
func (c *client) acquire(ctx context.Context, now dispatch.Instant, request dispatch.Request) (dispatch.Decision, *frameConn, bool) {
	c.mu.Lock()
	fc := c.conn
	if fc == nil {
		c.mu.Unlock()
		return dispatch.Decision{}, nil, false
	}
	c.lastID++
	id := c.lastID
	result := make(chan reply, 1)
	c.pending[id] = result
	if len(c.pending) == 1 {
		c.lastReceived = time.Now() // silence counts from the first pending request
	}
	c.mu.Unlock()
	fc.enqueue(func(f *fleetpb.DispatchFrame) {
		f.Asks = append(f.Asks, &fleetpb.DispatchAsk{Id: id, Service: request.Service, Position: uint32(request.Position + 1), Priority: uint32(request.Priority),
			Repeatable: request.Repeatable, Zone: request.Zone, AnswerBytes: float32(request.ResponseBytes), Returned: request.PreviouslyRejected, TargetMicros: int32(request.Target.Sub(now).Microseconds()),
			DeadlineMicros: toMicros(request.Deadline.Sub(now)), WorkMicros: toMicros(request.Work), Exclude: request.Exclude})
	})
	timer := time.NewTimer(pingInterval)
	defer timer.Stop()
	for {
		select {
		case a := <-result:
			a.decision.ID = id
			return a.decision, fc, a.ok
		case <-ctx.Done():
			c.cancel(fc, id)
			return dispatch.Decision{Reason: dispatch.ReasonOverload}, nil, true
		case <-timer.C:
			c.checkSilence(fc)
			timer.Reset(pingInterval)
		}
	}
}

// checkSilence pings a silent dispatcher, or disconnects after silenceTimeout.
func (c *client) checkSilence(fc *frameConn) {
	c.mu.Lock()
	silence := time.Since(c.lastReceived)
	c.mu.Unlock()
	switch {
	case silence > silenceTimeout:
		c.disconnect(fc)
	case silence > pingInterval/2:
		fc.enqueue(func(f *fleetpb.DispatchFrame) { f.Ping = true })
	}
}

// cancel tells the dispatcher that the request no longer needs a server.
func (c *client) cancel(fc *frameConn, id uint64) {
	c.mu.Lock()
	delete(c.pending, id)
	c.mu.Unlock()
	fc.enqueue(func(f *fleetpb.DispatchFrame) { f.Canceled = append(f.Canceled, id) })
}

// close ends the connection.
func (c *client) close() {
	c.mu.Lock()
	fc := c.conn
	c.mu.Unlock()
	if fc != nil {
		c.disconnect(fc)
	}
}

// sendDone reports to the dispatcher how a request ended and what is known about the
// server's rate limit.
func sendDone(fc *frameConn, id uint64, r dispatch.Result, limit *fleetpb.RateLimit) {
	fc.enqueue(func(f *fleetpb.DispatchFrame) {
		f.Done = append(f.Done, &fleetpb.DispatchDone{Id: id, Outcome: uint32(r.Outcome), HasLoad: r.HasLoad,
			Running: uint32(r.Running), Waiting: uint32(r.Waiting), RateLimit: limit, TimePercent: uint32(r.TimePercent)})
	})
}
