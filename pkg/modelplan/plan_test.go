package modelplan_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/modelplan"
)

var now = time.Unix(1_800_000_000, 0)

const (
	modelSlots = 3
	modelMB    = 70.0
	adapterMB  = 0.1
	memoryMB   = modelSlots*modelMB + 5
)

func models(n int) map[string]modelplan.Model {
	out := map[string]modelplan.Model{}
	for i := range n {
		name := fmt.Sprint("m", i)
		out[name] = modelplan.Model{
			Name: name, WeightsMB: modelMB, AdapterMB: adapterMB,
			StoreLoad: 6 * time.Second, DiskLoad: 1200 * time.Millisecond, HostLoad: 400 * time.Millisecond,
		}
	}
	return out
}

// newServer returns a server that holds the given models and has their weights on disk, beside
// those of onDisk.
func newServer(id string, held []string, onDisk ...string) modelplan.Server {
	s := modelplan.Server{ID: id, MemoryMB: memoryMB, InMemory: map[string]bool{}, OnDisk: map[string]bool{}}
	for _, m := range held {
		s.Models = append(s.Models, modelplan.Resident{Model: m})
		s.OnDisk[m] = true
	}
	for _, m := range onDisk {
		s.OnDisk[m] = true
	}
	return s
}

func state(servers []modelplan.Server, demand map[string]modelplan.Demand) modelplan.State {
	return modelplan.State{Servers: servers, Models: models(12), Demand: demand, AdapterSlots: 2, StoreLoads: 100}
}

// A burst of requests for a model that no server holds causes one load, on a server that has a
// copy of the weights and where the eviction costs least.
func TestBurstOnAColdModelIsOneLoad(t *testing.T) {
	servers := []modelplan.Server{
		newServer("a", []string{"m0", "m1", "m2"}, "m9"),
		newServer("b", []string{"m3", "m4", "m5"}, "m9"),
		newServer("c", []string{"m6", "m7", "m8"}),
	}
	demand := map[string]modelplan.Demand{"m9": {Waiting: 500}, "m0": {WorthRate: 9}, "m1": {WorthRate: 9}, "m2": {WorthRate: 9}}
	plan := modelplan.Plan(now, state(servers, demand))
	require.Len(t, plan, 1)
	assert.Equal(t, modelplan.UnloadModel, plan[0].Kind)
	assert.Equal(t, "b", plan[0].Server, "the models on server a are in demand")
	assert.Equal(t, "m9", plan[0].EvictedFor)

	servers[1].Loading, servers[1].Busy = "m9", true
	assert.Empty(t, modelplan.Plan(now, state(servers, demand)), "the load is in progress")
}

// A model isn't loaded from the weight store while a server with a copy of its weights is only
// temporarily busy.
func TestWaitsForAServerWithACopy(t *testing.T) {
	servers := []modelplan.Server{newServer("a", []string{"m0"}, "m9"), newServer("b", nil)}
	servers[0].Busy = true
	for _, a := range modelplan.Plan(now, state(servers, map[string]modelplan.Demand{"m9": {Waiting: 5}})) {
		assert.NotEqual(t, "m9", a.Model)
	}
}

// Loads from the weight store are limited to four at a time.
func TestStoreLoadsAreBounded(t *testing.T) {
	var servers []modelplan.Server
	demand := map[string]modelplan.Demand{}
	for i := range 10 {
		servers = append(servers, newServer(fmt.Sprint("s", i), nil))
		demand[fmt.Sprint("m", i)] = modelplan.Demand{Waiting: 1}
	}
	plan := modelplan.Plan(now, state(servers, demand))
	assert.Len(t, plan, 4)
	for _, a := range plan {
		assert.True(t, a.FromStore)
	}
}

// Loads from the weight store respect the rate limit in State.StoreLoads.
func TestStoreLoadsKeepToTheRate(t *testing.T) {
	st := state([]modelplan.Server{newServer("a", nil), newServer("b", nil)}, map[string]modelplan.Demand{"m0": {Waiting: 1}, "m1": {Waiting: 1}})
	st.StoreLoads = 1
	assert.Len(t, modelplan.Plan(now, st), 1)
	st.StoreLoads = 0
	assert.Empty(t, modelplan.Plan(now, st))
}

