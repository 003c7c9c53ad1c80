package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/shards"
)

// Guards against hot keys that stay where they are because one server of a large
// service does not answer a release.
func TestOneUnansweredReleaseDelaysNoOtherMove(t *testing.T) {
	r := newReplay([]float64{0.7, 0.7, 1.6}, 64, 8, 170)
	out := hotResult{}
	first := r.manager.assignment.Ranges[0]
	next := r.manager.assignment.NextVersion()
	next.Release([]shards.Move{{From: first.From, To: first.To, NewOwner: "s002"}})
	r.commit(next, &out)
	r.due = nil
	moved := 0
	sums := r.rates(hotSet{runs: []hotRun{{30_000, 200, 0.37}}})
	for range int(time.Second / replayStep) {
		r.step(sums, &out)
		moved = out.ranges
	}
	assert.Assert(t, !r.manager.isSettled())
	assert.Assert(t, moved > 8, "%d ranges moved", moved)
}

// Guards against hosts that get no assignment while ranges keep moving, and against
// assignments that are published before a new owner has its grant.
func TestPublishesWhatHasItsGrants(t *testing.T) {
	r := newReplay([]float64{1}, 3, 1, 100)
	m := r.manager
	m.publish()
	published := func() int64 { return m.leadership.node.view.Load().Assignments["s"].Version }
	change := func(from uint16, owner string) {
		next := m.assignment.NextVersion()
		next.Split(from, from)
		next.SetOwner(from, owner, 1, "h")
		m.assignment = next
		m.publish()
	}
	acknowledge := func(from uint16) {
		g := *m.assignment.FindRange(from)
		m.holders[g.Owner].ackedAt[grantIDOf(g)] = boottime.Instant(1)
		m.publish()
	}
	// The rest of a range that was split keeps its token and needs no new grant.
	change(10, "s001")
	change(20, "s001")
	assert.Equal(t, published(), int64(1))
	acknowledge(10)
	assert.Equal(t, published(), int64(2))
	change(30, "s002")
	acknowledge(30)
	assert.Equal(t, published(), int64(2), "position 20 has no grant yet")
	acknowledge(20)
	assert.Equal(t, published(), int64(4))
}
