package modelplan

import "math"

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
		if len(p.byModel[model]) < wanted && len(p.byModel[model]) > 0 {
			p.place(model, d.WorthRate, false)
		}
	}
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
