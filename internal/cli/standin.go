package cli

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/cyclamenhoist/cyclamenhoist/internal/standin"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/jsonc"
)

const standinHelp = `Runs stand-ins of the log service, the weight store, the live list, model
engines and plain services on fixed addresses, for tests in which serve
processes are started, paused and killed manually. Faults can be injected at
run time.

Examples:
  cyclamenhoist standin --print-defaults > standin.json
  cyclamenhoist standin --settings standin.json
  curl http://127.0.0.1:9000/faults
  curl -X PUT http://127.0.0.1:9000/faults -d '{"log": {"calls": {"down": true}}}'
  curl http://127.0.0.1:9000/counters`

// standinPort is the first port of the stand-ins if the settings set none.
const standinPort = 9000

type standinCommand struct {
	*environment

	Settings      string `long:"settings" value-name:"FILE" description:"settings in JSON with comments; the defaults are used without it"`
	PrintDefaults bool   `long:"print-defaults" description:"print the default settings"`
	PrintTargets  bool   `long:"print-targets" description:"print a targets document for the default settings"`
}

// Execute implements flags.Commander.
func (c *standinCommand) Execute([]string) error {
	if c.PrintTargets {
		fmt.Fprint(c.stdout, standin.Targets)
		return nil
	}
	s := standin.Defaults()
	s.BasePort = standinPort
	if c.PrintDefaults {
		encoder := json.NewEncoder(c.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(s)
	}
	if c.Settings != "" {
		data, err := os.ReadFile(c.Settings)
		if err != nil {
			return badInput(err)
		}
		if err := jsonc.Decode(data, &s); err != nil {
			return badInput(err)
		}
	}
	platform, err := standin.Start(s)
	if err != nil {
		return err
	}
	defer platform.Close()
	out := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(out, "control\t%s\nlog\t%s\nweight store\t%s\nlive list\t%s\n",
		platform.ControlURL, platform.LogURL, platform.StoreURL, platform.LiveURL)
	for _, server := range platform.Servers {
		fmt.Fprintf(out, "%s\t%s\n", server.ID, server.Address)
	}
	if err := out.Flush(); err != nil {
		return err
	}
	<-c.stop.Done()
	return nil
}
