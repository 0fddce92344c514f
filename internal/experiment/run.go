package experiment

import (
	"fmt"
	"math"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
)

// ErrDeployment is returned for an unknown deployment name.
var ErrDeployment = errors.New("unknown deployment")

// Options selects the deployment, the traces and the extent of an experiment.
type Options struct {
	// Deployment is one of Deployments.
	Deployment string
	Seed       uint64
	// Scenarios to run; all if empty.
	Scenarios []Scenario
	// Days is the length of a trace in days, 14 if zero. Three sevenths of it are the
	// warm-up period.
	Days int
	// NoCurves omits the trade-off curves.
	NoCurves bool
	// Parallel is the maximum number of concurrent simulations, 1 if zero. It doesn't
	// affect the result.
	Parallel int
}

// Result holds the measurements of one experiment.
type Result struct {
	Deployment string           `json:"deployment"`
	Seed       uint64           `json:"seed"`
	Weight     float64          `json:"cold_start_weight"`
	Scenarios  []ScenarioResult `json:"scenarios"`
}

// ScenarioResult holds the measurements of one scenario.
type ScenarioResult struct {
	Scenario Scenario `json:"scenario"`
	// Rows has one row for each policy, in a fixed order.
	Rows []Row `json:"rows"`
	// History and Fixed are the trade-off curves of the history policy over weights and
	// of the fixed timeout over timeouts.
	History []Row   `json:"history_curve"`
	Fixed   []Row   `json:"fixed_curve"`
	Targets Targets `json:"targets"`
}

// Targets compares the history policy with the fixed timeout and with the oracles, as
// ratios. A ratio is -1 if no point of the history curve satisfies its condition.
type Targets struct {
	// IdleAtEqualP99 is the lowest idle time among the points whose p99 isn't higher
	// than that of the fixed timeout, relative to the idle time of the fixed timeout.
	// The target is at most 0.5.
	IdleAtEqualP99 float64 `json:"idle_at_equal_p99"`
	// P99AtEqualIdle is the lowest p99 among the points whose idle time isn't higher
	// than that of the fixed timeout, relative to the p99 of the fixed timeout. The
	// target is at most 0.5.
	P99AtEqualIdle float64 `json:"p99_at_equal_idle"`
	// WaitAtEqualIdle is the lowest sum of waits among the points whose idle time isn't
	// higher than that of the fixed timeout, relative to the sum of the fixed timeout.
	WaitAtEqualIdle float64 `json:"wait_at_equal_idle"`
	// CostToOracleKeep and CostToOracleAhead are the weighted costs relative to those of
	// oracle_keep and oracle_ahead.
	CostToOracleKeep  float64 `json:"cost_to_oracle_keep"`
	CostToOracleAhead float64 `json:"cost_to_oracle_ahead"`
	// CostToOracle is the weighted cost relative to that of the cheaper oracle. The
	// target is at most 1.3.
	CostToOracle float64 `json:"cost_to_oracle"`
}

var (
	curveWeights  = []float64{0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 0.95}
	curveTimeouts = []time.Duration{
		2 * time.Minute, 5 * time.Minute, 10 * time.Minute, 20 * time.Minute, 40 * time.Minute,
		80 * time.Minute, 3 * time.Hour,
	}
)

const fixedTimeout = 10 * time.Minute

// job is the simulation of one policy; row is the destination of its measurements.
type job struct {
	name, setting  string
	newPolicy      func() policy
	unlimitedStore bool
	row            *Row
}

func weightJob(w float64) job {
	return job{name: "history", setting: fmt.Sprint(w), newPolicy: func() policy { return newHistoryPolicy(w) }}
}

func fixedJob(timeout time.Duration) job {
	return job{name: "fixed", setting: timeout.String(), newPolicy: func() policy { return &timeoutPolicy{timeout: timeout} }}
}

