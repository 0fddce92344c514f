package placer

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/demand"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/leaderlease"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/modelplan"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

const (
	// adapterTime is the approximate duration of an adapter load.
	adapterTime = 15 * time.Millisecond
	// unloadPollInitial and unloadPollMax are the initial and the maximum delay between attempts
	// to start a load after an unload. An idle model is unloaded within 60 ms, a busy one when
	// its requests have ended.
	unloadPollInitial = 25 * time.Millisecond
	unloadPollMax     = 200 * time.Millisecond
	// unloadTimeout limits that wait. After it, the server's report is fetched.
	unloadTimeout = 5 * time.Second
	// withdrawDelay is the time in which instances learn that a model has been withdrawn from
	// a server, so that few requests reach the server during the unload.
	// It is added to the interval at which instances read the placement.
	withdrawDelay = 10 * time.Millisecond
	// planInterval is the minimum interval between two plans.
	planInterval = 5 * time.Millisecond
	// idlePlanInterval is the interval of plans without a trigger, since demand decays over
	// time.
	idlePlanInterval = 250 * time.Millisecond
	// suspectAfter is how long requests can wait for a model that a server should hold before
	// the report of that server is fetched again.
	suspectAfter = 150 * time.Millisecond
	// minReported is the part of the instances that must have reported before a new holder makes
	// a plan. Of hundreds of instances, some are always restarting.
	minReported = 0.9
	// handoverInterval is the interval of checks whether another instance should hold the lease.
	handoverInterval = time.Second
	// demandTimeout is how long a new holder waits for the demand of instances that may be
	// gone before it makes its first plan.
	demandTimeout = 1500 * time.Millisecond
)

// holder plans and sends orders while this instance holds the lease.
type holder struct {
	control *platform.Control
	elector *elector
	permits *permitIssuer
	views   *edge.Views
	log     *log.Logger
	name    string
	orders  metrics.Counter

	mu        sync.Mutex
	tracker   *demand.Tracker
	instances *instanceRegistry
	// named are the instances that should follow this holder. They are updated at nextHandover.
	named        []string
	nextHandover time.Time
	// reports limits the reports that are fetched at once.
	reports      *callWindow
	servers      map[fleet.ServerID]*trackedServer
	storeLimiter *storeLimiter
	epoch        int64
	epochBegan   time.Time
	// reported lists the instances that have reported in this epoch, and expected is how many
	// there were when it began, or 0 if unknown.
	reported         map[string]bool
	expected         int
	placementVersion int64
	// suspectedSince is when requests were first observed to wait for a model.
	suspectedSince map[demand.Key]time.Time
	wake           chan struct{}
	// published is closed when the placement changes.
	published chan struct{}
}

// run reconciles until ctx ends, while this instance is allowed to send orders.
func (h *holder) run(ctx context.Context) {
	ordering := false
	for ctx.Err() == nil {
		pause.Until(ctx, h.wake, idlePlanInterval)
		epoch, allowed := h.elector.canOrder()
		if allowed != ordering {
			ordering = allowed
			h.log.Info().Bool("allowed", allowed).Int64("epoch", epoch).Dur("renewed_ago", h.elector.renewalAge()).Msg("ordering_changed")
		}
		if allowed {
			h.reconcile(ctx, epoch)
			pause.For(ctx, planInterval)
		}
	}
}

// reconcile updates the list of servers, confirms due loads, executes new plans, and fetches
// due reports.
func (h *holder) reconcile(ctx context.Context, epoch int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.beginEpoch(epoch, now)
	view := h.views.Load()
	if view.Manifest == nil {
		return
	}
	h.syncServers(view, now)
	for _, t := range h.servers {
		if t.isLoadDue(now) && h.views.RestLeft(t.server, now) <= 0 {
			h.confirmLoad(ctx, t)
		}
	}
	for name, service := range view.Manifest.Services {
		if service.Engine != nil && h.knowsDemand(now) {
			h.refreshSuspects(name, now)
			for _, action := range modelplan.Plan(now, h.planState(name, service.Engine, now)) {
				h.execute(ctx, action)
			}
		}
	}
	h.fetchReports(ctx, now)
	h.considerHandover(now)
}

