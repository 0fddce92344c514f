package fleetsim

import (
	"container/heap"
	"slices"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/modelplan"
)

// run is a request at an engine. Its milestones are in tokens of the engine's count.
type run struct {
	request     *request
	first, ends float64
	begun       bool
}

func (r *run) next() float64 {
	if r.begun {
		return r.ends
	}
	return r.first
}

// runs is a heap by next milestone.
type runs []*run

func (r runs) Len() int           { return len(r) }
func (r runs) Less(i, j int) bool { return r[i].next() < r[j].next() }
func (r runs) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }

// Push implements heap.Interface.
func (r *runs) Push(x any) { *r = append(*r, x.(*run)) }

// Pop implements heap.Interface.
func (r *runs) Pop() any {
	old := *r
	last := old[len(old)-1]
	*r = old[:len(old)-1]
	return last
}

// engine is one server. All its requests advance together by one token a step, and
// a step takes longer the more there are.
type engine struct {
	id   string
	runs runs
	// tokens is how many steps the engine has made until at.
	tokens float64
	at     time.Duration
	// version tells a scheduled milestone from a later one.
	version int

	models map[string]time.Duration // held since
	busy   bool
	// loading is under way or follows the unload of dropping.
	loading, dropping string
	fromStore         bool
	inMemory, onDisk  []string // newest first
	diskLoad          time.Duration
}

func (e *engine) step() time.Duration {
	return stepBase + time.Duration(max(len(e.runs)-1, 0))*stepPerRequest
}

// advance moves the engine on to a time.
func (e *engine) advance(now time.Duration) {
	if len(e.runs) > 0 {
		e.tokens += float64(now-e.at) / float64(e.step())
	}
	e.at = now
}

// start begins a request; advance comes first.
func (e *engine) start(r *request) {
	prompt := float64(r.kind.prompt) / promptPerMs * float64(time.Millisecond) / float64(stepBase)
	first := e.tokens + prompt + eventTokens
	heap.Push(&e.runs, &run{request: r, first: first, ends: first + float64((r.kind.events-1)*eventTokens)})
	e.version++
}

// nextMilestone returns when the next milestone is due.
func (e *engine) nextMilestone() (time.Duration, bool) {
	if len(e.runs) == 0 {
		return 0, false
	}
	left := max(e.runs[0].next()-e.tokens, 0)
	return e.at + time.Duration(left*float64(e.step())) + 1, true
}

// reach returns the requests whose first event or whose end is due; advance comes
// first.
func (e *engine) reach() (begun, ended []*request) {
	const rounding = 1e-6
	for len(e.runs) > 0 && e.runs[0].next() <= e.tokens+rounding {
		if r := e.runs[0]; !r.begun {
			r.begun = true
			begun = append(begun, r.request)
			heap.Fix(&e.runs, 0)
			continue
		}
		ended = append(ended, heap.Pop(&e.runs).(*run).request)
	}
	e.version++
	return begun, ended
}

func (e *engine) serves(model string) bool {
	_, held := e.models[model]
	return held && model != e.dropping
}

// runsModel reports whether a request for the model is running.
func (e *engine) runsModel(model string) bool {
	return slices.ContainsFunc(e.runs, func(r *run) bool { return r.request.model == model })
}

// loadTime returns how long a load takes, and whether from the weight store.
func (e *engine) loadTime(model string) (time.Duration, bool) {
	switch {
	case slices.Contains(e.inMemory, model):
		return hostLoad, false
	case slices.Contains(e.onDisk, model):
		return e.diskLoad, false
	}
	return storeLoad, true
}

// keepCopies notes that a load has left copies.
func (e *engine) keepCopies(model string) {
	e.inMemory = newest(e.inMemory, model, hostCopies)
	e.onDisk = newest(e.onDisk, model, diskCopies)
}

func newest(copies []string, model string, most int) []string {
	copies = slices.DeleteFunc(copies, func(m string) bool { return m == model })
	copies = slices.Insert(copies, 0, model)
	return copies[:min(len(copies), most)]
}

// plannable returns the engine as modelplan sees it.
func (e *engine) plannable(lastUsed func(string) time.Time) modelplan.Server {
	s := modelplan.Server{
		ID: e.id, MemoryMB: memoryMB, Busy: e.busy, Loading: e.loading, FromStore: e.fromStore,
		InMemory: setOf(e.inMemory), OnDisk: setOf(e.onDisk),
	}
	names := make([]string, 0, len(e.models))
	for model := range e.models {
		names = append(names, model)
	}
	slices.Sort(names)
	for _, model := range names {
		s.Models = append(s.Models, modelplan.Held{Model: model, Since: clock(e.models[model]), LastUsed: lastUsed(model)})
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
