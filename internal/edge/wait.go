package edge

import (
	"context"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/serverpick"
)

const (
	// leastServiceTime is the time left below which a request isn't sent any
	// more: a first event takes about that on an idle server.
	leastServiceTime = 60 * time.Millisecond
	// fullRecheck is how often a request that waits for a slot looks again.
	fullRecheck = 20 * time.Millisecond
	// triedPause is the pause before servers are tried again that have all failed
	// the request; one that refused it may be through with an order by then.
	// Each further pause is twice as long, up to triedPauseMax.
	triedPause    = 50 * time.Millisecond
	triedPauseMax = 800 * time.Millisecond
	// drainRecheck is how often a request that waits looks whether the instance is
	// stopping.
	drainRecheck = 500 * time.Millisecond
	// patienceShare is the part of its time that a request waits for a model that
	// isn't being loaded; the rest leaves its client time to come back.
	patienceShare = 0.6
)

// findServer waits until a server can take the request, and reserves a place there.
// It reports false with the refusal if none will in time.
func (q *request) findServer(ctx context.Context) (*backend, outcome, bool) {
	var done func()
	defer func() {
		if done != nil {
			done()
		}
	}()
	for {
		// Those that wait already come first.
		q.edge.giveOutSlots(q.service)
		view := q.edge.views.Load()
		b, state := q.choose(view)
		if b != nil {
			b.stats.own.Add(1)
			return b, outcome{}, true
		}
		if out, refuse := q.refuse(state, view); refuse {
			return nil, out, false
		}
		if state == waitModel && done == nil {
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

// waitState is why no server takes the request at this moment.
type waitState uint8

const (
	waitNone   waitState = iota
	waitServer           // the service has no server left
	waitModel            // none holds the model
	waitSlot             // those that hold it are full
	waitTried            // those that hold it have all been tried
)

func (q *request) choose(view *View) (*backend, waitState) {
	all := view.services[q.service]
	if len(all) == 0 {
		return nil, waitServer
	}
	now, since := time.Now(), q.edge.since()
	holders := make([]*backend, 0, len(all))
	candidates := make([]serverpick.Candidate, 0, len(all))
	for _, b := range all {
		if !b.holds(q.model) {
			continue
		}
		holders = append(holders, b)
		candidates = append(candidates, serverpick.Candidate{
			ID: string(b.server.ID), SameZone: b.server.Zone == q.edge.cfg.Zone, Slots: b.server.Slots,
			Load: b.stats.loadAt(now), Usable: b.stats.health.Usable(since), Tried: q.tried[b.server.ID],
		})
	}
	if len(holders) == 0 {
		return nil, waitModel
	}
	if allTried(candidates) {
		return nil, waitTried
	}
	i := serverpick.Pick(serverpick.Request{Affinity: q.affinity, Patient: q.model != ""}, candidates)
	if i < 0 {
		return nil, waitSlot
	}
	return holders[i], waitNone
}

func allTried(candidates []serverpick.Candidate) bool {
	for _, c := range candidates {
		if !c.Tried {
			return false
		}
	}
	return true
}

func (q *request) want() Want {
	return Want{
		Service: q.service, Model: q.head.Model, Adapter: q.head.Adapter,
		Target: q.route.TargetLatency, Left: time.Until(q.deadline), Lasting: !q.route.Idempotent(),
	}
}

// refuse decides whether a request that no server can take is turned away now.
func (q *request) refuse(state waitState, view *View) (outcome, bool) {
	now := time.Now()
	if !now.Before(q.edge.waitLimit(q.deadline)) {
		if q.deadline.Sub(now) > leastServiceTime {
			return refused(reasonStopping, spread(retryAfterLeast)), true
		}
		return refused(reasonTooLate, 0), true
	}
	switch state {
	case waitServer:
		return refused(reasonNoServer, spread(time.Second)), true
	case waitSlot, waitTried:
		return outcome{}, false
	}
	engine := view.Manifest.Services[q.service].Engine
	if engine == nil {
		return refused(reasonNoServer, spread(time.Second)), true
	}
	if _, known := engine.Models[q.head.Model]; !known {
		return refused(reasonNoModel, spread(time.Second)), true
	}
	limit := q.deadline.Sub(q.arrived)
	if now.Sub(q.arrived) > time.Duration(patienceShare*float64(limit)) && !q.loadsInTime(view) {
		return refused(reasonNoModel, spread(time.Second)), true
	}
	return outcome{}, false
}

// loadsInTime reports whether a server is loading the model and ends in time.
func (q *request) loadsInTime(view *View) bool {
	for _, b := range view.services[q.service] {
		if at, loading := b.loading[q.head.Model]; loading && at.Before(q.deadline.Add(-leastServiceTime)) {
			return true
		}
	}
	return false
}

// waitForChange waits until something may have changed, or until a slot is free for
// the request at the server that it returns. It reports false if the request is over.
func (q *request) waitForChange(ctx context.Context, view *View, state waitState) (*backend, bool) {
	limit := time.Until(q.edge.waitLimit(q.deadline))
	patience := time.Until(q.arrived.Add(time.Duration(patienceShare * float64(q.deadline.Sub(q.arrived)))))
	if patience > 0 {
		limit = min(limit, patience)
	}
	switch state {
	case waitSlot:
		return q.waitForSlot(ctx, view, min(limit, fullRecheck))
	case waitTried:
		limit = min(limit, q.triedPause)
	}
	// The instance may start draining meanwhile.
	limit = min(limit, drainRecheck)
	timer := time.NewTimer(max(limit, time.Millisecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil, false
	case <-view.superseded:
	case <-timer.C:
		if state == waitTried {
			clear(q.tried)
			q.triedPause = min(2*q.triedPause, triedPauseMax)
		}
	}
	return nil, true
}

// waitForSlot waits in the queue of the service for at most limit.
func (q *request) waitForSlot(ctx context.Context, view *View, limit time.Duration) (*backend, bool) {
	slots := q.edge.slots(q.service)
	w := slots.join(q)
	timer := time.NewTimer(max(limit, time.Millisecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		if b := slots.leave(w); b != nil {
			q.edge.release(q.service, b)
		}
		return nil, false
	case b := <-w.given:
		return b, true
	case <-view.superseded:
	case <-timer.C:
	}
	// In turn, before this request looks by itself.
	slots.giveOut(q.edge.views.Load(), false)
	return slots.leave(w), true
}