// fetchReports fetches the reports that are due, as many as the window allows: first those of
// servers that responded last time, and among these of servers that get no orders without.
func (h *holder) fetchReports(ctx context.Context, now time.Time) {
	var due []*trackedServer
	for _, t := range h.servers {
		if !t.callInFlight && !now.Before(t.nextReportAt) && h.views.RestLeft(t.server, now) <= 0 {
			due = append(due, t)
		}
	}
	slices.SortStableFunc(due, func(a, b *trackedServer) int {
		return cmp.Or(cmp.Compare(a.unreadReports, b.unreadReports), cmp.Compare(a.reportUrgency(), b.reportUrgency()))
	})
	for _, t := range due {
		if !h.reports.begin() {
			return
		}
		h.fetchReport(ctx, t)
	}
}

// considerHandover updates the instances that should follow this one, and releases the lease if
// one of them is much better suited.
func (h *holder) considerHandover(now time.Time) {
	if now.Before(h.nextHandover) {
		return
	}
	h.nextHandover = now.Add(handoverInterval)
	candidates := h.instances.candidates(now)
	h.named = leaderlease.Successors(h.name, candidates)
	if successor := leaderlease.HandoverTo(h.name, h.elector.capacity, now.Sub(h.epochBegan), candidates); successor != "" {
		h.elector.handOver(successor)
	}
}

// successors returns the names of the instances that should follow this holder, in order.
func (h *holder) successors() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.named
}

// beginEpoch discards the state from an earlier lease, which may be out of date.
func (h *holder) beginEpoch(epoch int64, now time.Time) {
	if epoch == h.epoch {
		return
	}
	h.epoch, h.epochBegan = epoch, now
	h.servers, h.storeLimiter = map[fleet.ServerID]*trackedServer{}, newStoreLimiter(now)
	h.tracker, h.reported, h.expected = demand.NewTracker(waitingTTL), map[string]bool{}, h.views.Instances()
}

// knowsDemand reports whether nearly all instances have reported their demand to this holder. It
// doesn't wait long for instances that may be gone.
func (h *holder) knowsDemand(now time.Time) bool {
	return h.expected > 0 && float64(len(h.reported)) >= minReported*float64(h.expected) || now.Sub(h.epochBegan) > demandTimeout
}

