package experiment

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/jsonc"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/ledger"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/placement"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/share"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/targets"
)

// aheadEvery is how often unloaded models are looked at for loading ahead.
const aheadEvery = time.Minute

type eventKind int

const (
	eventArrival eventKind = iota
	eventServed
	eventLoaded
	eventUnloaded
	eventKeep
	eventAhead
	eventPump
	eventDeadline
	eventLost
)

type event struct {
	at     time.Duration
	order  int // of events at one moment
	kind   eventKind
	model  *modelState
	zone   *zoneState
	life   int
	intent string
	loads  []running // of a load
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].order < e[j].order)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation runs one policy over one trace.
type simulation struct {
	scenario Scenario
	span     span
	policy   policy
	// unbounded starts loads without order or share at the store.
	unbounded bool
	class     *targets.Class
	zones     []*zoneState
	queue     events
	order     int
	now       time.Duration
	rand      *rand.Rand
	intent    int
	// reading counts the loads that read from the store now, over all zones.
	reading int
	d       *deployment
	measure measure
}

func newSimulation(d *deployment, s Scenario, t *trace, p policy, unbounded bool, seed uint64) *simulation {
	sim := &simulation{
		scenario: s, span: t.span, policy: p, unbounded: unbounded, d: d, rand: rand.New(rand.NewPCG(seed, 0x686f697374)),
		class: &targets.Class{
			Name: "interactive", StartWithin: jsonc.Duration(startWithin), MaxWait: jsonc.Duration(maxWait), Priority: 5,
		},
	}
	perSecond := share.Fractions(d.loadsPerSecond, zoneWeights)
	atOnce := share.Integers(d.loadsAtOnce, zoneWeights)
	for i, w := range zoneWeights {
		z := &zoneState{name: w.Zone, ledger: ledger.New(memoryShare), byName: map[port.ModelID]*modelState{}}
		z.store = placement.NewStoreQueue(epoch, perSecond[i], atOnce[i])
		if unbounded {
			z.store = placement.NewStoreQueue(epoch, math.MaxInt32, math.MaxInt32)
		}
		sim.zones = append(sim.zones, z)
	}
	for i := range d.runners {
		z := sim.zones[i%len(sim.zones)]
		z.servers = append(z.servers, &serverState{
			id: port.ServerID(fmt.Sprintf("runner-%02d", i)), zone: z,
			memory: cache{limit: hostBytes}, disk: cache{limit: diskBytes},
		})
	}
	sim.addModels(t)
	for _, z := range sim.zones {
		for _, server := range z.servers {
			z.ledger.Observe(server.report(), true)
		}
	}
	return sim
}

// addModels puts each model into its home zone, adapters into that of their base
// model.
func (s *simulation) addModels(t *trace) {
	states := make([]*modelState, len(t.specs))
	for i := range t.specs {
		spec := &t.specs[i]
		m := &modelState{spec: spec, arrivals: t.arrivals[i]}
		name := spec.info.ID
		if spec.base >= 0 {
			m.base = states[spec.base]
			m.base.adapters = append(m.base.adapters, m)
			name = spec.info.Base
		}
		home := share.ReplicaZones(name, 1, zoneWeights)[0]
		for _, z := range s.zones {
			if z.name == home {
				m.zone = z
				z.models = append(z.models, m)
				z.byName[spec.info.ID] = m
			}
		}
		states[i] = m
		s.scheduleArrival(m)
	}
	s.measure.from = t.learn
	s.add(event{at: aheadEvery, kind: eventAhead})
	if s.scenario == ScenarioLost {
		s.add(event{at: s.span.event, kind: eventLost})
	}
}

func (s *simulation) add(e event) {
	s.order++
	e.order = s.order
	heap.Push(&s.queue, e)
}

func (s *simulation) scheduleArrival(m *modelState) {
	if m.next < len(m.arrivals) {
		s.add(event{at: m.arrivals[m.next], kind: eventArrival, model: m})
	}
}

// run plays the trace to its end.
func (s *simulation) run() measure {
	for s.queue.Len() > 0 {
		e := heap.Pop(&s.queue).(event)
		if e.at >= s.span.length {
			break
		}
		s.now = e.at
		s.handle(&e)
	}
	s.now = s.span.length
	for _, z := range s.zones {
		for _, m := range z.models {
			s.count(m)
		}
	}
	return s.measure
}

