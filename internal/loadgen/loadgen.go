// Package loadgen is an open-loop load generator: it sends requests at a given rate,
// independently of the answers, and reports latency percentiles. Each latency is
// measured from the time at which the request was scheduled, which avoids coordinated
// omission: a slow system can't lower its latencies by delaying the generator.
package loadgen

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
)

// Options describes the load to send.
type Options struct {
	// Addresses are the base URLs of entry instances, chosen round-robin.
	Addresses []string
	// Models are chosen at random from a Zipf distribution: the n-th model has a weight
	// of n to the power of minus Skew.
	Models []string
	Skew   float64
	// Classes are chosen round-robin. If there are none, requests have no class header
	// and the system's rules decide.
	Classes []string
	// Rate is the number of requests per second, sent for Duration.
	Rate     float64
	Duration time.Duration
	// Timeout limits the duration of each request; zero means no timeout.
	Timeout time.Duration
	// Tokens is the maximum number of tokens of each answer. Stream requests a streamed
	// answer.
	Tokens int
	Stream bool
	// APIKey is sent as a bearer token unless it is empty.
	APIKey string
	// Seed is the random seed for the choice of models.
	Seed uint64
	// MaxInFlight is the maximum number of in-flight requests. Requests beyond it are
	// not sent, and counted as such.
	MaxInFlight int
}

// Outcomes counts the requests by their outcome.
type Outcomes struct {
	// Answered counts complete answers with status 200.
	Answered int64 `json:"answered"`
	// RefusedNotRun counts refusals which state that the request did not run.
	RefusedNotRun int64 `json:"refused_not_run"`
	// Unknown counts all other responses; their requests may have run.
	Unknown int64 `json:"unknown"`
	// NoResponse counts requests without a complete response: the connection failed, the
	// client's timeout expired or the run was canceled.
	NoResponse int64 `json:"no_ending"`
	// NotSent counts requests beyond MaxInFlight.
	NotSent int64 `json:"not_sent"`
}

// Percentiles summarizes the distribution of a duration.
type Percentiles struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50_ns"`
	P95   time.Duration `json:"p95_ns"`
	P99   time.Duration `json:"p99_ns"`
	Max   time.Duration `json:"max_ns"`
}

// Group summarizes the latencies of one class, for either warm or cold requests.
type Group struct {
	Class string `json:"class"`
	// Cold is set if the requests waited until their model was loaded.
	Cold bool `json:"cold"`
	// FirstByte and Total are measured from the time at which the request was scheduled:
	// FirstByte until the response header arrives, Total until the answer ends.
	FirstByte Percentiles `json:"first_byte"`
	Total     Percentiles `json:"total"`
}

// Report is the result of a run.
type Report struct {
	Outcomes Outcomes      `json:"endings"`
	Groups   []Group       `json:"groups"`
	Took     time.Duration `json:"took_ns"`
}

type groupKey struct {
	class string
	cold  bool
}

type recorder struct {
	mu     sync.Mutex
	report Report
	groups map[groupKey]*histograms
}

type histograms struct{ firstByte, total *hdrhistogram.Histogram }

const (
	// maxMicros is the upper limit of the histograms in microseconds.
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

func newHistograms() *histograms {
	return &histograms{firstByte: hdrhistogram.New(1, maxMicros, significantDigits), total: hdrhistogram.New(1, maxMicros, significantDigits)}
}

// Run sends requests until the duration has passed or ctx is done, and waits for their
// answers. Requests that fail are counted in Report.Outcomes.
func Run(ctx context.Context, o Options) *Report {
	r := &recorder{groups: map[groupKey]*histograms{}}
	client := &http.Client{Timeout: o.Timeout, Transport: &http.Transport{MaxIdleConnsPerHost: o.MaxInFlight}}
	chooser := newRequestChooser(&o)
	inFlight := make(chan struct{}, o.MaxInFlight)
	startedAt := time.Now()
	var senders sync.WaitGroup
	for number := 0; ; number++ {
		scheduledAt := startedAt.Add(time.Duration(float64(number) / o.Rate * float64(time.Second)))
		if scheduledAt.Sub(startedAt) >= o.Duration || !sleepUntil(ctx, scheduledAt) {
			break
		}
		request := chooser.next(number)
		select {
		case inFlight <- struct{}{}:
			senders.Go(func() {
				defer func() { <-inFlight }()
				r.record(send(ctx, client, &o, request, scheduledAt))
			})
		default:
			r.recordNotSent()
		}
	}
	senders.Wait()
	return r.finish(time.Since(startedAt))
}

func sleepUntil(ctx context.Context, at time.Time) bool { return pause.For(ctx, time.Until(at)) }

// request holds the parameters of one request.
type request struct {
	address, model, class string
	number                int
}

// requestChooser chooses the parameters of the requests.
type requestChooser struct {
	options *Options
	random  *rand.Rand
	// cumulativeWeights holds for each model the sum of the weights up to and including
	// it.
	cumulativeWeights []float64
}

func newRequestChooser(o *Options) *requestChooser {
	c := &requestChooser{options: o, random: rand.New(rand.NewPCG(o.Seed, o.Seed))}
	sum := 0.0
	for n := range o.Models {
		sum += zipfWeight(n+1, o.Skew)
		c.cumulativeWeights = append(c.cumulativeWeights, sum)
	}
	return c
}

func (c *requestChooser) next(number int) request {
	r := request{address: c.options.Addresses[number%len(c.options.Addresses)], number: number}
	drawn := c.random.Float64() * c.cumulativeWeights[len(c.cumulativeWeights)-1]
	for i, bound := range c.cumulativeWeights {
		if drawn < bound {
			r.model = c.options.Models[i]
			break
		}
	}
	if len(c.options.Classes) > 0 {
		r.class = c.options.Classes[number%len(c.options.Classes)]
	}
	return r
}
