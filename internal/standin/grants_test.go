package standin

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/granter"
	"github.com/cassiasill/cassiasill/internal/topology"
)

const ttl = granter.GrantTTL

func version(term topology.Term, sequence uint64) topology.Version {
	return topology.Version{Term: term, Sequence: sequence}
}

func grant(v topology.Version, end time.Duration, ranges ...topology.Range) granter.Heartbeat {
	return granter.Heartbeat{Term: v.Term, Incarnation: "one", SetVersion: v,
		Set: &granter.GrantSet{Version: v, Ranges: ranges}, Expiry: end}
}

func renew(term topology.Term, v topology.Version, end time.Duration) granter.Heartbeat {
	return granter.Heartbeat{Term: term, Incarnation: "one", SetVersion: v, Expiry: end}
}

// Guards against applying a heartbeat that a server must refuse, and against
// refusing one that it must apply.
func TestGrantStateRefusals(t *testing.T) {
	low, high := topology.Range{First: 0, Last: 99}, topology.Range{First: 100, Last: 199}
	other := grant(version(5, 4), ttl, low)
	other.Incarnation = "zero"
	mismatch := grant(version(5, 4), ttl, low)
	mismatch.Set.Version = version(5, 5)
	cases := []struct {
		name      string
		heartbeat granter.Heartbeat
		want      granter.Refusal
		held      topology.Version
		end       time.Duration
	}{
		{"lower term", renew(4, version(5, 3), ttl+time.Second), granter.RefusalLowerTerm, version(5, 3), ttl},
		{"question of a lower term", granter.Heartbeat{Term: 4}, granter.RefusalLowerTerm, version(5, 3), ttl},
		{"question", granter.Heartbeat{Term: 5}, granter.RefusalNone, version(5, 3), ttl},
		{"other incarnation", other, granter.RefusalOtherIncarnation, version(5, 3), ttl},
		{"end too far", renew(5, version(5, 3), ttl+time.Second+1), granter.RefusalExpiryOutOfBounds, version(5, 3), ttl},
		{"set without end", grant(version(5, 4), 0, low), granter.RefusalExpiryOutOfBounds, version(5, 3), ttl},
		{"older set", grant(version(5, 2), ttl+time.Second, high), granter.RefusalOlderVersion, version(5, 3), ttl},
		{"other ranges, same version", grant(version(5, 3), ttl+time.Second, high), granter.RefusalOlderVersion, version(5, 3), ttl},
		{"two versions", mismatch, granter.RefusalOlderVersion, version(5, 3), ttl},
		{"renewal of a set not held", renew(5, version(5, 4), ttl+time.Second), granter.RefusalOlderVersion, version(5, 3), ttl},
		{"renewal", renew(5, version(5, 3), ttl+time.Second), granter.RefusalNone, version(5, 3), ttl + time.Second},
		{"renewal by a later leader", renew(6, version(5, 3), ttl+time.Second), granter.RefusalNone, version(5, 3), ttl + time.Second},
		{"repeated grant", grant(version(5, 3), ttl+time.Second, low), granter.RefusalNone, version(5, 3), ttl + time.Second},
		{"delayed renewal", renew(5, version(5, 3), ttl/2), granter.RefusalNone, version(5, 3), ttl},
		{"newer set", grant(version(5, 4), ttl+time.Second, high), granter.RefusalNone, version(5, 4), ttl + time.Second},
		{"end already passed", grant(version(5, 4), time.Second/2, high), granter.RefusalNone, version(5, 4), time.Second / 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewGrantState("one")
			assert.Equal(t, g.Apply(grant(version(5, 3), ttl, low), 0).Refusal, granter.RefusalNone)
			reply := g.Apply(c.heartbeat, time.Second)
			assert.Equal(t, reply.Refusal, c.want)
			assert.Equal(t, reply.Clock, time.Second)
			assert.Equal(t, reply.HighestTerm, max(5, c.heartbeat.Term))
			assert.Equal(t, reply.HeldSet.Version, c.held)
			assert.Equal(t, reply.Expiry, c.end)
			sent := c.heartbeat.Expiry == 0 || c.heartbeat.SetVersion != c.held
			assert.Equal(t, len(reply.HeldSet.Ranges) == 1, sent)
		})
	}
}

