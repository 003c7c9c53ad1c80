package ctl

import (
	"context"
	"fmt"
	"net/url"
	"regexp"
	"strings"

	"github.com/cassiasill/cassiasill/internal/configsync"
	"github.com/cassiasill/cassiasill/internal/declaration"
	"github.com/cassiasill/cassiasill/internal/topology"
)

// labelCommand edits the one document that gives a server or keys their labels.
// Without assignments it shows the labels in force.
type labelCommand struct {
	noExecute
	changeOptions
	Key     bool `long:"key" description:"the subject is an exact key instead of a server"`
	Prefix  bool `long:"prefix" description:"the subject is the start of keys"`
	Pattern bool `long:"pattern" description:"the subject is a pattern of keys with * and ?"`
	Args    struct {
		Subject string   `positional-arg-name:"SERVICE/SUBJECT" required:"yes"`
		Labels  []string `positional-arg-name:"LABEL=VALUE|LABEL-"`
	} `positional-args:"yes"`
}

func (c *labelCommand) run(ctx context.Context, env *environment) error {
	service, subject, ok := strings.Cut(c.Args.Subject, "/")
	if !ok || service == "" || subject == "" {
		return usage("%q is not of the form SERVICE/SERVER or SERVICE/KEY", c.Args.Subject)
	}
	if len(c.Args.Labels) == 0 {
		return c.show(ctx, env, service, subject)
	}
	wanted := c.emptyDocument(service, subject)
	current, err := env.client.Documents(ctx, string(wanted.Kind))
	if err != nil {
		return err
	}
	touched := make(map[string]bool)
	for _, assignment := range c.Args.Labels {
		name, _, _ := strings.Cut(strings.TrimSuffix(assignment, "-"), "=")
		touched[name] = true
	}
	edit := configsync.Edit{Key: wanted.Key(), BaseAbsent: true, Document: wanted}
	if d := findLabels(current.Documents, wanted, touched); d != nil {
		edit = configsync.Edit{Key: d.Key(), BaseRevision: d.Metadata.Revision, Document: d}
	}
	if err := assign(edit.Document, c.Args.Labels); err != nil {
		return err
	}
	if len(edit.Document.Spec.Labels) == 0 {
		if edit.BaseAbsent {
			return fmt.Errorf("%s has no document with labels; nothing to remove", c.Args.Subject)
		}
		// A document without labels says nothing.
		edit.Document = nil
	}
	return c.submit(ctx, env, []configsync.Edit{edit})
}

func (c *labelCommand) show(ctx context.Context, env *environment, service, subject string) error {
	query := url.Values{"service": {service}, "server": {subject}}
	if c.Key || c.Prefix || c.Pattern {
		query = url.Values{"service": {service}, "key": {subject}}
	}
	labels, err := env.client.Labels(ctx, query)
	if err != nil {
		return err
	}
	return env.print(labels, func(row func(cells ...any)) {
		row("SERVICE", "SUBJECT", "LABELS")
		for _, s := range labels.Servers {
			row(s.Service, s.Server, labelText(s.Labels))
		}
		if labels.Key != nil {
			row(labels.Key.Service, labels.Key.Key, labelText(labels.Key.Labels))
		}
	})
}

// emptyDocument returns a new document for the subject, named after it.
func (c *labelCommand) emptyDocument(service, subject string) *declaration.Document {
	unsafe := regexp.MustCompile(`[^A-Za-z0-9._-]+`)
	name := strings.Trim(unsafe.ReplaceAllString(service+"."+subject, "_"), "._-")
	d := &declaration.Document{
		APIVersion: declaration.APIVersion, Kind: declaration.KindKeyLabels, Metadata: declaration.Metadata{Name: name},
		Spec: declaration.Spec{Service: topology.ServiceName(service)},
	}
	switch {
	case c.Key:
		d.Spec.Key = subject
	case c.Prefix:
		d.Spec.Prefix = subject
		d.Metadata.Name += ".prefix"
	case c.Pattern:
		d.Spec.Pattern = subject
		d.Metadata.Name += ".pattern"
	default:
		d.Kind, d.Spec.Server = declaration.KindServerLabels, topology.ServerName(subject)
	}
	return d
}

// findLabels returns the document about the same subject: if there are several
// the one that already has a label of those to be edited.
func findLabels(documents []*declaration.Document, wanted *declaration.Document, touched map[string]bool) *declaration.Document {
	var found *declaration.Document
	for _, d := range documents {
		s, w := d.Spec, wanted.Spec
		if s.Service != w.Service || s.Server != w.Server || s.Key != w.Key || s.Prefix != w.Prefix || s.Pattern != w.Pattern {
			continue
		}
		if found == nil {
			found = d
		}
		for name := range s.Labels {
			if touched[name] {
				return d
			}
		}
	}
	return found
}

// assign applies LABEL=VALUE and LABEL- to a document.
func assign(d *declaration.Document, assignments []string) error {
	if d.Spec.Labels == nil {
		d.Spec.Labels = make(topology.Labels)
	}
	for _, a := range assignments {
		if name, value, ok := strings.Cut(a, "="); ok && name != "" {
			d.Spec.Labels[name] = value
		} else if name, ok := strings.CutSuffix(a, "-"); ok && name != "" {
			delete(d.Spec.Labels, name)
		} else {
			return usage("%q is neither LABEL=VALUE nor LABEL-", a)
		}
	}
	return nil
}
