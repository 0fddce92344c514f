package placement

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/ledger"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// candidate is a server on which the model could be loaded.
type candidate struct {
	server  *Server
	loads   []Load
	evict   []ledger.Allocation
	pending bool // memory must become free first
	readyIn time.Duration
	startIn time.Duration
	unload  time.Duration
	store   bool
	// cost is the expected waiting time in seconds of the current callers and of those of the
	// unloaded models.
	cost float64
	// evictedWorth is the part of cost that is due to the unloaded models.
	evictedWorth float64
}

func (c *candidate) lessThan(other *candidate) bool {
	if c.cost != other.cost {
		return c.cost < other.cost
	}
	return c.server.ID < other.server.ID
}

// evaluation holds the inputs and intermediate results that all candidates share.
type evaluation struct {
	now     time.Time
	request *Request
	view    *View
	// baseAtLimit is true if no replica of the adapter's base model can be added.
	baseAtLimit bool
	// slowdown and startIn are computed on first use.
	slowdown float64
	startIn  time.Duration
}

func newEvaluation(now time.Time, r *Request, v *View) *evaluation {
	s := &evaluation{now: now, request: r, view: v}
	if base := r.Model.Base; base != "" {
		s.baseAtLimit = v.Ledger.Replicas(base) >= v.replicaShare(base)
	}
	return s
}

// storeEstimate returns when a load could start at the weight store, and by what factor loads
// are currently slower than estimated.
func (s *evaluation) storeEstimate(estimate time.Duration) (startIn time.Duration, slowdown float64) {
	if s.slowdown == 0 {
		s.slowdown = s.view.Store.Slowdown(s.now)
		s.startIn = s.view.Store.StartIn(s.now, s.request.storeLoad(estimate))
	}
	return s.startIn, s.slowdown
}

func (r *Request) storeLoad(estimate time.Duration) StoreLoad {
	l := StoreLoad{
		ID: string(r.Model.ID), Model: r.Model.ID, Estimate: estimate, Deadline: r.Deadline, Waiting: r.Waiting,
	}
	if r.Class != nil {
		l.Priority = r.Class.Priority
	}
	return l
}

// StoreLoad returns the StoreQueue entry for the plan.
func (p *Plan) StoreLoad(r *Request) StoreLoad { return r.storeLoad(p.ReadyIn - p.StartIn) }

// candidate evaluates one server; false if the model can't be loaded there. The reason is
// counted in t.
func (v *View) candidate(server *Server, s *evaluation, t *rejections) (candidate, bool) {
	r := s.request
	if server.Kind != port.KindEngine || server.Service != r.Model.Service {
		return candidate{}, false
	}
	t.seen++
	if server.Report == nil {
		t.unreported++
		return candidate{}, false
	}
	if server.Leaving || server.Report.Leaving {
		t.leaving++
		return candidate{}, false
	}
	c := candidate{server: server}
	if !v.addLoads(&c, s, t) {
		return candidate{}, false
	}
	if lacking := v.planEviction(&c, r); lacking > 0 {
		t.addFull(lacking)
		return candidate{}, false
	}
	v.estimate(&c, s)
	if r.Waiting == 0 && c.evictedWorth > r.Worth/2 {
		t.addFull(0)
		return candidate{}, false
	}
	return c, true
}

// addLoads sets the models to load on the server. It returns false if the server already holds
// the model or has an intent to load it, if the base model is being unloaded there, or if the
// base model would need a replica beyond its limit.
func (v *View) addLoads(c *candidate, s *evaluation, t *rejections) bool {
	r := s.request
	if _, found := v.Ledger.Allocation(c.server.ID, r.Model.ID); found {
		t.occupied++
		return false
	}
	if r.Model.Base != "" {
		base, found := v.Ledger.Allocation(c.server.ID, r.Model.Base)
		if (found && base.Unload != "") || (!found && s.baseAtLimit) {
			t.noBase++
			return false
		}
		if !found {
			c.loads = append(c.loads, Load{Model: r.Base, Tier: TierOf(c.server.Report, r.Base.ID)})
		}
	}
	c.loads = append(c.loads, Load{Model: r.Model, Tier: TierOf(c.server.Report, r.Model.ID)})
	return true
}

// TierOf returns the fastest tier from which the server can read the model.
func TierOf(r *port.Report, model port.ModelID) Tier {
	switch {
	case slices.Contains(r.CachedInMemory, model):
		return TierMemory
	case slices.Contains(r.CachedOnDisk, model):
		return TierDisk
	default:
		return TierRemote
	}
}

// estimate computes when the model would be ready on the candidate, and the cost.
func (v *View) estimate(c *candidate, s *evaluation) {
	r, id := s.request, c.server.ID
	if c.pending {
		c.unload = v.Speeds.UnloadTime()
	}
	var transfer time.Duration
	for _, l := range c.loads {
		duration := v.Speeds.LoadTime(id, l.Tier, l.Model.Bytes)
		if l.Tier == TierRemote {
			startIn, slowdown := s.storeEstimate(duration)
			c.store = true
			c.startIn = startIn
			duration = time.Duration(float64(duration) * slowdown)
		}
		transfer += duration
	}
	if r.Model.Base != "" {
		if base, found := v.Ledger.Allocation(id, r.Model.Base); found && !base.Loaded {
			transfer += v.readyIn(s.now, c.server, base)
		}
	}
	c.startIn = max(c.startIn, c.unload)
	c.readyIn = c.startIn + transfer
	load := time.Duration(c.server.Report.InFlight)*inFlightCost + time.Duration(c.server.Report.Queued)*queuedCost
	c.cost = float64(max(1, r.Waiting)) * (c.readyIn + load).Seconds()
	for _, allocation := range c.evict {
		c.evictedWorth += v.worth(allocation.Model)
	}
	c.cost += c.evictedWorth
}

func (c *candidate) plan(r *Request, t *rejections, existing replicaState) Plan {
	p := Plan{
		Action: ActionLoad, Server: c.server.ID, Incarnation: c.server.Report.Incarnation,
		Evict: c.evict, Loads: c.loads, Store: c.store, ReadyIn: c.readyIn, StartIn: c.startIn,
	}
	switch {
	case len(c.evict) > 0:
		p.Action = ActionEvict
	case c.pending:
		p.Action = ActionWait
	}
	p.Reason = c.reason(r, t, existing)
	return p
}

func (c *candidate) reason(r *Request, t *rejections, existing replicaState) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d waiting for %s", r.Waiting, r.Model.ID)
	if existing.queueDrain > 0 {
		fmt.Fprintf(&b, ", %d replicas need %s for them", existing.count, short(existing.queueDrain))
	}
	fmt.Fprintf(&b, ": ready on %s in %s", c.server.ID, short(c.readyIn))
	for i, l := range c.loads {
		verb := " with "
		if i == 0 {
			verb = ", loading "
		}
		fmt.Fprintf(&b, "%s%s from %s", verb, l.Model.ID, l.Tier)
	}
	if c.store && c.startIn > c.unload {
		fmt.Fprintf(&b, ", %s of it waiting for the weight store", short(c.startIn))
	}
	for i, allocation := range c.evict {
		verb := ", "
		if i == 0 {
			verb = ", after unloading "
		}
		fmt.Fprintf(&b, "%s%s", verb, allocation.Model)
	}
	if c.pending && len(c.evict) == 0 {
		b.WriteString(", after an unload in progress")
	}
	fmt.Fprintf(&b, " (%s)", t)
	return b.String()
}
