package edge

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/retry"
)

const (
	// successorRecheckInterval is how often a request whose server is silent checks whether it may be
	// sent to another one, if it couldn't before.
	successorRecheckInterval = 50 * time.Millisecond
	// successorReserve is the number of retries that a successor leaves in the budget, as far as it can
	// hold as many, for requests whose server has failed.
	successorReserve = 1
	// holdPerExpected is for how long events are held for a successor, in multiples of the time in which
	// its first event was expected. One that takes longer isn't the faster one.
	holdPerExpected = 2
)

var (
	// errSuperseded ends an attempt because another server has begun to answer.
	errSuperseded = errors.New("another server has begun to answer")
	// errOvertaken ends a successor because the server that was silent, or another one, goes on.
	errOvertaken = errors.New("another attempt goes on")
)

// handover holds the attempts of a request that may still answer it. The incumbent writes to the client.
// While it is silent, the request is sent to other servers as well. The first one to send a part of its
// answer goes on, and the others are canceled: what is in hand isn't given up for a server that may
// still refuse or fail.
type handover struct {
	request *request
	// ctx is the context of the request.
	ctx context.Context

	mu sync.Mutex
	// changed is signaled when a successor has begun to answer or has failed.
	changed   *sync.Cond
	incumbent *attempt
	// successors are the other attempts, and chosen is the one that has begun to answer.
	successors []*attempt
	chosen     *attempt
	// forwarding means that the incumbent has something for the client.
	forwarding bool
	// silentAt is when the incumbent counts as silent, and alarm runs onSilence then. silent means that
	// it has counted as silent since its last event.
	silentAt time.Time
	alarm    *time.Timer
	silent   bool
	// tried lists the servers to avoid. Once there are no others, they are tried again at forgetAt, and
	// backoff is the delay until then.
	tried    map[fleet.ServerID]bool
	forgetAt time.Time
	backoff  time.Duration
	// sends and runs count the successors that have ended as those of the request are counted, and
	// open those that haven't.
	sends, runs, open int
	ended             sync.WaitGroup
}

// begin makes an attempt the incumbent.
func (h *handover) begin(a *attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = sync.NewCond(&h.mu)
	}
	h.incumbent, h.forwarding, h.silent = a, false, false
	if h.tried == nil {
		h.tried, h.backoff = maps.Clone(h.request.tried), triedBackoff
	}
	h.tried[a.backend.server.ID] = true
	h.watch(a.firstByteTimeout())
}

// watch sets when the incumbent counts as silent.
func (h *handover) watch(after time.Duration) {
	if !h.repeats(h.request.runs + h.runs) {
		return
	}
	h.silentAt = time.Now().Add(after)
	if h.alarm == nil {
		h.alarm = time.AfterFunc(after, h.onSilence)
		return
	}
	h.alarm.Reset(after)
}

// attemptsLeft reports whether the request may be sent to one more server.
func (h *handover) attemptsLeft() bool { return h.repeats(h.request.runs + h.runs + h.open) }

// repeats reports whether the request may be sent to one more server, beside the incumbent and the given
// number of others.
func (h *handover) repeats(others int) bool {
	route := h.request.route
	return route.Idempotent() && !h.request.partForwarded && others+1 < route.MaxAttempts
}

// repeatable reports whether another server may still answer the request if the incumbent fails.
func (h *handover) repeatable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.successors) > 0 || h.chosen != nil || h.attemptsLeft()
}

// onSilence sends the request to another server while the incumbent is silent.
func (h *handover) onSilence() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.incumbent == nil || h.forwarding || h.chosen != nil || h.ctx.Err() != nil || time.Now().Before(h.silentAt) || !h.attemptsLeft() {
		return
	}
	h.silent = true
	b := h.reserveSuccessor()
	if b == nil {
		h.watch(successorRecheckInterval)
		return
	}
	s := h.request.newAttempt(h.ctx, b, true)
	s.charged, s.begun = true, make(chan struct{})
	h.successors = append(h.successors, s)
	h.tried[b.server.ID] = true
	h.open++
	h.ended.Add(1)
	go h.run(s)
	h.watch(s.firstByteTimeout())
}

// reserveSuccessor reserves a slot on another server, and the retry. It returns nil if there is no server
// with room, or no retry left.
func (h *handover) reserveSuccessor() *backend {
	q := h.request
	budget, elapsed := q.edge.budget(q.service), q.edge.elapsed()
	if budget.Left(elapsed) < min(1+successorReserve, budget.Config().Burst) || time.Until(q.deadline) < minServiceTime {
		return nil
	}
	// A server that isn't used in the end mustn't lose a permit or a turn.
	view := q.edge.views.Load()
	if !h.hasAlternative(view, elapsed) {
		return nil
	}
	b, _ := q.choose(view, h.tried)
	if b == nil || !budget.Withdraw(elapsed) {
		return nil
	}
	q.edge.repeats.Inc(1)
	b.stats.inFlight.Add(1)
	return b
}

// hasAlternative reports whether a server that hasn't been tried can get the request.
func (h *handover) hasAlternative(view *View, elapsed time.Duration) bool {
	q, now, untried := h.request, time.Now(), false
	for _, b := range view.services[q.service] {
		if h.tried[b.server.ID] || !q.servedBy(b) {
			continue
		}
		untried = true
		if b.stats.health.Usable(elapsed) && b.stats.rateLimit.usable(now) && b.stats.standing.accepts() {
			return true
		}
	}
	if !untried {
		h.forgetTried()
	}
	return false
}

