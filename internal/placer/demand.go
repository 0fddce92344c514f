package placer

import (
	"maps"
	"sync"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/demand"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
)

// Collector counts the demand of this instance's requests. It implements edge.Demand.
type Collector struct {
	mu      sync.Mutex
	tallies map[demand.Key]*demand.Tally
	running map[demand.Placement]uint32
	// past tracks the same arrivals for holders that begin later.
	past *demand.Tracker
	// changed has a buffered signal while a request waits whose demand hasn't been reported
	// yet.
	changed chan struct{}
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{
		tallies: map[demand.Key]*demand.Tally{}, running: map[demand.Placement]uint32{},
		past: demand.NewTracker(waitingTTL), changed: make(chan struct{}, 1),
	}
}

func keyOf(w edge.Want) demand.Key {
	return demand.Key{Service: w.Service, Model: w.Model, Adapter: w.Adapter, ServerVersion: w.ServerVersion}
}

func (c *Collector) tallyFor(key demand.Key) *demand.Tally {
	t := c.tallies[key]
	if t == nil {
		t = &demand.Tally{}
		c.tallies[key] = t
	}
	return t
}

// Arrived counts a request for a model.
func (c *Collector) Arrived(w edge.Want) {
	arrival := demand.Tally{Arrived: 1, Work: w.Work, RunTime: w.RunTime}
	if w.NonRepeatable {
		arrival.ArrivedNonRepeatable = 1
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	addArrivals(c.tallyFor(keyOf(w)), arrival)
	c.past.Record(keyOf(w), arrival, time.Now())
}

func addArrivals(t *demand.Tally, more demand.Tally) {
	t.Arrived += more.Arrived
	t.ArrivedNonRepeatable += more.ArrivedNonRepeatable
	t.Work += more.Work
	t.RunTime += more.RunTime
}

// Wait counts a request that waits for a model, until the returned function is called.
func (c *Collector) Wait(w edge.Want) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tallyFor(keyOf(w))
	t.Waiting++
	if w.NonRepeatable {
		t.WaitingNonRepeatable++
	}
	select {
	case c.changed <- struct{}{}:
	default:
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		// The tally may have been replaced in the meantime.
		t := c.tallyFor(keyOf(w))
		t.Waiting--
		if w.NonRepeatable {
			t.WaitingNonRepeatable--
		}
	}
}

// Run counts a request that a server runs, until the returned function is called.
func (c *Collector) Run(model string, server fleet.ServerID) func() {
	at := demand.Placement{Server: string(server), Model: model}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[at]++
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.running[at]--; c.running[at] == 0 {
			delete(c.running, at)
		}
	}
}

// history returns the recent demand, including the arrivals not collected yet.
func (c *Collector) history() map[demand.Key]demand.Past {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.past.History(time.Now())
}

// collect returns the arrivals since the last call, and the currently waiting and running
// requests.
func (c *Collector) collect() demand.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := demand.Report{Tallies: make(map[demand.Key]demand.Tally, len(c.tallies)), Running: maps.Clone(c.running)}
	for key, t := range c.tallies {
		out.Tallies[key] = *t
		*t = demand.Tally{Waiting: t.Waiting, WaitingNonRepeatable: t.WaitingNonRepeatable}
		if t.Waiting == 0 {
			delete(c.tallies, key)
		}
	}
	return out
}

// restore adds back arrivals that couldn't be reported.
func (c *Collector) restore(r demand.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, t := range r.Tallies {
		addArrivals(c.tallyFor(key), t)
	}
}
