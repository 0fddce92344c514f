package crashcause

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
)

const (
	// decideDelay is the time for which evidence is collected before a decision.
	decideDelay = 20 * time.Millisecond
	// askInterval is the interval at which the other instances are asked for answers.
	askInterval = 100 * time.Millisecond
)

// Transport reaches the other instances.
type Transport interface {
	// Tell sends evidence to all other instances, in the background.
	Tell(e Evidence)
	// Ask returns the replies of the other instances that reply in time.
	Ask(ctx context.Context, questions []Question) []Reply
}

// Watcher decides with a Finder which traits are blocked, whenever servers crash. It is safe for
// concurrent use.
type Watcher struct {
	finder    *Finder
	transport Transport
	onBlock   atomic.Pointer[func(Block)]
	crashed   chan struct{}
}

// NewWatcher returns a Watcher, which Run starts.
func NewWatcher(transport Transport) *Watcher {
	return &Watcher{finder: NewFinder(), transport: transport, crashed: make(chan struct{}, 1)}
}

// OnBlock sets the function that is called for each trait that becomes blocked.
func (w *Watcher) OnBlock(blocked func(Block)) { w.onBlock.Store(&blocked) }

// Blocked returns the trait of the request that crashes servers, and false if it has none.
func (w *Watcher) Blocked(r Request) (string, bool) { return w.finder.Blocked(r, time.Now()) }

// Answered records that a server has begun to answer a request.
func (w *Watcher) Answered(r Request) { w.tell(w.finder.Answered(r, time.Now())) }

// Crashed records a crash that this instance has seen.
func (w *Watcher) Crashed(c Crash) {
	w.finder.Crashed(c, time.Now())
	w.tell(Evidence{Crashes: []Crash{c}})
	w.signal()
}

// Merge adds the evidence of another instance.
func (w *Watcher) Merge(e Evidence) {
	blocks, tell := w.finder.Merge(e, time.Now())
	w.notify(blocks)
	w.tell(tell)
	if len(e.Crashes) > 0 {
		w.signal()
	}
}

// Evidence returns all that this instance knows, for one that has just started.
func (w *Watcher) Evidence() Evidence { return w.finder.Evidence(time.Now()) }

// Reply replies to the questions of another instance.
func (w *Watcher) Reply(questions []Question) []Reply { return w.finder.Reply(questions, time.Now()) }

// Run decides after each crash until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-w.crashed:
		}
		pause.For(ctx, decideDelay)
		var asked time.Time
		for questions := w.decide(); len(questions) > 0 && ctx.Err() == nil; questions = w.decide() {
			pause.For(ctx, askInterval-time.Since(asked))
			asked = time.Now()
			replies := w.transport.Ask(ctx, questions)
			w.finder.Hear(questions, replies, time.Now())
		}
	}
}

// decide blocks traits, and returns what the other instances are to be asked.
func (w *Watcher) decide() []Question {
	blocks, questions := w.finder.Decide(time.Now())
	w.notify(blocks)
	w.tell(Evidence{Blocks: blocks})
	return questions
}

func (w *Watcher) notify(blocks []Block) {
	onBlock := w.onBlock.Load()
	if onBlock == nil {
		return
	}
	for _, b := range blocks {
		(*onBlock)(b)
	}
}

func (w *Watcher) tell(e Evidence) {
	if !e.Empty() {
		w.transport.Tell(e)
	}
}

func (w *Watcher) signal() {
	select {
	case w.crashed <- struct{}{}:
	default:
	}
}
