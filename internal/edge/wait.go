package edge

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/serverpick"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/workload"
)

const (
	// minServiceTime is the remaining time below which a request is no longer sent: about
	// the time to the first event on an idle server.
	minServiceTime = 60 * time.Millisecond
	// slotRecheckInterval is how often a request that waits for a slot checks the servers
	// again.
	slotRecheckInterval = 20 * time.Millisecond
	// triedBackoff is the delay before a request is sent again to servers that have all
	// failed or refused it; a server that refused it may have completed an order by then.
	// The delay doubles each time, up to triedBackoffMax.
	triedBackoff    = 50 * time.Millisecond
	triedBackoffMax = 800 * time.Millisecond
	// drainCheckInterval is how often a waiting request checks whether the instance is
	// draining.
	drainCheckInterval = 500 * time.Millisecond
	// refusalMargin is how many times the time that a request can wait its expected wait must be for
	// it to be refused. The expected wait is a mean; requests that end, or servers that become
	// faster, can halve it.
	refusalMargin = 2
	// modelWaitShare is the share of its time that a request waits for a model that no
	// server is loading; the rest leaves the client time to retry.
	modelWaitShare = 0.6
)

// findServer waits until a server can serve the request and reserves a slot on it. It
// reports false and the refusal if no server is available in time.
func (q *request) findServer(ctx context.Context) (*backend, outcome, bool) {
	var done func()
	waitedFrom := time.Now()
	defer func() {
		q.progress.queued += time.Since(waitedFrom)
		q.endAwaitPermits()
		if done != nil {
			done()
		}
	}()
	for {
		// Requests that are already queued have precedence.
		q.edge.dispatchSlots(q.service)
		view := q.edge.views.Load()
		b, state := q.choose(view, q.tried)
		if b != nil {
			b.stats.inFlight.Add(1)
			return b, outcome{}, true
		}
		if state != waitSlot && state != waitPermit {
			q.expectedWait = 0 // it is expected anew when the request joins a queue
		}
		if out, refuse := q.checkRefusal(state, view); refuse {
			return nil, out, false
		}
		if (state == waitModel || (state == waitPermit || state == waitRest) && q.model != "") && done == nil {
			done = q.edge.demand.Wait(q.want())
		}
		b, more := q.waitForChange(ctx, view, state)
		if b != nil {
			return b, outcome{}, true
		}
		if !more {
			return nil, refused(reasonTooLate, 0), false
		}
	}
}

// waitState is the reason why no server can serve the request now.
type waitState uint8

const (
	waitNone    waitState = iota
	waitServer            // the service has no server
	waitModel             // no server holds the model
	waitSlot              // all servers that hold the model are full
	waitPermit            // a server that holds the model has room, but no permit for its rate limit
	waitRest              // all servers that hold the model want no requests for a time
	waitTried             // all servers that hold the model have been tried
	waitVersion           // the service has no server of the version that began the stream
)

// choose returns a server that can serve the request now, but for those in tried, and takes the permit and
// the turn that the request needs there. If there is none, it returns why.
func (q *request) choose(view *View, tried map[fleet.ServerID]bool) (*backend, waitState) {
	all := view.services[q.service]
	if len(all) == 0 {
		return nil, waitServer
	}
	now, elapsed, service := time.Now(), q.edge.elapsed(), q.edge.serviceLoad(q.service)
	buffers := candidateBuffers.Get().(*candidateBuffer)
	defer buffers.release()
	holders, candidates := buffers.holders[:0], buffers.candidates[:0]
	resting := 0
	for _, b := range all {
		if !q.servedBy(b) {
			continue
		}
		if b.stats.standing.restLeft(now) > 0 {
			resting++
			continue
		}
		holders = append(holders, b)
		load := b.loadAt(service, now)
		candidates = append(candidates, serverpick.Candidate{
			ID: string(b.server.ID), Hash: b.hash, Slowness: b.stats.speed.Slowness(now), SameZone: b.server.Zone == q.edge.cfg.Zone, Slots: b.server.Slots,
			Load: load, Usable: b.stats.health.Usable(elapsed), Tried: tried[b.server.ID],
			NeedsPermit: !b.stats.rateLimit.usable(now), Paced: !q.edge.brittleUsable(b, load, now),
		})
	}
	buffers.holders, buffers.candidates = holders, candidates
	for i := range candidates {
		c := &candidates[i]
		c.Load.ProbeAfter = serverpick.ProbeAfter(service.holding, c.Slots, service.instances, len(candidates))
	}
	switch {
	case len(holders) > 0:
	case resting > 0:
		return nil, waitRest
	case !slices.ContainsFunc(all, q.hasStreamVersion):
		return nil, waitVersion
	default:
		return nil, waitModel
	}
	if allTried(candidates) {
		return nil, waitTried
	}
	pick := serverpick.Request{
		Affinity: q.affinity, WaitForSlot: q.model != "",
		Spread: serverpick.SpreadOf(service.instances), Random: rand.Uint64(),
	}
	if q.model != "" {
		pick.Reading = q.expected.Reading
		pick.Objective, pick.SharedReading = q.route.TargetLatency, time.Duration(q.sharedPart*float64(q.expected.Reading))
	}
	return q.pickWithPermit(pick, holders, candidates, now)
}

