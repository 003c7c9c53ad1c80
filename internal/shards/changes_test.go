package shards

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against hosts whose assignment differs from the leader's after they have
// applied changes. Changes exist because the load of aserrin-gw-grown sent all 180
// ranges to 59 hosts several times a second.
func TestChangesGiveTheSameAssignment(t *testing.T) {
	candidates := testCandidates(20)
	rapid.Check(t, func(t *rapid.T) {
		base := InitialAssignment(candidates)
		for i := range rapid.IntRange(0, 30).Draw(t, "steps") {
			base = randomChange(t, base, i)
		}
		next := base
		for i := range rapid.IntRange(1, 4).Draw(t, "changes") {
			next = randomChange(t, next, 100+i)
		}
		next.Revision = 77
		data, err := next.ChangesSince(base)
		if err != nil {
			t.Fatal(err)
		}
		got, err := base.WithChanges(data, 77)
		if err != nil {
			t.Fatal(err)
		}
		if fmt.Sprint(*got) != fmt.Sprint(*next) {
			t.Fatalf("got %v, want %v", *got, *next)
		}
	})
}

// randomChange releases a random piece, assigns one to a new owner, or merges
// adjacent ranges.
func randomChange(t *rapid.T, a *Assignment, i int) *Assignment {
	next := a.NextVersion()
	from := rapid.Uint16Range(0, PositionCount-600).Draw(t, "from")
	to := from + rapid.Uint16Range(0, 500).Draw(t, "width")
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		next.Release([]Move{{From: from, To: to, NewOwner: "a"}})
	case 1:
		next.Split(from, to)
		next.SetOwner(from, fmt.Sprintf("s%d", i%7), 1, "h")
	default:
		next.Compact(func(Range) bool { return true })
	}
	return next
}

// Guards against applying changes to an assignment that they were not made for.
func TestChangesOfAnotherBaseAreRejected(t *testing.T) {
	base := InitialAssignment(testCandidates(3))
	next := base.NextVersion()
	next.Split(100, 200)
	next.SetOwner(100, "b", 2, "")
	data, err := next.ChangesSince(base)
	assert.NilError(t, err)
	other := base.NextVersion()
	other.Split(50, 150)
	_, err = other.WithChanges(data, 1)
	assert.ErrorContains(t, err, "do not fit version 2")
}
