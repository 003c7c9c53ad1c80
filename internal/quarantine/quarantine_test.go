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
	epoch           = time.Unix(1000, 0)
	crashingRequest = FingerprintOf("c", "POST", "/s/k", []byte("x"))
)

// runAttempt begins an attempt, which must be permitted, and ends it.
func runAttempt(t *testing.T, table *Table, server topology.ServerName, result Result, now time.Time) {
	t.Helper()
	d := table.BeginAttempt(crashingRequest, server, now)
	assert.Equal(t, d.Action, Proceed)
	table.EndAttempt(d.Permit, result, now)
}

// Guards against a crashing request that is never stopped, and against one that
// stays refused after it has completed or the quarantine has ended.
func TestSuspicionConfirmedOrCleared(t *testing.T) {
	cases := []struct {
		name  string
		steps func(t *testing.T, table *Table)
		after time.Duration
		want  Action
	}{
		{"one crash leaves a try", func(t *testing.T, q *Table) { runAttempt(t, q, "a", Crashed, epoch) }, 0, Proceed},
		{"two crashes quarantine", func(t *testing.T, q *Table) {
			runAttempt(t, q, "a", Crashed, epoch)
			runAttempt(t, q, "b", Crashed, epoch)
		}, 0, Refuse},
		{"two crashes of one server quarantine", func(t *testing.T, q *Table) {
			runAttempt(t, q, "a", Crashed, epoch)
			runAttempt(t, q, "a", Crashed, epoch)
		}, 0, Refuse},
		{"quarantine ends", func(t *testing.T, q *Table) {
			runAttempt(t, q, "a", Crashed, epoch)
			runAttempt(t, q, "b", Crashed, epoch)
		}, QuarantineDuration, Proceed},
		{"completion clears", func(t *testing.T, q *Table) {
			runAttempt(t, q, "a", Crashed, epoch)
			runAttempt(t, q, "b", Completed, epoch)
			runAttempt(t, q, "a", Crashed, epoch)
		}, 0, Proceed},
		{"suspicion ends", func(t *testing.T, q *Table) {
			runAttempt(t, q, "a", Crashed, epoch)
			runAttempt(t, q, "b", Crashed, epoch.Add(SuspicionDuration))
		}, SuspicionDuration, Proceed},
		{"inconclusive end clears nothing", func(t *testing.T, q *Table) {
			runAttempt(t, q, "a", Crashed, epoch)
			runAttempt(t, q, "b", Inconclusive, epoch)
			runAttempt(t, q, "b", Crashed, epoch)
		}, 0, Refuse},
		{"one crash under two attempts counts once", func(t *testing.T, q *Table) {
			first, second := q.BeginAttempt(crashingRequest, "a", epoch), q.BeginAttempt(crashingRequest, "a", epoch)
			q.EndAttempt(first.Permit, Crashed, epoch)
			q.EndAttempt(second.Permit, Crashed, epoch)
		}, 0, Proceed},
		{"suspected runs alone", func(t *testing.T, q *Table) {
			runAttempt(t, q, "a", Crashed, epoch)
			q.BeginAttempt(crashingRequest, "b", epoch)
		}, 0, Wait},
		{"a third server is not put at risk", func(t *testing.T, q *Table) {
			q.BeginAttempt(crashingRequest, "a", epoch)
			q.BeginAttempt(crashingRequest, "b", epoch)
		}, 0, Redirect},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := New(1, 0)
			c.steps(t, table)
			assert.Equal(t, table.BeginAttempt(crashingRequest, "z", epoch.Add(c.after)).Action, c.want)
		})
	}
}

// Guards against hosts that each lose two servers to a request that one of them
// already suspects, and against reports that outlast their correction.
func TestPeersShareSuspicions(t *testing.T) {
	local, peer := New(1, 0), New(1, 0)
	importFromPeer := func() {
		version, payload, err := peer.Export(epoch)
		assert.NilError(t, err)
		assert.NilError(t, local.Import("there", version, payload, epoch))
	}
	runAttempt(t, peer, "a", Crashed, epoch)
	importFromPeer()
	assert.Equal(t, local.BeginAttempt(crashingRequest, "b", epoch).Action, Refuse)
	runAttempt(t, peer, "b", Completed, epoch)
	importFromPeer()
	runAttempt(t, local, "b", Crashed, epoch)
	runAttempt(t, peer, "c", Crashed, epoch)
	importFromPeer()
	refused, retryAfter := local.Check(crashingRequest, epoch)
	assert.Assert(t, refused && retryAfter >= peerTrialRetryAfter)
	// An older snapshot must not restore what a newer one corrected.
	assert.NilError(t, local.Import("there", topology.Version{Term: 1}, []byte("[]"), epoch))
	refused, _ = local.Check(crashingRequest, epoch)
	assert.Assert(t, refused)
	assert.ErrorContains(t, local.Import("x", topology.Version{Term: 1}, []byte("{"), epoch), "decode")
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
	if !topic.Version.NewerThan(b.topics[topic.Name].Version) {
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

// Guards against suspicions, and the end of suspicions, that do not reach the
// other hosts.
func TestShareOverBus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &bus{topics: map[string]peersync.Topic{}, changed: make(chan struct{})}
		var loops sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		tables := map[topology.HostName]*Table{"h1": New(1, 0), "h2": New(1, 0)}
		for host, table := range tables {
			loops.Go(func() { table.SyncWithPeers(ctx, host, b, func(err error) { t.Error(err) }) })
		}
		now := time.Now()
		runAttempt(t, tables["h1"], "a", Crashed, now)
		synctest.Wait()
		refused, _ := tables["h2"].Check(crashingRequest, now)
		assert.Assert(t, refused)
		runAttempt(t, tables["h1"], "b", Completed, now)
		synctest.Wait()
		refused, _ = tables["h2"].Check(crashingRequest, now)
		assert.Assert(t, !refused)
		cancel()
		loops.Wait()
	})
}

// Guards against a host that loses more than two servers to one fingerprint
// under any order of attempts, and against memory that grows with the number of
// fingerprints.
func TestNeverMoreThanTwoServersLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New(1, 8)
		lost := map[topology.ServerName]bool{}
		var permits []Permit
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			if len(permits) > 0 && rapid.Bool().Draw(t, "end") {
				k := rapid.IntRange(0, len(permits)-1).Draw(t, "which")
				lost[permits[k].server] = true
				table.EndAttempt(permits[k], Crashed, epoch)
				permits = append(permits[:k], permits[k+1:]...)
				continue
			}
			server := topology.ServerName(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "server"))
			if d := table.BeginAttempt(crashingRequest, server, epoch); d.Action == Proceed {
				permits = append(permits, d.Permit)
			}
			other := FingerprintOf("c", "GET", fmt.Sprint(i), nil)
			table.EndAttempt(table.BeginAttempt(other, "z", epoch.Add(-time.Second)).Permit, Crashed, epoch.Add(-time.Second))
		}
		assert.Assert(t, len(lost) <= MaxCrashedServers, "lost %v", lost)
		assert.Assert(t, len(table.local) <= 8)
	})
}
