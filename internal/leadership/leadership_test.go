package leadership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/granter"
	"github.com/cassiasill/cassiasill/internal/peer/peerpb"
	"github.com/cassiasill/cassiasill/internal/topology"
)

var record = Record{Version: 3, Hosts: []topology.HostName{"a", "b", "c"}}

// Guards against a witness that grants promises to two candidates at once,
// forgets a promise at a restart, or grants one under an old record or term.
func TestWitnessPromises(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	promiseRequest := func(candidate string, term uint64) *peerpb.PromiseRequest {
		return &peerpb.PromiseRequest{Candidate: candidate, Term: term, RecordVersion: 3}
	}
	release := promiseRequest("a", 10)
	release.Release = true
	const ms = time.Millisecond
	ttl := granter.WithClockMargin(PromiseTTL) // how long a promise binds a witness
	renewed := ttl + 295*ms
	end := renewed + ttl
	steps := []struct {
		at      time.Duration
		request *peerpb.PromiseRequest
		reason  string
	}{
		{ttl - ms, promiseRequest("a", 10), ReasonRecovering},
		{ttl, &peerpb.PromiseRequest{Candidate: "a", Term: 10, RecordVersion: 2}, ReasonOtherRecord},
		{ttl, promiseRequest("a", 10), ""},
		{ttl + 95*ms, promiseRequest("b", 11), ReasonPromisedToAnother},
		{ttl + 95*ms, promiseRequest("a", 11), ReasonPromisedToAnother}, // a former process of this name may still lead
		{renewed, promiseRequest("a", 10), ""},
		{end - ms, promiseRequest("b", 11), ReasonPromisedToAnother}, // the clock margin of 1 % has not passed
		{end, promiseRequest("b", 10), ReasonLowerTerm},
		{end, promiseRequest("b", 9), ReasonLowerTerm},
		{end, promiseRequest("a", 10), ""},
		{end + 5*ms, release, ""},
		{end + 5*ms, promiseRequest("b", 0), ReasonLowerTerm}, // a query
		{end + 5*ms, promiseRequest("b", 11), ""},
		{end + 15*ms, release, ReasonPromisedToAnother}, // a late release of an earlier promise
	}
	w := NewWitness("a", start)
	w.UpdateRecord(record)
	for i, s := range steps {
		got := w.HandlePromise(start.Add(s.at), s.request, -1)
		assert.Equal(t, got.GetReason(), s.reason, "step %d at %v", i, s.at)
		assert.Equal(t, got.GetGranted(), s.reason == "")
	}
}

// Guards against a leader lease that outlasts its promises. The lease counts from
// before the requests were sent, for the earliest request of the majority, and
// is not resumed after it expired.
func TestCandidateAuthority(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	c := NewCandidate("a")
	c.SetRecord(record)
	term := c.Campaign(now, 0)
	granted := &peerpb.PromiseResponse{Granted: true}
	respond := func(witness topology.HostName, sent, received time.Duration) bool {
		return c.HandleResponse(now.Add(received), now.Add(sent), witness, term, granted)
	}
	assert.Assert(t, !respond("a", 0, time.Millisecond))
	assert.Assert(t, !respond("x", 0, time.Millisecond), "the promise of a host outside the record counts")
	assert.Assert(t, respond("b", 10*time.Millisecond, 90*time.Millisecond))
	_, until, ok := c.LeaderLease(now.Add(100 * time.Millisecond))
	assert.Assert(t, ok)
	assert.Equal(t, until, now.Add(PromiseTTL))
	respond("c", 150*time.Millisecond, 160*time.Millisecond)
	_, until, _ = c.LeaderLease(now.Add(200 * time.Millisecond))
	assert.Equal(t, until, now.Add(10*time.Millisecond+PromiseTTL))
	respond("a", 400*time.Millisecond, 660*time.Millisecond) // too late: the lease of the majority has expired
	_, _, ok = c.LeaderLease(now.Add(660 * time.Millisecond))
	assert.Assert(t, !ok, "an expired term was resumed")
	assert.Assert(t, c.Campaign(now, 0) > term)
}

