package cli

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/internal/fleetapp"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

const edgeHelp = `Runs one entry instance on the platform. It reads the routes, services and
backend servers from the platform's metadata store, and its settings from
FILE or from the file that the environment variable ` + platform.SettingsVariable + `
names. SIGTERM or SIGINT shuts the instance down gracefully. A further SIGTERM
changes nothing; a second SIGINT, or SIGKILL, terminates it immediately.

Example:
  cyclamenhoist edge --print-defaults > edge.jsonc
  cyclamenhoist edge --settings edge.jsonc`

type edgeCommand struct {
	*environment

	Settings      string `long:"settings" value-name:"FILE" description:"settings in JSON with comments"`
	PrintDefaults bool   `long:"print-defaults" description:"print a commented settings file with the defaults"`
}

// Execute implements flags.Commander.
func (c *edgeCommand) Execute([]string) error {
	if c.PrintDefaults {
		fmt.Fprint(c.stdout, fleetapp.Example())
		return nil
	}
	path := c.Settings
	if path == "" {
		path = os.Getenv(platform.SettingsVariable)
	}
	if path == "" {
		return badInput(errors.New("--settings FILE or --print-defaults is required"))
	}
	settings, err := fleetapp.Load(path)
	if err != nil {
		return badInput(err)
	}
	instance, err := fleetapp.New(settings, path, c.stdout)
	if err != nil {
		return err
	}
	return instance.Run(c.kill, c.stop)
}
