package cli

import (
	"fmt"
	"io"
	"os"
	"runtime"

	"github.com/cyclamenhoist/cyclamenhoist/internal/experiment"
	"github.com/cyclamenhoist/cyclamenhoist/internal/fleetsim"
)

const experimentHelp = `Compares the placement and keep-alive policies with baselines on arrival
traces of one deployment, in virtual time. The output is deterministic for a
given seed.

With --platform it simulates the deployment on the platform instead, for 40 s
of normal load and of overload, including model swaps, batching, queueing and
clients that retry.

Examples:
  cyclamenhoist experiment --platform --deployment oarworks --seed 1
  cyclamenhoist experiment --deployment shoalmark --seed 1
  cyclamenhoist experiment --deployment oarworks --seed 1 --png curve.png`

type experimentCommand struct {
	*environment

	Deployment string `long:"deployment" required:"yes" choice:"shoalmark" choice:"oarworks" description:"deployment whose sizes and weights are used"`
	Seed       uint64 `long:"seed" default:"1" description:"seed of the traces"`
	JSON       bool   `long:"json" description:"print JSON"`
	Days       int    `long:"days" default:"14" description:"length of a trace in days"`
	NoCurves   bool   `long:"no-curves" description:"skip the trade-off curves, which take most of the time"`
	Platform   bool   `long:"platform" description:"simulate the deployment on the platform"`
	PNG        string `long:"png" value-name:"FILE" description:"file to write the trade-off curve to"`
}

// Execute implements flags.Commander.
func (c *experimentCommand) Execute([]string) error {
	result, err := c.run()
	if err != nil {
		return err
	}
	if err := c.writePNG(result); err != nil {
		return err
	}
	if c.JSON {
		return result.WriteJSON(c.stdout)
	}
	return result.WriteTable(c.stdout)
}

// comparison is the result of an experiment.
type comparison interface {
	WriteTable(io.Writer) error
	WriteJSON(io.Writer) error
	WritePNG(io.Writer) error
}

func (c *experimentCommand) run() (comparison, error) {
	if c.Platform {
		return fleetsim.Run(fleetsim.Options{Deployment: c.Deployment, Seed: c.Seed})
	}
	return experiment.Run(experiment.Options{
		Deployment: c.Deployment, Seed: c.Seed, Days: c.Days, NoCurves: c.NoCurves, Parallel: runtime.NumCPU(),
	})
}

func (c *experimentCommand) writePNG(result comparison) error {
	if c.PNG == "" {
		return nil
	}
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
