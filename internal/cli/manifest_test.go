package cli_test

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/internal/cli"
)

const usableManifest = `{"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/a/","kind":"safe","timeoutMs":900,
	"targetLatencyMs":300,"service":"s"}],"services":[{"name":"s"}],"tenants":[{"name":"a","apiKeys":["KEY-ONE"]}]}`

// TestCheckManifest guards against an exit code that lets a script publish a faulty manifest, and
// against a key in the output.
func TestCheckManifest(t *testing.T) {
	usable := write(t, usableManifest)
	next := write(t, strings.NewReplacer(`7`, `8`, `900`, `800`, `"KEY-ONE"`, `"KEY-TWO","KEY-THREE"`).Replace(usableManifest))
	warned := write(t, strings.Replace(usableManifest, "900", "200", 1))
	faulty := write(t, strings.Replace(usableManifest, `["KEY-ONE"]`, `"KEY-ONE"`, 1))
	for name, tc := range map[string]struct {
		args   []string
		code   int
		output []string
	}{
		"usable":         {args: []string{usable}, output: []string{"no errors, no warnings"}},
		"next":           {args: []string{"--in-effect", usable, next}, output: []string{"2 differences", `route "r": timeoutMs 900 -> 800`, `account "a": 2 keys added, 1 removed`}},
		"older":          {args: []string{"--in-effect", next, usable}, code: 2, output: []string{"error: " + usable + ": version: ", "version_not_higher", "1 error, 0 warnings"}},
		"warned":         {args: []string{warned}, code: 1, output: []string{"routes[0].timeoutMs", "timeout_under_objective"}},
		"faulty":         {args: []string{faulty}, code: 2, output: []string{":2:", "tenants[0].apiKeys: must be a list"}},
		"faulty before":  {args: []string{"--in-effect", faulty, next}, code: 2, output: []string{faulty + ":2:"}},
		"cut":            {args: []string{write(t, usableManifest[:80])}, code: 2, output: []string{":1:80: unexpected end"}},
		"no file":        {args: []string{"/nonexistent"}, code: 2, output: []string{"nonexistent"}},
		"a directory":    {args: []string{t.TempDir()}, code: 2, output: []string{"directory"}},
		"no such before": {args: []string{"--in-effect", "/nonexistent", usable}, code: 2, output: []string{"nonexistent"}},
		"no argument":    {code: 2, output: []string{"FILE"}},
		"stdin twice":    {args: []string{"--in-effect", "-", "-"}, code: 2, output: []string{"standard input"}},
		"unknown format": {args: []string{"--format", "xml", usable}, code: 2, output: []string{"xml"}},
		"without an end": {args: []string{"/dev/zero"}, code: 2, output: []string{"too_large"}},
	} {
		t.Run(name, func(t *testing.T) {
			code, stdout, stderr := run(append([]string{"check-manifest"}, tc.args...)...)
			require.Equal(t, tc.code, code, stdout+stderr)
			for _, part := range tc.output {
				require.Contains(t, stdout+stderr, part)
			}
			require.NotContains(t, stdout+stderr, "KEY-")
		})
	}
}

// TestCheckManifestJSON guards against a change of the shape that scripts read.
func TestCheckManifestJSON(t *testing.T) {
	input, err := os.Open(write(t, strings.NewReplacer(`7`, `8`, `900`, `200`).Replace(usableManifest)))
	require.NoError(t, err)
	defer input.Close()
	stdin := os.Stdin
	os.Stdin = input
	defer func() { os.Stdin = stdin }()
	code, stdout, _ := run("check-manifest", "--format", "json", "--in-effect", write(t, usableManifest), "-")
	assert.Equal(t, cli.ExitWarnings, code)
	assert.JSONEq(t, `{"version":8,"versionInEffect":7,"errors":0,"warnings":1,"compared":true,
		"findings":[{"severity":"warning","document":"manifest","code":"timeout_under_objective","path":"routes[0].timeoutMs",
			"message":"the timeout, 200ms, is under the latency objective, 300ms"}],
		"changes":[{"action":"changed","kind":"route","name":"r","fields":[{"field":"timeoutMs","old":900,"new":200}],"keysAdded":0,"keysRemoved":0}]}`, stdout)
}
