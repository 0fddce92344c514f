package modelplan

import (
	"sort"
	"time"
)

// selectVictims returns the models whose eviction costs least and frees enough memory, with
// the sum of their eviction losses. There are none if the server has enough free memory; false
// means that it can't have enough. A model can need more memory than any other model of the
// server occupies, so that one eviction isn't always enough.
func (p *planner) selectVictims(s *Server, model string) ([]*Resident, float64, bool) {
	needs := p.state.Models[model].WeightsMB - p.freeMemory(s)
	if needs <= 0 {
		return nil, 0, true
	}
	type candidate struct {
		resident *Resident
		loss     float64
	}
	var candidates []candidate
	for i := range s.Models {
		if resident := &s.Models[i]; p.now.Sub(resident.Since) >= minResidency {
			candidates = append(candidates, candidate{resident, p.evictionLoss(s, resident)})
		}
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].loss < candidates[j].loss })
	var several []*Resident
	freed, lossOfSeveral := 0.0, 0.0
	for _, c := range candidates {
		if freed < needs {
			several, freed, lossOfSeveral = append(several, c.resident), freed+p.footprint(c.resident), lossOfSeveral+c.loss
		}
	}
	for _, c := range candidates {
		if p.footprint(c.resident) >= needs && (c.loss <= lossOfSeveral || freed < needs) {
			return []*Resident{c.resident}, c.loss, true
		}
	}
	return several, lossOfSeveral, freed >= needs
}

// evictionLoss returns the cost, in worth, of evicting a model from a server: its next
// requests wait for the model to be reloaded, unless another replica serves them.
func (p *planner) evictionLoss(s *Server, resident *Resident) float64 {
	d := p.state.Demand[resident.Model]
	reload, _ := p.loadDuration(s, resident.Model)
	unload := p.unloadDuration(resident).Seconds()
	away := unload + reload.Seconds()
	loss := d.WorthRate * restoreLossPerSecond * away * (1 + away)
	replicas := p.replicas(resident.Model)
	if s.Limited {
		replicas++
	}
	switch retained := p.retainedReplicas(resident.Model, d); {
	case replicas > retained:
		loss *= surplusLossFactor
	case retained > 1:
		loss += d.WorthRate * overloadSeconds
	case replicas > 1:
		loss *= surplusLossFactor
	}
	return loss + unload*blockedLossPerSecond + d.Waiting
}

// copyServes reports whether it is worth waiting for a server that has a copy of the model's
// weights. It isn't if each such server is the only one for more models that requests wait for
// than fit into its memory: they would take turns there.
//
// The load pattern it answers: most servers have been replaced, and the only copies lie on the few
// that are left, while the new ones are empty.
func (p *planner) copyServes(model string) bool {
	for i := range p.state.Servers {
		if s := &p.state.Servers[i]; s.hasCopy(model) && s.resident(model) == nil && !p.isCrowded(s) {
			return true
		}
	}
	return false
}

// isCrowded reports whether more models are waited for that only this server has copies of than
// fit into its memory.
func (p *planner) isCrowded(s *Server) bool {
	if crowded, known := p.crowded[s.ID]; known {
		return crowded
	}
	needed := 0.0
	for name, d := range p.state.Demand {
		if d.Waiting > 0 && s.hasCopy(name) && p.isOnlySource(s, name) {
			needed += p.state.Models[name].WeightsMB
		}
	}
	p.crowded[s.ID] = needed > s.MemoryMB
	return p.crowded[s.ID]
}

// isOnlySource reports whether no other server holds the model, loads it or has a copy of it.
func (p *planner) isOnlySource(s *Server, model string) bool {
	for i := range p.state.Servers {
		other := &p.state.Servers[i]
		if other.ID != s.ID && (other.hasCopy(model) || other.Loading == model || other.resident(model) != nil) {
			return false
		}
	}
	return true
}

// copyExists reports whether a server that doesn't hold the model has a copy of its weights in
// host memory or on disk.
func (p *planner) copyExists(model string) bool {
	for i := range p.state.Servers {
		if s := &p.state.Servers[i]; s.resident(model) == nil && s.hasCopy(model) {
			return true
		}
	}
	return false
}

// loadDuration returns how long the server takes to load the model, and whether the weights
// come from the weight store.
func (p *planner) loadDuration(s *Server, model string) (time.Duration, bool) {
	m := p.state.Models[model]
	switch {
	case s.InMemory[model]:
		return m.HostLoad, false
	case s.OnDisk[model]:
		return m.DiskLoad, false
	default:
		return m.StoreLoad, true
	}
}

func (p *planner) freeMemory(s *Server) float64 { return s.FreeMB(p.state.Models) }

func (p *planner) footprint(resident *Resident) float64 { return resident.footprintMB(p.state.Models) }
