package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/internal/demo"
	"github.com/cyclamenhoist/cyclamenhoist/internal/standin"
)

const demoHelp = `Runs stand-ins for the platform, model engines and a plain service, and two
entry instances in each of two availability zones, all in this process on
loopback. It prints the addresses and a line to paste, and runs until
interrupted.

With --once it sends a burst of requests for one cold model to all instances,
and one entry that mustn't run twice to two of them, and exits 0 only if every
promise held.

Examples:
  cyclamenhoist demo
  cyclamenhoist demo --once`

const (
	demoStartTimeout = 10 * time.Second
	demoOnceTimeout  = 20 * time.Second
)

type demoCommand struct {
	*environment

	Once    bool `long:"once" description:"send one burst, report, and exit"`
	JSON    bool `long:"json" description:"with --once: report as JSON"`
	Verbose bool `long:"verbose" description:"show the instances' logs"`
}

// Execute runs the command.
func (c *demoCommand) Execute([]string) error {
	logs := io.Discard
	if c.Verbose {
		logs = c.stderr
	}
	if c.Once {
		return c.once(logs)
	}
	start, cancel := context.WithTimeoutCause(c.kill, demoStartTimeout, errors.New("not started within 10 s"))
	defer cancel()
	cluster, err := demo.Start(start, c.kill, standin.Defaults(), logs)
	if err != nil {
		return err
	}
	c.greet(cluster)
	<-c.stop.Done()
	return cluster.Stop()
}

func (c *demoCommand) greet(cluster *demo.Cluster) {
	out := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "zone\tinstance\tcallers\toperators")
	for _, i := range cluster.Instances {
		fmt.Fprintf(out, "%s\t%s\thttp://%s\thttp://%s\n", i.Self().Zone, i.Self().ID, i.CallersAddress(), i.OperatorsAddress())
	}
	_ = out.Flush()
	first := cluster.Instances[0]
	fmt.Fprintf(c.stdout, `
Platform stand-ins: log %s, weight store %s, live list %s, faults %s

Ask for a model that is loaded nowhere:
  curl -N http://%s/v1/chat/completions -H 'Content-Type: application/json' -d '{"model": "shoreline-summary", "stream": true, "messages": [{"role": "user", "content": "What has changed on transect 4?"}]}'
Why is it loaded, and where:
  cyclamenhoist explain --operators http://%s shoreline-summary
Press Ctrl-C to stop.
`, cluster.Platform.LogURL, cluster.Platform.StoreURL, cluster.Platform.LiveURL, cluster.Platform.ControlURL+"/faults",
		first.CallersAddress(), first.OperatorsAddress())
}

func (c *demoCommand) once(logs io.Writer) error {
	ctx, cancel := context.WithTimeoutCause(c.stop, demoOnceTimeout, errors.New("not done within 20 s"))
	defer cancel()
	cluster, err := demo.Start(ctx, c.kill, standin.Defaults(), logs)
	if err != nil {
		return err
	}
	result, err := cluster.Burst(ctx)
	if stopErr := cluster.Stop(); err == nil {
		err = stopErr
	}
	if err != nil {
		return err
	}
	if err := c.report(result); err != nil {
		return err
	}
	if broken := result.Broken(); len(broken) > 0 {
		return errors.New("broken: " + strings.Join(broken, "; "))
	}
	return nil
}

func (c *demoCommand) report(r *demo.Result) error {
	if c.JSON {
		return json.NewEncoder(c.stdout).Encode(r)
	}
	out := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	for _, row := range []struct {
		name  string
		value any
	}{
		{"answered", r.Answered},
		{"refused, not run", r.Refused},
		{"unknown whether run", r.Unknown},
		{"without any ending", r.Dropped},
		{"wrong or cut answers", r.Wrong},
		{"loads decided", r.LoadsDecided},
		{"loads seen at the engines", r.LoadsSeen},
		{"memory overcommitted", r.Overcommits},
		{"answers to the entry sent twice", r.EntryAnswers},
		{"runs of that entry", r.EntryRuns},
		{"cold start p50", r.ColdP50.Round(time.Millisecond)},
		{"cold start p99", r.ColdP99.Round(time.Millisecond)},
	} {
		fmt.Fprintf(out, "%s\t%v\n", row.name, row.value)
	}
	for reason, count := range r.Reasons {
		fmt.Fprintf(out, "refused: %s\t%d\n", reason, count)
	}
	return out.Flush()
}
