package settings

import (
	"encoding"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"github.com/cassiasill/cassiasill/internal/spelling"
)

// Error is one thing that is wrong with a settings file.
type Error struct {
	File   string
	Line   int
	Column int
	// Field is the path of the field, such as services[0].slots.
	Field   string
	Problem string
}

// Error describes where and what is wrong.
func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Problem)
	}
	return fmt.Sprintf("%s:%d:%d: %s: %s", e.File, e.Line, e.Column, e.Field, e.Problem)
}

// Errors lists everything that is wrong, in the order of the file.
type Errors []*Error

// Error returns one line for each error.
func (e Errors) Error() string {
	lines := make([]string, 0, len(e))
	for _, one := range e {
		lines = append(lines, one.Error())
	}
	return strings.Join(lines, "\n")
}

// decoder walks the syntax tree beside the Go types. The library's own strict
// decoding stops at the first error; scalars are still decoded by the library.
type decoder struct {
	file string
	// positions maps the path of each field in the file to its place.
	positions map[string]*token.Position
	errors    Errors
}

// Parse reads and checks a settings file; file is its name in errors.
func Parse(file string, data []byte) (*Settings, error) {
	settings := Default()
	if err := parse(file, data, settings, func(d *decoder) { d.validate(settings) }); err != nil {
		return nil, err
	}
	settings.complete()
	return settings, nil
}

// parse decodes data into target, which holds the defaults, and validates it.
func parse(file string, data []byte, target any, validate func(*decoder)) error {
	d := &decoder{file: file, positions: map[string]*token.Position{"": {Line: 1, Column: 1}}}
	tree, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.syntax(err)
		return d.errors
	}
	switch {
	case len(tree.Docs) == 0 || tree.Docs[0].Body == nil:
		d.fail("", "the file is empty")
	case len(tree.Docs) > 1:
		d.fail("", "found %d YAML documents, expected one", len(tree.Docs))
	default:
		d.decode(tree.Docs[0].Body, reflect.ValueOf(target).Elem(), "")
		validate(d)
	}
	if len(d.errors) > 0 {
		slices.SortStableFunc(d.errors, func(a, b *Error) int { return (a.Line-b.Line)*1000 + a.Column - b.Column })
		return d.errors
	}
	return nil
}

func (d *decoder) syntax(err error) {
	problem := err.Error()
	position := d.positions[""]
	var e yaml.Error
	if errors.As(err, &e) {
		problem = e.GetMessage()
		if e.GetToken() != nil {
			position = e.GetToken().Position
		}
	}
	d.errors = append(d.errors, &Error{d.file, position.Line, position.Column, "", "not valid YAML: " + problem})
}

// fail notes a problem of the field at path, placed at the field or, if it is
// missing, at what it is missing from. Of one field only the first is noted.
func (d *decoder) fail(path, format string, args ...any) {
	if slices.ContainsFunc(d.errors, func(e *Error) bool { return e.Field == path && path != "" }) {
		return
	}
	at := path
	for d.positions[at] == nil {
		at = at[:max(strings.LastIndexAny(at, ".["), 0)]
	}
	position := d.positions[at]
	d.errors = append(d.errors, &Error{d.file, position.Line, position.Column, path, fmt.Sprintf(format, args...)})
}

func (d *decoder) decode(node ast.Node, v reflect.Value, path string) {
	if _, known := d.positions[path]; !known {
		d.positions[path] = node.GetToken().Position
	}
	if defaults, ok := v.Addr().Interface().(interface{ setDefaults() }); ok {
		defaults.setDefaults()
	}
	if text, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if err := text.UnmarshalText([]byte(textOf(node))); err != nil {
			d.fail(path, "found %s, expected %s", found(node), err)
		}
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		d.decodeStruct(node, v, path)
	case reflect.Slice:
		d.decodeSlice(node, v, path)
	case reflect.Map:
		d.decodeMap(node, v, path)
	default:
		d.decodeScalar(node, v, path)
	}
}

