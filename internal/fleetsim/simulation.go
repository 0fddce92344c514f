package fleetsim

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/demand"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/modelplan"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/serverpick"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/slotqueue"
)

const (
	service = "engine"
	// The next four values are those of internal/edge. maxModelWaitShare is the
	// fraction of its timeout for which a request waits for a model that isn't being
	// loaded. A request is refused if no server has been assigned to it by startMargin
	// before its deadline. A client retries a refused request after retryDelay and a
	// random part of retryJitter.
	maxModelWaitShare = 0.6
	startMargin       = 60 * time.Millisecond
	retryDelay        = time.Second
	retryJitter       = 250 * time.Millisecond
	// minPlanInterval and maxPlanInterval bound the time between two plans, as in
	// internal/placer.
	minPlanInterval = 5 * time.Millisecond
	maxPlanInterval = 250 * time.Millisecond
	// drainPeriod is how long the simulation continues after the end of the trace, so
	// that the remaining requests end.
	drainPeriod = 20 * time.Second
)

// epoch is the wall-clock time at virtual time zero.
var epoch = time.Unix(1_800_000_000, 0)

func wallClock(at time.Duration) time.Time { return epoch.Add(at) }

// request is one attempt of a client to get an answer.
type request struct {
	class *requestClass
	model string
	// firstArrivedAt is the time of the client's first attempt, arrivedAt that of this
	// one.
	firstArrivedAt, arrivedAt time.Duration
	retry                     bool
	engine                    *engine
	ticket                    *slotqueue.Ticket
	waitingForModel           bool
	firstEventSent, done      bool
}

func (r *request) deadline() time.Duration { return r.arrivedAt + r.class.timeout }

// event is a function to run at a virtual time. Events at the same time run in the
// order of seq.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].seq, e[j].seq)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulation runs one policy on one trace.
type simulation struct {
	deployment *deployment
	policy     policy
	random     *rand.Rand
	now        time.Duration
	events     events
	seq        int

	engines         []*engine
	models          map[string]modelplan.Model
	demand          *demand.Tracker
	tallies         map[demand.Key]demand.Tally
	waitingForModel []*request // in the order of arrival
	slotQueue       *slotqueue.Queue
	requestOf       map[*slotqueue.Ticket]*request
	fifoQueue       []*request // for a slot, without fair queueing

	lastPlanAt      time.Duration
	planScheduled   bool
	storeLoadStarts []time.Duration // start times of recent loads from the weight store
	statistics      *statistics
}

func newSimulation(d *deployment, p policy, trace []arrival, seed uint64) *simulation {
	s := &simulation{
		deployment: d, policy: p, random: rand.New(rand.NewPCG(seed, 2)), models: map[string]modelplan.Model{},
		demand: demand.NewTracker(time.Minute), tallies: map[demand.Key]demand.Tally{}, slotQueue: slotqueue.New(),
		requestOf: map[*slotqueue.Ticket]*request{}, statistics: newStatistics(d),
	}
	for n := range d.models {
		name := modelName(n)
		s.models[name] = modelplan.Model{
			Name: name, WeightsMB: modelMB, StoreLoad: storeLoadTime, DiskLoad: d.diskLoadTime, HostLoad: hostLoadTime,
		}
	}
	s.initEngines()
	for _, a := range trace {
		s.schedule(a.at, func() {
			s.statistics.recordRequest(a.class, a.at)
			s.arrive(&request{class: a.class, model: a.model, firstArrivedAt: a.at, arrivedAt: a.at})
		})
	}
	s.schedule(0, s.planPeriodically)
	return s
}

// initEngines assigns the models to the servers round-robin, and random models to the
// disk caches.
func (s *simulation) initEngines() {
	for n := range s.deployment.servers {
		e := &engine{id: "s" + strconv.Itoa(n), loadedAt: map[string]time.Duration{}, diskLoadTime: s.deployment.diskLoadTime}
		for place := range modelsPerServer {
			model := modelName((n*modelsPerServer + place) % s.deployment.models)
			e.loadedAt[model] = 0
			e.cacheCopies(model)
		}
		for _, m := range s.random.Perm(s.deployment.models)[:diskCacheModels-modelsPerServer] {
			if model := modelName(m); !slices.Contains(e.onDisk, model) {
				e.onDisk = append(e.onDisk, model)
			}
		}
		s.engines = append(s.engines, e)
	}
}

func (s *simulation) schedule(at time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: at, seq: s.seq, run: run})
}

