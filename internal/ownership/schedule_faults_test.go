package ownership

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc/pool"
	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// variant removes rules of the protocol; the checker must notice each.
type variant struct {
	server       serverFaults
	ledger       ledgerFaults
	noAuthority  bool // a leader acts on after its authority lapsed
	noValidity   bool // hosts send under snapshots that have expired
	noReadBack   bool
	noPromise    bool // a witness forgets its promise at a restart and does not wait
	oldAuthority bool // authority counts from the answer
}

// epoch is true time zero of every schedule.
var epoch = time.Unix(1_800_000_000, 0)

// clock is a local clock that runs at its own rate.
type clock struct {
	offset time.Duration
	rate   float64
}

func (c clock) at(now time.Duration) time.Duration {
	return c.offset + time.Duration(float64(now)*c.rate)
}

// trueTime returns when the clock shows local.
func (c clock) trueTime(local time.Duration) time.Duration {
	return time.Duration(float64(local-c.offset) / c.rate)
}

// fault injects one random fault and plans the next.
func (s *schedule) fault() {
	if s.calm {
		return
	}
	s.after(50*time.Millisecond+s.upTo(500*time.Millisecond), s.fault)
	h := s.hosts[s.random.IntN(len(s.hosts))]
	server := s.servers[s.random.IntN(len(s.servers))]
	until := s.now + 20*time.Millisecond + s.upTo(3*time.Second)
	switch s.random.IntN(11) {
	case 0, 1: // a host is paused and woken
		if !h.crashed && h.paused == 0 {
			h.paused = until
			life := h.life
			s.after(until-s.now, func() {
				if h.life == life {
					s.wake(h)
				}
			})
		}
	case 2: // a host crashes and is started again
		h.crashed, h.life = true, h.life+1
		s.checker.Led(epoch.Add(s.now), h.name, epoch)
		life := h.life
		if s.chance(0.5) { // forgotten promises are still in effect
			until = s.now + s.upTo(200*time.Millisecond)
		}
		s.after(until-s.now, func() {
			if h.life == life {
				s.boot(h)
			}
		})
	case 3: // a host is cut off from the others, not from the servers
		for _, other := range s.hosts {
			s.cut[[2]string{string(h.name), string(other.name)}] = until
			s.cut[[2]string{string(other.name), string(h.name)}] = until
		}
	case 4: // a link is cut in one direction
		s.cut[[2]string{string(h.name), string(server.name)}] = until
	case 5:
		s.cut[[2]string{string(server.name), string(h.name)}] = until
	case 6, 7: // a server freezes and reads on return what has arrived
		if server.frozen <= s.now {
			server.frozen = until
			s.after(until-s.now, func() {
				queued := server.queued
				server.queued = nil
				for _, f := range queued {
					s.atServer(server, f)
				}
			})
		}
	case 8: // a server crashes and is started again
		server.crashed, server.queued = true, nil
		s.checker.Dropped(testService, server.name)
		s.after(s.upTo(until-s.now), func() {
			old := server.fakeServer
			server.fakeServer = fakeServer{incarnation: fmt.Sprint(s.events), faults: old.faults, drainFor: old.drainFor}
			server.crashed = false
		})
	case 9: // the store is down, or loses answers or writes
		if s.chance(0.5) {
			s.storeDown = until
		} else {
			s.store.setLose(1+s.random.IntN(3), s.chance(0.5))
		}
	case 10:
		server.drainFor = s.upTo(1500 * time.Millisecond)
	}
}

// heal ends all faults.
func (s *schedule) heal() {
	s.calm = true
	s.storeDown = 0
	s.store.setLose(0, false)
	clear(s.cut)
	for _, server := range s.servers {
		server.drainFor = 0
	}
}

// unserved returns a position that no server owns.
func (s *schedule) unserved() (topology.Hash, bool) {
	for i := range 64 {
		h := topology.Hash(i) << 58
		if _, ok := s.checker.Owner(epoch.Add(s.now), testService, h); !ok {
			return h, true
		}
	}
	return 0, false
}

const (
	schedules    = 10_000
	firstSeed    = 1
	variantSeeds = 4_000
)

// Guards against two owners of a key, against acting on an assignment that is
// not stored, and against keys left unserved after all faults have ended, under
// random faults of hosts, servers, links, clocks and store.
func TestSchedules(t *testing.T) {
	t.Logf("seeds %d to %d", firstSeed, firstSeed+schedules-1)
	var failures, events atomic.Int64
	// The live heap is small; the default would collect it without pause.
	defer debug.SetGCPercent(debug.SetGCPercent(800))
	group := pool.New().WithMaxGoroutines(runtime.GOMAXPROCS(0))
	for seed := uint64(firstSeed); seed < firstSeed+schedules; seed++ {
		group.Go(func() {
			if failures.Load() > 5 {
				return
			}
			s := newSchedule(seed, variant{})
			violations := s.run()
			events.Add(int64(s.events))
			for _, v := range violations {
				failures.Add(1)
				t.Errorf("seed %d: %s", seed, v)
			}
			if h, ok := s.unserved(); len(violations) == 0 && ok {
				failures.Add(1)
				t.Errorf("seed %d: %016x has no owner %v after the last fault", seed, uint64(h), scheduleEnd-faultsUntil)
			}
		})
	}
	group.Wait()
	t.Logf("%d events", events.Load())
}

// Guards against a checker that cannot fail: it must find each protocol rule
// that is removed.
func TestSchedulesFindBrokenVariants(t *testing.T) {
	cases := map[string]variant{
		"server does not check the fence":             {server: serverFaults{noFence: true}},
		"lease counts from arrival":                   {server: serverFaults{fromArrival: true}},
		"ambiguous write taken for applied":           {noReadBack: true},
		"leader acts after its authority lapsed":      {noAuthority: true},
		"host sends under an old assignment":          {noValidity: true},
		"no takeover wait":                            {ledger: ledgerFaults{noTakeoverWait: true}},
		"draining ranges taken for released":          {ledger: ledgerFaults{ignoreDraining: true}},
		"an ended set is adopted and renewed":         {ledger: ledgerFaults{adoptExpiredSet: true}},
		"a restarted witness promises at once":        {noPromise: true},
		"authority counts from the witness's answers": {oldAuthority: true},
	}
	for name, v := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(firstSeed); seed < firstSeed+variantSeeds; seed++ {
				if found := newSchedule(seed, v).run(); len(found) > 0 {
					t.Logf("seed %d: %s", seed, found[0])
					return
				}
			}
			assert.Assert(t, false, "not found in seeds %d to %d", firstSeed, firstSeed+variantSeeds-1)
		})
	}
}
