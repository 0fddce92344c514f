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
	// busyFor is how long after its last reported use a model counts as busy.
	busyFor = 3 * time.Second
	// aheadEvery is how many reviews lie between looks for models to load ahead.
	aheadEvery = 60
)

// use is what the zone's instances last said of a model.
type use struct {
	at      time.Time
	service time.Duration
}

// newStore starts the account of the weight store for a new term. Loads that a
// predecessor decided hold their slots.
func (d *Decider) newStore(perSecond float64, atOnce int) {
	now := d.now()
	d.store = placement.NewStoreQueue(now, perSecond, atOnce)
	for _, open := range d.machine.Open() {
		if open.Kind == port.OrderLoad && !open.Loaded {
			d.store.Start(now, d.runningLoad(open.Intent))
		}
	}
}

func (d *Decider) placementView(now time.Time) *placement.View {
	view := &placement.View{
		Ledger: d.ledger, Store: d.store, Speeds: &d.speeds, Progress: &d.progress, ReplicaShare: d.replicaShare(),
		Worth: func(model port.ModelID) float64 { return d.tracker.Worth(now, model, d.coldStart(model)) },
		Busy:  func(_ port.ServerID, model port.ModelID) bool { return d.busy(now, model) },
		BaseOf: func(model port.ModelID) port.ModelID {
			info, _ := d.deps.Config.Model(model)
			return info.Base
		},
	}
	for _, v := range d.zoneEngines() {
		d.observe(&v)
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

// observe takes in a report that came by other instances. Which of two
// incarnations is the newer one only a read of the server itself can tell.
func (d *Decider) observe(v *serverView) {
	if !v.Reported {
		return
	}
	if d.ledger.Observe(&v.Report, false) != ledger.NeedsRead || d.reading[v.Server.ID] {
		return
	}
	server := v.Server
	d.reading[server.ID] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), fenceTimeout)
		defer cancel()
		_, _ = d.deps.Observer.Read(ctx, server)
		d.post(context.Background(), func(context.Context) { delete(d.reading, server.ID) })
	}()
}

// forgetServers drops what is known of servers that are gone.
func (d *Decider) forgetServers() {
	for _, id := range d.ledger.Servers() {
		if _, known := d.deps.Observer.Server(id); !known && d.ledger.Forget(id) {
			d.speeds.Forget(id)
		}
	}
}

// coldStart estimates the load of a model from the fastest tier that holds its
// checkpoint in the zone, as of the last review.
func (d *Decider) coldStart(model port.ModelID) time.Duration {
	info, _ := d.deps.Config.Model(model)
	tier, cached := d.tiers[model]
	if !cached {
		tier = placement.TierRemote
	}
	return d.speeds.LoadTime("", tier, info.Bytes)
}

