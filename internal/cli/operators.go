package cli

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/cyclamenhoist/cyclamenhoist/internal/fleetapp"
	"github.com/cyclamenhoist/cyclamenhoist/internal/logquery"
	"github.com/cyclamenhoist/cyclamenhoist/internal/operator"
	"github.com/cyclamenhoist/cyclamenhoist/internal/telemetry"
	"github.com/cyclamenhoist/cyclamenhoist/internal/tlsconf"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/targets"
)

// instanceFlags holds the flags of the commands that call the operators' API of an
// instance.
type instanceFlags struct {
	Operators   string        `long:"operators" value-name:"URL" default:"http://127.0.0.1:8081" description:"URL of the operators' listener of an instance"`
	CA          string        `long:"ca" value-name:"FILE" description:"CA of the instances, for https"`
	Certificate string        `long:"certificate" value-name:"FILE" description:"client certificate, for https"`
	Key         string        `long:"key" value-name:"FILE" description:"client key, for https"`
	Timeout     time.Duration `long:"timeout" default:"30s" description:"timeout of the command"`
	JSON        bool          `long:"json" description:"print JSON"`
}

func (t *instanceFlags) client(log io.Writer) (*operator.Client, error) {
	if !strings.HasPrefix(t.Operators, "https:") {
		return operator.NewClient(t.Operators, http.DefaultClient), nil
	}
	store, err := tlsconf.New(tlsconf.Files{CA: t.CA, Certificate: t.Certificate, Key: t.Key}, telemetry.NewLogger(log, "warn"))
	if err != nil {
		return nil, badInput(err)
	}
	transport := &http.Transport{DialTLSContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return (&tls.Dialer{Config: store.Client()}).DialContext(ctx, "tcp", address)
	}}
	return operator.NewClient(t.Operators, &http.Client{Transport: transport}), nil
}

func printJSON(out io.Writer, body any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(body)
}

const publishHelp = `Publishes the targets in FILE and waits until they are accepted. A publish
is based on the version in force when the command starts, or on --base. If
another publish on the same base is accepted first, the command reports that
and exits with code 3. If the answer to a publish is lost, the command
retries it with the same id, which is idempotent.

Example:
  cyclamenhoist publish --operators http://127.0.0.1:8081 targets.jsonc`

type publishCommand struct {
	*environment
	instanceFlags

	Base      int64  `long:"base" default:"-1" default-mask:"the version in force" description:"version that the document is based on"`
	Publisher string `long:"publisher" description:"publisher name to record; the value of $USER by default"`
	ID        string `long:"id" description:"id of an earlier attempt whose outcome is unknown"`
	Args      struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *publishCommand) Execute([]string) error {
	document, err := os.ReadFile(c.Args.File)
	if err != nil {
		return badInput(err)
	}
	if err := targets.Validate(document); err != nil {
		return badInput(err)
	}
	id, err := c.id()
	if err != nil {
		return badInput(err)
	}
	client, err := c.client(c.stderr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.stop, c.Timeout)
	defer cancel()
	base := port.Offset(c.Base)
	if base < 0 {
		accepted, err := client.Targets(ctx)
		if err != nil {
			return err
		}
		base = accepted.Version
	}
	version, err := c.publish(ctx, client, id, base, document)
	if err != nil {
		return c.outcomeError(id, base, err)
	}
	if c.JSON {
		return printJSON(c.stdout, operator.Published{Version: version})
	}
	fmt.Fprintf(c.stdout, "accepted as version %d, based on %d\n", version, base)
	return nil
}

func (c *publishCommand) id() (uuid.UUID, error) {
	if c.ID == "" {
		return uuid.New(), nil
	}
	id, err := uuid.Parse(c.ID)
	if err != nil {
		return uuid.UUID{}, errors.Wrap(err, "--id")
	}
	return id, nil
}

// publish retries with the same id and exponential backoff until the outcome is
// known or ctx ends.
func (c *publishCommand) publish(
	ctx context.Context, client *operator.Client, id uuid.UUID, base port.Offset, document []byte,
) (port.Offset, error) {
	publisher := c.Publisher
	if publisher == "" {
		publisher = os.Getenv("USER")
	}
	return backoff.Retry(ctx, func() (port.Offset, error) {
		version, err := client.Publish(ctx, id, base, publisher, document)
		var failed *operator.FailedError
		if errors.As(err, &failed) && !failed.Failure.Unknown {
			return 0, backoff.Permanent(err)
		}
		return version, err
	}, backoff.WithBackOff(backoff.NewExponentialBackOff()), backoff.WithMaxElapsedTime(c.Timeout))
}

