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
	// capacityPollInterval is the interval at which the first queued request
	// checks for capacity that other instances have freed. Capacity that
	// this instance frees is noticed at once.
	capacityPollInterval = 20 * time.Millisecond
	// wakeTimeout limits one wake request to the instance that holds the lease.
	wakeTimeout = 2 * time.Second
	// minWakeInterval and maxWakeInterval limit the interval at which an
	// accepted wake request is repeated.
	minWakeInterval = 250 * time.Millisecond
	maxWakeInterval = 5 * time.Second
)

// watcher polls on behalf of one queue while requests wait in it. However many
// requests wait, only the watcher sends wake requests for the model, one at a
// time.
type watcher struct {
	g     *Gateway
	key   queue.Key
	class string
	// noReplica is set if the last pick failed for lack of a ready replica, and
	// cleared if it failed for lack of capacity.
	noReplica atomic.Bool
	// The fields below are used only by the goroutine of run.
	retry           *backoff.ExponentialBackOff
	requestInFlight bool
	nextRequest     time.Time
	results         chan wakeResult
}

type wakeResult struct {
	reply WakeReply
	err   error
}

func (g *Gateway) startWatcher(key queue.Key, class string, reason error) {
	w := &watcher{
		g:       g,
		key:     key,
		class:   class,
		retry:   backoff.NewExponentialBackOff(),
		results: make(chan wakeResult, 1),
	}
	w.retry.InitialInterval = minWakeInterval
	w.retry.MaxInterval = maxWakeInterval
	w.noReplica.Store(errors.Is(reason, ErrNoReplica))
	g.watchers.Store(key, w)
	g.background.Go(w.run)
}

// recordReason records for the key's watcher why the last pick failed.
func (g *Gateway) recordReason(key queue.Key, reason error) {
	if value, ok := g.watchers.Load(key); ok {
		value.(*watcher).noReplica.Store(errors.Is(reason, ErrNoReplica))
	}
}

// lastReason returns the error of the last pick for the queue, for a request
// that is about to join it.
func (g *Gateway) lastReason(key queue.Key) error {
	if value, ok := g.watchers.Load(key); ok && value.(*watcher).noReplica.Load() {
		return ErrNoReplica
	}
	return ErrNoCapacity
}

func (w *watcher) run() {
	defer w.g.watchers.CompareAndDelete(w.key, w)
	ctx, cancel := context.WithCancel(w.g.runContext)
	defer cancel()
	ticker := time.NewTicker(capacityPollInterval)
	defer ticker.Stop()
	for !w.g.queues.Unwatch(w.key) {
		w.requestWake(ctx)
		select {
		case <-w.ready():
			w.g.queues.SetReadyAt(w.key, time.Time{})
			w.g.queues.SignalNext(w.key)
			// The channel of Ready stays closed while the model is routable, so
			// limit the rate of this case.
			<-ticker.C
		case answer := <-w.results:
			w.requestInFlight = false
			w.handleResult(answer)
		case <-ticker.C:
			w.g.queues.SignalNext(w.key)
		}
	}
}

func (w *watcher) ready() <-chan struct{} {
	if w.key.Model == "" {
		return nil
	}
	return w.g.deps.Waker.Ready(w.key.Model)
}

// requestWake sends a wake request when the next one is due. It doesn't wait
// for the reply, because the model may become ready first.
func (w *watcher) requestWake(ctx context.Context) {
	if w.key.Model == "" || w.requestInFlight || w.g.now().Before(w.nextRequest) {
		return
	}
	waiting, latest := w.g.queues.Waiting(w.key)
	if waiting == 0 {
		return
	}
	w.requestInFlight = true
	query := WakeQuery{
		Model:   w.key.Model,
		Class:   w.class,
		MaxWait: latest.Sub(w.g.now()),
		Waiting: waiting,
	}
	w.g.background.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, wakeTimeout)
		defer cancel()
		ctx, span := w.g.startSpan(ctx, "wake")
		defer span.End()
		reply, err := w.g.deps.Waker.Wake(ctx, query)
		w.results <- wakeResult{reply, err}
	})
}

func (w *watcher) handleResult(answer wakeResult) {
	now := w.g.now()
	reply := answer.reply
	switch {
	case answer.err != nil:
		// Whether the request arrived is unknown. The requests stay queued,
		// each until its own time to start is over.
		w.nextRequest = now.Add(w.retry.NextBackOff())
	case reply.Accepted:
		w.retry.Reset()
		w.nextRequest = now.Add(min(max(reply.ReadyIn, minWakeInterval), maxWakeInterval))
		if w.noReplica.Load() {
			w.g.queues.SetReadyAt(w.key, now.Add(reply.ReadyIn))
		}
	case w.noReplica.Load():
		refusal := problem.New(problem.WakeRefused, refusalDetail(reply)).WithRetryAfter(reply.RetryAfter)
		w.g.queues.RefuseAll(w.key, refusal)
		w.nextRequest = now.Add(minWakeInterval)
	default:
		// The model is loaded and at capacity, and gets no further replica.
		w.nextRequest = now.Add(max(reply.RetryAfter, minWakeInterval))
	}
}

func refusalDetail(reply WakeReply) string {
	if reply.Detail == "" {
		return reply.Refusal
	}
	return reply.Refusal + ": " + reply.Detail
}
