package ctl

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"

	"github.com/cassiasill/cassiasill/internal/configsync"
	"github.com/cassiasill/cassiasill/internal/declaration"
)

type editCommand struct {
	noExecute
	changeOptions
	Args struct {
		Document kindArgument `positional-arg-name:"KIND/NAME" required:"yes"`
	} `positional-args:"yes"`
}

func (c *editCommand) run(ctx context.Context, env *environment) error {
	key, err := parseKey(string(c.Args.Document))
	if err != nil {
		return err
	}
	d, err := env.client.Document(ctx, key)
	if err != nil {
		return err
	}
	before, err := declaration.EncodeYAML([]*declaration.Document{d})
	if err != nil {
		return err
	}
	file, err := os.CreateTemp("", "cassiasillctl-*.yaml")
	if err != nil {
		return err
	}
	name := file.Name()
	_, err = file.Write(before)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	if err := runEditor(env, name); err != nil {
		return err
	}
	after, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	if bytes.Equal(before, after) {
		fmt.Fprintln(env.stderr, "nothing was edited")
		return os.Remove(name)
	}
	wanted, err := declaration.Decode(name, after)
	if err == nil && (len(wanted) != 1 || wanted[0].Key() != key) {
		err = usage("%s must hold exactly the document %s", name, key)
	}
	if err == nil {
		// The time in the editor does not count against --timeout.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), env.options.Timeout)
		defer cancel()
		// The document as it was read is the base, whatever its text says now.
		err = c.submit(ctx, env, []configsync.Edit{{Key: key, BaseRevision: d.Metadata.Revision, Document: wanted[0]}})
	}
	if err != nil {
		return fmt.Errorf("%w\nyour edit is kept in %s", err, name)
	}
	return os.Remove(name)
}

// runEditor opens the file in the operator's editor.
func runEditor(env *environment, file string) error {
	editor := os.Getenv("EDITOR")
	if editor == "" {
		editor = "vi"
	}
	// The shell splits an $EDITOR with arguments; the file name is its own.
	cmd := exec.Command("sh", "-c", editor+` "$1"`, "sh", file)
	cmd.Stdin, cmd.Stdout, cmd.Stderr = env.stdin, env.stdout, env.stderr
	if err := cmd.Run(); err != nil {
		return fmt.Errorf("editor %s: %w; nothing was changed", editor, err)
	}
	return nil
}
