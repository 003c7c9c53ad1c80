package entry

import (
	"net"
	"time"

	"github.com/cassiasill/cassiasill/internal/network"
)

// responseProgress watches how fast a caller takes a response. It is guarded by the
// caller's mutex.
type responseProgress struct {
	limits CallerLimits
	events *LimitEvents
	conn   net.Conn
	acked  uint64 // bytes that the caller had acknowledged when the period began
	since  time.Time
}

// watchResponse makes the checks of the connection end the response when the caller takes
// less than it must.
func (c *caller) watchResponse(limits CallerLimits, events *LimitEvents) {
	if limits.ResponsePeriod <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.response = responseProgress{limits: limits, events: events, conn: network.ContextConn(c.ctx), since: time.Now()}
}

// checkResponse ends the response if the caller has taken too little in the period. The
// caller's mutex is held.
func (c *caller) checkResponse(now time.Time) {
	p := &c.response
	if p.conn == nil {
		return
	}
	period := p.limits.ResponsePeriod
	if p.events.connsAreShort(now) {
		period = min(period, p.limits.BodyPeriod)
	}
	acked, pending, err := network.SendProgress(c.conn)
	switch {
	case err != nil:
		return
	case !pending || acked-p.acked >= uint64(p.limits.MinProgressBytes):
		p.acked, p.since = acked, now
	case now.Sub(p.since) >= period:
		_ = p.conn.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection
		p.conn = nil
		p.events.Reached(LimitResponseProgress, "callers.responsePeriod")
	}
}

// endResponse bounds the time in which the HTTP server writes the last bytes of a response,
// at most 6 KiB, after the handler. The server lifts the deadline before the next request.
func (c *caller) endResponse(limits CallerLimits) {
	c.mu.Lock()
	c.response.conn = nil
	c.mu.Unlock()
	if conn := network.ContextConn(c.ctx); conn != nil && limits.ResponsePeriod > 0 {
		_ = conn.SetWriteDeadline(time.Now().Add(limits.ResponsePeriod)) // fails only on a closed connection
	}
}
