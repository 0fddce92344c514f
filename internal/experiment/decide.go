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

// running is one load of a model and, after its base, of an adapter.
type running struct {
	model   *modelState
	tier    placement.Tier
	started time.Duration
}

func (s *simulation) placementRequest(m *modelState) *placement.Request {
	r := &placement.Request{Model: m.spec.info, Waiting: len(m.waiting), Class: s.class}
	if m.wanted {
		r.Worth = s.policy.worth(s.now, m)
	}
	if m.base != nil {
		r.Base = m.base.spec.info
	}
	for _, c := range m.waiting {
		if at := epoch.Add(c.deadline); at.After(r.Patience) {
			r.Patience = at
		}
	}
	return r
}

// wake places a model that callers wait for, or that is loaded ahead.
func (s *simulation) wake(m *modelState) {
	if len(m.waiting) == 0 && !m.wanted {
		return
	}
	r := s.placementRequest(m)
	plan, refusal := placement.Place(epoch.Add(s.now), r, m.zone.view(s.now, s.policy))
	if plan.Action != placement.ActionNone {
		s.refuse(m, s.now+plan.ReadyIn)
	} else if refusal != nil {
		s.refuse(m, s.now+refusal.RetryAfter)
	}
	if len(m.waiting) == 0 && r.Waiting > 0 && plan.Action != placement.ActionNone {
		m.wanted = true // for the callers that were told when to come back
	}
	switch plan.Action {
	case placement.ActionEvict:
		s.evict(m, &plan)
	case placement.ActionLoad:
		if plan.Store && !s.unbounded {
			m.zone.store.Enter(plan.StoreLoad(r))
			m.entered = true
			s.pump(m.zone)
			return
		}
		s.load(m, &plan)
	case placement.ActionNone:
		m.wanted = false
	case placement.ActionWait:
	}
}

// evict unloads what is in the way.
func (s *simulation) evict(m *modelState, plan *placement.Plan) {
	for _, hold := range plan.Evict {
		s.unload(m.zone.model(hold.Model))
	}
}

// wakeAll places again what waits, when memory or a replica has become free.
func (s *simulation) wakeAll(z *zoneState) {
	var waiting []*modelState
	for _, m := range z.models {
		if (len(m.waiting) > 0 || m.wanted) && m.server == nil && !m.entered {
			waiting = append(waiting, m)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *modelState) int {
		return cmp.Compare(a.deadline(), b.deadline())
	})
	for _, m := range waiting {
		s.wake(m)
	}
}

// pump starts loads from the store as far as the zone's share admits.
func (s *simulation) pump(z *zoneState) {
	for {
		l, again, ok := z.store.Next(epoch.Add(s.now))
		if !ok {
			if at := again.Sub(epoch); !again.IsZero() && (z.pumpAt <= s.now || at < z.pumpAt) {
				z.pumpAt = at
				s.add(event{at: at, kind: eventPump, zone: z})
			}
			return
		}
		m := z.model(l.Model)
		m.entered = false
		s.admitted(m)
	}
}

// admitted places a load again at the moment when the store admits it.
func (s *simulation) admitted(m *modelState) {
	if len(m.waiting) == 0 && !m.wanted {
		return
	}
	r := s.placementRequest(m)
	plan, _ := placement.Place(epoch.Add(s.now), r, m.zone.view(s.now, s.policy))
	switch plan.Action {
	case placement.ActionLoad:
		s.load(m, &plan)
	case placement.ActionEvict:
		s.evict(m, &plan)
	case placement.ActionNone, placement.ActionWait:
		m.wanted = false
	}
}

func (s *simulation) newIntent() string {
	s.intent++
	return fmt.Sprintf("intent-%08d", s.intent)
}

// load records the plan's loads and starts the first of them.
func (s *simulation) load(m *modelState, plan *placement.Plan) {
	z := m.zone
	var loads []running
	for _, l := range plan.Loads {
		target := z.model(l.Model.ID)
		target.intent = s.newIntent()
		z.ledger.Open(ledger.Intent{
			ID: target.intent, Kind: port.OrderLoad, Model: l.Model.ID, Server: plan.Server, Bytes: l.Model.Bytes, Incarnation: plan.Incarnation,
		})
		for _, server := range z.servers {
			if server.id == plan.Server {
				target.server = server
			}
		}
		loads = append(loads, running{model: target, tier: l.Tier})
		s.measure.load(s.now)
	}
	m.wanted = false
	s.startLoad(z, loads)
}

