package admission

import (
	"math"
	"time"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// callerRecord is what the scheduler remembers of a caller whose requests had
// to wait.
type callerRecord struct {
	cost float64 // usual time at a server relative to the class's
	use  decaying
}

// callerRecords holds the records and the sum of all use.
type callerRecords struct {
	records map[topology.Caller]*callerRecord
	total   decaying
}

const (
	// useMemory is the time constant of the use: long enough for some requests
	// of each of a few dozen callers, short against a shift.
	useMemory = 5 * time.Second
	// maxCallers bounds the memory.
	maxCallers = 4096
	// fairFactor times the fair share, and burst requests more, keep their
	// class; the factor leaves room for callers that are larger than others, the
	// burst for chance.
	fairFactor = 4
	burst      = 8
	// forgetUse is the use below which a record is dropped.
	forgetUse = 0.05
)

// decaying is a sum whose parts fade with useMemory.
type decaying struct {
	sum float64
	at  time.Duration
}

func (d *decaying) value(now time.Duration) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp(-float64(now-d.at)/float64(useMemory))
}

func (d *decaying) add(now time.Duration, amount float64) {
	d.sum, d.at = d.value(now)+amount, now
}

// cost returns the relative cost of the caller's requests.
func (c *callerRecords) cost(caller topology.Caller) float64 {
	if r := c.records[caller]; r != nil {
		return r.cost
	}
	return 1
}

// learn adapts the cost of the caller's requests.
func (c *callerRecords) learn(caller topology.Caller, relative float64) {
	if r := c.records[caller]; r != nil {
		r.cost += meanGain * (relative - r.cost)
	}
}

// charge counts a request of caller that got its turn in the queue.
func (c *callerRecords) charge(now time.Duration, caller topology.Caller) {
	r := c.records[caller]
	if r == nil {
		if c.records == nil {
			c.records = make(map[topology.Caller]*callerRecord)
		}
		if len(c.records) >= maxCallers {
			c.forget(now)
		}
		if len(c.records) >= maxCallers {
			return
		}
		r = &callerRecord{cost: 1}
		c.records[caller] = r
	}
	cost := min(max(r.cost, minCost), maxCost)
	r.use.add(now, cost)
	c.total.add(now, cost)
}

// exceeds tells whether the caller used far more than its share while others
// waited. Its requests then wait one class lower, so that a flood of bookings
// by one caller does not displace the others' lookups.
func (c *callerRecords) exceeds(now time.Duration, caller topology.Caller) bool {
	r := c.records[caller]
	n := len(c.records)
	if r == nil || n < 2 {
		return false
	}
	share := min(fairFactor/float64(n), 0.75)
	return r.use.value(now) > share*c.total.value(now)+burst
}

// forget drops the records of callers that have not waited for a while.
func (c *callerRecords) forget(now time.Duration) {
	for caller, r := range c.records {
		if r.use.value(now) < forgetUse {
			delete(c.records, caller)
		}
	}
}
