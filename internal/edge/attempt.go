package edge

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/retry"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

const (
	// firstByteLeast bounds from below how long a repeatable request waits for
	// the start of an answer before it goes to another server.
	firstByteLeast = 400 * time.Millisecond
	// firstByteTargets is that wait in target latencies of the route.
	firstByteTargets = 2
	// firstBytePerRequest is what each request ahead adds to that wait: about the
	// time to read its prompt.
	firstBytePerRequest = 30 * time.Millisecond
	// stallGaps is how many of the route's longest pauses a stream may stand
	// still before it goes on elsewhere.
	stallGaps = 2
	// maxAnswerBytes bounds a buffered answer.
	maxAnswerBytes = 16 << 20
)

// run sends the request until it is answered or must end.
func (q *request) run(ctx context.Context) (outcome, bool) {
	if q.model != "" {
		q.edge.demand.Arrived(q.want())
	}
	for {
		b, out, ok := q.findServer(ctx)
		if !ok {
			return q.truthful(out), false
		}
		if !q.pay() {
			q.edge.release(q.service, b)
			return q.truthful(refused(reasonBudget, spread(time.Second))), false
		}
		fault := q.attempt(ctx, b)
		if fault != retry.FaultNotSent {
			q.sends++
		}
		if fault == retry.FaultNone {
			return outcome{}, true
		}
		q.logFault(b, fault)
		if out, again := q.after(ctx, b, fault); !again {
			return out, false
		}
	}
}

// pay takes the attempt from the service's budget of repeats. Attempts that reached
// no server are free.
func (q *request) pay() bool {
	budget := q.edge.budget(q.service)
	if q.sends == 0 {
		if !q.counted {
			q.counted = true
			budget.First(q.edge.since())
		}
		return true
	}
	if !q.prepaid.Swap(false) && !budget.Take(q.edge.since()) {
		return false
	}
	q.edge.repeats.Inc(1)
	return true
}

// prepay takes a repeat from the budget before the attempt under way is given up
// for it.
func (q *request) prepay() bool {
	if q.edge.budget(q.service).Take(q.edge.since()) {
		q.prepaid.Store(true)
		return true
	}
	return false
}

// hasAlternative reports whether another server could take the request.
func (q *request) hasAlternative(b *backend) bool {
	since := q.edge.since()
	for _, other := range q.edge.views.Load().services[q.service] {
		if other.server.ID != b.server.ID && other.holds(q.model) && other.stats.health.Usable(since) {
			return true
		}
	}
	return false
}

func (q *request) logFault(b *backend, fault retry.Fault) {
	q.edge.log.Info().Str("request", q.head.ID).Str("server", string(b.server.ID)).Str("fault", fault.String()).
		Int("status", q.status).Str("model", q.model).Int("sends", q.sends).Int("runs", q.runs).
		Dur("left", time.Until(q.deadline)).Msg("attempt_failed")
}

// after decides what follows a failed attempt.
func (q *request) after(ctx context.Context, b *backend, fault retry.Fault) (outcome, bool) {
	if !fault.NeverRan() {
		q.runs++
		q.tried[b.server.ID] = true
	} else if q.model == "" || fault == retry.FaultNotSent {
		q.tried[b.server.ID] = true
	}
	if ctx.Err() != nil {
		return q.truthful(refused(reasonTimeout, 0)), false
	}
	if q.runs == 0 {
		return outcome{}, true
	}
	if !q.route.Idempotent() || q.runs >= q.route.MaxAttempts {
		return q.truthful(refused(reasonLost, 0)), false
	}
	return outcome{}, true
}

// truthful turns a refusal into an unknown ending if the request may have run.
func (q *request) truthful(out outcome) outcome {
	if q.runs == 0 {
		return out
	}
	out.status, out.retryAfter = http.StatusBadGateway, 0
	if out.reason == reasonTimeout || out.reason == reasonTooLate {
		out.status = http.StatusGatewayTimeout
	}
	return out
}

// attempt sends the request to the server where it has a place and, if it is answered,
// answers the client.
func (q *request) attempt(ctx context.Context, b *backend) retry.Fault {
	probe, _ := b.stats.health.Admit(q.edge.since())
	defer q.edge.release(q.service, b)

	q.status = 0
	ctx, span := q.edge.tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("server", string(b.server.ID))))
	defer span.End()
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var stalled atomic.Bool
	watchdog := time.AfterFunc(q.firstByteLimit(b), func() {
		// Without another server, or a repeat left in the budget, waiting on is best.
		if q.hasAlternative(b) && q.prepay() {
			stalled.Store(true)
			cancel()
		}
	})
	defer watchdog.Stop()

	answer, err := q.edge.servers.Send(attemptCtx, q.call(b.server))
	var fault retry.Fault
	if err != nil {
		fault = sendFault(err)
	} else {
		fault = q.take(b, answer, watchdog)
	}
	switch {
	case fault != retry.FaultNone && ctx.Err() != nil && !fault.NeverRan():
		// Ended by the client or by its time limit, which says little of the server.
		b.stats.health.Released(probe)
		return retry.FaultCanceled
	case fault != retry.FaultNone && stalled.Load() && !fault.NeverRan():
		fault = retry.FaultTimeout
	}
	q.judge(b, fault, probe)
	return fault
}

