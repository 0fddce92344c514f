// Package demand aggregates, over all instances, how often each model is requested, how much
// work this is, and how many requests wait for it. Demand changes quickly: the most requested
// models change within seconds, while a rare model is requested every ten to twenty seconds.
//
// Rates decay exponentially, so old arrivals need no explicit removal. The waiting and running
// requests that an instance reports replace those of its previous report.
package demand

import (
	"math"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/modelplan"
)

const (
	// rateDecay is the time constant of a model's arrival rate. Demand moves to other models
	// within a few seconds.
	rateDecay = 3 * time.Second
	// worthDecay is the time constant of a model's rate of worth. It is longer than rateDecay
	// because rare models are requested only every ten to twenty seconds.
	worthDecay = 15 * time.Second
	// nonRepeatableWorth is the worth of a request that can't be repeated, relative to one
	// that can: it is lost if it isn't served.
	nonRepeatableWorth = 10.0
	// historyDecays is the age, in time constants, from which the demand for a model is
	// negligible.
	historyDecays = 4
)

// Key identifies a model of a service, or an adapter of that model.
type Key struct {
	Service, Model, Adapter string
	// ServerVersion is set for requests that only servers of one software version can serve.
	// Arrivals and times of use don't distinguish versions.
	ServerVersion string
}

// Tally counts the requests of one instance for one model.
type Tally struct {
	// Arrived is the number of requests since the last report, Waiting the number that wait
	// for the model now. ArrivedNonRepeatable and WaitingNonRepeatable are how many of these
	// can't be repeated.
	Arrived, ArrivedNonRepeatable uint32
	Waiting, WaitingNonRepeatable uint32
	// Work is the server time that the arrived requests are expected to take, and RunTime the
	// sum of the times until they have ended.
	Work, RunTime time.Duration
}

// Placement identifies a model on a server.
type Placement struct{ Server, Model string }

// Past is the recent demand for one model, or for one adapter of it, as one instance has seen
// it.
type Past struct {
	// The rates per second of arrivals, worth, work and run time, as decayed. They are zero for
	// an adapter.
	Rate, WorthRate, WorkRate, RunRate float64
	// Idle is the time since the last request.
	Idle time.Duration
}

// Report is the demand of one instance.
type Report struct {
	Tallies map[Key]Tally
	// Running is the number of the instance's requests that servers run.
	Running map[Placement]uint32
	// History is set in the first report to a Tracker. It includes the arrivals of Tallies,
	// which are then not set there.
	History map[Key]Past
}

// Empty reports whether the report contains nothing.
func (r Report) Empty() bool { return len(r.Tallies)+len(r.Running)+len(r.History) == 0 }

// WithHistory returns the report with the history in place of the arrivals that it includes.
func (r Report) WithHistory(history map[Key]Past) Report {
	waiting := make(map[Key]Tally, len(r.Tallies))
	for key, t := range r.Tallies {
		if t.Waiting > 0 {
			waiting[key] = Tally{Waiting: t.Waiting, WaitingNonRepeatable: t.WaitingNonRepeatable}
		}
	}
	return Report{Tallies: waiting, Running: r.Running, History: history}
}

// decayingRate is an exponentially decayed rate per second.
type decayingRate struct {
	value float64
	at    time.Time
}

func (r *decayingRate) add(n float64, decay time.Duration, now time.Time) {
	r.value = r.get(decay, now) + n/decay.Seconds()
	r.at = now
}

func (r *decayingRate) get(decay time.Duration, now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.value * math.Exp(-now.Sub(r.at).Seconds()/decay.Seconds())
}

// modelKey identifies a model of a service.
type modelKey struct{ service, model string }

type history struct {
	rate, worthRate, workRate, runRate decayingRate
	lastUsed                           time.Time
	adapters                           map[string]time.Time
}

// past returns the rates at the given time.
func (h *history) past(now time.Time) Past {
	return Past{
		Rate: h.rate.get(rateDecay, now), WorthRate: h.worthRate.get(worthDecay, now),
		WorkRate: h.workRate.get(rateDecay, now), RunRate: h.runRate.get(rateDecay, now), Idle: now.Sub(h.lastUsed),
	}
}

// instanceState is what the last report of an instance replaced.
type instanceState struct {
	at      time.Time
	waiting map[Key]Tally
	running map[Placement]uint32
}

// Tracker tracks the demand of all instances. It isn't safe for concurrent use.
type Tracker struct {
	reportTTL time.Duration
	histories map[modelKey]*history
	instances map[string]instanceState
}

// NewTracker returns a Tracker without any demand. The waiting and running requests that an
// instance reports expire after reportTTL, so instances should report several times in that
// period.
func NewTracker(reportTTL time.Duration) *Tracker {
	return &Tracker{reportTTL: reportTTL, histories: map[modelKey]*history{}, instances: map[string]instanceState{}}
}

// Report records the demand of one instance.
func (t *Tracker) Report(instance string, r Report, now time.Time) {
	for key, past := range r.History {
		t.merge(key, past, now)
	}
	waiting := map[Key]Tally{}
	for key, tally := range r.Tallies {
		if tally.Waiting > 0 {
			waiting[key] = tally
		}
		t.Record(key, tally, now)
	}
	t.instances[instance] = instanceState{at: now, waiting: waiting, running: r.Running}
}

