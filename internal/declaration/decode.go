package declaration

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// DocumentError is one fault in a file of documents.
type DocumentError struct {
	File     string
	Line     int // zero if unknown
	Document Key // zero if unknown
	Field    string
	Reason   string
}

// Error describes the fault as "file:line: field: reason".
func (e *DocumentError) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d", e.Line)
	}
	if b.Len() > 0 {
		b.WriteString(": ")
	}
	if e.Document.Name != "" {
		fmt.Fprintf(&b, "%s: ", e.Document)
	}
	if e.Field != "" {
		fmt.Fprintf(&b, "%s: ", e.Field)
	}
	b.WriteString(e.Reason)
	return b.String()
}

// Decode reads the YAML documents of one file. The error joins a
// *DocumentError for every fault found.
func Decode(file string, data []byte) ([]*Document, error) {
	parsed, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, yamlError(file, err)
	}
	var out []*Document
	var faults []error
	seen := make(map[Key]int)
	for _, node := range parsed.Docs {
		if node.Body == nil || node.Body.Type() == ast.NullType || node.Body.Type() == ast.CommentType {
			continue
		}
		d, docFaults := decodeOne(file, node.Body)
		faults = append(faults, docFaults...)
		if len(docFaults) > 0 {
			continue
		}
		line := lineOf(node.Body, "metadata", "name")
		if first, double := seen[d.Key()]; double {
			faults = append(faults, &DocumentError{File: file, Line: line, Document: d.Key(), Reason: fmt.Sprintf("the document is also on line %d", first)})
			continue
		}
		seen[d.Key()] = line
		out = append(out, d)
	}
	return out, errors.Join(faults...)
}

func decodeOne(file string, body ast.Node) (*Document, []error) {
	root, ok := body.(*ast.MappingNode)
	if !ok {
		return nil, []error{&DocumentError{File: file, Line: line(body), Reason: "a document is a mapping with apiVersion, kind, metadata and spec"}}
	}
	kind := Kind(scalar(child(root, "kind")))
	d := &Document{}
	if faults := unknownFields(file, root, kind); len(faults) > 0 {
		return nil, faults
	}
	if err := yaml.NodeToValue(body, d, yaml.Strict()); err != nil {
		return nil, []error{yamlError(file, err)}
	}
	var faults []error
	for _, fault := range d.Check() {
		fault.File, fault.Line = file, lineOf(body, strings.Split(fault.Field, ".")...)
		faults = append(faults, fault)
	}
	return d, faults
}

// unknownFields compares the field names of a document with those of its kind.
func unknownFields(file string, root *ast.MappingNode, kind Kind) []error {
	var faults []error
	check := func(parent string, node ast.Node, allowed []string) {
		mapping, ok := node.(*ast.MappingNode)
		if !ok {
			return
		}
		for _, value := range mapping.Values {
			name := value.Key.String()
			if !slices.Contains(allowed, name) {
				faults = append(faults, &DocumentError{File: file, Line: line(value.Key), Field: parent + name, Reason: "unknown field" + suggestion(name, allowed)})
			}
		}
	}
	check("", root, []string{"apiVersion", "kind", "metadata", "spec"})
	check("metadata.", child(root, "metadata"), []string{"name", "description", "revision", "changedBy", "changedAt"})
	if fields := Fields(kind); fields != nil {
		var allowed []string
		for _, f := range fields {
			allowed = append(allowed, f.Name)
		}
		check("spec.", child(root, "spec"), allowed)
	}
	return faults
}

func child(node ast.Node, name string) ast.Node {
	mapping, ok := node.(*ast.MappingNode)
	if !ok {
		return nil
	}
	for _, value := range mapping.Values {
		if value.Key.String() == name {
			return value.Value
		}
	}
	return nil
}

func scalar(node ast.Node) string {
	if s, ok := node.(*ast.StringNode); ok {
		return s.Value
	}
	return ""
}

func line(node ast.Node) int {
	if node == nil || node.GetToken() == nil || node.GetToken().Position == nil {
		return 0
	}
	if mapping, ok := node.(*ast.MappingNode); ok && len(mapping.Values) > 0 {
		return line(mapping.Values[0].Key)
	}
	return node.GetToken().Position.Line
}

// lineOf returns the line of the deepest part of path that exists below node.
func lineOf(node ast.Node, path ...string) int {
	best := line(node)
	for i, name := range path {
		next := child(node, name)
		if next == nil {
			// Names of labels may contain dots themselves.
			next = child(node, strings.Join(path[i:], "."))
		}
		if next == nil {
			break
		}
		node, best = next, line(next)
	}
	return best
}

func yamlError(file string, err error) error {
	var positioned yaml.Error
	if errors.As(err, &positioned) && positioned.GetToken() != nil {
		return &DocumentError{File: file, Line: positioned.GetToken().Position.Line, Reason: positioned.GetMessage()}
	}
	return &DocumentError{File: file, Reason: err.Error()}
}

// EncodeYAML writes documents as one YAML file that Decode reads again.
func EncodeYAML(documents []*Document) ([]byte, error) {
	var b bytes.Buffer
	for i, d := range documents {
		if i > 0 {
			b.WriteString("---\n")
		}
		data, err := yaml.Marshal(d)
		if err != nil {
			return nil, fmt.Errorf("encode %s: %w", d.Key(), err)
		}
		b.Write(data)
	}
	return b.Bytes(), nil
}
