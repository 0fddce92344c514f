package edge

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/retry"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

const (
	// minFirstByteTimeout is the least time that a repeatable request waits for the first
	// byte of an answer before it is sent to another server as well.
	minFirstByteTimeout = 400 * time.Millisecond
	// firstByteTimeoutTargets is that time in multiples of the route's latency objective.
	firstByteTimeoutTargets = 2
	// stallTimeoutGaps is how long a stream can stall before it is sent to another server as
	// well, in multiples of the route's objective for the gap between events.
	stallTimeoutGaps = 2
)

// attempt is one sending of a request to a server on which it holds a slot.
type attempt struct {
	request *request
	backend *backend
	// parent is the context of the request, and ctx that of the attempt, which cancel ends.
	parent, ctx context.Context
	cancel      context.CancelCauseFunc
	span        trace.Span
	call        platform.Call
	probe       bool
	// charged means that the attempt is charged to the retry budget.
	charged bool
	// resumed means that the client had the head of an answer when the attempt began.
	resumed bool
	// progress is that of the request while the attempt is its incumbent.
	progress *attemptProgress
	// endRun ends what the attempt takes of the server, as it is accounted for here, and promptRead
	// records that the server has read the prompt. Both are nil for plain services.
	endRun, promptRead func()

	// begun is closed when a successor has begun to answer or has failed. It is nil for other
	// attempts.
	begun chan struct{}
	// answer is the answer of which body has been read; whole means that this is all of it.
	// readErr is the error with which reading stopped.
	answer  *platform.Answer
	body    []byte
	whole   bool
	readErr error
	// ahead is what is read of the answer while its events are held back; nil if they aren't.
	ahead *readAhead
	// status is the HTTP status of the answer, or 0 if there was none.
	status int
	// fault is how the attempt has failed, and by who has ended it.
	fault retry.Fault
	by    endedBy
	// withdrawn means that the server stopped accepting requests before this one was sent.
	withdrawn bool
	// avoid means that the server is not to be tried again soon.
	avoid bool
	// failedAnswer is the server's own error, put aside for another attempt.
	failedAnswer *bufferedAnswer
}

