// Package shards assigns the key positions of a service to its servers.
//
// An Assignment is the plan that is committed to the store before anything is
// done about it. A range is held by one server under a token, or released:
// then it is renewed no longer and is being taken from its server. Tokens are
// versions of the assignment, so every owner of a position has a token above
// those of all earlier owners.
package shards

import (
	"encoding/json"
	"fmt"
	"sort"
	"time"
)

// Positions is the number of key positions.
const Positions = 1 << 16

// Grant is a range of positions as it is given to a server.
type Grant struct {
	From, To uint16 // inclusive
	Token    int64
	// Hold is how long the server may use the range from the call's arrival.
	Hold time.Duration
	// Handover lets the server take over what the last holder had cached.
	Handover string
}

// OrderError is a grant or release that did not succeed.
type OrderError struct {
	// Outdated: the server has seen a higher token.
	Outdated bool
	// Refused: the server answered and did not carry the order out. If
	// neither is set the order may still be carried out.
	Refused bool
	// NotSent: no connection could be opened, so it will not be carried out.
	NotSent bool
	// Ended: the session with the server has ended.
	Ended bool
	Err   error
}

// Error describes the failure.
func (e *OrderError) Error() string { return fmt.Sprintf("order: %v", e.Err) }

// Unwrap returns the cause.
func (e *OrderError) Unwrap() error { return e.Err }

// Range is a run of positions with one state.
type Range struct {
	From  uint16 `json:"from"`
	To    uint16 `json:"to"` // inclusive
	Owner string `json:"owner,omitempty"`
	// Born tells the owner's lives apart.
	Born  int64 `json:"born,omitempty"`
	Token int64 `json:"token,omitempty"`
	// Handover is passed with the grant until the owner has acknowledged it.
	Handover string `json:"handover,omitempty"`
	// Released is the token under which the range is being taken from Owner; 0
	// while it is held.
	Released int64 `json:"released,omitempty"`
	// Target is the next owner that was planned at the release; it may have
	// become unusable since.
	Target string `json:"target,omitempty"`
}

// Width returns the number of positions.
func (r Range) Width() int { return int(r.To) - int(r.From) + 1 }

// Held reports whether the range is to be renewed at its owner.
func (r Range) Held() bool { return r.Owner != "" && r.Released == 0 }

// Assignment covers all positions with ranges in ascending order.
type Assignment struct {
	Version int64   `json:"version"`
	Ranges  []Range `json:"ranges"`
	// Revision is the store's revision of the entry.
	Revision int64 `json:"-"`
}

// Decode decodes and checks a committed assignment.
func Decode(data []byte, revision int64) (*Assignment, error) {
	a := &Assignment{}
	if err := json.Unmarshal(data, a); err != nil {
		return nil, &InvalidError{Problem: err.Error()}
	}
	a.Revision = revision
	return a, a.check()
}

// Encode returns the form that Decode reads.
func (a *Assignment) Encode() ([]byte, error) { return json.Marshal(a) }

// InvalidError is an assignment that breaks a rule of its form.
type InvalidError struct{ Problem string }

// Error names the problem.
func (e *InvalidError) Error() string { return "assignment: " + e.Problem }

func (a *Assignment) check() error {
	next := 0
	for _, r := range a.Ranges {
		if int(r.From) != next || r.To < r.From {
			return &InvalidError{Problem: fmt.Sprintf("range %d-%d does not follow position %d", r.From, r.To, next-1)}
		}
		if r.Token > a.Version || r.Released > a.Version {
			return &InvalidError{Problem: fmt.Sprintf("range %d-%d has a token above version %d", r.From, r.To, a.Version)}
		}
		next = int(r.To) + 1
	}
	if next != Positions {
		return &InvalidError{Problem: fmt.Sprintf("covers %d of %d positions", next, Positions)}
	}
	return nil
}

// Find returns the range that holds position.
func (a *Assignment) Find(position uint16) *Range {
	i := sort.Search(len(a.Ranges), func(i int) bool { return a.Ranges[i].To >= position })
	if i == len(a.Ranges) {
		return nil
	}
	return &a.Ranges[i]
}

// Next returns a copy with the next version, to be changed and committed.
func (a *Assignment) Next() *Assignment {
	return &Assignment{Version: a.Version + 1, Ranges: append([]Range(nil), a.Ranges...)}
}

// Move is a piece of a held range and its next owner.
type Move struct {
	From, To uint16
	Target   string
}

// Release marks the held pieces of the moves as released under a's version.
func (a *Assignment) Release(moves []Move) {
	for _, m := range moves {
		a.Split(m.From, m.To)
		for i := range a.Ranges {
			r := &a.Ranges[i]
			if r.From >= m.From && r.To <= m.To && r.Held() {
				r.Released, r.Target = a.Version, m.Target
			}
		}
	}
}

// Own gives the range that starts at from to a new owner under a's version.
func (a *Assignment) Own(from uint16, owner string, born int64, handover string) {
	for i := range a.Ranges {
		if r := &a.Ranges[i]; r.From == from {
			*r = Range{From: r.From, To: r.To, Owner: owner, Born: born, Token: a.Version, Handover: handover}
		}
	}
}

// Split makes from the first and to the last position of a range.
func (a *Assignment) Split(from, to uint16) {
	a.split(from)
	if to < Positions-1 {
		a.split(to + 1)
	}
}

// split makes position the start of a range.
func (a *Assignment) split(position uint16) {
	i := sort.Search(len(a.Ranges), func(i int) bool { return a.Ranges[i].To >= position })
	if i == len(a.Ranges) || a.Ranges[i].From == position {
		return
	}
	left, right := a.Ranges[i], a.Ranges[i]
	left.To, right.From = position-1, position
	a.Ranges = append(a.Ranges[:i], append([]Range{left, right}, a.Ranges[i+1:]...)...)
}

// Compact joins neighbours that one server holds, under the higher token, and
// drops the handovers that delivered accepts. A token that rises at the same
// owner is harmless: it stays above those of all earlier owners.
func (a *Assignment) Compact(delivered func(Range) bool) {
	out := a.Ranges[:0:0]
	for _, r := range a.Ranges {
		if r.Handover != "" && r.Held() && delivered(r) {
			r.Handover = ""
		}
		if n := len(out); n > 0 && joinable(out[n-1], r) {
			out[n-1].To, out[n-1].Token = r.To, max(out[n-1].Token, r.Token)
			continue
		}
		out = append(out, r)
	}
	a.Ranges = out
}

func joinable(a, b Range) bool {
	return a.Held() && b.Held() && a.Owner == b.Owner && a.Born == b.Born && a.Handover == "" && b.Handover == ""
}