func sendFault(err error) retry.Fault {
	if errors.Is(err, platform.ErrNotSent) {
		return retry.FaultNotSent
	}
	return retry.FaultBeforeFirstByte
}

// judge takes the result in for the server's health. A refusal is no failure.
func (q *request) judge(b *backend, fault retry.Fault, probe bool) {
	health := &b.stats.health
	switch fault {
	case retry.FaultNone:
		health.Succeeded(probe, b.stats.group)
	case retry.FaultRefused:
		health.Released(probe)
	default:
		if health.Failed(q.edge.since(), probe, b.stats.group) {
			q.edge.log.Warn().Str("server", string(b.server.ID)).Str("fault", fault.String()).
				Dur("for", health.EjectedUntil()-q.edge.since()).Msg("server_ejected")
		}
	}
}

func (q *request) call(server *fleet.Server) platform.Call {
	return platform.Call{
		Server: server, Method: q.method, Target: q.target, Host: q.host, Header: q.header, Body: q.body,
		RequestID: q.head.ID, Remaining: time.Until(q.deadline), Priority: min(max(q.route.Priority, 0), 9),
		ResumeAfter: q.lastEvent, Fresh: !q.route.Idempotent(),
	}
}

// neverGivenUp outlasts every request: its own time limit ends it.
const neverGivenUp = 24 * time.Hour

// lastAttempt reports whether no other attempt may follow the one under way.
func (q *request) lastAttempt() bool {
	return !q.route.Idempotent() || q.runs+1 >= q.route.MaxAttempts
}

// firstByteLimit is how long to wait for the start of an answer: longer at a server
// that has much to do, where another attempt would only add to it. A request that
// can't be repeated waits as long as its client does.
func (q *request) firstByteLimit(b *backend) time.Duration {
	if q.lastAttempt() {
		return neverGivenUp
	}
	left := time.Until(q.deadline)
	ahead := time.Duration(b.stats.loadAt(time.Now()).Estimate()) * firstBytePerRequest
	return min(max(firstByteTargets*q.route.TargetLatency, firstByteLeast)+ahead, max(left/2, firstByteLeast))
}

// take judges an answer and passes it on to the client.
func (q *request) take(b *backend, answer *platform.Answer, watchdog *time.Timer) retry.Fault {
	q.status = answer.Status
	if answer.HasLoad {
		b.stats.noteLoad(answer.Load, time.Now())
		// Others may have freed slots there.
		q.edge.giveOutSlots(q.service)
	}
	success := answer.Status < http.StatusMultipleChoices
	switch {
	case !answer.Ours:
		answer.Close(false)
		return retry.FaultBeforeFirstByte
	case answer.NotExecuted:
		q.noteRefusal(b, answer)
		answer.Close(false)
		return retry.FaultRefused
	case !answer.Signed:
		answer.Close(false)
		return retry.FaultBeforeFirstByte
	case success && answer.Stream:
		return q.stream(answer, watchdog)
	}
	return q.buffered(answer)
}

// noteRefusal learns from a server that says it hasn't run the request.
func (q *request) noteRefusal(b *backend, answer *platform.Answer) {
	switch {
	case answer.Elsewhere:
		q.tried[b.server.ID] = true
	case answer.Status == http.StatusMisdirectedRequest && q.model != "":
		q.edge.views.noteMissing(b, q.model)
	default:
		q.tried[b.server.ID] = true
	}
}

// buffered reads a whole answer before the client sees any of it, so that one
// that breaks off can still be had from another server.
func (q *request) buffered(answer *platform.Answer) retry.Fault {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	answer.Close(err == nil)
	if err != nil {
		return retry.FaultAfterFirstByte
	}
	serverFailed := answer.Status >= http.StatusInternalServerError
	if serverFailed && q.repeatAfterError() {
		return retry.FaultServerError
	}
	if q.begun {
		return retry.FaultAfterFirstByte // an error can't go on a stream's answer
	}
	q.writeHead(answer, len(body))
	// A client that has gone shows at its connection.
	_, _ = q.w.Write(body)
	return retry.FaultNone
}

// repeatAfterError reports whether a server's error is worth another attempt
// elsewhere.
func (q *request) repeatAfterError() bool {
	return q.route.Kind == fleet.KindSafe && q.runs+1 < q.route.MaxAttempts &&
		time.Until(q.deadline) > leastServiceTime
}

// writeHead passes on the head of a server's answer; length is negative for a
// body of unknown length.
func (q *request) writeHead(answer *platform.Answer, length int) {
	header := q.w.Header()
	for name, values := range platform.PassedOn(answer.Header) {
		header[name] = values
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	if q.edge.draining.Load() {
		header.Set("Connection", "close")
	}
	q.begun = true
	q.w.WriteHeader(answer.Status)
}