// jobs allocates the rows of the result and returns the simulations that fill them.
func (r *ScenarioResult) jobs(weight float64, curves bool) []job {
	oracleJob := func(name string, preloads bool) job {
		return job{name: name, setting: fmt.Sprint(weight), newPolicy: func() policy {
			return &oraclePolicy{weight: weight, preloads: preloads}
		}}
	}
	onDemand := fixedJob(fixedTimeout)
	onDemand.name, onDemand.unlimitedStore = "on_demand", true
	lru := fixedJob(0)
	lru.name, lru.setting = "lru", "never"
	jobs := []job{
		weightJob(weight), fixedJob(fixedTimeout), lru, onDemand, oracleJob("oracle_keep", false), oracleJob("oracle_ahead", true),
	}
	r.Rows = make([]Row, len(jobs))
	for i := range jobs {
		jobs[i].row = &r.Rows[i]
	}
	if !curves {
		return jobs
	}
	r.History = make([]Row, len(curveWeights))
	r.Fixed = make([]Row, len(curveTimeouts))
	for i, w := range curveWeights {
		j := weightJob(w)
		j.row = &r.History[i]
		jobs = append(jobs, j)
	}
	for i, timeout := range curveTimeouts {
		j := fixedJob(timeout)
		j.row = &r.Fixed[i]
		jobs = append(jobs, j)
	}
	return jobs
}

// Run simulates all policies on the selected scenarios. It returns ErrDeployment if
// o.Deployment is unknown.
func Run(o Options) (*Result, error) {
	d, ok := findDeployment(o.Deployment)
	if !ok {
		return nil, errors.Wrapf(ErrDeployment, "%q, known are %v", o.Deployment, Deployments())
	}
	if len(o.Scenarios) == 0 {
		o.Scenarios = Scenarios
	}
	if o.Days == 0 {
		o.Days = defaultDays
	}
	result := &Result{Deployment: d.name, Seed: o.Seed, Weight: d.weight, Scenarios: make([]ScenarioResult, len(o.Scenarios))}
	var group errgroup.Group
	group.SetLimit(max(1, o.Parallel))
	for i, scenario := range o.Scenarios {
		r := &result.Scenarios[i]
		r.Scenario = scenario
		t := buildTrace(d, scenario, o.Days, o.Seed)
		for _, j := range r.jobs(d.weight, !o.NoCurves) {
			group.Go(func() error {
				sim := newSimulation(d, scenario, t, j.newPolicy(), j.unlimitedStore, o.Seed)
				m := sim.run()
				*j.row = m.row(j.name, j.setting)
				return nil
			})
		}
	}
	if err := group.Wait(); err != nil {
		return nil, errors.Wrap(err, "run")
	}
	for i := range result.Scenarios {
		result.Scenarios[i].compare(d.weight)
	}
	return result, nil
}

// Indexes of the policies in ScenarioResult.Rows.
const (
	rowHistory = iota
	rowFixed
	_
	_
	rowOracleKeep
	rowOracleAhead
)

// compare computes Targets from the rows and the curves.
func (r *ScenarioResult) compare(weight float64) {
	history, baseline := &r.Rows[rowHistory], &r.Rows[rowFixed]
	points := append([]Row{*history}, r.History...)
	r.Targets = Targets{
		IdleAtEqualP99: minRatioWhere(points, baseline,
			func(p *Row) bool { return p.P99 <= baseline.P99 }, func(p *Row) float64 { return p.IdleHours }),
		P99AtEqualIdle: minRatioWhere(points, baseline,
			func(p *Row) bool { return p.IdleHours <= baseline.IdleHours }, func(p *Row) float64 { return p.P99 }),
		WaitAtEqualIdle: minRatioWhere(points, baseline,
			func(p *Row) bool { return p.IdleHours <= baseline.IdleHours }, func(p *Row) float64 { return p.WaitHours }),
		CostToOracleKeep:  history.cost(weight) / r.Rows[rowOracleKeep].cost(weight),
		CostToOracleAhead: history.cost(weight) / r.Rows[rowOracleAhead].cost(weight),
	}
	r.Targets.CostToOracle = max(r.Targets.CostToOracleKeep, r.Targets.CostToOracleAhead)
}

// minRatioWhere returns the lowest value among the points that satisfy the condition,
// divided by the baseline's value. It returns -1 if no point satisfies the condition or
// the baseline's value is zero.
func minRatioWhere(points []Row, baseline *Row, condition func(*Row) bool, value func(*Row) float64) float64 {
	least := math.Inf(1)
	for i := range points {
		if condition(&points[i]) {
			least = min(least, value(&points[i]))
		}
	}
	if math.IsInf(least, 1) || value(baseline) == 0 {
		return -1
	}
	return least / value(baseline)
}