// A model whose demand rises within seconds gets a second replica.
func TestHotModelGetsASecondReplica(t *testing.T) {
	servers := []modelplan.Server{
		newServer("a", []string{"m0", "m1", "m2"}), newServer("b", []string{"m3", "m4", "m5"}, "m0"),
	}
	demand := map[string]modelplan.Demand{
		"m0": {Rate: 30, WorthRate: 30, LastUsed: now}, "m3": {WorthRate: 1}, "m4": {}, "m5": {WorthRate: 1},
	}
	plan := modelplan.Plan(now, state(servers, demand))
	require.Len(t, plan, 1)
	assert.Equal(t, modelplan.Action{Server: "b", Kind: modelplan.UnloadModel, Model: "m4", EvictedFor: "m0"}, plan[0])
}

// The second replica of a hot model is loaded from the weight store if no other server has a
// copy. Without it, a crash of the only server would stop all requests for the model for the
// duration of such a load.
func TestHotModelWithoutAnotherCopy(t *testing.T) {
	servers := []modelplan.Server{newServer("a", []string{"m0"}), newServer("b", []string{"m1"})}
	plan := modelplan.Plan(now, state(servers, map[string]modelplan.Demand{"m0": {Rate: 30, WorthRate: 30}}))
	require.Len(t, plan, 1)
	assert.Equal(t, "b", plan[0].Server)
	assert.Equal(t, "m0", plan[0].Model)
	assert.True(t, plan[0].FromStore)
}

// A single request for a rare model doesn't evict a replica of a hot model, even if no other
// eviction frees enough memory.
func TestHotReplicasAreKept(t *testing.T) {
	servers := []modelplan.Server{
		newServer("a", []string{"m0"}, "m9"), newServer("b", []string{"m0"}, "m9"),
	}
	for i := range servers {
		servers[i].MemoryMB = modelMB + 1
	}
	demand := map[string]modelplan.Demand{"m0": {Rate: 40, WorthRate: 40, LastUsed: now}, "m9": {Waiting: 10}}
	assert.Empty(t, modelplan.Plan(now, state(servers, demand)))
	demand["m0"] = modelplan.Demand{LastUsed: now.Add(-time.Minute)}
	assert.Len(t, modelplan.Plan(now, state(servers, demand)), 1, "after the demand has ended")
}

// Work that fluctuates around the threshold between two and three replicas moves no replica.
func TestReplicasDontFollowEachChangeOfRate(t *testing.T) {
	servers := []modelplan.Server{
		newServer("a", []string{"m0", "m1", "m2"}, "m9"), newServer("b", []string{"m0", "m3", "m4"}, "m9"),
		newServer("c", []string{"m0", "m5", "m6"}, "m9"),
	}
	for _, work := range []float64{0.75, 0.85, 0.78, 0.9} {
		demand := map[string]modelplan.Demand{"m0": {Rate: 50, WorthRate: 50, WorkRate: work, LastUsed: now}}
		for _, a := range modelplan.Plan(now, state(servers, demand)) {
			assert.NotEqual(t, "m0", a.Model, "%+v at %v", a, work)
		}
	}
}

// Surplus replicas are evicted for models that no server holds, before any requests arrive.
func TestSpreadBeforeTraffic(t *testing.T) {
	servers := []modelplan.Server{
		newServer("a", []string{"m0", "m1", "m2"}), newServer("b", []string{"m0", "m3", "m4"}),
		newServer("c", []string{"m0", "m5", "m6"}, "m7"),
	}
	plan := modelplan.Plan(now, state(servers, nil))
	require.Len(t, plan, 1)
	assert.Equal(t, modelplan.Action{Server: "c", Kind: modelplan.UnloadModel, Model: "m0", EvictedFor: "m7"}, plan[0])
}

