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
	"github.com/cyclamenhoist/cyclamenhoist/pkg/slotturns"
)

const (
	service = "engine"
	// patienceShare, lastMoment and comeBack are as in internal/edge: how long a
	// request waits for a model that nobody loads, until when it may start, and when
	// its client is asked to come back.
	patienceShare = 0.6
	lastMoment    = 60 * time.Millisecond
	comeBack      = time.Second
	comeBackMore  = 250 * time.Millisecond
	// planPause is the least time between two plans, idlePlan the most.
	planPause = 5 * time.Millisecond
	idlePlan  = 250 * time.Millisecond
	// forgetting is how long after the last arrival the simulation goes on.
	forgetting = 20 * time.Second
)

// epoch is the wall clock at virtual time zero.
var epoch = time.Unix(1_800_000_000, 0)

func clock(at time.Duration) time.Time { return epoch.Add(at) }

// request is one attempt of a client.
type request struct {
	kind  *kind
	model string
	// wished is when its client asked first, arrived when this attempt did.
	wished, arrived time.Duration
	again           bool
	engine          *engine
	ticket          *slotturns.Ticket
	waiting         bool // for the model
	begun, over     bool
}

func (r *request) limit() time.Duration { return r.arrived + r.kind.limit }

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq int
	do  func()
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

type simulation struct {
	deployment *deployment
	policy     policy
	random     *rand.Rand
	now        time.Duration
	events     events
	seq        int

	engines []*engine
	models  map[string]modelplan.Model
	book    *demand.Book
	arrived map[demand.Key]demand.Tally
	waiting []*request // for a model, in the order of arrival
	turns   *slotturns.Turns
	tickets map[*slotturns.Ticket]*request
	line    []*request // for a slot, first come first served

	plannedAt time.Duration
	planDue   bool
	storeLoad []time.Duration // when loads from the weight store began
	measure   *measure
}

func newSimulation(d *deployment, p policy, trace []arrival, seed uint64) *simulation {
	s := &simulation{
		deployment: d, policy: p, random: rand.New(rand.NewPCG(seed, 2)), models: map[string]modelplan.Model{},
		book: demand.NewBook(time.Minute), arrived: map[demand.Key]demand.Tally{}, turns: slotturns.New(),
		tickets: map[*slotturns.Ticket]*request{}, measure: newMeasure(d),
	}
	for n := range d.models {
		name := modelName(n)
		s.models[name] = modelplan.Model{
			Name: name, WeightsMB: modelMB, StoreLoad: storeLoad, DiskLoad: d.diskLoad, HostLoad: hostLoad,
		}
	}
	s.placeAtStart()
	for _, a := range trace {
		s.at(a.at, func() {
			s.measure.owe(a.kind, a.at)
			s.arrive(&request{kind: a.kind, model: a.model, wished: a.at, arrived: a.at})
		})
	}
	s.at(0, s.tick)
	return s
}

// placeAtStart deals the models out in turn, and copies of all to the disks.
func (s *simulation) placeAtStart() {
	for n := range s.deployment.servers {
		e := &engine{id: "s" + strconv.Itoa(n), models: map[string]time.Duration{}, diskLoad: s.deployment.diskLoad}
		for place := range places {
			model := modelName((n*places + place) % s.deployment.models)
			e.models[model] = 0
			e.keepCopies(model)
		}
		for _, m := range s.random.Perm(s.deployment.models)[:diskCopies-places] {
			if model := modelName(m); !slices.Contains(e.onDisk, model) {
				e.onDisk = append(e.onDisk, model)
			}
		}
		s.engines = append(s.engines, e)
	}
}

func (s *simulation) at(at time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, event{at: at, seq: s.seq, do: do})
}