func (c *publishCommand) outcomeError(id uuid.UUID, base port.Offset, err error) error {
	var failed *operator.FailedError
	switch {
	case errors.As(err, &failed) && failed.Failure.Winner > 0:
		return &exitError{code: ExitLost, err: errors.Errorf("lost: version %d by %q was accepted first; this publish was based on %d",
			failed.Failure.Winner, failed.Failure.WinnerPublisher, base)}
	case errors.As(err, &failed) && !failed.Failure.Unknown:
		return err
	default:
		return &exitError{code: ExitUnknown, err: errors.Wrap(err, "not known whether it was accepted; ask again with --id "+id.String()+
			fmt.Sprintf(" --base %d", base))}
	}
}

const statusHelp = `Shows an instance's status: its view of the other instances, of the backend
servers and of the platform, and how stale each source is.

With --platform it queries an instance on the platform, at the address of
its metrics listener.

Examples:
  cyclamenhoist status --operators http://127.0.0.1:8081
  cyclamenhoist status --platform http://10.0.0.7:9101`

type statusCommand struct {
	*environment
	instanceFlags

	Platform string `long:"platform" value-name:"URL" description:"URL of the metrics listener of an instance on the platform"`
}

// Execute implements flags.Commander.
func (c *statusCommand) Execute([]string) error {
	if c.Platform != "" {
		return c.platform()
	}
	client, err := c.client(c.stderr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.stop, c.Timeout)
	defer cancel()
	s, err := client.Status(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(c.stdout, s)
	}
	return writeStatus(c.stdout, s)
}

// platform prints the status of an instance on the platform.
func (c *statusCommand) platform() error {
	ctx, cancel := context.WithTimeout(c.stop, c.Timeout)
	defer cancel()
	s, err := fleetapp.FetchStatus(ctx, http.DefaultClient, c.Platform)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(c.stdout, s)
	}
	out := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(out, "instance\t%s in %s, ready: %v, draining: %v\n", s.Instance, s.Zone, s.Ready, s.Draining)
	fmt.Fprintf(out, "manifest\tversion %d, %d routes\n", s.ManifestVersion, s.Routes)
	fmt.Fprintf(out, "placing\t%s, epoch %d, this instance: %v\n", s.Holder, s.Epoch, s.Placing)
	fmt.Fprintf(out, "instances\t%d\n", s.Instances)
	fmt.Fprintf(out, "requests\t%d in progress\n", s.InFlight)
	for _, source := range s.Store {
		state := "read"
		if source.LostSeconds > 0 {
			state = "lost for " + formatAge(source.LostSeconds)
		}
		fmt.Fprintf(out, "%s\t%s\n", source.Source, state)
	}
	fmt.Fprintln(out, "\nservice\tservers\tmodels\twait for a slot")
	for _, service := range s.Services {
		fmt.Fprintf(out, "%s\t%d\t%d\t%d\n", service.Service, service.Servers, service.Models, service.WaitForSlot)
	}
	return out.Flush()
}

func formatAge(seconds float64) string {
	if seconds < 0 {
		return "never"
	}
	return time.Duration(seconds * float64(time.Second)).Round(time.Millisecond).String()
}

func writeStatus(w io.Writer, s *operator.Status) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(out, "instance\t%s in %s, ready: %v\n", s.Instance, s.Zone, s.Ready)
	fmt.Fprintf(out, "targets\tversion %d\n", s.TargetsVersion)
	fmt.Fprintf(out, "deciding\t%s, epoch %d, this instance: %v, ready: %v\n",
		s.Deciding.Holder, s.Deciding.Epoch, s.Deciding.IsHolder, s.Deciding.Ready)
	fmt.Fprintf(out, "decisions\t%d open, %d models waking, weight store %d running, %d waiting, %d strays\n",
		s.Deciding.Open, s.Deciding.Waking, s.Deciding.StoreRunning, s.Deciding.StoreWaiting, s.Deciding.Strays)
	fmt.Fprintf(out, "log\t%s, read %s ago, %d records behind\n", s.Log.State, formatAge(s.Log.AgeSeconds), s.LogBehind)
	fmt.Fprintf(out, "live list\tread %s ago\n", formatAge(s.LiveList.AgeSeconds))
	fmt.Fprintf(out, "catalogue\t%d models, read %s ago\n", s.Models, formatAge(s.Catalogue.AgeSeconds))
	for _, miss := range s.Deciding.Shortfalls {
		fmt.Fprintf(out, "class %s\tmisses its target in %.0f%% of wake-ups, %.0f%% refused, late by %s: %s\n",
			miss.Class, 100*miss.Missed, 100*miss.Refused, miss.Excess.Round(time.Millisecond), miss.Needs)
	}
	e := s.Endings
	fmt.Fprintf(out, "requests\t%d accepted, %d answered, %d refused, %d unknown, %d in progress\n",
		e.Accepted, e.Answered, e.Refused, e.Unknown, e.InProgress)
	fmt.Fprintln(out, "\ninstance\tzone\talive\tleaving\ttargets\tsilent for")
	for _, i := range s.Instances {
		fmt.Fprintf(out, "%s\t%s\t%v\t%v\t%d\t%s\n", i.ID, i.Zone, i.Alive, i.Leaving, i.Targets, formatAge(i.SecondsSinceContact))
	}
	fmt.Fprintln(out, "\nserver\tzone\tservice\troutable\tleaving\treplicas\treport age")
	for _, v := range s.Servers {
		fmt.Fprintf(out, "%s\t%s\t%s\t%v\t%v\t%d\t%s\n", v.ID, v.Zone, v.Service, v.Routable, v.Leaving, v.Replicas, formatAge(v.ReportSeconds))
	}
	return out.Flush()
}

