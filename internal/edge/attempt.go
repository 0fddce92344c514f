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
	// minFirstByteTimeout is the least time that a repeatable request waits for the first
	// byte of an answer before it is sent to another server.
	minFirstByteTimeout = 400 * time.Millisecond
	// firstByteTimeoutTargets is that time in multiples of the route's latency objective.
	firstByteTimeoutTargets = 2
	// stallTimeoutGaps is how long a stream can stall before it is resumed at another
	// server, in multiples of the route's objective for the gap between events.
	stallTimeoutGaps = 2
	// bufferedAnswerBytes is the size up to which an answer is buffered. A longer one is forwarded
	// as it arrives.
	bufferedAnswerBytes = 1 << 20
	// firstAnswerBytes is the size of the first buffer for an answer, and unreservedAnswerBytes that of
	// the largest one that counts as a part of the client's connection.
	firstAnswerBytes      = 512
	unreservedAnswerBytes = 16 << 10
	// copyBufferBytes is the size of the parts in which a longer one is forwarded.
	copyBufferBytes = 32 << 10
)

// runUnlessBlocked runs the request. It is refused, or canceled by block, if one of its traits is
// found to crash servers before one has begun to answer it.
func (q *request) runUnlessBlocked(ctx context.Context, block context.CancelCauseFunc) (outcome, bool) {
	q.edge.unanswered.add(q, block)
	defer q.edge.unanswered.remove(q)
	if trait, blocked := q.edge.crashes.Blocked(q.identity); blocked {
		return refused(blockedReason(trait), 0), false
	}
	out, ok := q.run(ctx)
	if !ok && errors.Is(context.Cause(ctx), errBlocked) {
		trait, _ := q.edge.crashes.Blocked(q.identity)
		out = q.accountForRuns(refused(blockedReason(trait), 0))
	}
	return out, ok
}

// run sends the request to servers until it is answered or no further attempt is allowed.
// It reports true if the client has received a server's answer.
func (q *request) run(ctx context.Context) (outcome, bool) {
	if q.resumes() {
		if out, ok := q.findOrigin(ctx); !ok {
			return out, false
		}
	}
	if q.route.Kind == fleet.KindStream {
		defer q.edge.begun.end(q.streamID())
	}
	q.expected = q.edge.workload(q.service).Estimate(q.workloadKind(), q.route.TargetLatency)
	if q.model != "" {
		q.edge.demand.Arrived(q.want())
	}
	for {
		b, out, ok := q.findServer(ctx)
		if !ok {
			return q.accountForRuns(out), false
		}
		if ctx.Err() != nil {
			q.edge.release(q.service, b)
			return q.accountForRuns(refused(reasonTimeout, 0)), false
		}
		if !q.reserveAttempt() {
			q.edge.release(q.service, b)
			return q.accountForRuns(refused(reasonBudget, jitter(time.Second))), false
		}
		fault, by := q.attempt(ctx, b)
		if fault != retry.FaultNotSent {
			q.sends++
		}
		if fault == retry.FaultNone {
			return outcome{}, true
		}
		q.logFault(b, fault, by)
		if out, again := q.afterFailure(ctx, b, fault); !again {
			return out, false
		}
	}
}

// reserveAttempt charges the attempt to the service's retry budget, and reports false if
// the budget is exhausted. Attempts are free until one of them has reached a server.
func (q *request) reserveAttempt() bool {
	budget := q.edge.budget(q.service)
	if q.sends == 0 {
		if !q.budgetCounted {
			q.budgetCounted = true
			budget.RecordFirstAttempt(q.edge.elapsed())
		}
		return true
	}
	if !q.retryReserved.Swap(false) && !budget.Withdraw(q.edge.elapsed()) {
		return false
	}
	q.edge.repeats.Inc(1)
	return true
}

// reserveRetry charges a retry to the budget before the current attempt is canceled in
// favor of that retry.
func (q *request) reserveRetry() bool {
	if q.edge.budget(q.service).Withdraw(q.edge.elapsed()) {
		q.retryReserved.Store(true)
		return true
	}
	return false
}

// hasAlternative reports whether another server can serve the request.
func (q *request) hasAlternative(b *backend) bool {
	now, elapsed := time.Now(), q.edge.elapsed()
	for _, other := range q.edge.views.Load().services[q.service] {
		if other.server.ID != b.server.ID && q.servedBy(other) && other.stats.health.Usable(elapsed) && other.stats.rateLimit.usable(now) && other.stats.standing.accepts() {
			return true
		}
	}
	return false
}

