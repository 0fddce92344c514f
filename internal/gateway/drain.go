package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/internal/problem"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
)

// The states of a gateway, in the order in which it enters them.
const (
	stateServing int32 = iota
	// stateDraining means that the readiness probe fails and new requests are
	// still accepted.
	stateDraining
	// stateStopped means that new requests are refused.
	stateStopped
)

// drainPollInterval is the interval at which a draining gateway checks whether
// requests are in flight.
const drainPollInterval = 10 * time.Millisecond

// refusalTime bounds the time for refusing the requests that wait for a server
// at the end of a drain.
const refusalTime = 100 * time.Millisecond

func (g *Gateway) stopped() bool { return g.state.Load() == stateStopped }

// Ready reports whether the gateway should receive new requests.
func (g *Gateway) Ready() bool { return g.state.Load() == stateServing && g.readinessError() == nil }

// readinessError tells why the instance can't accept requests yet, or returns
// nil.
func (g *Gateway) readinessError() error {
	if g.deps.Ready == nil {
		return nil
	}
	return g.deps.Ready()
}

func (g *Gateway) serveLive(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := g.readinessError(); err != nil {
		_ = problem.New(problem.NotReady, err.Error()).Write(w)
		return
	}
	if !g.Ready() {
		// A probe isn't a caller's request, so no ending is recorded.
		_ = problem.New(problem.Stopping, "the instance is stopping").Write(w)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// DrainReport is the result of Drain.
type DrainReport struct {
	// Unfinished is the number of requests that were still in flight when the
	// time for draining was over.
	Unfinished int64
	// Duration is the duration of the drain.
	Duration time.Duration
}

// Drain shuts the gateway down. The readiness probe fails at once, requests
// that arrive within Config.DrainDelay are still served, and then new
// requests are refused while the in-flight ones finish. Drain returns when no
// request is in flight or when ctx ends. In the latter case the requests that
// still wait for a server are refused, and the report counts those that are cut
// off.
func (g *Gateway) Drain(ctx context.Context) DrainReport {
	start := g.now()
	g.state.CompareAndSwap(stateServing, stateDraining)
	pause.For(ctx, g.config.DrainDelay)
	g.state.Store(stateStopped)
	for g.inProgress.Load() > 0 && pause.For(ctx, drainPollInterval) {
	}
	running := g.inProgress.Load() - g.queues.Stats().Waiting
	g.stop()
	refused, cancel := context.WithTimeout(context.WithoutCancel(ctx), refusalTime)
	defer cancel()
	for g.inProgress.Load() > running && pause.For(refused, drainPollInterval) {
	}
	report := DrainReport{Unfinished: g.inProgress.Load(), Duration: g.now().Sub(start)}
	if report.Unfinished > 0 {
		g.deps.Logger.Warn().Str("event", "drain").Int64("cut", report.Unfinished).Dur("took", report.Duration).Msg("")
		g.logCut()
	}
	return report
}
