package declaration

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// operator is the comparison of one requirement.
type operator uint8

const (
	opExists operator = iota
	opAbsent
	opIn
	opNotIn
)

// requirement is one condition on one label. Equality is opIn with one value.
type requirement struct {
	label  string
	op     operator
	values []string
}

// Selector is a conjunction of requirements on labels. The zero Selector
// matches everything.
type Selector struct{ requirements []requirement }

// SelectorError is a selector that cannot be parsed.
type SelectorError struct {
	Text   string
	Column int
	Reason string
}

// Error describes the failure.
func (e *SelectorError) Error() string {
	return fmt.Sprintf("selector %q, column %d: %s", e.Text, e.Column, e.Reason)
}

// ParseSelector parses requirements separated by commas: `a=x`, `a==x`, `a!=x`,
// `a in (x,y)`, `a notin (x,y)`, `a exists`, `a` and `!a`.
func ParseSelector(text string) (Selector, error) {
	p := &selectorParser{text: text}
	p.next()
	var s Selector
	if p.token == "" && !p.quoted {
		return s, p.err
	}
	for p.err == nil {
		s.requirements = append(s.requirements, p.requirement())
		if p.err == nil && p.token == "" && !p.quoted {
			break
		}
		p.expect(",")
	}
	if p.err != nil {
		return Selector{}, p.err
	}
	return s, nil
}

type selectorParser struct {
	text   string
	offset int
	start  int
	token  string // empty at the end
	quoted bool
	err    error
}

const selectorPunctuation = ",()=!\""

func (p *selectorParser) fail(format string, args ...any) {
	if p.err == nil {
		p.err = &SelectorError{Text: p.text, Column: p.start + 1, Reason: fmt.Sprintf(format, args...)}
	}
}

// next reads the next word, quoted value or punctuation.
func (p *selectorParser) next() {
	rest := strings.TrimLeft(p.text[p.offset:], " \t\n")
	p.start = len(p.text) - len(rest)
	p.quoted = false
	n := strings.IndexAny(rest, selectorPunctuation+" \t\n")
	switch {
	case rest == "":
		n = 0
	case strings.HasPrefix(rest, `"`):
		end := strings.IndexByte(rest[1:], '"')
		if end < 0 {
			p.fail("the quote is not closed")
			p.token, p.offset = "", len(p.text)
			return
		}
		p.quoted, p.token, p.offset = true, rest[1:1+end], p.start+end+2
		return
	case strings.HasPrefix(rest, "==") || strings.HasPrefix(rest, "!="):
		n = 2
	case n == 0:
		n = 1
	case n < 0:
		n = len(rest)
	}
	p.token, p.offset = rest[:n], p.start+n
}

func (p *selectorParser) expect(token string) {
	if p.quoted || p.token != token {
		p.fail("expected %q, found %q", token, p.token)
		return
	}
	p.next()
}

// word reads a label name or a value.
func (p *selectorParser) word(what string) string {
	if !p.quoted && (p.token == "" || strings.ContainsAny(p.token, selectorPunctuation)) {
		found := p.token
		if found == "" {
			found = "the end"
		}
		p.fail("expected %s, found %s", what, found)
		return ""
	}
	word := p.token
	p.next()
	return word
}

func (p *selectorParser) requirement() requirement {
	if !p.quoted && p.token == "!" {
		p.next()
		return requirement{label: p.word("a label"), op: opAbsent}
	}
	r := requirement{label: p.word("a label")}
	if p.quoted {
		p.fail("expected an operator, found a quoted value")
		return r
	}
	switch p.token {
	case "=", "==", "!=":
		r.op = opIn
		if p.token == "!=" {
			r.op = opNotIn
		}
		p.next()
		r.values = []string{p.word("a value")}
	case "in", "notin":
		r.op = opIn
		if p.token == "notin" {
			r.op = opNotIn
		}
		p.next()
		r.values = p.list()
	case "exists":
		p.next()
	case "", ",":
	default:
		p.fail("unknown operator %q%s", p.token, suggestion(p.token, []string{"in", "notin", "exists"}))
	}
	return r
}