// candidateBuffer holds the candidates of one choice.
type candidateBuffer struct {
	holders    []*backend
	candidates []serverpick.Candidate
}

var candidateBuffers = sync.Pool{New: func() any { return &candidateBuffer{} }}

// release returns the buffer to the pool, without the views that it refers to.
func (c *candidateBuffer) release() {
	clear(c.holders)
	candidateBuffers.Put(c)
}

// pickWithPermit chooses a server and takes a permit if the server states a rate limit. If the
// best server lacks a permit, a spare one is reserved for the next request. A request that has to
// wait reserves permits for all its servers.
func (q *request) pickWithPermit(pick serverpick.Request, holders []*backend, candidates []serverpick.Candidate, now time.Time) (*backend, waitState) {
	if slices.ContainsFunc(candidates, func(c serverpick.Candidate) bool { return c.NeedsPermit }) {
		best := pick
		best.WithoutPermit = true
		if i := serverpick.Pick(best, candidates); i >= 0 && candidates[i].NeedsPermit && serverpick.Pick(pick, candidates) >= 0 {
			q.edge.askForPermits(holders[i], true, now)
		}
	}
	for {
		i := serverpick.Pick(pick, candidates)
		if i < 0 {
			break
		}
		if !q.edge.takeBrittle(holders[i], candidates[i].Load, now) {
			// Another request has taken the turn.
			candidates[i].Paced = true
			continue
		}
		if holders[i].stats.rateLimit.take(now) {
			q.estimate = firstEventEstimate{firstEvent: pick.FirstEvent(&candidates[i]), slowness: candidates[i].Slowness}
			return holders[i], waitNone
		}
		// Another request has taken the permit.
		candidates[i].NeedsPermit = true
	}
	state := waitSlot
	for i, c := range candidates {
		if c.NeedsPermit && !c.Tried {
			q.edge.askForPermits(holders[i], false, now)
			state = waitPermit
		}
	}
	return nil, state
}

func allTried(candidates []serverpick.Candidate) bool {
	for _, c := range candidates {
		if !c.Tried {
			return false
		}
	}
	return true
}

// servedBy reports whether a server can serve the request: it runs, holds the model and, if the
// stream has begun, has the version that began it.
func (q *request) servedBy(b *backend) bool {
	return b.holds(q.model) && q.hasStreamVersion(b) && !b.stats.crash.crashed.Load()
}

func (q *request) hasStreamVersion(b *backend) bool {
	return q.streamVersion() == "" || b.server.Version == q.streamVersion()
}

func (q *request) want() Want {
	return Want{
		Service: q.service, Model: q.head.Model, Adapter: q.head.Adapter, ServerVersion: q.streamVersion(),
		Objective: q.route.TargetLatency, Remaining: time.Until(q.deadline), NonRepeatable: !q.route.Idempotent(),
		Work: q.expected.Work(q.slots), RunTime: q.expected.Reading + q.expected.Generation,
	}
}

func (q *request) workloadKind() workload.Kind {
	return workload.Kind{Route: q.route.Name, Model: q.head.Model}
}

// workload returns the estimator of a service's requests.
func (e *Edge) workload(service string) *workload.Estimator {
	if w, known := e.workloads.Load(service); known {
		return w.(*workload.Estimator)
	}
	w, _ := e.workloads.LoadOrStore(service, workload.NewEstimator())
	return w.(*workload.Estimator)
}

