package placer

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
	// waitingFresh is how long what an instance said of its waiting requests
	// holds; it says so anew every reportInterval.
	waitingFresh = 3 * reportInterval
	// instanceFresh is how long an instance counts after its last report. One that
	// is cut off for a while still draws on the budgets that all share.
	instanceFresh = 20 * time.Second
)

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

// serviceModel names a model of a service.
type serviceModel struct{ service, model string }

type history struct {
	rate, value mean
	lastUsed    time.Time
	adapters    map[string]time.Time
}

type instanceWaits struct {
	at    time.Time
	waits map[wanted]tally
}

// book gathers the demand of all instances. It isn't safe for concurrent use.
type book struct {
	histories map[serviceModel]*history
	waits     map[string]instanceWaits
	seen      map[string]seenInstance
}

type seenInstance struct {
	at      time.Time
	address string
}

func newBook() *book {
	return &book{histories: map[serviceModel]*history{}, waits: map[string]instanceWaits{}, seen: map[string]seenInstance{}}
}

// instances returns the addresses of the instances that have reported lately.
func (b *book) instances(now time.Time) []string {
	addresses := make([]string, 0, len(b.seen))
	for instance, seen := range b.seen {
		if now.Sub(seen.at) > instanceFresh {
			delete(b.seen, instance)
			continue
		}
		addresses = append(addresses, seen.address)
	}
	return addresses
}

// meet notes that an instance is there.
func (b *book) meet(instance, address string, now time.Time) {
	b.seen[instance] = seenInstance{at: now, address: address}
}

// report takes in what one instance's requests want.
func (b *book) report(instance string, tallies map[wanted]tally, now time.Time) {
	waits := map[wanted]tally{}
	for key, t := range tallies {
		if t.waiting > 0 {
			waits[key] = t
		}
		if t.arrived == 0 && t.waiting == 0 {
			continue
		}
		h := b.history(serviceModel{key.service, key.model})
		h.rate.add(float64(t.arrived), rateDecay, now)
		h.value.add(worth(t.arrived, t.arrivedLasting), valueDecay, now)
		h.lastUsed = now
		if key.adapter != "" {
			h.adapters[key.adapter] = now
		}
	}
	b.waits[instance] = instanceWaits{at: now, waits: waits}
}

func worth(all, lasting uint32) float64 {
	return float64(all-lasting) + lastingWorth*float64(lasting)
}

func (b *book) history(key serviceModel) *history {
	h := b.histories[key]
	if h == nil {
		h = &history{adapters: map[string]time.Time{}}
		b.histories[key] = h
	}
	return h
}

// waiting returns the worth of the requests that wait, by what they wait for.
func (b *book) waiting(now time.Time) map[wanted]float64 {
	out := map[wanted]float64{}
	for instance, w := range b.waits {
		if now.Sub(w.at) > waitingFresh {
			delete(b.waits, instance)
			continue
		}
		for key, t := range w.waits {
			out[key] += worth(t.waiting, t.waitingLasting)
		}
	}
	return out
}

// demand returns the demand for the models of a service.
func (b *book) demand(service string, now time.Time) map[string]modelplan.Demand {
	out := map[string]modelplan.Demand{}
	for key, h := range b.histories {
		if key.service == service {
			out[key.model] = modelplan.Demand{
				Rate: h.rate.get(rateDecay, now), Value: h.value.get(valueDecay, now), LastUsed: h.lastUsed,
			}
		}
	}
	for key, weight := range b.waiting(now) {
		if key.service != service {
			continue
		}
		d := out[key.model]
		d.Waiting += weight
		if key.adapter != "" {
			if d.Adapters == nil {
				d.Adapters = map[string]float64{}
			}
			d.Adapters[key.adapter] += weight
		}
		out[key.model] = d
	}
	return out
}
