package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

const fuzzSeed = `{"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/a/","kind":"safe","timeoutMs":900,"service":"s",
	"trafficSplit":[{"service":"s","weight":1}]}],"services":[{"name":"s","runtime":{"models":[{"name":"m","weightsMb":5}]}}],
	"tenants":[{"name":"a","apiKeys":["k"]}],"limits":{"maxBodyBytes":0}}`

// FuzzCheckManifest guards against a panic, output that isn't JSON or spans lines, and a check that
// judges a manifest otherwise than instances do.
func FuzzCheckManifest(f *testing.F) {
	for _, seed := range []string{
		"", "null", "[]", `{"version":1`, "\xff", fuzzSeed, `{"version":1,"tenants":[{"apiKeys":["",null]}]}`,
		`{"VERSION":2,"version":null,"routes":[{"kind":"streaming"},{"kind":7}]}`,
	} {
		f.Add([]byte(seed), []byte(fuzzSeed))
		f.Add([]byte(fuzzSeed), []byte(seed))
	}
	// The fuzzer's workers are processes, each with a file of its own.
	before := filepath.Join(f.TempDir(), fmt.Sprint(os.Getpid(), ".json"))
	f.Fuzz(func(t *testing.T, next, inEffect []byte) {
		require.NoError(t, os.WriteFile(before, inEffect, 0o600))
		check := func(format string) (code int, stdout string) {
			var out bytes.Buffer
			c := &checkManifestCommand{environment: &environment{stdout: &out}, InEffect: flags.Filename(before), Format: format, stdin: bytes.NewReader(next)}
			c.Args.File = standardInput
			err := c.Execute(nil)
			if err != nil {
				require.NotContains(t, err.Error(), "\n")
				code = exitCode(err)
			}
			return code, out.String()
		}
		code, stdout := check("json")
		var report manifestReport
		require.NoError(t, json.Unmarshal([]byte(stdout), &report))
		rejected := false
		for _, finding := range report.Findings {
			require.NotContains(t, finding.Message, "\n")
			require.NotEqual(t, "unusable", finding.Code, "the check misses why instances reject the manifest")
			rejected = rejected || finding.Severity == "error" && finding.Document == "manifest" &&
				finding.Code != "not_utf8" && finding.Code != "version_not_higher"
		}
		if _, err := platform.DecodeManifest(next); (err != nil) != rejected {
			t.Fatalf("instances: %v, check: %s", err, stdout)
		}
		want := ExitOK
		switch {
		case report.Errors > 0:
			want = ExitBadInput
		case report.Warnings > 0:
			want = ExitWarnings
		}
		require.Equal(t, want, code)
		textCode, text := check("text")
		require.Equal(t, code, textCode)
		require.Equal(t, len(report.Findings), strings.Count("\n"+text, "\nerror: ")+strings.Count("\n"+text, "\nwarning: "))
	})
}
