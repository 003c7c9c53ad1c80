package shards

import (
	"encoding/json"
	"fmt"
	"slices"
)

// assignmentDelta holds the differences between two assignments.
type assignmentDelta struct {
	Base    int64   `json:"base"` // version of the earlier assignment
	Version int64   `json:"version"`
	Ranges  []Range `json:"ranges"`
}

// ChangesSince returns the encoded ranges that differ from those of an earlier
// assignment. They are a small part of a large assignment; without them each move
// would send the whole assignment to every host.
func (a *Assignment) ChangesSince(base *Assignment) ([]byte, error) {
	old := make(map[Range]bool, len(base.Ranges))
	for _, r := range base.Ranges {
		old[r] = true
	}
	out := assignmentDelta{Base: base.Version, Version: a.Version}
	for _, r := range a.Ranges {
		if !old[r] {
			out.Ranges = append(out.Ranges, r)
		}
	}
	return json.Marshal(out)
}

// WithChanges applies the result of ChangesSince to a, the earlier assignment, and
// returns the later one.
func (a *Assignment) WithChanges(data []byte, revision int64) (*Assignment, error) {
	var in assignmentDelta
	if err := json.Unmarshal(data, &in); err != nil {
		return nil, &InvalidError{Problem: err.Error()}
	}
	if in.Base != a.Version {
		return nil, &InvalidError{Problem: fmt.Sprintf("changes of version %d do not fit version %d", in.Base, a.Version)}
	}
	out := &Assignment{Version: in.Version, Revision: revision}
	for _, r := range a.Ranges {
		replaced := slices.ContainsFunc(in.Ranges, func(c Range) bool { return c.From <= r.To && r.From <= c.To })
		if !replaced {
			out.Ranges = append(out.Ranges, r)
		}
	}
	out.Ranges = append(out.Ranges, in.Ranges...)
	slices.SortFunc(out.Ranges, func(x, y Range) int { return int(x.From) - int(y.From) })
	return out, out.validate()
}
