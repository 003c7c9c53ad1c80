package admission

import (
	"math"
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// callerUsage is the recent use of the service by one caller whose requests had
// to wait.
type callerUsage struct {
	cost  float64 // mean latency relative to the mean of the request's class
	usage decayingSum
}

// callerUsageTable holds the usage of each caller and the total of all callers.
type callerUsageTable struct {
	byCaller map[topology.Caller]*callerUsage
	total    decayingSum
}

const (
	// usageDecayTime is the time constant of the decay of usage. It is long
	// enough to see some requests of each of a few dozen callers, and short
	// compared with a work shift.
	usageDecayTime = 5 * time.Second
	// maxTrackedCallers bounds the memory of the table.
	maxTrackedCallers = 4096
	// A caller keeps its class up to fairShareFactor times its fair share plus
	// burstAllowance requests. The factor leaves room for callers that are
	// larger than others, the allowance for random bursts.
	fairShareFactor = 4
	burstAllowance  = 8
	// minTrackedUsage is the usage below which a caller is removed from the
	// table.
	minTrackedUsage = 0.05
)

// decayingSum is a sum whose parts decay exponentially with usageDecayTime.
type decayingSum struct {
	sum       float64
	updatedAt time.Duration
}

func (d *decayingSum) value(now time.Duration) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp(-float64(now-d.updatedAt)/float64(usageDecayTime))
}

func (d *decayingSum) add(now time.Duration, amount float64) {
	d.sum, d.updatedAt = d.value(now)+amount, now
}

// cost returns the relative cost of the caller's requests, 1 if unknown.
func (c *callerUsageTable) cost(caller topology.Caller) float64 {
	if r := c.byCaller[caller]; r != nil {
		return r.cost
	}
	return 1
}

// updateCost adapts the cost of the caller's requests to a latency relative to
// its class.
func (c *callerUsageTable) updateCost(caller topology.Caller, relativeLatency float64) {
	if r := c.byCaller[caller]; r != nil {
		r.cost += meanSmoothing * (relativeLatency - r.cost)
	}
}

// charge adds a queued request of caller that was granted a server.
func (c *callerUsageTable) charge(now time.Duration, caller topology.Caller) {
	r := c.byCaller[caller]
	if r == nil {
		if c.byCaller == nil {
			c.byCaller = make(map[topology.Caller]*callerUsage)
		}
		if len(c.byCaller) >= maxTrackedCallers {
			c.removeIdle(now)
		}
		if len(c.byCaller) >= maxTrackedCallers {
			return
		}
		r = &callerUsage{cost: 1}
		c.byCaller[caller] = r
	}
	cost := min(max(r.cost, minCost), maxCost)
	r.usage.add(now, cost)
	c.total.add(now, cost)
}

// exceedsFairShare reports whether the caller used far more than its fair share
// while others waited. Its requests are then queued one class lower, so that a
// flood of bookings by one caller does not displace the lookups of others.
func (c *callerUsageTable) exceedsFairShare(now time.Duration, caller topology.Caller) bool {
	r := c.byCaller[caller]
	n := len(c.byCaller)
	if r == nil || n < 2 {
		return false
	}
	share := min(fairShareFactor/float64(n), 0.75)
	return r.usage.value(now) > share*c.total.value(now)+burstAllowance
}

// removeIdle removes the callers that have not waited for a while.
func (c *callerUsageTable) removeIdle(now time.Duration) {
	for caller, r := range c.byCaller {
		if r.usage.value(now) < minTrackedUsage {
			delete(c.byCaller, caller)
		}
	}
}
