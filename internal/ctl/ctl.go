// Package ctl is the operators' command-line tool.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/cassiasill/cassiasill/internal/apierror"
	"github.com/cassiasill/cassiasill/internal/declaration"
	"github.com/cassiasill/cassiasill/internal/operator/client"
)

// The exit codes.
const (
	ExitOK           = 0
	ExitFailure      = 1  // any other failure
	ExitUsage        = 2  // the command line is wrong
	ExitInvalid      = 3  // a document is invalid or too large
	ExitConflict     = 4  // another operator's change came first
	ExitNotFound     = 5  // no such document, service or server
	ExitUnauthorized = 6  // credentials are missing or wrong
	ExitUnavailable  = 7  // no host or no store; nothing was changed
	ExitUnknown      = 8  // the outcome of the change is not known yet
	ExitTimeout      = 9  // --wait ended before every host had the revision
	ExitDiffers      = 10 // diff found differences
)

const exitCodesHelp = `Exit codes: 0 done, 1 other failure, 2 wrong usage, 3 invalid document,
4 conflict with another operator, 5 not found, 6 not authorized, 7 no host or
store available (nothing was changed), 8 outcome not known yet, 9 --wait timed
out, 10 diff found differences.`

// options are the flags of every command.
type options struct {
	Server     []string      `short:"s" long:"server" env:"CASSIASILL_SERVER" env-delim:"," default:"http://127.0.0.1:18180" description:"admin address of a host; several are tried in order"`
	TokenFile  string        `long:"token-file" env:"CASSIASILL_TOKEN_FILE" description:"file with the bearer token"`
	CAFile     string        `long:"ca-file" env:"CASSIASILL_CA_FILE" description:"certificates of the authorities that hosts are checked with"`
	CertFile   string        `long:"cert-file" env:"CASSIASILL_CERT_FILE" description:"client certificate"`
	KeyFile    string        `long:"key-file" env:"CASSIASILL_KEY_FILE" description:"key of the client certificate"`
	ServerName string        `long:"tls-server-name" description:"name that the hosts' certificate must carry"`
	Output     string        `short:"o" long:"output" choice:"table" choice:"yaml" choice:"json" default:"table" description:"format of the output"`
	Timeout    time.Duration `long:"timeout" default:"30s" description:"longest time for the whole command"`

	Get        getCommand        `command:"get" description:"Show documents: get [KIND | KIND/NAME...]"`
	Apply      applyCommand      `command:"apply" description:"Create or change documents from files, all or none"`
	Diff       diffCommand       `command:"diff" description:"Show what apply would change and its effect"`
	Delete     deleteCommand     `command:"delete" description:"Delete documents, all or none"`
	Label      labelCommand      `command:"label" description:"Set or remove labels of a server or of keys"`
	Status     statusCommand     `command:"status" description:"Show the revision in force on each host"`
	Explain    explainCommand    `command:"explain" description:"Explain which servers may own a key or serve a caller"`
	History    historyCommand    `command:"history" description:"Show accepted changes, newest first"`
	Edit       editCommand       `command:"edit" description:"Edit a document in $EDITOR"`
	Schema     schemaCommand     `command:"schema" description:"Print the JSON Schema of the documents"`
	Completion completionCommand `command:"completion" description:"Print the shell completion script for bash or zsh"`
}

// environment is what a command works with.
type environment struct {
	options *options
	client  *client.Client
	stdin   io.Reader
	stdout  io.Writer
	stderr  io.Writer
}

// command is one command of the tool.
type command interface {
	run(ctx context.Context, env *environment) error
}

// exitError ends the tool with a code of its own.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func usage(format string, args ...any) error {
	return &exitError{ExitUsage, fmt.Errorf(format, args...)}
}

// Run runs the tool and returns its exit code.
func Run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	opts := &options{}
	parser := flags.NewNamedParser("cassiasillctl", flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Options", exitCodesHelp, opts); err != nil {
		fmt.Fprintln(stderr, "cassiasillctl:", err)
		return ExitFailure
	}
	parser.LongDescription = "Edits and inspects the labels and rules of cassiasill.\n\n" + exitCodesHelp
	var chosen command
	parser.CommandHandler = func(c flags.Commander, rest []string) error {
		if len(rest) > 0 {
			return usage("unexpected argument %q", rest[0])
		}
		chosen, _ = c.(command)
		return nil
	}
	if _, err := parser.ParseArgs(args); err != nil {
		var flagError *flags.Error
		if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
			fmt.Fprintln(stdout, err)
			return ExitOK
		}
		fmt.Fprintln(stderr, "cassiasillctl:", err)
		return ExitUsage
	}
	if chosen == nil {
		fmt.Fprintln(stderr, "cassiasillctl: no command")
		return ExitUsage
	}
	return execute(ctx, opts, chosen, stdin, stdout, stderr)
}

func execute(ctx context.Context, opts *options, chosen command, stdin io.Reader, stdout, stderr io.Writer) int {
	ctx, cancel := context.WithTimeout(ctx, opts.Timeout)
	defer cancel()
	c, err := client.New(client.Config{
		Servers: opts.Server, TokenFile: opts.TokenFile, CAFile: opts.CAFile, CertFile: opts.CertFile,
		KeyFile: opts.KeyFile, ServerName: opts.ServerName, Operator: os.Getenv("USER"),
	})
	if err != nil {
		fmt.Fprintln(stderr, "cassiasillctl:", err)
		return ExitUsage
	}
	err = chosen.run(ctx, &environment{options: opts, client: c, stdin: stdin, stdout: stdout, stderr: stderr})
	if err != nil && err.Error() != "" {
		fmt.Fprintln(stderr, "cassiasillctl:", strings.ReplaceAll(err.Error(), "\n", "\n  "))
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var own *exitError
	var refusal *client.Error
	var unreachable *client.UnreachableError
	var unknown *client.UnknownError
	var document *declaration.DocumentError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &own):
		return own.code
	case errors.As(err, &unknown):
		return ExitUnknown
	case errors.As(err, &unreachable):
		return ExitUnavailable
	case errors.As(err, &document):
		return ExitInvalid
	case !errors.As(err, &refusal):
		return ExitFailure
	}
	switch refusal.Problem.Kind {
	case apierror.KindInvalidDocument, apierror.KindTooLarge, apierror.KindBadRequest:
		return ExitInvalid
	case apierror.KindConflict:
		return ExitConflict
	case apierror.KindNotFound:
		return ExitNotFound
	case apierror.KindUnauthorized, apierror.KindForbidden:
		return ExitUnauthorized
	case apierror.KindStoreOutcomeUnknown:
		return ExitUnknown
	case apierror.KindStoreUnavailable, apierror.KindOverloaded, apierror.KindShuttingDown, apierror.KindStaleHost:
		return ExitUnavailable
	}
	return ExitFailure
}

// noExecute satisfies flags.Commander; the command runs after parsing.
type noExecute struct{}

// Execute is not called: Run handles commands itself.
func (noExecute) Execute([]string) error { return nil }
