package ratelimit

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/boottime"
)

var testServer = Server{ID: "i-1", Service: "svc", Incarnation: 1}

// newTestTable returns a Table whose clock the test sets.
func newTestTable() (*Table, *boottime.Instant, *observer.ObservedLogs) {
	now := boottime.Instant(time.Hour)
	core, logs := observer.New(zap.InfoLevel)
	return NewTable(func() boottime.Instant { return now }, zap.New(core)), &now, logs
}

// rates returns the limits in force, as "server=rate".
func rates(table *Table) string {
	var out []string
	for _, s := range table.Statuses() {
		out = append(out, fmt.Sprintf("%s=%g", s.ID, s.Rate))
	}
	return strings.Join(out, " ")
}

func TestParseRate(t *testing.T) {
	for text, rate := range map[string]float64{"1.5": 1.5, "1": 1, "0.25": 0.25, "20.0": 20, "007": 7} {
		announcement, parsed, err := ParseRate([]string{text})
		assert.NilError(t, err)
		assert.Equal(t, announcement, Limited)
		assert.Equal(t, parsed, rate)
	}
	announcement, _, err := ParseRate(nil)
	assert.NilError(t, err)
	assert.Equal(t, announcement, Unlimited)
}

// Guards against a host that stops sending, or sends without a limit, because of a
// value that no server means.
func TestInvalidRatesAreIgnored(t *testing.T) {
	for _, values := range [][]string{{"-1"}, {"0"}, {"0.0"}, {"1e9"}, {"10000000"}, {"NaN"}, {"nan"}, {"Inf"}, {"+Inf"}, {"0x10"}, {"1,5"}, {"1.5, 2"}, {"1.5", "1.5"},
		{"1.5", "3"}, {""}, {" "}, {"1."}, {".5"}, {"1.5 "}, {"fast"}, {"1_0"}, {strings.Repeat("9", 400)}, {"0." + strings.Repeat("0", 20) + "1"}} {
		announcement, rate, err := ParseRate(values)
		var invalid *InvalidRateError
		assert.Assert(t, errors.As(err, &invalid), "%q", values)
		assert.Equal(t, announcement, Unstated, "%q", values)
		assert.Equal(t, rate, 0.0)
	}
}

// Guards against a limit that an invalid value changes or ends, and against a log
// line for each response with one.
func TestInvalidRateLeavesTheLimitInForce(t *testing.T) {
	table, _, logs := newTestTable()
	table.Observe(testServer, Limited, 1.5, 0)
	for range 3 {
		announcement, rate, err := ParseRate([]string{"NaN"})
		table.ReportInvalid(testServer, err)
		table.Observe(testServer, announcement, rate, 0)
	}
	assert.Equal(t, rates(table), "i-1=1.5")
	assert.Equal(t, logs.FilterMessage("ratelimit: invalid limit ignored").Len(), 1)
}

// Guards against a response that was on its way when the limit was announced and
// ends it.
func TestResponseFromBeforeTheAnnouncementDoesNotEndTheLimit(t *testing.T) {
	table, now, _ := newTestTable()
	sentBefore := *now
	*now = now.Add(time.Second)
	table.Observe(testServer, Limited, 1.5, now.Sub(sentBefore))
	*now = now.Add(time.Millisecond)
	table.Observe(testServer, Unlimited, 0, now.Sub(sentBefore))
	assert.Equal(t, rates(table), "i-1=1.5")
	*now = now.Add(time.Second)
	table.Observe(testServer, Unlimited, 0, time.Millisecond)
	assert.Equal(t, rates(table), "")
}

// Guards against the limit of a server's former process in force for its successor.
func TestLimitEndsWithTheServerProcess(t *testing.T) {
	table, now, logs := newTestTable()
	table.Observe(testServer, Limited, 1.5, 0)
	table.SetServers(func(string) (int64, bool) { return 2, true })
	assert.Equal(t, rates(table), "")
	table.Observe(testServer, Limited, 1.5, 0) // a late response of the former process
	assert.Equal(t, rates(table), "")
	successor := testServer
	successor.Incarnation = 2
	*now = now.Add(time.Second)
	table.Observe(successor, Limited, 3, 0)
	assert.Equal(t, rates(table), "i-1=3")
	assert.Equal(t, logs.Len(), 3)
}

// Guards against log lines for unchanged limits, and against changes that leave none.
func TestEachChangeIsLoggedOnce(t *testing.T) {
	table, now, logs := newTestTable()
	for _, rate := range []float64{1.5, 1.5, 1.5, 4, 4, 1} {
		*now = now.Add(time.Second)
		table.Observe(testServer, Limited, rate, 0)
	}
	table.CountSent(testServer.ID)
	*now = now.Add(time.Second)
	table.Observe(testServer, Unlimited, 0, 0)
	table.Observe(testServer, Unlimited, 0, 0)
	var lines []string
	for _, line := range logs.All() {
		lines = append(lines, fmt.Sprintf("%s %v", strings.TrimPrefix(line.Message, "ratelimit: limit "), line.ContextMap()["rate"]))
	}
	assert.DeepEqual(t, lines, []string{"announced 1.5", "changed 4", "changed 1", "ended 0"})
	assert.Equal(t, logs.All()[3].ContextMap()["sent"], int64(1))
}

// Guards against hosts that get all limits at each change of one, and against a change
// that they do not get.
func TestChangedLimitsOnly(t *testing.T) {
	table, now, _ := newTestTable()
	other := testServer
	other.ID = "i-2"
	observe := func(server Server, rate float64) {
		*now = now.Add(time.Second)
		table.Observe(server, Limited, rate, 0)
	}
	changed := func(version uint64) (out []string) {
		for _, limit := range table.ChangedSince(version) {
			out = append(out, fmt.Sprintf("%s=%g", limit.Server, limit.Rate))
		}
		return out
	}
	observe(testServer, 1)
	observe(other, 2)
	version := table.Version()
	observe(testServer, 1)
	assert.Equal(t, table.Version(), version)
	assert.Equal(t, len(changed(version)), 0)
	observe(other, 3)
	assert.DeepEqual(t, changed(version), []string{"i-2=3"})
	*now = now.Add(time.Second)
	table.Observe(testServer, Unlimited, 0, 0)
	assert.DeepEqual(t, changed(version), []string{"i-1=0", "i-2=3"})
	assert.DeepEqual(t, changed(0), []string{"i-1=0", "i-2=3"})
}
