package invariant

import (
	"fmt"
	"time"
)

// The bounds that the design page states.
const (
	// LeavingWithin is how long after the first sign a leaving upstream may
	// still get new work.
	LeavingWithin = 3 * time.Second
	// InForceWithin is how long after its acceptance a change may be unknown
	// to a serving host.
	InForceWithin = 5 * time.Second
)

// CheckLeaving checks G6: executions on server must not begin later than
// LeavingWithin after since, when the server first showed that it leaves.
func CheckLeaving(server string, since time.Time, executions []Execution) []Violation {
	var out []Violation
	for _, e := range executions {
		if late := e.Start.Sub(since); e.Server == server && late > LeavingWithin {
			out = append(out, Violation{At: e.Start, Guarantee: LeavingIsIdle,
				Detail: fmt.Sprintf("%s got request %s %s after it began to leave", server, e.RequestID, late)})
		}
	}
	return out
}

// Exchange is one request to a host as its caller saw the connection.
type Exchange struct {
	RequestID   string
	Host        string
	Sent, Ended time.Time
	// CutOff is true if the connection was refused or broke before a whole
	// answer.
	CutOff bool
}

// CheckShutdown checks G7 for the graceful shutdown of host that began at
// begun: no request that was sent until accepting later may be cut off.
func CheckShutdown(host string, begun time.Time, accepting time.Duration, exchanges []Exchange) []Violation {
	var out []Violation
	for _, e := range exchanges {
		if e.Host == host && e.CutOff && e.Ended.After(begun) && !e.Sent.After(begun.Add(accepting)) {
			out = append(out, Violation{At: e.Ended, Guarantee: GracefulShutdown,
				Detail: fmt.Sprintf("%s cut off request %s, sent %s after the shutdown began", host, e.RequestID, e.Sent.Sub(begun))})
		}
	}
	return out
}

// ForceChecker checks G8. It is not safe for concurrent use.
type ForceChecker struct {
	accepted   []acceptedChange
	hosts      map[string]uint64
	reported   map[string]uint64
	violations []Violation
}

type acceptedChange struct {
	at       time.Time
	revision uint64
}

// NewForceChecker returns a checker that knows of no change.
func NewForceChecker() *ForceChecker {
	return &ForceChecker{hosts: make(map[string]uint64), reported: make(map[string]uint64)}
}

// Accepted notes that an operator was told at the given time that a change is
// part of the revision.
func (c *ForceChecker) Accepted(at time.Time, revision uint64) {
	c.accepted = append(c.accepted, acceptedChange{at, revision})
}

// Observe notes the revision in force on a host. A host that does not serve may
// lack a change, but no host may go back. A restarted host counts as another.
func (c *ForceChecker) Observe(now time.Time, host string, serving bool, revision uint64) {
	if before := c.hosts[host]; revision < before {
		c.add(now, "%s went back from revision %d to %d", host, before, revision)
	}
	c.hosts[host] = revision
	if !serving {
		return
	}
	for _, a := range c.accepted {
		if now.Sub(a.at) > InForceWithin && revision < a.revision && c.reported[host] < a.revision {
			c.reported[host] = a.revision
			c.add(now, "%s serves under revision %d, %s after revision %d was accepted", host, revision, now.Sub(a.at), a.revision)
		}
	}
}

// Violations returns the breaches found so far.
func (c *ForceChecker) Violations() []Violation { return c.violations }

func (c *ForceChecker) add(at time.Time, format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, Violation{At: at, Guarantee: InForce, Detail: fmt.Sprintf(format, args...)})
	}
}
