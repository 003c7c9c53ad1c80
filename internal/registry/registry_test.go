package registry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/boottime"
)

func at(seconds float64) boottime.Instant {
	return boottime.Instant(100 * time.Second).Add(time.Duration(seconds * float64(time.Second)))
}

func serverCount(l *List) int { return len(l.Servers) }

// Guards against counting heartbeats as changes, which would be sent to every host.
func TestHeartbeatIsNoChange(t *testing.T) {
	tracker := NewTracker()
	assert.Assert(t, tracker.Observe([]Server{{ID: "a", Warmup: 3 * time.Second}}, at(0)))
	assert.Assert(t, !tracker.Observe([]Server{{ID: "a", Warmup: 2 * time.Second}}, at(1)))
}

// Guards against a late read that makes a draining server usable again.
func TestDrainingIsFinalForOneIncarnation(t *testing.T) {
	tracker := NewTracker()
	tracker.Observe([]Server{{ID: "a", Incarnation: 1, Draining: true}}, at(0))
	assert.Assert(t, !tracker.Observe([]Server{{ID: "a", Incarnation: 1}}, at(1)))
	assert.Assert(t, tracker.List().Servers["a"].Draining)
	assert.Assert(t, tracker.Observe([]Server{{ID: "a", Incarnation: 2}}, at(2)))
	assert.Assert(t, !tracker.List().Servers["a"].Draining)
}

// Guards against removing servers whose entries expired while the store was down.
func TestMissingEntriesAfterAnOutage(t *testing.T) {
	tracker := NewTracker()
	tracker.Observe([]Server{{ID: "a"}, {ID: "b"}}, at(0))
	tracker.RecordReadFailure(at(0.4))
	tracker.RecordReadFailure(at(5))
	assert.Assert(t, !tracker.Observe(nil, at(5.4)))
	assert.Assert(t, !tracker.Observe([]Server{{ID: "a"}}, at(7)))
	assert.Assert(t, tracker.Observe([]Server{{ID: "a"}}, at(8)))
	assert.Equal(t, serverCount(tracker.List()), 1)
}

// Guards against a failure in scenario trouble-1 of aserrin-gw (--seed
// 762417879564): only this host was partitioned from the store, and it kept a server
// for 2 s that had left meanwhile.
func TestNoGraceIfOthersReachedTheStore(t *testing.T) {
	tracker := NewTracker()
	tracker.Observe([]Server{{ID: "a"}}, at(0))
	tracker.RecordReadFailure(at(0.4))
	tracker.RecordStoreReachable(at(5))
	assert.Assert(t, tracker.Observe(nil, at(5.4)))
	assert.Equal(t, serverCount(tracker.List()), 0)
}

// Guards against requests for a server that has left, because a new leader that was
// cut off from the store takes that for an outage until other hosts report to it
// (deploy/days/scale-out-during-a-cut.toml on swanpearl-gw, --seed 160434453340).
func TestGraceEndsOnceOthersReportThatTheyReachedTheStore(t *testing.T) {
	tracker := NewTracker()
	tracker.Observe([]Server{{ID: "a"}}, at(0))
	tracker.RecordReadFailure(at(0.4))
	tracker.Observe(nil, at(5.4))
	assert.Equal(t, serverCount(tracker.List()), 1)
	tracker.RecordStoreReachable(at(3)) // leaves an outage of 2.4 s
	tracker.Observe(nil, at(5.6))
	assert.Equal(t, serverCount(tracker.List()), 1)
	tracker.RecordStoreReachable(at(5))
	tracker.Observe(nil, at(5.8))
	assert.Equal(t, serverCount(tracker.List()), 0)
}

// Guards against treating a gap without reads as an outage.
func TestNoGraceAfterAGapWithoutReads(t *testing.T) {
	tracker := NewTracker()
	tracker.Observe([]Server{{ID: "a"}}, at(0))
	assert.Assert(t, tracker.Observe(nil, at(30)))
	assert.Equal(t, serverCount(tracker.List()), 0)
}

// Guards against a restored store that brings back servers that have left, ends
// incarnations that run, and hides servers that have just started.
func TestRestoredEntriesDoNotReplaceNewerOnes(t *testing.T) {
	tracker := NewTracker()
	tracker.Observe([]Server{{ID: "left", Incarnation: 1}, {ID: "again", Incarnation: 1}}, at(0))
	tracker.Observe([]Server{{ID: "again", Incarnation: 5}, {ID: "new", Incarnation: 6}}, at(1))
	tracker.RecordRestore(at(3))
	tracker.Observe([]Server{{ID: "left", Incarnation: 1}, {ID: "again", Incarnation: 1}}, at(3))
	servers := tracker.List().Servers
	assert.Equal(t, len(servers), 2)
	assert.Equal(t, servers["again"].Incarnation, int64(5))
	assert.Equal(t, servers["new"].Incarnation, int64(6))
	// What is not written again within the grace period counts.
	tracker.Observe([]Server{{ID: "again", Incarnation: 5}}, at(6))
	assert.Equal(t, serverCount(tracker.List()), 1)
	// A server that was removed and registers again later is used again.
	tracker.Observe([]Server{{ID: "again", Incarnation: 5}, {ID: "left", Incarnation: 1}}, at(7))
	assert.Equal(t, serverCount(tracker.List()), 2)
}