// run processes the events in the order of time until the drain period ends.
func (s *simulation) run() {
	for len(s.events) > 0 && s.now <= traceLength+drainPeriod {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

func (s *simulation) planPeriodically() {
	s.plan()
	s.schedule(s.now+maxPlanInterval, s.planPeriodically)
}

// arrive counts the demand of a request, dispatches it and schedules its timeouts.
func (s *simulation) arrive(r *request) {
	key := demand.Key{Service: service, Model: r.model}
	t := s.tallies[key]
	t.Arrived++
	t.Work += r.class.work()
	if r.class.nonRepeatable {
		t.ArrivedNonRepeatable++
	}
	s.tallies[key] = t
	s.dispatch(r)
	if r.engine == nil {
		s.schedule(r.deadline()-startMargin, func() { s.refuse(r, false) })
		s.schedule(r.arrivedAt+time.Duration(maxModelWaitShare*float64(r.class.timeout)), func() { s.refuseUnlessLoading(r) })
	}
	s.schedule(r.deadline(), func() { s.abandon(r) })
}

// dispatch sends a request to a server, or queues it for a slot or for its model.
func (s *simulation) dispatch(r *request) {
	e, held := s.chooseServer(r)
	switch {
	case e != nil:
		s.start(r, e)
	case !held:
		r.waitingForModel = true
		s.waitingForModel = append(s.waitingForModel, r)
		s.requestPlan()
	case s.policy.fairQueueing:
		r.ticket = s.slotQueue.Enqueue(wallClock(s.now), slotqueue.Request{
			Route: r.class.name, Model: r.model, Priority: r.class.priority, NonRepeatable: r.class.nonRepeatable,
			Objective: wallClock(r.firstArrivedAt + r.class.objective), Deadline: wallClock(r.deadline()),
		})
		s.requestOf[r.ticket] = r
	default:
		s.fifoQueue = append(s.fifoQueue, r)
	}
}

// chooseServer returns a server with a free slot for the request, nil if there is none,
// and whether any server can serve its model.
func (s *simulation) chooseServer(r *request) (*engine, bool) {
	var servers []*engine
	var candidates []serverpick.Candidate
	for _, e := range s.engines {
		if e.canServe(r.model) {
			servers = append(servers, e)
			candidates = append(candidates, serverpick.Candidate{
				ID: e.id, Slots: slotsPerServer, Usable: true, Load: serverpick.Load{InFlight: int64(len(e.active)), Age: -1},
			})
		}
	}
	if len(servers) == 0 {
		return nil, false
	}
	if i := s.policy.pickServer(candidates, s.random); i >= 0 {
		return servers[i], true
	}
	return nil, true
}

func (s *simulation) start(r *request, e *engine) {
	r.engine = e
	e.advance(s.now)
	e.start(r)
	s.scheduleMilestone(e)
}

// scheduleMilestone schedules the engine's next milestone, if it has any.
func (s *simulation) scheduleMilestone(e *engine) {
	at, found := e.nextMilestone()
	if !found {
		return
	}
	version := e.version
	s.schedule(at, func() {
		if e.version != version {
			return
		}
		e.advance(s.now)
		answering, ended := e.reachMilestones()
		for _, r := range answering {
			r.firstEventSent = true
			s.statistics.recordFirstEvent(r, s.now)
		}
		for _, r := range ended {
			r.done = true
		}
		s.scheduleMilestone(e)
		if len(ended) > 0 {
			s.onRequestsEnded(e)
		}
	})
}

// onRequestsEnded proceeds with a pending unload of the engine and assigns the slots
// that have become free.
func (s *simulation) onRequestsEnded(e *engine) {
	if e.unloading != "" && !e.hasActiveRequests(e.unloading) {
		s.unloadThenLoad(e)
	}
	s.assignSlots()
}

// assignSlots assigns free slots to queued requests.
func (s *simulation) assignSlots() {
	if !s.policy.fairQueueing {
		s.fifoQueue = slices.DeleteFunc(s.fifoQueue, func(r *request) bool {
			e, _ := s.chooseServer(r)
			if e != nil {
				s.start(r, e)
			}
			return e != nil
		})
		return
	}
	s.slotQueue.Dispatch(wallClock(s.now), func(ticket *slotqueue.Ticket) (assigned, full bool) {
		r := s.requestOf[ticket]
		e, _ := s.chooseServer(r)
		if e == nil {
			return false, true
		}
		delete(s.requestOf, ticket)
		r.ticket = nil
		s.start(r, e)
		return true, false
	})
}

// refuseUnlessLoading refuses a request that waits for a model which no server is
// loading. Its client can retry.
func (s *simulation) refuseUnlessLoading(r *request) {
	for _, e := range s.engines {
		if e.loading == r.model {
			return
		}
	}
	if r.waitingForModel {
		s.refuse(r, true)
	}
}

// refuse ends a request to which no server has been assigned. If canRetry is set, the
// client retries once.
func (s *simulation) refuse(r *request, canRetry bool) {
	if r.engine != nil || r.done {
		return
	}
	s.dequeue(r)
	if canRetry && !r.retry {
		retryAt := s.now + retryDelay + time.Duration(s.random.Int64N(int64(retryJitter)))
		s.schedule(retryAt, func() {
			s.arrive(&request{class: r.class, model: r.model, firstArrivedAt: r.firstArrivedAt, arrivedAt: retryAt, retry: true})
		})
		return
	}
	s.statistics.recordRefusal(r)
}

// dequeue removes a request from all queues.
func (s *simulation) dequeue(r *request) {
	r.done, r.waitingForModel = true, false
	if r.ticket != nil {
		s.slotQueue.Remove(wallClock(s.now), r.ticket)
		delete(s.requestOf, r.ticket)
	}
	same := func(other *request) bool { return other == r }
	s.waitingForModel = slices.DeleteFunc(s.waitingForModel, same)
	s.fifoQueue = slices.DeleteFunc(s.fifoQueue, same)
}

// abandon ends a request in a batch whose client timed out before the first event.
func (s *simulation) abandon(r *request) {
	if r.firstEventSent || r.done || r.engine == nil {
		return
	}
	r.done = true
	e := r.engine
	e.advance(s.now)
	if i := slices.IndexFunc(e.active, func(a *activeRequest) bool { return a.request == r }); i >= 0 {
		heap.Remove(&e.active, i)
		e.version++
	}
	s.scheduleMilestone(e)
	s.onRequestsEnded(e)
}
