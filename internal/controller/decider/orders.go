package decider

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/lease"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/placement"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record/recordpb"
)

// order is one intent of the current lease, from its proposal to its outcome.
type order struct {
	intent record.Intent
	tier   placement.Tier
	sentAt time.Time
}

// propose submits one load or unload to the lease protocol.
func (d *Decider) propose(ctx context.Context, intent record.Intent, tier placement.Tier) {
	d.orders[intent.ID] = &order{intent: intent, tier: tier}
	d.recordReason(intent.Model, string(intent.Kind)+" on "+string(intent.Server)+": "+intent.Reason)
	metrics.GetOrRegisterCounter("decider.proposed_"+string(intent.Kind), d.deps.Metrics).Inc(1)
	d.handleEvent(ctx, lease.Propose{Intent: intent})
}

// dispatch sends an approved order to its backend server on a separate
// goroutine.
func (d *Decider) dispatch(ctx context.Context, e lease.Order) {
	if o, ok := d.orders[e.Intent.ID]; ok {
		o.sentAt = d.now()
		if e.Intent.Kind == port.OrderLoad {
			d.progress.Start(o.sentAt, e.Intent.Server, e.Intent.Model, d.loadSpeeds.LoadTime(e.Intent.Server, o.tier, e.Intent.Bytes))
		}
	}
	d.deps.Logger.Info().Str("order", e.Intent.ID).Str("kind", string(e.Intent.Kind)).
		Str("model", string(e.Intent.Model)).Str("server", string(e.Intent.Server)).
		Int64("epoch", int64(e.Fence)).Str("reason", e.Intent.Reason).Msg("order_sent")
	go func() {
		result, detail := d.applyOrder(ctx, e)
		d.postEvent(ctx, lease.OrderEnded{IntentID: e.Intent.ID, Result: result, Detail: detail})
	}()
}

func (d *Decider) applyOrder(ctx context.Context, e lease.Order) (lease.OrderResult, string) {
	server, known := d.deps.Observer.Server(e.Intent.Server)
	if !known {
		return lease.OrderNoEffect, "server isn't known"
	}
	if d.now().Sub(d.start) > e.NotAfter {
		return lease.OrderNoEffect, "too late to send"
	}
	call, cancel := context.WithTimeout(ctx, d.cfg.OrderLifetime)
	defer cancel()
	err := d.deps.Engine.Apply(call, server.Server, e.Intent.Order(e.Fence))
	switch {
	case err == nil:
		// Read the server before the outcome is posted, so that the request
		// path learns of the new state first.
		_, _ = d.deps.Observer.Read(ctx, server.Server)
		return lease.OrderDone, ""
	case port.HadNoEffect(err):
		return lease.OrderNoEffect, err.Error()
	default:
		return lease.OrderUnknown, err.Error()
	}
}

func (d *Decider) onRefused(e lease.Refuse) {
	o, ok := d.orders[e.IntentID]
	if !ok {
		return
	}
	delete(d.orders, e.IntentID)
	d.releaseStoreSlot(e.IntentID)
	d.progress.End(o.intent.Server, o.intent.Model)
	d.recordReason(o.intent.Model, "not decided: "+string(e.Reason))
	metrics.GetOrRegisterCounter("decider.refused", d.deps.Metrics).Inc(1)
	d.deps.Logger.Info().Str("order", e.IntentID).Str("model", string(o.intent.Model)).
		Str("reason", string(e.Reason)).Msg("proposal_refused")
	w, waiting := d.wakes[o.intent.Model]
	switch {
	case !waiting || o.intent.Kind != port.OrderLoad:
		// No request waits for an unload.
	case e.Reason == lease.RefusedNotReady || e.Reason == lease.RefusedOccupied:
		// The condition is transient; the next review plans the load again.
	default:
		w.refuse(string(e.Reason), d.now(), e.RetryAfter)
	}
}

// onClosed handles the end of an order and plans the loads that waited for it.
func (d *Decider) onClosed(ctx context.Context, e lease.Closed) {
	now := d.now()
	d.releaseStoreSlot(e.IntentID)
	if o, ok := d.orders[e.IntentID]; ok {
		delete(d.orders, e.IntentID)
		d.progress.End(o.intent.Server, o.intent.Model)
		d.recordDuration(now, o, e.Result)
		d.recordReason(o.intent.Model, string(o.intent.Kind)+" on "+string(o.intent.Server)+" ended: "+resultText(e.Result))
	}
	d.deps.Logger.Info().Str("order", e.IntentID).Str("result", resultText(e.Result)).Msg("order_ended")
	for model := range d.wakes {
		d.plan(ctx, model)
	}
	d.startStoreLoads(ctx)
}

func (d *Decider) recordDuration(now time.Time, o *order, result recordpb.Outcome_Result) {
	took := now.Sub(o.sentAt)
	switch {
	case o.sentAt.IsZero():
	case o.intent.Kind == port.OrderLoad && result == recordpb.Outcome_RESULT_LOADED:
		d.loadSpeeds.Loaded(o.intent.Server, o.tier, o.intent.Bytes, took)
		metrics.GetOrRegisterTimer("decider.load", d.deps.Metrics).Update(took)
	case o.intent.Kind == port.OrderUnload && result == recordpb.Outcome_RESULT_FREED:
		d.loadSpeeds.Unloaded(took)
	}
}

func resultText(r recordpb.Outcome_Result) string {
	switch r {
	case recordpb.Outcome_RESULT_LOADED:
		return "loaded"
	case recordpb.Outcome_RESULT_FREED:
		return "freed"
	case recordpb.Outcome_RESULT_LOST:
		return "lost"
	default:
		return "unknown"
	}
}

// releaseStoreSlot frees the weight store slot that the load held.
func (d *Decider) releaseStoreSlot(intentID string) {
	if d.storeQueue != nil {
		d.storeQueue.End(intentID)
	}
}

// rebuildLedger rebuilds the ledger from the open intents of the lease state
// machine.
func (d *Decider) rebuildLedger() {
	open := d.machine.Open()
	states := make([]*recordpb.IntentState, 0, len(open))
	for i := range open {
		states = append(states, &recordpb.IntentState{Intent: open[i].Proto(), Loaded: open[i].Loaded})
	}
	d.ledger.Restore(states)
	loadedAt := make(map[string]time.Time, len(d.loadedAt))
	for i := range open {
		if at, known := d.loadedAt[open[i].ID]; known {
			loadedAt[open[i].ID] = at
		}
	}
	d.loadedAt = loadedAt
}

func (d *Decider) storeLoad(intent record.Intent) placement.StoreLoad {
	return placement.StoreLoad{
		ID: intent.ID, Model: intent.Model,
		Estimate: d.loadSpeeds.LoadTime(intent.Server, placement.TierRemote, intent.Bytes),
	}
}
