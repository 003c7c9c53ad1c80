package ctl

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/cassiasill/cassiasill/internal/configsync"
	"github.com/cassiasill/cassiasill/internal/declaration"
)

// kindArgument is a KIND or KIND/NAME argument; the shell completes kinds.
type kindArgument string

// Complete returns the kinds that start with match.
func (kindArgument) Complete(match string) []flags.Completion {
	var out []flags.Completion
	for _, kind := range declaration.Kinds() {
		if strings.HasPrefix(strings.ToLower(string(kind)), strings.ToLower(match)) {
			out = append(out, flags.Completion{Item: string(kind)})
		}
	}
	return out
}

type getCommand struct {
	noExecute
	Args struct {
		Documents []kindArgument `positional-arg-name:"KIND|KIND/NAME"`
	} `positional-args:"yes"`
}

func (c *getCommand) run(ctx context.Context, env *environment) error {
	var documents []*declaration.Document
	args := c.Args.Documents
	if len(args) == 0 {
		args = []kindArgument{""} // all kinds
	}
	for _, arg := range args {
		if strings.Contains(string(arg), "/") {
			key, err := parseKey(string(arg))
			if err != nil {
				return err
			}
			d, err := env.client.Document(ctx, key)
			if err != nil {
				return err
			}
			documents = append(documents, d)
			continue
		}
		list, err := env.client.Documents(ctx, string(arg))
		if err != nil {
			return err
		}
		documents = append(documents, list.Documents...)
	}
	if env.options.Output == "yaml" {
		data, err := declaration.EncodeYAML(documents)
		if err == nil {
			_, err = env.stdout.Write(data)
		}
		return err
	}
	return env.print(documents, func(row func(cells ...any)) {
		row("DOCUMENT", "SERVICE", "REVISION", "CHANGED BY", "SPEC")
		for _, d := range documents {
			row(d.Key(), d.Spec.Service, d.Metadata.Revision, d.Metadata.ChangedBy, summary(d))
		}
	})
}

func parseKey(text string) (declaration.Key, error) {
	var key declaration.Key
	if err := key.UnmarshalText([]byte(text)); err != nil {
		return key, usage("%v", err)
	}
	return key, nil
}

// changeOptions are the flags of commands that change something.
type changeOptions struct {
	Message string `short:"m" long:"message" description:"why; kept in the history"`
	Wait    bool   `long:"wait" description:"wait until the change is in force on every host"`
	DryRun  bool   `long:"dry-run" description:"only show what would change"`
}

// submit applies edits, or shows what they would do.
func (o changeOptions) submit(ctx context.Context, env *environment, list []configsync.Edit) error {
	change := configsync.Change{Message: o.Message, Edits: list}
	if o.DryRun {
		_, err := showDiff(ctx, env, change)
		return err
	}
	result, err := env.client.Apply(ctx, change)
	if err != nil {
		return err
	}
	if err := env.printResult(result, list); err != nil || !o.Wait {
		return err
	}
	return waitInForce(ctx, env, result.Revision)
}

type applyCommand struct {
	noExecute
	changeOptions
	Files []string `short:"f" long:"file" required:"yes" description:"file, directory or - for the standard input"`
}

func (c *applyCommand) run(ctx context.Context, env *environment) error {
	list, err := editsFromFiles(ctx, env, c.Files)
	if err != nil {
		return err
	}
	return c.submit(ctx, env, list)
}

func editsFromFiles(ctx context.Context, env *environment, files []string) ([]configsync.Edit, error) {
	wanted, err := readFiles(files, env.stdin)
	if err != nil {
		return nil, err
	}
	current, err := env.client.Documents(ctx, "")
	if err != nil {
		return nil, err
	}
	return edits(wanted, current.Documents), nil
}

type diffCommand struct {
	noExecute
	Files []string `short:"f" long:"file" required:"yes" description:"file, directory or - for the standard input"`
}

func (c *diffCommand) run(ctx context.Context, env *environment) error {
	list, err := editsFromFiles(ctx, env, c.Files)
	if err != nil {
		return err
	}
	differs, err := showDiff(ctx, env, configsync.Change{Edits: list})
	if err == nil && differs {
		return &exitError{ExitDiffers, fmt.Errorf("")}
	}
	return err
}

func showDiff(ctx context.Context, env *environment, change configsync.Change) (differs bool, err error) {
	diff, err := env.client.Diff(ctx, change)
	if err != nil {
		return false, err
	}
	for _, warning := range diff.Warnings {
		fmt.Fprintln(env.stderr, "warning:", warning)
	}
	err = env.print(diff, func(row func(cells ...any)) {
		for _, d := range diff.Documents {
			row(fmt.Sprintf("%s (%s)", d.Document, d.Action))
			for _, f := range d.Fields {
				if f.Before != nil {
					row(fmt.Sprintf("  - %s: %s", f.Field, *f.Before))
				}
				if f.After != nil {
					row(fmt.Sprintf("  + %s: %s", f.Field, *f.After))
				}
			}
		}
		if len(diff.Documents) == 0 {
			row("no differences")
		}
		for _, effect := range diff.Effects {
			row("effect: " + effect)
		}
	})
	return len(diff.Documents) > 0, err
}

