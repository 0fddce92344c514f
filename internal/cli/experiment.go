package cli

import (
	"fmt"
	"os"
	"runtime"

	"github.com/cyclamenhoist/cyclamenhoist/internal/experiment"
)

const experimentHelp = `Compares placement and keep-alive with baselines on arrival traces of one
deployment, in virtual time. The same seed gives the same bytes.

Examples:
  cyclamenhoist experiment --deployment shoalmark --seed 1
  cyclamenhoist experiment --deployment oarworks --seed 1 --png curve.png`

type experimentCommand struct {
	*environment

	Deployment string `long:"deployment" required:"yes" choice:"shoalmark" choice:"oarworks" description:"whose sizes and weights"`
	Seed       uint64 `long:"seed" default:"1" description:"seed of the traces"`
	JSON       bool   `long:"json" description:"print JSON"`
	Days       int    `long:"days" default:"14" description:"length of a trace"`
	NoCurves   bool   `long:"no-curves" description:"leave the trade-off curves out, which take most of the time"`
	PNG        string `long:"png" value-name:"FILE" description:"write the trade-off curve"`
}

// Execute runs the command.
func (c *experimentCommand) Execute([]string) error {
	result, err := experiment.Run(experiment.Options{
		Deployment: c.Deployment, Seed: c.Seed, Days: c.Days, NoCurves: c.NoCurves, Parallel: runtime.NumCPU(),
	})
	if err != nil {
		return err
	}
	if c.PNG != "" {
		if err := c.writePNG(result); err != nil {
			return err
		}
	}
	if c.JSON {
		return result.WriteJSON(c.stdout)
	}
	return result.WriteTable(c.stdout)
}

func (c *experimentCommand) writePNG(result *experiment.Result) error {
	file, err := os.Create(c.PNG)
	if err != nil {
		return badInput(err)
	}
	if err := result.WritePNG(file); err != nil {
		_ = file.Close()
		return err
	}
	fmt.Fprintf(c.stderr, "curve written to %s\n", c.PNG)
	return file.Close()
}