func (p *selectorParser) list() []string {
	p.expect("(")
	values := []string{p.word("a value")}
	for p.err == nil && !p.quoted && p.token == "," {
		p.next()
		values = append(values, p.word("a value"))
	}
	p.expect(")")
	slices.Sort(values)
	return slices.Compact(values)
}

// IsEmpty reports whether the selector matches everything.
func (s Selector) IsEmpty() bool { return len(s.requirements) == 0 }

// String returns the selector in canonical form; parsing it gives s again.
func (s Selector) String() string {
	parts := make([]string, len(s.requirements))
	for i, r := range s.requirements {
		parts[i] = r.String()
	}
	return strings.Join(parts, ",")
}

// String returns the requirement in canonical form.
func (r requirement) String() string {
	values := make([]string, len(r.values))
	for i, v := range r.values {
		values[i] = quoteIfNeeded(v)
	}
	label := quoteIfNeeded(r.label)
	switch {
	case r.op == opExists:
		return label
	case r.op == opAbsent:
		return "!" + label
	case r.op == opIn && len(values) == 1:
		return label + "=" + values[0]
	case r.op == opNotIn && len(values) == 1:
		return label + "!=" + values[0]
	case r.op == opIn:
		return label + " in (" + strings.Join(values, ",") + ")"
	}
	return label + " notin (" + strings.Join(values, ",") + ")"
}

func quoteIfNeeded(s string) string {
	if s == "" || strings.ContainsAny(s, selectorPunctuation+" \t\n") {
		return `"` + s + `"`
	}
	return s
}

// accepts reports whether a label with the value, or its absence, meets r. As in
// Kubernetes, `!=` and `notin` also accept an absent label.
func (r *requirement) accepts(value string, present bool) bool {
	switch r.op {
	case opExists:
		return present
	case opAbsent:
		return !present
	case opIn:
		return present && r.lists(value)
	}
	return !present || !r.lists(value)
}

// lists reports whether value is one of the values, which are sorted.
func (r *requirement) lists(value string) bool {
	_, found := slices.BinarySearch(r.values, value)
	return found
}

func (r *requirement) matches(labels topology.Labels) bool {
	value, present := labels[r.label]
	return r.accepts(value, present)
}

// Matches reports whether labels meet every requirement.
func (s Selector) Matches(labels topology.Labels) bool {
	for i := range s.requirements {
		if !s.requirements[i].matches(labels) {
			return false
		}
	}
	return true
}

// matchesNamed is Matches for labels and the label own with the value name. It
// allocates nothing.
func (s Selector) matchesNamed(labels topology.Labels, own, name string) bool {
	for i := range s.requirements {
		r := &s.requirements[i]
		value, present := name, true
		if r.label != own {
			value, present = labels[r.label]
		}
		if !r.accepts(value, present) {
			return false
		}
	}
	return true
}

// Mismatch names the first requirement that labels do not meet, with the value
// found, or returns "".
func (s Selector) Mismatch(labels topology.Labels) string {
	for _, r := range s.requirements {
		if r.matches(labels) {
			continue
		}
		if value, present := labels[r.label]; present {
			return fmt.Sprintf("requires %s, found %s=%s", r, r.label, quoteIfNeeded(value))
		}
		return fmt.Sprintf("requires %s, found no label %s", r, r.label)
	}
	return ""
}

// Contradiction explains why no labels can ever meet the selector, or returns
// "" if some can.
func (s Selector) Contradiction() string {
	for i, r := range s.requirements {
		if r.op == opNotIn {
			continue
		}
		for j, other := range s.requirements {
			if i != j && other.label == r.label && r.op == opAbsent && (other.op == opExists || other.op == opIn) {
				return fmt.Sprintf("%s contradicts %s", r, other)
			}
		}
		if r.op != opIn {
			continue
		}
		left := slices.DeleteFunc(slices.Clone(r.values), func(v string) bool {
			return slices.ContainsFunc(s.requirements, func(o requirement) bool {
				return o.label == r.label && !o.matches(topology.Labels{r.label: v})
			})
		})
		if len(left) == 0 {
			return fmt.Sprintf("no value of %s meets all of %s", r.label, s)
		}
	}
	return ""
}
