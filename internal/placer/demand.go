package placer

import (
	"sync"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
)

// wanted names a model, or an adapter of it, of a service.
type wanted struct {
	service, model, adapter string
}

// tally counts the requests for one model.
type tally struct {
	arrived, arrivedLasting uint32
	waiting, waitingLasting uint32
}

// Collector counts what this instance's requests want. It implements
// edge.Demand.
type Collector struct {
	mu      sync.Mutex
	tallies map[wanted]*tally
	// changed holds a token while a model waits that wasn't reported yet.
	changed chan struct{}
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{tallies: map[wanted]*tally{}, changed: make(chan struct{}, 1)}
}

func (c *Collector) tally(w edge.Want) *tally {
	key := wanted{w.Service, w.Model, w.Adapter}
	t := c.tallies[key]
	if t == nil {
		t = &tally{}
		c.tallies[key] = t
	}
	return t
}

// Arrived notes a request for a model.
func (c *Collector) Arrived(w edge.Want) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tally(w)
	t.arrived++
	if w.Lasting {
		t.arrivedLasting++
	}
}

// Wait notes that a request waits for a model; the function ends that.
func (c *Collector) Wait(w edge.Want) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.tally(w)
	t.waiting++
	if w.Lasting {
		t.waitingLasting++
	}
	select {
	case c.changed <- struct{}{}:
	default:
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		// The tally may have been replaced by a newer one meanwhile.
		t := c.tally(w)
		t.waiting--
		if w.Lasting {
			t.waitingLasting--
		}
	}
}

// take returns what arrived since the last call and what waits now.
func (c *Collector) take() map[wanted]tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[wanted]tally, len(c.tallies))
	for key, t := range c.tallies {
		out[key] = *t
		t.arrived, t.arrivedLasting = 0, 0
		if t.waiting == 0 {
			delete(c.tallies, key)
		}
	}
	return out
}

// putBack returns arrivals that couldn't be reported.
func (c *Collector) putBack(tallies map[wanted]tally) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, t := range tallies {
		held := c.tallies[key]
		if held == nil {
			held = &tally{}
			c.tallies[key] = held
		}
		held.arrived += t.arrived
		held.arrivedLasting += t.arrivedLasting
	}
}
