package invariant

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against checks of G6, G7 and G8 that miss a violation or report a
// permitted event.
func TestLifecycleChecksFindEachViolation(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	leaving := func(server string, seconds float64) []Violation {
		return CheckLeaving("a", start, []Execution{{RequestID: "r", Server: server, Start: at(seconds)}})
	}
	shutdown := func(host string, sent, ended float64, cutOff bool) []Violation {
		return CheckShutdown("h", start, time.Second, []Exchange{{Host: host, Sent: at(sent), Ended: at(ended), ConnectionLost: cutOff}})
	}
	force := func(observe func(c *ChangeChecker)) []Violation {
		c := NewChangeChecker()
		c.RecordAcceptedChange(start, 2)
		observe(c)
		return c.Violations()
	}
	cases := map[string]struct {
		found []Violation
		want  int
	}{
		"work in time":                {leaving("a", 3), 0},
		"work too late":               {leaving("a", 3.1), 1},
		"late work elsewhere":         {leaving("b", 9), 0},
		"answered during shutdown":    {shutdown("h", -1, 2, false), 0},
		"cut off in flight":           {shutdown("h", -1, 2, true), 1},
		"cut off while accepting":     {shutdown("h", 0.5, 2, true), 1},
		"broken before the shutdown":  {shutdown("h", -2, -1, true), 0},
		"refused after the notice":    {shutdown("h", 2, 2, true), 0},
		"broken at another host":      {shutdown("g", -1, 2, true), 0},
		"in force in time":            {force(func(c *ChangeChecker) { c.Observe(at(4), "h", true, 1); c.Observe(at(5), "h", true, 2) }), 0},
		"in force too late":           {force(func(c *ChangeChecker) { c.Observe(at(5.1), "h", true, 1); c.Observe(at(6), "h", true, 1) }), 1},
		"late but not serving":        {force(func(c *ChangeChecker) { c.Observe(at(9), "h", false, 1) }), 0},
		"went back":                   {force(func(c *ChangeChecker) { c.Observe(at(1), "h", false, 2); c.Observe(at(2), "h", false, 1) }), 1},
		"another host is behind":      {force(func(c *ChangeChecker) { c.Observe(at(1), "h", true, 2); c.Observe(at(2), "g", true, 1) }), 0},
		"two hosts are late together": {force(func(c *ChangeChecker) { c.Observe(at(6), "h", true, 1); c.Observe(at(6), "g", true, 1) }), 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { assert.Equal(t, len(c.found), c.want) })
	}
}
