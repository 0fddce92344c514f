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
	// ctx is the context of the attempt, which cancel ends.
	ctx      context.Context
	cancel   context.CancelFunc
	response *http.Response
	err      error
}

func newSentAttempt(ctx context.Context, r *reservation) *sentAttempt {
	s := &sentAttempt{reservation: r}
	s.ctx, s.cancel = context.WithCancel(ctx)
	return s
}

// discard cancels the attempt and releases its reservation.
func (s *sentAttempt) discard(kind OutcomeKind) {
	s.cancel()
	if s.response != nil {
		_ = s.response.Body.Close()
	}
	s.reservation.release(kind)
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
// server. The caller must call cancel on the result once the answer has been
// read.
func (g *Gateway) send(ctx context.Context, c *Call, first *reservation) (won *sentAttempt) {
	delay, hedged := g.hedgeDelay(c, first)
	slow := newSentAttempt(ctx, first)
	if !hedged {
		g.roundTrip(c, slow)
		return slow
	}
	results := make(chan *sentAttempt, 2)
	go func() { results <- g.roundTripRecovered(c, slow) }()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case s := <-results:
		return s
	case <-timer.C:
	}
	second := g.reserveHedge(c, first)
	if second == nil {
		return <-results
	}
	hedge := newSentAttempt(ctx, second)
	go func() { results <- g.roundTripRecovered(c, hedge) }()
	return g.pickResult(c, results, slow, hedge)
}

// pickResult returns the first of two attempts whose answer begins, and cancels
// the other one. It keeps both until then: a failure, or an answer that the
// caller wouldn't get while another server can be tried, ends neither.
func (g *Gateway) pickResult(c *Call, results <-chan *sentAttempt, slow, hedge *sentAttempt) *sentAttempt {
	won, lost := <-results, hedge
	if won == hedge {
		lost = slow
	}
	if won.response != nil && g.rankOf(c, won) != rankAnswer {
		// The answer must not be lost if the other attempt outlasts the deadline.
		g.bufferResult(won)
	}
	if g.rankOf(c, won) == rankAnswer {
		lost.cancel()
		go func() { (<-results).discard(OutcomeCanceled) }()
		return won
	}
	if won.err != nil {
		won.reservation.release(g.outcomeOf(c, won))
	}
	<-results
	if g.rankOf(c, lost) > g.rankOf(c, won) {
		won, lost = lost, won
	}
	c.exclude(lost.reservation.attempt.Server().ID)
	lost.discard(g.outcomeOf(c, lost))
	return won
}

// bufferResult reads an answer into memory. One that breaks off is a failure.
func (g *Gateway) bufferResult(s *sentAttempt) {
	if _, _, err := g.buffer(s.response); err != nil {
		_ = s.response.Body.Close()
		s.response, s.err = nil, errors.Wrap(port.ErrUnknownOutcome, "answer broke off")
	}
}

// resultRank orders the results of two attempts by what they are worth to the
// caller. Of two failures the one that may have been executed counts, because
// the request must not be reported as not run.
type resultRank int

const (
	rankNotExecuted resultRank = iota
	rankUnknown
	rankPutAside
	rankServerError
	rankAnswer
)

func (g *Gateway) rankOf(c *Call, s *sentAttempt) resultRank {
	f := g.failureOf(c, s)
	switch {
	case f != nil && f.notExecuted:
		return rankNotExecuted
	case s.err != nil:
		return rankUnknown
	case f != nil:
		return rankPutAside
	case s.response.StatusCode >= http.StatusInternalServerError:
		return rankServerError
	default:
		return rankAnswer
	}
}

// failureOf returns the failure of an attempt that has no answer for the caller,
// or nil.
func (g *Gateway) failureOf(c *Call, s *sentAttempt) *failure {
	if s.err != nil {
		return g.classifySendError(s.ctx, s.err)
	}
	return g.putAside(c, s.response)
}

func (g *Gateway) outcomeOf(c *Call, s *sentAttempt) OutcomeKind {
	if f := g.failureOf(c, s); f != nil {
		return f.kind
	}
	return statusOutcome(s.response.StatusCode)
}

func (g *Gateway) hedgeDelay(c *Call, first *reservation) (time.Duration, bool) {
	h, ok := first.attempt.(hedger)
	if !ok || !c.class.Hedge || !c.repeatable || c.attempts > 0 || g.config.MaxAttempts < 2 {
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
	c.attempts++
	return &reservation{attempt: attempt, g: g, queueKey: c.queueKey(), started: g.now()}
}

// roundTripRecovered calls roundTrip and recovers from a panic, which would
// otherwise end the process because it runs on a goroutine of its own.
func (g *Gateway) roundTripRecovered(c *Call, s *sentAttempt) *sentAttempt {
	defer func() {
		if value := recover(); value != nil {
			g.deps.Logger.Error().Str("trace_id", c.traceID).Any("panic", value).Msg("panic")
			s.err = errors.Wrap(port.ErrUnknownOutcome, "panic")
		}
	}()
	g.roundTrip(c, s)
	return s
}

// roundTrip sends the request to one server and returns when its answer begins.
func (g *Gateway) roundTrip(c *Call, s *sentAttempt) {
	r := s.reservation
	server := r.attempt.Server()
	c.sentTo.Store(&server.ID)
	ctx, span := g.startSpan(s.ctx, "send", attribute.String("server", string(server.ID)))
	defer span.End()
	request, err := g.outboundRequest(ctx, c, server)
	if err != nil {
		s.err = errUnsendable
		return
	}
	s.response, s.err = g.deps.Backend.Do(ctx, server, request) //nolint:bodyclose // by discard, or by tryServer
	if s.err == nil {
		r.firstByte = g.now().Sub(r.started)
	}
}
