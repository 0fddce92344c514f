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
	// cold_start_weight of one half; it grows in proportion to the weight.
	DefaultKeep = 10 * time.Minute
	// MinResident is how long a model stays after it became ready.
	MinResident = time.Minute
	// exchange is how many seconds of one idle accelerator are worth one second
	// of waiting of one caller, at a cold_start_weight of one half.
	exchange = 60.0
	// tailScale is the wait, in seconds, beyond which its cost grows faster.
	tailScale = 2.5
	// aheadMargin is the part of a cold start's cost that loading ahead has to
	// gain.
	aheadMargin = 0.3
	// aheadLead is the least time before an arrival at which a model is loaded.
	aheadLead = 10 * time.Minute
	// rhythmHorizon bounds keeping for a model with a rhythm: what comes later is
	// loaded ahead instead.
	rhythmHorizon = 2 * time.Hour
	// worthHorizon is the time over which the worth of a model is reckoned.
	worthHorizon = time.Hour
)

// Facts are what a verdict on a model depends on besides its history.
type Facts struct {
	Model port.ModelID
	// Accelerators is the part of an accelerator's memory that the model takes.
	Accelerators float64
	// ColdStart is the estimated time to load the model again.
	ColdStart time.Duration
	// ReadySince is when the model became ready; zero if it isn't loaded.
	ReadySince time.Time
	// Class is the class under whose budget the model stands idle.
	Class string
}

// Verdict is a decision on one model.
type Verdict struct {
	// Keep says that the model stays, or is loaded ahead.
	Keep bool
	// Fresh says that the model stays because it became ready just now, whatever
	// the budget.
	Fresh bool
	// Gain is what keeping it is worth at best less what it costs, in seconds of
	// an idle accelerator.
	Gain   float64
	Reason string
}

const blockSize = 64

// Tracker holds the histories of all models. It isn't safe for concurrent use.
type Tracker struct {
	origin time.Time
	index  map[port.ModelID]int32
	// blocks hold the histories without the slack of a growing slice.
	blocks []*[blockSize]history
	weight float64
}

// New returns a tracker without histories. Days begin at origin's midnight, in
// UTC, whatever the wall clock does later.
func New(origin time.Time, coldStartWeight float64) *Tracker {
	t := &Tracker{origin: origin.Add(-origin.Sub(origin.Truncate(day))), index: map[port.ModelID]int32{}}
	t.SetWeight(coldStartWeight)
	return t
}

// SetWeight changes the operator's weight of cold starts against idle hours.
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

// Arrived takes in one arrival or several at one moment.
func (t *Tracker) Arrived(now time.Time, model port.ModelID) {
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
	t.at(i).arrive(at)
}

func (t *Tracker) at(i int32) *history { return &t.blocks[i/blockSize][i%blockSize] }

// Woke takes in how many callers waited for a cold start after the last gap.
func (t *Tracker) Woke(model port.ModelID, waiting int) {
	if i, known := t.index[model]; known {
		t.at(i).burst(float64(waiting))
	}
}

// Waited takes in the same where the waits are known: their sum, and how long it
// took from the first caller until the model was ready. Their ratio is the
// number of callers as if all had come at once.
func (t *Tracker) Waited(model port.ModelID, waits, took time.Duration) {
	if i, known := t.index[model]; known && took > 0 {
		t.at(i).burst(waits.Seconds() / took.Seconds())
	}
}

// WaitCost is what a wait of one caller counts for, in seconds. Beyond
// tailScale it grows with the square, since the tail is what callers mind.
func WaitCost(wait time.Duration) float64 {
	return wait.Seconds() * max(1, wait.Seconds()/tailScale)
}

// Models returns the number of histories.
func (t *Tracker) Models() int { return len(t.index) }

func (t *Tracker) history(model port.ModelID) *history {
	if i, known := t.index[model]; known {
		return t.at(i)
	}
	return nil
}

// Worth is the waiting, in seconds over all callers, that is to be expected
// within the next hour if the model is unloaded now.
func (t *Tracker) Worth(now time.Time, model port.ModelID, coldStart time.Duration) float64 {
	h := t.history(model)
	if h == nil {
		return 0
	}
	f := h.forecast(now.Sub(t.origin))
	return f.within(worthHorizon) * WaitCost(coldStart) * h.callers(f.age+worthHorizon/2)
}

// costs returns the price of a cold start, for each caller, and of a second of
// idling.
func (t *Tracker) costs(f *Facts) (cold, idle float64) {
	return t.weight * exchange * WaitCost(f.ColdStart), (1 - t.weight) * f.Accelerators
}

