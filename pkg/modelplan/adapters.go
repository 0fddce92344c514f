package modelplan

import (
	"cmp"
	"slices"
	"time"
)

// minAdapterAbsence is how long an adapter that was unloaded for another stays away from the
// server while that takes unloading a third. Requests for more adapters than a server has slots
// for would otherwise have it load and unload with each plan. It is the time within which few
// loads may follow the adapter's unload (docs/incidents/adapter-turns.md).
const minAdapterAbsence = time.Second

// AdapterID identifies an adapter of a model.
type AdapterID struct{ Model, Adapter string }

// String returns the identity as MODEL/ADAPTER.
func (id AdapterID) String() string { return id.Model + "/" + id.Adapter }

// placeAdapters loads the adapters that requests wait for on servers that hold their model.
func (p *planner) placeAdapters() {
	var waits []AdapterID
	for model, d := range p.state.Demand {
		if _, known := p.state.Models[model]; !known {
			continue
		}
		for name := range d.Adapters {
			waits = append(waits, AdapterID{model, name})
		}
	}
	p.sortByTurn(waits, func(model string) []*Server { return p.byModel[model] })
	for _, wait := range waits {
		p.placeAdapter(wait.Model, wait.Adapter, p.byModel[wait.Model])
	}
}

// sortByTurn sorts adapters by when they were last unloaded from one of the servers, so that the
// one that was never there or has been away longest comes first. The order doesn't depend on how
// many requests wait: an adapter that a slot was freed for is still first in the next plan.
func (p *planner) sortByTurn(waits []AdapterID, holders func(model string) []*Server) {
	unloaded := make(map[AdapterID]time.Time, len(waits))
	for _, wait := range waits {
		for _, s := range holders(wait.Model) {
			if at := s.Unloaded[wait]; at.After(unloaded[wait]) {
				unloaded[wait] = at
			}
		}
	}
	slices.SortFunc(waits, func(a, b AdapterID) int {
		return cmp.Or(unloaded[a].Compare(unloaded[b]), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
}

// placeAdapter loads an adapter on that of the given servers that holds its model and has the
// fewest adapters. Servers that state a rate limit count only if all that hold the model do. If
// the server lacks a free slot or memory, the least recently used adapter that has served the
// requests it was loaded for is unloaded first.
func (p *planner) placeAdapter(model, name string, servers []*Server) {
	var best *Server
	for _, s := range servers {
		resident := s.resident(model)
		if resident == nil || s.Limited && p.replicas(model) > 0 {
			continue
		}
		if resident.hasAdapter(name) {
			return
		}
		if !p.ordered[s.ID] && p.canPlaceAdapter(s, model, name) && (best == nil || s.adapterCount() < best.adapterCount()) {
			best = s
		}
	}
	switch {
	case best == nil:
	case p.hasRoomForAdapter(best, model):
		p.addAction(Action{Server: best.ID, Kind: LoadAdapter, Model: model, Adapter: name})
	default:
		victim, _ := best.leastRecentlyUsedAdapter(p.now)
		p.addAction(Action{Server: best.ID, Kind: UnloadAdapter, Model: victim.Model, Adapter: victim.Adapter, EvictedFor: AdapterID{model, name}.String()})
	}
}

func (p *planner) hasRoomForAdapter(s *Server, model string) bool {
	return s.adapterCount() < p.state.AdapterSlots && p.freeMemory(s) >= p.state.Models[model].AdapterMB
}

// canPlaceAdapter reports whether the server has room for the adapter, or may unload another for
// it.
func (p *planner) canPlaceAdapter(s *Server, model, name string) bool {
	if p.hasRoomForAdapter(s, model) {
		return true
	}
	_, found := s.leastRecentlyUsedAdapter(p.now)
	return found && p.now.Sub(s.Unloaded[AdapterID{model, name}]) >= minAdapterAbsence
}

// leastRecentlyUsedAdapter returns the least recently used of the adapters that the server has
// held for minResidency. It returns false if there is none.
func (s *Server) leastRecentlyUsedAdapter(now time.Time) (AdapterID, bool) {
	var found AdapterID
	var oldest time.Time
	for i := range s.Models {
		for _, a := range s.Models[i].Adapters {
			if now.Sub(a.Since) >= minResidency && (found.Adapter == "" || a.LastUsed.Before(oldest)) {
				found, oldest = AdapterID{s.Models[i].Model, a.Name}, a.LastUsed
			}
		}
	}
	return found, found.Adapter != ""
}