func (s *simulation) startLoad(z *zoneState, loads []running) {
	first := &loads[0]
	first.started = s.now
	server, info := first.model.server, first.model.spec.info
	took := z.speeds.LoadTime(server.id, first.tier, info.Bytes)
	z.loads.Start(epoch.Add(s.now), server.id, info.ID, took)
	if first.tier == placement.TierRemote {
		s.reading++
		z.store.Start(epoch.Add(s.now), placement.StoreLoad{
			ID: first.model.intent, Model: info.ID, Took: took,
		})
	}
	s.add(event{
		at: s.now + s.loadTime(first.tier, info.Bytes), kind: eventLoaded, zone: z, model: first.model,
		intent: first.model.intent, loads: loads,
	})
}

// loadTime is how long a load truly takes.
func (s *simulation) loadTime(tier placement.Tier, bytes int64) time.Duration {
	speed := [...]float64{memorySpeed, diskSpeed, storeSpeed}[tier]
	if tier == placement.TierRemote {
		speed /= max(1, float64(s.reading)/float64(s.d.loadsAtOnce))
		if s.scenario == ScenarioSlowStore && s.now >= s.span.event && s.now < s.span.event+slowLength {
			speed /= slowFactor
		}
	}
	noise := math.Exp(0.15 * s.rand.NormFloat64())
	return loadOverhead + time.Duration(noise*float64(bytes)/speed*float64(time.Second))
}

func (s *simulation) loaded(e *event) {
	first, m, z := &e.loads[0], e.model, e.zone
	if m.server != nil {
		z.loads.End(m.server.id, m.spec.info.ID)
	}
	if first.tier == placement.TierRemote {
		s.reading--
		z.store.End(e.intent)
	}
	if m.intent != e.intent || m.server == nil {
		s.pump(z)
		return // lost meanwhile
	}
	info, server := m.spec.info, m.server
	z.ledger.Close(e.intent, recordpb.Outcome_RESULT_LOADED)
	z.speeds.Loaded(server.id, first.tier, info.Bytes, s.now-first.started)
	server.memory.touch(info.ID, info.Bytes)
	server.disk.touch(info.ID, info.Bytes)
	m.ready, m.readySince, m.counted, m.last = true, s.now, s.now, server
	m.life++
	waiting := m.waiting
	if len(waiting) > 0 {
		var waits time.Duration
		for _, c := range waiting {
			waits += s.now - c.at
		}
		s.policy.woke(m, waits, s.now-waiting[0].at)
	}
	m.waiting = nil
	for _, c := range waiting {
		s.serve(m, c.at)
	}
	s.becomeIdle(m)
	z.ledger.Observe(server.report(), true)
	if len(e.loads) > 1 && e.loads[1].model.server != nil {
		s.startLoad(z, e.loads[1:])
	}
	s.wakeAll(z)
	s.pump(z)
}

// unload decides an unload, after that of the adapters on it.
func (s *simulation) unload(m *modelState) {
	if m.server == nil || !m.ready || m.unloading {
		return
	}
	s.countAll(m)
	m.unloading = true
	id := s.newIntent()
	m.zone.ledger.Open(ledger.Intent{ID: id, Kind: port.OrderUnload, Model: m.spec.info.ID, Server: m.server.id})
	s.add(event{at: s.now + unloadTime, kind: eventUnloaded, model: m, intent: id, life: m.life})
}

func (s *simulation) unloaded(m *modelState, intent string) {
	if !m.unloading {
		return // lost meanwhile
	}
	s.countAll(m)
	z := m.zone
	z.ledger.Close(intent, recordpb.Outcome_RESULT_FREED)
	z.speeds.Unloaded(unloadTime)
	server := m.server
	m.reset()
	z.ledger.Observe(server.report(), true)
	if m.base != nil {
		s.checkAt(m.base, s.now)
	}
	s.wakeAll(z)
	s.pump(z)
}

func (m *modelState) reset() {
	m.server, m.intent, m.ready, m.unloading, m.running = nil, "", false, false, 0
	m.life++
}

// lose takes a server away with all that is on it. Its running requests are
// repeatable and come again at once.
func (s *simulation) lose() {
	z := s.zones[0]
	server := z.servers[0]
	server.gone = true
	var again []*modelState
	for _, m := range z.models {
		if m.server != server {
			continue
		}
		s.countAll(m)
		z.ledger.Close(m.intent, recordpb.Outcome_RESULT_LOST)
		for range m.running {
			again = append(again, m)
		}
		m.reset()
	}
	for _, m := range again {
		s.request(m)
	}
	s.wakeAll(z)
}
