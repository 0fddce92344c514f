package decider

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/placement"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/targets"
)

// WakeRequest is a request for a replica of a model in this zone. MaxWait is
// the longest time that any of the waiting requests can still wait, and Waiting
// is their number at the instance From.
type WakeRequest struct {
	Model   port.ModelID
	Class   string
	MaxWait time.Duration
	Waiting int
	From    port.InstanceID
}

// WakeReply is the reply to a WakeRequest. ReadyIn is the estimated time until
// the replica is ready.
type WakeReply struct {
	Accepted bool
	ReadyIn  time.Duration
	// Refusal is a stable identifier of the reason and Detail a sentence for
	// people.
	Refusal, Detail string
	RetryAfter      time.Duration
}

// The refusals that the decider itself makes. Package placement defines the
// others.
const (
	RefusalNotHolder    = "not_holder"
	RefusalNotReady     = "holder_not_ready"
	RefusalUnknownModel = "unknown_model"
	RefusalNoTargets    = "no_configuration"
	RefusalUndecidable  = "undecidable"
	RefusalStopping     = "stopping"
)

const (
	// holderRetryDelay is the delay after which a caller can retry if this
	// instance can't decide on the model now.
	holderRetryDelay = 500 * time.Millisecond
	// wakeExpiry is how long a wake is retained after its last request.
	wakeExpiry = 30 * time.Second
	// waiterTimeout is the time without a wake request after which an instance
	// counts as having no waiting requests. It is longer than the interval
	// between two wake requests of an instance.
	waiterTimeout = 12 * time.Second
	// refusalPeriod is how long a refused proposal isn't repeated.
	refusalPeriod = 500 * time.Millisecond
)

// waiterCount is the number of requests that wait at one instance, as of its
// last wake request.
type waiterCount struct {
	count       int
	lastRequest time.Time
}

// wake is the requested cold start of one model.
type wake struct {
	class         string
	deadline      time.Time
	lastRequest   time.Time
	waiting       map[port.InstanceID]waiterCount
	refusedReason string
	refusedUntil  time.Time
	retryAfter    time.Duration
	readyIn       time.Duration
	refusal       *placement.Refusal
	// counted is set once the wake has been counted for its class.
	counted bool
}

func (w *wake) refuse(why string, now time.Time, retryAfter time.Duration) {
	w.refusedReason = why
	w.retryAfter = max(retryAfter, refusalPeriod)
	w.refusedUntil = now.Add(refusalPeriod)
}

// total returns the number of waiting requests at the instances that still send
// wake requests.
func (w *wake) total() int {
	sum := 0
	for _, at := range w.waiting {
		if w.lastRequest.Sub(at.lastRequest) < waiterTimeout {
			sum += at.count
		}
	}
	return sum
}

// Wake requests a replica from this instance as the holder of the lease.
// Refusals are part of the reply; an error means that ctx ended first.
func (d *Decider) Wake(ctx context.Context, r WakeRequest) (WakeReply, error) {
	reply := make(chan WakeReply, 1)
	if !d.enqueue(ctx, func(ctx context.Context) { reply <- d.wake(ctx, r) }) {
		return WakeReply{Refusal: RefusalStopping, Detail: "the instance is stopping", RetryAfter: holderRetryDelay}, nil
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-d.done:
		return WakeReply{Refusal: RefusalStopping, Detail: "the instance is stopping", RetryAfter: holderRetryDelay}, nil
	case <-ctx.Done():
		return WakeReply{}, context.Cause(ctx)
	}
}

func (d *Decider) wake(ctx context.Context, r WakeRequest) WakeReply {
	switch {
	case !d.machine.IsHolder():
		return WakeReply{Refusal: RefusalNotHolder, Detail: "another instance decides", RetryAfter: holderRetryDelay}
	case !d.machine.Ready():
		return WakeReply{Refusal: RefusalNotReady, Detail: "the deciding instance has just changed", RetryAfter: holderRetryDelay}
	case d.storeQueue == nil:
		return WakeReply{Refusal: RefusalNoTargets, Detail: "no configuration has been accepted", RetryAfter: holderRetryDelay}
	}
	if _, known := d.deps.Config.Model(r.Model); !known {
		return WakeReply{Refusal: RefusalUnknownModel, Detail: "the weight store has no such model", RetryAfter: holderRetryDelay}
	}
	now := d.now()
	w, ok := d.wakes[r.Model]
	if !ok {
		w = &wake{class: r.Class, waiting: map[port.InstanceID]waiterCount{}}
		d.wakes[r.Model] = w
	}
	d.tracker.RecordArrival(now, r.Model)
	w.lastRequest = now
	w.waiting[r.From] = waiterCount{count: r.Waiting, lastRequest: now}
	if until := now.Add(r.MaxWait); until.After(w.deadline) {
		w.deadline = until
	}
	if d.moreUrgent(r.Class, w.class) {
		w.class = r.Class
	}
	d.plan(ctx, r.Model)
	d.startStoreLoads(ctx)
	return d.reply(now, w)
}

func (d *Decider) moreUrgent(a, b string) bool {
	t := d.deps.Config.Targets()
	classA, okA := t.Class(a)
	classB, okB := t.Class(b)
	return okA && (!okB || classA.Priority > classB.Priority)
}

func (d *Decider) reply(now time.Time, w *wake) WakeReply {
	switch {
	case w.refusedReason != "" && now.Before(w.refusedUntil):
		return WakeReply{Refusal: RefusalUndecidable, Detail: w.refusedReason, RetryAfter: w.retryAfter}
	case w.refusal != nil:
		return WakeReply{Refusal: string(w.refusal.Reason), Detail: w.refusal.Detail, RetryAfter: w.refusal.RetryAfter}
	default:
		return WakeReply{Accepted: true, ReadyIn: w.readyIn}
	}
}