// forgetTried lets the servers that have refused the request be tried again.
func (h *handover) forgetTried() {
	now := time.Now()
	if h.forgetAt.IsZero() {
		h.forgetAt = now.Add(h.backoff)
	}
	if now.Before(h.forgetAt) {
		return
	}
	h.backoff, h.forgetAt = min(2*h.backoff, triedBackoffMax), time.Time{}
	clear(h.tried)
	for _, a := range append(slices.Clone(h.successors), h.incumbent) {
		h.tried[a.backend.server.ID] = true
	}
}

// run sends the request to a successor, until it has begun to answer or has failed.
func (h *handover) run(s *attempt) {
	defer h.ended.Done()
	s.fault = s.beginAnswer()
	if h.offer(s) {
		close(s.begun)
		return
	}
	// The request goes on without this attempt.
	if s.answer != nil {
		s.closeUnread()
	}
	withdrawn := context.Cause(s.ctx) != nil
	if s.fault == retry.FaultNone {
		s.cancel(errOvertaken)
		s.fault = retry.FaultCanceled
	}
	s.end()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open--
	h.count(s)
	s.log(h.request.sends+h.sends, h.request.runs+h.runs)
	if h.silent && h.incumbent != nil && h.chosen == nil && len(h.successors) == 0 && !withdrawn {
		h.watch(0)
	}
}

// offer reports whether the request goes on with a successor: it has begun to answer before the
// incumbent and the others, or has become the incumbent meanwhile.
func (h *handover) offer(s *attempt) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.incumbent == s {
		return true
	}
	at := slices.Index(h.successors, s)
	if at < 0 {
		return false
	}
	h.successors = slices.Delete(h.successors, at, at+1)
	h.changed.Broadcast()
	if s.fault != retry.FaultNone {
		return false
	}
	h.open--
	h.chosen = s
	h.cancelSuccessors()
	h.incumbent.cancel(errSuperseded)
	return true
}

// count counts an attempt that has ended.
func (h *handover) count(s *attempt) {
	if s.fault != retry.FaultNotSent {
		h.sends++
	}
	if !s.fault.NeverRan() {
		h.runs++
	}
	if s.failedAnswer != nil {
		h.request.failedAnswer = s.failedAnswer
	}
}

// cancelSuccessors cancels the successors. They count as open until they have ended.
func (h *handover) cancelSuccessors() {
	for _, s := range h.successors {
		s.cancel(errOvertaken)
	}
	h.successors = nil
}

// goOn is called before the incumbent writes to the client. It reports false if a successor has begun to
// answer before, or may still do so while the incumbent has broken off. The first events after a silence
// are held for at most the given time, since a server that was silent is likely to be the slower one.
func (h *handover) goOn(a *attempt, hold time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.awaitSuccessors(a, hold)
	if h.chosen != nil || h.incumbent != a || a.ahead.brokeOff() && len(h.successors) > 0 {
		return false
	}
	h.forwarding, h.silent = true, false
	h.cancelSuccessors()
	return true
}

// awaitSuccessors waits until one of the successors has begun to answer, all have failed, or the last one
// was sent that long ago.
func (h *handover) awaitSuccessors(a *attempt, hold time.Duration) {
	if len(h.successors) == 0 || h.chosen != nil || hold <= 0 {
		return
	}
	last := h.successors[len(h.successors)-1].progress
	if last.expected > 0 {
		hold = min(hold, holdPerExpected*last.expected)
	}
	left := hold - time.Since(last.sentAt)
	if left <= 0 {
		return
	}
	if a.ahead == nil {
		a.ahead = &readAhead{}
		go a.ahead.run(h, a.answer.Body)
	}
	expired := false
	timer := time.AfterFunc(left, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		expired = true
		h.changed.Broadcast()
	})
	defer timer.Stop()
	for !expired && h.chosen == nil && len(h.successors) > 0 && a.ahead.err == nil {
		h.changed.Wait()
	}
	a.ahead.stop = true
}

// waits is called when the incumbent waits for more of a stream.
func (h *handover) waits(stall time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forwarding = false
	if len(h.successors) == 0 && h.chosen == nil {
		h.watch(stall)
	}
}

// next counts the incumbent, which has failed, and returns the attempt that goes on; nil if there is
// none.
func (h *handover) next(failed *attempt) *attempt {
	h.mu.Lock()
	h.request.count(failed)
	failed.log(h.request.sends+h.sends, h.request.runs+h.runs)
	next := h.chosen
	h.incumbent, h.chosen = nil, nil
	if next == nil && len(h.successors) > 0 && h.ctx.Err() == nil {
		next, h.successors = h.successors[0], h.successors[1:]
		h.open--
	}
	if next != nil {
		h.incumbent, h.forwarding, h.silent = next, false, false
		h.watch(next.firstByteTimeout())
	} else {
		// A successor that begins to answer from now on is too late.
		h.cancelSuccessors()
	}
	h.mu.Unlock()
	if next == nil {
		h.settle()
	}
	return next
}

// settle cancels the successors, waits for their ends and counts them for the request.
func (h *handover) settle() {
	h.mu.Lock()
	chosen := h.chosen
	h.incumbent, h.chosen = nil, nil
	h.cancelSuccessors()
	h.mu.Unlock()
	if chosen != nil {
		chosen.closeUnread()
		chosen.cancel(errOvertaken)
		chosen.fault = retry.FaultCanceled
		chosen.end()
	}
	h.ended.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	if chosen != nil {
		h.count(chosen)
	}
	if h.alarm != nil {
		h.alarm.Stop()
	}
	h.request.sends += h.sends
	h.request.runs += h.runs
	maps.Copy(h.request.tried, h.tried)
	h.sends, h.runs, h.tried = 0, 0, nil
}