func (q *request) logFault(b *backend, fault retry.Fault, by endedBy) {
	q.edge.log.Info().Str("request", q.head.ID).Str("server", string(b.server.ID)).Str("fault", fault.String()).
		Str("ended_by", string(by)).Int("status", q.status).Str("model", q.model).Int("sends", q.sends).Int("runs", q.runs).
		Int("events", q.progress.events).Dur("silent", q.progress.silentFor(time.Now())).
		Bool("reserved", q.retryReserved.Load()).Float64("budget", q.edge.budget(q.service).Left(q.edge.elapsed())).
		Dur("left", time.Until(q.deadline)).Msg("attempt_failed")
}

// afterFailure decides whether another attempt follows a failed one. If none does, it
// returns the outcome and false.
func (q *request) afterFailure(ctx context.Context, b *backend, fault retry.Fault) (outcome, bool) {
	if !fault.NeverRan() {
		q.runs++
		q.tried[b.server.ID] = true
	} else if q.model == "" || fault == retry.FaultNotSent {
		q.tried[b.server.ID] = true
	}
	if ctx.Err() != nil {
		return q.accountForRuns(refused(reasonTimeout, 0)), false
	}
	if q.runs == 0 {
		return outcome{}, true
	}
	if q.partForwarded || !q.route.Idempotent() || q.runs >= q.route.MaxAttempts {
		return q.accountForRuns(refused(reasonLost, 0)), false
	}
	return outcome{}, true
}

// accountForRuns changes a refusal into an unknown outcome if the request may have been
// executed.
func (q *request) accountForRuns(out outcome) outcome {
	if q.runs == 0 {
		return out
	}
	out.status, out.retryAfter = http.StatusBadGateway, 0
	if out.reason == reasonTimeout || out.reason == reasonTooLate {
		out.status = http.StatusGatewayTimeout
	}
	return out
}

// attempt sends the request to a server on which it holds a slot, and forwards a valid
// answer to the client. If it fails, it returns why, and who ended it.
func (q *request) attempt(ctx context.Context, b *backend) (retry.Fault, endedBy) {
	probe, _ := b.stats.health.Admit(q.edge.elapsed())
	defer q.edge.release(q.service, b)
	if q.model != "" {
		defer q.edge.demand.Run(q.head.Model, b.server.ID)()
		q.promptRead = b.stats.beginReading(q.expected.Reading)
		defer q.promptRead()
	}

	q.status = 0
	q.at.Store(&b.server.ID)
	q.progress.attemptBegins(b.server.ID, b.stats.inFlight.Load()-1, time.Now())
	b.stats.rateLimit.recordSent(q.sends > 0)
	if q.lastEvent >= 0 {
		q.logResumption(b)
	}
	q.recordOrigin(b)
	ctx, span := q.edge.tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("server", string(b.server.ID))))
	defer span.End()
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var stalled atomic.Bool
	watchdog := time.AfterFunc(q.firstByteTimeout(b), func() {
		// Without another usable server, or a retry left in the budget, waiting is the
		// better choice.
		if q.hasAlternative(b) && q.reserveRetry() {
			stalled.Store(true)
			cancel()
		}
	})
	defer watchdog.Stop()

	answer, err := q.edge.servers.Send(attemptCtx, q.newCall(b))
	var fault retry.Fault
	if errors.Is(err, platform.ErrWithdrawn) {
		// This is no evidence about the server.
		b.stats.health.Released(probe)
		return retry.FaultNotSent, endedByServer
	}
	if err != nil {
		fault = sendFault(err)
		if errors.Is(err, platform.ErrNotListening) {
			q.edge.investigateCrash(b, nil, q.progress.sentAt)
		}
	} else {
		fault = q.handleAnswer(b, answer, watchdog)
	}
	by := endedByServer
	switch {
	case fault != retry.FaultNone && ctx.Err() != nil && !fault.NeverRan():
		// The client or the deadline ended the attempt, which is no evidence about the
		// server.
		b.stats.health.Released(probe)
		return retry.FaultCanceled, q.interruptedBy(ctx)
	case fault != retry.FaultNone && stalled.Load() && !fault.NeverRan():
		fault, by = retry.FaultTimeout, endedByInstance
		q.edge.runsGivenUp.Inc(1)
	}
	q.recordHealth(b, fault, probe)
	if fault == retry.FaultNone {
		b.stats.brittle.served(time.Since(q.progress.sentAt), q.edge.brittleLoad(b))
	}
	if fault == retry.FaultBeforeFirstByte || fault == retry.FaultAfterFirstByte {
		q.investigateCrash(b)
	}
	return fault, by
}

