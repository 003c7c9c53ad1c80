// Package shards assigns the key positions of a service to its servers. A key
// position is the hash slot that a key maps to.
//
// A new Assignment is committed to the store before it takes effect. A range is
// either held by one server under a fencing token, or released: its grant is then
// no longer renewed and is being revoked from the server. Fencing tokens are
// versions of the assignment, so every owner of a position has a higher token than
// all earlier owners.
package shards

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/cassiasill/cassiasill/internal/store"
)

// PositionCount is the number of key positions.
const PositionCount = 1 << 16

// Grant allows a server to use a range of positions for a limited time.
type Grant struct {
	From, To uint16 // inclusive
	Token    int64  // fencing token
	// TTL is how long the server may use the range, from the arrival of the call.
	TTL time.Duration
	// Handover lets the server take over the state that the last owner had cached.
	Handover string
}

// GrantError is a failed call that grants a range or releases it.
type GrantError struct {
	// StaleToken is true if the server has seen a higher fencing token.
	StaleToken bool
	// Refused is true if the server responded that it did not execute the call. If
	// none of StaleToken, Refused and NotSent is set, the server may still execute it.
	Refused bool
	// NotSent is true if the server will not execute the call: no connection could be
	// opened, or who is at its other end is not proven to be the server.
	NotSent bool
	// Misdirected is true if another server was found at the address. Nothing was
	// granted or released.
	Misdirected bool
	// OtherServer is the ID by which another server has named itself at the address;
	// empty if none has.
	OtherServer string
	// Unverified is true if nobody has proven to be the server. Nothing was granted or
	// released.
	Unverified bool
	// SessionEnded is true if the session with the server has ended.
	SessionEnded bool
	Err          error
}

// Error describes the failure.
func (e *GrantError) Error() string { return fmt.Sprintf("order: %v", e.Err) }

// Unwrap returns the cause.
func (e *GrantError) Unwrap() error { return e.Err }

// Range is a run of adjacent positions with the same owner and state.
type Range struct {
	From  uint16 `json:"from"`
	To    uint16 `json:"to"` // inclusive
	Owner string `json:"owner,omitempty"`
	// Incarnation is the Unix millisecond of the owner's start.
	Incarnation int64 `json:"born,omitempty"`
	// Address is where the owner has acknowledged a grant, under this token or another;
	// empty if that is not known. A process keeps its address, so the owner has ended
	// once another server answers there.
	Address string `json:"address,omitempty"`
	Token   int64  `json:"token,omitempty"` // fencing token
	// Handover is sent with the grant until the owner has acknowledged it.
	Handover string `json:"handover,omitempty"`
	// ReleaseToken is the fencing token under which the range is being revoked from
	// Owner; 0 while the range is held.
	ReleaseToken int64 `json:"released,omitempty"`
	// PlannedOwner is the next owner as planned at the release. It may have become
	// unusable since.
	PlannedOwner string `json:"target,omitempty"`
}

// Width returns the number of positions.
func (r Range) Width() int { return int(r.To) - int(r.From) + 1 }

// Held reports whether the range has an owner whose grant is to be renewed.
func (r Range) Held() bool { return r.Owner != "" && r.ReleaseToken == 0 }

// Assignment divides all positions into ranges, in ascending order and without
// gaps.
type Assignment struct {
	Version int64   `json:"version"`
	Ranges  []Range `json:"ranges"`
	// Revision is the revision of the entry in the store.
	Revision int64 `json:"-"`
}

// Bounds of the values in an assignment: versions must be able to rise, and owners are
// IDs of servers.
const (
	maxVersion   = 1 << 62
	maxTextBytes = 256
)

// Decode decodes and validates a committed assignment.
func Decode(data []byte, revision int64) (*Assignment, error) {
	a := &Assignment{}
	if err := json.Unmarshal(data, a); err != nil {
		return nil, &InvalidError{Problem: err.Error()}
	}
	a.Revision = revision
	return a, a.validate()
}

// Encode returns the encoding that Decode reads.
func (a *Assignment) Encode() ([]byte, error) { return json.Marshal(a) }

// InvalidError reports an assignment that can't be decoded or is inconsistent.
type InvalidError struct{ Problem string }

// Error names the problem.
func (e *InvalidError) Error() string { return "assignment: " + e.Problem }

// validate checks that the ranges cover all positions once, and that no fencing
// token is above the version.
func (a *Assignment) validate() error {
	if a.Version < 0 || a.Version > maxVersion {
		return &InvalidError{Problem: fmt.Sprintf("version %d is out of bounds", a.Version)}
	}
	next := 0
	for _, r := range a.Ranges {
		if r.Token < 0 || r.ReleaseToken < 0 || r.Incarnation < 0 || max(len(r.Owner), len(r.PlannedOwner), len(r.Handover), len(r.Address)) > maxTextBytes {
			return &InvalidError{Problem: fmt.Sprintf("range %d-%d has a value out of bounds", r.From, r.To)}
		}
		if int(r.From) != next || r.To < r.From {
			return &InvalidError{Problem: fmt.Sprintf("range %d-%d does not follow position %d", r.From, r.To, next-1)}
		}
		if r.Token > a.Version || r.ReleaseToken > a.Version {
			return &InvalidError{Problem: fmt.Sprintf("range %d-%d has a token above version %d", r.From, r.To, a.Version)}
		}
		next = int(r.To) + 1
	}
	if next != PositionCount {
		return &InvalidError{Problem: fmt.Sprintf("covers %d of %d positions", next, PositionCount)}
	}
	return nil
}