// newAttempt returns an attempt at a server on which the request holds a slot. repeated means that another
// one has reached a server.
func (q *request) newAttempt(parent context.Context, b *backend, repeated bool) *attempt {
	a := &attempt{request: q, backend: b, parent: parent, resumed: q.headWritten, progress: &attemptProgress{}}
	a.probe, _ = b.stats.health.Admit(q.edge.elapsed())
	if q.model != "" {
		a.endRun = q.edge.demand.Run(q.head.Model, b.server.ID)
		a.promptRead = b.stats.beginReading(q.expected.Reading)
	}
	a.progress.attemptBegins(b.server.ID, b.stats.inFlight.Load()-1, time.Now())
	a.progress.expected, a.progress.slowness = q.estimate.firstEvent, q.estimate.slowness
	b.stats.rateLimit.recordSent(repeated)
	if q.lastEvent >= 0 {
		q.logResumption(b, repeated)
	}
	ctx, span := q.edge.tracer.Start(parent, "attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("server", string(b.server.ID))))
	a.span = span
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	a.call = q.newCall(b)
	return a
}

func (q *request) newCall(b *backend) platform.Call {
	return platform.Call{
		Server: b.server, Method: q.method, Target: q.target, Host: q.host, Header: q.header, Body: q.body,
		RequestID: q.head.ID, Remaining: time.Until(q.deadline), Priority: q.urgency(), Account: q.accountName(),
		ResumeAfter: q.lastEvent, NewConnection: !q.route.Idempotent(), Proceed: b.stats.standing.accepts,
		Late: func(answer *platform.Answer) { q.recordStanding(b, answer) },
	}
}

// perform sends the request, unless the attempt has begun as a successor, and forwards a valid answer to
// the client.
func (a *attempt) perform() retry.Fault {
	if a.begun != nil {
		<-a.begun
		a.request.progress.attemptProgress = *a.progress
		a.progress = &a.request.progress.attemptProgress
	}
	a.request.at.Store(&a.backend.server.ID)
	a.request.recordOrigin(a.backend)
	if a.begun == nil {
		a.fault = a.send()
	}
	if a.fault == retry.FaultNone {
		a.fault = a.forward()
	}
	a.end()
	return a.fault
}

// send sends the request and checks the head of the answer.
func (a *attempt) send() retry.Fault {
	answer, err := a.request.edge.servers.Send(a.ctx, a.call)
	if err != nil {
		a.withdrawn = errors.Is(err, platform.ErrWithdrawn)
		if errors.Is(err, platform.ErrNotListening) {
			a.request.edge.investigateCrash(a.backend, nil, a.progress.sentAt)
		}
		return sendFault(err)
	}
	return a.receive(answer)
}

func sendFault(err error) retry.Fault {
	if errors.Is(err, platform.ErrNotSent) {
		return retry.FaultNotSent
	}
	return retry.FaultBeforeFirstByte
}

// receive records what the head of an answer says, and whether it is one that can be forwarded.
func (a *attempt) receive(answer *platform.Answer) retry.Fault {
	q, b := a.request, a.backend
	a.status = answer.Status
	b.stats.crash.answered()
	a.recordRateLimit(answer)
	a.recordBrittle(answer)
	q.recordStanding(b, answer)
	if answer.HasLoad {
		a.progress.load, a.progress.hasLoad = answer.Load, true
		q.edge.recordLoad(b, answer.Load, time.Now())
		// Other instances may have released slots on this server.
		q.edge.dispatchSlots(q.service)
	}
	switch {
	case !answer.RequestIDMatches:
		answer.Close(false)
		return retry.FaultBeforeFirstByte
	case answer.NotExecuted:
		a.handleRefusal(answer)
		answer.Close(false)
		return retry.FaultRefused
	case !answer.Signed:
		answer.Close(false)
		return retry.FaultBeforeFirstByte
	}
	a.answer = answer
	return retry.FaultNone
}

// handleRefusal records that a server refused to execute the request: the server lacks
// the model, or the request must be sent to another server.
func (a *attempt) handleRefusal(answer *platform.Answer) {
	if !answer.Misdirected && answer.Status == http.StatusMisdirectedRequest && a.request.model != "" {
		a.request.edge.views.recordMissing(a.backend, a.request.model)
		return
	}
	a.avoid = true
}

// succeeded reports whether the status of the answer is one of success.
func (a *attempt) succeeded() bool { return a.answer.Status < http.StatusMultipleChoices }

// streams reports whether the answer is a stream of events.
func (a *attempt) streams() bool { return a.succeeded() && a.answer.Stream }

// beginAnswer sends the request of a successor and reads its answer until it can replace that of a
// silent server: the first new event of a stream, or a whole answer other than a server's error.
func (a *attempt) beginAnswer() retry.Fault {
	if fault := a.send(); fault != retry.FaultNone {
		return fault
	}
	if a.streams() {
		return a.awaitEvent()
	}
	if a.resumed {
		return retry.FaultAfterFirstByte // an error cannot follow the events already sent
	}
	if err := a.readAnswer(); err != nil {
		return retry.FaultAfterFirstByte
	}
	if a.serverFailed() {
		a.setAside()
		return retry.FaultServerError
	}
	return retry.FaultNone
}

// forward forwards the answer to the client.
func (a *attempt) forward() retry.Fault {
	q := a.request
	if a.streams() {
		fault := a.stream()
		if fault == retry.FaultNone {
			a.recordTimes()
		}
		return fault
	}
	success := a.succeeded()
	fault := a.forwardBuffered()
	if fault == retry.FaultNone {
		// A plain server has run the request whatever its answer says.
		if success || q.model == "" {
			q.recordAnswered()
		}
		q.progress.firstEventAt, q.progress.lastEventAt = time.Now(), time.Now()
		if success {
			a.recordTimes()
		}
	}
	return fault
}

// recordTimes records how long a completed request took.
func (a *attempt) recordTimes() {
	q := a.request
	w, observed := q.edge.workload(q.service), q.progress.observation()
	if ratio, ok := w.Ratio(q.workloadKind(), observed); ok {
		a.backend.stats.speed.Observed(ratio, observed.FirstEvent+observed.Generation, time.Now())
	}
	w.Observe(q.workloadKind(), observed)
}

// end records how the attempt has ended and releases what it holds.
func (a *attempt) end() {
	q, b := a.request, a.backend
	defer q.edge.release(q.service, b)
	defer a.span.End()
	cause := context.Cause(a.ctx)
	a.cancel(nil)
	if a.endRun != nil {
		a.endRun()
		a.promptRead()
	}
	a.by = endedByServer
	if a.charged && a.fault == retry.FaultNotSent {
		q.edge.budget(q.service).Refund()
		q.edge.repeats.Dec(1)
	}
	switch {
	case a.withdrawn:
		// This is no evidence about the server.
		b.stats.health.Released(a.probe)
		return
	case a.fault != retry.FaultNone && a.parent.Err() != nil && !a.fault.NeverRan():
		// The client or the deadline ended the attempt, which is no evidence about the
		// server.
		b.stats.health.Released(a.probe)
		a.fault, a.by = retry.FaultCanceled, q.interruptedBy(a.parent)
		return
	case a.fault != retry.FaultNone && errors.Is(cause, errOvertaken) && !a.fault.NeverRan():
		b.stats.health.Released(a.probe)
		a.fault, a.by = retry.FaultCanceled, endedByInstance
		q.edge.runsOvertaken.Inc(1)
		return
	case a.fault != retry.FaultNone && errors.Is(cause, errSuperseded) && !a.fault.NeverRan():
		a.fault, a.by = retry.FaultTimeout, endedByInstance
		q.edge.runsSuperseded.Inc(1)
	}
	a.recordHealth()
	if a.fault == retry.FaultNone {
		b.stats.brittle.served(time.Since(a.progress.sentAt), q.edge.brittleLoad(b))
	}
	if a.fault == retry.FaultBeforeFirstByte || a.fault == retry.FaultAfterFirstByte {
		a.investigateCrash()
	}
}

// recordHealth updates the server's health from the result of an attempt. A refusal does
// not count as a failure.
func (a *attempt) recordHealth() {
	b, log := a.backend, a.request.edge.log
	health, elapsed := &b.stats.health, a.request.edge.elapsed()
	switch a.fault {
	case retry.FaultNone:
		health.Succeeded(a.probe, b.stats.group)
	case retry.FaultRefused:
		health.Released(a.probe)
	default:
		if health.Failed(elapsed, a.probe, b.stats.group) {
			log.Warn().Str("server", string(b.server.ID)).Str("fault", a.fault.String()).
				Dur("for", health.EjectedUntil()-elapsed).Msg("server_ejected")
		}
	}
}

// log logs that the attempt has failed. sends and runs are those of the request.
func (a *attempt) log(sends, runs int) {
	q := a.request
	q.edge.log.Info().Str("request", q.head.ID).Str("server", string(a.backend.server.ID)).Str("fault", a.fault.String()).
		Str("ended_by", string(a.by)).Bool("successor", a.begun != nil).Int("status", a.status).Str("model", q.model).
		Int("sends", sends).Int("runs", runs).Int64("events", q.forwarded.Load()).
		Dur("silent", a.progress.silentFor(time.Now())).
		Float64("budget", q.edge.budget(q.service).Left(q.edge.elapsed())).
		Dur("left", time.Until(q.deadline)).Msg("attempt_failed")
}

// firstByteTimeout returns how long to wait for the first byte of an answer before the request is sent
// to another server as well. The time grows with what the server has to do before, because another
// attempt would only add to an overload.
func (a *attempt) firstByteTimeout() time.Duration {
	q, b := a.request, a.backend
	remaining := time.Until(q.deadline)
	now := time.Now()
	load := b.loadAt(q.edge.serviceLoad(q.service), now)
	queueDelay := load.Backlog() + q.expected.Reading*time.Duration(load.Estimate())/time.Duration(max(b.server.Slots, 1))
	queueDelay = time.Duration(max(b.stats.speed.Slowness(now), 1) * float64(queueDelay))
	return min(max(firstByteTimeoutTargets*q.route.TargetLatency, minFirstByteTimeout)+queueDelay, max(remaining/2, minFirstByteTimeout))
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
