// Package cli implements the command line of cyclamenhoist.
package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
)

// The exit codes of every command.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command failed, or that the demo found a
	// violated guarantee.
	ExitFailed = 1
	// ExitBadInput means that a flag, a settings file or a targets file is invalid.
	ExitBadInput = 2
	// ExitLost means that another publish on the same base was accepted first.
	ExitLost = 3
	// ExitUnknown means that it isn't known whether a publish was accepted.
	ExitUnknown = 4
)

// exitError is an error with an exit code other than ExitFailed.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func badInput(err error) error { return &exitError{code: ExitBadInput, err: err} }

// environment holds the outputs of commands and the contexts that end them: stop is
// canceled at the first signal, kill at the second.
type environment struct {
	stdout, stderr io.Writer
	stop, kill     context.Context
}

// subcommand is a subcommand with its help texts.
type subcommand struct {
	name, short, long string
	command           flags.Commander
}

func subcommands(env *environment) []subcommand {
	return []subcommand{
		{"serve", "run one entry instance", serveHelp, &serveCommand{environment: env}},
		{"edge", "run one entry instance on the platform", edgeHelp, &edgeCommand{environment: env}},
		{"check", "validate a settings or targets file", checkHelp, &checkCommand{environment: env}},
		{"check-manifest", "check a manifest of the platform before it is published", checkManifestHelp, &checkManifestCommand{environment: env, stdin: os.Stdin}},
		{"demo", "run stand-ins and instances in one process on loopback", demoHelp, &demoCommand{environment: env}},
		{"standin", "run stand-ins of the platform's services and servers", standinHelp, &standinCommand{environment: env}},
		{"publish", "publish a targets document", publishHelp, &publishCommand{environment: env}},
		{"status", "show an instance's status and its view of the system", statusHelp, &statusCommand{environment: env}},
		{"explain", "explain why a model is or isn't loaded", explainHelp, &explainCommand{environment: env}},
		{"load", "generate load and report percentiles", loadHelp, &loadCommand{environment: env}},
		{"experiment", "compare placement policies in virtual time", experimentHelp, &experimentCommand{environment: env}},
		{"completion", "print a shell completion script", completionHelp, &completionCommand{environment: env}},
	}
}

const exitCodesHelp = `Exit codes: 0 success, 1 failure, 2 invalid flag or file, 3 another publish was
accepted first, 4 unknown whether a publish was accepted.`

// Run executes the command line args, which exclude the program's name, and returns
// the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	stop, kill, release := signalContexts()
	defer release()
	env := &environment{stdout: stdout, stderr: stderr, stop: stop, kill: kill}
	parser, err := newParser(env)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	_, err = parser.ParseArgs(args)
	var flagErr *flags.Error
	switch {
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, flagErr.Message)
		return ExitOK
	case errors.As(err, &flagErr):
		fmt.Fprintln(stderr, flagErr.Message)
		return ExitBadInput
	case err != nil:
		fmt.Fprintln(stderr, err)
		return exitCode(err)
	case parser.Active == nil:
		parser.WriteHelp(stderr)
		return ExitBadInput
	}
	return ExitOK
}

func exitCode(err error) int {
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitFailed
}

func newParser(env *environment) (*flags.Parser, error) {
	parser := flags.NewNamedParser("cyclamenhoist", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "serves rarely used models on shared accelerators"
	parser.LongDescription = "Serves rarely used models on shared accelerators.\n\n" + exitCodesHelp
	parser.SubcommandsOptional = true
	parser.CommandHandler = func(command flags.Commander, args []string) error {
		switch {
		case len(args) > 0 && command == nil:
			return badInput(errors.Errorf("unknown command %q", args[0]))
		case len(args) > 0:
			return badInput(errors.Errorf("unexpected argument %q", args[0]))
		case command == nil:
			return nil
		}
		return command.Execute(args)
	}
	for _, e := range subcommands(env) {
		if _, err := parser.AddCommand(e.name, e.short, e.long, e.command); err != nil {
			return nil, errors.Wrap(err, "add command "+e.name)
		}
	}
	return parser, nil
}
