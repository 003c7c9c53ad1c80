package declaration

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// Finding is a fault of a document in the context of all others. Warnings do
// not prevent a change.
type Finding struct {
	Document Key    `json:"document"`
	Field    string `json:"field,omitempty"`
	Warning  bool   `json:"warning,omitempty"`
	Reason   string `json:"reason"`
}

// String describes the finding.
func (f Finding) String() string {
	if f.Field == "" {
		return fmt.Sprintf("%s: %s", f.Document, f.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", f.Document, f.Field, f.Reason)
}

// Validate returns the findings about all documents of the set.
func (s *Set) Validate() []Finding {
	v := &validator{set: s, sorted: Sorted(s.documents), keyLabels: make(map[topology.ServiceName]known)}
	for _, d := range v.sorted {
		v.document(d)
		if d.Kind == KindKeyLabels {
			if v.keyLabels[d.Spec.Service] == nil {
				v.keyLabels[d.Spec.Service] = known{LabelKey: nil}
			}
			v.keyLabels[d.Spec.Service].add(d.Spec.Labels)
		}
	}
	serving := make(map[topology.ServiceName]int)
	for _, d := range v.sorted {
		if d.Kind == KindServingRule {
			serving[d.Spec.Service]++
		}
	}
	for _, d := range v.sorted {
		if n := serving[d.Spec.Service]; d.Kind == KindServingRule && n > maxServingRules {
			v.add(false, d, "", "service %s would have %d serving rules, the limit is %d", d.Spec.Service, n, maxServingRules)
		}
		if d.Kind == KindOwnershipRule || d.Kind == KindServingRule {
			v.rule(d)
		}
	}
	v.unownedKeys()
	return v.findings
}

type validator struct {
	set    *Set
	sorted []*Document
	// keyLabels holds for each service the labels that some key has.
	keyLabels map[topology.ServiceName]known
	findings  []Finding
}

// known holds the values that occur of each label; a nil set stands for any.
type known map[string]map[string]bool

func (k known) add(labels topology.Labels) {
	for name, value := range labels {
		if k[name] == nil {
			k[name] = make(map[string]bool)
		}
		k[name][value] = true
	}
}

func (v *validator) add(warning bool, d *Document, field, format string, args ...any) {
	v.findings = append(v.findings, Finding{Document: d.Key(), Field: field, Warning: warning, Reason: fmt.Sprintf(format, args...)})
}

func (v *validator) document(d *Document) {
	for _, fault := range d.Check() {
		v.add(false, d, fault.Field, "%s", fault.Reason)
	}
	service := v.set.services[d.Spec.Service]
	if service == nil {
		names := sortedNames(v.set.services)
		v.add(false, d, "spec.service", "no service %q%s", d.Spec.Service, suggestion(string(d.Spec.Service), names))
		return
	}
	switch d.Kind {
	case KindServerLabels:
		if _, ok := service.index[d.Spec.Server]; !ok {
			names := sortedNames(service.index)
			v.add(false, d, "spec.server", "service %s has no server %q%s", d.Spec.Service, d.Spec.Server, suggestion(string(d.Spec.Server), names))
		}
	case KindKeyLabels, KindOwnershipRule:
		if !service.partitioned {
			v.add(false, d, "spec.service", "service %s is not partitioned by key; use a ServingRule", d.Spec.Service)
		}
	case KindServingRule:
		if service.partitioned {
			v.add(false, d, "spec.service", "service %s is partitioned by key: the owner serves; use an OwnershipRule", d.Spec.Service)
		}
	}
	v.doubleLabels(d, service)
}

func sortedNames[K ~string, V any](m map[K]V) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, string(name))
	}
	slices.Sort(names)
	return names
}

// doubleLabels reports a second document that gives the same label to the same
// server, key, prefix or pattern another value: which one wins would depend on
// the documents' names.
func (v *validator) doubleLabels(d *Document, service *serviceSet) {
	var others []*Document
	switch d.Kind {
	case KindServerLabels:
		if i, ok := service.index[d.Spec.Server]; ok {
			others = service.servers[i].given
		}
	case KindKeyLabels:
		others = append(others, service.keys.exact[d.Spec.Key]...)
		others = append(others, service.keys.prefixes[d.Spec.Prefix]...)
	}
	for _, other := range others {
		if other.Key() == d.Key() {
			continue
		}
		for label, value := range d.Spec.Labels {
			if otherValue, ok := other.Spec.Labels[label]; ok && otherValue != value {
				v.add(false, d, labelField+label, "%s gives the label another value, %q", other.Key(), otherValue)
			}
		}
	}
}

func (v *validator) rule(d *Document) {
	service := v.set.services[d.Spec.Service]
	if service == nil {
		return
	}
	servers, err := ParseSelector(d.Spec.Servers)
	if err != nil {
		return
	}
	matched := 0
	for _, server := range service.servers {
		if servers.Matches(server.labels) {
			matched++
		}
	}
	if matched == 0 {
		serverLabels := make(known)
		for _, server := range service.servers {
			serverLabels.add(server.labels)
		}
		v.add(true, d, "spec.servers", "matches none of the %d servers of %s%s", len(service.servers), d.Spec.Service, unknownNames(servers, serverLabels))
	}
	if d.Kind != KindOwnershipRule {
		return
	}
	keys, err := ParseSelector(d.Spec.Keys)
	if err != nil || keys.IsEmpty() {
		return
	}
	if hint := unknownNames(keys, v.keyLabels[d.Spec.Service]); hint != "" {
		v.add(true, d, "spec.keys", "selects by a label or value that no key has%s", hint)
	}
}

// unknownNames lists the labels and the values of equalities in s that nothing
// has.
func unknownNames(s Selector, known known) string {
	var hints strings.Builder
	for _, r := range s.requirements {
		values, ok := known[r.label]
		if !ok && r.op != opAbsent && r.op != opNotIn {
			fmt.Fprintf(&hints, "; no label %s%s", r.label, suggestion(r.label, sortedNames(known)))
		}
		if r.op != opIn || values == nil {
			continue
		}
		for _, value := range r.values {
			if !values[value] {
				fmt.Fprintf(&hints, "; no %s=%s%s", r.label, value, suggestion(value, sortedNames(values)))
			}
		}
	}
	return hints.String()
}

// unownedKeys warns of keys that rules and drains leave without a server.
func (v *validator) unownedKeys() {
	warned := map[string]bool{}
	warn := func(d *Document, service *serviceSet, group *Group, what string) {
		id := string(d.Spec.Service) + "/" + group.ID
		if len(group.Servers) > 0 || warned[id] || !service.partitioned {
			return
		}
		warned[id] = true
		v.add(true, d, "", "%s have no eligible server under the rules [%s]: their last owners keep them", what, group.ID)
	}
	seen := make(map[topology.ServiceName]bool)
	literal := strings.NewReplacer("*", "", "?", "x")
	for _, d := range v.sorted {
		service := v.set.services[d.Spec.Service]
		if service == nil || !service.partitioned {
			continue
		}
		if !seen[d.Spec.Service] {
			seen[d.Spec.Service] = true
			warn(d, service, v.set.DefaultGroup(d.Spec.Service), "keys without labels")
		}
		if d.Kind != KindKeyLabels {
			continue
		}
		example := d.Spec.Key + d.Spec.Prefix + literal.Replace(d.Spec.Pattern)
		warn(d, service, v.set.GroupOf(d.Spec.Service, example), fmt.Sprintf("keys of %s", d.Key()))
	}
}
