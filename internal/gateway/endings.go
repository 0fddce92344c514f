package gateway

import (
	"net/http"
	"sync/atomic"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/codes"

	"github.com/cyclamenhoist/cyclamenhoist/internal/problem"
)

// endings counts the requests by their ending.
type endings struct {
	accepted, answered, refused, unknown atomic.Int64
}

// Endings is a snapshot of the request counters. Whenever no request starts or
// ends, Accepted is the sum of the other fields.
type Endings struct {
	Accepted, Answered, Refused, Unknown, InProgress int64
}

// Balanced reports whether every accepted request either has exactly one ending
// or is in flight.
func (e Endings) Balanced() bool {
	return e.InProgress >= 0 && e.Accepted == e.Answered+e.Refused+e.Unknown+e.InProgress
}

// Endings returns the request counters since the start of the gateway.
func (g *Gateway) Endings() Endings {
	e := Endings{
		Answered: g.endings.answered.Load(),
		Refused:  g.endings.refused.Load(),
		Unknown:  g.endings.unknown.Load(),
	}
	e.InProgress = g.inProgress.Load()
	e.Accepted = g.endings.accepted.Load()
	return e
}

// finishCall ends a call: as answered if err is nil, else with the problem of
// err. It has no effect on a call that has already ended.
func (g *Gateway) finishCall(c *Call, err error) {
	if c.ended {
		return
	}
	c.ended = true
	defer g.inProgress.Add(-1)
	defer g.calls.remove(c)
	p := g.problemOf(c, err)
	g.countEnding(c, p)
	g.logEnding(c, p)
	if p == nil {
		return
	}
	// Copy the problem, because requests that wait for the same model are
	// refused with a shared one.
	own := *p
	p = &own
	p.TraceID = c.traceID
	c.span.SetStatus(codes.Error, p.Kind.Type())
	switch {
	case c.w.status == 0:
		g.sendProblem(c, p)
	case c.eventStream != nil:
		c.eventStream.fail(p)
	default:
		// Part of an answer has been sent. Only a broken connection tells the
		// caller that the answer is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// problemOf returns the problem of err. It never reports a request that may
// have run as not run.
func (g *Gateway) problemOf(c *Call, err error) *problem.Problem {
	if err == nil {
		return nil
	}
	var f *failure
	if errors.As(err, &f) {
		err = f.problem
	}
	p, ok := problem.As(err)
	if !ok {
		p = problem.New(problem.Internal, "the instance failed")
	}
	if c.possiblyRan && p.Kind.Ran() == problem.NotRun {
		p = problem.New(problem.ServerFailed, p.Detail)
	}
	if c.unclaimed() && isTransient(p) {
		// An earlier request with the same key may have run, whatever happened
		// to this one.
		p = problem.New(problem.IdentityUnavailable, p.Detail).WithRetryAfter(p.RetryAfter)
	}
	return p
}

// unclaimed reports whether the call has an identity that it hasn't claimed.
func (c *Call) unclaimed() bool {
	return c.r.Header.Get(HeaderIdempotencyKey) != "" && !c.repeatable && c.record == nil
}

// isTransient reports whether the same request can succeed later.
func isTransient(p *problem.Problem) bool {
	status := p.Kind.Status()
	return p.Kind.Ran() == problem.NotRun && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable)
}

func (g *Gateway) countEnding(c *Call, p *problem.Problem) {
	switch {
	case p == nil:
		g.endings.answered.Add(1)
		g.durationMean.observe(g.now().Sub(c.arrived))
	case p.Kind.Ran() == problem.NotRun:
		g.endings.refused.Add(1)
	default:
		g.endings.unknown.Add(1)
	}
}

func (g *Gateway) sendProblem(c *Call, p *problem.Problem) {
	clear(c.w.Header())
	if p.Kind == problem.BodyTooLarge || p.Kind == problem.BodyTimeout {
		// The rest of the body won't be read, so the connection can't be
		// reused.
		c.w.Header().Set("Connection", "close")
	}
	_ = c.w.control.SetWriteDeadline(g.now().Add(g.config.WriteTimeout))
	// A failed write means that the caller has disconnected.
	_ = p.Write(c.w)
}

func (g *Gateway) logEnding(c *Call, p *problem.Problem) {
	entry := g.deps.Logger.Info()
	if entry == nil {
		return
	}
	ending, kind := "answered", ""
	if p != nil {
		kind = p.Kind.Type()
		ending = "unknown"
		if p.Kind.Ran() == problem.NotRun {
			ending = "refused"
		}
	}
	if c.class != nil {
		entry = entry.Str("class", c.class.Name)
	}
	entry.Str("event", "request").
		Str("trace_id", c.traceID).
		Str("ending", ending).
		Str("problem", kind).
		Str("caller", c.caller).
		Str("model", string(c.model)).
		Str("service", c.service).
		Str("server", string(c.server)).
		Int("attempts", c.attempts).
		Int("status", c.w.status).
		Dur("took", g.now().Sub(c.arrived)).
		Msg("")
}
