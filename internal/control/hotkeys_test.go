package control

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/boottime"
	"github.com/cassiasill/cassiasill/internal/control/fleetpb"
	"github.com/cassiasill/cassiasill/internal/registry"
	"github.com/cassiasill/cassiasill/internal/shards"
)

// Parameters of the replay, from section 5 of docs/design/demanding-deployments.md.
const (
	replayStep              = 25 * time.Millisecond // a commit takes about that long
	replayWork, replaySlots = 0.19, 2               // seconds at speed 1
)

// hotSet is a load that holds until the given second: shares of all requests on runs of
// adjacent positions, the rest on the base load.
type hotSet struct {
	until float64
	runs  []hotRun
}

type hotRun struct {
	from, width int
	share       float64
}

// hotSets replace each other; the first and the last part have base load only.
var hotSets = []hotSet{{6, nil},
	{10.5, []hotRun{{20_000, 200, 0.37}}},
	{15, []hotRun{{41_000, 60, 0.34}}},
	{19, []hotRun{{9_000, 200, 0.16}}},
	{23.5, []hotRun{{30_000, 1, 0.37 / 2}}},
	{28, []hotRun{{50_000, 1, 0.37 / 8}, {3_000, 1, 0.37 / 8}}},
	{34, nil}}

// replay drives the meter and the manager's decisions without a network. Its fields
// up to random describe the load that is really offered.
type replay struct {
	base       []float64 // request rate of each position, of 1 in total
	total      float64
	capacities map[string]float64 // requests per second
	random     *rand.Rand
	now        boottime.Instant
	manager    *assignmentManager
	servers    map[string]registry.Server
	meter      *loadMeter
	hosts      []map[uint32]uint32 // counts that a host has not reported yet
	reportAt   []boottime.Instant
	due        []dueResponse
	owners     map[uint16]bool // by first position: the owner has got its grant
}

// dueResponse is a server's response to a release or a grant.
type dueResponse struct {
	at    boottime.Instant
	apply func()
}

// hotResult is what the replay counts during one hot set.
type hotResult struct {
	seconds            float64 // until no server is above its capacity
	above, unowned     float64 // requests
	positions          int
	ranges, commits    int // ranges moved and commits
	largestRangesInUse int
	sinceStart         float64
}

func newReplay(speeds []float64, servers, hosts int, total float64) *replay {
	r := &replay{total: total, random: rand.New(rand.NewPCG(5, 6)), now: boottime.Instant(time.Hour), capacities: make(map[string]float64),
		servers: make(map[string]registry.Server), hosts: make([]map[uint32]uint32, hosts), reportAt: make([]boottime.Instant, hosts), owners: make(map[uint16]bool)}
	node := NewNode(Options{Log: zap.NewNop(), Clock: func() boottime.Instant { return r.now }})
	node.view = NewStaticView(Snapshot{Assignments: map[string]*shards.Assignment{}})
	r.meter = newLoadMeter(r.now)
	lead := &leadership{node: node, speeds: newSpeedMeter(), loads: map[string]*loadMeter{"s": r.meter}}
	r.manager = newAssignmentManager(lead, "s")
	for i := range servers {
		s := registry.Server{ID: fmt.Sprintf("s%03d", i), Service: "s", Slots: replaySlots, Speed: speeds[i%len(speeds)], Incarnation: 1}
		r.servers[s.ID], r.capacities[s.ID] = s, replaySlots*s.Speed/replayWork
		r.manager.holders[s.ID] = &holder{incarnation: 1, ackedAt: make(map[grantID]boottime.Instant)}
	}
	r.manager.assignment = shards.InitialAssignment(r.manager.candidates(r.servers))
	for _, a := range r.manager.assignment.Ranges {
		r.owners[a.From], r.manager.holders[a.Owner].ackedAt[grantIDOf(a)] = true, r.now
	}
	r.base = make([]float64, shards.PositionCount)
	sum := 0.0
	for rank, position := range r.random.Perm(shards.PositionCount)[:60_000] {
		r.base[position] = math.Pow(float64(rank+1), -0.35)
		sum += r.base[position]
	}
	for i := range r.base {
		r.base[i] /= sum
	}
	return r
}

// rates returns the prefix sums of the offered load.
func (r *replay) rates(set hotSet) []float64 {
	hotShare := 0.0
	for _, run := range set.runs {
		hotShare += run.share
	}
	sums := make([]float64, shards.PositionCount+1)
	for i, rate := range r.base {
		rate *= 1 - hotShare
		for _, run := range set.runs {
			if i >= run.from && i < run.from+run.width {
				rate += run.share / float64(run.width)
			}
		}
		sums[i+1] = sums[i] + rate*r.total
	}
	return sums
}