// Guards against running requests outside the set, after its expiry, or with a
// token of an older set.
func TestGrantStateCheck(t *testing.T) {
	held := topology.Range{First: 100, Last: 199}
	cases := []struct {
		name  string
		h     topology.Hash
		token topology.Version
		clock time.Duration
		ok    bool
	}{
		{"held", 100, version(5, 3), ttl - 1, true},
		{"newer token", 199, version(5, 4), 0, true},
		{"older token", 100, version(5, 2), 0, false},
		{"token of an older term", 100, version(4, 9), 0, false},
		{"below", 99, version(5, 3), 0, false},
		{"above", 200, version(5, 3), 0, false},
		{"at the end", 100, version(5, 3), ttl, false},
	}
	for _, c := range cases {
		g := NewGrantState("one")
		g.Apply(grant(version(5, 3), ttl, held), 0)
		err := g.Check(c.h, c.token, c.clock)
		assert.Equal(t, err == nil, c.ok, c.name)
		var e *apierror.Error
		assert.Assert(t, c.ok || errors.As(err, &e) && e.Kind == apierror.KindNotOwner, c.name)
	}
}

// Guards against reporting a range as released while one of its requests runs,
// and against reporting it as draining forever.
func TestGrantStateDraining(t *testing.T) {
	left, right := topology.Range{First: 0, Last: 99}, topology.Range{First: 100, Last: 199}
	both := topology.Range{First: 0, Last: 199}
	query := granter.Heartbeat{Term: 5}
	g := NewGrantState("one")
	g.Apply(grant(version(5, 1), ttl, left, right), 0)
	g.BeginRequest(150)
	g.BeginRequest(150)
	assert.DeepEqual(t, g.Apply(grant(version(5, 2), ttl, left), 0).Draining, []topology.Range{right})
	assert.Assert(t, g.Check(150, version(5, 2), 0) != nil)
	g.FinishRequest(150)
	assert.DeepEqual(t, g.Apply(query, 0).Draining, []topology.Range{right})
	assert.Equal(t, len(g.Apply(grant(version(5, 3), ttl, both), 0).Draining), 0)
	// Released again in two steps while requests run in both parts.
	g.BeginRequest(50)
	assert.DeepEqual(t, g.Apply(grant(version(5, 4), ttl, left), 0).Draining, []topology.Range{right})
	reply := g.Apply(grant(version(5, 5), ttl), 0)
	assert.DeepEqual(t, reply.Draining, []topology.Range{right, left})
	assert.Equal(t, reply.InFlight, 2)
	g.FinishRequest(150)
	assert.DeepEqual(t, g.Apply(query, 0).Draining, []topology.Range{left})
	g.FinishRequest(50)
	assert.Equal(t, len(g.Apply(query, 0).Draining), 0)
}

// Guards against refusing a key because another key moved, and against accepting
// a request that was sent before its key moved away and back.
func TestCheckComparesTheTokenWithTheGrantOfTheRange(t *testing.T) {
	half := topology.Range{First: 0, Last: 1 << 63}
	rest := topology.Range{First: half.Last + 1, Last: topology.FullRange.Last}
	state := NewGrantState("a")
	set := func(sequence uint64, ranges ...topology.Range) {
		v := topology.Version{Term: 1, Sequence: sequence}
		reply := state.Apply(granter.Heartbeat{
			Term: 1, Incarnation: "a", SetVersion: v, Set: &granter.GrantSet{Version: v, Ranges: ranges}, Expiry: time.Second,
		}, 0)
		assert.Equal(t, reply.Refusal, granter.RefusalNone)
	}
	accepts := func(h topology.Hash, sequence uint64) bool {
		return state.Check(h, topology.Version{Term: 1, Sequence: sequence}, 0) == nil
	}
	set(1, half)
	set(2, half, rest)
	assert.Assert(t, accepts(half.First, 1), "a key that did not move was refused")
	assert.Assert(t, !accepts(rest.First, 1), "a key was accepted under a token from before its grant")
	set(3, rest)
	set(4, half, rest)
	assert.Assert(t, !accepts(half.First, 2), "a key that moved away and back was accepted under its former token")
	assert.Assert(t, accepts(rest.First, 2))
}