// After all servers were replaced by empty ones, the models with the highest demand are loaded
// from the weight store first, even if no request waits for them at that moment.
func TestReplacedServersLoadTheMostRequestedModels(t *testing.T) {
	servers := []modelplan.Server{newServer("a", nil), newServer("b", nil)}
	plan := modelplan.Plan(now, state(servers, map[string]modelplan.Demand{
		"m0": {WorthRate: 3, Waiting: 10}, "m1": {Rate: 30, WorthRate: 30}, "m2": {WorthRate: 1, Waiting: 1},
	}))
	require.Len(t, plan, 2)
	assert.Equal(t, "m1", plan[0].Model)
	assert.Equal(t, "m0", plan[1].Model)
}

// Free memory is filled from the weight store with requested models that have no copy on any
// server. Some loads stay reserved for models that requests wait for.
func TestFreeMemoryIsFilledFromTheStore(t *testing.T) {
	servers := []modelplan.Server{newServer("a", nil), newServer("b", nil), newServer("c", nil), newServer("d", nil)}
	demand := map[string]modelplan.Demand{"m0": {WorthRate: 3}, "m1": {WorthRate: 2}, "m2": {WorthRate: 1}}
	assert.Len(t, modelplan.Plan(now, state(servers, demand)), 2)
	assert.Empty(t, modelplan.Plan(now, state(servers, nil)), "models without demand aren't loaded from the store")
}

func TestAModelThatHasJustArrivedIsntDropped(t *testing.T) {
	servers := []modelplan.Server{newServer("a", []string{"m0", "m1", "m2"}, "m9")}
	for i := range servers[0].Models {
		servers[0].Models[i].Since = now.Add(-100 * time.Millisecond)
	}
	demand := map[string]modelplan.Demand{"m9": {Waiting: 50}}
	assert.Empty(t, modelplan.Plan(now, state(servers, demand)))
	assert.NotEmpty(t, modelplan.Plan(now.Add(5*time.Second), state(servers, demand)))
}

func TestAdapters(t *testing.T) {
	wants := map[string]modelplan.Demand{"m0": {Waiting: 1, Adapters: map[string]float64{"a9": 1}}}
	t.Run("loaded where the model is", func(t *testing.T) {
		plan := modelplan.Plan(now, state([]modelplan.Server{newServer("a", []string{"m0"}), newServer("b", nil)}, wants))
		require.NotEmpty(t, plan)
		assert.Equal(t, modelplan.Action{Server: "a", Kind: modelplan.LoadAdapter, Model: "m0", Adapter: "a9"}, plan[0])
	})
	t.Run("in place of the least recently used adapter", func(t *testing.T) {
		s := newServer("a", []string{"m0"})
		s.Models[0].Adapters = []modelplan.Adapter{{Name: "a1", LastUsed: now}, {Name: "a2", LastUsed: now.Add(-time.Second)}}
		plan := modelplan.Plan(now, state([]modelplan.Server{s}, wants))
		require.NotEmpty(t, plan)
		assert.Equal(t, modelplan.UnloadAdapter, plan[0].Kind)
		assert.Equal(t, "a2", plan[0].Adapter)
	})
	t.Run("no order if the adapter is loaded", func(t *testing.T) {
		s := newServer("a", []string{"m0"})
		s.Models[0].Adapters = []modelplan.Adapter{{Name: "a9"}}
		for _, a := range modelplan.Plan(now, state([]modelplan.Server{s}, wants)) {
			assert.Empty(t, a.Adapter)
		}
	})
}

