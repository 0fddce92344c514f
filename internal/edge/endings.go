package edge

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
)

// endedBy says who ended an attempt.
type endedBy string

const (
	// endedByServer means that the server refused, failed or broke off, or wasn't reached.
	endedByServer endedBy = "server"
	// endedByInstance means that this instance gave up a server for another one.
	endedByInstance endedBy = "instance"
	endedByClient   endedBy = "client"
	endedByDeadline endedBy = "deadline"
	// endedByBlock means that such requests are found to crash servers.
	endedByBlock endedBy = "block"
	// endedByStop means that the process ends.
	endedByStop endedBy = "stop"
)

// interruptedBy returns who ended the request's context.
func (q *request) interruptedBy(ctx context.Context) endedBy {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errBlocked):
		return endedByBlock
	case errors.Is(cause, context.DeadlineExceeded):
		return endedByDeadline
	case q.edge.running.cut.Load():
		return endedByStop
	default:
		return endedByClient
	}
}

// reasonCounters counts requests by the reason for which they ended.
type reasonCounters struct {
	prefix   string
	registry metrics.Registry
}

func (c reasonCounters) count(why reason) {
	name := strings.ReplaceAll(strings.ReplaceAll(string(why), " ", "_"), "'", "")
	metrics.GetOrRegisterCounter(c.prefix+name, c.registry).Inc(1)
}

// running are the requests in progress that have been accepted.
type running struct {
	// cut is true once the end of the process cuts them.
	cut atomic.Bool

	mu       sync.Mutex
	requests map[*request]struct{}
}

func (r *running) add(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[q] = struct{}{}
}

func (r *running) remove(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.requests, q)
}

// maxCutLogged is the number of requests that are named when the end of a process cuts them.
const maxCutLogged = 100

// LogCut logs the requests that the end of the process cuts, the oldest first.
func (e *Edge) LogCut() {
	e.running.cut.Store(true)
	e.running.mu.Lock()
	cut := make([]*request, 0, len(e.running.requests))
	for q := range e.running.requests {
		cut = append(cut, q)
	}
	e.running.mu.Unlock()
	slices.SortFunc(cut, func(a, b *request) int { return a.arrived.Compare(b.arrived) })
	for _, q := range cut[:min(len(cut), maxCutLogged)] {
		entry := e.log.Warn().Str("request", q.head.ID).Str("route", q.route.Name).Str("model", q.model).
			Dur("took", time.Since(q.arrived)).Int64("events", q.forwarded.Load())
		if at := q.at.Load(); at != nil {
			entry = entry.Str("server", string(*at))
		}
		entry.Dur("left", time.Until(q.deadline)).Msg("request_cut")
	}
}
