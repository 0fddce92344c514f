package modelplan

import "time"

// victim returns the model whose loss costs least and makes enough room; nil if
// there is room already.
func (p *planner) victim(s *Server, model string) (*Held, float64, bool) {
	needs := p.state.Models[model].WeightsMB - p.free(s)
	if needs <= 0 {
		return nil, 0, true
	}
	var best *Held
	bestLoss := 0.0
	for i := range s.Models {
		held := &s.Models[i]
		if p.size(held) < needs || p.now.Sub(held.Since) < settle {
			continue
		}
		if loss := p.loss(s, held); best == nil || loss < bestLoss {
			best, bestLoss = held, loss
		}
	}
	return best, bestLoss, best != nil
}

// loss is what dropping a model from a server costs, in worth: its next requests
// wait until it is back, unless another replica serves them.
func (p *planner) loss(s *Server, held *Held) float64 {
	d := p.state.Demand[held.Model]
	back, _ := p.loadTime(s, held.Model)
	loss := d.Value * restoreWorth * back.Seconds() * (1 + back.Seconds())
	switch replicas, kept := len(p.byModel[held.Model]), p.kept(d); {
	case replicas > kept:
		loss *= surplusLoss
	case kept > 1:
		loss += d.Value * overloadSeconds
	case replicas > 1:
		loss *= surplusLoss
	}
	if p.now.Sub(held.LastUsed) < inUse {
		loss += inUsePenalty
	}
	return loss + d.Waiting
}

// copyExists reports whether a server that doesn't hold the model has a copy.
func (p *planner) copyExists(model string) bool {
	for i := range p.state.Servers {
		if s := &p.state.Servers[i]; s.held(model) == nil && (s.InMemory[model] || s.OnDisk[model]) {
			return true
		}
	}
	return false
}

func (p *planner) loadTime(s *Server, model string) (time.Duration, bool) {
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

// free is the memory that a server has left, beside what it holds and loads.
func (p *planner) free(s *Server) float64 {
	free := s.MemoryMB
	for i := range s.Models {
		if s.Models[i].Model != s.Loading {
			free -= p.size(&s.Models[i])
		}
	}
	if s.Loading != "" {
		free -= p.state.Models[s.Loading].WeightsMB
	}
	return free
}

func (p *planner) size(held *Held) float64 {
	m := p.state.Models[held.Model]
	return m.WeightsMB + float64(len(held.Adapters))*m.AdapterMB
}
