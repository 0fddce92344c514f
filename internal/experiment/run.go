package experiment

import (
	"fmt"
	"math"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
)

// ErrDeployment is returned for a deployment that isn't known.
var ErrDeployment = errors.New("unknown deployment")

// Options chooses what to run.
type Options struct {
	// Deployment is one of Deployments.
	Deployment string
	Seed       uint64
	// Scenarios to run; all if empty.
	Scenarios []Scenario
	// Days is the length of a trace, of which three sevenths are for learning;
	// 14 if zero.
	Days int
	// NoCurves leaves the trade-off curves out.
	NoCurves bool
	// Parallel bounds the runs at once; 1 if zero. It has no influence on the
	// result.
	Parallel int
}

// Result is one run of the experiment.
type Result struct {
	Deployment string           `json:"deployment"`
	Seed       uint64           `json:"seed"`
	Weight     float64          `json:"cold_start_weight"`
	Scenarios  []ScenarioResult `json:"scenarios"`
}

// ScenarioResult is the measurement of one scenario.
type ScenarioResult struct {
	Scenario Scenario `json:"scenario"`
	// Rows holds the policies side by side.
	Rows []Row `json:"rows"`
	// History and Fixed are the trade-off curves over weights and timeouts.
	History []Row   `json:"history_curve"`
	Fixed   []Row   `json:"fixed_curve"`
	Targets Targets `json:"targets"`
}

// Targets compares the history policy with the fixed timeout and the oracles. A
// ratio of -1 says that no point of the curve reaches the condition.
type Targets struct {
	// IdleAtEqualP99 is the least idle time at no higher p99, against that of
	// the fixed timeout. At most 0.5 is asked for.
	IdleAtEqualP99 float64 `json:"idle_at_equal_p99"`
	// P99AtEqualIdle is the least p99 at no more idle time, likewise.
	P99AtEqualIdle float64 `json:"p99_at_equal_idle"`
	// WaitAtEqualIdle is the least sum of waits at no more idle time, likewise.
	WaitAtEqualIdle float64 `json:"wait_at_equal_idle"`
	// CostToOracleKeep and CostToOracleAhead compare weighted costs.
	CostToOracleKeep  float64 `json:"cost_to_oracle_keep"`
	CostToOracleAhead float64 `json:"cost_to_oracle_ahead"`
	// CostToOracle compares with the cheaper of the two. At most 1.3 is asked for.
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

// job is one policy to run, and where its row goes.
type job struct {
	name, setting string
	make          func() policy
	unbounded     bool
	row           *Row
}

func weightJob(w float64) job {
	return job{name: "history", setting: fmt.Sprint(w), make: func() policy { return newHistory(w) }}
}

func fixedJob(timeout time.Duration) job {
	return job{name: "fixed", setting: timeout.String(), make: func() policy { return &fixed{timeout: timeout} }}
}

func (r *ScenarioResult) jobs(weight float64, curves bool) []job {
	oracleJob := func(name string, ahead bool) job {
		return job{name: name, setting: fmt.Sprint(weight), make: func() policy {
			return &oracle{weight: weight, loadAhead: ahead}
		}}
	}
	demand := fixedJob(fixedTimeout)
	demand.name, demand.unbounded = "on_demand", true
	lru := fixedJob(0)
	lru.name, lru.setting = "lru", "never"
	jobs := []job{
		weightJob(weight), fixedJob(fixedTimeout), lru, demand, oracleJob("oracle_keep", false), oracleJob("oracle_ahead", true),
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

// Run runs all policies over the scenarios.
func Run(o Options) (*Result, error) {
	d, ok := deploymentNamed(o.Deployment)
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
				sim := newSimulation(d, scenario, t, j.make(), j.unbounded, o.Seed)
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

// The places of the policies in ScenarioResult.Rows.
const (
	rowHistory = iota
	rowFixed
	_
	_
	rowOracleKeep
	rowOracleAhead
)

func (r *ScenarioResult) compare(weight float64) {
	ours, base := &r.Rows[rowHistory], &r.Rows[rowFixed]
	points := append([]Row{*ours}, r.History...)
	r.Targets = Targets{
		IdleAtEqualP99: ratioWhere(points, base,
			func(p *Row) bool { return p.P99 <= base.P99 }, func(p *Row) float64 { return p.IdleHours }),
		P99AtEqualIdle: ratioWhere(points, base,
			func(p *Row) bool { return p.IdleHours <= base.IdleHours }, func(p *Row) float64 { return p.P99 }),
		WaitAtEqualIdle: ratioWhere(points, base,
			func(p *Row) bool { return p.IdleHours <= base.IdleHours }, func(p *Row) float64 { return p.WaitHours }),
		CostToOracleKeep:  ours.cost(weight) / r.Rows[rowOracleKeep].cost(weight),
		CostToOracleAhead: ours.cost(weight) / r.Rows[rowOracleAhead].cost(weight),
	}
	r.Targets.CostToOracle = max(r.Targets.CostToOracleKeep, r.Targets.CostToOracleAhead)
}

// ratioWhere returns the least value among the points that satisfy the
// condition, against that of base; -1 if none does.
func ratioWhere(points []Row, base *Row, condition func(*Row) bool, value func(*Row) float64) float64 {
	least := math.Inf(1)
	for i := range points {
		if condition(&points[i]) {
			least = min(least, value(&points[i]))
		}
	}
	if math.IsInf(least, 1) || value(base) == 0 {
		return -1
	}
	return least / value(base)
}
