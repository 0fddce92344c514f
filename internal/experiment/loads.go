package experiment

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/ledger"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/placement"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/record/recordpb"
)

// modelLoad is the load of one model. The load of an adapter follows that of its base
// model.
type modelLoad struct {
	model     *modelState
	tier      placement.Tier
	startedAt time.Duration
}

// placementRequest describes a model and its waiting callers for placement.Place.
func (s *simulation) placementRequest(m *modelState) *placement.Request {
	r := &placement.Request{Model: m.spec.info, Waiting: len(m.waiting), Class: s.requestClass}
	if m.preload {
		r.Worth = s.policy.worth(s.now, m)
	}
	if m.base != nil {
		r.Base = m.base.spec.info
	}
	for _, c := range m.waiting {
		if at := epoch.Add(c.deadline); at.After(r.Deadline) {
			r.Deadline = at
		}
	}
	return r
}

// wake requests a placement for a model that callers wait for or that is to be
// preloaded, and applies the plan.
func (s *simulation) wake(m *modelState) {
	if len(m.waiting) == 0 && !m.preload {
		return
	}
	r := s.placementRequest(m)
	plan, refusal := placement.Place(epoch.Add(s.now), r, m.zone.view(s.now, s.policy))
	if plan.Action != placement.ActionNone {
		s.refuseBefore(m, s.now+plan.ReadyIn)
	} else if refusal != nil {
		s.refuseBefore(m, s.now+refusal.RetryAfter)
	}
	if len(m.waiting) == 0 && r.Waiting > 0 && plan.Action != placement.ActionNone {
		m.preload = true // for the refused callers, who will retry
	}
	switch plan.Action {
	case placement.ActionEvict:
		s.evict(m, &plan)
	case placement.ActionLoad:
		if plan.Store && !s.unlimitedStore {
			m.zone.store.Add(plan.StoreLoad(r))
			m.queuedAtStore = true
			s.admitStoreLoads(m.zone)
			return
		}
		s.openLoads(m, &plan)
	case placement.ActionNone:
		m.preload = false
	case placement.ActionWait:
	}
}

// evict unloads the models that the plan evicts.
func (s *simulation) evict(m *modelState, plan *placement.Plan) {
	for _, allocation := range plan.Evict {
		s.startUnload(m.zone.model(allocation.Model))
	}
}

// wakeWaiting repeats the placement of all waiting models of a zone, the earliest
// deadline first. It is called when memory or a replica has become free.
func (s *simulation) wakeWaiting(z *zoneState) {
	var waiting []*modelState
	for _, m := range z.models {
		if (len(m.waiting) > 0 || m.preload) && m.server == nil && !m.queuedAtStore {
			waiting = append(waiting, m)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *modelState) int {
		return cmp.Compare(a.firstDeadline(), b.firstDeadline())
	})
	for _, m := range waiting {
		s.wake(m)
	}
}

// admitStoreLoads starts the queued loads from the weight store that the zone's share
// of the store admits, and schedules the next admission.
func (s *simulation) admitStoreLoads(z *zoneState) {
	for {
		storeLoad, retryAt, ok := z.store.Next(epoch.Add(s.now))
		if !ok {
			if at := retryAt.Sub(epoch); !retryAt.IsZero() && (z.nextAdmissionAt <= s.now || at < z.nextAdmissionAt) {
				z.nextAdmissionAt = at
				s.add(event{at: at, kind: eventStoreAdmission, zone: z})
			}
			return
		}
		m := z.model(storeLoad.Model)
		m.queuedAtStore = false
		s.startAdmittedLoad(m)
	}
}

// startAdmittedLoad repeats the placement of a model when the store admits its load,
// because the zone may have changed since the load was queued.
func (s *simulation) startAdmittedLoad(m *modelState) {
	if len(m.waiting) == 0 && !m.preload {
		return
	}
	r := s.placementRequest(m)
	plan, _ := placement.Place(epoch.Add(s.now), r, m.zone.view(s.now, s.policy))
	switch plan.Action {
	case placement.ActionLoad:
		s.openLoads(m, &plan)
	case placement.ActionEvict:
		s.evict(m, &plan)
	case placement.ActionNone, placement.ActionWait:
		m.preload = false
	}
}

func (s *simulation) nextIntentID() string {
	s.lastIntent++
	return fmt.Sprintf("intent-%08d", s.lastIntent)
}

// openLoads opens the intents of the plan's loads in the ledger and starts the first
// load.
func (s *simulation) openLoads(m *modelState, plan *placement.Plan) {
	z := m.zone
	var loads []modelLoad
	for _, planned := range plan.Loads {
		target := z.model(planned.Model.ID)
		target.intent = s.nextIntentID()
		z.ledger.Open(ledger.Intent{
			ID: target.intent, Kind: port.OrderLoad, Model: planned.Model.ID, Server: plan.Server, Bytes: planned.Model.Bytes, Incarnation: plan.Incarnation,
		})
		for _, server := range z.servers {
			if server.id == plan.Server {
				target.server = server
			}
		}
		loads = append(loads, modelLoad{model: target, tier: planned.Tier})
		s.statistics.recordLoad(s.now)
	}
	m.preload = false
	s.startLoad(z, loads)
}

