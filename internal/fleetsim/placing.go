package fleetsim

import (
	"slices"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/demand"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/modelplan"
)

// sortedWaiting returns the models that requests wait for, by name.
func sortedWaiting(of map[string]modelplan.Demand) []string {
	var models []string
	for model, d := range of {
		if d.Waiting > 0 {
			models = append(models, model)
		}
	}
	slices.Sort(models)
	return models
}

// wantPlan plans as soon as the pause after the last plan is over.
func (s *simulation) wantPlan() {
	if s.planDue {
		return
	}
	s.planDue = true
	s.at(max(s.now, s.plannedAt+planPause), func() {
		if s.planDue {
			s.plan()
		}
	})
}

func (s *simulation) plan() {
	s.planDue, s.plannedAt = false, s.now
	now := clock(s.now)
	s.report(now)
	state := modelplan.State{
		Models: s.models, Demand: s.book.Of(service, now), StoreLoads: s.storeLoadsLeft(), Slots: slots,
	}
	lastUsed := func(model string) time.Time { return s.book.LastUsed(demand.Key{Service: service, Model: model}) }
	for _, e := range s.engines {
		state.Servers = append(state.Servers, e.plannable(lastUsed))
	}
	for _, action := range s.policy.plan(now, state) {
		s.act(action)
	}
}

// report tells the book what has arrived and what waits.
func (s *simulation) report(now time.Time) {
	for _, r := range s.waiting {
		key := demand.Key{Service: service, Model: r.model}
		t := s.arrived[key]
		t.Waiting++
		if r.kind.lasting {
			t.WaitingLasting++
		}
		s.arrived[key] = t
	}
	s.book.Report("edge", s.arrived, now)
	s.arrived = map[demand.Key]demand.Tally{}
}

// ceilingWindow is the window of the limit on loads from the weight store.
const ceilingWindow = 5 * time.Second

func (s *simulation) storeLoadsLeft() int {
	s.storeLoad = slices.DeleteFunc(s.storeLoad, func(at time.Duration) bool { return at < s.now-ceilingWindow })
	return int(s.deployment.loadsPerSecond*ceilingWindow.Seconds()) - len(s.storeLoad)
}

func (s *simulation) act(a modelplan.Action) {
	i := slices.IndexFunc(s.engines, func(e *engine) bool { return e.id == a.Server })
	e := s.engines[i]
	switch a.Kind {
	case modelplan.LoadModel:
		e.busy, e.loading = true, a.Model
		s.load(e)
	case modelplan.UnloadModel:
		e.busy, e.dropping, e.loading = true, a.Model, a.For
		if !e.runsModel(a.Model) {
			s.dropped(e)
		}
	}
}

// dropped goes on with the load that an unload has made room for.
func (s *simulation) dropped(e *engine) {
	delete(e.models, e.dropping)
	e.dropping = ""
	s.at(s.now+unloadTime, func() { s.load(e) })
}

func (s *simulation) load(e *engine) {
	takes, fromStore := e.loadTime(e.loading)
	if fromStore {
		s.storeLoad = append(s.storeLoad, s.now)
		e.fromStore = true
		if n := s.storeLoadsUnderWay(); n > storeLoadsOnce {
			takes = takes * time.Duration(n) / storeLoadsOnce
		}
	}
	s.measure.load(fromStore)
	s.at(s.now+takes, func() { s.loaded(e) })
}

func (s *simulation) storeLoadsUnderWay() int {
	n := 0
	for _, e := range s.engines {
		if e.fromStore {
			n++
		}
	}
	return n
}

func (s *simulation) loaded(e *engine) {
	model := e.loading
	e.models[model] = s.now
	e.keepCopies(model)
	e.busy, e.loading, e.fromStore = false, "", false
	var served []*request
	s.waiting = slices.DeleteFunc(s.waiting, func(r *request) bool {
		if r.model == model {
			served = append(served, r)
		}
		return r.model == model
	})
	for _, r := range served {
		r.waiting = false
		s.place(r)
	}
	s.giveOut()
	s.wantPlan()
}
