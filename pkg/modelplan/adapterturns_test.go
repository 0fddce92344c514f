package modelplan_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/modelplan"
)

const (
	// turnsStep is the time between two plans, in which a server carries out an order for an adapter.
	turnsStep = 5 * time.Millisecond
	// turnsInterval is the time between two requests for the same adapter.
	turnsInterval = 100 * time.Millisecond
	// turnsReportLag is the interval at which the planner learns which requests wait.
	turnsReportLag = 50 * time.Millisecond
	// reloadedSoon is the time after its unload within which an adapter is rarely to be loaded
	// again on the server; in at most one of maxReloadedSoon loads.
	reloadedSoon    = time.Second
	maxReloadedSoon = 20
)

// adapterTurns plays requests for more adapters of one model than a server holds.
type adapterTurns struct {
	servers  []modelplan.Server
	now      time.Time
	adapters []string
	// waiting are the numbers of requests that wait for each adapter.
	waiting map[string]int
	// reported is waiting as the planner knows it.
	reported map[string]int
	// lastUsed is when a request was last sent to a server that has the adapter.
	lastUsed map[string]time.Time
	// madeFor are the adapters that an adapter was unloaded for and that weren't loaded since, by server.
	madeFor  map[string]string
	unloaded map[string]time.Time
	// loads counts the loads of adapters, reloads those soon after the unload, and taken those that
	// took a slot which was made for another adapter.
	loads, reloads, taken int
}

func newAdapterTurns(adapters int, servers ...modelplan.Server) *adapterTurns {
	a := &adapterTurns{
		servers: servers, now: now, waiting: map[string]int{}, lastUsed: map[string]time.Time{},
		madeFor: map[string]string{}, unloaded: map[string]time.Time{},
	}
	for n := range adapters {
		a.adapters = append(a.adapters, fmt.Sprintf("a%02d", n))
	}
	return a
}

func (a *adapterTurns) play(d time.Duration) {
	for end := a.now.Add(d); a.now.Before(end); a.now = a.now.Add(turnsStep) {
		a.arrive()
		demand := modelplan.Demand{Rate: float64(len(a.adapters)) / turnsInterval.Seconds(), Adapters: map[string]float64{}, LastUsed: a.now}
		demand.WorthRate = demand.Rate
		if a.now.Sub(now)%turnsReportLag == 0 {
			a.reported = maps.Clone(a.waiting)
		}
		for adapter, n := range a.reported {
			if n > 0 {
				demand.Adapters[adapter], demand.Waiting = float64(n), demand.Waiting+float64(n)
			}
		}
		for _, action := range modelplan.Plan(a.now, state(a.servers, map[string]modelplan.Demand{"m0": demand})) {
			a.execute(action)
		}
	}
}

// arrive lets a request arrive for each adapter whose turn it is, and serves those that wait for
// adapters that are there.
func (a *adapterTurns) arrive() {
	for n, adapter := range a.adapters {
		if a.now.Sub(now)%turnsInterval == time.Duration(n)*turnsStep%turnsInterval {
			a.waiting[adapter]++
		}
		if a.waiting[adapter] > 0 && slices.ContainsFunc(a.servers, func(s modelplan.Server) bool { return holdsAdapter(s, adapter) }) {
			a.waiting[adapter], a.lastUsed[adapter] = 0, a.now
		}
	}
	for i := range a.servers {
		for j := range a.servers[i].Models {
			for k := range a.servers[i].Models[j].Adapters {
				held := &a.servers[i].Models[j].Adapters[k]
				held.LastUsed = a.lastUsed[held.Name]
			}
		}
	}
}

func holdsAdapter(s modelplan.Server, adapter string) bool {
	return slices.ContainsFunc(s.Models, func(r modelplan.Resident) bool {
		return slices.ContainsFunc(r.Adapters, func(held modelplan.Adapter) bool { return held.Name == adapter })
	})
}