func drawState(t *rapid.T) modelplan.State {
	all := models(12)
	names := make([]string, 0, len(all))
	for i := range 12 {
		names = append(names, fmt.Sprint("m", i))
	}
	var servers []modelplan.Server
	for i := range rapid.IntRange(1, 5).Draw(t, "servers") {
		held := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, modelSlots, rapid.ID[string]).Draw(t, "held")
		s := newServer(fmt.Sprint("s", i), held, rapid.SliceOfN(rapid.SampledFrom(names), 0, 8).Draw(t, "disk")...)
		for j := range s.Models {
			for a := range rapid.IntRange(0, 1).Draw(t, "adapters") {
				s.Models[j].Adapters = append(s.Models[j].Adapters, modelplan.Adapter{Name: fmt.Sprint("a", a)})
			}
			s.Models[j].Since = now.Add(-time.Duration(rapid.IntRange(0, 5000).Draw(t, "since")) * time.Millisecond)
		}
		s.Busy = rapid.Bool().Draw(t, "busy")
		if s.Busy && len(held) < modelSlots && rapid.Bool().Draw(t, "loads") {
			s.Loading, s.FromStore = rapid.SampledFrom(names).Draw(t, "loading"), rapid.Bool().Draw(t, "store")
		}
		servers = append(servers, s)
	}
	demand := map[string]modelplan.Demand{}
	for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, 8, rapid.ID[string]).Draw(t, "wanted") {
		d := modelplan.Demand{
			Rate: rapid.Float64Range(0, 60).Draw(t, "rate"), WorthRate: rapid.Float64Range(0, 60).Draw(t, "value"),
			Waiting: rapid.Float64Range(0, 60).Draw(t, "waiting"), LastUsed: now,
		}
		if rapid.Bool().Draw(t, "adapter") {
			d.Adapters = map[string]float64{"a7": 1}
		}
		demand[name] = d
	}
	return state(servers, demand)
}

// No plan overcommits a server, sends an order to a busy server, sends two orders to one
// server, or unloads a model that the server doesn't hold.
func TestPlanKeepsItsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		st := drawState(t)
		ordered := map[string]bool{}
		for _, a := range modelplan.Plan(now, st) {
			if ordered[a.Server] {
				t.Fatalf("two orders to %s", a.Server)
			}
			ordered[a.Server] = true
			for _, s := range st.Servers {
				if s.ID == a.Server {
					checkAction(t, s, a)
				}
			}
		}
	})
}

func checkAction(t *rapid.T, s modelplan.Server, a modelplan.Action) {
	if s.Busy {
		t.Fatalf("order %+v to a busy server", a)
	}
	used, adapters, isResident := 0.0, 0, false
	for _, resident := range s.Models {
		used += modelMB + adapterMB*float64(len(resident.Adapters))
		adapters += len(resident.Adapters)
		isResident = isResident || resident.Model == a.Model
	}
	switch a.Kind {
	case modelplan.LoadModel:
		if used+modelMB > s.MemoryMB || isResident {
			t.Fatalf("load %+v on %+v", a, s)
		}
	case modelplan.LoadAdapter:
		if adapters >= 2 || used+adapterMB > s.MemoryMB || !isResident {
			t.Fatalf("adapter %+v on %+v", a, s)
		}
	case modelplan.UnloadModel:
		for _, resident := range s.Models {
			if resident.Model == a.Model {
				used -= modelMB + adapterMB*float64(len(resident.Adapters))
			}
		}
		if !isResident || a.EvictedFor != "" && used+modelMB > s.MemoryMB {
			t.Fatalf("swap %+v on %+v", a, s)
		}
	case modelplan.UnloadAdapter:
		if !isResident {
			t.Fatalf("unload %+v of %+v", a, s)
		}
	}
}

// Repeated plans load every model that requests wait for, whatever the initial state, provided
// that some server has a copy of the weights.
func TestEveryRequestedModelIsLoaded(t *testing.T) {
	var onDisk []string
	for i := range 12 {
		onDisk = append(onDisk, fmt.Sprint("m", i))
	}
	servers := []modelplan.Server{newServer("a", []string{"m0", "m1", "m2"}, onDisk...), newServer("b", []string{"m3", "m4", "m5"}, onDisk...)}
	demand := map[string]modelplan.Demand{}
	for i := range 12 {
		demand[fmt.Sprint("m", i)] = modelplan.Demand{WorthRate: 1, Waiting: 1}
	}
	served := map[string]bool{}
	at := now
	for range 100 {
		for i := range servers {
			for _, resident := range servers[i].Models {
				served[resident.Model] = true
				d := demand[resident.Model]
				d.Waiting = 0
				demand[resident.Model] = d
			}
		}
		for _, a := range modelplan.Plan(at, state(servers, demand)) {
			apply(servers, a, at)
		}
		at = at.Add(2 * time.Second)
	}
	assert.Len(t, served, 12)
}

