package modelplan_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/modelplan"
)

// fullOfAdapters returns a server whose two slots hold a1 and a2, loaded that long ago.
func fullOfAdapters(held time.Duration) modelplan.Server {
	s := newServer("s0", []string{"m0", "m1"})
	s.Models[0].Adapters = []modelplan.Adapter{
		{Name: "a1", LastUsed: now, Since: now.Add(-held)}, {Name: "a2", LastUsed: now.Add(-time.Millisecond), Since: now.Add(-held)},
	}
	return s
}

func waitingFor(adapters ...string) modelplan.Demand {
	d := modelplan.Demand{Adapters: map[string]float64{}}
	for _, name := range adapters {
		d.Waiting++
		d.Adapters[name] = 1
	}
	return d
}

// An adapter was unloaded 5 ms after its load, before the requests that it was loaded for came.
func TestAdapterServesWhatItWasLoadedFor(t *testing.T) {
	wants := map[string]modelplan.Demand{"m0": waitingFor("a3")}
	assert.Empty(t, modelplan.Plan(now, state([]modelplan.Server{fullOfAdapters(5 * time.Millisecond)}, wants)))
	assert.Equal(t, []modelplan.Action{{Server: "s0", Kind: modelplan.UnloadAdapter, Model: "m0", Adapter: "a2", EvictedFor: "m0/a3"}},
		modelplan.Plan(now, state([]modelplan.Server{fullOfAdapters(time.Second)}, wants)))
}

// The free slot was made for a3 of m1. Requests still count as waiting for a0, which left it, and more
// adapters of m0 are waited for.
func TestFreedSlotGoesToTheAdapterItWasFreedFor(t *testing.T) {
	s := fullOfAdapters(time.Second)
	s.Models[0].Adapters = s.Models[0].Adapters[:1]
	s.Unloaded = map[modelplan.AdapterID]time.Time{
		{Model: "m0", Adapter: "a0"}: now.Add(-5 * time.Millisecond), {Model: "m0", Adapter: "a2"}: now.Add(-time.Second),
	}
	wants := map[string]modelplan.Demand{"m0": waitingFor("a0", "a2"), "m1": waitingFor("a3")}
	assert.Equal(t, []modelplan.Action{{Server: "s0", Kind: modelplan.LoadAdapter, Model: "m1", Adapter: "a3"}},
		modelplan.Plan(now, state([]modelplan.Server{s}, wants)))
}

// An adapter that has just been unloaded displaces none, but takes a slot that is free.
func TestUnloadedAdapterWaitsItsTurn(t *testing.T) {
	wants := map[string]modelplan.Demand{"m0": waitingFor("a0")}
	full := fullOfAdapters(5 * time.Second)
	full.Unloaded = map[modelplan.AdapterID]time.Time{{Model: "m0", Adapter: "a0"}: now}
	assert.Empty(t, modelplan.Plan(now.Add(time.Second-time.Millisecond), state([]modelplan.Server{full}, wants)))
	assert.NotEmpty(t, modelplan.Plan(now.Add(time.Second), state([]modelplan.Server{full}, wants)))

	free := full
	free.Models = []modelplan.Resident{{Model: "m0"}}
	assert.Equal(t, []modelplan.Action{{Server: "s0", Kind: modelplan.LoadAdapter, Model: "m0", Adapter: "a0"}},
		modelplan.Plan(now, state([]modelplan.Server{free}, wants)))
}
