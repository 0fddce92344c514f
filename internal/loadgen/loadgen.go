// Package loadgen sends requests at a given rate whatever the answers do, and
// reports percentiles. Each time is measured from the moment at which the
// request was due, so that a slow system can't hide behind a slow generator.
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

// Options says what to send.
type Options struct {
	// Addresses are base URLs of entry instances, taken in turn.
	Addresses []string
	// Models are asked for at random; the n-th with a weight of n to the power
	// of minus Skew.
	Models []string
	Skew   float64
	// Classes are taken in turn; without any, the system's rules decide.
	Classes []string
	// Rate is requests a second, for Duration.
	Rate     float64
	Duration time.Duration
	// Timeout bounds each request.
	Timeout time.Duration
	// Tokens bounds each answer, and Stream asks for it as a stream.
	Tokens int
	Stream bool
	// APIKey is sent if set.
	APIKey string
	Seed   uint64
	// MaxInFlight bounds the requests under way. Those beyond are counted as not
	// sent.
	MaxInFlight int
}

// Endings counts the requests by their ending.
type Endings struct {
	Answered      int64 `json:"answered"`
	RefusedNotRun int64 `json:"refused_not_run"`
	Unknown       int64 `json:"unknown"`
	// NoEnding counts requests whose connection failed or timed out here.
	NoEnding int64 `json:"no_ending"`
	// NotSent counts requests beyond MaxInFlight.
	NotSent int64 `json:"not_sent"`
}

// Percentiles of a duration.
type Percentiles struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50_ns"`
	P95   time.Duration `json:"p95_ns"`
	P99   time.Duration `json:"p99_ns"`
	Max   time.Duration `json:"max_ns"`
}

// Group is the answers of one class, warm or cold.
type Group struct {
	Class string `json:"class"`
	// Cold says that the requests waited for their model to be loaded.
	Cold bool `json:"cold"`
	// FirstByte is the time to the first byte of the answer, Total to its end.
	FirstByte Percentiles `json:"first_byte"`
	Total     Percentiles `json:"total"`
}

// Report is the outcome of a run.
type Report struct {
	Endings Endings       `json:"endings"`
	Groups  []Group       `json:"groups"`
	Took    time.Duration `json:"took_ns"`
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
	// longest is the longest time that is told apart, in microseconds.
	longest = int64(time.Hour / time.Microsecond)
	digits  = 3
)

func newHistograms() *histograms {
	return &histograms{firstByte: hdrhistogram.New(1, longest, digits), total: hdrhistogram.New(1, longest, digits)}
}

// Run sends requests until the duration has passed or ctx ends, and waits for
// their answers.
func Run(ctx context.Context, o Options) *Report {
	r := &recorder{groups: map[groupKey]*histograms{}}
	client := &http.Client{Timeout: o.Timeout, Transport: &http.Transport{MaxIdleConnsPerHost: o.MaxInFlight}}
	choose := newChooser(&o)
	slots := make(chan struct{}, o.MaxInFlight)
	began := time.Now()
	var all sync.WaitGroup
	for n := 0; ; n++ {
		due := began.Add(time.Duration(float64(n) / o.Rate * float64(time.Second)))
		if due.Sub(began) >= o.Duration || !waitUntil(ctx, due) {
			break
		}
		request := choose.next(n)
		select {
		case slots <- struct{}{}:
			all.Go(func() {
				defer func() { <-slots }()
				r.take(send(ctx, client, &o, request, due))
			})
		default:
			r.notSent()
		}
	}
	all.Wait()
	return r.finish(time.Since(began))
}

func waitUntil(ctx context.Context, at time.Time) bool { return pause.For(ctx, time.Until(at)) }

// request is one drawn request.
type request struct {
	address, model, class string
	number                int
}

type chooser struct {
	options *Options
	random  *rand.Rand
	// cumulative holds the weights of the models up to each.
	cumulative []float64
}

func newChooser(o *Options) *chooser {
	c := &chooser{options: o, random: rand.New(rand.NewPCG(o.Seed, o.Seed))}
	sum := 0.0
	for n := range o.Models {
		sum += weight(n+1, o.Skew)
		c.cumulative = append(c.cumulative, sum)
	}
	return c
}

func (c *chooser) next(n int) request {
	r := request{address: c.options.Addresses[n%len(c.options.Addresses)], number: n}
	drawn := c.random.Float64() * c.cumulative[len(c.cumulative)-1]
	for i, upTo := range c.cumulative {
		if drawn < upTo {
			r.model = c.options.Models[i]
			break
		}
	}
	if len(c.options.Classes) > 0 {
		r.class = c.options.Classes[n%len(c.options.Classes)]
	}
	return r
}
