package cli

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/internal/loadgen"
)

const loadHelp = `Sends chat completions at a fixed rate, whatever the answers do, and reports
percentiles of warm and cold requests apart, by class, and the endings. Times are
measured from the moment at which a request was due. Send load only to systems
that are yours.

Example:
  cyclamenhoist load --address http://127.0.0.1:8080 --model entry-assistant --rate 50 --duration 10s`

type loadCommand struct {
	*environment

	Addresses   []string      `long:"address" value-name:"URL" required:"yes" description:"entry instance; may be given more than once"`
	Models      []string      `long:"model" required:"yes" description:"model, most popular first; may be given more than once"`
	Skew        float64       `long:"skew" default:"1" description:"exponent of the models' popularity; 0 means equal"`
	Classes     []string      `long:"class" description:"class to ask for; may be given more than once"`
	Rate        float64       `long:"rate" default:"10" description:"requests a second"`
	Duration    time.Duration `long:"duration" default:"10s" description:"how long to send"`
	Timeout     time.Duration `long:"timeout" default:"1m" description:"bound on each request"`
	Tokens      int           `long:"tokens" default:"16" description:"tokens of each answer"`
	Stream      bool          `long:"stream" description:"ask for streams"`
	APIKey      string        `long:"api-key" description:"key of an authenticated caller"`
	Seed        uint64        `long:"seed" default:"1" description:"seed of the choices"`
	MaxInFlight int           `long:"max-in-flight" default:"10000" description:"bound on requests under way"`
	JSON        bool          `long:"json" description:"print JSON"`
}

// Execute runs the command.
func (c *loadCommand) Execute([]string) error {
	report := loadgen.Run(c.stop, loadgen.Options{
		Addresses: c.Addresses, Models: c.Models, Skew: c.Skew, Classes: c.Classes, Rate: c.Rate, Duration: c.Duration,
		Timeout: c.Timeout, Tokens: c.Tokens, Stream: c.Stream, APIKey: c.APIKey, Seed: c.Seed, MaxInFlight: c.MaxInFlight,
	})
	if c.JSON {
		return printJSON(c.stdout, report)
	}
	return writeLoadReport(c.stdout, report)
}

func writeLoadReport(w io.Writer, r *loadgen.Report) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	e := r.Endings
	fmt.Fprintf(out, "answered\t%d\nrefused, not run\t%d\nunknown whether run\t%d\nno ending\t%d\nnot sent\t%d\n\n",
		e.Answered, e.RefusedNotRun, e.Unknown, e.NoEnding, e.NotSent)
	fmt.Fprintln(out, "class\tstart\tcount\tfirst byte p50\tp95\tp99\ttotal p50\tp95\tp99\tmax")
	for _, g := range r.Groups {
		start := "warm"
		if g.Cold {
			start = "cold"
		}
		class := g.Class
		if class == "" {
			class = "(by rules)"
		}
		fmt.Fprintf(out, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", class, start, g.Total.Count,
			round(g.FirstByte.P50), round(g.FirstByte.P95), round(g.FirstByte.P99),
			round(g.Total.P50), round(g.Total.P95), round(g.Total.P99), round(g.Total.Max))
	}
	return out.Flush()
}

func round(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }
