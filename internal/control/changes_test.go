package control

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/shards"
)

// Guards against issuing a new token for a range that the same change releases:
// the range would stay with a draining server.
func TestReplaceTokensKeepsReleases(t *testing.T) {
	a := &shards.Assignment{Version: 3, Ranges: []shards.Range{
		{From: 0, To: 99, Owner: "a", Token: 1},
		{From: 100, To: shards.PositionCount - 1, Owner: "a", Token: 2},
	}}
	m := newAssignmentManager(nil, "svc")
	m.assignment = a
	m.holders["a"] = &holder{minToken: 3, outdated: make(map[grantID]bool)}
	next := a.NextVersion()
	next.Release([]shards.Move{{From: 100, To: shards.PositionCount - 1, NewOwner: "b"}})
	assert.Assert(t, m.replaceTokens(next))
	assert.Equal(t, next.FindRange(0).Token, int64(4))
	assert.Equal(t, next.FindRange(100).ReleaseToken, int64(4))
	assert.Equal(t, next.FindRange(100).Token, int64(2))
}
