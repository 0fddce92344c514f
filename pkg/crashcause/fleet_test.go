package crashcause

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// simulation is a fleet of instances and servers in steps of simulated time.
type simulation struct {
	random *rand.Rand
	now    time.Time
	// finders are those of the instances; cutOff are those that the others don't reach.
	finders []*Finder
	cutOff  map[int]bool
	servers int
	away    map[int]time.Time // crashed servers, and until when
	started map[int]int64
	flights []flight
	// due is the number of requests that are to be sent next.
	due float64
	// events are due at a time.
	events []event
	// deciding are the instances that are about to decide.
	deciding map[int]bool
	blocks   map[string]int // part to the number of instances that have blocked it
	// arrivals counts the deadly requests that reached a server after the fifth crash and a delay.
	crashTimes []time.Time
	late       int
}

type flight struct {
	instance, server int
	request          Request
	deadly           bool
	sentAt           time.Time
	answeredAt       time.Time
}

type event struct {
	at time.Time
	do func()
}

const (
	simulationStep = 5 * time.Millisecond
	messageDelay   = 5 * time.Millisecond
	serverRestart  = 3 * time.Second
	contact        = 3 * time.Second
)

func newSimulation(seed uint64, instances, servers int) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1_800_000_000, 0), cutOff: map[int]bool{}, servers: servers,
		away: map[int]time.Time{}, deciding: map[int]bool{}, started: map[int]int64{}, blocks: map[string]int{},
	}
	for range instances {
		s.finders = append(s.finders, NewFinder())
	}
	return s
}

func (s *simulation) after(d time.Duration, do func()) {
	s.events = append(s.events, event{s.now.Add(d), do})
}

// tell delivers evidence of an instance to the others.
func (s *simulation) tell(from int, e Evidence) {
	if e.Empty() || s.cutOff[from] {
		return
	}
	for to := range s.finders {
		if to != from && !s.cutOff[to] {
			s.after(messageDelay, func() {
				merged, reply := s.finders[to].Merge(e, s.now)
				s.blocked(merged)
				s.tell(to, reply)
				s.wake(to)
			})
		}
	}
}

func (s *simulation) blocked(blocks []Block) {
	for _, b := range blocks {
		s.blocks[b.Trait]++
	}
}

// wake lets an instance decide, unless it is about to.
func (s *simulation) wake(instance int) {
	if !s.deciding[instance] {
		s.deciding[instance] = true
		s.after(decideDelay, func() { s.decide(instance) })
	}
}

func (s *simulation) decide(instance int) {
	blocks, questions := s.finders[instance].Decide(s.now)
	s.blocked(blocks)
	s.tell(instance, Evidence{Blocks: blocks})
	if len(questions) == 0 {
		s.deciding[instance] = false
		return
	}
	var replies []Reply
	for other, f := range s.finders {
		if other != instance && !s.cutOff[instance] && !s.cutOff[other] {
			replies = append(replies, f.Reply(questions, s.now)...)
		}
	}
	s.after(2*messageDelay, func() {
		s.finders[instance].Hear(questions, replies, s.now)
		blocks, _ := s.finders[instance].Decide(s.now)
		s.blocked(blocks)
		s.tell(instance, Evidence{Blocks: blocks})
		s.after(askInterval, func() { s.decide(instance) })
	})
}

// run plays requests for a time. prompt returns the prompt of a request, and whether it crashes
// its server.
func (s *simulation) run(d time.Duration, perSecond float64, prompt func() (Prompt, bool)) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simulationStep) {
		s.fireEvents()
		for s.due += s.random.Float64() * 2 * perSecond * simulationStep.Seconds(); s.due >= 1; s.due-- {
			p, deadly := prompt()
			s.send(p, deadly)
		}
		s.endFlights()
	}
}

func (s *simulation) fireEvents() {
	due := slices.Clone(s.events)
	s.events = slices.DeleteFunc(s.events, func(e event) bool { return !e.at.After(s.now) })
	for _, e := range due {
		if !e.at.After(s.now) {
			e.do()
		}
	}
}

