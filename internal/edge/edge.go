package edge

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/retry"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/streamorigin"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

// Demand receives the models that requests ask for.
type Demand interface {
	// Arrived records the arrival of a request for a model.
	Arrived(want Want)
	// Wait records that a request waits for a model. The caller calls done when the wait
	// ends.
	Wait(want Want) (done func())
	// Run records that a server runs a request. The caller calls done when the run ends.
	Run(model string, server fleet.ServerID) (done func())
}

// Want describes the model that a request needs and the time that the request has.
type Want struct {
	Service, Model, Adapter string
	// ServerVersion is the software version that the server must have; empty for any.
	ServerVersion string
	// Objective is the latency objective of the request's route, and Remaining the time until
	// the request's deadline.
	Objective, Remaining time.Duration
	// NonRepeatable is true for a request that can neither be repeated nor resumed.
	NonRepeatable bool
	// Work is the time that the request is expected to take of a server, and RunTime the time
	// until it ends there.
	Work, RunTime time.Duration
}

// Config configures an Edge.
type Config struct {
	// Name is the name of the instance, and Zone its availability zone.
	Name, Zone string
	// RetryRatio and RetryExtra limit the retries of one service within RetryWindow:
	// RetryRatio retries per request, plus RetryExtra retries shared by all instances.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// Instances is the number of instances assumed to share RetryExtra until the actual
	// number is known.
	Instances int
	// Manifest is what is known of newer manifests than the one in force.
	Manifest ManifestState
	// Clock is the clock by which quotas accrue and grants expire. It must include suspensions;
	// nil means bootclock.Now.
	Clock func() time.Duration
}

// Edge serves client requests. It is an http.Handler.
type Edge struct {
	cfg      Config
	views    *Views
	servers  *platform.Servers
	demand   Demand
	permits  Permits
	origins  Origins
	crashes  Crashes
	recorder *StandingRecorder
	log      *log.Logger
	tracer   trace.Tracer
	started  time.Time

	draining atomic.Bool
	// acceptUntil is when new requests are refused, waitUntil when those that wait are, and stopsAt
	// when those end that may have run, in nanoseconds after started. All are 0 while the instance is
	// not draining.
	acceptUntil, waitUntil, stopsAt atomic.Int64
	inFlight                        atomic.Int64
	// permitsDownUntil is when the next permits are reserved after a reservation has failed, in
	// nanoseconds after started.
	permitsDownUntil atomic.Int64

	// workloads maps a service to the *workload.Estimator of its requests.
	workloads sync.Map

	// utilizations maps a service to the *serverpick.Mean of the utilization of its servers by
	// other instances.
	utilizations sync.Map

	// slotQueues maps a service to the *slotQueue of requests that wait for a free slot.
	slotQueues sync.Map

	unanswered unanswered

	running running

	keys confirmation

	quotas accountQuotas

	// begun are the streams in progress that other instances don't know of.
	begun unannounced

	budgetsMu sync.Mutex
	budgets   map[string]*retry.Budget
	// budgetInstances is the number of instances that the budgets are configured for.
	budgetInstances int

	served, refusals, failures, repeats metrics.Counter
	// runsSuperseded counts runs that this instance has ended because another server has begun to answer,
	// and runsOvertaken those that it has ended because the server that had been silent went on.
	// endedAfterRun counts requests that may have run and ended without a server's answer, by reason.
	runsSuperseded, runsOvertaken metrics.Counter
	endedAfterRun                 reasonCounters
	// keysUnknown and keysUnconfirmed count the requests that were refused for their keys.
	keysUnknown, keysUnconfirmed metrics.Counter
	latency                      metrics.Timer
	// refusedEarly counts requests that were refused for what they were expected to wait.
	refusedEarly metrics.Counter
	// firstEventExpected and firstEventObserved are the times from sending requests for models to
	// their first events.
	firstEventExpected, firstEventObserved metrics.Timer
}

// Peers is what the instances of a deployment know together.
type Peers struct {
	Permits   Permits
	Quotas    Quotas
	Origins   Origins
	Crashes   Crashes
	Standings Standings
}

// New returns an Edge that routes by the given views.
func New(cfg Config, views *Views, servers *platform.Servers, demand Demand, peers Peers, logger *log.Logger, registry metrics.Registry, tracer trace.Tracer) *Edge {
	e := &Edge{
		cfg: cfg, views: views, servers: servers, demand: demand, permits: peers.Permits, origins: peers.Origins, crashes: peers.Crashes,
		recorder: NewStandingRecorder(views, peers.Standings, logger),
		log:      logger, tracer: tracer, started: time.Now(),
		begun:      unannounced{streams: map[string]streamorigin.Origin{}},
		unanswered: unanswered{cancels: map[*request]context.CancelCauseFunc{}},
		budgets:    map[string]*retry.Budget{},
		served:     metrics.NewRegisteredCounter("edge_served", registry),
		refusals:   metrics.NewRegisteredCounter("edge_refused", registry),
		failures:   metrics.NewRegisteredCounter("edge_failed", registry),
		repeats:    metrics.NewRegisteredCounter("edge_repeats", registry),
		latency:    metrics.NewRegisteredTimer("edge_latency_ns", registry),
		running:    running{requests: map[*request]struct{}{}},

		runsSuperseded: metrics.NewRegisteredCounter("edge_runs_superseded", registry),
		runsOvertaken:  metrics.NewRegisteredCounter("edge_runs_overtaken", registry),
		endedAfterRun:  reasonCounters{prefix: "edge_ended_after_run_", registry: registry},

		refusedEarly:       metrics.NewRegisteredCounter("edge_refused_early", registry),
		firstEventExpected: metrics.NewRegisteredTimer("edge_first_event_expected_ns", registry),
		firstEventObserved: metrics.NewRegisteredTimer("edge_first_event_observed_ns", registry),

		keysUnknown:     metrics.NewRegisteredCounter("edge_keys_unknown", registry),
		keysUnconfirmed: metrics.NewRegisteredCounter("edge_keys_unconfirmed", registry),
	}
	e.quotas.init(cfg.Clock, peers.Quotas, registry)
	e.crashes.OnBlock(e.traitBlocked)
	peers.Standings.OnTold(e.standingTold)
	return e
}

