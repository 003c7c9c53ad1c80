package topology

import (
	"cmp"
	"fmt"
	"time"
)

// counterBits is the width of the counter in the low bits of a Term. The
// remaining 48 bits hold Unix milliseconds, which suffices until the year 10889.
const counterBits = 16

// Term is the election term of a leader. It is a hybrid logical timestamp: the
// candidate's wall clock in milliseconds in the high bits and a counter in the
// low bits. A new term is higher than every term that the candidate has seen.
// Safety does not depend on the wall clock. The milliseconds only let terms
// increase after witnesses have restarted.
type Term uint64

// NextTerm returns a term that is higher than seen and not lower than the term
// that corresponds to now.
func NextTerm(seen Term, now time.Time) Term {
	wall := Term(max(now.UnixMilli(), 0)) << counterBits
	return max(wall, seen+1)
}

// Version orders the states that leaders publish: by the leader's term first,
// then by the sequence within that term.
type Version struct {
	Term     Term   `json:"term"`
	Sequence uint64 `json:"sequence"`
}

// Compare returns -1 if v is older than w, 0 if they are equal and +1 if v is newer.
func (v Version) Compare(w Version) int {
	if c := cmp.Compare(v.Term, w.Term); c != 0 {
		return c
	}
	return cmp.Compare(v.Sequence, w.Sequence)
}

// NewerThan reports whether v is newer than w.
func (v Version) NewerThan(w Version) bool { return v.Compare(w) > 0 }

// IsZero reports whether v is the zero version, which means that none is set.
func (v Version) IsZero() bool { return v == Version{} }

// String returns "term.sequence".
func (v Version) String() string { return fmt.Sprintf("%d.%d", uint64(v.Term), v.Sequence) }