func (s *simulation) run() {
	for len(s.events) > 0 && s.now <= length+forgetting {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
}

func (s *simulation) tick() {
	s.plan()
	s.at(s.now+idlePlan, s.tick)
}

func (s *simulation) arrive(r *request) {
	key := demand.Key{Service: service, Model: r.model}
	t := s.arrived[key]
	t.Arrived++
	if r.kind.lasting {
		t.ArrivedLasting++
	}
	s.arrived[key] = t
	s.place(r)
	if r.engine == nil {
		s.at(r.limit()-lastMoment, func() { s.giveUp(r, false) })
		s.at(r.arrived+time.Duration(patienceShare*float64(r.kind.limit)), func() { s.losePatience(r) })
	}
	s.at(r.limit(), func() { s.leave(r) })
}

// place sends a request to a server, or lets it wait for a slot or its model.
func (s *simulation) place(r *request) {
	e, held := s.choose(r)
	switch {
	case e != nil:
		s.start(r, e)
	case !held:
		r.waiting = true
		s.waiting = append(s.waiting, r)
		s.wantPlan()
	case s.policy.inTurn:
		r.ticket = s.turns.Join(clock(s.now), slotturns.Request{
			Route: r.kind.name, Model: r.model, Priority: r.kind.priority, Lasting: r.kind.lasting,
			Due: clock(r.wished + r.kind.aim), Limit: clock(r.limit()),
		})
		s.tickets[r.ticket] = r
	default:
		s.line = append(s.line, r)
	}
}

// choose returns a server with a slot for the request, and whether any holds its model.
func (s *simulation) choose(r *request) (*engine, bool) {
	var holders []*engine
	var candidates []serverpick.Candidate
	for _, e := range s.engines {
		if e.serves(r.model) {
			holders = append(holders, e)
			candidates = append(candidates, serverpick.Candidate{
				ID: e.id, Slots: slots, Usable: true, Load: serverpick.Load{Own: int64(len(e.runs)), Age: -1},
			})
		}
	}
	if len(holders) == 0 {
		return nil, false
	}
	if i := s.policy.pick(candidates, s.random); i >= 0 {
		return holders[i], true
	}
	return nil, true
}

func (s *simulation) start(r *request, e *engine) {
	r.engine = e
	e.advance(s.now)
	e.start(r)
	s.schedule(e)
}

// schedule lets the engine's next milestone happen.
func (s *simulation) schedule(e *engine) {
	at, any := e.nextMilestone()
	if !any {
		return
	}
	version := e.version
	s.at(at, func() {
		if e.version != version {
			return
		}
		e.advance(s.now)
		begun, ended := e.reach()
		for _, r := range begun {
			r.begun = true
			s.measure.begin(r, s.now)
		}
		for _, r := range ended {
			r.over = true
		}
		s.schedule(e)
		if len(ended) > 0 {
			s.freed(e)
		}
	})
}

// freed follows the end of requests at an engine.
func (s *simulation) freed(e *engine) {
	if e.dropping != "" && !e.runsModel(e.dropping) {
		s.dropped(e)
	}
	s.giveOut()
}

func (s *simulation) giveOut() {
	if !s.policy.inTurn {
		s.line = slices.DeleteFunc(s.line, func(r *request) bool {
			e, _ := s.choose(r)
			if e != nil {
				s.start(r, e)
			}
			return e != nil
		})
		return
	}
	s.turns.GiveOut(clock(s.now), func(ticket *slotturns.Ticket) (given, full bool) {
		r := s.tickets[ticket]
		e, _ := s.choose(r)
		if e == nil {
			return false, true
		}
		delete(s.tickets, ticket)
		r.ticket = nil
		s.start(r, e)
		return true, false
	})
}

// losePatience refuses a request whose model isn't being loaded.
func (s *simulation) losePatience(r *request) {
	for _, e := range s.engines {
		if e.loading == r.model {
			return
		}
	}
	if r.waiting {
		s.giveUp(r, true)
	}
}

// giveUp refuses a request that has no server; its client may come back once.
func (s *simulation) giveUp(r *request, mayReturn bool) {
	if r.engine != nil || r.over {
		return
	}
	s.forget(r)
	if mayReturn && !r.again {
		back := s.now + comeBack + time.Duration(s.random.Int64N(int64(comeBackMore)))
		s.at(back, func() {
			s.arrive(&request{kind: r.kind, model: r.model, wished: r.wished, arrived: back, again: true})
		})
		return
	}
	s.measure.refuse(r)
}

// forget takes a request out of what it waits in.
func (s *simulation) forget(r *request) {
	r.over, r.waiting = true, false
	if r.ticket != nil {
		s.turns.Leave(r.ticket)
		delete(s.tickets, r.ticket)
	}
	isIt := func(other *request) bool { return other == r }
	s.waiting = slices.DeleteFunc(s.waiting, isIt)
	s.line = slices.DeleteFunc(s.line, isIt)
}

// leave ends a request whose client waits no longer.
func (s *simulation) leave(r *request) {
	if r.begun || r.over || r.engine == nil {
		return
	}
	r.over = true
	e := r.engine
	e.advance(s.now)
	if i := slices.IndexFunc(e.runs, func(run *run) bool { return run.request == r }); i >= 0 {
		heap.Remove(&e.runs, i)
		e.version++
	}
	s.schedule(e)
	s.freed(e)
}
