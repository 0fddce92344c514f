package experiment

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	day = 24 * time.Hour
	// defaultDays is the default length of a trace.
	defaultDays = 14
	// flashCrowdModels is the number of models that a flash crowd requests at once.
	flashCrowdModels  = 10
	slowStoreDuration = 12 * time.Hour
	slowStoreFactor   = 10
)

// span holds the times that divide a trace. Measurements start after the warm-up period.
// The flash crowd or the fault of a scenario begins at disruptionAt.
type span struct {
	length, warmup, disruptionAt time.Duration
}

func newSpan(days int) span {
	warmup := time.Duration(days*3/7) * day
	length := time.Duration(days) * day
	return span{length: length, warmup: warmup, disruptionAt: (warmup+length)/2/day*day + 11*time.Hour}
}

// Scenario names an arrival pattern together with a fault.
type Scenario string

// The scenarios.
const (
	// ScenarioBurst has days without requests, then a burst at every instance and a
	// session.
	ScenarioBurst Scenario = "idle_burst"
	// ScenarioDaily has sessions at the same time of most days.
	ScenarioDaily Scenario = "daily_rhythm"
	// ScenarioFlash is a mix of both patterns, with ten models requested at once by a
	// flash crowd.
	ScenarioFlash Scenario = "flash_crowd"
	// ScenarioSlowStore is the same mix, with the weight store at a tenth of its speed
	// for slowStoreDuration.
	ScenarioSlowStore Scenario = "slow_store"
	// ScenarioLost is the same mix, with the loss of an accelerator.
	ScenarioLost Scenario = "lost_accelerator"
)

// Scenarios lists all scenarios.
var Scenarios = []Scenario{ScenarioBurst, ScenarioDaily, ScenarioFlash, ScenarioSlowStore, ScenarioLost}

// trace holds the arrivals of each model in the order of time.
type trace struct {
	span
	specs    []modelSpec
	arrivals [][]time.Duration
}

// buildTrace generates the trace of a scenario from the seed.
func buildTrace(d *deployment, s Scenario, days int, seed uint64) *trace {
	r := rand.New(rand.NewPCG(seed, 0x6379636c616d656e))
	t := &trace{span: newSpan(days), specs: d.buildModels(r)}
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
			t.addDailySessions(r, i)
		} else {
			t.addBurstySessions(r, i, d)
		}
	}
	if s == ScenarioFlash {
		for _, i := range r.Perm(len(t.specs))[:flashCrowdModels] {
			t.addBurst(r, i, t.disruptionAt, d.instances)
		}
	}
	for i := range t.arrivals {
		slices.Sort(t.arrivals[i])
	}
	return t
}

// addBurstySessions adds sessions that are days apart and begin with a burst each.
func (t *trace) addBurstySessions(r *rand.Rand, model int, d *deployment) {
	at := time.Duration(r.ExpFloat64() * float64(d.meanIdle))
	for at < t.length {
		// Crews work from 6:00 to 18:00.
		if hour := at % day; hour < 6*time.Hour || hour > 18*time.Hour {
			at = at - hour + 6*time.Hour + time.Duration(r.Int64N(int64(12*time.Hour)))
		}
		t.addBurst(r, model, at, d.instances)
		end := t.addSession(r, model, at, 20*time.Minute+time.Duration(r.Int64N(int64(40*time.Minute))))
		at = end + time.Hour + time.Duration(r.ExpFloat64()*float64(d.meanIdle))
	}
}

// addDailySessions adds a session of two hours on nine of ten days on average.
func (t *trace) addDailySessions(r *rand.Rand, model int) {
	for d := range int(t.length / day) {
		jitter := time.Duration(r.Int64N(int64(20 * time.Minute)))
		if r.IntN(10) == 0 {
			continue
		}
		at := time.Duration(d)*day + t.specs[model].dailyStart + jitter
		t.arrivals[model] = append(t.arrivals[model], at)
		t.addSession(r, model, at, 2*time.Hour)
	}
}

// addBurst adds one to three requests at every instance within two seconds.
func (t *trace) addBurst(r *rand.Rand, model int, at time.Duration, instances int) {
	for range instances {
		for range 1 + r.IntN(3) {
			t.arrivals[model] = append(t.arrivals[model], at+time.Duration(r.Int64N(int64(2*time.Second))))
		}
	}
}

// addSession adds requests some minutes apart and returns the end of the session. One
// gap in ten is a break of 10 to 40 minutes.
func (t *trace) addSession(r *rand.Rand, model int, at, length time.Duration) time.Duration {
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
