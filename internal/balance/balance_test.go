package balance

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// The seed is fixed so that every run checks the same inputs; -rapid.seed
// overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

var policies = map[string]func() Policy{
	"random":          func() Policy { return Random{} },
	"round-robin":     func() Policy { return &RoundRobin{} },
	"least-in-flight": func() Policy { return LeastInFlight{} },
	"two-choices":     func() Policy { return TwoChoices{} },
	"probing":         func() Policy { return Probing{} },
	"leased":          func() Policy { return HostQuota{} },
	"zone":            func() Policy { return ZonePreference{} },
}

// Guards against a policy that chooses a server without capacity, and against a
// request that waits although a server has capacity.
func TestChoiceIsFreeIfAnyIs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := &View{Now: time.Minute, HostCount: rapid.IntRange(1, 1900).Draw(t, "hosts"), TypicalLatency: 20 * time.Millisecond}
		view.HostRank = rapid.IntRange(0, view.HostCount-1).Draw(t, "host")
		n := rapid.SampledFrom([]int{0, 1, 3, 8, 15, 200}).Draw(t, "servers")
		anyFree := false
		for range n {
			s := Server{
				Slots: 2, State: State(rapid.IntRange(0, 3).Draw(t, "state")), InFlight: rapid.IntRange(0, 4).Draw(t, "inFlight"),
				Limit: rapid.Float64Range(0, 4).Draw(t, "limit"), Blocked: rapid.Bool().Draw(t, "blocked"),
				Slowdown: rapid.Float64Range(0, 9).Draw(t, "slowdown"), ReportedInFlight: rapid.Float64Range(0, 9).Draw(t, "reported"),
				HasReport: rapid.Bool().Draw(t, "hasReport"), ReportedAt: view.Now - time.Second,
			}
			anyFree = anyFree || s.HasCapacity()
			view.Servers = append(view.Servers, s)
		}
		AssignQuotas(view)
		for name, policy := range policies {
			i := policy().Choose(view, rand.New(rand.NewPCG(1, 1)))
			if (i >= 0) != anyFree || (i >= 0 && !view.Servers[i].HasCapacity()) {
				t.Fatalf("%s chose %d, any free: %v", name, i, anyFree)
			}
		}
	})
}

// Guards against a slow server that attracts load through a report of no
// requests or through a report from before it became busy. The host's own
// latency estimate must outrank such reports.
func TestFalseReportsAttractNoLoad(t *testing.T) {
	for name, report := range map[string]struct {
		reported float64
		age      time.Duration
	}{"always zero": {0, 50 * time.Millisecond}, "stale": {0, time.Hour}} {
		for _, policy := range []string{"two-choices", "probing", "leased", "zone"} {
			view := &View{Now: 2 * time.Hour, HostCount: 1, TypicalLatency: 20 * time.Millisecond}
			for range 4 {
				view.Servers = append(view.Servers, Server{
					Slots: 2, Limit: 100, Slowdown: 1.2, ObservedAt: view.Now, ReportedInFlight: 3, ReportedAt: view.Now - 50*time.Millisecond, HasReport: true,
				})
			}
			slow := &view.Servers[0]
			slow.Slowdown, slow.ReportedInFlight, slow.ReportedAt = 5, report.reported, view.Now-report.age
			AssignQuotas(view)
			random, p, chosen := rand.New(rand.NewPCG(2, 2)), policies[policy](), 0
			for range 1000 {
				if p.Choose(view, random) == 0 {
					chosen++
				}
			}
			assert.Assert(t, chosen <= 250, "%s, report %s: the slow server got %d of 1000, more than its even part", policy, name, chosen)
		}
	}
}

// Guards against an ejection of more than a third of the servers, against a
// server that is never returned after its ejection, and against a failing
// server that is not ejected.
func TestEjectionBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "servers")
		servers, outliers := make([]Server, n), make([]OutlierDetector, n)
		now := time.Duration(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
			outliers[rapid.IntRange(0, n-1).Draw(t, "server")].Observe(rapid.IntRange(0, 9).Draw(t, "ok") == 0)
			UpdateEjections(servers, outliers, now)
			ejected := 0
			for i := range servers {
				if servers[i].State == StateEjected {
					ejected++
				}
			}
			if ejected*3 > n {
				t.Fatalf("%d of %d servers ejected", ejected, n)
			}
		}
		outliers = make([]OutlierDetector, n)
		UpdateEjections(servers, outliers, now+maxEjection+1)
		for i := range servers {
			if servers[i].State == StateEjected {
				t.Fatalf("server %d stays ejected", i)
			}
		}
		for range ejectAfterFailures {
			outliers[0].Observe(false)
		}
		UpdateEjections(servers, outliers, now+maxEjection+2)
		if n >= 3 && servers[0].State != StateEjected {
			t.Fatal("a failing server is not ejected")
		}
	})
}

// Guards against quotas that overlap between hosts or leave capacity to no
// host. Hosts that stay within their quotas would then overload a server.
func TestQuotasPartitionCapacity(t *testing.T) {
	for _, hosts := range []int{1, 2, 3, 7, 12, 40} {
		for _, n := range []int{1, 7, 8, 13, 15} {
			total := make([]int, n)
			for host := range hosts {
				view := &View{Servers: make([]Server, n), HostRank: host, HostCount: hosts}
				for i := range view.Servers {
					view.Servers[i].Slots = 2
				}
				AssignQuotas(view)
				for i, s := range view.Servers {
					total[i] += s.Quota
				}
			}
			for i, quota := range total {
				assert.Equal(t, quota, 2*quotaPerSlot, "hosts %d, server %d of %d", hosts, i, n)
			}
		}
	}
}

// Guards against requests that leave the local availability zone while it has
// capacity, and against requests that stay when it has none.
func TestZonePreferenceSpills(t *testing.T) {
	view := &View{AvailabilityZone: "rafaela", Now: time.Second}
	for i := range 6 {
		zone := view.AvailabilityZone
		if i >= 2 {
			zone = "santa-fe"
		}
		view.Servers = append(view.Servers, Server{AvailabilityZone: zone, Slots: 2, Limit: 4})
	}
	random, requests := rand.New(rand.NewPCG(3, 3)), make([]int, 6)
	for step := range 16 {
		i := ZonePreference{}.Choose(view, random)
		assert.Assert(t, i >= 0)
		view.Servers[i].InFlight++
		requests[i]++
		if step == 3 {
			assert.Equal(t, requests[0]+requests[1], 4, "a free local slot was passed over: %v", requests)
		}
	}
	for i := 2; i < 6; i++ {
		assert.Assert(t, requests[i] >= 2 && requests[i] <= 3, "the spill is not proportional: %v", requests)
	}
}
