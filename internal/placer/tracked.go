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
	// reportLag is how old a server's report may be.
	reportLag = 100 * time.Millisecond
	// confirmAgain is the pause before a server is asked once more whether a load has
	// ended that should have.
	confirmAgain = 20 * time.Millisecond
	// staleReports is how many reports in a row may be older than the orders that
	// the server accepted, before the server is taken to have started anew.
	staleReports = 8
	// refreshInterval is how often an idle server is read.
	refreshInterval = 8 * time.Second
	// rereadUnreachable is the pause after a report that couldn't be read.
	rereadUnreachable = 500 * time.Millisecond
)

// tracked is what the holder knows of one server.
type tracked struct {
	server *fleet.Server
	// known is false until a report has been read.
	known    bool
	sequence int64
	models   map[string]*modelState
	inMemory map[string]bool
	onDisk   map[string]bool
	// calling means that a call to the server is under way, busy that an order is
	// in progress there.
	calling, busy bool
	// unsure means that the result of an order isn't known until a report that was
	// made after it.
	unsure bool
	// withdrawn is a model that requests are kept from, as it is to be unloaded.
	withdrawn string
	loading   string
	// awaited is the model that an unload under way makes room for.
	awaited   string
	fromStore bool
	loadEnds  time.Time
	// readAt is when to read the next report.
	readAt time.Time
	stale  int
	// version is that of the placement in which it changed last.
	version int64
}

type modelState struct {
	since    time.Time
	adapters map[string]bool
}

func newTracked(server *fleet.Server, now time.Time) *tracked {
	return &tracked{server: server, readAt: now, models: map[string]*modelState{}}
}

// take takes a report in and reports whether it is newer than what was known.
func (t *tracked) take(r platform.Report, now time.Time) bool {
	if t.known && r.Sequence < t.sequence && t.stale < staleReports {
		t.stale++
		t.readAt = now.Add(reportLag)
		return false
	}
	models := make(map[string]*modelState, len(r.Models))
	for _, resident := range r.Models {
		state := &modelState{since: now, adapters: map[string]bool{}}
		if held := t.models[resident.Model]; held != nil {
			state.since = held.since
		} else if !t.known {
			state.since = time.Time{}
		}
		for _, adapter := range resident.Adapters {
			state.adapters[adapter] = true
		}
		models[resident.Model] = state
	}
	for _, pending := range r.Pending {
		if held := models[pending.Model]; held != nil {
			held.adapters[pending.Adapter] = true
		}
	}
	t.models, t.inMemory, t.onDisk = models, setOf(r.InMemory), setOf(r.OnDisk)
	t.known, t.unsure, t.stale, t.sequence, t.busy = true, false, 0, r.Sequence, r.Busy
	if r.Busy {
		t.readAt = now.Add(reportLag)
		return true
	}
	t.loading, t.withdrawn = "", ""
	t.readAt = now.Add(refreshInterval)
	return true
}

// isLoadDue reports whether a load should have ended that a report doesn't tell of yet.
// Loads from the weight store slow each other down and have no such time.
func (t *tracked) isLoadDue(now time.Time) bool {
	return t.busy && t.loading != "" && !t.fromStore && !t.unsure && !t.calling && !now.Before(t.loadEnds)
}

// loaded notes that a load has ended.
func (t *tracked) loaded(now time.Time) {
	t.models[t.loading] = &modelState{since: now, adapters: map[string]bool{}}
	t.loading, t.busy, t.readAt = "", false, now.Add(refreshInterval)
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// accepted notes an order that the server took; done means that its effect is
// there already.
func (t *tracked) accepted(a modelplan.Action, done bool, now time.Time) {
	t.sequence++
	switch a.Kind {
	case modelplan.LoadModel:
		t.busy, t.loading, t.fromStore, t.loadEnds = true, a.Model, a.FromStore, now.Add(a.Takes)
		t.readAt = t.loadEnds.Add(reportLag)
	case modelplan.UnloadModel:
		delete(t.models, a.Model)
	case modelplan.LoadAdapter:
		if held := t.models[a.Model]; held != nil {
			held.adapters[a.Adapter] = true
		}
	case modelplan.UnloadAdapter:
		if !done {
			// Requests use it still: its place is free when a report says so.
			t.unsure, t.readAt = true, now.Add(reportLag)
		} else if held := t.models[a.Model]; held != nil {
			delete(held.adapters, a.Adapter)
		}
	}
}

// plannable returns the server as a plan sees it.
func (t *tracked) plannable(engine *fleet.Engine, b *demand.Book) modelplan.Server {
	s := modelplan.Server{
		ID: string(t.server.ID), MemoryMB: engine.WeightsMB,
		Busy:    !t.known || t.unsure || t.calling || t.busy,
		Loading: t.loading, FromStore: t.fromStore, InMemory: t.inMemory, OnDisk: t.onDisk,
	}
	if t.awaited != "" {
		s.Loading = t.awaited
	}
	for name, state := range t.models {
		key := demand.Key{Service: t.server.Service, Model: name}
		held := modelplan.Held{Model: name, Since: state.since, LastUsed: b.LastUsed(key)}
		for adapter := range state.adapters {
			key.Adapter = adapter
			held.Adapters = append(held.Adapters, modelplan.Adapter{Name: adapter, LastUsed: b.LastUsed(key)})
		}
		s.Models = append(s.Models, held)
	}
	return s
}

// residency returns what the server holds, as requests are routed by it.
func (t *tracked) residency(sequence int64) edge.Residency {
	r := edge.Residency{Born: t.server.Born, Sequence: sequence, Loading: map[string]time.Time{}}
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
		r.Loading[t.loading] = t.loadEnds
	}
	return r
}