type deleteCommand struct {
	noExecute
	changeOptions
	Files []string `short:"f" long:"file" description:"delete the documents named in a file or directory"`
	Args  struct {
		Documents []kindArgument `positional-arg-name:"KIND/NAME"`
	} `positional-args:"yes"`
}

func (c *deleteCommand) run(ctx context.Context, env *environment) error {
	var keys []declaration.Key
	for _, arg := range c.Args.Documents {
		key, err := parseKey(string(arg))
		if err != nil {
			return err
		}
		keys = append(keys, key)
	}
	if len(c.Files) > 0 {
		documents, err := readFiles(c.Files, env.stdin)
		if err != nil {
			return err
		}
		for _, d := range documents {
			keys = append(keys, d.Key())
		}
	}
	if len(keys) == 0 {
		return usage("nothing to delete: give KIND/NAME or -f FILE")
	}
	var list []configsync.Edit
	for _, key := range keys {
		d, err := env.client.Document(ctx, key)
		if err != nil {
			return err
		}
		list = append(list, configsync.Edit{Key: key, BaseRevision: d.Metadata.Revision})
	}
	return c.submit(ctx, env, list)
}

type historyCommand struct {
	noExecute
	Limit  int    `short:"n" long:"limit" default:"20" description:"how many changes"`
	Change string `long:"change" description:"tell what became of the change with this id; closes it if it was not accepted yet"`
}

func (c *historyCommand) run(ctx context.Context, env *environment) error {
	var changes []configsync.Accepted
	if c.Change != "" {
		outcome, err := env.client.Outcome(ctx, c.Change)
		if err != nil {
			return err
		}
		if outcome.Refused {
			return fmt.Errorf("change %s was not accepted and never will be; apply again", c.Change)
		}
		changes = append(changes, outcome)
	} else {
		history, err := env.client.History(ctx, c.Limit)
		if err != nil {
			return err
		}
		changes = history.Changes
	}
	return env.print(changes, func(row func(cells ...any)) {
		row("REVISION", "FROM", "WHEN", "WHO", "WHAT", "MESSAGE")
		for _, change := range changes {
			var what []string
			for _, e := range change.Edits {
				what = append(what, strings.TrimSpace(fmt.Sprintf("%s %s %s", e.Action, e.Document, shortFields(e))))
			}
			shown := strings.Join(what[:min(len(what), 3)], ", ")
			if len(what) > 3 {
				shown += fmt.Sprintf(" and %d more", len(what)-3)
			}
			row(change.Revision, change.From, change.Time.Format("2006-01-02 15:04:05Z"), change.Author, shown, change.Message)
		}
	})
}

type schemaCommand struct{ noExecute }

func (c *schemaCommand) run(_ context.Context, env *environment) error {
	schema, err := declaration.JSONSchema()
	if err == nil {
		_, err = env.stdout.Write(schema)
	}
	return err
}

type completionCommand struct {
	noExecute
	Args struct {
		Shell string `positional-arg-name:"bash|zsh" required:"yes"`
	} `positional-args:"yes"`
}

const completionScript = `_cassiasillctl() {
    local IFS=$'\n'
    local args=("${COMP_WORDS[@]:1:$COMP_CWORD}")
    COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${args[@]}"))
}
complete -o default -F _cassiasillctl cassiasillctl
`

func (c *completionCommand) run(_ context.Context, env *environment) error {
	switch c.Args.Shell {
	case "bash":
	case "zsh":
		if _, err := io.WriteString(env.stdout, "autoload -Uz bashcompinit && bashcompinit\n"); err != nil {
			return err
		}
	default:
		return usage("no completion for shell %q: use bash or zsh", c.Args.Shell)
	}
	_, err := io.WriteString(env.stdout, completionScript)
	return err
}

// sortedLabels returns the names of labels, the router's own last.
func sortedLabels[M ~map[string]string](labels M) []string {
	var out []string
	for name := range labels {
		out = append(out, name)
	}
	slices.SortFunc(out, func(a, b string) int {
		own := func(s string) string {
			if strings.HasPrefix(s, declaration.ReservedPrefix) {
				return "1" + s
			}
			return "0" + s
		}
		return strings.Compare(own(a), own(b))
	})
	return out
}

func labelText[M ~map[string]string](labels M) string {
	var parts []string
	for _, name := range sortedLabels(labels) {
		parts = append(parts, name+"="+labels[name])
	}
	return strings.Join(parts, " ")
}
