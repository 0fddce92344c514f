package placer

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/demand"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/modelplan"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

const (
	// adapterTime is about how long an adapter takes to arrive at a server.
	adapterTime = 15 * time.Millisecond
	// unloadPoll is the first pause before a load is tried that waits for an unload,
	// unloadPollMax the longest: an idle model is unloaded within 60 ms, one that
	// runs requests when these have ended.
	unloadPoll    = 25 * time.Millisecond
	unloadPollMax = 200 * time.Millisecond
	// unloadLimit bounds that wait; after it the server is read.
	unloadLimit = 5 * time.Second
	// withdrawTime is what instances take to hear that a model is withdrawn from a
	// server, so that few requests meet its unload.
	withdrawTime = 20 * time.Millisecond
	// planPause is the least time between two plans.
	planPause = 5 * time.Millisecond
	// idlePlan is how often a plan is made without a cause, for demand that decays.
	idlePlan = 250 * time.Millisecond
	// doubtAfter is how long requests wait for a model that a server is thought to
	// hold until that server is read.
	doubtAfter = 150 * time.Millisecond
)

// holder plans and orders while this instance holds the tenure.
type holder struct {
	control *platform.Control
	keeper  *keeper
	views   *edge.Views
	log     *log.Logger
	name    string
	orders  metrics.Counter

	mu      sync.Mutex
	book    *demand.Book
	roll    roll
	servers map[fleet.ServerID]*tracked
	ceiling *ceiling
	epoch   int64
	version int64
	// doubted is when requests were first seen to wait for what is held.
	doubted map[demand.Key]time.Time
	wake    chan struct{}
	// published is closed when the placement changes.
	published chan struct{}
}

// run plans until ctx ends, whenever this instance may order.
func (h *holder) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause.Until(ctx, h.wake, idlePlan)
		if epoch, may := h.keeper.mayOrder(); may {
			h.step(ctx, epoch)
			pause.For(ctx, planPause)
		}
	}
}

// step brings the servers up to date, plans, and starts what is due.
func (h *holder) step(ctx context.Context, epoch int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if epoch != h.epoch {
		// What an earlier tenure knew may have changed since.
		h.epoch, h.servers, h.ceiling = epoch, map[fleet.ServerID]*tracked{}, takenOver(now)
	}
	view := h.views.Load()
	if view.Manifest == nil {
		return
	}
	h.syncServers(view, now)
	for _, t := range h.servers {
		if t.isLoadDue(now) {
			h.confirm(ctx, t)
		}
	}
	for name, service := range view.Manifest.Services {
		if service.Engine != nil {
			h.doubt(name, now)
			for _, action := range modelplan.Plan(now, h.planState(name, service.Engine, now)) {
				h.start(ctx, action)
			}
		}
	}
	for _, t := range h.servers {
		if !t.calling && !now.Before(t.readAt) {
			h.startRead(ctx, t)
		}
	}
}

func (h *holder) syncServers(view *edge.View, now time.Time) {
	listed := view.Engines()
	for id, server := range listed {
		t := h.servers[id]
		if t == nil || t.server.Born != server.Born {
			h.servers[id] = newTracked(server, now)
			continue
		}
		t.server = server
	}
	for id := range h.servers {
		if listed[id] == nil {
			delete(h.servers, id)
		}
	}
}

func (h *holder) planState(service string, engine *fleet.Engine, now time.Time) modelplan.State {
	state := modelplan.State{
		Models: make(map[string]modelplan.Model, len(engine.Models)), Demand: h.book.Of(service, now),
		AdapterSlots: engine.AdapterSlots, Slots: engine.Slots, StoreLoads: h.ceiling.left(engine.LoadsPerSecond, now),
	}
	for name, m := range engine.Models {
		state.Models[name] = modelplan.Model{
			Name: name, WeightsMB: m.WeightsMB, AdapterMB: m.AdapterMB,
			StoreLoad: m.StoreLoad, DiskLoad: m.DiskLoad, HostLoad: m.HostLoad,
		}
	}
	for _, t := range h.servers {
		// What a leaving server holds is as good as gone: no request goes there.
		if t.server.Service == service && !t.server.Draining {
			state.Servers = append(state.Servers, t.plannable(engine, h.book))
		}
	}
	sortServers(state.Servers)
	return state
}

