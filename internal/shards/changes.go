package shards

import (
	"encoding/json"
	"fmt"
	"slices"
)

// changes is what differs between two assignments.
type changes struct {
	Base    int64   `json:"base"` // version of the earlier one
	Version int64   `json:"version"`
	Ranges  []Range `json:"ranges"`
}

// ChangesSince returns the ranges that differ from those of an earlier
// assignment, encoded. They are a small part of a large assignment, which would
// otherwise go to each host at each move.
func (a *Assignment) ChangesSince(base *Assignment) ([]byte, error) {
	old := make(map[Range]bool, len(base.Ranges))
	for _, r := range base.Ranges {
		old[r] = true
	}
	out := changes{Base: base.Version, Version: a.Version}
	for _, r := range a.Ranges {
		if !old[r] {
			out.Ranges = append(out.Ranges, r)
		}
	}
	return json.Marshal(out)
}

// WithChanges returns the assignment that ChangesSince compared with a.
func (a *Assignment) WithChanges(data []byte, revision int64) (*Assignment, error) {
	var in changes
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
	return out, out.check()
}
