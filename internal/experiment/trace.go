package experiment

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	day = 24 * time.Hour
	// defaultDays is the length of a trace.
	defaultDays = 14
	// flashModels are asked for at once in a flash crowd.
	flashModels = 10
	slowLength  = 12 * time.Hour
	slowFactor  = 10
)

// span divides a trace in time. Nothing is measured before learn has passed, and
// the special event of a scenario happens at event.
type span struct {
	length, learn, event time.Duration
}

func spanOf(days int) span {
	learn := time.Duration(days*3/7) * day
	length := time.Duration(days) * day
	return span{length: length, learn: learn, event: (learn+length)/2/day*day + 11*time.Hour}
}

// Scenario names a trace together with what fails in it.
type Scenario string

// The scenarios.
const (
	// ScenarioBurst: days idle, then a burst at every instance and a session.
	ScenarioBurst Scenario = "idle_burst"
	// ScenarioDaily: sessions at the same hours of most days.
	ScenarioDaily Scenario = "daily_rhythm"
	// ScenarioFlash: a mix of both, and ten models asked for at once.
	ScenarioFlash Scenario = "flash_crowd"
	// ScenarioSlowStore: the mix, with the store at a tenth of its speed.
	ScenarioSlowStore Scenario = "slow_store"
	// ScenarioLost: the mix, with an accelerator lost.
	ScenarioLost Scenario = "lost_accelerator"
)

// Scenarios lists all scenarios.
var Scenarios = []Scenario{ScenarioBurst, ScenarioDaily, ScenarioFlash, ScenarioSlowStore, ScenarioLost}

// trace holds the arrivals of each model in order.
type trace struct {
	span
	specs    []modelSpec
	arrivals [][]time.Duration
}

func buildTrace(d *deployment, s Scenario, days int, seed uint64) *trace {
	r := rand.New(rand.NewPCG(seed, 0x6379636c616d656e))
	t := &trace{span: spanOf(days), specs: d.buildModels(r)}
	t.arrivals = make([][]time.Duration, len(t.specs))
	for i := range t.specs {
		spec := &t.specs[i]
		switch s {
		case ScenarioBurst:
			spec.daily = false
		case ScenarioDaily:
			spec.daily = true
		case ScenarioFlash, ScenarioSlowStore, ScenarioLost:
		}
		if spec.daily {
			t.daily(r, i)
		} else {
			t.bursts(r, i, d)
		}
	}
	if s == ScenarioFlash {
		for _, i := range r.Perm(len(t.specs))[:flashModels] {
			t.burst(r, i, t.event, d.instances)
		}
	}
	for i := range t.arrivals {
		slices.Sort(t.arrivals[i])
	}
	return t
}

// bursts adds sessions that come days apart, each beginning with a burst.
func (t *trace) bursts(r *rand.Rand, model int, d *deployment) {
	at := time.Duration(r.ExpFloat64() * float64(d.meanIdle))
	for at < t.length {
		// Crews work from six to eighteen o'clock.
		if hour := at % day; hour < 6*time.Hour || hour > 18*time.Hour {
			at = at - hour + 6*time.Hour + time.Duration(r.Int64N(int64(12*time.Hour)))
		}
		t.burst(r, model, at, d.instances)
		end := t.session(r, model, at, 20*time.Minute+time.Duration(r.Int64N(int64(40*time.Minute))))
		at = end + time.Hour + time.Duration(r.ExpFloat64()*float64(d.meanIdle))
	}
}

// daily adds a session of two hours on nine days out of ten.
func (t *trace) daily(r *rand.Rand, model int) {
	for d := range int(t.length / day) {
		jitter := time.Duration(r.Int64N(int64(20 * time.Minute)))
		if r.IntN(10) == 0 {
			continue
		}
		at := time.Duration(d)*day + t.specs[model].hour + jitter
		t.arrivals[model] = append(t.arrivals[model], at)
		t.session(r, model, at, 2*time.Hour)
	}
}

// burst adds one to three callers at every instance within two seconds.
func (t *trace) burst(r *rand.Rand, model int, at time.Duration, instances int) {
	for range instances {
		for range 1 + r.IntN(3) {
			t.arrivals[model] = append(t.arrivals[model], at+time.Duration(r.Int64N(int64(2*time.Second))))
		}
	}
}

// session adds callers some minutes apart and returns when it ends. One gap in
// ten is a break of 10 to 40 minutes.
func (t *trace) session(r *rand.Rand, model int, at, length time.Duration) time.Duration {
	end := at + length
	for at < end {
		gap := 30*time.Second + time.Duration(r.ExpFloat64()*float64(3*time.Minute))
		if r.IntN(10) == 0 {
			gap = 10*time.Minute + time.Duration(r.Int64N(int64(30*time.Minute)))
		}
		at += gap
		if at < t.length {
			t.arrivals[model] = append(t.arrivals[model], at)
		}
	}
	return end
}
