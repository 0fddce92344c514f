package gateway

import (
	"net/http"
	"sync/atomic"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/codes"

	"github.com/cyclamenhoist/cyclamenhoist/internal/problem"
)

// endings counts what became of the requests.
type endings struct {
	accepted, answered, refused, unknown atomic.Int64
}

// Endings is a reading of the counters. While nothing changes, Accepted is the
// sum of the others.
type Endings struct {
	Accepted, Answered, Refused, Unknown, InProgress int64
}

// Balanced reports whether every request accepted has exactly one ending or is
// in progress.
func (e Endings) Balanced() bool {
	return e.InProgress >= 0 && e.Accepted == e.Answered+e.Refused+e.Unknown+e.InProgress
}

// Endings returns the counters of requests since the start.
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

// end brings a call to its ending: answered if err is nil.
func (g *Gateway) end(c *Call, err error) {
	if c.ended {
		return
	}
	c.ended = true
	defer g.inProgress.Add(-1)
	p := g.problemOf(c, err)
	g.count(c, p)
	g.logEnding(c, p)
	if p == nil {
		return
	}
	// Requests that wait for one model are refused with one problem.
	own := *p
	p = &own
	p.TraceID = c.traceID
	c.span.SetStatus(codes.Error, p.Kind.Type())
	switch {
	case c.w.status == 0:
		g.sendProblem(c, p)
	case c.events != nil:
		c.events.fail(p)
	default:
		// Part of a whole answer is out. Only a broken connection tells the
		// caller that it isn't whole.
		panic(http.ErrAbortHandler)
	}
}

// problemOf makes sure that nothing which may have run is called not run.
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
	if c.mayRun && p.Kind.Ran() == problem.NotRun {
		p = problem.New(problem.ServerFailed, p.Detail)
	}
	if c.unclaimed() && isTransient(p) {
		// An earlier request with the key may have run, whatever became of this
		// one.
		p = problem.New(problem.IdentityUnavailable, p.Detail).After(p.RetryAfter)
	}
	return p
}

// unclaimed reports whether the call has an identity that it hasn't got the right
// to run.
func (c *Call) unclaimed() bool {
	return c.r.Header.Get(HeaderIdempotencyKey) != "" && !c.repeatable && c.record == nil
}

// isTransient reports whether the same request may be taken later.
func isTransient(p *problem.Problem) bool {
	status := p.Kind.Status()
	return p.Kind.Ran() == problem.NotRun && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable)
}

func (g *Gateway) count(c *Call, p *problem.Problem) {
	switch {
	case p == nil:
		g.endings.answered.Add(1)
		g.pace.observe(g.now().Sub(c.arrived))
	case p.Kind.Ran() == problem.NotRun:
		g.endings.refused.Add(1)
	default:
		g.endings.unknown.Add(1)
	}
}

func (g *Gateway) sendProblem(c *Call, p *problem.Problem) {
	clear(c.w.Header())
	if p.Kind == problem.BodyTooLarge || p.Kind == problem.BodyTimeout {
		// The rest of the body isn't read.
		c.w.Header().Set("Connection", "close")
	}
	_ = c.w.control.SetWriteDeadline(g.now().Add(g.config.WriteTimeout))
	// A caller that can't be told has gone.
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
