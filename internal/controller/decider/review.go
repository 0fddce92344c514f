package decider

import (
	"context"
	"slices"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/internal/peer/peerpb"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/keepalive"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/ledger"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/membership"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/placement"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

type serverView = membership.ServerView

const (
	// busyPeriod is how long after its last reported use a model counts as
	// busy.
	busyPeriod = 3 * time.Second
	// preloadIntervalReviews is the number of reviews between two checks for
	// models to load ahead of demand.
	preloadIntervalReviews = 60
)

// use is the usage of a model as the zone's instances last reported it.
type use struct {
	at      time.Time
	service time.Duration
}

// newStoreQueue creates the queue of weight store loads for a new or renewed
// lease. Loads that were decided before, also by the previous holder, occupy
// their slots.
func (d *Decider) newStoreQueue(perSecond float64, concurrent int) {
	now := d.now()
	d.storeQueue = placement.NewStoreQueue(now, perSecond, concurrent)
	for _, open := range d.machine.Open() {
		if open.Kind == port.OrderLoad && !open.Loaded {
			d.storeQueue.Start(now, d.storeLoad(open.Intent))
		}
	}
}

func (d *Decider) placementView(now time.Time) *placement.View {
	view := &placement.View{
		Ledger: d.ledger, Store: d.storeQueue, Speeds: &d.loadSpeeds, Progress: &d.progress, ReplicaShare: d.replicaLimit(),
		Worth: func(model port.ModelID) float64 { return d.tracker.Worth(now, model, d.coldStart(model)) },
		Busy:  func(_ port.ServerID, model port.ModelID) bool { return d.busy(now, model) },
		BaseOf: func(model port.ModelID) port.ModelID {
			info, _ := d.deps.Config.Model(model)
			return info.Base
		},
	}
	for _, v := range d.zoneEngines() {
		d.observeReport(&v)
		s := placement.Server{Server: v.Server}
		if v.Reported && d.machine.ReadyOn(v.Server.ID) {
			report := v.Report
			s.Report = &report
		}
		view.Servers = append(view.Servers, s)
	}
	return view
}

func (d *Decider) zoneEngines() []serverView {
	var engines []serverView
	for _, v := range d.deps.Observer.ZoneServers() {
		if v.Server.Kind == port.KindEngine && (v.Routable || v.Server.Leaving) {
			engines = append(engines, v)
		}
	}
	return engines
}

// observeReport records a report that may come from another instance. If the
// report names another incarnation, the server is read directly, because only
// that shows which incarnation is newer.
func (d *Decider) observeReport(v *serverView) {
	if !v.Reported {
		return
	}
	if d.ledger.Observe(&v.Report, false) != ledger.NeedsRead || d.pendingReads[v.Server.ID] {
		return
	}
	server := v.Server
	d.pendingReads[server.ID] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), fenceTimeout)
		defer cancel()
		_, _ = d.deps.Observer.Read(ctx, server)
		d.enqueue(context.Background(), func(context.Context) { delete(d.pendingReads, server.ID) })
	}()
}

// removeUnknownServers removes the state of servers that no longer exist.
func (d *Decider) removeUnknownServers() {
	for _, id := range d.ledger.Servers() {
		if _, known := d.deps.Observer.Server(id); !known && d.ledger.Forget(id) {
			d.loadSpeeds.Forget(id)
		}
	}
}

// coldStart estimates the load time of a model from the fastest tier that holds
// its checkpoint in the zone, as of the last review.
func (d *Decider) coldStart(model port.ModelID) time.Duration {
	info, _ := d.deps.Config.Model(model)
	tier, cached := d.tiers[model]
	if !cached {
		tier = placement.TierRemote
	}
	return d.loadSpeeds.LoadTime("", tier, info.Bytes)
}

// updateTiers determines the fastest tier of each checkpoint that is cached in
// the zone.
func (d *Decider) updateTiers() {
	clear(d.tiers)
	for _, v := range d.zoneEngines() {
		if !v.Routable {
			continue
		}
		for _, model := range v.Report.CachedOnDisk {
			if _, better := d.tiers[model]; !better {
				d.tiers[model] = placement.TierDisk
			}
		}
		for _, model := range v.Report.CachedInMemory {
			d.tiers[model] = placement.TierMemory
		}
	}
}