// startLoad starts the first of the loads. The others follow when it has finished.
func (s *simulation) startLoad(z *zoneState, loads []modelLoad) {
	first := &loads[0]
	first.startedAt = s.now
	server, info := first.model.server, first.model.spec.info
	estimate := z.speeds.LoadTime(server.id, first.tier, info.Bytes)
	z.progress.Start(epoch.Add(s.now), server.id, info.ID, estimate)
	if first.tier == placement.TierRemote {
		s.storeReaders++
		z.store.Start(epoch.Add(s.now), placement.StoreLoad{
			ID: first.model.intent, Model: info.ID, Estimate: estimate,
		})
	}
	s.add(event{
		at: s.now + s.loadTime(first.tier, info.Bytes), kind: eventLoaded, zone: z, model: first.model,
		intent: first.model.intent, loads: loads,
	})
}

// loadTime returns the actual duration of a load, with log-normal noise. Reads from the
// weight store beyond deployment.loadsAtOnce share its bandwidth.
func (s *simulation) loadTime(tier placement.Tier, bytes int64) time.Duration {
	speed := [...]float64{memorySpeed, diskSpeed, storeSpeed}[tier]
	if tier == placement.TierRemote {
		speed /= max(1, float64(s.storeReaders)/float64(s.deployment.loadsAtOnce))
		if s.scenario == ScenarioSlowStore && s.now >= s.span.disruptionAt && s.now < s.span.disruptionAt+slowStoreDuration {
			speed /= slowStoreFactor
		}
	}
	noise := math.Exp(0.15 * s.rand.NormFloat64())
	return loadOverhead + time.Duration(noise*float64(bytes)/speed*float64(time.Second))
}

// finishLoad makes the replica ready, serves its waiting callers and starts the load
// that follows. If the server was lost during the load, it only ends the load in the
// queue of the weight store.
func (s *simulation) finishLoad(e *event) {
	first, m, z := &e.loads[0], e.model, e.zone
	if m.server != nil {
		z.progress.End(m.server.id, m.spec.info.ID)
	}
	if first.tier == placement.TierRemote {
		s.storeReaders--
		z.store.End(e.intent)
	}
	if m.intent != e.intent || m.server == nil {
		s.admitStoreLoads(z)
		return // the server was lost during the load
	}
	info, server := m.spec.info, m.server
	z.ledger.Close(e.intent, recordpb.Outcome_RESULT_LOADED)
	z.speeds.Loaded(server.id, first.tier, info.Bytes, s.now-first.startedAt)
	server.memory.touch(info.ID, info.Bytes)
	server.disk.touch(info.ID, info.Bytes)
	m.ready, m.readySince, m.idleAccountedUntil, m.lastServer = true, s.now, s.now, server
	m.generation++
	waiting := m.waiting
	if len(waiting) > 0 {
		var totalWait time.Duration
		for _, c := range waiting {
			totalWait += s.now - c.arrivedAt
		}
		s.policy.recordColdStart(m, totalWait, s.now-waiting[0].arrivedAt)
	}
	m.waiting = nil
	for _, c := range waiting {
		s.serve(m, c.arrivedAt)
	}
	s.becomeIdle(m)
	z.ledger.Observe(server.report(), true)
	if len(e.loads) > 1 && e.loads[1].model.server != nil {
		s.startLoad(z, e.loads[1:])
	}
	s.wakeWaiting(z)
	s.admitStoreLoads(z)
}

// startUnload starts the unload of a ready replica. The unloads of its adapters must have
// been started before.
func (s *simulation) startUnload(m *modelState) {
	if m.server == nil || !m.ready || m.unloading {
		return
	}
	s.accountIdleWithBase(m)
	m.unloading = true
	id := s.nextIntentID()
	m.zone.ledger.Open(ledger.Intent{ID: id, Kind: port.OrderUnload, Model: m.spec.info.ID, Server: m.server.id})
	s.add(event{at: s.now + unloadTime, kind: eventUnloaded, model: m, intent: id, generation: m.generation})
}

// finishUnload frees the memory of the replica and places waiting models.
func (s *simulation) finishUnload(m *modelState, intent string) {
	if !m.unloading {
		return // the server was lost during the unload
	}
	s.accountIdleWithBase(m)
	z := m.zone
	z.ledger.Close(intent, recordpb.Outcome_RESULT_FREED)
	z.speeds.Unloaded(unloadTime)
	server := m.server
	m.reset()
	z.ledger.Observe(server.report(), true)
	if m.base != nil {
		s.scheduleCheck(m.base, s.now)
	}
	s.wakeWaiting(z)
	s.admitStoreLoads(z)
}

// reset marks the model as not loaded.
func (m *modelState) reset() {
	m.server, m.intent, m.ready, m.unloading, m.running = nil, "", false, false, 0
	m.generation++
}

// loseServer removes a server with all its replicas. The requests that ran on it are
// repeatable and are retried immediately.
func (s *simulation) loseServer() {
	z := s.zones[0]
	server := z.servers[0]
	server.lost = true
	var restarted []*modelState
	for _, m := range z.models {
		if m.server != server {
			continue
		}
		s.accountIdleWithBase(m)
		z.ledger.Close(m.intent, recordpb.Outcome_RESULT_LOST)
		for range m.running {
			restarted = append(restarted, m)
		}
		m.reset()
	}
	for _, m := range restarted {
		s.request(m)
	}
	s.wakeWaiting(z)
}
