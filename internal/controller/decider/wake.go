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

// WakeRequest asks for a replica of a model in this zone.
type WakeRequest struct {
	Model    port.ModelID
	Class    string
	Patience time.Duration
	Waiting  int
	From     port.InstanceID
}

// WakeReply is the answer to a WakeRequest.
type WakeReply struct {
	Accepted bool
	ReadyIn  time.Duration
	// Refusal is a stable word, Detail a sentence.
	Refusal, Detail string
	RetryAfter      time.Duration
}

// The words of refusals that don't come from placement.
const (
	RefusalNotHolder    = "not_holder"
	RefusalNotReady     = "holder_not_ready"
	RefusalUnknownModel = "unknown_model"
	RefusalNoTargets    = "no_configuration"
	RefusalUndecidable  = "undecidable"
	RefusalStopping     = "stopping"
)

const (
	// notHolderRetry is when to ask again where no holder is known yet.
	notHolderRetry = 500 * time.Millisecond
	// wakeForget is how long after its last question a wake is kept.
	wakeForget = 30 * time.Second
	// stopsAsking is after how long without a question an instance has none
	// waiting any more. It is longer than the pause between two questions.
	stopsAsking = 12 * time.Second
	// refusalHolds is how long a refused proposal isn't made again.
	refusalHolds = 500 * time.Millisecond
)

// waiters is how many requests wait at one instance, and when it last said so.
type waiters struct {
	count int
	asked time.Time
}

// wake is one model that callers wait for.
type wake struct {
	class        string
	patience     time.Time
	asked        time.Time
	waiting      map[port.InstanceID]waiters
	refusedWhy   string
	refusedUntil time.Time
	retryAfter   time.Duration
	readyIn      time.Duration
	refusal      *placement.Refusal
	// accounted: the wake-up has been counted for its class.
	accounted bool
}

func (w *wake) refuse(why string, now time.Time, retryAfter time.Duration) {
	w.refusedWhy = why
	w.retryAfter = max(retryAfter, refusalHolds)
	w.refusedUntil = now.Add(refusalHolds)
}

// total is how many requests wait, at the instances that still ask.
func (w *wake) total() int {
	sum := 0
	for _, at := range w.waiting {
		if w.asked.Sub(at.asked) < stopsAsking {
			sum += at.count
		}
	}
	return sum
}

// Wake asks the holder, which this instance should be, for a replica.
func (d *Decider) Wake(ctx context.Context, r WakeRequest) (WakeReply, error) {
	reply := make(chan WakeReply, 1)
	if !d.post(ctx, func(ctx context.Context) { reply <- d.wake(ctx, r) }) {
		return WakeReply{Refusal: RefusalStopping, Detail: "the instance is stopping", RetryAfter: notHolderRetry}, nil
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-d.done:
		return WakeReply{Refusal: RefusalStopping, Detail: "the instance is stopping", RetryAfter: notHolderRetry}, nil
	case <-ctx.Done():
		return WakeReply{}, context.Cause(ctx)
	}
}

func (d *Decider) wake(ctx context.Context, r WakeRequest) WakeReply {
	switch {
	case !d.machine.IsHolder():
		return WakeReply{Refusal: RefusalNotHolder, Detail: "another instance decides", RetryAfter: notHolderRetry}
	case !d.machine.Ready():
		return WakeReply{Refusal: RefusalNotReady, Detail: "the deciding instance has just changed", RetryAfter: notHolderRetry}
	case d.store == nil:
		return WakeReply{Refusal: RefusalNoTargets, Detail: "no configuration has been accepted", RetryAfter: notHolderRetry}
	}
	if _, known := d.deps.Config.Model(r.Model); !known {
		return WakeReply{Refusal: RefusalUnknownModel, Detail: "the weight store has no such model", RetryAfter: notHolderRetry}
	}
	now := d.now()
	w, ok := d.wakes[r.Model]
	if !ok {
		w = &wake{class: r.Class, waiting: map[port.InstanceID]waiters{}}
		d.wakes[r.Model] = w
	}
	d.tracker.Arrived(now, r.Model)
	w.asked = now
	w.waiting[r.From] = waiters{count: r.Waiting, asked: now}
	if until := now.Add(r.Patience); until.After(w.patience) {
		w.patience = until
	}
	if d.moreUrgent(r.Class, w.class) {
		w.class = r.Class
	}
	d.plan(ctx, r.Model)
	d.pump(ctx)
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
	case w.refusedWhy != "" && now.Before(w.refusedUntil):
		return WakeReply{Refusal: RefusalUndecidable, Detail: w.refusedWhy, RetryAfter: w.retryAfter}
	case w.refusal != nil:
		return WakeReply{Refusal: string(w.refusal.Word), Detail: w.refusal.Detail, RetryAfter: w.refusal.RetryAfter}
	default:
		return WakeReply{Accepted: true, ReadyIn: w.readyIn}
	}
}

