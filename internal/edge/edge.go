package edge

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/retry"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

// Demand is told which models requests ask for.
type Demand interface {
	// Arrived notes a request for a model.
	Arrived(want Want)
	// Wait notes that a request waits for a model; the function ends that.
	Wait(want Want) (done func())
}

// Want is what a request asks to be loaded.
type Want struct {
	Service, Model, Adapter string
	// Target is the time within which the request is worth most, and Left how
	// long it can wait.
	Target, Left time.Duration
	// Lasting requests can't be repeated or resumed.
	Lasting bool
}

// Config sets up an Edge.
type Config struct {
	Zone string
	// RetryRatio and RetryExtra bound the repeats of one service in RetryWindow:
	// RetryRatio for each request, and RetryExtra besides over all instances.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// Instances is how many instances are taken to share RetryExtra until their
	// number is known.
	Instances int
}

// Edge serves client requests. It is an http.Handler.
type Edge struct {
	cfg     Config
	views   *Views
	servers *platform.Servers
	demand  Demand
	log     *log.Logger
	tracer  trace.Tracer
	started time.Time

	draining atomic.Bool
	// drainBy is when requests that still wait are refused, and takeUntil when new
	// ones are, in nanoseconds since started; 0 while the instance isn't draining.
	drainBy, takeUntil atomic.Int64
	inFlight           atomic.Int64

	// slotQueues holds the *slotQueue of each service whose slots were all taken.
	slotQueues sync.Map

	budgetsMu sync.Mutex
	budgets   map[string]*retry.Budget
	// sharedBy is the number of instances that budgets were made for.
	sharedBy int

	served, refusals, failures, repeats metrics.Counter
	latency                             metrics.Timer
}

// New returns an Edge over the given views.
func New(cfg Config, views *Views, servers *platform.Servers, demand Demand, logger *log.Logger, registry metrics.Registry, tracer trace.Tracer) *Edge {
	return &Edge{
		cfg: cfg, views: views, servers: servers, demand: demand, log: logger, tracer: tracer, started: time.Now(),
		budgets:  map[string]*retry.Budget{},
		served:   metrics.NewRegisteredCounter("edge_served", registry),
		refusals: metrics.NewRegisteredCounter("edge_refused", registry),
		failures: metrics.NewRegisteredCounter("edge_failed", registry),
		repeats:  metrics.NewRegisteredCounter("edge_repeats", registry),
		latency:  metrics.NewRegisteredTimer("edge_latency_ns", registry),
	}
}

// SetRetries puts other bounds on repeats in force.
func (e *Edge) SetRetries(ratio, extra float64, window time.Duration) {
	e.budgetsMu.Lock()
	defer e.budgetsMu.Unlock()
	// The number of instances until it is known stays as it was at the start.
	if e.cfg.RetryRatio == ratio && e.cfg.RetryExtra == extra && e.cfg.RetryWindow == window {
		return
	}
	e.cfg.RetryRatio, e.cfg.RetryExtra, e.cfg.RetryWindow = ratio, extra, window
	e.configureBudgets()
}

// Drain makes every further answer close its connection. New requests are refused
// from takeUntil on, as they might not end before the instance does, and those that
// still wait from waitUntil on.
func (e *Edge) Drain(takeUntil, waitUntil time.Time) {
	e.takeUntil.Store(int64(takeUntil.Sub(e.started)))
	e.drainBy.Store(int64(waitUntil.Sub(e.started)))
	e.draining.Store(true)
}

// takesRequests reports whether new requests are taken.
func (e *Edge) takesRequests() bool {
	until := e.takeUntil.Load()
	return until == 0 || int64(e.since()) < until
}

// waitLimit returns when a request with the given deadline must have a server.
func (e *Edge) waitLimit(deadline time.Time) time.Time {
	limit := deadline.Add(-leastServiceTime)
	if by := e.drainBy.Load(); by != 0 {
		if end := e.started.Add(time.Duration(by)); end.Before(limit) {
			return end
		}
	}
	return limit
}

// InFlight returns the number of requests in progress.
func (e *Edge) InFlight() int64 { return e.inFlight.Load() }

// since is the time base of the retry package.
func (e *Edge) since() time.Duration { return time.Since(e.started) }

func (e *Edge) budget(service string) *retry.Budget {
	e.budgetsMu.Lock()
	defer e.budgetsMu.Unlock()
	if n := e.instances(); n != e.sharedBy {
		e.sharedBy = n
		e.configureBudgets()
	}
	b := e.budgets[service]
	if b == nil {
		b = retry.NewBudget(e.budgetConfig())
		e.budgets[service] = b
	}
	return b
}

const (
	// burstShare is the part of the extra repeats that may be saved up; the rest flows
	// in over the window, so that no window sees more than the whole. Repeats are
	// wanted together, when a server fails, and the ratio pays in as well.
	burstShare = 0.8
	// ratioWithoutExtra is the part of the ratio that is used where an instance's part
	// of the extra repeats is less than one: the rest makes up for the one that it
	// saves up nevertheless.
	ratioWithoutExtra = 0.75
	// noRefill pays nothing in with time; a zero would mean the default.
	noRefill = 1e-9
)

// budgetConfig is this instance's part of what all may use.
func (e *Edge) budgetConfig() retry.BudgetConfig {
	extra := e.cfg.RetryExtra / float64(e.sharedBy)
	if extra < 1 {
		return retry.BudgetConfig{Ratio: ratioWithoutExtra * e.cfg.RetryRatio, Burst: 1, PerSecond: noRefill}
	}
	burst := max(burstShare*extra, 1)
	return retry.BudgetConfig{
		Ratio: e.cfg.RetryRatio, Burst: burst, PerSecond: max((extra-burst)/e.cfg.RetryWindow.Seconds(), noRefill),
	}
}

func (e *Edge) configureBudgets() {
	for _, b := range e.budgets {
		b.Configure(e.budgetConfig())
	}
}

// instances is the number of instances that share a budget, with room for some
// that come. It changes in steps, so that budgets rarely change.
func (e *Edge) instances() int {
	known := e.views.Instances()
	if known == 0 {
		return e.cfg.Instances
	}
	return (known*5/4/instanceStep + 1) * instanceStep
}

// instanceStep is the step in which the number of instances counts.
const instanceStep = 4
