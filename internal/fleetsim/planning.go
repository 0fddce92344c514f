package fleetsim

import (
	"slices"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/demand"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/modelplan"
)

// waitingModels returns the models that requests wait for, sorted by name.
func waitingModels(demands map[string]modelplan.Demand) []string {
	var models []string
	for model, d := range demands {
		if d.Waiting > 0 {
			models = append(models, model)
		}
	}
	slices.Sort(models)
	return models
}

// requestPlan schedules a plan for the earliest time that minPlanInterval allows.
func (s *simulation) requestPlan() {
	if s.planScheduled {
		return
	}
	s.planScheduled = true
	s.schedule(max(s.now, s.lastPlanAt+minPlanInterval), func() {
		if s.planScheduled {
			s.plan()
		}
	})
}

// plan runs the policy on the current state and applies its actions.
func (s *simulation) plan() {
	s.planScheduled, s.lastPlanAt = false, s.now
	now := wallClock(s.now)
	s.reportDemand(now)
	state := modelplan.State{
		Models: s.models, Demand: s.demand.Of(service, now), StoreLoads: s.remainingStoreLoads(),
	}
	lastUsed := func(model string) time.Time { return s.demand.LastUsed(demand.Key{Service: service, Model: model}) }
	for _, e := range s.engines {
		state.Servers = append(state.Servers, e.planServer(lastUsed))
	}
	for _, action := range s.policy.planModels(now, state) {
		s.apply(action)
	}
}

// reportDemand reports the requests that have arrived and those that wait for a model
// to the demand tracker.
func (s *simulation) reportDemand(now time.Time) {
	for _, r := range s.waitingForModel {
		key := demand.Key{Service: service, Model: r.model}
		t := s.tallies[key]
		t.Waiting++
		if r.class.nonRepeatable {
			t.WaitingNonRepeatable++
		}
		s.tallies[key] = t
	}
	s.demand.Report("edge", demand.Report{Tallies: s.tallies}, now)
	s.tallies = map[demand.Key]demand.Tally{}
}

// storeLimitWindow is the sliding window of the rate limit on loads from the weight
// store.
const storeLimitWindow = 5 * time.Second

// remainingStoreLoads returns how many loads from the weight store the rate limit
// allows now.
func (s *simulation) remainingStoreLoads() int {
	s.storeLoadStarts = slices.DeleteFunc(s.storeLoadStarts, func(at time.Duration) bool { return at < s.now-storeLimitWindow })
	return int(s.deployment.loadsPerSecond*storeLimitWindow.Seconds()) - len(s.storeLoadStarts)
}

// apply executes one action of a plan. An unload waits until the last request for the
// model has ended.
func (s *simulation) apply(a modelplan.Action) {
	i := slices.IndexFunc(s.engines, func(e *engine) bool { return e.id == a.Server })
	e := s.engines[i]
	switch a.Kind {
	case modelplan.LoadModel:
		e.busy, e.loading = true, a.Model
		s.startLoad(e)
	case modelplan.UnloadModel:
		e.busy, e.unloading, e.loading = true, a.Model, a.EvictedFor
		if !e.hasActiveRequests(a.Model) {
			s.unloadThenLoad(e)
		}
	}
}

// unloadThenLoad removes the model that is being unloaded, and starts the load that
// follows after unloadTime.
func (s *simulation) unloadThenLoad(e *engine) {
	delete(e.loadedAt, e.unloading)
	e.unloading = ""
	s.schedule(s.now+unloadTime, func() { s.startLoad(e) })
}

// startLoad starts the load of e.loading. Concurrent loads beyond storeLoadsAtFullSpeed
// share the bandwidth of the weight store.
func (s *simulation) startLoad(e *engine) {
	loadTime, fromStore := e.loadTime(e.loading)
	if fromStore {
		s.storeLoadStarts = append(s.storeLoadStarts, s.now)
		e.fromStore = true
		if n := s.activeStoreLoads(); n > storeLoadsAtFullSpeed {
			loadTime = loadTime * time.Duration(n) / storeLoadsAtFullSpeed
		}
	}
	s.statistics.recordLoad(fromStore)
	s.schedule(s.now+loadTime, func() { s.finishLoad(e) })
}

func (s *simulation) activeStoreLoads() int {
	n := 0
	for _, e := range s.engines {
		if e.fromStore {
			n++
		}
	}
	return n
}

// finishLoad makes the loaded model available and dispatches the requests that waited
// for it.
func (s *simulation) finishLoad(e *engine) {
	model := e.loading
	e.loadedAt[model] = s.now
	e.cacheCopies(model)
	e.busy, e.loading, e.fromStore = false, "", false
	var served []*request
	s.waitingForModel = slices.DeleteFunc(s.waitingForModel, func(r *request) bool {
		if r.model == model {
			served = append(served, r)
		}
		return r.model == model
	})
	for _, r := range served {
		r.waitingForModel = false
		s.dispatch(r)
	}
	s.assignSlots()
	s.requestPlan()
}
