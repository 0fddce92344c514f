package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/pause"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/retry"
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
	q.handover.request, q.handover.ctx = q, ctx
	out, ok := q.sendToServers(ctx)
	if !ok && q.hasFailedAnswer() {
		q.writeBuffered(q.failedAnswer)
		return outcome{}, true
	}
	return out, ok
}

// hasFailedAnswer reports whether a server's error is there for the client if no other server answers.
func (q *request) hasFailedAnswer() bool { return q.failedAnswer != nil && !q.headWritten }

// sendToServers makes attempts until one succeeds or no further one is allowed.
func (q *request) sendToServers(ctx context.Context) (outcome, bool) {
	for {
		b, out, ok := q.reserveServer(ctx)
		if !ok {
			return q.accountForRuns(out), false
		}
		if q.failedAnswer == nil {
			q.client.ReleaseResponse()
		}
		a := q.newAttempt(ctx, b, q.sends > 0)
		a.charged = q.sends > 0
		q.progress.attemptProgress = *a.progress
		a.progress = &q.progress.attemptProgress
		q.handover.begin(a)
		for a != nil {
			if a.perform() == retry.FaultNone {
				q.handover.settle()
				return outcome{}, true
			}
			a = q.handover.next(a)
		}
		if out, again := q.afterFailure(ctx); !again {
			return out, false
		}
	}
}

// reserveServer waits for a server, reserves a slot on it and charges the attempt to the retry budget.
func (q *request) reserveServer(ctx context.Context) (*backend, outcome, bool) {
	for {
		if !q.awaitRetry(ctx) {
			if ctx.Err() != nil {
				return nil, refused(reasonTimeout, 0), false
			}
			return nil, refused(reasonBudget, 0), false
		}
		b, out, ok := q.findServer(ctx)
		if !ok {
			return nil, out, false
		}
		if ctx.Err() != nil {
			q.edge.release(q.service, b)
			return nil, refused(reasonTimeout, 0), false
		}
		if q.reserveAttempt() {
			return b, outcome{}, true
		}
		q.edge.release(q.service, b)
		if q.runs == 0 {
			return nil, refused(reasonBudget, jitter(time.Second)), false
		}
	}
}

// awaitRetry waits until the budget has a retry for a request that may have run. It reports false if there
// is none in time. Other requests don't wait, since they can be refused as not run.
func (q *request) awaitRetry(ctx context.Context) bool {
	budget := q.edge.budget(q.service)
	for q.runs > 0 && budget.Left(q.edge.elapsed()) < 1 {
		if q.hasFailedAnswer() || ctx.Err() != nil || !time.Now().Before(q.waitLimit()) {
			return false
		}
		pause.For(ctx, retryRecheckInterval)
	}
	return true
}

// retryRecheckInterval is how often a request that waits for a retry checks the budget.
const retryRecheckInterval = 20 * time.Millisecond

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
	if !budget.Withdraw(q.edge.elapsed()) {
		return false
	}
	q.edge.repeats.Inc(1)
	return true
}

// count counts an attempt that has failed.
func (q *request) count(a *attempt) {
	if a.fault != retry.FaultNotSent {
		q.sends++
	}
	if !a.fault.NeverRan() {
		q.runs++
	}
	if a.failedAnswer != nil {
		q.failedAnswer = a.failedAnswer
	}
	if a.avoid || !a.fault.NeverRan() || q.model == "" || a.fault == retry.FaultNotSent {
		q.tried[a.backend.server.ID] = true
	}
}

// afterFailure decides whether another attempt follows failed ones. If none does, it
// returns the outcome and false.
func (q *request) afterFailure(ctx context.Context) (outcome, bool) {
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