// checkRefusal decides whether a request that no server can serve is refused now or
// continues to wait. One that may have run isn't refused for what is only expected, since its
// client couldn't simply send it again.
func (q *request) checkRefusal(state waitState, view *View) (outcome, bool) {
	now := time.Now()
	if q.hasFailedAnswer() {
		// That answer is delivered at once if the repeat has to wait.
		return refused(reasonTried, 0), true
	}
	if !now.Before(q.waitLimit()) {
		if q.usefulUntil().Sub(now) > minServiceTime {
			return refused(reasonStopping, jitter(minRetryAfter)), true
		}
		return refused(reasonTooLate, 0), true
	}
	switch state {
	case waitServer:
		return refused(reasonNoServer, jitter(time.Second)), q.runs == 0
	case waitVersion:
		return refused(reasonNoVersion, 0), q.runs == 0
	case waitPermit:
		return q.checkRateLimits(view, now)
	case waitRest:
		return q.checkRest(view, now)
	case waitSlot:
		if q.model != "" {
			return q.checkQueue(view, now)
		}
		return q.checkBrittle(view, now)
	case waitTried:
		return outcome{}, false
	}
	engine := view.Manifest.Services[q.service].Engine
	if engine == nil {
		return refused(reasonNoServer, jitter(time.Second)), true
	}
	if _, known := engine.Models[q.head.Model]; !known {
		return refused(reasonNoModel, jitter(time.Second)), true
	}
	return q.checkModel(view, now)
}

// checkModel refuses a request for a model, or an adapter, that no server holds: at once if the load
// of the model in progress ends too late, because no other one is started for it, else after
// modelWait. An adapter can still be loaded on a server that holds its model.
func (q *request) checkModel(view *View, now time.Time) (outcome, bool) {
	loadedAt, loading := q.loadedAt(view)
	switch {
	case loading && q.inTime(loadedAt):
		return outcome{}, false
	case loading && loadedAt.After(now) && view.Holders(q.service, q.head.Model) == 0 && q.runs == 0:
		return refused(reasonNoModel, jitter(loadedAt.Sub(now))), true
	case !q.awaitsModel(now):
		return refused(reasonNoModel, jitter(time.Second)), true
	}
	return outcome{}, false
}

// awaitsModel reports whether the request still waits for a model that no server is loading.
func (q *request) awaitsModel(now time.Time) bool {
	return q.runs > 0 || now.Sub(q.arrived) <= q.modelWait()
}

// checkQueue refuses a request that waits for a slot if those before it take much longer than it can
// wait, and no other server is about to load the model.
func (q *request) checkQueue(view *View, now time.Time) (outcome, bool) {
	left := q.waitLimit().Sub(now)
	if q.runs > 0 || q.expectedWait <= refusalMargin*left || q.loadsInTime(view) {
		return outcome{}, false
	}
	q.edge.refusedEarly.Inc(1)
	return refused(reasonBusy, jitter(q.expectedWait-left)), true
}

// checkRateLimits refuses a request for whose servers too many others wait for permits. A
// request for a model that another server can load waits for that as for a model that no server
// holds.
func (q *request) checkRateLimits(view *View, now time.Time) (outcome, bool) {
	if q.permitsAwaited == nil {
		q.awaitPermits(view)
	} else if !q.awaitsLoad {
		return outcome{}, false
	}
	wait, before := permitDelay(q.permitsAwaited)
	if wait <= q.waitLimit().Sub(now) {
		q.awaitsLoad = false
		return outcome{}, false
	}
	q.awaitsLoad = q.loadsInTime(view) || q.awaitsModel(now) && q.canLoadElsewhere(view)
	if q.awaitsLoad || q.runs > 0 {
		return outcome{}, false
	}
	return refused(reasonRateLimit, jitter(before)), true
}

// checkRest refuses a request whose servers all want no requests for longer than it can wait, unless
// another one may load the model in time.
func (q *request) checkRest(view *View, now time.Time) (outcome, bool) {
	left := q.restLeft(view, now)
	if left <= q.waitLimit().Sub(now) ||
		q.loadsInTime(view) || q.awaitsModel(now) && q.canLoadElsewhere(view) {
		return outcome{}, false
	}
	return refused(reasonRest, jitter(left)), true
}

// restLeft returns the time until the first of the request's servers wants requests again.
func (q *request) restLeft(view *View, now time.Time) time.Duration {
	left := time.Duration(math.MaxInt64)
	for _, b := range view.services[q.service] {
		if q.servedBy(b) {
			left = min(left, b.stats.standing.restLeft(now))
		}
	}
	return left
}

