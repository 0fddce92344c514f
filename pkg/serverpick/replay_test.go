package serverpick_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/serverpick"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/slotqueue"
)

const ms = time.Millisecond

// fleet is what a replay plays, in virtual time: instances that send requests to engines of which
// they know only what came back with their own answers.
type fleet struct {
	instances, servers, slots int
	// speeds are assigned to the servers in turn. noisy is the part of the servers that take 2.5
	// times as long, which changes every 600 ms.
	speeds  []float64
	noisy   float64
	reports bool // the slowdown is reported
	// perSecond are the arrivals at all instances, and hot the part of them for the model that every
	// second server holds.
	perSecond float64
	hot       float64
	seconds   int
	seed      uint64
}

const (
	replayReading, replayGeneration = 80 * ms, 3500 * ms
	replayObjective, replayPatience = 800 * ms, 3200 * ms
	// serverQueue is how many requests a server queues beyond its slots.
	serverQueue = 4
)

// result counts requests. busiest is the arrivals at the busiest server over the mean.
type result struct {
	arrived, onTime, late, left, rejected int
	busiest                               float64
}

func (r result) String() string {
	n := float64(r.arrived)
	return fmt.Sprintf("%d arrived, on time %.3f, late %.3f, left %.3f, rejections %.3f, busiest %.2f",
		r.arrived, float64(r.onTime)/n, float64(r.late)/n, float64(r.left)/n, float64(r.rejected)/n, r.busiest)
}

type replayEvent struct {
	at  time.Time
	seq int
	do  func()
}

type replayEvents []replayEvent

