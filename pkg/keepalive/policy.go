package keepalive

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

const (
	// DefaultKeep is how long a model without a history stays loaded at a
	// cold_start_weight of 0.5. The time is proportional to the weight.
	DefaultKeep = 10 * time.Minute
	// MinResident is the minimum time for which a model stays loaded after it became
	// ready.
	MinResident = time.Minute
	// idleSecondsPerWaitSecond is the number of idle accelerator seconds with the
	// same cost as one second of waiting of one caller, at a cold_start_weight of
	// 0.5.
	idleSecondsPerWaitSecond = 60.0
	// tailThresholdSeconds is the wait beyond which its cost grows quadratically.
	tailThresholdSeconds = 2.5
	// preloadGainRatio is the minimum gain of preloading, as a fraction of the cost
	// of a cold start.
	preloadGainRatio = 0.3
	// minPreloadLead is the least lead of preloading, which is how long before an
	// expected arrival a model is loaded.
	minPreloadLead = 10 * time.Minute
	// patternKeepLimit bounds how far ahead a model with a daily pattern is kept.
	// For later arrivals it is preloaded instead.
	patternKeepLimit = 2 * time.Hour
	// worthHorizon is the time over which the worth of a model is computed.
	worthHorizon = time.Hour
)

// Facts are the inputs of a decision on a model other than its history.
type Facts struct {
	Model port.ModelID
	// Accelerators is the memory that the model uses, as a fraction of an
	// accelerator's memory.
	Accelerators float64
	// ColdStart is the estimated duration of loading the model again.
	ColdStart time.Duration
	// ReadySince is the time at which the model became ready; zero if it isn't
	// loaded.
	ReadySince time.Time
	// Class is the request class whose idle budget the model counts against.
	Class string
}

// Verdict is the decision on one model.
type Verdict struct {
	// Keep is set if the model stays loaded, or is preloaded.
	Keep bool
	// JustReady is set if the model stays because it became ready less than
	// MinResident ago. It then stays regardless of the budget.
	JustReady bool
	// Gain is the largest expected saving of keeping the model minus its idle cost,
	// in seconds of one idle accelerator.
	Gain   float64
	Reason string
}

const blockSize = 64

// Tracker holds the histories of all models. It isn't safe for concurrent use.
type Tracker struct {
	origin time.Time
	index  map[port.ModelID]int32
	// blocks store the histories in fixed-size arrays, without the spare capacity of
	// a growing slice.
	blocks []*[blockSize]history
	weight float64
}

// New returns a tracker without histories. Days begin at the midnight before
// origin, in UTC, regardless of later changes of the wall clock.
func New(origin time.Time, coldStartWeight float64) *Tracker {
	t := &Tracker{origin: origin.Add(-origin.Sub(origin.Truncate(day))), index: map[port.ModelID]int32{}}
	t.SetWeight(coldStartWeight)
	return t
}

// SetWeight changes the operator's cold_start_weight, which weighs cold starts
// against idle time. It is clamped to the range from 0 to 1.
func (t *Tracker) SetWeight(coldStartWeight float64) {
	weight := min(max(coldStartWeight, 0), 1)
	if weight == t.weight {
		return
	}
	t.weight = weight
	for _, block := range t.blocks {
		for i := range block {
			block[i].gain = 0
		}
	}
}

// RecordArrival records an arrival. One call suffices for several arrivals at
// the same time.
func (t *Tracker) RecordArrival(now time.Time, model port.ModelID) {
	at := now.Sub(t.origin)
	i, known := t.index[model]
	if !known {
		i = int32(len(t.index))
		t.index[model] = i
		if i%blockSize == 0 {
			t.blocks = append(t.blocks, new([blockSize]history))
		}
		*t.at(i) = newHistory(at)
	}
	t.at(i).recordArrival(at)
}

func (t *Tracker) at(i int32) *history { return &t.blocks[i/blockSize][i%blockSize] }

// RecordColdStart records how many callers waited for a cold start after the
// last gap.
func (t *Tracker) RecordColdStart(model port.ModelID, waiting int) {
	if i, known := t.index[model]; known {
		t.at(i).recordBurst(float64(waiting))
	}
}