// coldStartOn estimates the load time of a model on one server.
func (d *Decider) coldStartOn(v *serverView, info port.ModelInfo) time.Duration {
	return d.loadSpeeds.LoadTime(v.Server.ID, placement.TierOf(&v.Report, info.ID), info.Bytes)
}

// busy reports whether a model is in use and must not be unloaded now. For
// busyPeriod after leaseSince every model counts as busy, because the instances
// haven't reported their usage to a new holder yet.
func (d *Decider) busy(now time.Time, model port.ModelID) bool {
	if now.Sub(d.leaseSince) < busyPeriod {
		return true
	}
	if _, waiting := d.wakes[model]; waiting {
		return true
	}
	u, used := d.lastUses[model]
	return used && now.Sub(u.at) < busyPeriod
}

// recordUses records the usage that an instance reports.
func (d *Decider) recordUses(uses []*peerpb.ModelUse) {
	now := d.now()
	for _, reported := range uses {
		model := port.ModelID(reported.Model)
		if _, known := d.deps.Config.Model(model); !known {
			continue
		}
		d.lastUses[model] = use{at: now, service: time.Duration(reported.ServiceMs) * time.Millisecond}
		if reported.Arrived > 0 {
			d.tracker.RecordArrival(now, model)
		}
	}
}

// review unloads replicas that aren't worth retaining or exceed a share, and
// loads models ahead of demand.
func (d *Decider) review(ctx context.Context) {
	if d.deps.Config.Targets() == nil {
		return
	}
	now := d.now()
	d.updateTiers()
	d.removeUnknownServers()
	d.expireWakes(now)
	for model := range d.wakes {
		d.plan(ctx, model)
	}
	d.shrinkToShare(ctx, now)
	d.unloadExcess(ctx)
	d.release(ctx, now)
	if d.ticks%(reviewIntervalTicks*preloadIntervalReviews) == 0 {
		d.preload(ctx, now)
	}
}

func (d *Decider) expireWakes(now time.Time) {
	for model, w := range d.wakes {
		if now.After(w.deadline) || now.Sub(w.lastRequest) > wakeExpiry {
			if w.total() > 0 {
				d.tracker.RecordColdStart(model, w.total())
			}
			d.storeQueue.Remove(string(model))
			delete(d.wakes, model)
		}
	}
	for model, u := range d.lastUses {
		if now.Sub(u.at) > time.Hour {
			delete(d.lastUses, model)
		}
	}
}

// shrinkToShare unloads replicas from each server that exceeds the configured
// share of its accelerator memory, those of the least worth per byte first.
func (d *Decider) shrinkToShare(ctx context.Context, now time.Time) {
	worth := func(model port.ModelID) float64 { return d.tracker.Worth(now, model, d.coldStart(model)) }
	for _, v := range d.zoneEngines() {
		if d.ledger.Usage(v.Server.ID).Memory <= 0 {
			continue // without a reported memory size our share isn't known
		}
		for _, allocation := range d.ledger.ExcessReplicas(v.Server.ID, worth) {
			d.unload(ctx, v.Server.ID, allocation.Model, "our share of the accelerator is exceeded")
		}
	}
}

// excessReplica is a replica to unload regardless of its worth.
type excessReplica struct {
	server port.ServerID
	model  port.ModelID
	reason string
}

// unloadExcess unloads excess replicas. All of them are collected first,
// because each proposal changes the ledger.
func (d *Decider) unloadExcess(ctx context.Context) {
	for _, s := range slices.Concat(d.replicasOnDrainingServers(), d.replicasAboveShare(), d.unreportedReplicas()) {
		d.unload(ctx, s.server, s.model, s.reason)
	}
}

// unreportedReplicas lists replicas that engines have dropped without a
// restart. Unloading such a replica closes its intent, which the log still
// counts.
func (d *Decider) unreportedReplicas() []excessReplica {
	var list []excessReplica
	for _, id := range d.ledger.Servers() {
		for _, allocation := range d.ledger.Missing(id) {
			list = append(list, excessReplica{id, allocation.Model, "the engine no longer reports it"})
		}
	}
	return list
}

