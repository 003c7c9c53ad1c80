package routing_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cassiasill/cassiasill/internal/routing"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const service topology.ServiceName = "inventario"

// routesAt returns a table with one route up to each cut and one after the
// last.
func routesAt(version uint64, servers int, cuts ...topology.Hash) topology.RouteTable {
	slices.Sort(cuts)
	table := topology.RouteTable{Service: service, Version: topology.Version{Term: 1, Sequence: version}}
	first := topology.Hash(0)
	add := func(last topology.Hash) {
		n := len(table.Routes)
		table.Routes = append(table.Routes, topology.Route{
			Range: topology.Range{First: first, Last: last}, Held: true, Token: table.Version,
			Server: topology.ServerName(fmt.Sprintf("server-%d", n%servers)),
		})
	}
	for _, c := range slices.Compact(cuts) {
		if c > first {
			add(c - 1)
			first = c
		}
	}
	add(topology.FullRange.Last)
	return table
}

// Guards against a lookup that returns a neighboring route, in particular with
// many small ranges in one bucket of the index and at both ends of the ring.
func TestOwnerMatchesSearchOfRoutes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		near := rapid.Custom(func(t *rapid.T) topology.Hash {
			base := rapid.SampledFrom([]uint64{0, 1 << 63, ^uint64(0) - 20}).Draw(t, "base")
			return topology.Hash(base + rapid.Uint64Range(0, 20).Draw(t, "offset"))
		})
		position := rapid.OneOf(near, rapid.Custom(func(t *rapid.T) topology.Hash { return topology.Hash(rapid.Uint64().Draw(t, "any")) }))
		table := routesAt(1, 7, rapid.SliceOfN(position, 0, 60).Draw(t, "cuts")...)
		subject := routing.NewTable(routing.Service{Name: service})
		_, err := subject.Update(table, time.Now())
		assert.NilError(t, err)
		for _, h := range append(rapid.SliceOfN(position, 1, 40).Draw(t, "positions"), 0, topology.FullRange.Last) {
			i := slices.IndexFunc(table.Routes, func(r topology.Route) bool { return r.Range.Contains(h) })
			assert.Equal(t, subject.Owner(service, h).Server, table.Routes[i].Server, "position %016x", uint64(h))
		}
	})
}

// Guards against the use of a snapshot after its validity, which counts from
// before the request, and against waiters that are not woken when the snapshot
// becomes valid again.
func TestValidityCountsFromRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subject := routing.NewTable(routing.Service{Name: service, Validity: topology.RouteTableValidity})
		assert.Equal(t, subject.Owner(service, 1).State, routing.StateStale)
		requestedAt := time.Now()
		time.Sleep(200 * time.Millisecond)
		table := routesAt(1, 3)
		_, err := subject.Update(table, requestedAt)
		assert.NilError(t, err)
		time.Sleep(299 * time.Millisecond)
		assert.Equal(t, subject.Owner(service, 1).State, routing.StateServed)
		time.Sleep(time.Millisecond)
		changed := subject.Changed(service)
		assert.Equal(t, subject.Owner(service, 1).State, routing.StateStale)

		subject.Confirm(service, topology.Version{Term: 9}, time.Now())
		assert.Equal(t, subject.Owner(service, 1).State, routing.StateStale, "confirmation of another version")
		subject.Confirm(service, table.Version, time.Now())
		assert.Equal(t, subject.Owner(service, 1).State, routing.StateServed)
		assert.Assert(t, isClosed(changed))

		_, err = subject.Update(table, requestedAt)
		assert.NilError(t, err)
		time.Sleep(400 * time.Millisecond)
		assert.Equal(t, subject.Owner(service, 1).State, routing.StateServed, "an earlier request must not shorten the validity")
	})
}