// noteTiers finds the fastest tier of each checkpoint that is cached in the zone.
func (d *Decider) noteTiers() {
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

// coldStartOn estimates the load of a model on one server.
func (d *Decider) coldStartOn(v *serverView, info port.ModelInfo) time.Duration {
	return d.speeds.LoadTime(v.Server.ID, placement.TierOf(&v.Report, info.ID), info.Bytes)
}

// busy reports whether a model must not be unloaded now. A new holder hasn't
// heard yet what is in use.
func (d *Decider) busy(now time.Time, model port.ModelID) bool {
	if now.Sub(d.heldAt) < busyFor {
		return true
	}
	if _, waiting := d.wakes[model]; waiting {
		return true
	}
	u, used := d.uses[model]
	return used && now.Sub(u.at) < busyFor
}

// used takes in what an instance has used.
func (d *Decider) used(uses []*peerpb.ModelUse) {
	now := d.now()
	for _, reported := range uses {
		model := port.ModelID(reported.Model)
		if _, known := d.deps.Config.Model(model); !known {
			continue
		}
		d.uses[model] = use{at: now, service: time.Duration(reported.ServiceMs) * time.Millisecond}
		if reported.Arrived > 0 {
			d.tracker.Arrived(now, model)
		}
	}
}

// review releases what isn't worth keeping, works shares down that were cut, and
// loads ahead.
func (d *Decider) review(ctx context.Context) {
	if d.deps.Config.Targets() == nil {
		return
	}
	now := d.now()
	d.noteTiers()
	d.forgetServers()
	d.forgetWakes(now)
	for model := range d.wakes {
		d.plan(ctx, model)
	}
	d.workDown(ctx, now)
	d.unloadSurplus(ctx)
	d.release(ctx, now)
	if d.ticks%(reviewEvery*aheadEvery) == 0 {
		d.loadAhead(ctx, now)
	}
}

func (d *Decider) forgetWakes(now time.Time) {
	for model, w := range d.wakes {
		if now.After(w.patience) || now.Sub(w.asked) > wakeForget {
			if w.total() > 0 {
				d.tracker.Woke(model, w.total())
			}
			d.store.Leave(string(model))
			delete(d.wakes, model)
		}
	}
	for model, u := range d.uses {
		if now.Sub(u.at) > time.Hour {
			delete(d.uses, model)
		}
	}
}

func (d *Decider) workDown(ctx context.Context, now time.Time) {
	worth := func(model port.ModelID) float64 { return d.tracker.Worth(now, model, d.coldStart(model)) }
	for _, v := range d.zoneEngines() {
		if d.ledger.Usage(v.Server.ID).Memory <= 0 {
			continue // a report without a size says nothing of our share
		}
		for _, hold := range d.ledger.WorkDown(v.Server.ID, worth) {
			d.unload(ctx, v.Server.ID, hold.Model, "our share of the accelerator is exceeded")
		}
	}
}

// surplus is a replica that is to be unloaded whatever its worth.
type surplus struct {
	server port.ServerID
	model  port.ModelID
	reason string
}

// unloadSurplus unloads what is to go. The ledger changes with each proposal, so
// it is read to the end first.
func (d *Decider) unloadSurplus(ctx context.Context) {
	for _, s := range slices.Concat(d.onLeavingServers(), d.aboveShare(), d.notReported()) {
		d.unload(ctx, s.server, s.model, s.reason)
	}
}

// notReported lists replicas that engines have dropped without a restart. The
// unload closes what the log still counts.
func (d *Decider) notReported() []surplus {
	var list []surplus
	for _, id := range d.ledger.Servers() {
		for _, hold := range d.ledger.Missing(id) {
			list = append(list, surplus{id, hold.Model, "the engine no longer reports it"})
		}
	}
	return list
}

// onLeavingServers lists what leaving servers hold, which counts as replicas that
// could be loaded elsewhere. An engine ends the requests in progress before it
// unloads. Adapters go before their base.
func (d *Decider) onLeavingServers() []surplus {
	var list []surplus
	for _, v := range d.zoneEngines() {
		if !v.Server.Leaving {
			continue
		}
		for hold := range d.ledger.Holds(v.Server.ID) {
			if !d.hasAdapters(v.Server.ID, hold.Model) {
				list = append(list, surplus{v.Server.ID, hold.Model, "the server is leaving"})
			}
		}
	}
	return list
}

// release unloads the idle models that the keep-alive gives up.
func (d *Decider) release(ctx context.Context, now time.Time) {
	t := d.deps.Config.Targets()
	holders := map[port.ModelID][]port.ServerID{}
	var idle []keepalive.Facts
	for _, v := range d.zoneEngines() {
		for hold := range d.ledger.Holds(v.Server.ID) {
			if !hold.Loaded || hold.Unload != "" || d.busy(now, hold.Model) || d.hasAdapters(v.Server.ID, hold.Model) {
				continue
			}
			if len(holders[hold.Model]) == 0 {
				idle = append(idle, d.facts(&v, hold))
			}
			holders[hold.Model] = append(holders[hold.Model], v.Server.ID)
		}
	}
	budget := func(name string) float64 {
		class, known := t.Class(name)
		if !known {
			return 0
		}
		return d.limits.part(class.IdleAccelerators)
	}
	for _, release := range d.tracker.Releases(now, idle, budget, d.limits.part(t.Document.Limits.IdleAccelerators)) {
		for _, server := range holders[release.Model] {
			d.unload(ctx, server, release.Model, release.Reason)
		}
	}
}

func (d *Decider) facts(v *serverView, hold ledger.Hold) keepalive.Facts {
	info, _ := d.deps.Config.Model(hold.Model)
	f := keepalive.Facts{
		Model: hold.Model, ColdStart: d.coldStartOn(v, info), Class: d.classOf(hold.Model).Name,
		ReadySince: d.readySince(hold.Intent),
	}
	if limit := d.ledger.Usage(v.Server.ID).Limit; limit > 0 {
		f.Accelerators = float64(hold.Bytes) / float64(limit)
	}
	return f
}

// readySince is when a load ended, or when this term first saw it loaded.
func (d *Decider) readySince(intent string) time.Time {
	at, known := d.loadedAt[intent]
	if !known {
		at = d.now()
		d.loadedAt[intent] = at
	}
	return at
}

func (d *Decider) hasAdapters(server port.ServerID, base port.ModelID) bool {
	for hold := range d.ledger.Holds(server) {
		if info, _ := d.deps.Config.Model(hold.Model); info.Base == base {
			return true
		}
	}
	return false
}

// loadAhead loads models whose rhythm says that they are wanted soon.
func (d *Decider) loadAhead(ctx context.Context, now time.Time) {
	for _, info := range d.deps.Config.Models() {
		if _, waiting := d.wakes[info.ID]; waiting || d.ledger.Replicas(info.ID) > 0 {
			continue
		}
		facts := keepalive.Facts{
			Model: info.ID, Accelerators: d.typicalShare(info.Bytes), ColdStart: d.coldStart(info.ID),
			Class: d.classOf(info.ID).Name,
		}
		if verdict := d.tracker.Ahead(now, facts); verdict.Keep {
			d.note(info.ID, "loaded ahead: "+verdict.Reason)
			d.wakes[info.ID] = &wake{class: facts.Class, asked: now, patience: now.Add(wakeForget), waiting: map[port.InstanceID]waiters{}}
			d.plan(ctx, info.ID)
		}
	}
	d.pump(ctx)
}

// typicalShare is the part of the zone's first reported accelerator that a model
// of the size takes.
func (d *Decider) typicalShare(bytes int64) float64 {
	for _, v := range d.zoneEngines() {
		if limit := d.ledger.Usage(v.Server.ID).Limit; limit > 0 {
			return float64(bytes) / float64(limit)
		}
	}
	return 1
}
