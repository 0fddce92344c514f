// Package demand counts which models requests ask for and wait for, over all
// instances. It answers a load that moves: what is asked for most changes within
// seconds, while rare models are asked for every ten to twenty seconds each.
//
// Rates decay, so that nothing has to be forgotten on purpose; what an instance
// reports to be waiting replaces what it reported before.
package demand

import (
	"math"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/modelplan"
)

const (
	// rateDecay is the time over which arrivals count towards a model's rate.
	// Demand moves to other models within some seconds.
	rateDecay = 3 * time.Second
	// valueDecay is the time over which arrivals count towards its worth; rare
	// models are asked for every ten to twenty seconds.
	valueDecay = 15 * time.Second
	// lastingWorth is the worth of a request that can't be repeated, in worth of
	// one that can: it is lost for good if it isn't served.
	lastingWorth = 10.0
)

// Key names a model, or an adapter of it, of a service.
type Key struct {
	Service, Model, Adapter string
}

// Tally counts one instance's requests for one model.
type Tally struct {
	// Arrived are those since the last report, Waiting those that wait for the
	// model now. The lasting ones among them can't be repeated.
	Arrived, ArrivedLasting uint32
	Waiting, WaitingLasting uint32
}

// mean is an exponentially decaying mean of arrivals a second.
type mean struct {
	value float64
	at    time.Time
}

func (m *mean) add(n float64, decay time.Duration, now time.Time) {
	m.value = m.get(decay, now) + n/decay.Seconds()
	m.at = now
}

func (m *mean) get(decay time.Duration, now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	return m.value * math.Exp(-now.Sub(m.at).Seconds()/decay.Seconds())
}

// modelKey names a model of a service.
type modelKey struct{ service, model string }

type history struct {
	rate, value mean
	lastUsed    time.Time
	adapters    map[string]time.Time
}

type instanceWaits struct {
	at    time.Time
	waits map[Key]Tally
}

// Book gathers the demand of all instances. It isn't safe for concurrent use.
type Book struct {
	waitingFresh time.Duration
	histories    map[modelKey]*history
	waits        map[string]instanceWaits
}

// NewBook returns an empty book. What an instance said of its waiting requests holds
// for waitingFresh; it should say so anew several times in that span.
func NewBook(waitingFresh time.Duration) *Book {
	return &Book{waitingFresh: waitingFresh, histories: map[modelKey]*history{}, waits: map[string]instanceWaits{}}
}

// Report takes in what one instance's requests want.
func (b *Book) Report(instance string, tallies map[Key]Tally, now time.Time) {
	waits := map[Key]Tally{}
	for key, t := range tallies {
		if t.Waiting > 0 {
			waits[key] = t
		}
		if t.Arrived == 0 && t.Waiting == 0 {
			continue
		}
		h := b.history(modelKey{key.Service, key.Model})
		h.rate.add(float64(t.Arrived), rateDecay, now)
		h.value.add(worth(t.Arrived, t.ArrivedLasting), valueDecay, now)
		h.lastUsed = now
		if key.Adapter != "" {
			h.adapters[key.Adapter] = now
		}
	}
	b.waits[instance] = instanceWaits{at: now, waits: waits}
}

func worth(all, lasting uint32) float64 {
	return float64(all-lasting) + lastingWorth*float64(lasting)
}

func (b *Book) history(key modelKey) *history {
	h := b.histories[key]
	if h == nil {
		h = &history{adapters: map[string]time.Time{}}
		b.histories[key] = h
	}
	return h
}

// LastUsed returns when a model was last asked for, and an adapter of it if that
// isn't empty; the zero time if never.
func (b *Book) LastUsed(key Key) time.Time {
	h := b.histories[modelKey{key.Service, key.Model}]
	switch {
	case h == nil:
		return time.Time{}
	case key.Adapter == "":
		return h.lastUsed
	}
	return h.adapters[key.Adapter]
}

// Waiting returns the worth of the requests that wait, by what they wait for.
func (b *Book) Waiting(now time.Time) map[Key]float64 {
	out := map[Key]float64{}
	for instance, w := range b.waits {
		if now.Sub(w.at) > b.waitingFresh {
			delete(b.waits, instance)
			continue
		}
		for key, t := range w.waits {
			out[key] += worth(t.Waiting, t.WaitingLasting)
		}
	}
	return out
}

// Of returns the demand for the models of a service.
func (b *Book) Of(service string, now time.Time) map[string]modelplan.Demand {
	out := map[string]modelplan.Demand{}
	for key, h := range b.histories {
		if key.service == service {
			out[key.model] = modelplan.Demand{
				Rate: h.rate.get(rateDecay, now), Value: h.value.get(valueDecay, now), LastUsed: h.lastUsed,
			}
		}
	}
	for key, weight := range b.Waiting(now) {
		if key.Service != service {
			continue
		}
		d := out[key.Model]
		d.Waiting += weight
		if key.Adapter != "" {
			if d.Adapters == nil {
				d.Adapters = map[string]float64{}
			}
			d.Adapters[key.Adapter] += weight
		}
		out[key.Model] = d
	}
	return out
}
