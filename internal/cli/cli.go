// Package cli is the command line of cyclamenhoist.
package cli

import (
	"fmt"
	"io"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
)

// The exit codes of every command.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitBadInput = 2
)

// Run executes the command line and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	parser := flags.NewParser(&struct{}{}, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "cyclamenhoist"
	_, err := parser.ParseArgs(args)
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, flagErr.Message)
		return ExitOK
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitBadInput
	}
	return ExitOK
}