// canLoadElsewhere reports whether a server that states no rate limit and accepts requests can load
// the model.
func (q *request) canLoadElsewhere(view *View) bool {
	return q.model != "" && slices.ContainsFunc(view.services[q.service], func(b *backend) bool {
		return q.hasStreamVersion(b) && !b.stats.rateLimit.limited.Load() && b.stats.standing.accepts()
	})
}

// awaitPermits counts the request as waiting for permits of its servers.
func (q *request) awaitPermits(view *View) {
	for _, b := range view.services[q.service] {
		if q.servedBy(b) {
			q.permitsAwaited = append(q.permitsAwaited, &b.stats.rateLimit)
			b.stats.rateLimit.awaited.Add(1)
		}
	}
}

// endAwaitPermits ends what awaitPermits began.
func (q *request) endAwaitPermits() {
	for _, l := range q.permitsAwaited {
		l.awaited.Add(-1)
	}
	q.permitsAwaited, q.awaitsLoad = nil, false
}

// modelWait is how long the request waits for a model that no server is loading.
func (q *request) modelWait() time.Duration {
	return time.Duration(modelWaitShare * float64(q.deadline.Sub(q.arrived)))
}

// usefulUntil is when the client leaves if nothing more is sent to it.
func (q *request) usefulUntil() time.Time {
	if !q.headWritten {
		return q.leavesAt
	}
	if patience := q.route.Patience(); patience > 0 && !q.progress.lastEventAt.IsZero() {
		return earlier(q.progress.lastEventAt.Add(patience), q.deadline)
	}
	return q.deadline
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// waitLimit returns until when the request can wait for a server.
func (q *request) waitLimit() time.Time { return q.edge.waitLimit(q.usefulUntil(), q.runs > 0) }

// inTime reports whether a model that is loaded at the given time is of use to the client.
func (q *request) inTime(loadedAt time.Time) bool {
	return loadedAt.Before(q.usefulUntil().Add(-minServiceTime))
}

// loadedAt returns when the first load of the model in progress is expected to end; false if
// there is none.
func (q *request) loadedAt(view *View) (first time.Time, loading bool) {
	for _, b := range view.services[q.service] {
		if at, found := b.loading[q.head.Model]; found && q.hasStreamVersion(b) && (!loading || at.Before(first)) {
			first, loading = at, true
		}
	}
	return first, loading
}

// loadsInTime reports whether a server is loading the model and is expected to finish in
// time.
func (q *request) loadsInTime(view *View) bool {
	at, loading := q.loadedAt(view)
	return loading && q.inTime(at)
}

// waitForChange waits until the view or the instance's state may have changed, or until a
// slot is granted, in which case it returns the server. It reports false if the request
// was canceled or its deadline has passed.
func (q *request) waitForChange(ctx context.Context, view *View, state waitState) (*backend, bool) {
	limit := time.Until(q.waitLimit())
	modelWait := time.Until(q.arrived.Add(q.modelWait()))
	if modelWait > 0 {
		limit = min(limit, modelWait)
	}
	switch state {
	case waitSlot, waitPermit:
		return q.waitForSlot(ctx, view, min(limit, slotRecheckInterval))
	case waitTried:
		limit = min(limit, q.triedBackoff)
	case waitRest:
		limit = min(limit, q.restLeft(view, time.Now()))
	}
	// The instance may start draining in the meantime.
	limit = min(limit, drainCheckInterval)
	timer := time.NewTimer(max(limit, time.Millisecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil, false
	case <-view.superseded:
	case <-timer.C:
		if state == waitTried {
			clear(q.tried)
			q.triedBackoff = min(2*q.triedBackoff, triedBackoffMax)
		}
	}
	return nil, true
}

// waitForSlot waits in the slot queue of the service for at most limit.
func (q *request) waitForSlot(ctx context.Context, view *View, limit time.Duration) (*backend, bool) {
	slots := q.edge.slots(q.service)
	w := slots.join(q)
	timer := time.NewTimer(max(limit, time.Millisecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		if b := slots.withdraw(w); b != nil {
			q.edge.release(q.service, b)
		}
		return nil, false
	case b := <-w.granted:
		return b, true
	case <-view.superseded:
	case <-timer.C:
	}
	// Dispatch in queue order before this request selects a server by itself.
	slots.dispatch(q.edge.views.Load(), false)
	return slots.withdraw(w), true
}