func apply(servers []modelplan.Server, a modelplan.Action, at time.Time) {
	for i := range servers {
		s := &servers[i]
		if s.ID != a.Server {
			continue
		}
		switch a.Kind {
		case modelplan.LoadModel:
			s.Models = append(s.Models, modelplan.Resident{Model: a.Model, Since: at})
		case modelplan.UnloadModel:
			remaining := s.Models[:0]
			for _, resident := range s.Models {
				if resident.Model != a.Model {
					remaining = append(remaining, resident)
				}
			}
			s.Models = append(remaining, modelplan.Resident{Model: a.EvictedFor, Since: at})
		}
	}
}

// A model whose requests take longer needs more replicas at the same arrival rate: requests of
// one deployment take twenty times as long as those of another.
func TestReplicasFollowWork(t *testing.T) {
	replicas := func(work float64) int {
		demand := map[string]modelplan.Demand{"m0": {Rate: 10, WorthRate: 10, WorkRate: work, LastUsed: now}}
		servers := []modelplan.Server{newServer("s0", []string{"m0"})}
		for i := range 6 {
			servers = append(servers, newServer(fmt.Sprint("s", i+1), []string{fmt.Sprint("m", i+1)}, "m0"))
		}
		for i := range servers {
			servers[i].MemoryMB = modelMB + 1
		}
		n := 1
		for range 6 {
			for _, a := range modelplan.Plan(now, state(servers, demand)) {
				if a.EvictedFor == "m0" {
					n++
					servers[a.Server[1]-'0'].Models = []modelplan.Resident{{Model: "m0"}}
				}
			}
		}
		return n
	}
	assert.Equal(t, 2, replicas(0.01), "for the loss of one")
	assert.Equal(t, 2, replicas(0.7))
	assert.Equal(t, 4, replicas(1.5))
}

// A model that needs more memory than one of the others occupies is loaded after several of
// these are gone. After a restart, two hot models weren't served for 15 s because no server
// could make room by a single eviction.
func TestSeveralEvictionsMakeRoom(t *testing.T) {
	st := state([]modelplan.Server{newServer("a", []string{"m0", "m1", "m2"}, "m9")}, map[string]modelplan.Demand{"m9": {Waiting: 5}})
	large := st.Models["m9"]
	large.WeightsMB = 2 * modelMB
	st.Models["m9"] = large
	for range 2 {
		plan := modelplan.Plan(now, st)
		require.Len(t, plan, 1)
		assert.Equal(t, modelplan.UnloadModel, plan[0].Kind)
		assert.Equal(t, "m9", plan[0].EvictedFor)
		s := &st.Servers[0]
		s.Models = slices.DeleteFunc(s.Models, func(r modelplan.Resident) bool { return r.Model == plan[0].Model })
	}
	plan := modelplan.Plan(now, st)
	require.Len(t, plan, 1)
	assert.Equal(t, modelplan.LoadModel, plan[0].Kind)
	assert.Equal(t, "m9", plan[0].Model)
}

// The unload of a model waits for the requests that the server runs for it, which takes seconds
// for long streams. A model that isn't in use makes room at once.
func TestModelThatRunsRequestsIsntEvicted(t *testing.T) {
	servers := []modelplan.Server{newServer("a", []string{"m0", "m1", "m2"}, "m9")}
	demand := map[string]modelplan.Demand{
		"m0": {WorthRate: 0.1, RunTime: 3 * time.Second}, "m1": {WorthRate: 0.3, RunTime: 3 * time.Second},
		"m2": {WorthRate: 0.1, RunTime: 3 * time.Second}, "m9": {Waiting: 5},
	}
	servers[0].Models[0].Running, servers[0].Models[2].Running = 1, 4
	plan := modelplan.Plan(now, state(servers, demand))
	require.Len(t, plan, 1)
	assert.Equal(t, modelplan.Action{Server: "a", Kind: modelplan.UnloadModel, Model: "m1", EvictedFor: "m9"}, plan[0])
}

// limitedServer returns a server that states a rate limit.
func limitedServer(id string, perSecond float64, held ...string) modelplan.Server {
	s := newServer(id, held)
	s.Limited, s.RateLimit = true, perSecond
	return s
}