// doubt reads servers anew that requests wait for though they should hold what is
// wanted: a report may have been wrong, or the server may have started anew.
func (h *holder) doubt(service string, now time.Time) {
	waiting := h.book.Waiting(now)
	for key := range h.doubted {
		if _, waits := waiting[key]; !waits {
			delete(h.doubted, key)
		}
	}
	for key := range waiting {
		if key.Service != service {
			continue
		}
		since, doubted := h.doubted[key]
		if !doubted {
			h.doubted[key] = now
			continue
		}
		if now.Sub(since) < doubtAfter {
			continue
		}
		h.doubted[key] = now
		for _, t := range h.servers {
			state := t.models[key.Model]
			if t.known && !t.busy && state != nil && (key.Adapter == "" || state.adapters[key.Adapter]) {
				t.readAt = now
			}
		}
	}
}

func (h *holder) startRead(ctx context.Context, t *tracked) {
	t.calling = true
	server := t.server
	go func() {
		report, err := h.control.Report(ctx, server)
		h.mu.Lock()
		defer h.mu.Unlock()
		t.calling = false
		now := time.Now()
		if err != nil {
			h.log.Info().Str("server", string(server.ID)).Err(err).Msg("report_unread")
			t.readAt = now.Add(rereadUnreachable)
			return
		}
		if t.take(report, now) {
			h.changed(t)
		}
	}()
}