// SetRetries changes the limits on retries.
func (e *Edge) SetRetries(ratio, extra float64, window time.Duration) {
	e.budgetsMu.Lock()
	defer e.budgetsMu.Unlock()
	// Config.Instances keeps its initial value.
	if e.cfg.RetryRatio == ratio && e.cfg.RetryExtra == extra && e.cfg.RetryWindow == window {
		return
	}
	e.cfg.RetryRatio, e.cfg.RetryExtra, e.cfg.RetryWindow = ratio, extra, window
	e.configureBudgets()
}

// Drain makes every further answer close its connection. New requests are refused from
// acceptUntil on, because they might outlive the instance, and waiting requests are
// refused from waitUntil on. Requests that may have run can't be refused: they wait for a server
// until stopsAt, when the instance stops.
func (e *Edge) Drain(acceptUntil, waitUntil, stopsAt time.Time) {
	e.acceptUntil.Store(int64(acceptUntil.Sub(e.started)))
	e.waitUntil.Store(int64(waitUntil.Sub(e.started)))
	e.stopsAt.Store(int64(stopsAt.Sub(e.started)))
	e.draining.Store(true)
}

// acceptsRequests reports whether new requests are accepted.
func (e *Edge) acceptsRequests() bool {
	until := e.acceptUntil.Load()
	return until == 0 || int64(e.elapsed()) < until
}

// waitLimit returns when a request with the given deadline, which may have run or not, must have been
// assigned a server.
func (e *Edge) waitLimit(deadline time.Time, mayHaveRun bool) time.Time {
	limit := deadline.Add(-minServiceTime)
	by := e.waitUntil.Load()
	if mayHaveRun {
		by = e.stopsAt.Load()
	}
	if by == 0 {
		return limit
	}
	return earlier(e.started.Add(time.Duration(by)), limit)
}

// InFlight returns the number of requests in progress.
func (e *Edge) InFlight() int64 { return e.inFlight.Load() }

// elapsed returns the time that has passed after the Edge was created, which is the clock
// of the retry package.
func (e *Edge) elapsed() time.Duration { return time.Since(e.started) }

func (e *Edge) budget(service string) *retry.Budget {
	e.budgetsMu.Lock()
	defer e.budgetsMu.Unlock()
	if n := e.sharingInstances(); n != e.budgetInstances {
		e.budgetInstances = n
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
	// burstShare is the share of the extra retries that a budget can accumulate. The rest
	// is refilled over the window, so that no window exceeds the total. Most retries
	// occur together, when a server fails, and the ratio refills the budget as well.
	burstShare = 0.8
	// ratioWithoutExtra is the share of the ratio that is used where an instance's share
	// of the extra retries is less than one. The remainder offsets the one retry that the
	// budget can accumulate nevertheless.
	ratioWithoutExtra = 0.75
	// negligibleRefill disables the refill over time; a zero would select the default.
	negligibleRefill = 1e-9
)

// budgetConfig returns this instance's share of the retries allowed for all instances. While their
// number isn't known, a share of the extra retries isn't either: hundreds of instances that have
// restarted together would each take too large a one.
func (e *Edge) budgetConfig() retry.BudgetConfig {
	extra := 0.0
	if e.budgetInstances > 0 {
		extra = e.cfg.RetryExtra / float64(e.budgetInstances)
	}
	if extra < 1 {
		return retry.BudgetConfig{Ratio: ratioWithoutExtra * e.cfg.RetryRatio, Burst: 1, PerSecond: negligibleRefill}
	}
	burst := max(burstShare*extra, 1)
	return retry.BudgetConfig{
		Ratio: e.cfg.RetryRatio, Burst: burst, PerSecond: max((extra-burst)/e.cfg.RetryWindow.Seconds(), negligibleRefill),
	}
}

func (e *Edge) configureBudgets() {
	for _, b := range e.budgets {
		b.Configure(e.budgetConfig())
	}
}

// sharingInstances returns the number of instances that share a budget, with headroom for
// instances that start later; 0 if it is unknown. It changes in steps, so that budgets are rarely
// reconfigured.
func (e *Edge) sharingInstances() int {
	known := e.views.Instances()
	if known == 0 {
		return e.cfg.Instances
	}
	return (known*5/4/instanceStep + 1) * instanceStep
}

// assumedInstances is the number of instances that share a server's limit while it is unknown.
const assumedInstances = 16

// instanceStep is the step to which the number of instances is rounded up.
const instanceStep = 4
