package modelplan

import (
	"math"
	"slices"
)

// urgency returns the worth of loading a model that no server holds: that of the waiting
// requests and of those expected during the load.
func (p *planner) urgency(model string, d Demand) float64 {
	if d.Waiting == 0 && !p.hot(model, d) {
		return 0
	}
	return d.Waiting + d.WorthRate*lookaheadSeconds
}

// hot reports whether many callers would wait if a model had no replica for the time of a load.
func (p *planner) hot(model string, d Demand) bool {
	return d.Rate*p.state.Models[model].DiskLoad.Seconds() >= hotArrivals
}

// addReplicas adds replicas of hot models that have fewer than their arrival rate needs.
func (p *planner) addReplicas() {
	for _, model := range p.modelsByWeight(func(_ string, d Demand) float64 { return d.Rate }) {
		d := p.state.Demand[model]
		wanted := p.wantedReplicas(model, d)
		if p.replicas(model) < wanted && len(p.byModel[model]) > 0 {
			p.place(model, d.WorthRate, false, nil)
		}
	}
}

// replicas returns how many servers hold or load a model. Those that state a rate limit don't
// count, because they can't replace the others.
func (p *planner) replicas(model string) int {
	n := 0
	for _, s := range p.byModel[model] {
		if !s.Limited {
			n++
		}
	}
	return n
}

// hasRateFor reports whether the requests for a model fit into the rate that a server accepts,
// beside those for the models that only it and other servers with limits hold. If all servers
// state limits, any of them does.
func (p *planner) hasRateFor(s *Server, model string) bool {
	if !s.Limited || !slices.ContainsFunc(p.state.Servers, func(other Server) bool { return !other.Limited }) {
		return true
	}
	rate := p.state.Demand[model].Rate
	for _, resident := range s.Models {
		if p.replicas(resident.Model) == 0 {
			rate += p.state.Demand[resident.Model].Rate
		}
	}
	return rate <= s.RateLimit
}

// wantedReplicas returns how many replicas a model needs for its work, and for the loss of one.
func (p *planner) wantedReplicas(model string, d Demand) int {
	least := 1
	if p.hot(model, d) {
		least = 2
	}
	return max(least, int(math.Ceil(d.WorkRate/maxUtilization)))
}

// retainedReplicas returns how many existing replicas a model retains. It is higher than
// wantedReplicas, so that a fluctuating rate doesn't move replicas back and forth.
func (p *planner) retainedReplicas(model string, d Demand) int {
	return p.wantedReplicas(model, Demand{Rate: retentionMargin * d.Rate, WorkRate: retentionMargin * d.WorkRate})
}

// anyHot reports whether one of the models has replicas to retain for its arrival rate.
func (p *planner) anyHot(residents []*Resident) bool {
	for _, r := range residents {
		if p.retainedReplicas(r.Model, p.state.Demand[r.Model]) > 1 {
			return true
		}
	}
	return false
}