func (s *simulation) handle(e *event) {
	switch e.kind {
	case eventArrival:
		s.arrive(e.model)
	case eventServed:
		s.served(e.model, e.life)
	case eventLoaded:
		s.loaded(e)
	case eventUnloaded:
		s.unloaded(e.model, e.intent)
	case eventKeep:
		s.keep(e.model, e.life)
	case eventAhead:
		s.loadAhead()
	case eventPump:
		s.pump(e.zone)
	case eventDeadline:
		s.expire(e.model)
	case eventLost:
		s.lose()
	}
}

// count adds the idle time of a replica up to now. It is called before anything
// that makes the replica idle or busy.
func (s *simulation) count(m *modelState) {
	from := max(m.counted, s.span.learn)
	if m.ready && !m.busy() && s.now > from {
		s.measure.idleHours += m.accelerators() * (s.now - from).Hours()
	}
	m.counted = s.now
}

// countAll counts a model and its base, whose work is connected.
func (s *simulation) countAll(m *modelState) {
	s.count(m)
	if m.base != nil {
		s.count(m.base)
	}
}

func (s *simulation) arrive(m *modelState) {
	m.next++
	s.scheduleArrival(m)
	s.policy.arrived(s.now, m)
	if m.base != nil {
		s.policy.arrived(s.now, m.base)
	}
	s.request(m)
}

func (s *simulation) request(m *modelState) {
	if m.ready && !m.unloading {
		s.serve(m, s.now)
		return
	}
	m.waiting = append(m.waiting, caller{at: s.now, deadline: s.now + maxWait})
	s.add(event{at: s.now + maxWait, kind: eventDeadline, model: m})
	s.wake(m)
}

// serve starts to answer a request that arrived at the given moment.
func (s *simulation) serve(m *modelState, arrived time.Duration) {
	s.measure.start(arrived, s.now-arrived)
	s.countAll(m)
	m.running++
	length := time.Duration(float64(m.spec.service) * (0.5 + s.rand.Float64()))
	s.add(event{at: s.now + length, kind: eventServed, model: m, life: m.life})
}

func (s *simulation) served(m *modelState, life int) {
	if m.life != life {
		return
	}
	s.countAll(m)
	m.running--
	s.becomeIdle(m)
	if m.base != nil {
		s.becomeIdle(m.base)
	}
	s.wakeAll(m.zone)
}

func (s *simulation) becomeIdle(m *modelState) {
	if m.ready && !m.busy() {
		m.idleSince = s.now
		s.checkAt(m, s.now)
	}
}

// checkAt plans the one look at whether to keep the replica.
func (s *simulation) checkAt(m *modelState, at time.Duration) {
	m.check++
	s.add(event{at: at, kind: eventKeep, model: m, life: m.check})
}

// keep asks the policy whether an idle replica stays.
func (s *simulation) keep(m *modelState, check int) {
	if m.check != check || !m.ready || m.unloading || m.busy() || m.held() {
		return
	}
	if !s.policy.keep(s.now, m) {
		s.unload(m)
		return
	}
	s.checkAt(m, s.now+max(time.Second, s.policy.recheck(s.now-m.idleSince)))
}

func (s *simulation) loadAhead() {
	for _, z := range s.zones {
		for _, m := range z.models {
			if m.server != nil || len(m.waiting) > 0 {
				continue
			}
			if m.wanted = s.policy.ahead(s.now, m); m.wanted {
				s.wake(m)
			}
		}
	}
	s.add(event{at: s.now + aheadEvery, kind: eventAhead})
}

// expire refuses the callers whose time is over.
func (s *simulation) expire(m *modelState) {
	s.refuse(m, s.now)
}

// refuse turns away the callers that can't be served before the moment given.
func (s *simulation) refuse(m *modelState, until time.Duration) {
	kept := m.waiting[:0]
	for _, c := range m.waiting {
		if c.deadline <= until {
			s.measure.refuse(c.at)
			continue
		}
		kept = append(kept, c)
	}
	m.waiting = kept
}
