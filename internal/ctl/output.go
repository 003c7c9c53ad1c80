package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/goccy/go-yaml"

	"github.com/cassiasill/cassiasill/internal/configsync"
	"github.com/cassiasill/cassiasill/internal/declaration"
)

// print writes value as YAML or JSON, or calls table for a table.
func (e *environment) print(value any, table func(row func(cells ...any))) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	switch e.options.Output {
	case "json":
		_, err = fmt.Fprintln(e.stdout, string(data))
		return err
	case "yaml":
		if data, err = yaml.JSONToYAML(data); err != nil {
			return err
		}
		_, err = e.stdout.Write(data)
		return err
	}
	var aligned bytes.Buffer
	w := tabwriter.NewWriter(&aligned, 0, 0, 3, ' ', 0)
	table(func(cells ...any) {
		texts := make([]string, len(cells))
		for i, c := range cells {
			texts[i] = fmt.Sprint(c)
			if texts[i] == "" && i < len(cells)-1 {
				texts[i] = "-"
			}
		}
		fmt.Fprintln(w, strings.Join(texts, "\t"))
	})
	if err := w.Flush(); err != nil {
		return err
	}
	for line := range strings.Lines(aligned.String()) {
		if _, err := fmt.Fprintln(e.stdout, strings.TrimRight(line, " \n")); err != nil {
			return err
		}
	}
	return nil
}

// printResult writes what an accepted change did. Unchanged documents are
// those that were applied but needed no change.
func (e *environment) printResult(result configsync.Result, applied []configsync.Edit) error {
	for _, warning := range result.Warnings {
		fmt.Fprintln(e.stderr, "warning:", warning)
	}
	return e.print(result, func(row func(cells ...any)) {
		changed := make(map[declaration.Key]bool)
		row("DOCUMENT", "ACTION", "REVISION", "FIELDS")
		for _, edit := range result.Edits {
			changed[edit.Document] = true
			row(edit.Document, edit.Action, result.Revision, shortFields(edit))
		}
		for _, edit := range applied {
			if !changed[edit.Key] {
				row(edit.Key, "unchanged", result.Revision, "")
			}
		}
	})
}

func shortFields(edit configsync.AcceptedEdit) string {
	if edit.Action != configsync.ActionChanged {
		return ""
	}
	return strings.Join(edit.Fields, " ")
}

// summary describes a document's spec in one line.
func summary(d *declaration.Document) string {
	s := d.Spec
	var parts []string
	add := func(name, value string) {
		if value != "" {
			parts = append(parts, name+": "+value)
		}
	}
	add("server", string(s.Server))
	add("key", s.Key)
	add("prefix", s.Prefix)
	add("pattern", s.Pattern)
	add("labels", labelText(s.Labels))
	add("keys", s.Keys)
	add("callers", s.Callers)
	add("servers", s.Servers)
	return strings.Join(parts, "; ")
}