// plan determines the next step towards a replica of a requested model.
func (d *Decider) plan(ctx context.Context, model port.ModelID) {
	w := d.wakes[model]
	now := d.now()
	if w == nil || !d.deciding() || now.Before(w.refusedUntil) {
		return
	}
	request, ok := d.placementRequest(model, w)
	if !ok {
		return
	}
	view := d.placementView(now)
	plan, refusal := placement.Place(now, &request, view)
	w.readyIn, w.refusal, w.refusedReason = plan.ReadyIn, refusal, ""
	d.countWake(now, w, &request, &plan)
	if refusal != nil {
		d.recordReason(model, "refused: "+refusal.Error())
	}
	switch plan.Action {
	case placement.ActionEvict:
		for _, allocation := range plan.Evict {
			d.unload(ctx, plan.Server, allocation.Model, "makes room for "+string(model))
		}
	case placement.ActionLoad:
		if plan.Store {
			d.storeQueue.Add(plan.StoreLoad(&request))
			return
		}
		d.load(ctx, &plan)
	}
}

func (d *Decider) placementRequest(model port.ModelID, w *wake) (placement.Request, bool) {
	info, known := d.deps.Config.Model(model)
	t := d.deps.Config.Targets()
	if !known || t == nil {
		return placement.Request{}, false
	}
	r := placement.Request{Model: info, Waiting: w.total(), Deadline: w.deadline}
	if info.Base != "" {
		if r.Base, known = d.deps.Config.Model(info.Base); !known {
			return placement.Request{}, false
		}
	}
	if r.Waiting == 0 {
		r.Worth = d.tracker.Worth(d.now(), model, d.coldStart(model))
	}
	r.Class, _ = t.Class(w.class)
	r.ServiceTime = d.lastUses[model].service
	for _, id := range d.ledger.Servers() {
		if allocation, found := d.ledger.Allocation(id, model); found && allocation.Loaded {
			r.Slots = max(r.Slots, d.deps.Observer.Slots(id))
		}
	}
	return r, true
}

// countWake counts a wake of a cold model once for its class.
func (d *Decider) countWake(now time.Time, w *wake, r *placement.Request, plan *placement.Plan) {
	if w.counted || r.Class == nil || r.Waiting == 0 || w.refusal == nil && plan.Action != placement.ActionLoad {
		return
	}
	w.counted = true
	d.shortfalls.Record(now, placement.Wake{Class: r.Class, Plan: *plan, Refusal: w.refusal})
}

// startStoreLoads starts the queued weight store loads that can start now. Each
// is placed again, because the zone may have changed while the load was queued.
func (d *Decider) startStoreLoads(ctx context.Context) {
	for d.deciding() {
		now := d.now()
		next, _, ok := d.storeQueue.Next(now)
		if !ok {
			return
		}
		w := d.wakes[next.Model]
		if w == nil {
			continue
		}
		request, ok := d.placementRequest(next.Model, w)
		if !ok {
			continue
		}
		plan, refusal := placement.Place(now, &request, d.placementView(now))
		w.readyIn, w.refusal = plan.ReadyIn, refusal
		switch plan.Action {
		case placement.ActionLoad:
			d.load(ctx, &plan)
		case placement.ActionEvict:
			d.plan(ctx, next.Model)
		}
	}
}

// load proposes the first load of a plan. An adapter is proposed once its base
// model is loaded.
func (d *Decider) load(ctx context.Context, plan *placement.Plan) {
	first := plan.Loads[0]
	intent := record.Intent{
		ID: uuid.NewString(), Zone: d.cfg.Self.Zone, Kind: port.OrderLoad, Model: first.Model.ID, Base: first.Model.Base,
		Server: plan.Server, Bytes: first.Model.Bytes, Reason: plan.Reason, Incarnation: plan.Incarnation,
	}
	if first.Model.Base != "" && !d.baseLoaded(plan.Server, first.Model.Base) {
		return
	}
	if err := d.ledger.CanLoad(plan.Server, first.Model.ID, first.Model.Bytes); err != nil {
		d.recordReason(first.Model.ID, "not proposed: "+err.Error())
		return
	}
	if first.Tier == placement.TierRemote {
		d.storeQueue.Start(d.now(), d.storeLoad(intent))
	}
	d.propose(ctx, intent, first.Tier)
}

func (d *Decider) baseLoaded(server port.ServerID, base port.ModelID) bool {
	allocation, found := d.ledger.Allocation(server, base)
	return found && allocation.Loaded && allocation.Unload == ""
}

// unload proposes to unload a replica that is loaded and has no unload decided
// yet.
func (d *Decider) unload(ctx context.Context, server port.ServerID, model port.ModelID, reason string) {
	allocation, found := d.ledger.Allocation(server, model)
	if !found || allocation.Unload != "" || !allocation.Loaded || !d.machine.ReadyOn(server) {
		return
	}
	d.propose(ctx, record.Intent{
		ID: uuid.NewString(), Zone: d.cfg.Self.Zone, Kind: port.OrderUnload, Model: model, Server: server, Bytes: allocation.Bytes,
		Reason: reason, Incarnation: d.incarnation(server),
	}, placement.TierDisk)
}

func (d *Decider) incarnation(id port.ServerID) string {
	server, _ := d.deps.Observer.Server(id)
	return server.Report.Incarnation
}

// classOf returns the class whose idle budget applies to a model.
func (d *Decider) classOf(model port.ModelID) *targets.Class {
	return d.deps.Config.Targets().Classify(targets.Request{Model: string(model)})
}