func (a *adapterTurns) execute(action modelplan.Action) {
	s := &a.servers[slices.IndexFunc(a.servers, func(s modelplan.Server) bool { return s.ID == action.Server })]
	switch action.Kind {
	case modelplan.LoadModel:
		s.Models = append(s.Models, modelplan.Resident{Model: action.Model, Since: a.now})
	case modelplan.UnloadAdapter:
		resident := &s.Models[slices.IndexFunc(s.Models, func(r modelplan.Resident) bool { return r.Model == action.Model })]
		resident.Adapters = slices.DeleteFunc(resident.Adapters, func(held modelplan.Adapter) bool { return held.Name == action.Adapter })
		a.madeFor[s.ID], a.unloaded[s.ID+action.Adapter] = action.EvictedFor, a.now
		if s.Unloaded == nil {
			s.Unloaded = map[modelplan.AdapterID]time.Time{}
		}
		s.Unloaded[modelplan.AdapterID{Model: action.Model, Adapter: action.Adapter}] = a.now
	case modelplan.LoadAdapter:
		resident := &s.Models[slices.IndexFunc(s.Models, func(r modelplan.Resident) bool { return r.Model == action.Model })]
		resident.Adapters = append(resident.Adapters, modelplan.Adapter{Name: action.Adapter, LastUsed: a.now, Since: a.now})
		a.loads++
		if at, known := a.unloaded[s.ID+action.Adapter]; known && a.now.Sub(at) < reloadedSoon {
			a.reloads++
		}
		if madeFor := a.madeFor[s.ID]; madeFor != "" && madeFor != action.Model+"/"+action.Adapter {
			a.taken++
		}
		delete(a.madeFor, s.ID)
	default:
	}
}

// TestAdaptersTakeTurnsOnOneServer: an adapter that had been unloaded for another was loaded again
// before that one, some twenty times a second, and requests for the other waited for their whole time.
func TestAdaptersTakeTurnsOnOneServer(t *testing.T) {
	for _, adapters := range []int{3, 4, 6} {
		t.Run(fmt.Sprint(adapters, " adapters, 2 slots"), func(t *testing.T) {
			a := newAdapterTurns(adapters, newServer("s0", []string{"m0"}))
			a.play(5 * time.Second)
			assert.Zero(t, a.taken, "of %d loads took a slot that was made for another adapter", a.loads)
			assert.LessOrEqual(t, a.reloads, a.loads/maxReloadedSoon, "of %d loads came soon after the unload", a.loads)
			for _, adapter := range a.adapters {
				assert.NotZero(t, a.lastUsed[adapter], adapter)
			}
		})
	}
}

// More adapters asked for than one server holds are a reason for a copy of the model elsewhere.
func TestAdaptersBeyondTheSlotsOfOneServerGetAnother(t *testing.T) {
	a := newAdapterTurns(4, newServer("s0", []string{"m0"}), newServer("s1", nil, "m0"))
	a.play(5 * time.Second)
	for _, adapter := range a.adapters {
		assert.Zero(t, a.waiting[adapter], adapter)
	}
	assert.LessOrEqual(t, a.reloads, a.loads/maxReloadedSoon, "of %d loads came soon after the unload", a.loads)
}

// TestModelsWithCopiesOnOneServerWaitForIt: after most servers had been replaced, the models whose only
// copy lay on the disk of one of the others were loaded there one after the other, while the new
// servers stayed empty.
func TestModelsWithCopiesOnOneServerWaitForIt(t *testing.T) {
	names := []string{"m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7"}
	demand := map[string]modelplan.Demand{}
	for _, name := range names[modelSlots:] {
		demand[name] = modelplan.Demand{Rate: 2, WorthRate: 2, Waiting: 10, LastUsed: now}
	}
	servers := []modelplan.Server{newServer("old", names[:modelSlots], names...), newServer("new0", nil), newServer("new1", nil), newServer("new2", nil)}
	fromStore := 0
	for _, action := range modelplan.Plan(now, state(servers, demand)) {
		if action.FromStore {
			fromStore++
		}
	}
	assert.Positive(t, fromStore, "the old server can load one of five models at a time")
}
