package shards

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// manyCandidates returns n candidates with the speeds found in deployments, and ranges
// of equal width for them.
func manyCandidates(n, ranges int) ([]Candidate, *Assignment) {
	candidates := make([]Candidate, n)
	for i := range candidates {
		candidates[i] = Candidate{ID: fmt.Sprintf("s%03d", i), Incarnation: 1, Capacity: 2 * []float64{0.7, 0.7, 1.6}[i%3]}
	}
	a := &Assignment{Version: 1}
	for i := range ranges {
		a.Ranges = append(a.Ranges, Range{From: uint16(i * PositionCount / ranges), To: uint16((i+1)*PositionCount/ranges - 1), Owner: candidates[i%n].ID, Incarnation: 1, Token: 1})
	}
	return candidates, a
}

func hotLoad(total, hot float64, from, width int) func() Load {
	load := evenLoad(total - hot)
	for i := from; i < from+width; i++ {
		load.Rates[i] += hot / float64(width)
	}
	load.Samples = total
	return func() Load { return load }
}

// Guards against a run of hot positions that leaves its server in several rounds, and
// against moves of positions that are not hot.
func TestHotRunLeavesInOneRound(t *testing.T) {
	candidates, _ := manyCandidates(181, 181)
	a := InitialAssignment(candidates)
	load := hotLoad(480, 180, 20_000, 200)
	moves := PlanHotKeys(a, candidates, load)
	owners := make(map[string]bool)
	moved := 0
	for _, m := range moves {
		owners[m.NewOwner] = true
		moved += int(m.To) - int(m.From) + 1
		assert.Assert(t, m.From >= 19_980 && m.To < 20_220, "%d to %d", m.From, m.To)
	}
	assert.Assert(t, len(owners) >= 20 && len(moves) <= 45 && moved <= 220, "%d moves to %d servers, %d positions", len(moves), len(owners), moved)
}

// Guards against a position above the capacity of its server that stays with a slow one,
// or that shares its new server with other positions.
func TestHotPositionGetsAFastServerForItself(t *testing.T) {
	candidates, _ := manyCandidates(181, 181)
	a := InitialAssignment(candidates)
	slow := a.FindRange(20_000)
	for candidates[0].ID = slow.Owner; slow.Width() > 300; slow = a.FindRange(slow.To + 1) {
	}
	moves := PlanHotKeys(a, candidates, hotLoad(480, 90, int(slow.From)+10, 1))
	assert.Equal(t, moves[0].From, slow.From+10)
	assert.Equal(t, moves[0].To, slow.From+10)
	left := 0
	for _, r := range a.Ranges {
		if r.Owner == moves[0].NewOwner {
			left += r.Width()
		}
	}
	assert.Assert(t, left > 300, "the target is a slow server")
	for _, m := range moves[1:] {
		assert.Equal(t, a.FindRange(m.From).Owner, moves[0].NewOwner)
		left -= int(m.To) - int(m.From) + 1
	}
	assert.Equal(t, left, 0)
}

// Guards against plans for hot keys in small services, which are balanced move by move.
func TestSmallServicesHaveNoHotRounds(t *testing.T) {
	candidates, a := manyCandidates(12, 12)
	assert.Equal(t, len(PlanHotKeys(a, candidates, hotLoad(480, 180, 20_000, 200))), 0)
}

// Guards against ranges without bound after many hot sets, and against compaction that
// moves wide ranges or takes hot positions back.
func TestNarrowRangesAreGivenBack(t *testing.T) {
	candidates, _ := manyCandidates(269, 269)
	a := InitialAssignment(candidates)
	next := a.NextVersion()
	for i := range 1000 {
		from := uint16(i * 64)
		next.Split(from, from+5)
		next.SetOwner(from, candidates[(i*7+1)%269].ID, 1, "")
	}
	before := len(next.Ranges)
	load := hotLoad(700, 20, 64, 6)
	assert.Equal(t, len(PlanHotKeys(next, candidates, load)), 0)
	hotOwner, moved := next.FindRange(64).Owner, 0
	for range 40 {
		moves := PlanCompaction(next, candidates, load)
		if len(moves) == 0 {
			break
		}
		for _, m := range moves {
			moved += int(m.To) - int(m.From) + 1
			next.Split(m.From, m.To)
			next.SetOwner(m.From, m.NewOwner, 1, "")
		}
		next.Compact(func(Range) bool { return true })
		assert.NilError(t, next.validate())
	}
	t.Logf("%d ranges before, %d after, %d positions moved", before, len(next.Ranges), moved)
	assert.Assert(t, len(next.Ranges) <= 3*269)
	assert.Assert(t, moved <= 6*1000)
	assert.Equal(t, next.FindRange(64).Owner, hotOwner)
}

// BenchmarkPlan measures one round of a leader: 300 servers with 1,200 ranges.
func BenchmarkPlan(b *testing.B) {
	candidates, a := manyCandidates(300, 1200)
	load := hotLoad(700, 260, 20_000, 200)
	b.Run("hot", func(b *testing.B) {
		for b.Loop() {
			PlanHotKeys(a, candidates, load)
		}
	})
	calm := hotLoad(700, 0, 0, 0)
	b.Run("calm", func(b *testing.B) {
		for b.Loop() {
			PlanHotKeys(a, candidates, calm)
		}
	})
	b.Run("balance", func(b *testing.B) {
		for b.Loop() {
			PlanRebalance(a, candidates, load())
		}
	})
}
