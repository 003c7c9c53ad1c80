package configsync

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/declaration"
	"github.com/cassiasill/cassiasill/internal/store"
)

// Size limits of a change.
const (
	// MaxDocuments keeps a transaction below 128 writes, the usual limit of
	// the store, with the head, the history and a second small change in it.
	MaxDocuments = 100
	// MaxChangeBytes leaves room for the history entry, which repeats the
	// documents and must fit in one value of the store.
	MaxChangeBytes = store.MaxValueBytes * 3 / 4
	maxOps         = 120
)

// Edit changes, creates or deletes one document. Exactly one of BaseRevision
// and BaseAbsent is set; it identifies what the edit was based on.
type Edit struct {
	Key declaration.Key `json:"key"`
	// BaseRevision is the revision of the document that the operator edited.
	BaseRevision uint64 `json:"baseRevision,omitempty"`
	// BaseAbsent is true if the document did not exist when it was edited.
	BaseAbsent bool `json:"baseAbsent,omitempty"`
	// Document is the desired content; nil deletes the document.
	Document *declaration.Document `json:"document,omitempty"`
}

// Change is a set of edits that take effect together or not at all.
type Change struct {
	ID      string `json:"id"`
	Author  string `json:"-"`
	Message string `json:"message,omitempty"`
	Edits   []Edit `json:"edits"`
}

// Check refuses a change that is malformed or too large.
func (c *Change) Check() error {
	if err := checkID(c.ID); err != nil {
		return err
	}
	if len(c.Edits) == 0 {
		return apierror.New(apierror.KindBadRequest, "the change has no edits")
	}
	if len(c.Edits) > MaxDocuments {
		return apierror.New(apierror.KindTooLarge, "the change has %d documents, the limit is %d: split it", len(c.Edits), MaxDocuments)
	}
	seen := make(map[declaration.Key]bool)
	total := 0
	for _, e := range c.Edits {
		if seen[e.Key] {
			return apierror.New(apierror.KindBadRequest, "%s is in the change twice", e.Key)
		}
		seen[e.Key] = true
		if (e.BaseRevision == 0) != e.BaseAbsent {
			return apierror.New(apierror.KindBadRequest, "%s: exactly one of baseRevision and baseAbsent is needed", e.Key)
		}
		if e.Document == nil {
			continue
		}
		if e.Document.Key() != e.Key {
			return apierror.New(apierror.KindBadRequest, "%s: the document in the edit is %s", e.Key, e.Document.Key())
		}
		size := len(e.Document.Encode())
		if size > MaxChangeBytes {
			return apierror.New(apierror.KindTooLarge, "%s has %d bytes, the limit is %d", e.Key, size, MaxChangeBytes)
		}
		total += size
	}
	if total > MaxChangeBytes {
		return apierror.New(apierror.KindTooLarge, "the change has %d bytes in %d documents, the limit is %d: split it", total, len(c.Edits), MaxChangeBytes)
	}
	return nil
}

func checkID(id string) error {
	if len(id) < 8 || len(id) > 64 || strings.ContainsAny(id, "/ ") {
		return apierror.New(apierror.KindBadRequest, "the change's id %q must have 8 to 64 characters without slash and space", id)
	}
	return nil
}

// needsHistory reports whether the change was based on a version of a document
// that is no longer the current one.
func (c *Change) needsHistory(s State) bool {
	return slices.ContainsFunc(c.Edits, func(e Edit) bool {
		current := s.Documents[e.Key]
		return e.BaseAbsent != (current == nil) || current != nil && current.Metadata.Revision != e.BaseRevision
	})
}

// plannedChange is a change that is merged and validated but not yet written.
type plannedChange struct {
	state    State
	accepted Accepted
	warnings []declaration.Finding
}

// planChange merges a change into state and validates the result. It is a pure
// function of its arguments. If accepted.Edits is empty, the change has no effect.
func planChange(state State, change Change, history []Accepted, inventory declaration.Inventory, now time.Time) (plannedChange, error) {
	p, err := mergeChange(state, change, history, now)
	if err != nil || len(p.accepted.Edits) == 0 {
		return p, err
	}
	one := []plannedChange{p}
	err = validatePlans(&state, one, inventory)
	return one[0], err
}

// mergeChange merges a change into state.
func mergeChange(state State, change Change, history []Accepted, now time.Time) (plannedChange, error) {
	next := State{Revision: state.Revision + 1, Documents: maps.Clone(state.Documents), Digest: state.Digest, headMod: state.headMod}
	if next.Documents == nil {
		next.Documents = make(map[declaration.Key]*declaration.Document)
	}
	accepted := Accepted{
		ID: change.ID, Author: change.Author, Message: change.Message, Time: now.UTC(), Revision: next.Revision, From: state.Revision,
	}
	var conflicts []string
	for _, e := range change.Edits {
		current := state.Documents[e.Key]
		base, err := findBase(e, current, history)
		if err != nil {
			return plannedChange{}, err
		}
		merged, fields := declaration.Merge(e.Key, base, e.Document, current)
		for _, f := range fields {
			conflicts = append(conflicts, describeConflict(f, e.BaseRevision, history))
		}
		if len(fields) > 0 || len(declaration.ChangedFields(current, merged)) == 0 {
			continue
		}
		accepted.Edits = append(accepted.Edits, next.put(e, current, merged, accepted))
	}
	if len(conflicts) > 0 {
		return plannedChange{}, apierror.New(apierror.KindConflict,
			"%s. Nothing of your change was applied. Read the document again (cassiasillctl get), decide which value is right and apply again",
			strings.Join(conflicts, "; "))
	}
	if len(accepted.Edits) == 0 {
		return plannedChange{state: state, accepted: Accepted{ID: change.ID, Revision: state.Revision}}, nil
	}
	if size := len(mustMarshal(accepted)); size > store.MaxValueBytes {
		return plannedChange{}, apierror.New(apierror.KindTooLarge, "the change takes %d bytes in the history, the limit is %d: split it", size, store.MaxValueBytes)
	}
	return plannedChange{state: next, accepted: accepted}, nil
}

// Preview returns what a change would do to the documents of a set, without
// writing anything. Without the history only edits of the current versions can
// be previewed.
func Preview(set *declaration.Set, change Change, inventory declaration.Inventory) (Result, *declaration.Set, error) {
	state := State{Revision: set.Revision(), Documents: set.Documents(), Digest: set.Digest()}
	p, err := planChange(state, change, nil, inventory, time.Now())
	if err != nil {
		return Result{}, nil, err
	}
	after := declaration.Compile(p.state.Revision, p.state.Documents, inventory)
	return Result{ID: change.ID, Revision: p.state.Revision, Edits: p.accepted.Edits, Warnings: p.warnings}, after, nil
}

// put replaces one document in the state and returns its history.
func (s *State) put(e Edit, before, after *declaration.Document, by Accepted) AcceptedEdit {
	edit := AcceptedEdit{Document: e.Key, Action: ActionChanged, Seen: e.BaseRevision, Fields: declaration.ChangedFields(before, after)}
	if before == nil {
		edit.Action = ActionCreated
	} else {
		s.Digest -= before.Hash()
	}
	if after == nil {
		edit.Action = ActionDeleted
		delete(s.Documents, e.Key)
		return edit
	}
	after.Metadata.Revision = by.Revision
	after.Metadata.ChangedBy = by.Author
	after.Metadata.ChangedAt = by.Time.Format(time.RFC3339)
	s.Documents[e.Key] = after
	s.Digest += after.Hash()
	edit.After = after
	return edit
}

// findBase returns the version of the document that the operator edited.
func findBase(e Edit, current *declaration.Document, history []Accepted) (*declaration.Document, error) {
	if e.BaseAbsent {
		return nil, nil
	}
	if current != nil && current.Metadata.Revision == e.BaseRevision {
		return current, nil
	}
	for _, a := range history {
		if a.Revision != e.BaseRevision {
			continue
		}
		for _, edit := range a.Edits {
			if edit.Document == e.Key && edit.After != nil {
				return edit.After, nil
			}
		}
	}
	return nil, apierror.New(apierror.KindConflict,
		"%s: your edit started from revision %d, which is not in the history any more. Read the document again (cassiasillctl get), repeat the edit and apply",
		e.Key, e.BaseRevision)
}

// describeConflict describes a conflict, with the author of the latest change of
// the field after revision since.
func describeConflict(f declaration.FieldConflict, since uint64, history []Accepted) string {
	var who *Accepted
	for i, a := range history {
		if a.Revision <= since || a.Refused || who != nil && a.Revision < who.Revision {
			continue
		}
		if slices.ContainsFunc(a.Edits, func(e AcceptedEdit) bool {
			return e.Document == f.Document && (f.Field == declaration.WholeDocument ||
				slices.Contains(e.Fields, f.Field) || slices.Contains(e.Fields, declaration.WholeDocument))
		}) {
			who = &history[i]
		}
	}
	if who == nil {
		return f.String()
	}
	return fmt.Sprintf("%s, changed by %s at %s in revision %d", f, who.Author, who.Time.Format(time.RFC3339), who.Revision)
}

// validatePlans validates the last plan's state, which the plans reach one after
// the other from before. It returns an error for faults in documents that the
// plans change, and sets the warnings of each plan.
func validatePlans(before *State, plans []plannedChange, inventory declaration.Inventory) error {
	before.ensureFindings(inventory)
	known := make(map[declaration.Finding]bool)
	for _, f := range before.findings {
		known[f] = true
	}
	after := &plans[len(plans)-1].state
	after.ensureFindings(inventory)
	var faults []string
	for i := range plans {
		touched := make(map[declaration.Key]bool)
		for _, e := range plans[i].accepted.Edits {
			touched[e.Document] = true
		}
		plans[i].warnings = nil
		for _, f := range after.findings {
			switch {
			case !f.Warning && touched[f.Document]:
				faults = append(faults, f.String())
			case touched[f.Document] || !known[f]:
				plans[i].warnings = append(plans[i].warnings, f)
			}
		}
	}
	if len(faults) > 0 {
		return apierror.New(apierror.KindInvalidDocument, "%s", strings.Join(faults, "; "))
	}
	return nil
}

// ensureFindings validates the state unless that was done before.
func (s *State) ensureFindings(inventory declaration.Inventory) {
	if !s.validated {
		s.findings, s.validated = declaration.Compile(s.Revision, s.Documents, inventory).Validate(), true
	}
}

// buildOps returns the writes that turn before into the last plan's state.
func buildOps(before State, plans []plannedChange) []store.Op {
	after := plans[len(plans)-1].state
	touched := make(map[declaration.Key]bool)
	var ops []store.Op
	for _, p := range plans {
		for _, e := range p.accepted.Edits {
			touched[e.Document] = true
		}
		ops = append(ops, store.Put(changeKey(p.accepted.ID), mustMarshal(p.accepted)))
	}
	for _, key := range slices.SortedFunc(maps.Keys(touched), declaration.Key.Compare) {
		if d := after.Documents[key]; d != nil {
			ops = append(ops, store.Put(documentKey(key), d.Encode()))
		} else if before.Documents[key] != nil {
			ops = append(ops, store.Delete(documentKey(key)))
		}
	}
	h := head{Revision: after.Revision, LastID: plans[len(plans)-1].accepted.ID, Digest: after.Digest}
	return append(ops, store.Put(headKey, mustMarshal(h)))
}
