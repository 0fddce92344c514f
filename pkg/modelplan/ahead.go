package modelplan

import "sort"

// prefetchModels loads models that no server holds into free memory, or in place of surplus
// replicas on servers that have a copy of the weights.
func (p *planner) prefetchModels() {
	absent := make([]string, 0, len(p.state.Models))
	for name := range p.state.Models {
		if len(p.byModel[name]) == 0 {
			absent = append(absent, name)
		}
	}
	sort.Slice(absent, func(i, j int) bool {
		vi, vj := p.state.Demand[absent[i]].WorthRate, p.state.Demand[absent[j]].WorthRate
		if vi != vj {
			return vi > vj
		}
		return absent[i] < absent[j]
	})
	for _, model := range absent {
		p.prefetch(model)
	}
}

// prefetch places a model ahead of demand. It evicts at most a surplus replica, and reads from
// the weight store only if no server has a copy.
func (p *planner) prefetch(model string) {
	var best *Server
	var bestVictim *Resident
	fromStore := !p.copyExists(model)
	if fromStore && (!p.canLoadFromStore(prefetchStoreLoads) || p.state.Demand[model].WorthRate == 0) {
		return
	}
	for i := range p.state.Servers {
		s := &p.state.Servers[i]
		if p.ordered[s.ID] || !fromStore && !s.InMemory[model] && !s.OnDisk[model] || !p.hasRateFor(s, model) {
			continue
		}
		if p.freeMemory(s) >= p.state.Models[model].WeightsMB {
			best, bestVictim = s, nil
			break
		}
		if victim := p.surplusReplica(s, model); victim != nil && best == nil {
			best, bestVictim = s, victim
		}
	}
	switch {
	case best == nil:
	case bestVictim != nil:
		p.addAction(Action{Server: best.ID, Kind: UnloadModel, Model: bestVictim.Model, EvictedFor: model})
		p.byModel[bestVictim.Model] = removeServer(p.byModel[bestVictim.Model], best)
	default:
		p.load(best, model)
	}
}

// surplusReplica returns a model on the server that has more replicas than its arrival rate
// needs and whose eviction frees enough memory for the given model; nil if there is none.
func (p *planner) surplusReplica(s *Server, model string) *Resident {
	for i := range s.Models {
		resident := &s.Models[i]
		d := p.state.Demand[resident.Model]
		spare := p.replicas(resident.Model) - p.retainedReplicas(resident.Model, d)
		if d.Rate == 0 {
			// A model without arrivals so far that several servers hold is likely to be
			// requested.
			spare = p.replicas(resident.Model) - max(2, len(p.state.Servers)/unrequestedServerDivisor)
		}
		if spare > 0 && p.now.Sub(resident.Since) > minResidency && p.freeMemory(s)+p.footprint(resident) >= p.state.Models[model].WeightsMB {
			return resident
		}
	}
	return nil
}