// replicasOnDrainingServers lists the replicas on servers that are draining.
// They count towards the replica limit and could be loaded elsewhere. An engine
// finishes its in-flight requests before it unloads. Adapters are unloaded
// before their base model.
func (d *Decider) replicasOnDrainingServers() []excessReplica {
	var list []excessReplica
	for _, v := range d.zoneEngines() {
		if !v.Server.Leaving {
			continue
		}
		for allocation := range d.ledger.Allocations(v.Server.ID) {
			if !d.hasAdapters(v.Server.ID, allocation.Model) {
				list = append(list, excessReplica{v.Server.ID, allocation.Model, "the server is leaving"})
			}
		}
	}
	return list
}

// release unloads the idle models that the keep-alive policy no longer retains.
func (d *Decider) release(ctx context.Context, now time.Time) {
	t := d.deps.Config.Targets()
	holders := map[port.ModelID][]port.ServerID{}
	var idle []keepalive.Facts
	for _, v := range d.zoneEngines() {
		for allocation := range d.ledger.Allocations(v.Server.ID) {
			if !allocation.Loaded || allocation.Unload != "" || d.busy(now, allocation.Model) || d.hasAdapters(v.Server.ID, allocation.Model) {
				continue
			}
			if len(holders[allocation.Model]) == 0 {
				idle = append(idle, d.keepaliveFacts(&v, allocation))
			}
			holders[allocation.Model] = append(holders[allocation.Model], v.Server.ID)
		}
	}
	budget := func(name string) float64 {
		class, known := t.Class(name)
		if !known {
			return 0
		}
		return d.limits.zoneShare(class.IdleAccelerators)
	}
	for _, release := range d.tracker.Releases(now, idle, budget, d.limits.zoneShare(t.Document.Limits.IdleAccelerators)) {
		for _, server := range holders[release.Model] {
			d.unload(ctx, server, release.Model, release.Reason)
		}
	}
}

func (d *Decider) keepaliveFacts(v *serverView, allocation ledger.Allocation) keepalive.Facts {
	info, _ := d.deps.Config.Model(allocation.Model)
	f := keepalive.Facts{
		Model: allocation.Model, ColdStart: d.coldStartOn(v, info), Class: d.classOf(allocation.Model).Name,
		ReadySince: d.readySince(allocation.Intent),
	}
	if limit := d.ledger.Usage(v.Server.ID).Limit; limit > 0 {
		f.Accelerators = float64(allocation.Bytes) / float64(limit)
	}
	return f
}

// readySince returns when a load completed, or when this holder first saw it as
// loaded.
func (d *Decider) readySince(intent string) time.Time {
	at, known := d.loadedAt[intent]
	if !known {
		at = d.now()
		d.loadedAt[intent] = at
	}
	return at
}

func (d *Decider) hasAdapters(server port.ServerID, base port.ModelID) bool {
	for allocation := range d.ledger.Allocations(server) {
		if info, _ := d.deps.Config.Model(allocation.Model); info.Base == base {
			return true
		}
	}
	return false
}

// preload loads models whose usage pattern predicts demand soon.
func (d *Decider) preload(ctx context.Context, now time.Time) {
	for _, info := range d.deps.Config.Models() {
		if _, waiting := d.wakes[info.ID]; waiting || d.ledger.Replicas(info.ID) > 0 {
			continue
		}
		facts := keepalive.Facts{
			Model: info.ID, Accelerators: d.acceleratorShare(info.Bytes), ColdStart: d.coldStart(info.ID),
			Class: d.classOf(info.ID).Name,
		}
		if verdict := d.tracker.Preload(now, facts); verdict.Keep {
			d.recordReason(info.ID, "loaded ahead: "+verdict.Reason)
			d.wakes[info.ID] = &wake{class: facts.Class, lastRequest: now, deadline: now.Add(wakeExpiry), waiting: map[port.InstanceID]waiterCount{}}
			d.plan(ctx, info.ID)
		}
	}
	d.startStoreLoads(ctx)
}

// acceleratorShare returns the fraction of an accelerator that a model of this
// size occupies. It uses the first server of the zone that reports its memory,
// and returns 1 if there is none.
func (d *Decider) acceleratorShare(bytes int64) float64 {
	for _, v := range d.zoneEngines() {
		if limit := d.ledger.Usage(v.Server.ID).Limit; limit > 0 {
			return float64(bytes) / float64(limit)
		}
	}
	return 1
}
