package cli

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/internal/loadgen"
)

const loadHelp = `Sends chat completions at a fixed rate, independent of the answers (open
loop), and reports the outcomes and, for each class, latency percentiles of
warm and cold requests separately. Latencies are measured from the time at
which a request was scheduled. Send load only to systems that you operate.

Example:
  cyclamenhoist load --address http://127.0.0.1:8080 --model entry-assistant --rate 50 --duration 10s`

type loadCommand struct {
	*environment

	Addresses   []string      `long:"address" value-name:"URL" required:"yes" description:"entry instance; can be repeated"`
	Models      []string      `long:"model" required:"yes" description:"model, most popular first; can be repeated"`
	Skew        float64       `long:"skew" default:"1" description:"exponent of the models' popularity; 0 means equal"`
	Classes     []string      `long:"class" description:"request class; can be repeated"`
	Rate        float64       `long:"rate" default:"10" description:"requests per second"`
	Duration    time.Duration `long:"duration" default:"10s" description:"time for which requests are sent"`
	Timeout     time.Duration `long:"timeout" default:"1m" description:"timeout of each request"`
	Tokens      int           `long:"tokens" default:"16" description:"number of tokens of each answer"`
	Stream      bool          `long:"stream" description:"request streamed answers"`
	APIKey      string        `long:"api-key" description:"key of an authenticated caller"`
	Seed        uint64        `long:"seed" default:"1" description:"seed of the random choices"`
	MaxInFlight int           `long:"max-in-flight" default:"10000" description:"maximum number of requests in flight"`
	JSON        bool          `long:"json" description:"print JSON"`
}

// Execute implements flags.Commander.
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
	e := r.Outcomes
	fmt.Fprintf(out, "answered\t%d\nrefused, not run\t%d\nunknown whether run\t%d\nno ending\t%d\nnot sent\t%d\n\n",
		e.Answered, e.RefusedNotRun, e.Unknown, e.NoResponse, e.NotSent)
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
