package declaration

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// WholeDocument is the field of a conflict over the document's existence.
const WholeDocument = "(document)"

const labelField = "spec.labels."

// FieldConflict is one field that two operators changed differently.
type FieldConflict struct {
	Document Key    `json:"document"`
	Field    string `json:"field"`
	Base     string `json:"base"`
	Mine     string `json:"mine"`
	Theirs   string `json:"theirs"`
}

// String describes the conflict.
func (c FieldConflict) String() string {
	return fmt.Sprintf("%s field %s: you saw %s and set %s, it is now %s", c.Document, c.Field, c.Base, c.Mine, c.Theirs)
}

// FieldValues returns the fields that operators edit, each with its value.
// Every label is a field of its own. A nil document has none.
func (d *Document) FieldValues() map[string]string {
	out := make(map[string]string)
	if d == nil {
		return out
	}
	for name, value := range map[string]string{
		"metadata.description": d.Metadata.Description,
		"spec.service":         string(d.Spec.Service),
		"spec.server":          string(d.Spec.Server),
		"spec.key":             d.Spec.Key,
		"spec.prefix":          d.Spec.Prefix,
		"spec.pattern":         d.Spec.Pattern,
		"spec.keys":            d.Spec.Keys,
		"spec.callers":         d.Spec.Callers,
		"spec.servers":         d.Spec.Servers,
	} {
		if value != "" {
			out[name] = value
		}
	}
	for label, value := range d.Spec.Labels {
		out[labelField+label] = value
	}
	return out
}

func fromFieldValues(key Key, fields map[string]string) *Document {
	d := &Document{APIVersion: APIVersion, Kind: key.Kind, Metadata: Metadata{Name: key.Name, Description: fields["metadata.description"]}}
	d.Spec = Spec{
		Service: topology.ServiceName(fields["spec.service"]), Server: topology.ServerName(fields["spec.server"]),
		Key: fields["spec.key"], Prefix: fields["spec.prefix"], Pattern: fields["spec.pattern"],
		Keys: fields["spec.keys"], Callers: fields["spec.callers"], Servers: fields["spec.servers"],
	}
	for name, value := range fields {
		if label, ok := strings.CutPrefix(name, labelField); ok {
			if d.Spec.Labels == nil {
				d.Spec.Labels = make(topology.Labels)
			}
			d.Spec.Labels[label] = value
		}
	}
	return d
}

// ChangedFields returns the fields that differ between two versions of a
// document, sorted. A created or deleted document gives WholeDocument.
func ChangedFields(before, after *Document) []string {
	if before == nil && after == nil {
		return nil
	}
	if before == nil || after == nil {
		return []string{WholeDocument}
	}
	a, b := before.FieldValues(), after.FieldValues()
	var out []string
	for _, name := range fieldNames(a, b) {
		if differs(a, b, name) {
			out = append(out, name)
		}
	}
	return out
}

// Merge combines two edits of base field by field. A nil document means that
// it does not exist. The result carries no revision; it is only valid if there
// is no conflict.
func Merge(key Key, base, mine, theirs *Document) (*Document, []FieldConflict) {
	whole := func(mineText, theirsText string) []FieldConflict {
		return []FieldConflict{{Document: key, Field: WholeDocument, Base: existence(base), Mine: mineText, Theirs: theirsText}}
	}
	switch {
	case mine == nil && theirs == nil:
		return nil, nil
	case mine == nil:
		if base != nil && len(ChangedFields(base, theirs)) > 0 {
			return nil, whole("deleted", "changed in "+strings.Join(ChangedFields(base, theirs), ", "))
		}
		return nil, nil
	case theirs == nil && base != nil:
		if len(ChangedFields(base, mine)) > 0 {
			return nil, whole("changed in "+strings.Join(ChangedFields(base, mine), ", "), "deleted")
		}
		return nil, nil
	}
	return mergeFields(key, base.FieldValues(), mine.FieldValues(), theirs.FieldValues())
}

func mergeFields(key Key, base, mine, theirs map[string]string) (*Document, []FieldConflict) {
	merged := maps.Clone(theirs)
	var conflicts []FieldConflict
	for _, name := range fieldNames(base, mine, theirs) {
		switch {
		case !differs(base, mine, name) || !differs(mine, theirs, name):
		case differs(base, theirs, name):
			conflicts = append(conflicts, FieldConflict{
				Document: key, Field: name, Base: shown(base, name), Mine: shown(mine, name), Theirs: shown(theirs, name),
			})
		default:
			if value, present := mine[name]; present {
				merged[name] = value
			} else {
				delete(merged, name)
			}
		}
	}
	return fromFieldValues(key, merged), conflicts
}

func fieldNames(sets ...map[string]string) []string {
	var out []string
	for _, s := range sets {
		out = slices.AppendSeq(out, maps.Keys(s))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func differs(a, b map[string]string, name string) bool {
	x, inA := a[name]
	y, inB := b[name]
	return inA != inB || x != y
}

func shown(fields map[string]string, name string) string {
	if value, present := fields[name]; present {
		return fmt.Sprintf("%q", value)
	}
	return "no value"
}

func existence(d *Document) string {
	if d == nil {
		return "no document"
	}
	return "the document"
}
