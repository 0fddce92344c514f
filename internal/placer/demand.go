package placer

import (
	"sync"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/demand"
)

// Collector counts the demand of this instance's requests. It implements edge.Demand.
type Collector struct {
	mu      sync.Mutex
	tallies map[demand.Key]*demand.Tally
	// past tracks the same arrivals for holders that begin later.
	past *demand.Tracker
	// changed has a buffered signal while a request waits whose demand hasn't been reported
	// yet.
	changed chan struct{}
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{tallies: map[demand.Key]*demand.Tally{}, past: demand.NewTracker(waitingTTL), changed: make(chan struct{}, 1)}
}

func (c *Collector) tallyFor(w edge.Want) *demand.Tally {
	key := demand.Key{Service: w.Service, Model: w.Model, Adapter: w.Adapter}
	t := c.tallies[key]
	if t == nil {
		t = &demand.Tally{}
		c.tallies[key] = t
	}
	return t
}

// Arrived counts a request for a model.
func (c *Collector) Arrived(w edge.Want) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tallyFor(w)
	t.Arrived++
	t.Work += w.Work
	arrival := demand.Tally{Arrived: 1, Work: w.Work}
	if w.NonRepeatable {
		t.ArrivedNonRepeatable++
		arrival.ArrivedNonRepeatable = 1
	}
	c.past.Record(demand.Key{Service: w.Service, Model: w.Model, Adapter: w.Adapter}, arrival, time.Now())
}

// history returns the recent demand, including the arrivals not collected yet.
func (c *Collector) history() map[demand.Key]demand.Past {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.past.History(time.Now())
}

// Wait counts a request that waits for a model, until the returned function is called.
func (c *Collector) Wait(w edge.Want) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tallyFor(w)
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
		t := c.tallyFor(w)
		t.Waiting--
		if w.NonRepeatable {
			t.WaitingNonRepeatable--
		}
	}
}

// collect returns the arrivals since the last call and the currently waiting requests.
func (c *Collector) collect() map[demand.Key]demand.Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[demand.Key]demand.Tally, len(c.tallies))
	for key, t := range c.tallies {
		out[key] = *t
		t.Arrived, t.ArrivedNonRepeatable, t.Work = 0, 0, 0
		if t.Waiting == 0 {
			delete(c.tallies, key)
		}
	}
	return out
}

// restore adds back arrivals that couldn't be reported.
func (c *Collector) restore(tallies map[demand.Key]demand.Tally) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, t := range tallies {
		held := c.tallies[key]
		if held == nil {
			held = &demand.Tally{}
			c.tallies[key] = held
		}
		held.Arrived += t.Arrived
		held.Work += t.Work
		held.ArrivedNonRepeatable += t.ArrivedNonRepeatable
	}
}
