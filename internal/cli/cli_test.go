package cli_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/internal/cli"
)

func run(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = cli.Run(args, &out, &errs)
	return code, out.String(), errs.String()
}

func write(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "file.jsonc")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestEveryCommandHasHelpWithAnExample(t *testing.T) {
	_, usage, _ := run("--help")
	for _, name := range []string{
		"serve", "edge", "check", "check-manifest", "demo", "standin", "publish", "status", "explain", "load", "experiment", "completion",
	} {
		require.Contains(t, usage, name)
		code, help, _ := run(name, "--help")
		require.Equal(t, cli.ExitOK, code, name)
		require.Contains(t, help, "Example", name)
	}
}

func TestExitCodes(t *testing.T) {
	faulty := write(t, `{"instance": {"zone": "a"}, "callers": {"address": "x", "max_body_bytes": 1, "colour": 1},
		"shutdown": {"delay": "soon"}, "platform": {"log_url": "ftp://x", "store_url": "http://127.0.0.1:1", "live_url": "http://127.0.0.1:1"}}`)
	for name, tc := range map[string]struct {
		args   []string
		code   int
		stderr []string
	}{
		"no command":        {code: cli.ExitBadInput, stderr: []string{"Available commands"}},
		"unknown command":   {args: []string{"frobnicate"}, code: cli.ExitBadInput, stderr: []string{"frobnicate"}},
		"leftover":          {args: []string{"standin", "now"}, code: cli.ExitBadInput, stderr: []string{"now"}},
		"unknown flag":      {args: []string{"serve", "--colour"}, code: cli.ExitBadInput, stderr: []string{"colour"}},
		"no settings":       {args: []string{"serve"}, code: cli.ExitBadInput, stderr: []string{"--settings"}},
		"missing file":      {args: []string{"check", "/nonexistent"}, code: cli.ExitBadInput, stderr: []string{"nonexistent"}},
		"unreachable":       {args: []string{"status", "--operators", "http://127.0.0.1:1"}, code: cli.ExitFailed, stderr: []string{"unreachable"}},
		"bad publish id":    {args: []string{"publish", "--id", "x", write(t, exampleTargets(t))}, code: cli.ExitBadInput, stderr: []string{"--id"}},
		"faulty publish":    {args: []string{"publish", write(t, `{}`)}, code: cli.ExitBadInput, stderr: []string{"classes"}},
		"faulty settings":   {args: []string{"serve", "--settings", faulty}, code: cli.ExitBadInput, stderr: fiveFaults},
		"edge, no settings": {args: []string{"edge"}, code: cli.ExitBadInput, stderr: []string{"--settings"}},
		"edge settings":     {args: []string{"check", write(t, `{"instance": {"name": ""}, "readiness": {"address": "x"}}`)}, code: cli.ExitBadInput, stderr: []string{"instance.name", "instance.zone", "readiness.address", "clients.address"}},
		"no such log":       {args: []string{"explain", "--request", "r", "/nonexistent"}, code: cli.ExitBadInput, stderr: []string{"nonexistent"}},
		"not in the log":    {args: []string{"explain", "--request", "r", write(t, "")}, code: cli.ExitFailed, stderr: []string{"nothing about"}},
		"two questions":     {args: []string{"explain", "--request", "r", "--model", "m", "x"}, code: cli.ExitBadInput, stderr: []string{"not both"}},
		"checked settings":  {args: []string{"check", faulty}, code: cli.ExitBadInput, stderr: fiveFaults},
	} {
		t.Run(name, func(t *testing.T) {
			code, _, stderr := run(tc.args...)
			require.Equal(t, tc.code, code, stderr)
			for _, part := range tc.stderr {
				require.Contains(t, stderr, part)
			}
		})
	}
	_, _, stderr := run("check", faulty)
	require.Equal(t, len(fiveFaults), strings.Count(strings.TrimSpace(stderr), "\n")+1, stderr)
}

var fiveFaults = []string{"callers.address", "callers.max_body_bytes", "callers.colour", "shutdown.delay", "platform.log_url"}

func exampleTargets(t *testing.T) string {
	code, text, _ := run("check", "--print-targets")
	require.Equal(t, cli.ExitOK, code)
	return text
}

func TestPrintedExamplesAreValid(t *testing.T) {
	for _, args := range [][]string{{"check", "--print-targets"}, {"standin", "--print-targets"}, {"serve", "--print-defaults"}} {
		code, text, _ := run(args...)
		require.Equal(t, cli.ExitOK, code)
		code, stdout, stderr := run("check", write(t, text))
		require.Equal(t, cli.ExitOK, code, stderr)
		require.Contains(t, stdout, "valid")
	}
}

func TestCompletionScriptNamesTheProgram(t *testing.T) {
	code, script, _ := run("completion")
	require.Equal(t, cli.ExitOK, code)
	require.Contains(t, script, "complete -F _cyclamenhoist cyclamenhoist")
}