// step plays replayStep: reports, requests, responses and the manager's decision.
func (r *replay) step(sums []float64, out *hotResult) {
	r.now = r.now.Add(replayStep)
	for i, counts := range r.hosts {
		if r.now < r.reportAt[i] {
			continue
		}
		load := &fleetpb.ServiceLoad{Service: "s"}
		for position, count := range counts {
			load.Positions, load.Counts = append(load.Positions, position), append(load.Counts, count)
		}
		r.meter.add(load)
		r.hosts[i] = make(map[uint32]uint32)
		r.reportAt[i] = r.now.Add(time.Duration(100+r.random.IntN(150)) * time.Millisecond)
	}
	last := sums[len(sums)-1]
	for at := r.random.ExpFloat64() / last; at < replayStep.Seconds(); at += r.random.ExpFloat64() / last {
		position, _ := slices.BinarySearch(sums, r.random.Float64()*last)
		r.hosts[r.random.IntN(len(r.hosts))][uint32(max(position-1, 0))]++
	}
	r.due = slices.DeleteFunc(r.due, func(d dueResponse) bool {
		if d.at <= r.now {
			d.apply()
		}
		return d.at <= r.now
	})
	r.manager.publish()
	if next := r.manager.nextAssignment(r.servers, r.now); next != nil {
		out.commits++
		r.commit(next, out)
	}
	out.largestRangesInUse = max(out.largestRangesInUse, len(r.manager.assignment.Ranges))
	r.count(sums, out)
}

// commit makes the assignment the current one and sends releases and grants.
func (r *replay) commit(next *shards.Assignment, out *hotResult) {
	previous := r.manager.assignment
	r.manager.assignment = next
	granted := make(map[uint16]bool)
	for _, a := range next.Ranges {
		switch old := previous.FindRange(a.From); {
		case a.ReleaseToken == next.Version:
			release := &pendingRelease{token: a.ReleaseToken, lastSent: r.now, handover: "h"}
			r.manager.releases[a.From] = release
			out.ranges++
			out.positions += a.Width()
			granted[a.From] = true
			r.respond(30, 120, func() { release.acknowledged, r.owners[a.From] = true, false })
		case a.Held() && a.Owner != old.Owner:
			r.respond(20, 60, func() {
				r.owners[a.From] = true
				r.manager.holders[a.Owner].ackedAt[grantIDOf(a)] = r.now
			})
		default:
			if granted[a.From] = r.owners[old.From]; granted[a.From] {
				r.manager.holders[a.Owner].ackedAt[grantIDOf(a)] = r.now
			}
		}
	}
	r.owners = granted
}

// respond applies a server's response after minMillis to maxMillis.
func (r *replay) respond(minMillis, maxMillis int, apply func()) {
	r.due = append(r.due, dueResponse{r.now.Add(time.Duration(minMillis+r.random.IntN(maxMillis-minMillis)) * time.Millisecond), apply})
}

// count adds the requests above the capacity of their owners, as hosts see them, and
// those that wait for a move. What single positions have above the capacity of the
// fastest server is not counted: no move can help it.
func (r *replay) count(sums []float64, out *hotResult) {
	offered, fastest := make(map[string]float64), 0.0
	for _, a := range r.manager.leadership.node.view.Load().Assignments["s"].Ranges {
		load := sums[int(a.To)+1] - sums[a.From]
		actual := r.manager.assignment.FindRange(a.From)
		if !a.Held() || actual.Owner != a.Owner || !r.owners[actual.From] {
			out.unowned += load * replayStep.Seconds()
			continue
		}
		offered[a.Owner] += load
	}
	above := 0.0
	for id, load := range offered {
		above += max(load-r.capacities[id], 0)
		fastest = max(fastest, r.capacities[id])
	}
	for i := 1; i < len(sums); i++ {
		above -= max(sums[i]-sums[i-1]-fastest, 0)
	}
	out.sinceStart += replayStep.Seconds()
	if above > 0.5 {
		out.above += above * replayStep.Seconds()
		out.seconds = out.sinceStart
	}
}

// Guards against servers that stay above their capacity while others have room,
// against a hot set that moves many positions, and against ranges without bound.
func TestHotKeysSpreadWithinASecond(t *testing.T) {
	for _, d := range []struct {
		servers, hosts int
		speeds         []float64
		rate           float64
	}{{181, 27, []float64{0.7, 0.7, 1.6}, 480}, {269, 65, []float64{0.6, 1.0, 1.4}, 700}} {
		r := newReplay(d.speeds, d.servers, d.hosts, d.rate)
		at, total := 0.0, hotResult{}
		for _, set := range hotSets {
			sums, out := r.rates(set), hotResult{}
			for ; at < set.until; at += replayStep.Seconds() {
				r.step(sums, &out)
			}
			t.Logf("%d servers, %v: %.2f s, %.0f requests above capacity, %.0f unowned, %d ranges moved with %d positions, %d commits, at most %d ranges",
				d.servers, set.runs, out.seconds, out.above, out.unowned, out.ranges, out.positions, out.commits, out.largestRangesInUse)
			total.above, total.unowned, total.ranges, total.positions = total.above+out.above, total.unowned+out.unowned, total.ranges+out.ranges, total.positions+out.positions
		}
		t.Logf("%d servers in all: %.0f requests above capacity, %.0f unowned, %d ranges moved with %d positions", d.servers, total.above, total.unowned, total.ranges, total.positions)
		// Before hot keys were spread: 312 and 563 requests, 44096 and 33299 positions.
		assert.Assert(t, total.above < 0.6*d.rate, "%.0f requests above capacity", total.above)
		assert.Assert(t, total.positions < 24_000, "%d positions moved", total.positions)
		assert.Assert(t, len(r.manager.assignment.Ranges) < 1200)
	}
}
