// Package workload learns how much of a server's time requests take, from what servers answer.
// Requests of one deployment take twenty times as long as those of another, and models differ
// by as much, so that a number of requests says little about the work that they cause.
//
// The work of a request is the time to read its prompt, during which the server can read no
// other, and the part of its generation time that one of the server's slots stands for.
package workload

import (
	"sync"
	"time"
)

const (
	// idleShareOfObjective is the time to the first event on an idle server, as a share of the
	// route's latency objective, until it has been observed.
	idleShareOfObjective = 0.125
	// gain is the weight of a new observation.
	gain = 0.125
	// maxRatio bounds the effect of one observation.
	maxRatio = 8
)

// Kind identifies requests that take about the same time: those of one route for one model.
type Kind struct{ Route, Model string }

// Observation is what a request shows about its server.
type Observation struct {
	// FirstEvent is the time from sending the request to the first event, and Generation the
	// time from there to the last one.
	FirstEvent, Generation time.Duration
	// Alone means that no other request waited to be read meanwhile, so that FirstEvent
	// contains no waiting time.
	Alone bool
	// Events is the number of events of the answer that were generated in Generation; 0 if
	// unknown.
	Events int
}

// Estimator estimates the work of requests to one service. It is safe for concurrent use.
type Estimator struct {
	mu    sync.Mutex
	kinds map[Kind]*mean
	// routes has the means over the models of each route, for models without observations.
	routes map[string]*mean
	all    mean
}

type mean struct {
	reading, generation float64 // in seconds
	// perEvent is the time between two events, in seconds.
	perEvent float64
}

// NewEstimator returns an Estimator without observations.
func NewEstimator() *Estimator {
	return &Estimator{kinds: map[Kind]*mean{}, routes: map[string]*mean{}}
}

// Observe records the times of a completed request.
func (e *Estimator) Observe(k Kind, o Observation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	kind, known := e.kinds[k]
	if !known {
		kind = &mean{}
		e.kinds[k] = kind
	}
	route, known := e.routes[k.Route]
	if !known {
		route = &mean{}
		e.routes[k.Route] = route
	}
	kind.observe(o)
	route.observe(o)
	e.all.observe(o)
}

// MeanReading returns the mean time to read the prompt of a request of the service; 0 if
// unknown.
func (e *Estimator) MeanReading() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return seconds(e.all.reading)
}

// observe updates the means. A request that waited for others shows at most that reading takes
// no longer than the time to its first event.
func (m *mean) observe(o Observation) {
	if seconds := o.FirstEvent.Seconds(); o.Alone || m.reading > 0 && seconds < m.reading {
		m.reading = update(m.reading, seconds)
	}
	m.generation = update(m.generation, o.Generation.Seconds())
	if o.Events > 0 {
		m.perEvent = update(m.perEvent, o.Generation.Seconds()/float64(o.Events))
	}
}

// minRatioEvents is the number of events from which the time between them is compared: fewer may
// have been sent together.
const minRatioEvents = 4

// Ratio returns how many times as long a completed request took as requests of its kind take on
// average over all servers. The time between events is compared where there are some, since it
// doesn't depend on the length of prompt and answer. It reports false if the observation says
// nothing about the speed of its server.
func (e *Estimator) Ratio(k Kind, o Observation) (float64, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.kinds[k]
	switch {
	case m == nil:
		return 0, false
	case o.Events >= minRatioEvents && m.perEvent > 0:
		return o.Generation.Seconds() / float64(o.Events) / m.perEvent, true
	case o.Events == 0 && o.Alone && m.reading > 0:
		return o.FirstEvent.Seconds() / m.reading, true
	}
	return 0, false
}

// MeanHolding returns the mean time that a request of the service keeps a slot of its server; 0 if
// unknown.
func (e *Estimator) MeanHolding() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return seconds(e.all.reading + e.all.generation)
}

func update(mean, observed float64) float64 {
	if mean == 0 {
		return observed
	}
	return mean + gain*(min(observed, maxRatio*mean)-mean)
}

// Estimate is the expected time to read the prompt of a request on an idle server, and to
// generate its answer.
type Estimate struct{ Reading, Generation time.Duration }

// Work returns the time that the request takes of a server with the given number of slots.
func (e Estimate) Work(slots int) time.Duration {
	return e.Reading + e.Generation/time.Duration(max(slots, 1))
}

// Estimate returns the estimate for a request. The latency objective of its route stands in
// for observations until there are some.
func (e *Estimator) Estimate(k Kind, objective time.Duration) Estimate {
	e.mu.Lock()
	defer e.mu.Unlock()
	estimate := mean{reading: idleShareOfObjective * objective.Seconds()}
	for _, m := range []*mean{e.routes[k.Route], e.kinds[k]} {
		if m == nil {
			continue
		}
		if m.reading > 0 {
			estimate.reading = m.reading
		}
		estimate.generation = m.generation
	}
	return Estimate{Reading: seconds(estimate.reading), Generation: seconds(estimate.generation)}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
