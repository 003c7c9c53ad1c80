package ownership

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/store"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// watchedStore calls after each write, as another host's read would come.
type watchedStore struct {
	*fakeStore
	puts  atomic.Int64
	after func()
}

func (w *watchedStore) Txn(ctx context.Context, compares []store.Compare, ops []store.Op) (store.TxnResult, error) {
	for _, op := range ops {
		if !op.Delete {
			w.puts.Add(1)
		}
	}
	result, err := w.fakeStore.Txn(ctx, compares, ops)
	if w.after != nil {
		w.after()
	}
	return result, err
}

func testServers(n int) []topology.Server {
	var out []topology.Server
	for i := range n {
		out = append(out, topology.Server{Name: topology.ServerName(fmt.Sprintf("s%04d", i)), Service: testService, AvailabilityZone: zone(i)})
	}
	return out
}

// Guards against a reader that sees slices of two versions, and against
// rewriting a large assignment for a small change.
func TestAssignmentChunks(t *testing.T) {
	ctx := t.Context()
	w := &watchedStore{fakeStore: newFakeStore()}
	ids := 0
	p := &assignments{store: w, newID: func() string { ids++; return fmt.Sprint(ids) }}
	servers := testServers(100)
	a := initialAssignment(testService, servers, 40)
	a.Version = topology.Version{Term: 1, Sequence: 1}
	before, applied, err := p.write(ctx, &stored{}, a)
	assert.NilError(t, err)
	assert.Assert(t, applied && len(before.Chunks) == 3)
	for sequence := uint64(2); sequence < 6; sequence++ {
		old, next := a, a.Clone()
		next.Version.Sequence = sequence
		slice := next.Slices[int(sequence)*700]
		half := slice.Range.First + (slice.Range.Last-slice.Range.First)/2
		assert.Assert(t, apply(next, Move{Range: topology.Range{First: half, Last: slice.Range.Last}, From: slice.Owner, To: "s0099"}, servers))
		w.puts.Store(0)
		w.after = func() {
			seen, _, err := p.load(ctx, testService)
			assert.NilError(t, err)
			want := old
			if seen.Version == next.Version {
				want = next
			}
			assert.DeepEqual(t, seen, want)
		}
		before, applied, err = p.write(ctx, before, next)
		assert.NilError(t, err)
		assert.Assert(t, applied)
		assert.Equal(t, w.puts.Load(), int64(2), "one chunk and the manifest")
		w.after = nil
		a = next
	}
	assert.Equal(t, len(w.keys), len(before.Chunks)+1, "replaced chunks were not deleted")
}

// Guards against taking an unknown outcome for success or failure, and against
// a write that replaces one it has not seen.
func TestAssignmentWriteOutcomes(t *testing.T) {
	cases := map[string]struct {
		prepare func(f *fakeStore)
		stale   bool
		applied bool
		fails   bool
	}{
		"applied":               {func(*fakeStore) {}, false, true, false},
		"chunk answer lost":     {func(f *fakeStore) { f.setLose(1, false) }, false, true, false},
		"both answers lost":     {func(f *fakeStore) { f.setLose(2, false) }, false, true, false},
		"writes lost":           {func(f *fakeStore) { f.setLose(2, true) }, false, false, true},
		"another write between": {func(*fakeStore) {}, true, false, false},
		"store down":            {func(f *fakeStore) { f.setDown(true) }, false, false, true},
	}
	for name, tc := range cases {
		f := newFakeStore()
		ids := 0
		p := &assignments{store: f, newID: func() string { ids++; return fmt.Sprint(ids) }}
		a := initialAssignment(testService, testServers(3), 2)
		before, _, err := p.write(t.Context(), &stored{}, a)
		assert.NilError(t, err)
		if tc.stale {
			_, _, err := p.write(t.Context(), before, a)
			assert.NilError(t, err)
		}
		tc.prepare(f)
		next := a.Clone()
		next.Slices[0].Owner = "s0002"
		_, applied, err := p.write(t.Context(), before, next)
		assert.Equal(t, applied, tc.applied, name)
		assert.Equal(t, err != nil, tc.fails, "%s: %v", name, err)
		f.setDown(false)
		seen, _, err := p.load(t.Context(), testService)
		assert.NilError(t, err, name)
		assert.Equal(t, seen.Slices[0].Owner == "s0002", tc.applied, name)
	}
}

// Guards against a first assignment that is uneven, or whose successors fail
// with their owner or take over its load together.
func TestInitialAssignment(t *testing.T) {
	for _, n := range []int{1, 2, 3, 7, 15, 100} {
		servers := testServers(n)
		a := initialAssignment(testService, servers, SlicesPerServer)
		assert.NilError(t, a.Validate())
		heirs := make(map[topology.ServerName]int) // of the slices of server 0
		for i, s := range a.Slices {
			assert.Equal(t, len(s.Successors), min(n-1, topology.MaxSuccessors))
			zones := map[topology.AvailabilityZone]bool{servers[i%n].AvailabilityZone: true}
			for _, name := range s.Successors {
				assert.Assert(t, name != s.Owner)
				for _, d := range servers {
					if d.Name == name {
						zones[d.AvailabilityZone] = true
					}
				}
			}
			assert.Equal(t, len(zones), min(n, 3), "a zone's loss would take owner and successors")
			if s.Owner == servers[0].Name && n > 1 {
				heirs[s.Successors[0]]++
			}
		}
		for name, count := range heirs {
			assert.Assert(t, n < 7 || count <= 3*SlicesPerServer/(n-1)+1, "%d servers: %s takes over %d slices", n, name, count)
		}
	}
}
