package declaration

import (
	"maps"
	"sync"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// Compile builds the set of the documents at a revision. Documents that do not
// fit the inventory are left without effect; Validate reports them.
func Compile(revision uint64, documents map[Key]*Document, inventory Inventory) *Set {
	s := &Set{
		revision: revision, documents: documents, digest: sync.OnceValue(func() uint64 { return Digest(documents) }),
		services: make(map[topology.ServiceName]*serviceSet, len(inventory.Services)), callers: inventory.Callers,
	}
	for _, service := range inventory.Services {
		s.services[service.Name] = newServiceSet(service)
	}
	sorted := Sorted(documents)
	for _, d := range sorted {
		if target := s.services[d.Spec.Service]; target != nil {
			target.addLabels(d)
		}
	}
	for _, service := range s.services {
		service.finishLabels()
	}
	for _, d := range sorted {
		if target := s.services[d.Spec.Service]; target != nil {
			target.addRule(d)
		}
	}
	return s
}

func newServiceSet(service Service) *serviceSet {
	out := &serviceSet{partitioned: service.Partitioned, index: make(map[topology.ServerName]int)}
	for i, server := range service.Servers {
		labels := maps.Clone(server.Labels)
		if labels == nil {
			labels = make(topology.Labels)
		}
		labels[LabelServer] = string(server.Name)
		labels[LabelAvailabilityZone] = string(server.AvailabilityZone)
		out.servers = append(out.servers, serverState{name: server.Name, labels: labels, sources: make(map[string]Key)})
		out.index[server.Name] = i
	}
	return out
}

func (s *serviceSet) addLabels(d *Document) {
	switch d.Kind {
	case KindServerLabels:
		i, ok := s.index[d.Spec.Server]
		if !ok {
			return
		}
		s.servers[i].given = append(s.servers[i].given, d)
		for name, value := range d.Spec.Labels {
			s.servers[i].labels[name] = value
			s.servers[i].sources[name] = d.Key()
		}
	case KindKeyLabels:
		s.keys.add(d)
	}
}

func (s *serviceSet) finishLabels() {
	for i := range s.servers {
		server := &s.servers[i]
		server.drained = server.labels[LabelDrain] == "true"
		if !server.drained {
			s.live = append(s.live, server.name)
		}
	}
	s.keys.finish()
}

func (s *serviceSet) addRule(d *Document) {
	r := rule{document: d, selected: make([]bool, len(s.servers))}
	subjects := d.Spec.Keys
	if d.Kind == KindServingRule {
		subjects = d.Spec.Callers
	}
	var err, err2 error
	r.subjects, err = ParseSelector(subjects)
	r.servers, err2 = ParseSelector(d.Spec.Servers)
	if err != nil || err2 != nil {
		return
	}
	for i, server := range s.servers {
		r.selected[i] = r.servers.Matches(server.labels)
	}
	r.byDefault = r.subjects.Matches(unlabeled())
	switch {
	case d.Kind == KindOwnershipRule && s.partitioned:
		s.ownership = append(s.ownership, r)
	case d.Kind == KindServingRule && !s.partitioned && len(s.serving) < maxServingRules:
		s.serving = append(s.serving, r)
	}
}

// unlabeled returns the labels of a key that no document labels and no rule
// names.
func unlabeled() topology.Labels { return topology.Labels{LabelKey: ""} }
