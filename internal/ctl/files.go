package ctl

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/cassiasill/cassiasill/internal/configsync"
	"github.com/cassiasill/cassiasill/internal/declaration"
)

// readFiles reads the documents of files and directories; "-" is the standard
// input. All faults of all files are reported together.
func readFiles(names []string, stdin io.Reader) ([]*declaration.Document, error) {
	if len(names) == 0 {
		return nil, usage("no file: give -f FILE, a directory or -")
	}
	var out []*declaration.Document
	var faults []error
	origin := make(map[declaration.Key]string)
	add := func(name string, data []byte) {
		documents, err := declaration.Decode(name, data)
		if err != nil {
			faults = append(faults, err)
		}
		for _, d := range documents {
			if first, double := origin[d.Key()]; double {
				faults = append(faults, &declaration.DocumentError{File: name, Document: d.Key(), Reason: "the document is also in " + first})
			}
			origin[d.Key()] = name
			out = append(out, d)
		}
	}
	for _, name := range names {
		if name == "-" {
			data, err := io.ReadAll(stdin)
			if err != nil {
				return nil, err
			}
			add("standard input", data)
			continue
		}
		err := filepath.WalkDir(name, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || path != name && filepath.Ext(path) != ".yaml" && filepath.Ext(path) != ".yml" {
				return err
			}
			data, err := os.ReadFile(path)
			if err == nil {
				add(path, data)
			}
			return err
		})
		if err != nil {
			return nil, err
		}
	}
	if len(faults) == 0 && len(out) == 0 {
		return nil, fmt.Errorf("no documents in %v", names)
	}
	return out, errors.Join(faults...)
}

// edits turns wanted documents into edits. A revision in a document tells which
// version the operator edited; without one it is the version that is in force
// now.
func edits(wanted []*declaration.Document, current []*declaration.Document) []configsync.Edit {
	byKey := make(map[declaration.Key]*declaration.Document, len(current))
	for _, d := range current {
		byKey[d.Key()] = d
	}
	var out []configsync.Edit
	for _, d := range wanted {
		e := configsync.Edit{Key: d.Key(), Document: d, BaseRevision: d.Metadata.Revision}
		if e.BaseRevision == 0 {
			if now := byKey[d.Key()]; now != nil {
				e.BaseRevision = now.Metadata.Revision
			}
		}
		e.BaseAbsent = e.BaseRevision == 0
		out = append(out, e)
	}
	return out
}
