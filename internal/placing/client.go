package placing

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/dispatch"
	"github.com/cassiasill/cassiasill/internal/exchange"
)

// Timing of the questions to a dispatcher.
const (
	// pingAfter is the silence after which a waiting host asks for a sign.
	pingAfter = 40 * time.Millisecond
	// silenceLimit is the silence after which a dispatcher is given up.
	silenceLimit = 120 * time.Millisecond
	// reconnectPause follows a dispatcher that was given up.
	reconnectPause = 400 * time.Millisecond
	// connectLimit bounds the opening of a connection to a dispatcher.
	connectLimit = 100 * time.Millisecond
)

// client asks one dispatcher.
type client struct {
	address string
	dial    exchange.DialFunc
	group   *conc.WaitGroup

	mu        sync.Mutex
	link      *link
	pausedTo  time.Time
	opening   bool
	lastHeard time.Time
	next      uint64
	waiting   map[uint64]chan answer
}

// answer is a decision, or none if the dispatcher was given up.
type answer struct {
	decision dispatch.Decision
	ok       bool
}

func newClient(address string, dial exchange.DialFunc, group *conc.WaitGroup) *client {
	return &client{address: address, dial: dial, group: group, waiting: make(map[uint64]chan answer)}
}

// ready reports whether the dispatcher can be asked, and connects if not.
func (c *client) ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link != nil {
		return true
	}
	if !c.opening && time.Now().After(c.pausedTo) {
		c.opening = true
		c.group.Go(c.open)
	}
	return false
}

func (c *client) open() {
	ctx, cancel := context.WithTimeout(context.Background(), connectLimit)
	defer cancel()
	conn, err := c.dial(ctx, "tcp", c.address)
	c.mu.Lock()
	c.opening = false
	if err != nil {
		c.pausedTo = time.Now().Add(reconnectPause)
		c.mu.Unlock()
		return
	}
	l := newLink(conn)
	c.link, c.lastHeard = l, time.Now()
	c.mu.Unlock()
	c.group.Go(l.writeAll)
	l.readAll(c.handle)
	c.giveUp(l)
}

func (c *client) handle(frame *fleetpb.DispatchFrame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastHeard = time.Now()
	for _, d := range frame.Decisions {
		result := c.waiting[d.Id]
		if result == nil {
			// Nobody waits any more: the place must be given back.
			if d.Server != "" && c.link != nil {
				c.link.queue(func(f *fleetpb.DispatchFrame) { f.Canceled = append(f.Canceled, d.Id) })
			}
			continue
		}
		delete(c.waiting, d.Id)
		result <- answer{ok: true, decision: dispatch.Decision{ID: d.Id, Server: d.Server, Reason: dispatch.Reason(d.Reason),
			RetryAfter: fromMicros(d.RetryAfterMicros), Waited: fromMicros(d.WaitedMicros), Speed: float64(d.Speed),
			Crowded: d.Crowded, Queue: int(d.Queue)}}
	}
}

// giveUp ends the link; requests that wait are told so.
func (c *client) giveUp(l *link) {
	l.close()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link != l {
		return
	}
	c.link = nil
	c.pausedTo = time.Now().Add(reconnectPause)
	for id, result := range c.waiting {
		delete(c.waiting, id)
		result <- answer{}
	}
}

// acquire asks for a server. It returns false if the dispatcher gave no answer;
// the request may then be placed otherwise.
func (c *client) acquire(ctx context.Context, now dispatch.Instant, ask dispatch.Ask) (dispatch.Decision, *link, bool) {
	c.mu.Lock()
	l := c.link
	if l == nil {
		c.mu.Unlock()
		return dispatch.Decision{}, nil, false
	}
	c.next++
	id := c.next
	result := make(chan answer, 1)
	c.waiting[id] = result
	if len(c.waiting) == 1 {
		c.lastHeard = time.Now() // silence counts from the first open question
	}
	c.mu.Unlock()
	l.queue(func(f *fleetpb.DispatchFrame) {
		f.Asks = append(f.Asks, &fleetpb.DispatchAsk{Id: id, Service: ask.Service, Position: uint32(ask.Position + 1), Priority: uint32(ask.Priority),
			Repeatable: ask.Repeatable, Zone: ask.Zone, AnswerBytes: float32(ask.AnswerBytes), Returned: ask.Returned, TargetMicros: int32(ask.Target.Sub(now).Microseconds()),
			DeadlineMicros: micros(ask.Deadline.Sub(now)), WorkMicros: micros(ask.Work), Exclude: ask.Exclude})
	})
	timer := time.NewTimer(pingAfter)
	defer timer.Stop()
	for {
		select {
		case a := <-result:
			a.decision.ID = id
			return a.decision, l, a.ok
		case <-ctx.Done():
			c.cancel(l, id)
			return dispatch.Decision{Reason: dispatch.ReasonOverload}, nil, true
		case <-timer.C:
			c.watch(l)
			timer.Reset(pingAfter)
		}
	}
}

// watch asks a silent dispatcher for a sign, or gives it up.
func (c *client) watch(l *link) {
	c.mu.Lock()
	silence := time.Since(c.lastHeard)
	c.mu.Unlock()
	switch {
	case silence > silenceLimit:
		c.giveUp(l)
	case silence > pingAfter/2:
		l.queue(func(f *fleetpb.DispatchFrame) { f.Ping = true })
	}
}

func (c *client) cancel(l *link, id uint64) {
	c.mu.Lock()
	delete(c.waiting, id)
	c.mu.Unlock()
	l.queue(func(f *fleetpb.DispatchFrame) { f.Canceled = append(f.Canceled, id) })
}

// close ends the connection.
func (c *client) close() {
	c.mu.Lock()
	l := c.link
	c.mu.Unlock()
	if l != nil {
		c.giveUp(l)
	}
}

// done tells how a request ended.
func done(l *link, id uint64, r dispatch.Result) {
	l.queue(func(f *fleetpb.DispatchFrame) {
		f.Done = append(f.Done, &fleetpb.DispatchDone{Id: id, Outcome: uint32(r.Outcome), HasLoad: r.HasLoad,
			Running: uint32(r.Running), Waiting: uint32(r.Waiting)})
	})
}