// plan decides anew what a waiting model needs.
func (d *Decider) plan(ctx context.Context, model port.ModelID) {
	w := d.wakes[model]
	now := d.now()
	if w == nil || !d.deciding() || now.Before(w.refusedUntil) {
		return
	}
	request, ok := d.request(model, w)
	if !ok {
		return
	}
	view := d.placementView(now)
	plan, refusal := placement.Place(now, &request, view)
	w.readyIn, w.refusal, w.refusedWhy = plan.ReadyIn, refusal, ""
	d.account(now, w, &request, &plan)
	if refusal != nil {
		d.note(model, "refused: "+refusal.Error())
	}
	switch plan.Action {
	case placement.ActionEvict:
		for _, hold := range plan.Evict {
			d.unload(ctx, plan.Server, hold.Model, "makes room for "+string(model))
		}
	case placement.ActionLoad:
		if plan.Store {
			d.store.Enter(plan.StoreLoad(&request))
			return
		}
		d.load(ctx, &plan)
	}
}

func (d *Decider) request(model port.ModelID, w *wake) (placement.Request, bool) {
	info, known := d.deps.Config.Model(model)
	t := d.deps.Config.Targets()
	if !known || t == nil {
		return placement.Request{}, false
	}
	r := placement.Request{Model: info, Waiting: w.total(), Patience: w.patience}
	if info.Base != "" {
		if r.Base, known = d.deps.Config.Model(info.Base); !known {
			return placement.Request{}, false
		}
	}
	if r.Waiting == 0 {
		r.Worth = d.tracker.Worth(d.now(), model, d.coldStart(model))
	}
	r.Class, _ = t.Class(w.class)
	r.ServiceTime = d.uses[model].service
	for _, id := range d.ledger.Servers() {
		if hold, found := d.ledger.Hold(id, model); found && hold.Loaded {
			r.Slots = max(r.Slots, d.deps.Observer.Slots(id))
		}
	}
	return r, true
}

// account counts a wake-up of a cold model once for its class.
func (d *Decider) account(now time.Time, w *wake, r *placement.Request, plan *placement.Plan) {
	if w.accounted || r.Class == nil || r.Waiting == 0 || w.refusal == nil && plan.Action != placement.ActionLoad {
		return
	}
	w.accounted = true
	d.missed.Record(now, placement.Wake{Class: r.Class, Plan: *plan, Refusal: w.refusal})
}

// pump starts the loads from the weight store that may start now. Each is placed
// anew, since the zone may have changed while it waited.
func (d *Decider) pump(ctx context.Context) {
	for d.deciding() {
		now := d.now()
		next, _, ok := d.store.Next(now)
		if !ok {
			return
		}
		w := d.wakes[next.Model]
		if w == nil {
			continue
		}
		request, ok := d.request(next.Model, w)
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

// load proposes the first load of a plan that isn't decided yet. An adapter
// follows once its base is ready.
func (d *Decider) load(ctx context.Context, plan *placement.Plan) {
	first := plan.Loads[0]
	intent := record.Intent{
		ID: uuid.NewString(), Zone: d.cfg.Self.Zone, Kind: port.OrderLoad, Model: first.Model.ID, Base: first.Model.Base,
		Server: plan.Server, Bytes: first.Model.Bytes, Reason: plan.Reason, Incarnation: plan.Incarnation,
	}
	if first.Model.Base != "" && !d.baseReady(plan.Server, first.Model.Base) {
		return
	}
	if err := d.ledger.CanLoad(plan.Server, first.Model.ID, first.Model.Bytes); err != nil {
		d.note(first.Model.ID, "not proposed: "+err.Error())
		return
	}
	if first.Tier == placement.TierRemote {
		d.store.Start(d.now(), d.runningLoad(intent))
	}
	d.propose(ctx, intent, first.Tier)
}

func (d *Decider) baseReady(server port.ServerID, base port.ModelID) bool {
	hold, found := d.ledger.Hold(server, base)
	return found && hold.Loaded && hold.Unload == ""
}

// unload proposes to unload a replica, unless that is decided already.
func (d *Decider) unload(ctx context.Context, server port.ServerID, model port.ModelID, reason string) {
	hold, found := d.ledger.Hold(server, model)
	if !found || hold.Unload != "" || !hold.Loaded || !d.machine.ReadyOn(server) {
		return
	}
	d.propose(ctx, record.Intent{
		ID: uuid.NewString(), Zone: d.cfg.Self.Zone, Kind: port.OrderUnload, Model: model, Server: server, Bytes: hold.Bytes,
		Reason: reason, Incarnation: d.incarnation(server),
	}, placement.TierDisk)
}

func (d *Decider) incarnation(id port.ServerID) string {
	server, _ := d.deps.Observer.Server(id)
	return server.Report.Incarnation
}

// classOf is the class under whose budget a model stands.
func (d *Decider) classOf(model port.ModelID) *targets.Class {
	return d.deps.Config.Targets().Classify(targets.Request{Model: string(model)})
}
