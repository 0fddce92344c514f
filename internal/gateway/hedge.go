package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// hedger is an Attempt that knows how slow its server may be.
type hedger interface {
	// HedgeAfter returns how long to wait for the first byte before a second
	// attempt starts beside this one; false if there should be none.
	HedgeAfter(remaining time.Duration) (time.Duration, bool)
}

// sent is one attempt whose request is on its way, and what came of it.
type sent struct {
	place    *place
	cancel   context.CancelFunc
	response *http.Response
	err      error
}

// drop ends an attempt that has lost against another.
func (s *sent) drop() {
	s.cancel()
	if s.response != nil {
		_ = s.response.Body.Close()
	}
	s.place.release(OutcomeCanceled)
}

// sendFrom is send that gives the first place back if it panics.
func (g *Gateway) sendFrom(ctx context.Context, c *Call, first *place) *sent {
	returned := false
	defer func() {
		if !returned {
			first.release(OutcomeCanceled)
		}
	}()
	s := g.send(ctx, c, first)
	returned = true
	return s
}

// send sends the request to the attempt's server. Work that may be hedged is sent
// to a second server as well if the first byte takes too long; the first answer
// to begin counts, and the other attempt is cancelled. cancel must be called once
// the answer has been read.
func (g *Gateway) send(ctx context.Context, c *Call, first *place) (won *sent) {
	delay, hedged := g.hedgeAfter(c, first)
	if !hedged {
		return g.do(ctx, c, first)
	}
	answers := make(chan *sent, 2)
	go func() { answers <- g.doSafely(ctx, c, first) }()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case s := <-answers:
		return s
	case <-timer.C:
	}
	second := g.hedge(c, first)
	if second == nil {
		return <-answers
	}
	go func() { answers <- g.doSafely(ctx, c, second) }()
	return firstToAnswer(answers)
}

// firstToAnswer returns the attempt whose answer begins first, or the last one if
// both fail.
func firstToAnswer(answers <-chan *sent) *sent {
	s := <-answers
	if s.err == nil {
		go func() { (<-answers).drop() }()
		return s
	}
	other := <-answers
	s.cancel()
	s.place.release(OutcomeReset)
	return other
}

func (g *Gateway) hedgeAfter(c *Call, first *place) (time.Duration, bool) {
	h, ok := first.attempt.(hedger)
	if !ok || !c.class.Hedge || !c.repeatable || c.attempts > 0 {
		return 0, false
	}
	return h.HedgeAfter(c.deadline.Sub(g.now()))
}

// hedge takes a place on another server, if the retry budget and the servers have
// one.
func (g *Gateway) hedge(c *Call, first *place) *place {
	query := c.query([]port.ServerID{first.attempt.Server().ID})
	query.Retry = true
	attempt, err := g.deps.Router.Pick(g.now(), query)
	if err != nil {
		return nil
	}
	g.hedges.Add(1)
	return &place{attempt: attempt, g: g, key: c.key(), started: g.now()}
}

// doSafely is do on a goroutine of its own, where a panic would end the process.
func (g *Gateway) doSafely(ctx context.Context, c *Call, p *place) (s *sent) {
	defer func() {
		if value := recover(); value != nil {
			g.deps.Logger.Error().Str("trace_id", c.traceID).Any("panic", value).Msg("panic")
			s = &sent{place: p, cancel: func() {}, err: errors.Wrap(port.ErrUnknownOutcome, "panic")}
		}
	}()
	return g.do(ctx, c, p)
}

// do sends the request to one server and returns when its answer begins.
func (g *Gateway) do(ctx context.Context, c *Call, p *place) *sent {
	ctx, cancel := context.WithCancel(ctx)
	s := &sent{place: p, cancel: cancel}
	server := p.attempt.Server()
	ctx, span := g.startSpan(ctx, "send", attribute.String("server", string(server.ID)))
	defer span.End()
	request, err := g.outbound(ctx, c, server)
	if err != nil {
		s.err = errUnsendable
		return s
	}
	s.response, s.err = g.deps.Backend.Do(ctx, server, request) //nolint:bodyclose // by drop, or by try
	if s.err == nil {
		p.firstByte = g.now().Sub(p.started)
	}
	return s
}