func (s *simulation) send(p Prompt, deadly bool) {
	r := requestOf(p)
	instance := s.random.IntN(len(s.finders))
	if _, blocked := s.finders[instance].Blocked(r, s.now); blocked {
		return
	}
	server := s.random.IntN(s.servers)
	if s.now.Before(s.away[server]) {
		return
	}
	if deadly && len(s.crashTimes) >= 5 && s.now.After(s.crashTimes[4].Add(contact)) {
		s.late++
	}
	latency := time.Duration(20+s.random.ExpFloat64()*60) * time.Millisecond
	s.flights = append(s.flights, flight{instance, server, r, deadly, s.now, s.now.Add(latency)})
}

func (s *simulation) endFlights() {
	for i := 0; i < len(s.flights); i++ {
		f := s.flights[i]
		if f.answeredAt.After(s.now) {
			continue
		}
		if f.deadly {
			s.crash(f.server)
			i = -1
			continue
		}
		s.flights = slices.Delete(s.flights, i, i+1)
		i--
		s.tell(f.instance, s.finders[f.instance].Answered(f.request, s.now))
	}
}

// crash ends a server under the requests that it hasn't answered.
func (s *simulation) crash(server int) {
	lost := map[int][]LostRequest{}
	s.flights = slices.DeleteFunc(s.flights, func(f flight) bool {
		if f.server == server {
			lost[f.instance] = append(lost[f.instance], LostRequest{f.request, f.sentAt})
		}
		return f.server == server
	})
	at, incarnation := s.now, Server{ID: fmt.Sprint("s", server), StartedAt: s.started[server]}
	for instance, requests := range lost {
		s.after(messageDelay, func() {
			s.crashed(instance, Crash{Server: incarnation, At: at, Requests: requests})
		})
	}
	s.away[server] = s.now.Add(serverRestart)
	s.started[server]++
	s.crashTimes = append(s.crashTimes, s.now)
}

// crashed lets an instance see a crash.
func (s *simulation) crashed(instance int, c Crash) {
	s.finders[instance].Crashed(c, s.now)
	s.tell(instance, Evidence{Crashes: []Crash{c}})
	s.wake(instance)
}

// requestOf returns a request for the simulated service, whose content is its prompt.
func requestOf(p Prompt) Request { return Request{Service: "engines", Prompt: p, Digest: p.key()} }

// soundPrompt returns the prompt of a request with one of three first parts and one of many
// second ones, of which some are frequent.
func (s *simulation) soundPrompt() Prompt {
	topic := int(s.random.ExpFloat64() * 100)
	return Prompt{fmt.Sprint("caller", s.random.IntN(3)), fmt.Sprint("topic", topic), fmt.Sprint("own", s.random.Uint64())}
}

// fleets are the sizes that are simulated: instances, servers, requests per second, and seeds.
var fleets = []struct {
	instances, servers int
	perSecond          float64
	seeds              uint64
}{
	{1, 4, 10, 20}, {6, 12, 100, 20}, {8, 9, 65, 20}, {8, 12, 20, 20}, {60, 72, 450, 3},
}

// Servers crash for reasons of their own, many at the same time: nothing that requests have in
// common is to blame.
func TestCrashesWithoutCauseInPrompts(t *testing.T) {
	for _, size := range fleets {
		for seed := range size.seeds {
			s := newSimulation(seed, size.instances, size.servers)
			prompt := func() (Prompt, bool) { return s.soundPrompt(), false }
			s.run(time.Second, size.perSecond, prompt)
			for range 6 {
				for range 1 + s.random.IntN(size.servers) {
					s.crash(s.random.IntN(size.servers))
				}
				s.run(time.Duration(s.random.IntN(3000))*time.Millisecond, size.perSecond, prompt)
			}
			assert.Empty(t, s.blocks, "%+v, seed %d", size, seed)
		}
	}
}

// An instance loses its connections to all servers, and can't open new ones, while the others
// reach them, and while it reaches the others or not: to it, all servers crash.
func TestInstanceWithoutServersBlocksNothing(t *testing.T) {
	for _, size := range fleets[1:] {
		for seed := range size.seeds {
			for _, alone := range []bool{false, true} {
				s := newSimulation(seed, size.instances, size.servers)
				prompt := func() (Prompt, bool) { return s.soundPrompt(), false }
				s.run(time.Second, size.perSecond, prompt)
				if alone {
					s.cutOff[0] = true
				}
				for server := range size.servers {
					var requests []LostRequest
					for range 3 {
						requests = append(requests, LostRequest{requestOf(s.soundPrompt()), s.now})
					}
					s.crashed(0, Crash{Server: Server{ID: fmt.Sprint("s", server)}, At: s.now, Requests: requests})
				}
				s.run(4*time.Second, size.perSecond, prompt)
				delete(s.cutOff, 0)
				if alone {
					s.tell(0, s.finders[0].Evidence(s.now))
				}
				s.run(time.Second, size.perSecond, prompt)
				now := s.now
				for _, f := range s.finders {
					for caller := range 3 {
						_, blocked := f.Blocked(requestOf(Prompt{fmt.Sprint("caller", caller), "own"}), now)
						assert.False(t, blocked, "%+v, seed %d, alone %v", size, seed, alone)
					}
				}
			}
		}
	}
}

