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

// prefixBytes is how much of a body counts as the beginning of its prompt.
const prefixBytes = 1024

func prefixHash(body []byte) uint64 {
	if len(body) == 0 {
		return 0
	}
	return xxhash.Sum64(body[:min(len(body), prefixBytes)])
}

func (c *Call) key() queue.Key {
	return queue.Key{Service: c.service, Model: c.model}
}

func (c *Call) query(exclude []port.ServerID) PickQuery {
	return PickQuery{
		Service:    c.service,
		Model:      c.model,
		PrefixHash: prefixHash(c.body),
		Exclude:    exclude,
		Retry:      c.attempts > 0,
		Proven:     !c.mayRun,
	}
}

// acquire returns a place on a backend server. A first attempt waits for the
// model to become ready, or for room, until the time to start is over. It
// doesn't overtake those that wait already.
func (g *Gateway) acquire(ctx context.Context, c *Call, exclude []port.ServerID) (Attempt, error) {
	reason := g.reason(c.key())
	waiting, _ := g.queues.Waiting(c.key())
	if waiting == 0 || len(exclude) > 0 {
		attempt, err := g.deps.Router.Pick(g.now(), c.query(exclude))
		if err == nil {
			return attempt, nil
		}
		if c.mayRun || errors.Is(err, ErrNoBudget) {
			return nil, errors.Wrap(err, "pick again")
		}
		reason = err
	}
	ctx, span := g.startSpan(ctx, "wait")
	defer span.End()
	began := g.now()
	attempt, err := g.wait(ctx, c, reason)
	if err == nil {
		tellWait(c.w.Header(), g.now().Sub(began), errors.Is(reason, ErrNoReplica))
	}
	return attempt, err
}

// The metrics of the Server-Timing header: how long the request waited for its
// model to be loaded, or for room.
const (
	timingCold  = "cold"
	timingQueue = "queue"
)

func tellWait(h http.Header, waited time.Duration, cold bool) {
	name := timingQueue
	if cold {
		name = timingCold
	}
	h.Set("Server-Timing", fmt.Sprintf("%s;dur=%.1f", name, float64(waited.Microseconds())/1000))
}

// wait is one request's time in the queue of its model.
func (g *Gateway) wait(ctx context.Context, c *Call, reason error) (Attempt, error) {
	key := c.key()
	ticket, first, err := g.queues.Enter(key, queue.Request{
		Class:    c.class.Name,
		Caller:   c.caller,
		Weight:   1 << c.class.Priority,
		Deadline: c.startBy,
		Bytes:    int64(len(c.body)),
	})
	if err != nil {
		return nil, g.refusal(key, err)
	}
	if first {
		g.watch(key, c.class.Name, reason)
	}
	// The place in the queue may have come free between the pick and Enter.
	g.queues.Kick(key)
	query := c.query(nil)
	// A retry was held to its budget when it was first looked for; looking again
	// is not another.
	query.Retry = false
	timer := time.NewTimer(c.startBy.Sub(g.now()))
	defer timer.Stop()
	for {
		select {
		case <-ticket.Signal():
		case <-ctx.Done():
			g.queues.Leave(key, ticket)
			return nil, problem.New(problem.Canceled, "the caller went away while the request waited")
		case <-timer.C:
			return nil, g.waitedOut(key, ticket, reason)
		}
		if err := g.queues.Refused(key, ticket); err != nil {
			return nil, g.refusal(key, err)
		}
		var attempt Attempt
		attempt, reason = g.deps.Router.Pick(g.now(), query)
		if reason == nil {
			return g.start(key, ticket, attempt)
		}
		g.noteReason(key, reason)
	}
}

// start takes the request out of the queue with its place on a server. If it
// was refused meanwhile, the place goes to somebody else.
func (g *Gateway) start(key queue.Key, ticket *queue.Ticket, attempt Attempt) (Attempt, error) {
	if g.queues.Serve(key, ticket) {
		return attempt, nil
	}
	err := g.queues.Refused(key, ticket)
	attempt.Done(g.now(), Outcome{Kind: OutcomeCanceled})
	g.queues.Kick(key)
	return nil, g.refusal(key, err)
}

func (g *Gateway) waitedOut(key queue.Key, ticket *queue.Ticket, reason error) error {
	if !g.queues.Leave(key, ticket) {
		return g.refusal(key, g.queues.Refused(key, ticket))
	}
	if errors.Is(reason, ErrNoCapacity) {
		return g.noCapacity(key, reason)
	}
	return problem.New(problem.WaitedTooLong, "no backend server became ready in time").After(g.retryAfter(key))
}

func (g *Gateway) noCapacity(key queue.Key, reason error) *problem.Problem {
	p := problem.New(problem.NoCapacity, "every backend server is at its limit").After(g.retryAfter(key))
	var busy *CapacityError
	if errors.As(reason, &busy) && busy.RetryAfter > 0 {
		p.RetryAfter = busy.RetryAfter
	}
	return p
}

// refusal turns the queue's reason into the caller's.
func (g *Gateway) refusal(key queue.Key, err error) error {
	if p, ok := problem.As(err); ok {
		return p
	}
	var unattainable *queue.UnattainableError
	if errors.As(err, &unattainable) {
		return problem.New(problem.DeadlineUnattainable, "the model won't be ready before the deadline").
			After(max(unattainable.ReadyAt.Sub(g.now()), minRetryAfter))
	}
	return problem.New(problem.Overloaded, "too many requests are waiting").After(g.retryAfter(key))
}

// retryAfter is the time to the estimated readiness of the model, or else the
// mean time that a request holds its place.
func (g *Gateway) retryAfter(key queue.Key) time.Duration {
	if readyIn := g.queues.ReadyAt(key).Sub(g.now()); readyIn > 0 {
		return readyIn
	}
	return g.pace.retryAfter()
}
