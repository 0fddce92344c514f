package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// hedger is an Attempt that determines the delay of a hedged attempt.
type hedger interface {
	// HedgeAfter returns the delay without a first byte after which a second
	// attempt starts in parallel. It returns false if there should be no second
	// attempt.
	HedgeAfter(remaining time.Duration) (time.Duration, bool)
}

// sentAttempt is an attempt whose request has been sent, with its result.
type sentAttempt struct {
	reservation *reservation
	cancel      context.CancelFunc
	response    *http.Response
	err         error
}

// discard cancels the slower attempt of two and releases its reservation.
func (s *sentAttempt) discard() {
	s.cancel()
	if s.response != nil {
		_ = s.response.Body.Close()
	}
	s.reservation.release(OutcomeCanceled)
}

// sendReleasingOnPanic calls send and releases the first reservation if send
// panics.
func (g *Gateway) sendReleasingOnPanic(ctx context.Context, c *Call, first *reservation) *sentAttempt {
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

// send sends the request to the server of the first attempt. If the request can
// be hedged and the first byte takes too long, it is also sent to a second
// server. The first answer that begins is used, and the other attempt is
// cancelled. The caller must call cancel on the result once the answer has been
// read.
func (g *Gateway) send(ctx context.Context, c *Call, first *reservation) (won *sentAttempt) {
	delay, hedged := g.hedgeDelay(c, first)
	if !hedged {
		return g.roundTrip(ctx, c, first)
	}
	answers := make(chan *sentAttempt, 2)
	go func() { answers <- g.roundTripRecovered(ctx, c, first) }()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case s := <-answers:
		return s
	case <-timer.C:
	}
	second := g.reserveHedge(c, first)
	if second == nil {
		return <-answers
	}
	go func() { answers <- g.roundTripRecovered(ctx, c, second) }()
	return firstToAnswer(answers)
}

// firstToAnswer returns the attempt whose answer begins first, or the last one
// if both fail.
func firstToAnswer(answers <-chan *sentAttempt) *sentAttempt {
	s := <-answers
	if s.err == nil {
		go func() { (<-answers).discard() }()
		return s
	}
	s.cancel()
	s.reservation.release(OutcomeReset)
	return <-answers
}

func (g *Gateway) hedgeDelay(c *Call, first *reservation) (time.Duration, bool) {
	h, ok := first.attempt.(hedger)
	if !ok || !c.class.Hedge || !c.repeatable || c.attempts > 0 {
		return 0, false
	}
	return h.HedgeAfter(c.deadline.Sub(g.now()))
}

// reserveHedge reserves capacity on another server, or returns nil if the retry
// budget or the servers don't allow it.
func (g *Gateway) reserveHedge(c *Call, first *reservation) *reservation {
	pickQuery := c.pickQuery([]port.ServerID{first.attempt.Server().ID})
	pickQuery.Retry = true
	attempt, err := g.deps.Router.Pick(g.now(), pickQuery)
	if err != nil {
		return nil
	}
	g.hedges.Add(1)
	return &reservation{attempt: attempt, g: g, queueKey: c.queueKey(), started: g.now()}
}

// roundTripRecovered calls roundTrip and recovers from a panic, which would
// otherwise end the process because it runs on a goroutine of its own.
func (g *Gateway) roundTripRecovered(ctx context.Context, c *Call, r *reservation) (s *sentAttempt) {
	defer func() {
		if value := recover(); value != nil {
			g.deps.Logger.Error().Str("trace_id", c.traceID).Any("panic", value).Msg("panic")
			s = &sentAttempt{reservation: r, cancel: func() {}, err: errors.Wrap(port.ErrUnknownOutcome, "panic")}
		}
	}()
	return g.roundTrip(ctx, c, r)
}

// roundTrip sends the request to one server and returns when its answer begins.
func (g *Gateway) roundTrip(ctx context.Context, c *Call, r *reservation) *sentAttempt {
	ctx, cancel := context.WithCancel(ctx)
	s := &sentAttempt{reservation: r, cancel: cancel}
	server := r.attempt.Server()
	ctx, span := g.startSpan(ctx, "send", attribute.String("server", string(server.ID)))
	defer span.End()
	request, err := g.outboundRequest(ctx, c, server)
	if err != nil {
		s.err = errUnsendable
		return s
	}
	s.response, s.err = g.deps.Backend.Do(ctx, server, request) //nolint:bodyclose // by discard, or by tryServer
	if s.err == nil {
		r.firstByte = g.now().Sub(r.started)
	}
	return s
}