// A part that crashes servers is blocked soon after the fifth crash, and no other part is.
func TestDeadlyPartIsBlocked(t *testing.T) {
	for _, size := range fleets[1:] {
		for _, share := range []float64{0.01, 0.05, 0.3} {
			for seed := range size.seeds / 2 {
				s := newSimulation(seed, size.instances, size.servers)
				prompt := func() (Prompt, bool) {
					if s.random.Float64() >= share {
						return s.soundPrompt(), false
					}
					return Prompt{"caller0", "topic0", "deadly", fmt.Sprint("own", s.random.Uint64())}, true
				}
				s.run(40*time.Second, size.perSecond, prompt)
				assert.LessOrEqual(t, s.late, 3, "%+v, share %v, seed %d: %d crashes", size, share, seed, len(s.crashTimes))
				for part := range s.blocks {
					assert.Equal(t, "deadly", part, "%+v, share %v, seed %d", size, share, seed)
				}
			}
		}
	}
}

func TestChanceIfSound(t *testing.T) {
	assert.InDelta(t, 1, atLeast(0, 5, 0.3), 1e-9)
	assert.InDelta(t, 0.3*0.3*0.3, atLeast(3, 3, 0.3), 1e-9)
	assert.InDelta(t, 3*0.5*0.5*0.5+0.5*0.5*0.5, atLeast(2, 3, 0.5), 1e-9)
	assert.InDelta(t, 1, atLeast(3, 3, 1), 1e-9)
	assert.InDelta(t, 1, chanceIfSound(3, 3, 2, 0), 1e-9, "nothing was answered")
	assert.Greater(t, chanceIfSound(3, 3, 2, 10), chanceIfSound(3, 3, 2, 20), "more answers")
	assert.Greater(t, chanceIfSound(3, 3, 2, 10), chanceIfSound(6, 6, 2, 10), "more crashes")
	assert.Greater(t, chanceIfSound(3, 6, 2, 10), chanceIfSound(6, 6, 2, 10), "crashes without the part")
	assert.Greater(t, chanceIfSound(3, 3, 20, 10), chanceIfSound(3, 3, 2, 10), "more prompts at each crash")
}

// Two deadly parts at once, while some servers crash for reasons of their own and an instance is
// replaced by one that has to ask: both are blocked, and nothing else is.
func TestTwoDeadlyPartsBesideOtherCrashes(t *testing.T) {
	for _, size := range fleets[1:3] {
		for seed := range size.seeds / 2 {
			s := newSimulation(seed, size.instances, size.servers)
			prompt := func() (Prompt, bool) {
				switch draw := s.random.Float64(); {
				case draw < 0.03:
					return Prompt{"caller0", "topic0", "deadly", fmt.Sprint("own", s.random.Uint64())}, true
				case draw < 0.06:
					return Prompt{"caller1", "deadlier", fmt.Sprint("own", s.random.Uint64())}, true
				default:
					return s.soundPrompt(), false
				}
			}
			s.run(10*time.Second, size.perSecond, prompt)
			s.crash(s.random.IntN(size.servers))
			s.finders[0] = NewFinder()
			s.finders[0].Merge(s.finders[1].Evidence(s.now), s.now)
			s.run(10*time.Second, size.perSecond, prompt)
			for _, f := range s.finders {
				_, first := f.Blocked(requestOf(Prompt{"caller0", "topic0", "deadly", "own"}), s.now)
				_, second := f.Blocked(requestOf(Prompt{"caller1", "deadlier", "own"}), s.now)
				assert.True(t, first && second, "%+v, seed %d", size, seed)
			}
			assert.Len(t, s.blocks, 2, "%+v, seed %d: %v", size, seed, s.blocks)
		}
	}
}