// RecordColdStartWaits records the same as RecordColdStart if the waits are
// known: their sum, and the time from the first caller until the model was
// ready. Their ratio is the number of callers as if all had arrived at once.
func (t *Tracker) RecordColdStartWaits(model port.ModelID, waits, took time.Duration) {
	if i, known := t.index[model]; known && took > 0 {
		t.at(i).recordBurst(waits.Seconds() / took.Seconds())
	}
}

// WaitCost returns the cost of one caller's wait, in seconds. Above
// tailThresholdSeconds it grows with the square of the wait, because callers are
// most sensitive to tail latency.
func WaitCost(wait time.Duration) float64 {
	return wait.Seconds() * max(1, wait.Seconds()/tailThresholdSeconds)
}

// Models returns the number of histories.
func (t *Tracker) Models() int { return len(t.index) }

func (t *Tracker) history(model port.ModelID) *history {
	if i, known := t.index[model]; known {
		return t.at(i)
	}
	return nil
}

// Worth returns the expected waiting time within the next hour if the model is
// unloaded now, in seconds of WaitCost over all callers.
func (t *Tracker) Worth(now time.Time, model port.ModelID, coldStart time.Duration) float64 {
	h := t.history(model)
	if h == nil {
		return 0
	}
	f := h.forecast(now.Sub(t.origin))
	return f.within(worthHorizon) * WaitCost(coldStart) * h.expectedCallers(f.age+worthHorizon/2)
}

// costs returns the cost of a cold start for each caller, and that of one second
// of idle time.
func (t *Tracker) costs(f *Facts) (cold, idle float64) {
	return t.weight * idleSecondsPerWaitSecond * WaitCost(f.ColdStart), (1 - t.weight) * f.Accelerators
}

// bestGain returns the largest gain over all times, up to limit, until which the
// model could be kept.
func bestGain(f *forecast, cold, idle float64, limit time.Duration) (gain float64, until time.Duration) {
	var saved, idled float64
	left, from := 1.0, time.Duration(0)
	for _, to := range forecastOffsets {
		if to > limit {
			break
		}
		p := left * f.arrival(from, to)
		seconds := (to - from).Seconds()
		idled += (left-p)*seconds + p*seconds/2
		saved += p * cold * f.h.expectedCallers(f.age+to)
		left -= p
		from = to
		if g := saved - idled*idle; g > gain {
			gain, until = g, to
		}
	}
	return gain, until
}

// Keep decides whether a loaded, idle model stays loaded.
func (t *Tracker) Keep(now time.Time, facts Facts) Verdict {
	if !facts.ReadySince.IsZero() && now.Sub(facts.ReadySince) < MinResident {
		return Verdict{Keep: true, JustReady: true, Reason: "ready for less than " + MinResident.String()}
	}
	h := t.history(facts.Model)
	at := now.Sub(t.origin)
	if h == nil || h.gapCount < minGaps {
		return t.keepByDefault(h, now, &facts)
	}
	f := h.forecast(at)
	cold, idle := t.costs(&facts)
	limit := forecastOffsets[len(forecastOffsets)-1]
	if f.dailyPattern {
		limit = patternKeepLimit
	}
	gain, until := bestGain(&f, cold, idle, limit)
	if gain <= 0 {
		return Verdict{Reason: fmt.Sprintf("idle for %s, an arrival within an hour has a chance of %.0f%%",
			f.age.Round(time.Second), 100*f.within(worthHorizon))}
	}
	return Verdict{Keep: true, Gain: gain, Reason: fmt.Sprintf("worth keeping for the next %s", until)}
}

func (t *Tracker) keepByDefault(h *history, now time.Time, facts *Facts) Verdict {
	keep := time.Duration(2 * t.weight * float64(DefaultKeep))
	idleSince := facts.ReadySince
	if h != nil {
		idleSince = t.origin.Add(h.last)
	}
	age := now.Sub(idleSince)
	if age >= keep {
		return Verdict{Reason: fmt.Sprintf("idle for %s, kept %s without a history", age.Round(time.Second), keep)}
	}
	return Verdict{
		Keep: true, Gain: t.weight * idleSecondsPerWaitSecond * WaitCost(facts.ColdStart) * (1 - age.Seconds()/keep.Seconds()),
		Reason: fmt.Sprintf("kept %s without a history", keep),
	}
}