// Guards against a return to older routes, against changes that are not
// signaled, and against routes with gaps.
func TestUpdateOrder(t *testing.T) {
	subject := routing.NewTable(routing.Service{Name: service})
	gap := routesAt(9, 3, 100)
	gap.Routes = gap.Routes[1:]
	waiting := routesAt(6, 3, 100)
	waiting.Routes[0].Held = false
	for _, step := range []struct {
		name    string
		table   topology.RouteTable
		changed bool
		fails   bool
		version uint64
		state   routing.State
	}{
		{"first", routesAt(5, 3), true, false, 5, routing.StateServed},
		{"older", routesAt(4, 3, 50), false, false, 5, routing.StateServed},
		{"equal", routesAt(5, 3, 50), false, false, 5, routing.StateServed},
		{"newer, range not held", waiting, true, false, 6, routing.StateWaiting},
		{"gap", gap, false, true, 6, routing.StateWaiting},
		{"empty", topology.RouteTable{Service: service, Version: topology.Version{Term: 2}}, false, true, 6, routing.StateWaiting},
		{"other service", topology.RouteTable{Service: "agenda"}, false, true, 6, routing.StateWaiting},
	} {
		t.Run(step.name, func(t *testing.T) {
			signal := subject.Changed(service)
			changed, err := subject.Update(step.table, time.Now())
			assert.Equal(t, err != nil, step.fails)
			assert.Equal(t, changed, step.changed)
			assert.Equal(t, isClosed(signal), step.changed)
			assert.Equal(t, subject.Version(service).Sequence, step.version)
			assert.Equal(t, subject.Owner(service, 1).State, step.state)
		})
	}
	assert.Equal(t, subject.Owner("agenda", 1).State, routing.StateUnknown)
	assert.Assert(t, !isClosed(subject.Changed("agenda")))
}

// Guards against a reader that mixes two snapshots during an update. All routes
// of a snapshot carry its version as fencing token, which must never decrease.
func TestReadersDuringSwaps(t *testing.T) {
	subject := routing.NewTable(routing.Service{Name: service})
	_, err := subject.Update(routesAt(1, 3), time.Now())
	assert.NilError(t, err)
	var done atomic.Bool
	var group conc.WaitGroup
	for range 4 {
		group.Go(func() {
			last := topology.Version{}
			for h := topology.Hash(0); !done.Load(); h += 1 << 55 {
				owner := subject.Owner(service, h)
				if last.NewerThan(owner.Token) || owner.Server == "" {
					panic(fmt.Sprintf("token %s after %s", owner.Token, last))
				}
				last = owner.Token
			}
		})
	}
	for v := uint64(2); v < 500; v++ {
		_, err := subject.Update(routesAt(v, 3, topology.Hash(v)<<50, topology.Hash(v)<<54), time.Now())
		assert.NilError(t, err)
	}
	done.Store(true)
	group.Wait()
}

// Guards against allocations on the request path.
func TestOwnerAllocatesNothing(t *testing.T) {
	subject := largeTable(t, topology.RouteTableValidity)
	h := topology.Hash(0)
	allocations := testing.AllocsPerRun(1000, func() {
		h += 0x9e3779b97f4a7c15
		if subject.Owner(service, h).Server == "" {
			t.Fatal("no owner")
		}
	})
	assert.Equal(t, allocations, 0.0)
}

// BenchmarkOwner measures a lookup among 100,000 ranges of 1,900 servers at
// random positions.
func BenchmarkOwner(b *testing.B) {
	for name, validity := range map[string]time.Duration{"checked": 0, "unchecked": time.Hour} {
		b.Run(name, func(b *testing.B) {
			subject := largeTable(b, validity)
			random := rand.New(rand.NewPCG(1, 2))
			positions := make([]topology.Hash, 1<<16)
			for i := range positions {
				positions[i] = topology.Hash(random.Uint64())
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if subject.Owner(service, positions[i&(1<<16-1)]).Server == "" {
					b.Fatal("no owner")
				}
			}
		})
	}
}

func largeTable(tb testing.TB, validity time.Duration) *routing.Table {
	random := rand.New(rand.NewPCG(1, 2))
	cuts := make([]topology.Hash, 100_000-1)
	for i := range cuts {
		cuts[i] = topology.Hash(random.Uint64())
	}
	subject := routing.NewTable(routing.Service{Name: service, Validity: validity})
	_, err := subject.Update(routesAt(1, 1900, cuts...), time.Now())
	assert.NilError(tb, err)
	return subject
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
