package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/manifestcheck"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

// ExitWarnings means that a manifest can be published, but that it has warnings.
const ExitWarnings = 1

const checkManifestHelp = `Checks a manifest of the platform before it is published: the file FILE, or
standard input if FILE is "-". It lists every error, with which instances
don't use the manifest or not as it was written, and warnings about entries
that never match and limits that contradict each other. With --in-effect it
also lists what differs from the manifest in effect. Keys of accounts are
never printed.

Exit codes: 0 no errors and no warnings, 1 warnings, 2 errors, an unreadable
file or an invalid flag.

Examples:
  cyclamenhoist check-manifest --in-effect current.json next.json
  cyclamenhoist check-manifest --format json - < next.json`

type checkManifestCommand struct {
	*environment

	InEffect flags.Filename `long:"in-effect" value-name:"FILE" description:"manifest in effect, to compare with; - for standard input"`
	Format   string         `long:"format" choice:"text" choice:"json" default:"text" description:"format of the output"`
	Args     struct {
		File flags.Filename `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`

	stdin io.Reader
}

// standardInput is the name of standard input instead of a file.
const standardInput = "-"

// Execute implements flags.Commander.
func (c *checkManifestCommand) Execute([]string) error {
	if c.Args.File == standardInput && c.InEffect == standardInput {
		return badInput(errors.New("only one of FILE and --in-effect can be standard input"))
	}
	data, err := c.read(string(c.Args.File))
	if err != nil {
		return badInput(err)
	}
	var inEffect []byte
	if c.InEffect != "" {
		if inEffect, err = c.read(string(c.InEffect)); err != nil {
			return badInput(err)
		}
	}
	report := platform.CheckManifest(data, inEffect)
	if c.Format == "json" {
		if err := printJSON(c.stdout, newManifestReport(report)); err != nil {
			return badInput(errors.Wrap(err, "write the report"))
		}
	} else {
		writeManifestReport(c.stdout, string(c.Args.File), string(c.InEffect), report)
	}
	summary := errors.Errorf("%s: %s, %s", c.Args.File, count(report.Errors, "error"), count(report.Warnings, "warning"))
	switch {
	case report.Errors > 0:
		return badInput(summary)
	case report.Warnings > 0:
		return &exitError{code: ExitWarnings, err: summary}
	}
	return nil
}

// read returns the content of a file, never nil. It stops one byte after the size that instances can
// read, which the check reports.
func (c *checkManifestCommand) read(name string) ([]byte, error) {
	source := c.stdin
	if name != standardInput {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer func() { _ = file.Close() }()
		source = file
	}
	data, err := io.ReadAll(io.LimitReader(source, platform.MaxManifestBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read the manifest")
	}
	return data, nil
}

func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return strconv.Itoa(n) + " " + noun + "s"
}

// The JSON output of check-manifest. Fields are added between releases, but neither renamed nor
// removed.
type (
	manifestReport struct {
		Version         *int64            `json:"version"`
		VersionInEffect *int64            `json:"versionInEffect"`
		Errors          int               `json:"errors"`
		Warnings        int               `json:"warnings"`
		Findings        []manifestFinding `json:"findings"`
		Compared        bool              `json:"compared"`
		Changes         []manifestChange  `json:"changes"`
	}
	manifestFinding struct {
		Severity string `json:"severity"`
		Document string `json:"document"`
		Code     string `json:"code"`
		Path     string `json:"path"`
		Line     int    `json:"line,omitempty"`
		Column   int    `json:"column,omitempty"`
		Message  string `json:"message"`
	}
	manifestChange struct {
		Action      string                `json:"action"`
		Kind        string                `json:"kind"`
		Name        string                `json:"name"`
		Fields      []manifestFieldChange `json:"fields"`
		KeysAdded   int                   `json:"keysAdded"`
		KeysRemoved int                   `json:"keysRemoved"`
	}
	manifestFieldChange struct {
		Field string          `json:"field"`
		Old   json.RawMessage `json:"old"`
		New   json.RawMessage `json:"new"`
	}
)

func severity(f *platform.ManifestFinding) string {
	if f.Error {
		return "error"
	}
	return "warning"
}

func newManifestReport(r *platform.ManifestReport) *manifestReport {
	out := &manifestReport{
		Version: r.Version, VersionInEffect: r.InEffect, Errors: r.Errors, Warnings: r.Warnings, Compared: r.Compared,
		Findings: []manifestFinding{}, Changes: []manifestChange{},
	}
	for i := range r.Findings {
		f := &r.Findings[i]
		document := "manifest"
		if f.InEffect {
			document = "in_effect"
		}
		out.Findings = append(out.Findings, manifestFinding{
			Severity: severity(f), Document: document, Code: f.Code, Path: f.Path, Line: f.Line, Column: f.Column, Message: f.Message,
		})
	}
	for _, c := range r.Changes {
		change := manifestChange{
			Action: string(c.Action), Kind: c.Kind, Name: c.Name, Fields: []manifestFieldChange{},
			KeysAdded: c.KeysAdded, KeysRemoved: c.KeysRemoved,
		}
		for _, f := range c.Fields {
			change.Fields = append(change.Fields, manifestFieldChange{Field: f.Name, Old: json.RawMessage(f.Old), New: json.RawMessage(f.New)})
		}
		out.Changes = append(out.Changes, change)
	}
	return out
}

// writeManifestReport writes one line for each finding and each difference.
func writeManifestReport(w io.Writer, file, inEffect string, r *platform.ManifestReport) {
	for i := range r.Findings {
		f := &r.Findings[i]
		name := file
		if f.InEffect {
			name = inEffect
		}
		if f.Line > 0 {
			name = fmt.Sprintf("%s:%d:%d", name, f.Line, f.Column)
		}
		if f.Path != "" {
			name += ": " + f.Path
		}
		fmt.Fprintf(w, "%s: %s: %s (%s)\n", severity(f), name, f.Message, f.Code)
	}
	if more := r.Errors + r.Warnings - len(r.Findings); more > 0 {
		fmt.Fprintf(w, "%s not listed\n", count(more, "more finding"))
	}
	if r.Compared {
		fmt.Fprintf(w, "%s from %s: %s\n", file, inEffect, count(len(r.Changes), "difference"))
	}
	for i := range r.Changes {
		writeManifestChange(w, &r.Changes[i])
	}
	if r.Errors == 0 && r.Warnings == 0 {
		fmt.Fprintf(w, "%s: no errors, no warnings\n", file)
	}
}

func writeManifestChange(w io.Writer, c *manifestcheck.Change) {
	entry := c.Kind
	if c.Name != "" {
		entry += " " + abbreviate(strconv.Quote(c.Name))
	}
	if c.Action != manifestcheck.Changed {
		fmt.Fprintf(w, "%s: %s", c.Action, entry)
		if c.Kind == "account" {
			fmt.Fprintf(w, ", %s", count(c.KeysAdded+c.KeysRemoved, "key"))
		}
		fmt.Fprintln(w)
		return
	}
	for _, f := range c.Fields {
		fmt.Fprintf(w, "changed: %s: %s %s -> %s\n", entry, f.Name, abbreviate(f.Old), abbreviate(f.New))
	}
	if c.KeysAdded+c.KeysRemoved > 0 {
		fmt.Fprintf(w, "changed: %s: %s added, %d removed\n", entry, count(c.KeysAdded, "key"), c.KeysRemoved)
	}
}

// maxShownBytes is the length of a value above which text output cuts it. Hosts and names have up to
// 253 bytes.
const maxShownBytes = 300

func abbreviate(s string) string {
	if len(s) > maxShownBytes {
		return s[:maxShownBytes] + "..."
	}
	return s
}
