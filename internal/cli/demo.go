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
	edgestandin "github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

const demoHelp = `Runs stand-ins for the platform, model engines and a plain service, and two
entry instances in each of two availability zones, all in this process on
loopback. It prints the addresses and example commands, and runs until
interrupted.

With --once it sends a burst of requests for one cold model to all instances,
and one entry that mustn't run twice to two of them, and exits with code 0
only if every guarantee held.

With --platform it runs instances on the platform instead: stand-ins for the
platform's metadata store, model servers and a plain server, and two entry
instances as "cyclamenhoist edge" runs them.

Examples:
  cyclamenhoist demo
  cyclamenhoist demo --once
  cyclamenhoist demo --platform --once`

const (
	demoStartTimeout = 10 * time.Second
	demoOnceTimeout  = 20 * time.Second
)

type demoCommand struct {
	*environment

	Once     bool `long:"once" description:"send one burst, report the result, and exit"`
	JSON     bool `long:"json" description:"with --once: print the report as JSON"`
	Platform bool `long:"platform" description:"run instances on the platform"`
	Verbose  bool `long:"verbose" description:"show the instances' logs"`
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	logs := io.Discard
	if c.Verbose {
		logs = c.stderr
	}
	if c.Platform {
		return c.edge(logs)
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
	c.printAddresses(cluster)
	<-c.stop.Done()
	return cluster.Stop()
}

func (c *demoCommand) printAddresses(cluster *demo.Cluster) {
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
	return violationsError(result.Violations())
}

func violationsError(broken []string) error {
	if len(broken) > 0 {
		return errors.New("broken: " + strings.Join(broken, "; "))
	}
	return nil
}

// edge runs the demonstration of the instances on the platform.
func (c *demoCommand) edge(logs io.Writer) error {
	start, cancel := context.WithTimeoutCause(c.stop, demoOnceTimeout, errors.New("not done within 20 s"))
	defer cancel()
	edge, err := demo.StartEdge(start, c.kill, logs)
	if err != nil {
		return err
	}
	if !c.Once {
		c.printEdgeAddresses(edge)
		<-c.stop.Done()
		return edge.Stop()
	}
	result := edge.Burst(start)
	if err := edge.Stop(); err != nil {
		return err
	}
	if err := c.reportEdge(result); err != nil {
		return err
	}
	return violationsError(result.Violations())
}

func (c *demoCommand) printEdgeAddresses(e *demo.Edge) {
	out := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "clients\tmetrics")
	for n := range e.Clients {
		fmt.Fprintf(out, "http://%s\thttp://%s/\n", e.Clients[n], e.Metrics[n])
	}
	_ = out.Flush()
	fmt.Fprintf(c.stdout, `
Platform stand-in: store %s

Ask for a model that is loaded nowhere:
  curl -N http://%s%s1 -H 'Host: %s' -H '%s: one' -H '%s: %s' -d 'What has changed on transect 4?'
Write an entry, which runs at most once:
  curl http://%s%s1 -H 'Host: %s' -H '%s: two' -d 'crew of four'
Press Ctrl-C to stop.
`, e.Store.URL, e.Clients[0], demo.EdgeModelPath, demo.EdgeHost, edgestandin.HeaderID, edgestandin.HeaderModel, demo.EdgeModel,
		e.Clients[1], demo.EdgeWebPath, demo.EdgeHost, edgestandin.HeaderID)
}

func (c *demoCommand) reportEdge(r *demo.EdgeResult) error {
	if c.JSON {
		return json.NewEncoder(c.stdout).Encode(r)
	}
	_, err := fmt.Fprintf(c.stdout, "answered %d, failed %d, runs at the servers %d, loads %d, loads beyond memory %d\n",
		r.Answered, r.Failed, r.Runs, r.Loads, r.Overloads)
	return err
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
