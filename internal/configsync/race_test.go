package configsync

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cassiasill/cassiasill/internal/declaration"
)

// TestMain fixes the seed of rapid unless one is given, so that the same tree
// gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	fmt.Println("rapid.seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}

type planner func(State, Change, []Accepted, declaration.Inventory, time.Time) (plannedChange, error)

// lastWriteWins is the broken variant: it writes the operator's whole
// document, whatever has changed since it was read.
func lastWriteWins(s State, c Change, h []Accepted, i declaration.Inventory, now time.Time) (plannedChange, error) {
	c.Edits = slices.Clone(c.Edits)
	for n := range c.Edits {
		current := s.Documents[c.Edits[n].Key]
		c.Edits[n].BaseAbsent, c.Edits[n].BaseRevision = current == nil, 0
		if current != nil {
			c.Edits[n].BaseRevision = current.Metadata.Revision
		}
	}
	return planChange(s, c, h, i, now)
}

// raceMachine has three operators who edit from what each of them last read.
// Its checker is independent of the merge code.
type raceMachine struct {
	plan      planner
	state     State
	history   []Accepted
	views     [3]State
	violation string
	accepted  int
	refused   int
}

func (m *raceMachine) read(t *rapid.T) {
	m.views[rapid.IntRange(0, 2).Draw(t, "operator")] = m.state
}

func (m *raceMachine) edit(t *rapid.T) {
	operator := rapid.IntRange(0, 2).Draw(t, "operator")
	view := m.views[operator]
	c := Change{ID: fmt.Sprintf("change-%04d", m.accepted+m.refused), Author: fmt.Sprint("operator-", operator)}
	for _, server := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"inv-00", "inv-01"}), 1, 2, rapid.ID).Draw(t, "servers") {
		e := labels(server, 0, "set=yes")
		if seen := view.Documents[e.Key]; seen != nil {
			e.BaseRevision, e.BaseAbsent, e.Document = seen.Metadata.Revision, false, seen.Clone()
			if rapid.IntRange(0, 9).Draw(t, "delete") == 0 {
				e.Document = nil
			}
		}
		if e.Document != nil {
			label := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "label")
			e.Document.Spec.Labels[label] = rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "value")
		}
		c.Edits = append(c.Edits, e)
	}
	p, err := m.plan(m.state, c, m.history, testInventory(), time.Unix(0, 0))
	if err != nil {
		m.refused++
		return
	}
	m.accepted++
	for _, e := range c.Edits {
		m.check(view.Documents[e.Key], e.Document, m.state.Documents[e.Key], p.state.Documents[e.Key])
	}
	if len(p.accepted.Edits) > 0 {
		m.history = append(m.history, p.accepted)
	}
	m.state = p.state
}

// check verifies that a field that the operator did not edit keeps its value, that
// an edited field has the operator's value, and that the operator never replaces a
// value that he has not seen.
func (m *raceMachine) check(seen, edited, before, after *declaration.Document) {
	s, w, b, a := seen.FieldValues(), edited.FieldValues(), before.FieldValues(), after.FieldValues()
	for _, field := range slices.Sorted(maps.Keys(mergeMaps(s, w, b, a))) {
		touched := w[field] != s[field]
		switch {
		case !touched && a[field] != b[field] && edited != nil && before != nil:
			m.violation = fmt.Sprintf("%s was %q and became %q though it was not edited", field, b[field], a[field])
		case touched && a[field] != w[field]:
			m.violation = fmt.Sprintf("%s was set to %q and became %q", field, w[field], a[field])
		case touched && b[field] != s[field] && b[field] != w[field]:
			m.violation = fmt.Sprintf("%s=%q was replaced by an operator who saw %q", field, b[field], s[field])
		}
	}
}

func mergeMaps(all ...map[string]string) map[string]string {
	out := make(map[string]string)
	for _, m := range all {
		maps.Copy(out, m)
	}
	return out
}

// Guards against lost or reverted edits when operators race; the checker must
// also catch the variant in which the last write wins.
func TestRacingEditsLoseNothing(t *testing.T) {
	run := func(p planner) (violations, accepted, refused int) {
		rapid.Check(t, func(rt *rapid.T) {
			m := &raceMachine{plan: p, state: State{Documents: map[declaration.Key]*declaration.Document{}}}
			for i := range m.views {
				m.views[i] = m.state
			}
			rt.Repeat(map[string]func(*rapid.T){"read": m.read, "edit": m.edit, "edit again": m.edit, "": func(rt *rapid.T) {
				assert.Equal(rt, m.state.Digest, declaration.Digest(m.state.Documents))
			}})
			if m.violation != "" {
				violations++
			}
			accepted, refused = accepted+m.accepted, refused+m.refused
		})
		return violations, accepted, refused
	}
	violations, accepted, refused := run(planChange)
	assert.Equal(t, violations, 0)
	assert.Assert(t, accepted > 100 && refused > 100, "accepted %d, refused %d", accepted, refused)
	violations, _, _ = run(lastWriteWins)
	assert.Assert(t, violations > 0, "the checker does not notice that the last write wins")
}

// Guards against deltas that do not give every host the same documents,
// whatever revision it starts from.
func TestDeltasApplyFromAnyRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		states := []State{{Documents: map[declaration.Key]*declaration.Document{}}}
		var p payload
		for revision := range uint64(6) {
			before := states[len(states)-1]
			next := State{Revision: revision + 1, Documents: maps.Clone(before.Documents), Digest: before.Digest}
			e := labels(rapid.SampledFrom([]string{"inv-00", "inv-01", "inv-02"}).Draw(t, "server"), 0, fmt.Sprintf("at=%d", revision))
			e.Document.Metadata.Revision = next.Revision
			if rapid.Bool().Draw(t, "delete") {
				e.Document = nil
			}
			next.replace(e.Key, e.Document)
			states = append(states, next)
			// A publisher that skipped revisions sends a longer delta.
			if rapid.Bool().Draw(t, "publish") || revision == 5 {
				p.Deltas = append(p.Deltas, difference(states[p.Revision], next))
				p.Revision, p.Digest = next.Revision, next.Digest
			}
		}
		last := states[len(states)-1]
		for _, s := range states {
			got, complete, err := p.catchUp(s, encodeSnapshot(states[0]))
			assert.NilError(t, err)
			assert.Assert(t, complete, "from revision %d", s.Revision)
			assert.DeepEqual(t, got.Documents, last.Documents)
		}
		snapshot, err := decodeSnapshot(encodeSnapshot(last))
		assert.NilError(t, err)
		assert.Equal(t, snapshot.Digest, last.Digest)
	})
}
