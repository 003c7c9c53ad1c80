package topology

import (
	"cmp"
	"fmt"
	"time"
)

// counterBits is the width of the counter in the low bits of a Term; the
// remaining 48 bits hold milliseconds and last until the year 10889.
const counterBits = 16

// Term orders leaders. It is a hybrid logical timestamp: milliseconds of the
// candidate's wall clock in the high bits and a counter in the low bits, raised
// above every term the candidate has seen. Safety never depends on the wall
// clock; the milliseconds only make terms rise when witnesses have restarted.
type Term uint64

// NextTerm returns a term above seen that is not below the wall clock now.
func NextTerm(seen Term, now time.Time) Term {
	wall := Term(max(now.UnixMilli(), 0)) << counterBits
	return max(wall, seen+1)
}

// Version orders states that one leader publishes and orders leaders among
// each other: terms compare first, then sequences.
type Version struct {
	Term     Term   `json:"term"`
	Sequence uint64 `json:"sequence"`
}

// Compare returns -1, 0 or +1 as v is older than, equal to or newer than w.
func (v Version) Compare(w Version) int {
	if c := cmp.Compare(v.Term, w.Term); c != 0 {
		return c
	}
	return cmp.Compare(v.Sequence, w.Sequence)
}

// Newer reports whether v is newer than w.
func (v Version) Newer(w Version) bool { return v.Compare(w) > 0 }

// IsZero reports whether no version was set.
func (v Version) IsZero() bool { return v == Version{} }

// String returns "term.sequence".
func (v Version) String() string { return fmt.Sprintf("%d.%d", uint64(v.Term), v.Sequence) }