func (h *holder) syncServers(view *edge.View, now time.Time) {
	listed := view.Engines()
	for id, server := range listed {
		t := h.servers[id]
		if t == nil || t.server.StartedAt != server.StartedAt {
			h.servers[id] = newTrackedServer(server, now)
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
		Models: planModels(engine), Demand: h.tracker.Of(service, now),
		AdapterSlots: engine.AdapterSlots, StoreLoads: h.storeLimiter.available(engine.LoadsPerSecond, now),
	}
	running := h.tracker.Running(now)
	for _, t := range h.servers {
		// Models on draining servers don't count, as no requests are routed there.
		if t.server.Service == service && !t.server.Draining {
			server := t.planServer(engine, h.tracker, running)
			server.RateLimit, server.Limited = h.permits.rateLimit(t.server, now)
			server.Busy = server.Busy || h.views.RestLeft(t.server, now) > 0
			state.Servers = append(state.Servers, server)
		}
	}
	sortServers(state.Servers)
	return state
}

func planModels(engine *fleet.Engine) map[string]modelplan.Model {
	out := make(map[string]modelplan.Model, len(engine.Models))
	for name, m := range engine.Models {
		out[name] = modelplan.Model{
			Name: name, WeightsMB: m.WeightsMB, AdapterMB: m.AdapterMB,
			StoreLoad: m.StoreLoad, DiskLoad: m.DiskLoad, HostLoad: m.HostLoad,
		}
	}
	return out
}

// refreshSuspects fetches the reports of servers again that should hold a model for which
// requests keep waiting: an earlier report may have been wrong, or the server may have
// restarted.
func (h *holder) refreshSuspects(service string, now time.Time) {
	waiting := h.tracker.Waiting(now)
	for key := range h.suspectedSince {
		if _, waits := waiting[key]; !waits {
			delete(h.suspectedSince, key)
		}
	}
	for key := range waiting {
		if key.Service != service {
			continue
		}
		since, suspected := h.suspectedSince[key]
		if !suspected {
			h.suspectedSince[key] = now
			continue
		}
		if now.Sub(since) < suspectAfter {
			continue
		}
		h.suspectedSince[key] = now
		for _, t := range h.servers {
			if key.ServerVersion != "" && t.server.Version != key.ServerVersion {
				continue
			}
			state := t.models[key.Model]
			if !t.known || t.busy || state == nil || key.Adapter != "" && !state.holds(key.Adapter) {
				continue
			}
			// Requests wait for permits of a server that states a rate limit.
			if _, limited := h.permits.rateLimit(t.server, now); !limited {
				t.nextReportAt = now
			}
		}
	}
}

func (h *holder) fetchReport(ctx context.Context, t *trackedServer) {
	t.callInFlight = true
	server := t.server
	go func() {
		report, err := h.control.Report(ctx, server)
		h.mu.Lock()
		defer h.mu.Unlock()
		t.callInFlight = false
		now := time.Now()
		h.reports.end(errors.Is(err, context.DeadlineExceeded))
		signal(h.wake)
		if err != nil {
			h.log.Info().Str("server", string(server.ID)).Err(err).Int("window", h.reports.size).Msg("report_unread")
			t.nextReportAt = now.Add(t.retryDelay())
			return
		}
		t.unreadReports = 0
		if t.applyReport(report, now) {
			h.publish(t)
		}
	}()
}

func (h *holder) execute(ctx context.Context, a modelplan.Action) {
	t := h.servers[fleet.ServerID(a.Server)]
	t.callInFlight = true
	if a.Kind == modelplan.UnloadModel {
		// Requests are no longer routed to the model before it is unloaded. Its memory counts
		// as used until the server has accepted the order.
		t.withdrawn, t.reservedFor = a.Model, a.EvictedFor
		h.publish(t)
	}
	order := platform.Order{
		Server: t.server, Model: a.Model, Adapter: a.Adapter, Expect: t.sequence, Holder: h.name, Epoch: h.epoch,
		Unload: a.Kind == modelplan.UnloadModel || a.Kind == modelplan.UnloadAdapter,
	}
	go func() {
		if a.Kind == modelplan.UnloadModel {
			pause.For(ctx, withdrawDelay+watchInterval(h.views.Instances()))
		}
		err := h.sendOrder(ctx, t, a, order)
		if err == nil && a.Kind == modelplan.UnloadModel {
			err = h.loadAfterUnload(ctx, t, a.EvictedFor)
		}
		if err == nil && a.Kind == modelplan.LoadAdapter {
			pause.For(ctx, adapterTime)
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		t.callInFlight, t.reservedFor = false, ""
		if err != nil {
			// A withdrawn model stays withdrawn until a report shows the result.
			t.uncertain, t.nextReportAt = true, time.Now().Add(reportLag)
		} else {
			t.withdrawn = ""
		}
		h.publish(t)
	}()
}

// publish publishes the new state of a server.
func (h *holder) publish(t *trackedServer) {
	h.placementVersion++
	t.version = h.placementVersion
	if t.known {
		h.views.SetResidency(map[fleet.ServerID]edge.Residency{t.server.ID: t.residency(h.sequence())})
	}
	h.wakeWatchers()
	signal(h.wake)
}

// wakeWatchers ends the long polls for the placement.
func (h *holder) wakeWatchers() {
	close(h.published)
	h.published = make(chan struct{})
}

// wakeAllWatchers ends the long polls for the placement, because there is something to tell that
// isn't part of it.
func (h *holder) wakeAllWatchers() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wakeWatchers()
}

// versionsPerEpoch makes the placement sequences of a later epoch higher than those of earlier
// ones.
const versionsPerEpoch = 1 << 24

func (h *holder) sequence() int64 { return h.epoch*versionsPerEpoch + h.placementVersion }

// receiveReport records the demand of an instance and returns the addresses of the instances
// that have reported recently, and their version.
func (h *holder) receiveReport(instance, address string, capacity float64, report demand.Report) ([]string, uint64) {
	epoch, placing := h.elector.canOrder()
	h.mu.Lock()
	now := time.Now()
	if placing {
		h.beginEpoch(epoch, now)
	}
	h.instances.add(instance, address, capacity, now)
	h.reported[instance] = true
	h.tracker.Report(instance, report, now)
	peers, version := h.instances.addresses(now)
	h.mu.Unlock()
	signal(h.wake)
	return peers, version
}