// Requests wait for a model whose only server states a rate limit. It is loaded on another
// server, once.
func TestModelOfLimitedServerIsLoadedElsewhere(t *testing.T) {
	servers := []modelplan.Server{limitedServer("a", 3, "m0", "m1", "m2"), newServer("b", []string{"m3", "m4", "m5"}, "m0")}
	demand := map[string]modelplan.Demand{
		"m0": {Rate: 1, WorthRate: 1, Waiting: 2}, "m1": {Rate: 1, WorthRate: 1}, "m2": {Rate: 0.1, WorthRate: 0.1},
		"m3": {Rate: 1, WorthRate: 1}, "m4": {Rate: 1, WorthRate: 1}, "m5": {Rate: 0.1, WorthRate: 0.1},
	}
	actions := modelplan.Plan(now, state(servers, demand))
	require.Len(t, actions, 1)
	assert.Equal(t, modelplan.Action{Server: "b", Kind: modelplan.UnloadModel, Model: "m5", EvictedFor: "m0"}, actions[0])

	servers[1].Models, servers[1].Loading = servers[1].Models[:2], "m0"
	assert.Empty(t, modelplan.Plan(now, state(servers, demand)), "it is being loaded")
	servers[0].Limited = false
	servers[1].Models, servers[1].Loading = append(servers[1].Models, modelplan.Resident{Model: "m5"}), ""
	assert.Empty(t, modelplan.Plan(now, state(servers, demand)), "without a limit the requests wait for a slot")
}

// A server that states a rate limit gets a model only if the requests for it fit.
func TestLimitedServerGetsOnlyModelsThatFitItsRate(t *testing.T) {
	for rate, want := range map[float64]string{0.5: "a", 2: "b"} {
		servers := []modelplan.Server{limitedServer("a", 3, "m1"), newServer("b", []string{"m3", "m4", "m5"})}
		for i := range servers {
			servers[i].OnDisk["m0"] = true
		}
		actions := modelplan.Plan(now, state(servers, map[string]modelplan.Demand{
			"m0": {Rate: rate, WorthRate: rate, Waiting: 2}, "m1": {Rate: 2, WorthRate: 2},
		}))
		require.NotEmpty(t, actions)
		assert.Equal(t, want, actions[0].Server, "%v requests/s", rate)
	}
	all := []modelplan.Server{limitedServer("a", 0, "m1"), limitedServer("b", 0, "m2")}
	all[0].OnDisk["m0"] = true
	actions := modelplan.Plan(now, state(all, map[string]modelplan.Demand{"m0": {Rate: 2, WorthRate: 2, Waiting: 2}}))
	assert.Len(t, actions, 1, "all servers state limits")
}

// A replica on a server that states a rate limit doesn't make that on another server a surplus.
func TestReplicaBesideALimitedServerIsKept(t *testing.T) {
	servers := []modelplan.Server{limitedServer("a", 3, "m0"), newServer("b", []string{"m0", "m1", "m2"}, "m9")}
	servers[0].Busy = true
	actions := modelplan.Plan(now, state(servers, map[string]modelplan.Demand{
		"m0": {Rate: 1, WorthRate: 1}, "m1": {Rate: 0.5, WorthRate: 0.5}, "m2": {Rate: 0.7, WorthRate: 0.7}, "m9": {Waiting: 1},
	}))
	require.Len(t, actions, 1)
	assert.Equal(t, "m1", actions[0].Model)
}

// The adapter of a model that was loaded beside a server with a rate limit follows the model.
func TestAdapterOfLimitedServerIsLoadedElsewhere(t *testing.T) {
	servers := []modelplan.Server{limitedServer("a", 3, "m0"), newServer("b", []string{"m0"})}
	servers[0].Models[0].Adapters = []modelplan.Adapter{{Name: "x"}}
	waiting := map[string]modelplan.Demand{"m0": {Rate: 1, Waiting: 1, Adapters: map[string]float64{"x": 1}}}
	actions := modelplan.Plan(now, state(servers, waiting))
	assert.Equal(t, []modelplan.Action{{Server: "b", Kind: modelplan.LoadAdapter, Model: "m0", Adapter: "x"}}, actions)
	assert.Empty(t, modelplan.Plan(now, state(servers[:1], waiting)), "no other server holds the model")
}
