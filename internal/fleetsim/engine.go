package fleetsim

import (
	"container/heap"
	"slices"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/modelplan"
)

// activeRequest is a request in an engine's batch. Its milestones are the first and
// the last event of the answer, as values of engine.steps.
type activeRequest struct {
	request                 *request
	firstEventStep, endStep float64
	firstEventSent          bool
}

func (r *activeRequest) nextMilestone() float64 {
	if r.firstEventSent {
		return r.endStep
	}
	return r.firstEventStep
}

// activeRequests is a heap ordered by the next milestone.
type activeRequests []*activeRequest

func (r activeRequests) Len() int           { return len(r) }
func (r activeRequests) Less(i, j int) bool { return r[i].nextMilestone() < r[j].nextMilestone() }
func (r activeRequests) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }

// Push implements heap.Interface.
func (r *activeRequests) Push(x any) { *r = append(*r, x.(*activeRequest)) }

// Pop implements heap.Interface.
func (r *activeRequests) Pop() any {
	old := *r
	last := old[len(old)-1]
	*r = old[:len(old)-1]
	return last
}

// engine simulates the inference engine of one server. Each step produces one token
// for every request in the batch; a step takes longer the larger the batch is.
type engine struct {
	id     string
	active activeRequests
	// steps is the number of engine steps until updatedAt, with fractions.
	steps     float64
	updatedAt time.Duration
	// version changes with the batch or its milestones, so that an event scheduled for
	// an earlier state is ignored.
	version int

	loadedAt map[string]time.Duration // when each model in memory was loaded
	busy     bool
	// loading is the model that is being loaded, or that will be loaded after the unload
	// of the model in unloading.
	loading, unloading string
	fromStore          bool
	inMemory, onDisk   []string // most recently loaded first
	diskLoadTime       time.Duration
}

func (e *engine) stepTime() time.Duration {
	return baseStepTime + time.Duration(max(len(e.active)-1, 0))*stepTimePerRequest
}

// advance updates the step count to the given time.
func (e *engine) advance(now time.Duration) {
	if len(e.active) > 0 {
		e.steps += float64(now-e.updatedAt) / float64(e.stepTime())
	}
	e.updatedAt = now
}

// start adds a request to the batch. The caller must have called advance for the
// current time.
func (e *engine) start(r *request) {
	promptSteps := float64(r.class.promptTokens) / promptTokensPerMs * float64(time.Millisecond) / float64(baseStepTime)
	first := e.steps + promptSteps + tokensPerEvent
	heap.Push(&e.active, &activeRequest{request: r, firstEventStep: first, endStep: first + float64((r.class.events-1)*tokensPerEvent)})
	e.version++
}

// nextMilestone returns the time of the next milestone, and false if the batch is
// empty.
func (e *engine) nextMilestone() (time.Duration, bool) {
	if len(e.active) == 0 {
		return 0, false
	}
	remaining := max(e.active[0].nextMilestone()-e.steps, 0)
	return e.updatedAt + time.Duration(remaining*float64(e.stepTime())) + 1, true
}

// reachMilestones processes the milestones up to the current step. It returns the
// requests that sent their first event and removes those that ended. The caller must
// have called advance for the current time.
func (e *engine) reachMilestones() (answering, ended []*request) {
	const rounding = 1e-6
	for len(e.active) > 0 && e.active[0].nextMilestone() <= e.steps+rounding {
		if r := e.active[0]; !r.firstEventSent {
			r.firstEventSent = true
			answering = append(answering, r.request)
			heap.Fix(&e.active, 0)
			continue
		}
		ended = append(ended, heap.Pop(&e.active).(*activeRequest).request)
	}
	e.version++
	return answering, ended
}

// canServe reports whether the model is in memory and isn't being unloaded.
func (e *engine) canServe(model string) bool {
	_, held := e.loadedAt[model]
	return held && model != e.unloading
}

// hasActiveRequests reports whether the batch contains a request for the model.
func (e *engine) hasActiveRequests(model string) bool {
	return slices.ContainsFunc(e.active, func(r *activeRequest) bool { return r.request.model == model })
}

// loadTime returns the duration of a load, and whether it reads from the weight store.
func (e *engine) loadTime(model string) (time.Duration, bool) {
	switch {
	case slices.Contains(e.inMemory, model):
		return hostLoadTime, false
	case slices.Contains(e.onDisk, model):
		return e.diskLoadTime, false
	}
	return storeLoadTime, true
}

// cacheCopies records the copies that a load leaves in host memory and on disk.
func (e *engine) cacheCopies(model string) {
	e.inMemory = insertMostRecent(e.inMemory, model, hostCacheModels)
	e.onDisk = insertMostRecent(e.onDisk, model, diskCacheModels)
}

// insertMostRecent moves the model to the front and evicts the least recently loaded
// copies beyond limit.
func insertMostRecent(copies []string, model string, limit int) []string {
	copies = slices.DeleteFunc(copies, func(m string) bool { return m == model })
	copies = slices.Insert(copies, 0, model)
	return copies[:min(len(copies), limit)]
}

// planServer returns the state of the engine as input for modelplan.
func (e *engine) planServer(lastUsed func(string) time.Time) modelplan.Server {
	s := modelplan.Server{
		ID: e.id, MemoryMB: memoryMB, Busy: e.busy, Loading: e.loading, FromStore: e.fromStore,
		InMemory: setOf(e.inMemory), OnDisk: setOf(e.onDisk),
	}
	names := make([]string, 0, len(e.loadedAt))
	for model := range e.loadedAt {
		names = append(names, model)
	}
	slices.Sort(names)
	for _, model := range names {
		s.Models = append(s.Models, modelplan.Resident{Model: model, Since: wallClock(e.loadedAt[model]), LastUsed: lastUsed(model)})
	}
	return s
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}