func (h *holder) start(ctx context.Context, a modelplan.Action) {
	t := h.servers[fleet.ServerID(a.Server)]
	t.calling = true
	if a.Kind == modelplan.UnloadModel {
		// Requests stop going to the model before it is unloaded; its memory counts
		// until the server has accepted the order.
		t.withdrawn, t.awaited = a.Model, a.For
		h.changed(t)
	}
	order := platform.Order{
		Server: t.server, Model: a.Model, Adapter: a.Adapter, Expect: t.sequence, Holder: h.name, Epoch: h.epoch,
		Unload: a.Kind == modelplan.UnloadModel || a.Kind == modelplan.UnloadAdapter,
	}
	go func() {
		if a.Kind == modelplan.UnloadModel {
			pause.For(ctx, withdrawTime)
		}
		err := h.give(ctx, t, a, order)
		if err == nil && a.Kind == modelplan.UnloadModel {
			err = h.loadAfter(ctx, t, a.For)
		}
		if err == nil && a.Kind == modelplan.LoadAdapter {
			pause.For(ctx, adapterTime)
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		t.calling, t.awaited = false, ""
		if err != nil {
			// What was withdrawn stays so until a report tells what became of it.
			t.unsure, t.readAt = true, time.Now().Add(reportLag)
		} else {
			t.withdrawn = ""
		}
		h.changed(t)
	}()
}

// give sends an order and takes its result in.
func (h *holder) give(ctx context.Context, t *tracked, a modelplan.Action, order platform.Order) error {
	if epoch, may := h.keeper.mayOrder(); !may || epoch != order.Epoch {
		return platform.ErrOrderFenced
	}
	h.orders.Inc(1)
	if a.FromStore {
		// Counted when it is sent: a load whose answer is lost may have begun.
		h.mu.Lock()
		h.ceiling.note(time.Now())
		h.mu.Unlock()
	}
	done, err := h.control.Give(ctx, order)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil {
		t.accepted(a, done, time.Now())
		if a.Kind == modelplan.LoadModel {
			time.AfterFunc(a.Takes, func() { signal(h.wake) })
		}
	}
	if errors.Is(err, platform.ErrOrderFenced) {
		h.keeper.superseded(order.Epoch)
	}
	if !errors.Is(err, platform.ErrOrderBusy) {
		h.log.Info().Str("server", string(order.Server.ID)).Str("order", a.Kind.String()).Str("model", a.Model).
			Str("adapter", a.Adapter).Str("for", a.For).Bool("from_store", a.FromStore).Dur("takes", a.Takes).
			Int64("expect", order.Expect).Int64("epoch", order.Epoch).Err(err).Msg("order_given")
	}
	return err
}

// confirm gives the order of a load again that should have ended: a server answers at
// once whether it holds already, while its reports lag.
func (h *holder) confirm(ctx context.Context, t *tracked) {
	t.calling = true
	order := platform.Order{Server: t.server, Model: t.loading, Expect: t.sequence, Holder: h.name, Epoch: h.epoch}
	go func() {
		epoch, may := h.keeper.mayOrder()
		done, err := false, platform.ErrOrderFenced
		if may && epoch == order.Epoch {
			h.orders.Inc(1)
			done, err = h.control.Give(ctx, order)
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		t.calling = false
		now := time.Now()
		switch {
		case err == nil && done:
			h.log.Info().Str("server", string(order.Server.ID)).Str("model", order.Model).
				Int64("sequence", order.Expect).Int64("epoch", order.Epoch).Msg("load_ended")
			t.loaded(now)
			h.changed(t)
		case errors.Is(err, platform.ErrOrderBusy):
			t.loadEnds = now.Add(confirmAgain)
			time.AfterFunc(confirmAgain, func() { signal(h.wake) })
		default:
			// Not held, or not known: the report that is due soon tells. A load that has
			// begun anew may come from the weight store.
			t.unsure = true
			h.ceiling.note(now)
			h.log.Info().Str("server", string(order.Server.ID)).Str("model", order.Model).Err(err).Msg("load_unconfirmed")
			if errors.Is(err, platform.ErrOrderFenced) {
				h.keeper.superseded(order.Epoch)
			}
		}
	}()
}

// loadAfter loads a model as soon as the unload before it has ended, which waits
// for its runs.
func (h *holder) loadAfter(ctx context.Context, t *tracked, model string) error {
	poll := unloadPoll
	for deadline := time.Now().Add(unloadLimit); time.Now().Before(deadline); {
		h.mu.Lock()
		action, order, ok := h.loadOrder(t, model)
		h.mu.Unlock()
		if !ok {
			return nil
		}
		err := h.give(ctx, t, action, order)
		if !errors.Is(err, platform.ErrOrderBusy) {
			return err
		}
		pause.For(ctx, poll)
		poll = min(poll*3/2, unloadPollMax)
	}
	return platform.ErrOrderBusy
}

func (h *holder) loadOrder(t *tracked, model string) (modelplan.Action, platform.Order, bool) {
	service := h.views.Load().Manifest.Services[t.server.Service]
	if service.Engine == nil {
		return modelplan.Action{}, platform.Order{}, false
	}
	m, known := service.Engine.Models[model]
	if !known {
		return modelplan.Action{}, platform.Order{}, false
	}
	action := modelplan.Action{Server: string(t.server.ID), Kind: modelplan.LoadModel, Model: model}
	switch {
	case t.inMemory[model]:
		action.Takes = m.HostLoad
	case t.onDisk[model]:
		action.Takes = m.DiskLoad
	default:
		action.Takes, action.FromStore = m.StoreLoad, true
	}
	order := platform.Order{Server: t.server, Model: model, Expect: t.sequence, Holder: h.name, Epoch: h.epoch}
	return action, order, true
}

// changed publishes a new state of a server.
func (h *holder) changed(t *tracked) {
	h.version++
	t.version = h.version
	if t.known {
		h.views.SetResidency(map[fleet.ServerID]edge.Residency{t.server.ID: t.residency(h.sequence())})
	}
	close(h.published)
	h.published = make(chan struct{})
	signal(h.wake)
}

// versionsPerEpoch keeps placements of a later epoch above those of an earlier.
const versionsPerEpoch = 1 << 24

func (h *holder) sequence() int64 { return h.epoch*versionsPerEpoch + h.version }

// report takes in what an instance's requests want and returns the addresses of
// the instances that have reported lately.
func (h *holder) report(instance, address string, tallies map[demand.Key]demand.Tally) []string {
	h.mu.Lock()
	now := time.Now()
	h.roll.meet(instance, address, now)
	h.book.Report(instance, tallies, now)
	peers := h.roll.addresses(now)
	h.mu.Unlock()
	signal(h.wake)
	return peers
}
