package quarantine

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cassiasill/cassiasill/internal/peersync"
	"github.com/cassiasill/cassiasill/internal/topology"
)

var (
	epoch = time.Unix(1000, 0)
	bad   = FingerprintOf("c", "POST", "/s/k", []byte("x"))
)

// run begins an attempt, which must be allowed, and ends it.
func run(t *testing.T, table *Table, server topology.ServerName, result Result, now time.Time) {
	t.Helper()
	d := table.Begin(bad, server, now)
	assert.Equal(t, d.Verdict, Proceed)
	table.End(d.Permit, result, now)
}

// Guards against a crashing request that is never stopped, and against one
// that stays refused after it has completed or its time is over.
func TestSuspicionConfirmedOrCleared(t *testing.T) {
	cases := []struct {
		name  string
		steps func(t *testing.T, table *Table)
		after time.Duration
		want  Verdict
	}{
		{"one crash leaves a try", func(t *testing.T, q *Table) { run(t, q, "a", Crashed, epoch) }, 0, Proceed},
		{"two crashes quarantine", func(t *testing.T, q *Table) {
			run(t, q, "a", Crashed, epoch)
			run(t, q, "b", Crashed, epoch)
		}, 0, Refuse},
		{"two crashes of one server quarantine", func(t *testing.T, q *Table) {
			run(t, q, "a", Crashed, epoch)
			run(t, q, "a", Crashed, epoch)
		}, 0, Refuse},
		{"quarantine ends", func(t *testing.T, q *Table) {
			run(t, q, "a", Crashed, epoch)
			run(t, q, "b", Crashed, epoch)
		}, QuarantineFor, Proceed},
		{"completion clears", func(t *testing.T, q *Table) {
			run(t, q, "a", Crashed, epoch)
			run(t, q, "b", Completed, epoch)
			run(t, q, "a", Crashed, epoch)
		}, 0, Proceed},
		{"suspicion ends", func(t *testing.T, q *Table) {
			run(t, q, "a", Crashed, epoch)
			run(t, q, "b", Crashed, epoch.Add(SuspectFor))
		}, SuspectFor, Proceed},
		{"inconclusive end clears nothing", func(t *testing.T, q *Table) {
			run(t, q, "a", Crashed, epoch)
			run(t, q, "b", Inconclusive, epoch)
			run(t, q, "b", Crashed, epoch)
		}, 0, Refuse},
		{"one crash under two attempts counts once", func(t *testing.T, q *Table) {
			first, second := q.Begin(bad, "a", epoch), q.Begin(bad, "a", epoch)
			q.End(first.Permit, Crashed, epoch)
			q.End(second.Permit, Crashed, epoch)
		}, 0, Proceed},
		{"suspected runs alone", func(t *testing.T, q *Table) {
			run(t, q, "a", Crashed, epoch)
			q.Begin(bad, "b", epoch)
		}, 0, Wait},
		{"a third server is not put at risk", func(t *testing.T, q *Table) {
			q.Begin(bad, "a", epoch)
			q.Begin(bad, "b", epoch)
		}, 0, Elsewhere},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := New(1, 0)
			c.steps(t, table)
			assert.Equal(t, table.Begin(bad, "z", epoch.Add(c.after)).Verdict, c.want)
		})
	}
}

// Guards against hosts that each lose two servers to a request which one of
// them already suspects, and against reports that outlive their correction.
func TestPeersShareSuspicions(t *testing.T) {
	here, there := New(1, 0), New(1, 0)
	share := func() {
		version, payload, err := there.Export(epoch)
		assert.NilError(t, err)
		assert.NilError(t, here.Import("there", version, payload, epoch))
	}
	run(t, there, "a", Crashed, epoch)
	share()
	assert.Equal(t, here.Begin(bad, "b", epoch).Verdict, Refuse)
	run(t, there, "b", Completed, epoch)
	share()
	run(t, here, "b", Crashed, epoch)
	run(t, there, "c", Crashed, epoch)
	share()
	refused, after := here.Check(bad, epoch)
	assert.Assert(t, refused && after >= elsewhereRetry)
	// An older snapshot must not bring back what a newer one corrected.
	assert.NilError(t, here.Import("there", topology.Version{Term: 1}, []byte("[]"), epoch))
	refused, _ = here.Check(bad, epoch)
	assert.Assert(t, refused)
	assert.ErrorContains(t, here.Import("x", topology.Version{Term: 1}, []byte("{"), epoch), "decode")
}

// bus is a peersync.Bus that all hosts of a test share.
type bus struct {
	mu      sync.Mutex
	topics  map[string]peersync.Topic
	changed chan struct{}
}

func (b *bus) Publish(topic peersync.Topic) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !topic.Version.Newer(b.topics[topic.Name].Version) {
		return false
	}
	b.topics[topic.Name] = topic
	close(b.changed)
	b.changed = make(chan struct{})
	return true
}

func (b *bus) Get(name string) (peersync.Topic, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	topic, ok := b.topics[name]
	return topic, ok
}

func (b *bus) List(string) []peersync.Topic {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Collect(maps.Values(b.topics))
}

func (b *bus) Changed(string) <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Guards against suspicions, and their end, that never reach the other hosts.
func TestShareOverBus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &bus{topics: map[string]peersync.Topic{}, changed: make(chan struct{})}
		var loops sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		tables := map[topology.HostName]*Table{"h1": New(1, 0), "h2": New(1, 0)}
		for host, table := range tables {
			loops.Go(func() { table.Share(ctx, host, b, func(err error) { t.Error(err) }) })
		}
		now := time.Now()
		run(t, tables["h1"], "a", Crashed, now)
		synctest.Wait()
		refused, _ := tables["h2"].Check(bad, now)
		assert.Assert(t, refused)
		run(t, tables["h1"], "b", Completed, now)
		synctest.Wait()
		refused, _ = tables["h2"].Check(bad, now)
		assert.Assert(t, !refused)
		cancel()
		loops.Wait()
	})
}

// Guards against more than two servers lost to one fingerprint on a host under
// any order of attempts, and against memory that grows with their number.
func TestNeverMoreThanTwoServersLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New(1, 8)
		lost := map[topology.ServerName]bool{}
		var open []Permit
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			if len(open) > 0 && rapid.Bool().Draw(t, "end") {
				k := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				lost[open[k].server] = true
				table.End(open[k], Crashed, epoch)
				open = append(open[:k], open[k+1:]...)
				continue
			}
			server := topology.ServerName(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "server"))
			if d := table.Begin(bad, server, epoch); d.Verdict == Proceed {
				open = append(open, d.Permit)
			}
			other := FingerprintOf("c", "GET", fmt.Sprint(i), nil)
			table.End(table.Begin(other, "z", epoch.Add(-time.Second)).Permit, Crashed, epoch.Add(-time.Second))
		}
		assert.Assert(t, len(lost) <= MaxServers, "lost %v", lost)
		assert.Assert(t, len(table.own) <= 8)
	})
}
