package declaration

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// keyIndex finds the KeyLabels documents of a key without reading all of them.
type keyIndex struct {
	exact    map[string][]*Document
	prefixes map[string][]*Document
	lengths  []int // of prefixes, ascending
	patterns []*Document
}

func (x *keyIndex) add(d *Document) {
	put := func(m *map[string][]*Document, at string) {
		if *m == nil {
			*m = make(map[string][]*Document)
		}
		(*m)[at] = append((*m)[at], d)
	}
	switch {
	case d.Spec.Key != "":
		put(&x.exact, d.Spec.Key)
	case d.Spec.Prefix != "":
		put(&x.prefixes, d.Spec.Prefix)
		x.lengths = append(x.lengths, len(d.Spec.Prefix))
	case d.Spec.Pattern != "":
		x.patterns = append(x.patterns, d)
	}
}

func (x *keyIndex) finish() {
	slices.Sort(x.lengths)
	x.lengths = slices.Compact(x.lengths)
	slices.SortFunc(x.patterns, func(a, b *Document) int { return cmp.Compare(a.Metadata.Name, b.Metadata.Name) })
}

// documents returns the documents that apply to key. Where two give the same
// label the later wins: patterns by name, then prefixes from short to long,
// then the exact key.
func (x *keyIndex) documents(key string) []*Document {
	var out []*Document
	for _, d := range x.patterns {
		if matchPattern(d.Spec.Pattern, key) {
			out = append(out, d)
		}
	}
	for _, n := range x.lengths {
		if n <= len(key) {
			out = append(out, x.prefixes[key[:n]]...)
		}
	}
	return append(out, x.exact[key]...)
}

// labeled reports whether any document applies to key.
func (x *keyIndex) labeled(key string) bool {
	if _, ok := x.exact[key]; ok {
		return true
	}
	for _, n := range x.lengths {
		if n <= len(key) {
			if _, ok := x.prefixes[key[:n]]; ok {
				return true
			}
		}
	}
	return slices.ContainsFunc(x.patterns, func(d *Document) bool { return matchPattern(d.Spec.Pattern, key) })
}

// labels returns the labels of key and the document that gave each.
func (x *keyIndex) labels(key string) (topology.Labels, map[string]Key) {
	labels := topology.Labels{LabelKey: key}
	sources := make(map[string]Key)
	for _, d := range x.documents(key) {
		for name, value := range d.Spec.Labels {
			labels[name] = value
			sources[name] = d.Key()
		}
	}
	return labels, sources
}

// matchPattern reports whether text matches pattern, where * stands for any
// text and ? for one byte. It runs in O(len(pattern) × len(text)).
func matchPattern(pattern, text string) bool {
	p, t := 0, 0
	star, mark := -1, 0
	for t < len(text) {
		switch {
		case p < len(pattern) && pattern[p] == '*':
			star, mark = p, t
			p++
		case p < len(pattern) && (pattern[p] == '?' || pattern[p] == text[t]):
			p++
			t++
		case star >= 0:
			mark++
			p, t = star+1, mark
		default:
			return false
		}
	}
	return strings.Trim(pattern[p:], "*") == ""
}
