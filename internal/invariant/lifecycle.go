package invariant

import (
	"fmt"
	"time"
)

// Limits of the guarantees in the design page.
const (
	// MaxWorkAfterLeaving is how long an upstream may still get new requests after
	// it first showed that it leaves.
	MaxWorkAfterLeaving = 3 * time.Second
	// MaxChangeDelay is how long a serving host may lack a change after the
	// change was accepted.
	MaxChangeDelay = 5 * time.Second
)

// CheckLeaving checks G6: no execution on server starts later than MaxWorkAfterLeaving
// after since, the time at which the server first showed that it leaves.
func CheckLeaving(server string, since time.Time, executions []Execution) []Violation {
	var out []Violation
	for _, e := range executions {
		if elapsed := e.Start.Sub(since); e.Server == server && elapsed > MaxWorkAfterLeaving {
			out = append(out, Violation{At: e.Start, Guarantee: NoWorkWhileLeaving,
				Detail: fmt.Sprintf("%s got request %s %s after it began to leave", server, e.RequestID, elapsed)})
		}
	}
	return out
}

// Exchange is one request to a host and what its caller observed of the
// connection.
type Exchange struct {
	RequestID   string
	Host        string
	Sent, Ended time.Time
	// ConnectionLost is true if the connection was refused or broke before the response
	// was complete.
	ConnectionLost bool
}

// CheckShutdown checks G7 for the graceful shutdown of host that started at
// shutdownAt: no request that was sent before or within acceptFor after that time
// may be cut off.
func CheckShutdown(host string, shutdownAt time.Time, acceptFor time.Duration, exchanges []Exchange) []Violation {
	var out []Violation
	for _, e := range exchanges {
		if e.Host == host && e.ConnectionLost && e.Ended.After(shutdownAt) && !e.Sent.After(shutdownAt.Add(acceptFor)) {
			out = append(out, Violation{At: e.Ended, Guarantee: GracefulShutdown,
				Detail: fmt.Sprintf("%s cut off request %s, sent %s after the shutdown began", host, e.RequestID, e.Sent.Sub(shutdownAt))})
		}
	}
	return out
}

// ChangeChecker checks G8: an accepted change takes effect on all serving hosts in
// time. It is not safe for concurrent use.
type ChangeChecker struct {
	accepted   []acceptedChange
	revisions  map[string]uint64
	reported   map[string]uint64
	violations []Violation
}

type acceptedChange struct {
	at       time.Time
	revision uint64
}

// NewChangeChecker returns a checker without accepted changes.
func NewChangeChecker() *ChangeChecker {
	return &ChangeChecker{revisions: make(map[string]uint64), reported: make(map[string]uint64)}
}

// RecordAcceptedChange records that an operator was told at the given time that a change was
// accepted as part of revision.
func (c *ChangeChecker) RecordAcceptedChange(at time.Time, revision uint64) {
	c.accepted = append(c.accepted, acceptedChange{at, revision})
}

// Observe records the revision in effect on a host. A host that does not serve may
// lack an accepted change, but no host may go back to an older revision. A
// restarted host must be passed under a new name.
func (c *ChangeChecker) Observe(now time.Time, host string, serving bool, revision uint64) {
	if previous := c.revisions[host]; revision < previous {
		c.addViolation(now, "%s went back from revision %d to %d", host, previous, revision)
	}
	c.revisions[host] = revision
	if !serving {
		return
	}
	for _, a := range c.accepted {
		if now.Sub(a.at) > MaxChangeDelay && revision < a.revision && c.reported[host] < a.revision {
			c.reported[host] = a.revision
			c.addViolation(now, "%s serves under revision %d, %s after revision %d was accepted", host, revision, now.Sub(a.at), a.revision)
		}
	}
}

// Violations returns the violations found so far, at most the first 100.
func (c *ChangeChecker) Violations() []Violation { return c.violations }

func (c *ChangeChecker) addViolation(at time.Time, format string, args ...any) {
	if len(c.violations) < maxViolations {
		c.violations = append(c.violations, Violation{At: at, Guarantee: ChangeInEffect, Detail: fmt.Sprintf(format, args...)})
	}
}
