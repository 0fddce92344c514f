package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/internal/problem"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/queue"
)

const (
	// kickInterval is how often the first waiter looks for room that another
	// instance gave back. Room given back here is noticed at once.
	kickInterval = 20 * time.Millisecond
	// wakeTimeout bounds one question to the deciding instance.
	wakeTimeout = 2 * time.Second
	// minAskInterval and maxAskInterval bound how often a wake-up that was
	// accepted is asked about again.
	minAskInterval = 250 * time.Millisecond
	maxAskInterval = 5 * time.Second
)

// watcher follows one queue as long as requests wait in it. However many wait,
// only the watcher asks for the model, one question at a time.
type watcher struct {
	g     *Gateway
	key   queue.Key
	class string
	// absent: the last look found no ready replica, rather than no room.
	absent atomic.Bool
	// The rest belongs to run.
	retry   *backoff.ExponentialBackOff
	asking  bool
	askAt   time.Time
	answers chan wakeAnswer
}

type wakeAnswer struct {
	reply WakeReply
	err   error
}

func (g *Gateway) watch(key queue.Key, class string, reason error) {
	w := &watcher{
		g:       g,
		key:     key,
		class:   class,
		retry:   backoff.NewExponentialBackOff(),
		answers: make(chan wakeAnswer, 1),
	}
	w.retry.InitialInterval = minAskInterval
	w.retry.MaxInterval = maxAskInterval
	w.absent.Store(errors.Is(reason, ErrNoReplica))
	g.watchers.Store(key, w)
	g.background.Go(w.run)
}

// noteReason tells the key's watcher what the last look for a server found.
func (g *Gateway) noteReason(key queue.Key, reason error) {
	if value, ok := g.watchers.Load(key); ok {
		value.(*watcher).absent.Store(errors.Is(reason, ErrNoReplica))
	}
}

// reason is what the last look for a server found, for a request that joins those
// who wait.
func (g *Gateway) reason(key queue.Key) error {
	if value, ok := g.watchers.Load(key); ok && value.(*watcher).absent.Load() {
		return ErrNoReplica
	}
	return ErrNoCapacity
}

func (w *watcher) run() {
	defer w.g.watchers.CompareAndDelete(w.key, w)
	ctx, cancel := context.WithCancel(w.g.running)
	defer cancel()
	ticker := time.NewTicker(kickInterval)
	defer ticker.Stop()
	for !w.g.queues.Unwatch(w.key) {
		w.ask(ctx)
		select {
		case <-w.ready():
			w.g.queues.SetReadyAt(w.key, time.Time{})
			w.g.queues.Kick(w.key)
			// Ready stays readable while the model is routable.
			<-ticker.C
		case answer := <-w.answers:
			w.asking = false
			w.act(answer)
		case <-ticker.C:
			w.g.queues.Kick(w.key)
		}
	}
}

func (w *watcher) ready() <-chan struct{} {
	if w.key.Model == "" {
		return nil
	}
	return w.g.deps.Waker.Ready(w.key.Model)
}

// ask puts the question to the deciding instance when it is time to. It doesn't
// wait for the answer: the model may become ready first.
func (w *watcher) ask(ctx context.Context) {
	if w.key.Model == "" || w.asking || w.g.now().Before(w.askAt) {
		return
	}
	waiting, latest := w.g.queues.Waiting(w.key)
	if waiting == 0 {
		return
	}
	w.asking = true
	query := WakeQuery{
		Model:    w.key.Model,
		Class:    w.class,
		Patience: latest.Sub(w.g.now()),
		Waiting:  waiting,
	}
	w.g.background.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, wakeTimeout)
		defer cancel()
		ctx, span := w.g.startSpan(ctx, "wake")
		defer span.End()
		reply, err := w.g.deps.Waker.Wake(ctx, query)
		w.answers <- wakeAnswer{reply, err}
	})
}

func (w *watcher) act(answer wakeAnswer) {
	now := w.g.now()
	reply := answer.reply
	switch {
	case answer.err != nil:
		// Whether the question arrived isn't known. The requests wait on, each
		// until its own time is over.
		w.askAt = now.Add(w.retry.NextBackOff())
	case reply.Accepted:
		w.retry.Reset()
		w.askAt = now.Add(min(max(reply.ReadyIn, minAskInterval), maxAskInterval))
		if w.absent.Load() {
			w.g.queues.SetReadyAt(w.key, now.Add(reply.ReadyIn))
		}
	case w.absent.Load():
		refusal := problem.New(problem.WakeRefused, refusalDetail(reply)).After(reply.RetryAfter)
		w.g.queues.RefuseAll(w.key, refusal)
		w.askAt = now.Add(minAskInterval)
	default:
		// The model is loaded and busy, and gets no further replica.
		w.askAt = now.Add(max(reply.RetryAfter, minAskInterval))
	}
}

func refusalDetail(reply WakeReply) string {
	if reply.Detail == "" {
		return reply.Refusal
	}
	return reply.Refusal + ": " + reply.Detail
}