// bestGain returns the largest gain over all moments until which the model could
// be kept.
func bestGain(f *forecast, cold, idle float64, limit time.Duration) (gain float64, until time.Duration) {
	var saved, idled float64
	left, from := 1.0, time.Duration(0)
	for _, to := range horizon {
		if to > limit {
			break
		}
		p := left * f.arrival(from, to)
		seconds := (to - from).Seconds()
		idled += (left-p)*seconds + p*seconds/2
		saved += p * cold * f.h.callers(f.age+to)
		left -= p
		from = to
		if g := saved - idled*idle; g > gain {
			gain, until = g, to
		}
	}
	return gain, until
}

// Keep decides whether a loaded model without work stays.
func (t *Tracker) Keep(now time.Time, facts Facts) Verdict {
	if !facts.ReadySince.IsZero() && now.Sub(facts.ReadySince) < MinResident {
		return Verdict{Keep: true, Fresh: true, Reason: "ready for less than " + MinResident.String()}
	}
	h := t.history(facts.Model)
	at := now.Sub(t.origin)
	if h == nil || h.seen < knownGaps {
		return t.keepByDefault(h, now, &facts)
	}
	f := h.forecast(at)
	cold, idle := t.costs(&facts)
	limit := horizon[len(horizon)-1]
	if f.rhythmic {
		limit = rhythmHorizon
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
		Keep: true, Gain: t.weight * exchange * WaitCost(facts.ColdStart) * (1 - age.Seconds()/keep.Seconds()),
		Reason: fmt.Sprintf("kept %s without a history", keep),
	}
}

// Ahead decides whether a model that isn't loaded is to be loaded before it is
// asked for. Only a rhythm is reason enough.
func (t *Tracker) Ahead(now time.Time, facts Facts) Verdict {
	h := t.history(facts.Model)
	if h == nil || h.seen < knownGaps {
		return Verdict{}
	}
	at := now.Sub(t.origin)
	if h.roll(at); !h.rhythmic() {
		return Verdict{}
	}
	lead := max(aheadLead, 2*facts.ColdStart)
	if max(h.slot(at), h.slot(at+lead), h.slot(at+lead+slotLength/2)) < regular {
		return Verdict{}
	}
	f := h.forecast(at)
	cold, idle := t.costs(&facts)
	gain, _ := bestGain(&f, cold, idle, rhythmHorizon)
	if gain < aheadMargin*cold*h.callers(f.age+lead) {
		return Verdict{}
	}
	return Verdict{Keep: true, Gain: gain, Reason: fmt.Sprintf("asked for about this time on %.0f%% of days",
		100*max(h.slot(f.now), h.slot(f.now+lead)))}
}

// Release is a model that is to be unloaded.
type Release struct {
	Model  port.ModelID
	Reason string
}

// rejudge is the part of its idle time after which a model that was worth keeping
// is judged anew.
const rejudge = 16

// keepAgain is Keep, but doesn't judge a model anew that was worth keeping a
// short while ago and hasn't been asked for since.
func (t *Tracker) keepAgain(now time.Time, facts Facts) Verdict {
	h, at := t.history(facts.Model), now.Sub(t.origin)
	if h == nil || now.Sub(facts.ReadySince) < MinResident {
		return t.Keep(now, facts)
	}
	if h.gain > 0 && at-time.Duration(h.judged)*time.Second < (at-h.last)/rejudge {
		return Verdict{Keep: true, Gain: float64(h.gain)}
	}
	v := t.Keep(now, facts)
	h.judged, h.gain = int32(at/time.Second), float32(v.Gain)
	return v
}

// Releases decides which of the loaded models without work go: those not worth
// keeping, and those worth least per accelerator above the idle budget. Budget
// gives the idle accelerators allowed for a class in this zone, and total those
// for all classes.
func (t *Tracker) Releases(now time.Time, idle []Facts, budget func(class string) float64, total float64) []Release {
	type kept struct {
		Facts
		gain float64
	}
	used := map[string]float64{}
	sum := 0.0
	var released []Release
	var stay []kept
	for _, facts := range idle {
		v := t.keepAgain(now, facts)
		switch {
		case !v.Keep:
			released = append(released, Release{facts.Model, v.Reason})
		case v.Fresh:
			used[facts.Class] += facts.Accelerators
			sum += facts.Accelerators
		default:
			stay = append(stay, kept{facts, v.Gain / max(facts.Accelerators, 1e-6)})
		}
	}
	slices.SortStableFunc(stay, func(a, b kept) int {
		return cmp.Or(cmp.Compare(b.gain, a.gain), cmp.Compare(a.Model, b.Model))
	})
	for _, k := range stay {
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
