package cli

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/internal/app"
	"github.com/cyclamenhoist/cyclamenhoist/internal/fleetapp"
	"github.com/cyclamenhoist/cyclamenhoist/internal/settings"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/jsonc"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/targets"
)

const serveHelp = `Runs one entry instance with the settings in FILE. The file is validated
completely before any listener opens. SIGTERM or SIGINT shuts the instance down
gracefully. A further SIGTERM changes nothing; a second SIGINT, or SIGKILL,
terminates it immediately.

Example:
  cyclamenhoist serve --print-defaults > settings.jsonc
  cyclamenhoist serve --settings settings.jsonc`

type serveCommand struct {
	*environment

	Settings      string `long:"settings" value-name:"FILE" description:"settings in JSON with comments"`
	PrintDefaults bool   `long:"print-defaults" description:"print a commented settings file with the defaults"`
}

// Execute implements flags.Commander.
func (c *serveCommand) Execute([]string) error {
	if c.PrintDefaults {
		fmt.Fprint(c.stdout, settings.Example())
		return nil
	}
	if c.Settings == "" {
		return badInput(errors.New("--settings FILE or --print-defaults is required"))
	}
	s, err := settings.Load(c.Settings)
	if err != nil {
		return badInput(err)
	}
	instance, err := app.New(s, app.Options{LogOutput: c.stderr})
	if err != nil {
		return err
	}
	return instance.Run(c.kill, c.stop)
}

const checkHelp = `Validates a settings or a targets file and lists every fault with its path
and the allowed values. Settings of an instance on the platform are
recognized by their "readiness" key.

Examples:
  cyclamenhoist check settings.jsonc
  cyclamenhoist check --targets targets.jsonc
  cyclamenhoist check --print-targets > targets.jsonc`

type checkCommand struct {
	*environment

	Targets      bool `long:"targets" description:"treat the file as a targets file; detected from its keys by default"`
	PrintTargets bool `long:"print-targets" description:"print a commented targets file"`
	Args         struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *checkCommand) Execute([]string) error {
	if c.PrintTargets {
		fmt.Fprint(c.stdout, targets.Example)
		return nil
	}
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return badInput(err)
	}
	kind := "settings"
	if c.Targets || looksLikeTargets(data) {
		kind = "targets"
		err = targets.Validate(data)
	} else if looksLikeEdgeSettings(data) {
		kind = "settings of an instance on the platform"
		_, err = fleetapp.Parse(data)
	} else {
		_, err = settings.Parse(data)
	}
	if err != nil {
		return badInput(err)
	}
	fmt.Fprintf(c.stdout, "%s: valid %s\n", c.Args.File, kind)
	return nil
}

// looksLikeEdgeSettings reports whether the top-level keys are those of the settings
// of an instance on the platform.
func looksLikeEdgeSettings(data []byte) bool {
	var keys struct {
		Readiness map[string]any `json:"readiness"`
	}
	// Decode reports the other keys as faults, which are ignored here.
	_ = jsonc.Decode(data, &keys)
	return keys.Readiness != nil
}

// looksLikeTargets reports whether the top-level keys are those of a targets file.
func looksLikeTargets(data []byte) bool {
	var keys struct {
		Classes []any `json:"classes"`
	}
	// Decode reports the other keys as faults, which are ignored here.
	_ = jsonc.Decode(data, &keys)
	return keys.Classes != nil
}