// entries returns the entries of a mapping without repeated keys.
func (d *decoder) entries(node ast.Node, path string) []*ast.MappingValueNode {
	mapping, ok := node.(*ast.MappingNode)
	if !ok {
		d.fail(path, "found %s, expected fields", found(node))
		return nil
	}
	first := make(map[string]int)
	var out []*ast.MappingValueNode
	for _, entry := range mapping.Values {
		key := textOf(entry.Key)
		position := entry.Key.GetToken().Position
		if line := first[key]; line > 0 {
			d.errors = append(d.errors, &Error{d.file, position.Line, position.Column, join(path, key), fmt.Sprintf("given twice, first in line %d", line)})
			continue
		}
		first[key] = position.Line
		d.positions[join(path, key)] = position
		out = append(out, entry)
	}
	return out
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func (d *decoder) decodeStruct(node ast.Node, v reflect.Value, path string) {
	fields := make(map[string]int)
	var names []string
	for i := range v.NumField() {
		if name := v.Type().Field(i).Tag.Get("yaml"); name != "-" {
			fields[name] = i
			names = append(names, name)
		}
	}
	for _, entry := range d.entries(node, path) {
		key := textOf(entry.Key)
		if i, known := fields[key]; known {
			d.decode(entry.Value, v.Field(i), join(path, key))
			continue
		}
		if right := spelling.Nearest(key, names); right != "" {
			d.fail(join(path, key), "unknown field, did you mean %q?", right)
		} else {
			d.fail(join(path, key), "unknown field, expected one of %s", strings.Join(names, ", "))
		}
	}
}

func (d *decoder) decodeSlice(node ast.Node, v reflect.Value, path string) {
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		d.fail(path, "found %s, expected a list", found(node))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(sequence.Values), len(sequence.Values)))
	for i, element := range sequence.Values {
		at := fmt.Sprintf("%s[%d]", path, i)
		if mapping, ok := element.(*ast.MappingNode); ok && len(mapping.Values) > 0 {
			d.positions[at] = mapping.Values[0].Key.GetToken().Position
		}
		d.decode(element, v.Index(i), at)
	}
}

func (d *decoder) decodeMap(node ast.Node, v reflect.Value, path string) {
	v.Set(reflect.MakeMap(v.Type()))
	for _, entry := range d.entries(node, path) {
		value := reflect.New(v.Type().Elem()).Elem()
		d.decode(entry.Value, value, join(path, textOf(entry.Key)))
		v.SetMapIndex(reflect.ValueOf(textOf(entry.Key)), value)
	}
}

// expected names the kinds of scalars in errors and the nodes that hold them.
// The library would also turn numbers into text and text into numbers.
var expected = map[reflect.Kind]struct {
	words string
	nodes []ast.NodeType
}{
	reflect.String:  {"text (in quotes if it looks like a number)", []ast.NodeType{ast.StringType, ast.LiteralType}},
	reflect.Bool:    {"true or false", []ast.NodeType{ast.BoolType}},
	reflect.Int:     {"a whole number", []ast.NodeType{ast.IntegerType}},
	reflect.Float64: {"a number", []ast.NodeType{ast.IntegerType, ast.FloatType}},
}

func (d *decoder) decodeScalar(node ast.Node, v reflect.Value, path string) {
	want := expected[v.Kind()]
	if !slices.Contains(want.nodes, node.Type()) || yaml.NodeToValue(node, v.Addr().Interface()) != nil {
		d.fail(path, "found %s, expected %s", found(node), want.words)
		return
	}
	if enum, ok := v.Interface().(interface{ values() []string }); ok && !slices.Contains(enum.values(), v.String()) {
		d.fail(path, "found %s, expected one of %s", found(node), strings.Join(enum.values(), ", "))
	}
}

// textOf returns the text of a scalar without quotes.
func textOf(node ast.Node) string {
	switch n := node.(type) {
	case *ast.LiteralNode:
		return n.Value.Value
	case *ast.StringNode:
		return n.Value
	}
	return node.GetToken().Value
}

// found describes a node in errors.
func found(node ast.Node) string {
	switch node.Type() {
	case ast.MappingType, ast.MappingValueType:
		return "fields"
	case ast.SequenceType:
		return "a list"
	case ast.NullType:
		return "nothing"
	}
	return fmt.Sprintf("%q", textOf(node))
}
