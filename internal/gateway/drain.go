package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/internal/problem"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
)

// The states of a gateway, in their order.
const (
	stateServing int32 = iota
	// stateLeaving: readiness fails, requests are still taken.
	stateLeaving
	// stateStopped: new requests are refused.
	stateStopped
)

// drainPoll is how often a draining gateway looks whether it is idle.
const drainPoll = 10 * time.Millisecond

func (g *Gateway) stopped() bool { return g.state.Load() == stateStopped }

// Ready reports whether the gateway wants new requests.
func (g *Gateway) Ready() bool { return g.state.Load() == stateServing && g.lacks() == nil }

// lacks is what the instance still lacks before it can take requests.
func (g *Gateway) lacks() error {
	if g.deps.Ready == nil {
		return nil
	}
	return g.deps.Ready()
}

func (g *Gateway) serveLive(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := g.lacks(); err != nil {
		_ = problem.New(problem.NotReady, err.Error()).Write(w)
		return
	}
	if !g.Ready() {
		// A probe isn't a request of a caller and has no ending.
		_ = problem.New(problem.Stopping, "the instance is stopping").Write(w)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// DrainReport says what a shutdown left unfinished.
type DrainReport struct {
	// Cut is the number of requests still in progress at the bound.
	Cut int64
	// Took is the whole time of draining.
	Took time.Duration
}

// Drain ends the work of the gateway: readiness fails at once, requests that
// still arrive are served for Config.LateArrivals, and those in progress end. It
// returns when none is left, or when ctx ends; then it reports how many requests
// were cut. After Drain the gateway takes none.
func (g *Gateway) Drain(ctx context.Context) DrainReport {
	start := g.now()
	g.state.CompareAndSwap(stateServing, stateLeaving)
	pause.For(ctx, g.config.LateArrivals)
	g.state.Store(stateStopped)
	for g.inProgress.Load() > 0 && pause.For(ctx, drainPoll) {
	}
	report := DrainReport{Cut: g.inProgress.Load(), Took: g.now().Sub(start)}
	g.stop()
	if report.Cut > 0 {
		g.deps.Logger.Warn().Str("event", "drain").Int64("cut", report.Cut).Dur("took", report.Took).Msg("")
	}
	return report
}