// Preload decides whether a model that isn't loaded is preloaded before its next
// request. Only models with a daily pattern are preloaded.
func (t *Tracker) Preload(now time.Time, facts Facts) Verdict {
	h := t.history(facts.Model)
	if h == nil || h.gapCount < minGaps {
		return Verdict{}
	}
	at := now.Sub(t.origin)
	if h.advanceTo(at); !h.hasDailyPattern() {
		return Verdict{}
	}
	lead := max(minPreloadLead, 2*facts.ColdStart)
	if max(h.slotShare(at), h.slotShare(at+lead), h.slotShare(at+lead+slotLength/2)) < activeShare {
		return Verdict{}
	}
	f := h.forecast(at)
	cold, idle := t.costs(&facts)
	gain, _ := bestGain(&f, cold, idle, patternKeepLimit)
	if gain < preloadGainRatio*cold*h.expectedCallers(f.age+lead) {
		return Verdict{}
	}
	return Verdict{Keep: true, Gain: gain, Reason: fmt.Sprintf("asked for about this time on %.0f%% of days",
		100*max(h.slotShare(f.now), h.slotShare(f.now+lead)))}
}

// Release is a model that is to be unloaded, with the reason for operators.
type Release struct {
	Model  port.ModelID
	Reason string
}

// reevaluationDivisor sets how long a result of Keep is cached: for the model's
// idle time divided by this value.
const reevaluationDivisor = 16

// keepCached is Keep with a cached result. It reuses the gain of a model that
// was recently worth keeping and hasn't been requested since.
func (t *Tracker) keepCached(now time.Time, facts Facts) Verdict {
	h, at := t.history(facts.Model), now.Sub(t.origin)
	if h == nil || now.Sub(facts.ReadySince) < MinResident {
		return t.Keep(now, facts)
	}
	if h.gain > 0 && at-time.Duration(h.evaluatedAt)*time.Second < (at-h.last)/reevaluationDivisor {
		return Verdict{Keep: true, Gain: float64(h.gain)}
	}
	v := t.Keep(now, facts)
	h.evaluatedAt, h.gain = int32(at/time.Second), float32(v.Gain)
	return v
}

// Releases returns the loaded, idle models to unload: those that aren't worth
// keeping, and, above the idle budget, those with the smallest gain per
// accelerator. The function budget returns the number of idle accelerators
// allowed for a class in this zone, and total is the number allowed for all
// classes together.
func (t *Tracker) Releases(now time.Time, idle []Facts, budget func(class string) float64, total float64) []Release {
	type candidate struct {
		Facts
		gain float64
	}
	used := map[string]float64{}
	sum := 0.0
	var released []Release
	var candidates []candidate
	for _, facts := range idle {
		v := t.keepCached(now, facts)
		switch {
		case !v.Keep:
			released = append(released, Release{facts.Model, v.Reason})
		case v.JustReady:
			used[facts.Class] += facts.Accelerators
			sum += facts.Accelerators
		default:
			candidates = append(candidates, candidate{facts, v.Gain / max(facts.Accelerators, 1e-6)})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.gain, a.gain), cmp.Compare(a.Model, b.Model))
	})
	for _, k := range candidates {
		class := used[k.Class] + k.Accelerators
		switch {
		case class > budget(k.Class):
			released = append(released, Release{k.Model, fmt.Sprintf(
				"class %s may keep %.2f accelerators idle in this zone, others are worth more", k.Class, budget(k.Class))})
		case sum+k.Accelerators > total:
			released = append(released, Release{k.Model, fmt.Sprintf(
				"%.2f accelerators may be idle in this zone, others are worth more", total)})
		default:
			used[k.Class] = class
			sum += k.Accelerators
		}
	}
	return released
}
