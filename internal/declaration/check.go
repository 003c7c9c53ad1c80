package declaration

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"unicode"
)

// Limits on names; they keep store keys and tables readable.
const (
	maxNameBytes  = 200
	maxValueBytes = 500
)

// nameSyntax is what isName accepts, for the JSON Schema.
const nameSyntax = `^[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?$`

// isName reports whether s is made of letters, digits, '.', '_' and '-' and
// begins and ends with a letter or digit.
func isName(s string) bool {
	if s == "" || !isAlphanumeric(s[0]) || !isAlphanumeric(s[len(s)-1]) {
		return false
	}
	for i := range len(s) {
		if !isAlphanumeric(s[i]) && s[i] != '.' && s[i] != '_' && s[i] != '-' {
			return false
		}
	}
	return true
}

func isAlphanumeric(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}

// isLabelName reports whether s is a name, or two names joined by a slash.
func isLabelName(s string) bool {
	prefix, name, ok := strings.Cut(s, "/")
	return isName(prefix) && (!ok || isName(name))
}

// Check returns the faults that a document has on its own.
func (d *Document) Check() []*DocumentError {
	var faults []*DocumentError
	fail := func(field, format string, args ...any) {
		faults = append(faults, &DocumentError{Document: d.Key(), Field: field, Reason: fmt.Sprintf(format, args...)})
	}
	if d.APIVersion != APIVersion {
		fail("apiVersion", "must be %q, found %q", APIVersion, d.APIVersion)
	}
	if Fields(d.Kind) == nil {
		if kind, err := ParseKind(string(d.Kind)); err != nil {
			fail("kind", "%v", err)
		} else {
			fail("kind", "must be written %q", kind)
		}
		return faults
	}
	if !isName(d.Metadata.Name) || len(d.Metadata.Name) > maxNameBytes {
		fail("metadata.name", "%q is not a name of letters, digits, '.', '_' and '-', at most %d bytes", d.Metadata.Name, maxNameBytes)
	}
	d.checkSpec(fail)
	return faults
}

func (d *Document) checkSpec(fail func(field, format string, args ...any)) {
	values := d.FieldValues()
	allowed := map[string]bool{"metadata.description": true}
	for _, f := range Fields(d.Kind) {
		name := "spec." + f.Name
		allowed[name] = true
		value, present := values[name]
		if f.Name == "labels" {
			present = len(d.Spec.Labels) > 0
		}
		if f.Required && !present {
			fail(name, "is missing")
		}
		if f.Selector {
			s, err := ParseSelector(value)
			if err != nil {
				fail(name, "%v", err)
			} else if reason := s.Contradiction(); reason != "" {
				fail(name, "the selector can match nothing: %s", reason)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(values)) {
		label, isLabel := strings.CutPrefix(name, labelField)
		switch {
		case isLabel && allowed["spec.labels"]:
			d.checkLabel(label, values[name], fail)
		case !allowed[name]:
			fail(name, "does not belong to kind %s", d.Kind)
		}
	}
	if d.Kind == KindKeyLabels {
		given := 0
		for _, v := range []string{d.Spec.Key, d.Spec.Prefix, d.Spec.Pattern} {
			if v != "" {
				given++
			}
		}
		if given != 1 {
			fail("spec", "exactly one of key, prefix and pattern is needed, found %d", given)
		}
	}
}

func (d *Document) checkLabel(label, value string, fail func(field, format string, args ...any)) {
	field := labelField + label
	if !isLabelName(label) || len(label) > maxNameBytes {
		fail(field, "%q is not a label name", label)
	}
	if len(value) > maxValueBytes || strings.ContainsFunc(value, func(r rune) bool { return r == '"' || unicode.IsControl(r) }) {
		fail(field, "the value must have no quotes and control characters and at most %d bytes", maxValueBytes)
	}
	if !strings.HasPrefix(label, ReservedPrefix) {
		return
	}
	switch {
	case label != LabelDrain || d.Kind != KindServerLabels:
		fail(field, "labels with the prefix %s are set by the router%s", ReservedPrefix, suggestion(label, []string{LabelDrain}))
	case value != "true" && value != "false":
		fail(field, `must be "true" or "false", found %q`, value)
	}
}
