package placer

import (
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/demand"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/modelplan"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

const (
	// reportLag is the maximum age of the state in a server's report.
	reportLag = 100 * time.Millisecond
	// confirmInterval is the delay before a server is queried again about a load that should
	// have ended.
	confirmInterval = 20 * time.Millisecond
	// maxStaleReports is how many consecutive reports may be older than the orders that the
	// server has accepted. After that the server is assumed to have restarted.
	maxStaleReports = 8
	// refreshInterval is the interval at which reports of idle servers are fetched.
	refreshInterval = 8 * time.Second
	// unreachableInterval is the delay before a report is fetched again after a failure. It
	// doubles with each further failure, up to maxUnreachableInterval.
	unreachableInterval    = 500 * time.Millisecond
	maxUnreachableInterval = 2 * time.Second
)

// trackedServer is the holder's view of one server.
type trackedServer struct {
	server *fleet.Server
	// known is true once a report has been received.
	known    bool
	sequence int64
	models   map[string]*modelState
	// unloaded maps adapters to when they were last unloaded from the server.
	unloaded map[modelplan.AdapterID]time.Time
	inMemory map[string]bool
	onDisk   map[string]bool
	// callInFlight is true during a call to the server, and busy while the server executes an
	// order.
	callInFlight, busy bool
	// uncertain is true while the result of an order is unknown, until a report that was made
	// after the order.
	uncertain bool
	// withdrawn is a model that no requests are routed to because its unload is about to start
	// or is in progress.
	withdrawn string
	loading   string
	// reservedFor is the model that an unload in progress frees memory for.
	reservedFor     string
	fromStore       bool
	expectedLoadEnd time.Time
	// nextReportAt is when to fetch the next report.
	nextReportAt time.Time
	staleReports int
	// unreadReports counts consecutive failures to fetch the report.
	unreadReports int
	// version is the version of the placement in which the server last changed.
	version int64
}

type modelState struct {
	since time.Time
	// adapters maps the adapters that the server holds to when it began to.
	adapters map[string]time.Time
}

func (m *modelState) holds(adapter string) bool {
	_, held := m.adapters[adapter]
	return held
}

func newTrackedServer(server *fleet.Server, now time.Time) *trackedServer {
	return &trackedServer{server: server, nextReportAt: now, models: map[string]*modelState{}, unloaded: map[modelplan.AdapterID]time.Time{}}
}

// retryDelay returns the delay before the report is fetched again after a failure.
func (t *trackedServer) retryDelay() time.Duration {
	delay := unreachableInterval << min(t.unreadReports, 4)
	t.unreadReports++
	return min(delay, maxUnreachableInterval)
}

// reportUrgency orders reports that are due; the lowest is the most urgent.
func (t *trackedServer) reportUrgency() int {
	if !t.known || t.uncertain {
		return 0
	}
	return 1
}

// applyReport updates the state from a report. It returns false if the report is older than
// the known state.
func (t *trackedServer) applyReport(r platform.Report, now time.Time) bool {
	if t.known && r.Sequence < t.sequence && t.staleReports < maxStaleReports {
		t.staleReports++
		t.nextReportAt = now.Add(reportLag)
		return false
	}
	models := make(map[string]*modelState, len(r.Models))
	for _, resident := range r.Models {
		state := &modelState{since: now, adapters: map[string]time.Time{}}
		if held := t.models[resident.Model]; held != nil {
			state.since = held.since
		} else if !t.known {
			state.since = time.Time{}
		}
		for _, adapter := range resident.Adapters {
			state.adapters[adapter] = t.heldSince(resident.Model, adapter, now)
		}
		models[resident.Model] = state
	}
	for _, pending := range r.Pending {
		if held := models[pending.Model]; held != nil {
			held.adapters[pending.Adapter] = t.heldSince(pending.Model, pending.Adapter, now)
		}
	}
	t.recordUnloads(models, now)
	t.models, t.inMemory, t.onDisk = models, setOf(r.InMemory), setOf(r.OnDisk)
	t.known, t.uncertain, t.staleReports, t.sequence, t.busy = true, false, 0, r.Sequence, r.Busy
	if r.Busy {
		t.nextReportAt = now.Add(reportLag)
		return true
	}
	t.loading, t.withdrawn = "", ""
	t.nextReportAt = now.Add(refreshInterval)
	return true
}

// heldSince returns when the server began to hold an adapter that a report lists: the zero time if
// it did before the first report.
func (t *trackedServer) heldSince(model, adapter string, now time.Time) time.Time {
	if !t.known {
		return time.Time{}
	}
	if state := t.models[model]; state != nil && state.holds(adapter) {
		return state.adapters[adapter]
	}
	return now
}

// recordUnloads records the end of the unloads that waited for requests, given the models that a
// report lists.
func (t *trackedServer) recordUnloads(reported map[string]*modelState, now time.Time) {
	for id, at := range t.unloaded {
		state, after := t.models[id.Model], reported[id.Model]
		waited := state != nil && state.holds(id.Adapter) && at.After(state.adapters[id.Adapter])
		if waited && (after == nil || !after.holds(id.Adapter)) {
			t.unloaded[id] = now
		}
	}
}

// isLoadDue reports whether a load should have ended that no report has confirmed yet. It is
// false for loads from the weight store, which slow each other down, so that their end can't
// be predicted.
func (t *trackedServer) isLoadDue(now time.Time) bool {
	return t.busy && t.loading != "" && !t.fromStore && !t.uncertain && !t.callInFlight && !now.Before(t.expectedLoadEnd)
}

// markLoaded records that the load in progress has ended.
func (t *trackedServer) markLoaded(now time.Time) {
	t.models[t.loading] = &modelState{since: now, adapters: map[string]time.Time{}}
	t.loading, t.busy, t.nextReportAt = "", false, now.Add(refreshInterval)
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// applyOrder updates the state for an order that the server has accepted. done means that the
// order has already taken effect.
func (t *trackedServer) applyOrder(a modelplan.Action, done bool, now time.Time) {
	t.sequence++
	switch a.Kind {
	case modelplan.LoadModel:
		t.busy, t.loading, t.fromStore, t.expectedLoadEnd = true, a.Model, a.FromStore, now.Add(a.Duration)
		t.nextReportAt = t.expectedLoadEnd.Add(reportLag)
	case modelplan.UnloadModel:
		delete(t.models, a.Model)
	case modelplan.LoadAdapter:
		if held := t.models[a.Model]; held != nil {
			held.adapters[a.Adapter] = now
		}
	case modelplan.UnloadAdapter:
		t.unloaded[modelplan.AdapterID{Model: a.Model, Adapter: a.Adapter}] = now
		if !done {
			// Requests still use the adapter, so its slot remains occupied until a report says
			// otherwise.
			t.uncertain, t.nextReportAt = true, now.Add(reportLag)
		} else if held := t.models[a.Model]; held != nil {
			delete(held.adapters, a.Adapter)
		}
	}
}

// planServer returns the server as input for a plan.
func (t *trackedServer) planServer(engine *fleet.Engine, tracker *demand.Tracker, running map[demand.Placement]int) modelplan.Server {
	s := modelplan.Server{
		ID: string(t.server.ID), Version: t.server.Version, MemoryMB: engine.WeightsMB,
		Busy:    !t.known || t.uncertain || t.callInFlight || t.busy,
		Loading: t.loading, FromStore: t.fromStore, InMemory: t.inMemory, OnDisk: t.onDisk, Unloaded: t.unloaded,
	}
	if t.reservedFor != "" {
		// The load that follows the unload occupies the weight store from now on.
		s.Loading, s.FromStore = t.reservedFor, !t.inMemory[t.reservedFor] && !t.onDisk[t.reservedFor]
	}
	for name, state := range t.models {
		key := demand.Key{Service: t.server.Service, Model: name}
		resident := modelplan.Resident{Model: name, Since: state.since, LastUsed: tracker.LastUsed(key), Running: running[demand.Placement{Server: s.ID, Model: name}]}
		for adapter, since := range state.adapters {
			key.Adapter = adapter
			resident.Adapters = append(resident.Adapters, modelplan.Adapter{Name: adapter, LastUsed: tracker.LastUsed(key), Since: since})
		}
		s.Models = append(s.Models, resident)
	}
	return s
}

// residency returns the models on the server that requests can be routed to, and the expected
// end of a load in progress.
func (t *trackedServer) residency(sequence int64) edge.Residency {
	r := edge.Residency{StartedAt: t.server.StartedAt, Sequence: sequence, Loading: map[string]time.Time{}}
	for name, state := range t.models {
		if name == t.loading || name == t.withdrawn {
			continue
		}
		resident := fleet.Resident{Model: name}
		for adapter := range state.adapters {
			resident.Adapters = append(resident.Adapters, adapter)
		}
		r.Models = append(r.Models, resident)
	}
	if t.loading != "" {
		r.Loading[t.loading] = t.expectedLoadEnd
	}
	return r
}