// Record adds the arrivals of a tally to the history of its model.
func (t *Tracker) Record(key Key, tally Tally, now time.Time) {
	if tally.Arrived == 0 && tally.Waiting == 0 {
		return
	}
	h := t.history(modelKey{key.Service, key.Model})
	h.rate.add(float64(tally.Arrived), rateDecay, now)
	h.worthRate.add(worth(tally.Arrived, tally.ArrivedNonRepeatable), worthDecay, now)
	h.workRate.add(tally.Work.Seconds(), rateDecay, now)
	h.runRate.add(tally.RunTime.Seconds(), rateDecay, now)
	h.lastUsed = now
	if key.Adapter != "" {
		h.adapters[key.Adapter] = now
	}
}

// worth returns the total worth of requests, of which nonRepeatable can't be repeated.
func worth(all, nonRepeatable uint32) float64 {
	return float64(all-nonRepeatable) + nonRepeatableWorth*float64(nonRepeatable)
}

func (t *Tracker) history(key modelKey) *history {
	h := t.histories[key]
	if h == nil {
		h = &history{adapters: map[string]time.Time{}}
		t.histories[key] = h
	}
	return h
}

// History returns the demand that hasn't decayed yet, for the Report to another Tracker.
func (t *Tracker) History(now time.Time) map[Key]Past {
	out := map[Key]Past{}
	for key, h := range t.histories {
		past := h.past(now)
		if past.Idle > historyDecays*worthDecay {
			delete(t.histories, key)
			continue
		}
		out[Key{Service: key.service, Model: key.model}] = past
		for adapter, at := range h.adapters {
			out[Key{Service: key.service, Model: key.model, Adapter: adapter}] = Past{Idle: now.Sub(at)}
		}
	}
	return out
}

// merge adds the demand that an instance has seen. Rates of instances add up, because each
// counts its own requests.
func (t *Tracker) merge(key Key, past Past, now time.Time) {
	h, used := t.history(modelKey{key.Service, key.Model}), now.Add(-past.Idle)
	h.rate.add(past.Rate*rateDecay.Seconds(), rateDecay, now)
	h.worthRate.add(past.WorthRate*worthDecay.Seconds(), worthDecay, now)
	h.workRate.add(past.WorkRate*rateDecay.Seconds(), rateDecay, now)
	h.runRate.add(past.RunRate*rateDecay.Seconds(), rateDecay, now)
	if used.After(h.lastUsed) {
		h.lastUsed = used
	}
	if key.Adapter != "" && used.After(h.adapters[key.Adapter]) {
		h.adapters[key.Adapter] = used
	}
}

// LastUsed returns when a model, or an adapter of it if the key has one, was last requested;
// the zero time if never.
func (t *Tracker) LastUsed(key Key) time.Time {
	h := t.histories[modelKey{key.Service, key.Model}]
	switch {
	case h == nil:
		return time.Time{}
	case key.Adapter == "":
		return h.lastUsed
	}
	return h.adapters[key.Adapter]
}

// Waiting returns the total worth of the waiting requests by model and adapter.
func (t *Tracker) Waiting(now time.Time) map[Key]float64 {
	out := map[Key]float64{}
	for instance, state := range t.instances {
		if now.Sub(state.at) > t.reportTTL {
			delete(t.instances, instance)
			continue
		}
		for key, tally := range state.waiting {
			out[key] += worth(tally.Waiting, tally.WaitingNonRepeatable)
		}
	}
	return out
}

// Running returns the number of requests for each model that each server runs.
func (t *Tracker) Running(now time.Time) map[Placement]int {
	out := map[Placement]int{}
	for _, state := range t.instances {
		if now.Sub(state.at) > t.reportTTL {
			continue
		}
		for at, n := range state.running {
			out[at] += int(n)
		}
	}
	return out
}

// Of returns the demand for the models of a service.
func (t *Tracker) Of(service string, now time.Time) map[string]modelplan.Demand {
	out := map[string]modelplan.Demand{}
	for key, h := range t.histories {
		if key.service != service {
			continue
		}
		past := h.past(now)
		d := modelplan.Demand{Rate: past.Rate, WorthRate: past.WorthRate, WorkRate: past.WorkRate, LastUsed: h.lastUsed}
		if past.Rate > 0 {
			d.RunTime = time.Duration(past.RunRate / past.Rate * float64(time.Second))
		}
		out[key.model] = d
	}
	for key, weight := range t.Waiting(now) {
		if key.Service != service {
			continue
		}
		d := out[key.Model]
		if key.ServerVersion == "" {
			d.Waiting += weight
			d.Adapters = addAdapter(d.Adapters, key.Adapter, weight)
		} else {
			v := d.Versions[key.ServerVersion]
			v.Waiting += weight
			v.Adapters = addAdapter(v.Adapters, key.Adapter, weight)
			if d.Versions == nil {
				d.Versions = map[string]modelplan.VersionDemand{}
			}
			d.Versions[key.ServerVersion] = v
		}
		out[key.Model] = d
	}
	return out
}

// addAdapter adds the worth of requests that wait for an adapter. An empty name adds nothing.
func addAdapter(adapters map[string]float64, name string, worth float64) map[string]float64 {
	if name == "" {
		return adapters
	}
	if adapters == nil {
		adapters = map[string]float64{}
	}
	adapters[name] += worth
	return adapters
}