func sendFault(err error) retry.Fault {
	if errors.Is(err, platform.ErrNotSent) {
		return retry.FaultNotSent
	}
	return retry.FaultBeforeFirstByte
}

// recordHealth updates the server's health from the result of an attempt. A refusal does
// not count as a failure.
func (q *request) recordHealth(b *backend, fault retry.Fault, probe bool) {
	health := &b.stats.health
	switch fault {
	case retry.FaultNone:
		health.Succeeded(probe, b.stats.group)
	case retry.FaultRefused:
		health.Released(probe)
	default:
		if health.Failed(q.edge.elapsed(), probe, b.stats.group) {
			q.edge.log.Warn().Str("server", string(b.server.ID)).Str("fault", fault.String()).
				Dur("for", health.EjectedUntil()-q.edge.elapsed()).Msg("server_ejected")
		}
	}
}

func (q *request) newCall(b *backend) platform.Call {
	return platform.Call{
		Server: b.server, Method: q.method, Target: q.target, Host: q.host, Header: q.header, Body: q.body,
		RequestID: q.head.ID, Remaining: time.Until(q.deadline), Priority: q.urgency(), Account: q.accountName(),
		ResumeAfter: q.lastEvent, NewConnection: !q.route.Idempotent(), Proceed: b.stats.standing.accepts,
		Late: func(answer *platform.Answer) { q.recordStanding(b, answer) },
	}
}

// noTimeout is longer than any request lasts, so that the request's own deadline ends the
// wait.
const noTimeout = 24 * time.Hour

// lastAttempt reports whether the current attempt is the last one allowed.
func (q *request) lastAttempt() bool {
	return !q.route.Idempotent() || q.runs+1 >= q.route.MaxAttempts
}

// firstByteTimeout returns how long to wait for the first byte of an answer. The time
// grows with what the server has to do before, because another attempt would only add to an
// overload. The last allowed attempt waits until the request's deadline.
func (q *request) firstByteTimeout(b *backend) time.Duration {
	if q.lastAttempt() {
		return noTimeout
	}
	remaining := time.Until(q.deadline)
	now := time.Now()
	load := b.loadAt(q.edge.serviceLoad(q.service), now)
	queueDelay := load.Backlog() + q.expected.Reading*time.Duration(load.Estimate())/time.Duration(max(b.server.Slots, 1))
	queueDelay = time.Duration(max(b.stats.speed.Slowness(now), 1) * float64(queueDelay))
	return min(max(firstByteTimeoutTargets*q.route.TargetLatency, minFirstByteTimeout)+queueDelay, max(remaining/2, minFirstByteTimeout))
}

// handleAnswer validates an answer and forwards it to the client.
func (q *request) handleAnswer(b *backend, answer *platform.Answer, watchdog *time.Timer) retry.Fault {
	q.status = answer.Status
	b.stats.crash.answered()
	q.recordRateLimit(b, answer)
	q.recordBrittle(b, answer)
	q.recordStanding(b, answer)
	if answer.HasLoad {
		q.progress.load, q.progress.hasLoad = answer.Load, true
		q.edge.recordLoad(b, answer.Load, time.Now())
		// Other instances may have released slots on this server.
		q.edge.dispatchSlots(q.service)
	}
	success := answer.Status < http.StatusMultipleChoices
	switch {
	case !answer.RequestIDMatches:
		answer.Close(false)
		return retry.FaultBeforeFirstByte
	case answer.NotExecuted:
		q.handleRefusal(b, answer)
		answer.Close(false)
		return retry.FaultRefused
	case !answer.Signed:
		answer.Close(false)
		return retry.FaultBeforeFirstByte
	case success && answer.Stream:
		fault := q.stream(b, answer, watchdog)
		if fault == retry.FaultNone {
			q.recordTimes(b)
		}
		return fault
	}
	fault := q.forwardBuffered(answer)
	if fault == retry.FaultNone {
		// A plain server has run the request whatever its answer says.
		if success || q.model == "" {
			q.recordAnswered()
		}
		q.progress.firstEventAt, q.progress.lastEventAt = time.Now(), time.Now()
		if success {
			q.recordTimes(b)
		}
	}
	return fault
}