// Guards against a server that left while a host could not reach the store and is in
// use again there with the host's first read, because its own failed reads look like an
// outage (DRAIN on aserrin-gw): another host has read the store meanwhile.
func TestServerThatLeftDuringAHostsOwnCutStaysAway(t *testing.T) {
	stays, left := Server{ID: "stays", Incarnation: 1}, Server{ID: "left", Incarnation: 1}
	both := NewList(map[string]Server{"stays": stays, "left": left})
	newTracker := func() *Tracker {
		tracker := NewTracker()
		tracker.Observe([]Server{stays, left}, at(0))
		tracker.RecordReadFailure(at(2))
		return tracker
	}

	tracker := newTracker() // another host has removed it
	tracker.Seed(NewList(map[string]Server{"stays": stays}), at(16), Gap{})
	tracker.RecordReadFailure(at(16.5))
	tracker.Observe([]Server{stays}, at(19))
	assert.Equal(t, serverCount(tracker.List()), 1)

	tracker = newTracker() // it leaves after the other host's read
	tracker.Seed(both, at(16), Gap{})
	tracker.Observe([]Server{stays}, at(17))
	assert.Equal(t, serverCount(tracker.List()), 1)

	tracker = newTracker() // and nobody reads the store for longer than MinOutage
	tracker.Seed(both, at(16), Gap{})
	tracker.Observe([]Server{stays}, at(17.6))
	assert.Equal(t, serverCount(tracker.List()), 1)

	tracker = newTracker() // the same, and another host reports only that it reached the store
	tracker.RecordStoreReachable(at(16))
	tracker.Observe([]Server{stays}, at(17.6))
	assert.Equal(t, serverCount(tracker.List()), 1)

	tracker = newTracker() // the host's own reads still fail after that
	tracker.Seed(both, at(16), Gap{})
	tracker.RecordReadFailure(at(16.4))
	tracker.Observe([]Server{stays}, at(18))
	assert.Equal(t, serverCount(tracker.List()), 2)

	tracker = newTracker() // nobody has read the store: an outage
	tracker.Seed(both, at(1), Gap{})
	tracker.Observe([]Server{stays}, at(17))
	assert.Equal(t, serverCount(tracker.List()), 2)

	tracker = newTracker() // an outage that another host has seen end
	tracker.Seed(both, at(16), Gap{From: at(1), To: at(15.5)})
	tracker.Observe([]Server{stays}, at(16.8))
	assert.Equal(t, serverCount(tracker.List()), 2)
	tracker.Observe([]Server{stays}, at(18))
	assert.Equal(t, serverCount(tracker.List()), 1)

	tracker = newTracker() // nobody read the store for a time, and no read failed in it
	tracker.Seed(both, at(16), Gap{From: at(13.9), To: at(15.5)})
	tracker.Observe([]Server{stays}, at(16.8))
	assert.Equal(t, serverCount(tracker.List()), 1)
}

// Guards against a second cold period that hosts don't learn of, and against one that is
// taken from an older copy of the store.
func TestServerThatTurnsColdAgain(t *testing.T) {
	tracker := NewTracker()
	observe := func(seconds, at float64) bool {
		return tracker.Observe([]Server{{ID: "a", Warmup: time.Duration(seconds * float64(time.Second))}}, boottime.Instant(at*float64(time.Second)))
	}
	assert.Assert(t, observe(3, 1))
	for i := 1; i <= 3; i++ {
		assert.Assert(t, !observe(3-0.5*float64(i), 1+0.5*float64(i)))
	}
	assert.Assert(t, observe(3, 3), "cold again for the same time")
	assert.Assert(t, !observe(2.5, 3.5))
	tracker.RecordRestore(boottime.Instant(4 * time.Second))
	assert.Assert(t, !observe(0, 5), "warm in an older copy of the store")
	assert.Assert(t, !observe(8, 5.5), "colder in an older copy of the store")
	assert.Assert(t, observe(0, 7))
	assert.Equal(t, tracker.List().Servers["a"].Warmup, time.Duration(0))
	assert.Assert(t, observe(2, 8))
	tracker.Seed(tracker.List(), boottime.Instant(9*time.Second), Gap{})
	assert.Assert(t, !observe(1, 9))
	assert.Assert(t, tracker.Observe([]Server{{ID: "a", Incarnation: 1, Warmup: time.Second}}, boottime.Instant(10*time.Second)), "restarted while cold")
}
