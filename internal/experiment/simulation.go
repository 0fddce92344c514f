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

// preloadInterval is the interval between two decisions on which models to preload.
const preloadInterval = time.Minute

type eventKind int

const (
	eventArrival eventKind = iota
	eventRequestDone
	eventLoaded
	eventUnloaded
	eventKeepAliveCheck
	eventPreload
	eventStoreAdmission
	eventWaitExpired
	eventServerLost
)

// event is a change of the simulation's state at a virtual time.
type event struct {
	at         time.Duration
	sequence   int // order of events at the same time
	kind       eventKind
	model      *modelState
	zone       *zoneState
	generation int
	intent     string
	loads      []modelLoad // of eventLoaded
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].sequence < e[j].sequence)
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
	// unlimitedStore starts loads from the weight store without queue and limits.
	unlimitedStore bool
	requestClass   *targets.Class
	zones          []*zoneState
	queue          events
	lastSequence   int
	now            time.Duration
	rand           *rand.Rand
	lastIntent     int
	// storeReaders is the number of loads that are reading from the weight store, in
	// all zones.
	storeReaders int
	deployment   *deployment
	statistics   statistics
}

func newSimulation(d *deployment, s Scenario, t *trace, p policy, unlimitedStore bool, seed uint64) *simulation {
	sim := &simulation{
		scenario: s, span: t.span, policy: p, unlimitedStore: unlimitedStore, deployment: d, rand: rand.New(rand.NewPCG(seed, 0x686f697374)),
		requestClass: &targets.Class{
			Name: "interactive", StartWithin: jsonc.Duration(startWithin), MaxWait: jsonc.Duration(maxWait), Priority: 5,
		},
	}
	perSecond := share.Fractions(d.loadsPerSecond, zoneWeights)
	atOnce := share.Integers(d.loadsAtOnce, zoneWeights)
	for i, w := range zoneWeights {
		z := &zoneState{name: w.Zone, ledger: ledger.New(memoryShare), byName: map[port.ModelID]*modelState{}}
		z.store = placement.NewStoreQueue(epoch, perSecond[i], atOnce[i])
		if unlimitedStore {
			z.store = placement.NewStoreQueue(epoch, math.MaxInt32, math.MaxInt32)
		}
		sim.zones = append(sim.zones, z)
	}
	for i := range d.runners {
		z := sim.zones[i%len(sim.zones)]
		z.servers = append(z.servers, &serverState{
			id: port.ServerID(fmt.Sprintf("runner-%02d", i)), zone: z,
			memory: checkpointCache{limit: hostBytes}, disk: checkpointCache{limit: diskBytes},
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

// addModels adds each model to its home zone and schedules its first arrival. The home
// zone of an adapter is that of its base model.
func (s *simulation) addModels(t *trace) {
	states := make([]*modelState, len(t.specs))
	for i := range t.specs {
		spec := &t.specs[i]
		m := &modelState{spec: spec, arrivals: t.arrivals[i]}
		name := spec.info.ID
		if spec.baseIndex >= 0 {
			m.base = states[spec.baseIndex]
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
	s.statistics.measureFrom = t.warmup
	s.add(event{at: preloadInterval, kind: eventPreload})
	if s.scenario == ScenarioLost {
		s.add(event{at: s.span.disruptionAt, kind: eventServerLost})
	}
}

func (s *simulation) add(e event) {
	s.lastSequence++
	e.sequence = s.lastSequence
	heap.Push(&s.queue, e)
}

func (s *simulation) scheduleArrival(m *modelState) {
	if m.nextIndex < len(m.arrivals) {
		s.add(event{at: m.arrivals[m.nextIndex], kind: eventArrival, model: m})
	}
}

// run processes the events until the trace ends and returns the measurements.
func (s *simulation) run() statistics {
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
			s.accountIdle(m)
		}
	}
	return s.statistics
}

func (s *simulation) handle(e *event) {
	switch e.kind {
	case eventArrival:
		s.arrive(e.model)
	case eventRequestDone:
		s.finishRequest(e.model, e.generation)
	case eventLoaded:
		s.finishLoad(e)
	case eventUnloaded:
		s.finishUnload(e.model, e.intent)
	case eventKeepAliveCheck:
		s.checkKeepAlive(e.model, e.generation)
	case eventPreload:
		s.preloadModels()
	case eventStoreAdmission:
		s.admitStoreLoads(e.zone)
	case eventWaitExpired:
		s.refuseExpired(e.model)
	case eventServerLost:
		s.loseServer()
	}
}

// accountIdle adds the idle time of a replica up to now to the statistics. It must be
// called before a change that makes the replica idle or busy.
func (s *simulation) accountIdle(m *modelState) {
	from := max(m.idleAccountedUntil, s.span.warmup)
	if m.ready && !m.busy() && s.now > from {
		s.statistics.idleHours += m.accelerators() * (s.now - from).Hours()
	}
	m.idleAccountedUntil = s.now
}

// accountIdleWithBase accounts for the idle time of a model and of its base model, which
// is busy while an adapter has work.
func (s *simulation) accountIdleWithBase(m *modelState) {
	s.accountIdle(m)
	if m.base != nil {
		s.accountIdle(m.base)
	}
}

func (s *simulation) arrive(m *modelState) {
	m.nextIndex++
	s.scheduleArrival(m)
	s.policy.recordArrival(s.now, m)
	if m.base != nil {
		s.policy.recordArrival(s.now, m.base)
	}
	s.request(m)
}

// request serves a request or lets it wait for a replica.
func (s *simulation) request(m *modelState) {
	if m.ready && !m.unloading {
		s.serve(m, s.now)
		return
	}
	m.waiting = append(m.waiting, waitingCaller{arrivedAt: s.now, deadline: s.now + maxWait})
	s.add(event{at: s.now + maxWait, kind: eventWaitExpired, model: m})
	s.wake(m)
}

// serve starts a request that arrived at the given time.
func (s *simulation) serve(m *modelState, arrived time.Duration) {
	s.statistics.recordStart(arrived, s.now-arrived)
	s.accountIdleWithBase(m)
	m.running++
	length := time.Duration(float64(m.spec.serviceTime) * (0.5 + s.rand.Float64()))
	s.add(event{at: s.now + length, kind: eventRequestDone, model: m, generation: m.generation})
}

func (s *simulation) finishRequest(m *modelState, generation int) {
	if m.generation != generation {
		return
	}
	s.accountIdleWithBase(m)
	m.running--
	s.becomeIdle(m)
	if m.base != nil {
		s.becomeIdle(m.base)
	}
	s.wakeWaiting(m.zone)
}

func (s *simulation) becomeIdle(m *modelState) {
	if m.ready && !m.busy() {
		m.idleSince = s.now
		s.scheduleCheck(m, s.now)
	}
}

// scheduleCheck schedules the next keep-alive check of a replica and cancels the one
// that was scheduled before.
func (s *simulation) scheduleCheck(m *modelState, at time.Duration) {
	m.checkID++
	s.add(event{at: at, kind: eventKeepAliveCheck, model: m, generation: m.checkID})
}

// checkKeepAlive unloads an idle replica if the policy doesn't keep it loaded, and
// schedules the next check otherwise.
func (s *simulation) checkKeepAlive(m *modelState, checkID int) {
	if m.checkID != checkID || !m.ready || m.unloading || m.busy() || m.hasPlacedAdapters() {
		return
	}
	if !s.policy.keepLoaded(s.now, m) {
		s.startUnload(m)
		return
	}
	s.scheduleCheck(m, s.now+max(time.Second, s.policy.nextCheck(s.now-m.idleSince)))
}

// preloadModels starts the loads that the policy wants ahead of demand.
func (s *simulation) preloadModels() {
	for _, z := range s.zones {
		for _, m := range z.models {
			if m.server != nil || len(m.waiting) > 0 {
				continue
			}
			if m.preload = s.policy.preload(s.now, m); m.preload {
				s.wake(m)
			}
		}
	}
	s.add(event{at: s.now + preloadInterval, kind: eventPreload})
}

// refuseExpired refuses the callers whose deadline has passed.
func (s *simulation) refuseExpired(m *modelState) {
	s.refuseBefore(m, s.now)
}

// refuseBefore refuses the callers whose deadline isn't after the given moment.
func (s *simulation) refuseBefore(m *modelState, moment time.Duration) {
	remaining := m.waiting[:0]
	for _, c := range m.waiting {
		if c.deadline <= moment {
			s.statistics.recordRefusal(c.arrivedAt)
			continue
		}
		remaining = append(remaining, c)
	}
	m.waiting = remaining
}