// recordTimes records how long a completed request took.
func (q *request) recordTimes(b *backend) {
	w, observed := q.edge.workload(q.service), q.progress.observation()
	if ratio, ok := w.Ratio(q.workloadKind(), observed); ok {
		b.stats.speed.Observed(ratio, observed.FirstEvent+observed.Generation, time.Now())
	}
	w.Observe(q.workloadKind(), observed)
}

// handleRefusal records that a server refused to execute the request: the server lacks
// the model, or the request must be sent to another server.
func (q *request) handleRefusal(b *backend, answer *platform.Answer) {
	switch {
	case answer.Misdirected:
		q.tried[b.server.ID] = true
	case answer.Status == http.StatusMisdirectedRequest && q.model != "":
		q.edge.views.recordMissing(b, q.model)
	default:
		q.tried[b.server.ID] = true
	}
}

// forwardBuffered reads the whole answer before it writes any of it to the client, so
// that a truncated answer can still be requested from another server. This isn't possible
// with an answer that is too long to be buffered.
func (q *request) forwardBuffered(answer *platform.Answer) retry.Fault {
	body, long, err := q.readAnswer(answer.Body)
	if err != nil || !long {
		answer.Close(err == nil)
	}
	if err != nil {
		return retry.FaultAfterFirstByte
	}
	serverFailed := answer.Status >= http.StatusInternalServerError
	switch {
	case serverFailed && q.repeatAfterError():
		if long {
			answer.Close(false)
		}
		return retry.FaultServerError
	case q.headWritten:
		if long {
			answer.Close(false)
		}
		return retry.FaultAfterFirstByte // an error cannot follow the events already sent
	case long:
		return q.forwardLong(answer, body)
	}
	q.writeHead(answer, len(body))
	q.client.SendResponse()
	// The HTTP server handles a disconnected client, so the error is ignored.
	_, _ = q.w.Write(body)
	return retry.FaultNone
}

// readAnswer reads an answer until its end, or reports that it is too long to be buffered: for any, or
// for the memory that is left.
func (q *request) readAnswer(from io.Reader) (body []byte, long bool, err error) {
	q.client.ReleaseResponse()
	body = make([]byte, 0, firstAnswerBytes)
	for {
		if len(body) == cap(body) {
			larger := 2 * cap(body)
			if larger > unreservedAnswerBytes && !q.client.ReserveResponse(int64(larger-len(body))) {
				return body, true, nil
			}
			body = append(make([]byte, 0, larger), body...)
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err != nil && !errors.Is(err, io.EOF):
			return nil, false, err
		case len(body) > bufferedAnswerBytes:
			return body, true, nil
		case err != nil:
			return body, false, nil
		}
	}
}

// forwardLong forwards an answer of which a part has been read. If it breaks off, so does the
// client's connection.
func (q *request) forwardLong(answer *platform.Answer, begin []byte) retry.Fault {
	q.partForwarded = true
	q.writeHead(answer, -1)
	fromServer := &trackedReader{Reader: answer.Body}
	_, err := q.w.Write(begin)
	if err == nil {
		_, err = io.CopyBuffer(writerOnly{q.w}, fromServer, make([]byte, copyBufferBytes))
	}
	answer.Close(err == nil)
	if fromServer.failed {
		return retry.FaultAfterFirstByte
	}
	// The HTTP server handles a disconnected client.
	return retry.FaultNone
}

// trackedReader remembers whether reading has failed.
type trackedReader struct {
	io.Reader

	failed bool
}

// Read implements io.Reader.
func (r *trackedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	r.failed = r.failed || err != nil && !errors.Is(err, io.EOF)
	return n, err
}

// writerOnly hides the other methods of a writer, so that copies to it use their own buffer.
type writerOnly struct{ io.Writer }

// repeatAfterError reports whether the request is retried on another server after a
// server error.
func (q *request) repeatAfterError() bool {
	return q.route.Kind == fleet.KindSafe && q.runs+1 < q.route.MaxAttempts &&
		time.Until(q.deadline) > minServiceTime
}

// writeHead forwards the status and headers of a server's answer. A negative length means
// that the length of the body is unknown.
func (q *request) writeHead(answer *platform.Answer, length int) {
	header := q.w.Header()
	for name, values := range platform.ForwardedHeaders(answer.Header) {
		header[name] = values
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	if q.edge.draining.Load() {
		header.Set("Connection", "close")
	}
	q.headWritten = true
	q.w.WriteHeader(answer.Status)
}
