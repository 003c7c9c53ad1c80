package declaration

import (
	"fmt"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// Explanation says which rules apply to a key or caller and why each server is
// eligible or not.
type Explanation struct {
	Revision uint64               `json:"revision"`
	Service  topology.ServiceName `json:"service"`
	Key      string               `json:"key,omitempty"`
	Caller   topology.Caller      `json:"caller,omitempty"`
	Labels   []LabelSource        `json:"labels"`
	Rules    []RuleVerdict        `json:"rules"`
	Servers  []ServerVerdict      `json:"servers"`
	// Note states what happens if no server is eligible.
	Note string `json:"note,omitempty"`
}

// LabelSource is one label and the document that gave it; an empty source
// means the settings or the router itself.
type LabelSource struct {
	Label  string `json:"label"`
	Value  string `json:"value"`
	Source string `json:"source,omitempty"`
}

// RuleVerdict tells whether a rule applies and, if not, why.
type RuleVerdict struct {
	Rule     string `json:"rule"`
	Subjects string `json:"subjects"`
	Servers  string `json:"servers"`
	Applies  bool   `json:"applies"`
	Reason   string `json:"reason,omitempty"`
}

// ServerVerdict tells whether a server is eligible and, if not, why.
type ServerVerdict struct {
	Server   topology.ServerName `json:"server"`
	Eligible bool                `json:"eligible"`
	Reasons  []string            `json:"reasons,omitempty"`
}

// ExplainKey explains which servers may own a key; ok is false for a service
// that is unknown or not partitioned by key.
func (s *Set) ExplainKey(service topology.ServiceName, key string) (explanation Explanation, ok bool) {
	target := s.services[service]
	if target == nil || !target.partitioned {
		return Explanation{}, false
	}
	labels, sources := target.keys.labels(key)
	e := Explanation{Revision: s.revision, Service: service, Key: key}
	e.fill(target, target.ownership, labels, sources)
	if len(target.group(target.ownershipOf(labels)).Servers) == 0 {
		e.Note = "no server may own the key: its last owner keeps it until a rule or label changes"
	}
	return e, true
}

// ExplainCaller explains which upstreams may serve a caller; ok is false for a
// service that is unknown or partitioned by key.
func (s *Set) ExplainCaller(service topology.ServiceName, caller topology.Caller) (explanation Explanation, ok bool) {
	target := s.services[service]
	if target == nil || target.partitioned {
		return Explanation{}, false
	}
	e := Explanation{Revision: s.revision, Service: service, Caller: caller}
	e.fill(target, target.serving, s.callerLabels(caller), nil)
	if len(s.MayServe(service, caller)) == 0 {
		e.Note = "no upstream may serve the caller: its requests are answered with no-upstream"
	}
	return e, true
}

func (e *Explanation) fill(target *serviceSet, rules []rule, labels topology.Labels, sources map[string]Key) {
	e.Labels, e.Rules, e.Servers = []LabelSource{}, []RuleVerdict{}, []ServerVerdict{}
	for _, name := range fieldNames(labels) {
		source := LabelSource{Label: name, Value: labels[name]}
		if key, ok := sources[name]; ok {
			source.Source = key.String()
		}
		e.Labels = append(e.Labels, source)
	}
	var apply []rule
	for _, r := range rules {
		verdict := RuleVerdict{
			Rule: r.document.Key().String(), Subjects: r.subjects.String(), Servers: r.servers.String(),
			Reason: r.subjects.Mismatch(labels),
		}
		if verdict.Applies = verdict.Reason == ""; verdict.Applies {
			apply = append(apply, r)
		}
		e.Rules = append(e.Rules, verdict)
	}
	for _, server := range target.servers {
		verdict := ServerVerdict{Server: server.name}
		if server.drained {
			verdict.Reasons = append(verdict.Reasons, fmt.Sprintf("is drained by %s", server.sources[LabelDrain]))
		}
		for _, r := range apply {
			if reason := r.servers.Mismatch(server.labels); reason != "" {
				verdict.Reasons = append(verdict.Reasons, fmt.Sprintf("%s %s", r.document.Key(), reason))
			}
		}
		verdict.Eligible = len(verdict.Reasons) == 0
		e.Servers = append(e.Servers, verdict)
	}
}
