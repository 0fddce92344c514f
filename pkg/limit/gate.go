package limit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// ErrShed says that the request was not let in and did not run. The error is a
// *ShedError.
var ErrShed = errors.New("shed")

// ShedError is ErrShed with an estimate of when to try again.
type ShedError struct {
	RetryAfter time.Duration
}

// Error names the estimate.
func (e *ShedError) Error() string {
	return "shed, retry after " + e.RetryAfter.String()
}

// Is makes the error match ErrShed.
func (*ShedError) Is(target error) bool { return target == ErrShed }

// Gate lets a number of requests run at once; the rest wait in a Queue. While
// nobody waits it takes no lock. It is safe for concurrent use.
type Gate struct {
	limit   atomic.Int64
	running atomic.Int64
	waiting atomic.Int64

	mu    sync.Mutex
	queue *Queue
	// turns tells each waiting item what became of it.
	turns map[*Item]chan error
}

// NewGate returns a gate that lets limit requests run.
func NewGate(limit int64, cfg QueueConfig) *Gate {
	g := &Gate{queue: NewQueue(cfg), turns: make(map[*Item]chan error)}
	g.limit.Store(limit)
	return g
}

// SetLimit changes the limit; a higher one lets waiting requests in at once.
func (g *Gate) SetLimit(now time.Time, limit int64) {
	g.limit.Store(limit)
	g.dispatch(now)
}

// Waiting is the number of requests that wait.
func (g *Gate) Waiting() int64 { return g.waiting.Load() }

// Running is the number of requests that were let in and aren't done.
func (g *Gate) Running() int64 { return g.running.Load() }

// Enter returns once the item may run; Leave must then be called when it is done.
// It returns ErrShed if the item can't run in time, and ctx's error if the caller
// has gone; in both cases the item did not run.
func (g *Gate) Enter(ctx context.Context, now time.Time, it *Item) error {
	if g.waiting.Load() == 0 && g.tryRun() {
		return nil
	}
	turn := g.enqueue(now, it)
	g.dispatch(now)
	latest := time.NewTimer(it.Deadline.Add(-it.Service).Sub(now))
	defer latest.Stop()
	select {
	case err := <-turn:
		return err
	case <-ctx.Done():
		return g.withdraw(it, turn, ctx.Err())
	case <-latest.C:
		return g.withdraw(it, turn, nil)
	}
}

// Leave gives back the place of a request that was let in.
func (g *Gate) Leave(now time.Time) {
	g.running.Add(-1)
	// Enter raises waiting before it looks at running, and here it is the other
	// way round: one of the two sees the other.
	if g.waiting.Load() > 0 {
		g.dispatch(now)
	}
}

func (g *Gate) tryRun() bool {
	for {
		running := g.running.Load()
		if running >= g.limit.Load() {
			return false
		}
		if g.running.CompareAndSwap(running, running+1) {
			return true
		}
	}
}

func (g *Gate) enqueue(now time.Time, it *Item) chan error {
	turn := make(chan error, 1)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.turns[it] = turn
	g.waiting.Add(1)
	for _, s := range g.queue.Offer(now, it) {
		g.shed(s)
	}
	return turn
}

// dispatch lets in as many as there are places.
func (g *Gate) dispatch(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.queue.Len() > 0 && g.tryRun() {
		run, shed := g.queue.Next(now)
		for _, s := range shed {
			g.shed(s)
		}
		if run == nil {
			g.running.Add(-1)
			return
		}
		g.tell(run, nil)
	}
}

// withdraw ends the wait of an item. If its turn came at the same moment, the
// item has a place, which is passed on where the caller has gone.
func (g *Gate) withdraw(it *Item, turn chan error, reason error) error {
	g.mu.Lock()
	if g.queue.Remove(it) {
		err := reason
		if err == nil {
			err = g.shedError(it)
		}
		g.tell(it, err)
	}
	g.mu.Unlock()
	err := <-turn
	if err == nil && reason != nil {
		g.Leave(time.Now())
		return reason
	}
	return err
}

func (g *Gate) shed(it *Item) { g.tell(it, g.shedError(it)) }

func (g *Gate) shedError(it *Item) error {
	return &ShedError{RetryAfter: max(g.queue.Wait(it), leastRetryAfter)}
}

// leastRetryAfter keeps a shed caller from coming back at once.
const leastRetryAfter = 50 * time.Millisecond

func (g *Gate) tell(it *Item, err error) {
	turn := g.turns[it]
	delete(g.turns, it)
	g.waiting.Add(-1)
	turn <- err
}
