package control

import (
	"errors"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/cassiasill/cassiasill/internal/shards"
)

// Guards against taking keys from a server that lives: only another server at the address
// where the owner has acknowledged a grant proves that the owner has ended. An entry with
// an odd address, a server that does not name itself, and silence do not.
func TestOnlyAnotherServerAtTheProvenAddressShowsTheEnd(t *testing.T) {
	m := &assignmentManager{leadership: &leadership{node: &Node{Options: Options{Log: zap.NewNop()}}}}
	other := &shards.GrantError{NotSent: true, Misdirected: true, OtherServer: "s2"}
	for name, c := range map[string]struct {
		proven, called string
		err            error
		ended          bool
	}{
		"another server at the proven address": {"a:1", "a:1", other, true},
		"address of an odd entry":              {"a:1", "b:1", other, false},
		"address never proven":                 {"", "a:1", other, false},
		"misdirected without a name":           {"a:1", "a:1", &shards.GrantError{NotSent: true, Misdirected: true}, false},
		"nobody named":                         {"a:1", "a:1", &shards.GrantError{NotSent: true, Unverified: true}, false},
		"no response":                          {"a:1", "a:1", errors.New("timeout"), false},
	} {
		ended := m.hasEnded(shards.Range{Owner: "s1", Address: c.proven}, GrantServer{ID: "s1", Address: c.called}, c.err)
		assert.Check(t, ended == c.ended, name)
	}
}
