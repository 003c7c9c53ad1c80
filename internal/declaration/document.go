// Package declaration holds the operators' documents: labels on servers and
// keys, and rules that select which servers may own which keys and which
// upstreams serve which callers. Everything here is pure: a Set is compiled
// from documents and never changes.
package declaration

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiasill/cassiasill/internal/topology"
)

// APIVersion is the only version of the documents' format.
const APIVersion = "cassiasill/v1"

// Kind is a kind of document.
type Kind string

// The kinds of documents.
const (
	KindServerLabels  Kind = "ServerLabels"
	KindKeyLabels     Kind = "KeyLabels"
	KindOwnershipRule Kind = "OwnershipRule"
	KindServingRule   Kind = "ServingRule"
)

// The labels that the router itself gives or acts on. Operators may set only
// LabelDrain of those with the prefix ReservedPrefix.
const (
	ReservedPrefix = "cassiasill/"
	// LabelDrain set to "true" on a server takes all keys and callers from it.
	LabelDrain            = "cassiasill/drain"
	LabelServer           = "cassiasill/server"
	LabelAvailabilityZone = "cassiasill/availability-zone"
	LabelKey              = "cassiasill/key"
	LabelCaller           = "cassiasill/caller"
)

// Document is one declaration of an operator.
type Document struct {
	APIVersion string   `json:"apiVersion" yaml:"apiVersion"`
	Kind       Kind     `json:"kind" yaml:"kind"`
	Metadata   Metadata `json:"metadata" yaml:"metadata"`
	Spec       Spec     `json:"spec" yaml:"spec"`
}

// Metadata names a document. Revision, ChangedBy and ChangedAt are set when a
// change is accepted; a Revision in a submitted document tells which version
// the operator edited.
type Metadata struct {
	Name        string `json:"name" yaml:"name"`
	Description string `json:"description,omitempty" yaml:"description,omitempty"`
	Revision    uint64 `json:"revision,omitempty" yaml:"revision,omitempty"`
	ChangedBy   string `json:"changedBy,omitempty" yaml:"changedBy,omitempty"`
	ChangedAt   string `json:"changedAt,omitempty" yaml:"changedAt,omitempty"`
}

// Spec holds the fields of every kind; Fields tells which belong to a kind.
type Spec struct {
	Service topology.ServiceName `json:"service" yaml:"service"`
	Server  topology.ServerName  `json:"server,omitempty" yaml:"server,omitempty"`
	Key     string               `json:"key,omitempty" yaml:"key,omitempty"`
	Prefix  string               `json:"prefix,omitempty" yaml:"prefix,omitempty"`
	Pattern string               `json:"pattern,omitempty" yaml:"pattern,omitempty"`
	Labels  topology.Labels      `json:"labels,omitempty" yaml:"labels,omitempty"`
	Keys    string               `json:"keys,omitempty" yaml:"keys,omitempty"`
	Callers string               `json:"callers,omitempty" yaml:"callers,omitempty"`
	Servers string               `json:"servers,omitempty" yaml:"servers,omitempty"`
}

// Field describes one field of a kind's spec.
type Field struct {
	Name        string
	Description string
	Required    bool
	Selector    bool
}

// Fields returns the spec fields of kind, or nil for an unknown kind.
func Fields(kind Kind) []Field {
	service := Field{Name: "service", Description: "Name of the service.", Required: true}
	servers := Field{Name: "servers", Description: "Selector over the labels of the service's servers.", Required: true, Selector: true}
	labels := Field{Name: "labels", Description: "Labels, each a name and a value.", Required: true}
	switch kind {
	case KindServerLabels:
		return []Field{service, {Name: "server", Description: "Name of the server.", Required: true}, labels}
	case KindKeyLabels:
		return []Field{service,
			{Name: "key", Description: "Exact key. Exactly one of key, prefix and pattern is given."},
			{Name: "prefix", Description: "Start of the keys."},
			{Name: "pattern", Description: "Pattern of the keys; * stands for any text and ? for one character."},
			labels}
	case KindOwnershipRule:
		return []Field{service, {Name: "keys", Description: "Selector over the labels of keys; absent selects all keys.", Selector: true}, servers}
	case KindServingRule:
		return []Field{service, {Name: "callers", Description: "Selector over the labels of callers; absent selects all callers.", Selector: true}, servers}
	}
	return nil
}

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{KindServerLabels, KindKeyLabels, KindOwnershipRule, KindServingRule}
}

// Key identifies a document.
type Key struct {
	Kind Kind
	Name string
}

// String returns "Kind/name".
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Compare orders keys by kind and name.
func (k Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Kind, other.Kind), cmp.Compare(k.Name, other.Name))
}

// MarshalText writes the key as "Kind/name".
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads "Kind/name"; the kind may be written in any case.
func (k *Key) UnmarshalText(text []byte) error {
	kind, name, ok := strings.Cut(string(text), "/")
	if !ok || name == "" {
		return fmt.Errorf("%q is not of the form Kind/name", text)
	}
	parsed, err := ParseKind(kind)
	*k = Key{Kind: parsed, Name: name}
	return err
}

// ParseKind returns the kind with the given name in any case.
func ParseKind(name string) (Kind, error) {
	var names []string
	for _, kind := range Kinds() {
		if strings.EqualFold(string(kind), name) {
			return kind, nil
		}
		names = append(names, string(kind))
	}
	return "", fmt.Errorf("unknown kind %q%s; kinds are %s", name, suggestion(name, names), strings.Join(names, ", "))
}

// Key returns the document's key.
func (d *Document) Key() Key { return Key{Kind: d.Kind, Name: d.Metadata.Name} }

// Clone returns a copy that shares nothing with d.
func (d *Document) Clone() *Document {
	if d == nil {
		return nil
	}
	c := *d
	c.Spec.Labels = maps.Clone(d.Spec.Labels)
	return &c
}

// Encode returns the document's canonical JSON.
func (d *Document) Encode() []byte {
	data, err := json.Marshal(d)
	if err != nil {
		// A struct of strings, numbers and maps of strings always encodes.
		panic(err)
	}
	return data
}

// Hash returns a hash over the document's canonical JSON. The sum of the hashes
// of all documents is the digest by which hosts detect a missed event.
func (d *Document) Hash() uint64 { return xxhash.Sum64(d.Encode()) }

// Digest returns the wrapping sum of the hashes of all documents.
func Digest(documents map[Key]*Document) uint64 {
	var sum uint64
	for _, d := range documents {
		sum += d.Hash()
	}
	return sum
}

// Sorted returns the documents in key order.
func Sorted(documents map[Key]*Document) []*Document {
	return slices.SortedFunc(maps.Values(documents), func(a, b *Document) int { return a.Key().Compare(b.Key()) })
}