// FindRange returns the range that contains position.
func (a *Assignment) FindRange(position uint16) *Range {
	i := sort.Search(len(a.Ranges), func(i int) bool { return a.Ranges[i].To >= position })
	if i == len(a.Ranges) {
		return nil
	}
	return &a.Ranges[i]
}

// eraVersionBits is how many bits of a version count the changes within one era.
const eraVersionBits = 32

// FirstVersionOf returns a version that is above all versions, and so all fencing
// tokens, of earlier eras of the store. Those may be known to servers although the
// restored store has lost them.
func FirstVersionOf(era store.Era) int64 { return int64(era-store.FirstEra) << eraVersionBits }

// NextVersionIn returns a copy with the next version in an era of the store.
func (a *Assignment) NextVersionIn(era store.Era) *Assignment {
	next := a.NextVersion()
	next.Version = max(next.Version, FirstVersionOf(era))
	return next
}

// WithVersion returns a copy with the version as its own and as the token of all
// ranges that are held.
func (a *Assignment) WithVersion(version int64) *Assignment {
	out := &Assignment{Version: version, Ranges: append([]Range(nil), a.Ranges...)}
	for i := range out.Ranges {
		if out.Ranges[i].Held() {
			out.Ranges[i].Token = version
		}
	}
	return out
}

// PositionsNotOwnedBy returns the ranges of positions that the server does not own.
func (a *Assignment) PositionsNotOwnedBy(server string) []Move {
	var out []Move
	for _, r := range a.Ranges {
		if r.Held() && r.Owner == server {
			continue
		}
		if n := len(out); n > 0 && int(out[n-1].To)+1 == int(r.From) {
			out[n-1].To = r.To
			continue
		}
		out = append(out, Move{From: r.From, To: r.To})
	}
	return out
}

// NextVersion returns a copy with the next version, to be modified and committed.
func (a *Assignment) NextVersion() *Assignment {
	return &Assignment{Version: a.Version + 1, Ranges: append([]Range(nil), a.Ranges...)}
}

// Move transfers a part of a held range to another owner.
type Move struct {
	From, To uint16
	NewOwner string
}

// Release marks the held ranges within the moves as released, under a's version as
// fencing token.
func (a *Assignment) Release(moves []Move) {
	for _, move := range moves {
		a.Split(move.From, move.To)
		for i := range a.Ranges {
			r := &a.Ranges[i]
			if r.From >= move.From && r.To <= move.To && r.Held() {
				r.ReleaseToken, r.PlannedOwner = a.Version, move.NewOwner
			}
		}
	}
}

// SetOwner assigns the range that starts at from to a new owner, under a's version
// as fencing token.
func (a *Assignment) SetOwner(from uint16, owner string, incarnation int64, handover string) {
	for i := range a.Ranges {
		if r := &a.Ranges[i]; r.From == from {
			address := ""
			if r.Owner == owner && r.Incarnation == incarnation {
				address = r.Address
			}
			*r = Range{From: r.From, To: r.To, Owner: owner, Incarnation: incarnation, Address: address, Token: a.Version, Handover: handover}
		}
	}
}

// Split splits ranges so that from is the first and to the last position of a
// range.
func (a *Assignment) Split(from, to uint16) {
	a.splitAt(from)
	if to < PositionCount-1 {
		a.splitAt(to + 1)
	}
}

// splitAt splits the range that contains position so that position starts a range.
func (a *Assignment) splitAt(position uint16) {
	i := sort.Search(len(a.Ranges), func(i int) bool { return a.Ranges[i].To >= position })
	if i == len(a.Ranges) || a.Ranges[i].From == position {
		return
	}
	left, right := a.Ranges[i], a.Ranges[i]
	left.To, right.From = position-1, position
	a.Ranges = append(a.Ranges[:i], append([]Range{left, right}, a.Ranges[i+1:]...)...)
}

// Compact merges adjacent ranges that one server holds, under the higher fencing
// token, and clears the handovers for which delivered returns true. A token that
// rises for the same owner is safe: it stays above those of all earlier owners.
func (a *Assignment) Compact(delivered func(Range) bool) {
	merged := a.Ranges[:0:0]
	for _, r := range a.Ranges {
		if r.Handover != "" && r.Held() && delivered(r) {
			r.Handover = ""
		}
		if n := len(merged); n > 0 && joinable(merged[n-1], r) {
			merged[n-1].To, merged[n-1].Token = r.To, max(merged[n-1].Token, r.Token)
			continue
		}
		merged = append(merged, r)
	}
	a.Ranges = merged
}

// joinable reports whether two adjacent ranges can be merged.
func joinable(a, b Range) bool {
	return a.Held() && b.Held() && a.Owner == b.Owner && a.Incarnation == b.Incarnation && a.Address == b.Address && a.Handover == "" && b.Handover == ""
}
