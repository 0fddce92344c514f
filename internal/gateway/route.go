package gateway

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/internal/problem"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/queue"
)

// prefixBytes is the number of bytes of a body that identify the beginning of
// its prompt.
const prefixBytes = 1024

func prefixHash(body []byte) uint64 {
	if len(body) == 0 {
		return 0
	}
	return xxhash.Sum64(body[:min(len(body), prefixBytes)])
}

func (c *Call) queueKey() queue.Key {
	return queue.Key{Service: c.service, Model: c.model}
}

func (c *Call) pickQuery(exclude []port.ServerID) PickQuery {
	return PickQuery{
		Service:     c.service,
		Model:       c.model,
		PrefixHash:  prefixHash(c.body),
		Exclude:     exclude,
		Retry:       c.attempts > 0,
		NotExecuted: !c.possiblyRan,
	}
}

// acquire reserves capacity on a backend server. The request waits in the queue
// until the model is ready or capacity is free, but no longer than startBy. A
// first attempt doesn't overtake requests that are already queued.
func (g *Gateway) acquire(ctx context.Context, c *Call) (Attempt, error) {
	lastReason := g.lastReason(c.queueKey())
	waiting, _ := g.queues.Waiting(c.queueKey())
	if waiting == 0 || len(c.excluded) > 0 {
		attempt, err := g.deps.Router.Pick(g.now(), c.pickQuery(c.excluded))
		if err == nil {
			return attempt, nil
		}
		if !c.worthWaiting(err) {
			return nil, errors.Wrap(err, "pick again")
		}
		lastReason = err
	}
	ctx, span := g.startSpan(ctx, "wait")
	defer span.End()
	began := g.now()
	attempt, err := g.wait(ctx, c, lastReason)
	if err == nil {
		reportWait(c.w.Header(), g.now().Sub(began), errors.Is(lastReason, ErrNoReplica))
	}
	return attempt, err
}

// worthWaiting reports whether a request for which there is no server at the
// moment waits for one. It doesn't if there is an answer to deliver at once, or
// if it can be refused as not run for lack of budget.
func (c *Call) worthWaiting(reason error) bool {
	return c.held == nil && (c.possiblyRan || !errors.Is(reason, ErrNoBudget))
}

// The metrics of the Server-Timing header. They tell how long the request
// waited for its model to be loaded, or for free capacity.
const (
	timingCold  = "cold"
	timingQueue = "queue"
)

func reportWait(h http.Header, waited time.Duration, cold bool) {
	name := timingQueue
	if cold {
		name = timingCold
	}
	h.Set("Server-Timing", fmt.Sprintf("%s;dur=%.1f", name, float64(waited.Microseconds())/1000))
}

// wait queues the request until a server is available, its time to start is
// over or its caller disconnects.
func (g *Gateway) wait(ctx context.Context, c *Call, reason error) (Attempt, error) {
	queueKey := c.queueKey()
	ticket, first, err := g.queues.Enter(queueKey, queue.Request{
		Class:    c.class.Name,
		Caller:   c.caller,
		Weight:   1 << c.class.Priority,
		Deadline: c.startBy,
		Bytes:    int64(len(c.body)),
	})
	if err != nil {
		return nil, g.refusalProblem(queueKey, err)
	}
	if first {
		g.startWatcher(queueKey, c.class.Name, reason)
	}
	// Capacity may have become free between Pick and Enter.
	g.queues.SignalNext(queueKey)
	timer := time.NewTimer(c.startBy.Sub(g.now()))
	defer timer.Stop()
	for {
		select {
		case <-ticket.Signal():
		case <-ctx.Done():
			g.queues.Withdraw(queueKey, ticket)
			return nil, problem.New(problem.Canceled, "the caller went away while the request waited")
		case <-g.runContext.Done():
			if !g.queues.Withdraw(queueKey, ticket) {
				return nil, g.refusalProblem(queueKey, g.queues.Refused(queueKey, ticket))
			}
			return nil, problem.New(problem.Stopping, "the instance stopped while the request waited").WithRetryAfter(minRetryAfter)
		case <-timer.C:
			return nil, g.waitTimedOut(queueKey, ticket, reason)
		}
		if err := g.queues.Refused(queueKey, ticket); err != nil {
			return nil, g.refusalProblem(queueKey, err)
		}
		var attempt Attempt
		attempt, reason = g.pickWaiting(c)
		if reason == nil {
			return g.dequeue(queueKey, ticket, attempt)
		}
		g.recordReason(queueKey, reason)
	}
}

// pickWaiting selects a server for a request that has waited: one on which it
// hasn't failed, if there is any.
func (g *Gateway) pickWaiting(c *Call) (Attempt, error) {
	attempt, err := g.deps.Router.Pick(g.now(), c.pickQuery(c.excluded))
	if errors.Is(err, ErrNoReplica) && len(c.excluded) > 0 {
		return g.deps.Router.Pick(g.now(), c.pickQuery(nil))
	}
	return attempt, err
}

// dequeue removes the request from the queue once it has capacity on a server.
// If the request was refused in the meantime, the capacity is released for
// another one.
func (g *Gateway) dequeue(key queue.Key, ticket *queue.Ticket, attempt Attempt) (Attempt, error) {
	if g.queues.Serve(key, ticket) {
		return attempt, nil
	}
	err := g.queues.Refused(key, ticket)
	attempt.Done(g.now(), Outcome{Kind: OutcomeUnused})
	g.queues.SignalNext(key)
	return nil, g.refusalProblem(key, err)
}

func (g *Gateway) waitTimedOut(key queue.Key, ticket *queue.Ticket, reason error) error {
	if !g.queues.Withdraw(key, ticket) {
		return g.refusalProblem(key, g.queues.Refused(key, ticket))
	}
	if errors.Is(reason, ErrNoCapacity) {
		return g.noCapacity(key, reason)
	}
	return problem.New(problem.WaitedTooLong, "no backend server became ready in time").WithRetryAfter(g.retryAfter(key))
}

func (g *Gateway) noCapacity(key queue.Key, reason error) *problem.Problem {
	p := problem.New(problem.NoCapacity, "every backend server is at its limit").WithRetryAfter(g.retryAfter(key))
	var busy *CapacityError
	if errors.As(reason, &busy) && busy.RetryAfter > 0 {
		p.RetryAfter = busy.RetryAfter
	}
	return p
}

// refusalProblem converts an error of the queue into a problem for the caller.
func (g *Gateway) refusalProblem(key queue.Key, err error) error {
	if p, ok := problem.As(err); ok {
		return p
	}
	var unattainable *queue.UnattainableError
	if errors.As(err, &unattainable) {
		return problem.New(problem.DeadlineUnattainable, "the model won't be ready before the deadline").
			WithRetryAfter(max(unattainable.ReadyAt.Sub(g.now()), minRetryAfter))
	}
	return problem.New(problem.Overloaded, "too many requests are waiting").WithRetryAfter(g.retryAfter(key))
}

// retryAfter returns the time until the model is estimated to be ready. Without
// an estimate it returns the mean duration of a request.
func (g *Gateway) retryAfter(key queue.Key) time.Duration {
	if readyIn := g.queues.ReadyAt(key).Sub(g.now()); readyIn > 0 {
		return readyIn
	}
	return g.durationMean.retryAfter()
}