func (h replayEvents) Len() int { return len(h) }
func (h replayEvents) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h replayEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *replayEvents) Push(x any)   { *h = append(*h, x.(replayEvent)) }
func (h *replayEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

type replay struct {
	fleet
	result

	// old picks by utilization and backlog alone, and ignores reports older than two seconds.
	old       bool
	random    *rand.Rand
	now       time.Time
	events    replayEvents
	seq       int
	machines  []*machine
	instances []*sender
}

type machine struct {
	slowness, noise float64
	running         int
	waiting         []func()
	readsUntil      time.Time
	arrivals        int
}

// sender is an instance.
type sender struct {
	queue *slotqueue.Queue
	jobs  map[*slotqueue.Ticket]*job
	known []*knowledge
	mean  serverpick.Mean
}

// knowledge is what an instance knows of a server.
type knowledge struct {
	load   serverpick.Load
	at     time.Time
	usual  serverpick.UsualLoad
	speed  serverpick.Speed
	unread time.Duration
}

type job struct {
	from           *sender
	model          int
	arrived        time.Time
	tried          map[int]bool
	sent, generate time.Time
}

func (p *replay) after(d time.Duration, do func()) {
	p.seq++
	heap.Push(&p.events, replayEvent{p.now.Add(d), p.seq, do})
}

func (f fleet) play(old bool) result {
	p := &replay{fleet: f, old: old, random: rand.New(rand.NewPCG(f.seed, 1)), now: time.Unix(1_800_000_000, 0)}
	start := p.now
	for i := range f.servers {
		p.machines = append(p.machines, &machine{slowness: 1 / f.speeds[i/2%len(f.speeds)], noise: 1})
	}
	for range f.instances {
		s := &sender{queue: slotqueue.New(), jobs: map[*slotqueue.Ticket]*job{}}
		for range f.servers {
			s.known = append(s.known, &knowledge{load: serverpick.Load{Age: -1}})
		}
		p.instances = append(p.instances, s)
	}
	p.changeNoise()
	p.arrive()
	p.recheck()
	for p.now.Before(start.Add(time.Duration(f.seconds) * time.Second)) {
		event := heap.Pop(&p.events).(replayEvent)
		p.now = event.at
		event.do()
	}
	most, all := 0, 0
	for _, m := range p.machines {
		most, all = max(most, m.arrivals), all+m.arrivals
	}
	p.busiest = float64(most) * float64(f.servers) / float64(max(all, 1))
	return p.result
}

func (p *replay) changeNoise() {
	for _, m := range p.machines {
		if m.noise = 1; p.random.Float64() < p.noisy {
			m.noise = 2.5
		}
	}
	p.after(600*ms, p.changeNoise)
}

func (p *replay) arrive() {
	j := &job{from: p.instances[p.random.IntN(len(p.instances))], model: 1, arrived: p.now, tried: map[int]bool{}}
	if p.random.Float64() < p.hot {
		j.model = 0
	}
	p.arrived++
	p.serve(j)
	p.after(time.Duration(p.random.ExpFloat64()/p.perSecond*float64(time.Second)), p.arrive)
}

// recheck lets waiting requests look again, as reports of others age.
func (p *replay) recheck() {
	for _, s := range p.instances {
		p.dispatch(s)
	}
	p.after(20*ms, p.recheck)
}

func (p *replay) serve(j *job) {
	p.dispatch(j.from)
	if i := p.pick(j); i >= 0 {
		p.send(j, i)
		return
	}
	ticket := j.from.queue.Enqueue(p.now, slotqueue.Request{
		Route: "r", Model: fmt.Sprint(j.model), Objective: j.arrived.Add(replayObjective), Deadline: j.arrived.Add(replayPatience),
	})
	j.from.jobs[ticket] = j
}

func (p *replay) dispatch(s *sender) {
	for ticket, j := range s.jobs {
		if p.now.Sub(j.arrived) > replayPatience {
			p.left++
			s.queue.Remove(p.now, ticket)
			delete(s.jobs, ticket)
		}
	}
	s.queue.Dispatch(p.now, func(ticket *slotqueue.Ticket) (bool, bool) {
		j := s.jobs[ticket]
		i := p.pick(j)
		if i < 0 {
			return false, len(j.tried) == 0
		}
		delete(s.jobs, ticket)
		p.send(j, i)
		return true, false
	})
}

// pick returns a server, or -1. Every second server holds model 0, the others model 1.
func (p *replay) pick(j *job) int {
	var candidates []serverpick.Candidate
	for i := j.model; i < p.servers; i += 2 {
		k := j.from.known[i]
		load := k.load
		load.Unread = k.unread
		if !k.at.IsZero() {
			load.Age = p.now.Sub(k.at)
		}
		c := serverpick.Candidate{ID: fmt.Sprint(i), SameZone: true, Slots: p.slots, Usable: true, Tried: j.tried[i]}
		if p.old {
			if load.Age = min(load.Age, 0); p.now.Sub(k.at) > 2*time.Second {
				load.Age = -1
			}
		} else {
			load.OthersWhenFull = k.usual.OthersWhenFull(p.slots, j.from.mean.Value())
			load.ProbeAfter = serverpick.ProbeAfter(replayReading+replayGeneration, p.slots, p.fleet.instances, p.servers/2)
			load.OthersUsual, load.Holding = k.usual.Others(p.slots, j.from.mean.Value()), replayReading+replayGeneration
			c.Slowness = k.speed.Slowness(p.now)
		}
		c.Load = load
		candidates = append(candidates, c)
	}
	req := serverpick.Request{Objective: replayObjective, WaitForSlot: true}
	if !p.old {
		req.Reading, req.Spread, req.Random = replayReading, serverpick.SpreadOf(p.fleet.instances), p.random.Uint64()
	}
	i := serverpick.Pick(req, candidates)
	if i < 0 {
		return -1
	}
	return j.model + 2*i
}

func (p *replay) send(j *job, i int) {
	m, k := p.machines[i], j.from.known[i]
	k.load.InFlight++
	k.unread += replayReading
	m.arrivals++
	j.sent = p.now
	p.after(ms, func() {
		switch {
		case m.running < p.slots:
			p.start(j, i)
		case len(m.waiting) < serverQueue:
			m.waiting = append(m.waiting, func() { p.start(j, i) })
		default:
			p.rejected++
			k.unread -= replayReading
			k.load.InFlight--
			p.report(j, i)
			j.tried[i] = true
			if len(j.tried) >= p.servers/2 {
				p.after(50*ms, func() { clear(j.tried); p.serve(j) })
				return
			}
			p.serve(j)
		}
	})
}

func (p *replay) start(j *job, i int) {
	m, k := p.machines[i], j.from.known[i]
	m.running++
	slow := m.slowness * m.noise
	if m.readsUntil.Before(p.now) {
		m.readsUntil = p.now
	}
	m.readsUntil = m.readsUntil.Add(time.Duration(slow * float64(replayReading)))
	alone := m.readsUntil.Sub(p.now)
	p.after(alone, func() {
		k.unread -= replayReading
		p.report(j, i)
		if j.generate = p.now; p.now.Sub(j.arrived) <= replayObjective {
			p.onTime++
		} else {
			p.late++
		}
	})
	took := time.Duration((0.5 + p.random.Float64()) * slow * float64(replayGeneration))
	p.after(alone+took, func() {
		m.running--
		k.load.InFlight--
		k.speed.Observed(slow, took, p.now)
		if len(m.waiting) > 0 {
			next := m.waiting[0]
			m.waiting = m.waiting[1:]
			next()
		}
		p.dispatch(j.from)
	})
}

// report gives the instance the load in an answer's header.
func (p *replay) report(j *job, i int) {
	m, k := p.machines[i], j.from.known[i]
	k.load.Reported, k.load.InFlightAtReport, k.at = int64(m.running+len(m.waiting)), k.load.InFlight, p.now
	others := float64(max(k.load.Reported-k.load.InFlightAtReport, 0))
	k.load.OthersUnread = max(time.Duration(len(m.waiting))*replayReading, 0)
	k.usual = k.usual.Observe(others)
	j.from.mean.Observe(others / float64(p.slots))
	if p.reports {
		k.speed.Reported(m.noise, p.now)
	}
}

// engines71 is the deployment on which servers rejected 6,546 of 30,010 arrivals.
var engines71 = fleet{
	instances: 71, servers: 60, slots: 24, speeds: []float64{0.55, 1.2, 1.2, 1.2}, noisy: 0.15, reports: true,
	perSecond: 280, hot: 0.5, seconds: 30, seed: 1,
}

// Many instances that each send a server few requests must not fill servers that are full already
// while others idle, which utilization and the last report alone lead to.
func TestReplayOfManyInstances(t *testing.T) {
	before, after := engines71.play(true), engines71.play(false)
	t.Logf("before: %v; after: %v", before, after)
	assert.Greater(t, before.busiest, 1.5)
	assert.Greater(t, before.rejected, before.arrived/2)
	assert.Less(t, after.busiest, 1.5, "arrivals at the busiest server over the mean")
	assert.Less(t, after.rejected, after.arrived/10)
	assert.Greater(t, float64(after.onTime), 1.2*float64(before.onTime))
}

// Without slowdowns, at equal speed and little load, nothing may get worse.
func TestReplayOfACalmDeployment(t *testing.T) {
	f := fleet{instances: 18, servers: 20, slots: 8, speeds: []float64{1}, perSecond: 10, hot: 0.5, seconds: 60, seed: 1}
	before, after := f.play(true), f.play(false)
	t.Logf("before: %v; after: %v", before, after)
	assert.LessOrEqual(t, after.rejected, before.rejected)
	assert.GreaterOrEqual(t, after.onTime*before.arrived, before.onTime*after.arrived*99/100)
	assert.LessOrEqual(t, after.busiest, before.busiest)
}

// At the limit of what the servers can do, requests wait at their instances, which must neither ask
// full servers again and again nor leave slots idle.
func TestReplayAtTheLimit(t *testing.T) {
	f := engines71
	f.perSecond, f.seconds = 340, 12
	before, after := f.play(true), f.play(false)
	t.Logf("before: %v; after: %v", before, after)
	assert.Less(t, after.rejected, before.rejected/2)
	assert.Greater(t, after.onTime, before.onTime)
}