// Guards against a leader that doesn't resign although only another host reaches
// the store, and against one that resigns in a store outage for all hosts.
func TestGiveWay(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	cases := map[string]struct {
		reached time.Duration // age of this host's last store call
		witness int64         // age that a witness reports
		want    bool
	}{
		"healthy":    {100 * time.Millisecond, 100, false},
		"cut off":    {1100 * time.Millisecond, 100, true},
		"outage":     {time.Minute, 60_000, false},
		"never":      {time.Minute, -1, false},
		"just begun": {900 * time.Millisecond, 100, false},
	}
	for name, tc := range cases {
		c := NewCandidate("a")
		c.HandleResponse(now, now, "b", 0, &peerpb.PromiseResponse{StoreAgeMillis: tc.witness})
		assert.Equal(t, c.ShouldResign(now, now.Add(-tc.reached)), tc.want, name)
	}
}

// Guards against consecutive records with disjoint majorities, which would allow
// two leaders, and against a majority of the witnesses in one availability zone.
func TestNextRecordKeepsMajoritiesOverlapping(t *testing.T) {
	const seed = 7
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, seed))
	for range 300 {
		var hosts []topology.Host
		for i := range 3 + random.IntN(10) {
			hosts = append(hosts, topology.Host{Name: topology.HostName(fmt.Sprintf("h%02d", i)), AvailabilityZone: topology.AvailabilityZone(fmt.Sprint(i % 3))})
		}
		current, ok := initialRecord(hosts, "")
		assert.Assert(t, ok && len(current.Hosts)%2 == 1)
		zones := make(map[topology.AvailabilityZone]int)
		for _, h := range hosts {
			if current.HasWitness(h.Name) {
				zones[h.AvailabilityZone]++
			}
		}
		for _, n := range zones {
			assert.Assert(t, n < current.Majority() || len(current.Hosts) == 1, "a zone holds a majority: %v", zones)
		}
		dead := make(map[topology.HostName]bool)
		for range 20 {
			if random.IntN(4) == 0 {
				dead[hosts[random.IntN(len(hosts))].Name] = random.IntN(3) > 0
			}
			next, ok := nextRecord(current, hosts, func(h topology.HostName) bool { return dead[h] })
			if !ok {
				continue
			}
			shared := 0
			for _, h := range next.Hosts {
				if current.HasWitness(h) {
					shared++
				}
			}
			union := len(current.Hosts) + len(next.Hosts) - shared
			assert.Assert(t, current.Majority()+next.Majority() > union, "%v then %v", current.Hosts, next.Hosts)
			current = next
		}
	}
}

// Guards against a restarted witness that accepts an outdated record from a
// minority and then grants promises under it.
func TestRecordFromPeersNeedsMajority(t *testing.T) {
	responseWith := func(version uint64) *peerpb.PromiseResponse {
		return &peerpb.PromiseResponse{Record: Record{Version: version, Hosts: []topology.HostName{"a", "b", "c", "d", "e"}}.toMessage()}
	}
	cases := map[string]struct {
		responses map[topology.HostName]*peerpb.PromiseResponse
		version   uint64 // zero: no record is accepted
	}{
		"no response":          {nil, 0},
		"half of the others":   {map[topology.HostName]*peerpb.PromiseResponse{"b": responseWith(2), "c": responseWith(2)}, 0},
		"majority":             {map[topology.HostName]*peerpb.PromiseResponse{"b": responseWith(2), "c": responseWith(1), "d": responseWith(1)}, 2},
		"hosts not in record":  {map[topology.HostName]*peerpb.PromiseResponse{"b": responseWith(2), "x": responseWith(1), "y": responseWith(1)}, 0},
		"without other record": {map[topology.HostName]*peerpb.PromiseResponse{"b": {}, "c": {}, "d": {}}, 0},
	}
	for name, tc := range cases {
		got, ok := recordFromPeers("a", tc.responses)
		assert.Equal(t, ok, tc.version != 0, name)
		if ok {
			assert.Equal(t, got.Version, tc.version, name)
		}
	}
}