const explainHelp = `Explains why a model is or isn't loaded, and where, according to the
decisions of the instance's zone. With --request or --model it reads the log
files of instances instead, and prints the events of a request with the
orders related to it, or the orders for a model.

Examples:
  cyclamenhoist explain --operators http://127.0.0.1:8081 shoreline-summary
  cyclamenhoist explain --request 9c41d07be2a35f68 entry-1.log entry-2.log`

type explainCommand struct {
	*environment
	instanceFlags

	Request string `long:"request" value-name:"ID" description:"request to look up in the given log files"`
	Model   string `long:"model" value-name:"MODEL" description:"model to look up in the given log files"`
	Args    struct {
		Names []string `positional-arg-name:"MODEL or FILE" required:"1"`
	} `positional-args:"yes"`
}

// explainLogs prints the log events about a request or a model.
func (c *explainCommand) explainLogs() error {
	var events []logquery.Event
	for _, name := range c.Args.Names {
		file, err := os.Open(name)
		if err != nil {
			return badInput(err)
		}
		read, err := logquery.Read(name, file)
		_ = file.Close()
		if err != nil {
			return err
		}
		events = append(events, read...)
	}
	found := logquery.Model(events, c.Model)
	if c.Request != "" {
		found = logquery.Request(events, c.Request)
	}
	if len(found) == 0 {
		return errors.Errorf("nothing about %q in %d events", c.Request+c.Model, len(events))
	}
	for _, event := range found {
		fmt.Fprintf(c.stdout, "%s  %s\n", event.Source, event.Line)
	}
	return nil
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	switch {
	case c.Request != "" && c.Model != "":
		return badInput(errors.New("give --request or --model, not both"))
	case c.Request != "" || c.Model != "":
		return c.explainLogs()
	case len(c.Args.Names) > 1:
		return badInput(errors.Errorf("unexpected argument %q", c.Args.Names[1]))
	}
	client, err := c.client(c.stderr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.stop, c.Timeout)
	defer cancel()
	e, err := client.Explain(ctx, port.ModelID(c.Args.Names[0]))
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(c.stdout, e)
	}
	return writeExplanation(c.stdout, e)
}

func writeExplanation(w io.Writer, e *operator.Explanation) error {
	fmt.Fprintf(w, "%s: %d bytes", e.Model.ID, e.Model.Bytes)
	if e.Model.Base != "" {
		fmt.Fprintf(w, ", an adapter of %s", e.Model.Base)
	}
	fmt.Fprintf(w, "\n%s: %d callers' requests wait; deciding instance %s\n", e.Zone, e.Decisions.Waiting, e.Decisions.Holder)
	if len(e.Replicas) == 0 {
		fmt.Fprintln(w, "no backend server reports it")
	}
	for _, r := range e.Replicas {
		fmt.Fprintf(w, "%s on %s (%s)\n", r.State, r.Server, r.Zone)
	}
	for _, server := range slices.Sorted(maps.Keys(e.Decisions.Replicas)) {
		fmt.Fprintf(w, "decided on %s: %s\n", server, e.Decisions.Replicas[server])
	}
	if !e.Decisions.IsHolder {
		fmt.Fprintln(w, "the deciding instance, which knows the reasons, didn't answer")
	}
	for _, reason := range e.Decisions.Reasons {
		fmt.Fprintf(w, "%s  %s\n", reason.At.Format(time.RFC3339), reason.Text)
	}
	return nil
}
