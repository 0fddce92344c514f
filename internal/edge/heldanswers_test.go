package edge_test

import (
	"context"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
)

const (
	heldSeeds = 240
	// heldLimit is the time limit of the requests, and heldMargin the rest of it in which the end of
	// an answer counts as late.
	heldLimit  = 5 * time.Second
	heldMargin = 100 * time.Millisecond
	// handoverLimit is how long two runs of one stream can go on after both have begun to answer.
	handoverLimit = 400 * time.Millisecond
	// heldSeries is the number of clients that send heldSeriesLength requests one after the other, and
	// heldBursts that of bursts of heldBurstSize requests at the same time.
	heldSeries, heldSeriesLength = 4, 9
	heldBursts, heldBurstSize    = 3, 7
)

// serverState is what a server does for a time, whatever it is asked.
type serverState string

const (
	stateFull        serverState = "full"
	stateRests       serverState = "rests"
	stateLeaves      serverState = "leaves"
	stateCrashed     serverState = "crashed"
	stateUnreachable serverState = "unreachable"
	stateUnlisted    serverState = "unlisted"
	stateUnloaded    serverState = "unloaded"
)

// trouble is what the servers of a play do beside answering at once.
type trouble struct {
	name string
	// silent, dark, fails, breaks and refuses are the shares of the requests at which a server falls silent
	// for a time, for ever, answers with a 500, breaks off and refuses. Each server falls silent for a time
	// in none or twice the share.
	silent, dark, fails, breaks, refuses float64
	// states are those that each server is in now and then, for a part of the time.
	states []serverState
	part   float64
}

var troubles = []trouble{
	{name: "silent beside refusals", silent: 0.4, refuses: 0.2, states: []serverState{stateFull, stateRests}, part: 0.5},
	{name: "silent beside unreachable servers", silent: 0.4, states: []serverState{stateUnreachable, stateUnlisted, stateUnloaded}, part: 0.4},
	{name: "silent beside crashes and leaving servers", silent: 0.4, breaks: 0.1, states: []serverState{stateCrashed, stateLeaves}, part: 0.4},
	{name: "errors beside refusals", fails: 0.3, refuses: 0.3, states: []serverState{stateFull, stateRests, stateUnreachable}, part: 0.4},
	{name: "all", silent: 0.3, fails: 0.1, breaks: 0.1, refuses: 0.1, part: 0.3, states: []serverState{
		stateFull, stateRests, stateLeaves, stateCrashed, stateUnreachable, stateUnlisted, stateUnloaded,
	}},
}

var (
	heldExtras = []float64{0, 1, 2, 4, 16, 200}
	heldPaths  = []string{"/stream/x", "/stream/x", "/once/x", "/read/x", "/read/x", "/write/x"}
)

// heldPlay is some seconds of requests to instances and servers in trouble.
type heldPlay struct {
	*scriptedFleet

	seed        uint64
	trouble     trouble
	maxAttempts int
	sharing     int
	// leaves means that clients leave at random moments.
	leaves bool

	playMu   sync.Mutex
	manifest int64
	listed   map[fleet.ServerID]*fleet.Server
	states   map[fleet.ServerID]serverState
	until    map[fleet.ServerID]time.Time
	views    []*edge.Views
	edges    []*edge.Edge
	started  int
	replies  []scriptedReply
}

// random returns a source that depends on the seed and the given names alone.
func (p *heldPlay) random(names ...any) *rand.Rand {
	h := fnv.New64a()
	fmt.Fprint(h, names...)
	return rand.New(rand.NewPCG(p.seed, h.Sum64()))
}

// between returns a random duration.
func between(random *rand.Rand, from, to time.Duration) time.Duration {
	return from + time.Duration(random.Int64N(int64(to-from)))
}

// newHeldPlay draws a play with one of the given troubles.
func newHeldPlay(t *testing.T, seed int, troubles []trouble) *heldPlay {
	p := &heldPlay{
		scriptedFleet: newScriptedFleet(t), seed: uint64(seed), maxAttempts: 1 + seed/len(heldExtras)%3, manifest: 1,
		listed: map[fleet.ServerID]*fleet.Server{}, states: map[fleet.ServerID]serverState{}, until: map[fleet.ServerID]time.Time{},
	}
	random := p.random("play")
	p.retryExtra, p.trouble, p.sharing = heldExtras[seed%len(heldExtras)], troubles[random.IntN(len(troubles))], 1+random.IntN(20)
	versions := 1 + random.IntN(4)/3
	for _, service := range []string{plain, engine} {
		for n := range 2 + random.IntN(3) {
			id, silent := fmt.Sprint(service, n), 2*p.trouble.silent*float64(random.IntN(2))
			s := p.addScripted(id, service, fmt.Sprint("v", 1+n%versions), nil)
			s.scriptOf = func(request string, n int) script { return p.scriptFor(s, request, n, silent) }
			p.listed[s.entry.ID] = s.entry
		}
	}
	for range 1 + random.IntN(2) {
		p.views, p.edges = append(p.views, nil), append(p.edges, nil)
		p.start(len(p.edges) - 1)
	}
	return p
}

// scriptFor draws how a server handles a request that it gets for the nth time.
func (p *heldPlay) scriptFor(s *scriptedServer, request string, n int, silent float64) script {
	p.playMu.Lock()
	state, until := p.states[s.entry.ID], p.until[s.entry.ID]
	p.playMu.Unlock()
	switch state {
	case stateFull:
		return script{refuses: "full"}
	case stateRests:
		return script{refuses: "rests", retryAfter: max(time.Until(until), time.Millisecond)}
	case stateLeaves:
		return script{refuses: "leaves", leaving: true}
	}
	random := p.random(s.entry.ID, request, n)
	if random.Float64() < p.trouble.refuses {
		return script{refuses: "full"}
	}
	out := script{after: random.IntN(scriptedEvents), fails: random.Float64() < p.trouble.fails, breaksOff: random.Float64() < p.trouble.breaks}
	if p.trouble.dark > 0 {
		out.dark = random.Float64() < p.trouble.dark
	}
	if random.Float64() < silent {
		lasts := between(random, 300*time.Millisecond, 2*time.Second)
		if random.IntN(2) == 0 {
			out.before = lasts
		} else {
			out.within = lasts
		}
	}
	return out
}

func (p *heldPlay) currentManifest(objective time.Duration) *fleet.Manifest {
	list, services := manifestParts()
	for n := range list {
		list[n].MaxAttempts, list[n].TargetLatency = p.maxAttempts, objective
	}
	return fleet.NewManifest(p.manifest, list, services, fleet.CallerLimits{MaxBodyBytes: 1000})
}

// start starts an instance in place of the nth one.
func (p *heldPlay) start(n int) {
	p.playMu.Lock()
	defer p.playMu.Unlock()
	p.started++
	views := edge.NewViews()
	views.SetManifest(p.currentManifest(500 * time.Millisecond))
	views.SetServers(maps.Clone(p.listed))
	p.views[n], p.edges[n] = views, p.addInstance(fmt.Sprint("i", p.started), views, p.sharing)
}

// list lists a server, or removes it from the list if the entry is nil.
func (p *heldPlay) list(id fleet.ServerID, entry *fleet.Server) {
	p.playMu.Lock()
	defer p.playMu.Unlock()
	if p.listed[id] = entry; entry == nil {
		delete(p.listed, id)
	}
	for n, views := range p.views {
		views.SetServers(maps.Clone(p.listed))
		p.edges[n].AnnounceStreams()
	}
}

func (p *heldPlay) setState(id fleet.ServerID, state serverState, until time.Time) {
	p.playMu.Lock()
	defer p.playMu.Unlock()
	p.states[id], p.until[id] = state, until
}

// enter puts a server into a state for a time.
func (p *heldPlay) enter(s *scriptedServer, state serverState, lasts time.Duration) {
	id, again := s.entry.ID, *s.entry
	again.StartedAt = time.Now().UnixMilli()
	p.setState(id, state, time.Now().Add(lasts))
	switch state {
	case stateCrashed:
		p.crash(s)
		time.Sleep(lasts)
		p.listen(s)
		p.list(id, &again)
	case stateLeaves:
		time.Sleep(lasts)
		p.list(id, &again)
	case stateUnreachable:
		p.setUnreachable(s, true)
		time.Sleep(lasts)
		p.setUnreachable(s, false)
	case stateUnlisted, stateUnloaded:
		p.playMu.Lock()
		before := p.listed[id]
		p.playMu.Unlock()
		var changed *fleet.Server
		if state == stateUnloaded {
			without := *before
			without.Models, changed = nil, &without
		}
		p.list(id, changed)
		time.Sleep(lasts)
		p.list(id, before)
	default:
		time.Sleep(lasts)
	}
	p.setState(id, "", time.Time{})
}

// trouble puts a server into one state after the other until the context ends.
func (p *heldPlay) troubleServer(ctx context.Context, s *scriptedServer) {
	random := p.random("states", s.entry.ID)
	for ctx.Err() == nil && len(p.trouble.states) > 0 {
		lasts := between(random, 300*time.Millisecond, 3*time.Second)
		time.Sleep(between(random, 0, time.Duration(2*float64(lasts)*(1/p.trouble.part-1))))
		p.enter(s, p.trouble.states[random.IntN(len(p.trouble.states))], lasts)
	}
}

// stopInstances stops and replaces the instances, one after the other, until the context ends.
func (p *heldPlay) stopInstances(ctx context.Context) {
	random := p.random("stops")
	for n := 0; ctx.Err() == nil; n = (n + 1) % len(p.edges) {
		time.Sleep(between(random, 500*time.Millisecond, 4*time.Second))
		accepts := time.Now().Add(between(random, 0, 2*time.Second))
		p.playMu.Lock()
		waits := accepts.Add(between(random, 0, 3*time.Second))
		p.edges[n].Drain(accepts, waits, waits.Add(2*time.Second))
		p.playMu.Unlock()
		time.Sleep(between(random, 0, time.Second))
		p.start(n)
	}
}

// changeManifest puts one manifest after the other in force until the context ends.
func (p *heldPlay) changeManifest(ctx context.Context) {
	random := p.random("manifest")
	for ctx.Err() == nil {
		time.Sleep(between(random, 200*time.Millisecond, 3*time.Second))
		p.playMu.Lock()
		p.manifest++
		next := p.currentManifest(between(random, 200*time.Millisecond, 600*time.Millisecond))
		for _, views := range p.views {
			views.SetManifest(next)
		}
		p.playMu.Unlock()
	}
}

// request sends a request and keeps what its client gets.
func (p *heldPlay) request(id string) {
	random := p.random("request", id)
	limit := heldLimit
	if random.IntN(3) == 0 {
		limit = between(random, 1500*time.Millisecond, heldLimit)
	}
	ctx, leave := context.WithCancel(p.Context())
	defer leave()
	stays := 2 * heldLimit
	if p.leaves {
		stays = between(random, 0, 3*time.Second)
	}
	defer time.AfterFunc(stays, leave).Stop()
	p.playMu.Lock()
	e := p.edges[random.IntN(len(p.edges))]
	p.playMu.Unlock()
	got := p.ask(ctx, e, id, heldPaths[random.IntN(len(heldPaths))], limit)
	if got.gone = got.ended; got.ended.Sub(got.arrived) > stays {
		got.gone = got.arrived.Add(stays)
	}
	p.playMu.Lock()
	defer p.playMu.Unlock()
	p.replies = append(p.replies, got)
}

// run plays until all requests have ended, and what they have caused at servers.
func (p *heldPlay) run() {
	ctx, end := context.WithCancel(p.Context())
	random := p.random("run")
	var troubled, clients sync.WaitGroup
	for _, id := range slices.Sorted(maps.Keys(p.scripted)) {
		troubled.Go(func() { p.troubleServer(ctx, p.scripted[id]) })
	}
	if random.IntN(2) == 0 {
		troubled.Go(func() { p.stopInstances(ctx) })
	}
	if random.IntN(2) == 0 {
		troubled.Go(func() { p.changeManifest(ctx) })
	}
	for n := range heldSeries {
		clients.Go(func() {
			random := p.random("client", n)
			for i := range heldSeriesLength {
				time.Sleep(between(random, 0, 400*time.Millisecond))
				p.request(fmt.Sprintf("series%d-%d", n, i))
			}
		})
	}
	for n := range heldBursts {
		at := between(random, 0, 8*time.Second)
		for i := range heldBurstSize {
			clients.Go(func() {
				time.Sleep(at)
				p.request(fmt.Sprintf("burst%d-%d", n, i))
			})
		}
	}
	clients.Wait()
	end()
	troubled.Wait()
	time.Sleep(2 * heldLimit)
	synctest.Wait()
}

// replaced reports whether a run of a stream isn't needed, because another one had the stream in hand:
// that one sent an event while both were open, just before this one ended, or after this one had ended
// with a 500, which can't follow events.
func replaced(r *run, runs []*run) bool {
	for _, other := range runs {
		for _, sent := range other.parts {
			switch {
			case other == r || !r.stream || other.fails:
			case r.fails && r.over.Equal(r.ends) && sent.After(r.over):
				return true
			case !sent.Before(r.began) && !sent.After(r.over) && r.over.Sub(sent) <= handoverLimit && !other.over.Before(r.over):
				return true
			}
		}
	}
	return false
}

// inTime reports whether the answer of a run ends by its script while the client waits for it.
func inTime(r *run, runs []*run, got *scriptedReply) bool {
	if !r.ends.Before(got.deadline.Add(-heldMargin)) {
		return false
	}
	if !r.stream {
		return true
	}
	heard := got.arrived
	for _, other := range runs {
		for _, sent := range other.parts {
			if sent.Before(r.firstEnds) && sent.After(heard) {
				heard = sent
			}
		}
	}
	patience := (&fleet.Route{Kind: fleet.KindStream, TargetLatency: 500 * time.Millisecond, GapTarget: 400 * time.Millisecond}).Patience()
	return r.firstEnds.Sub(heard) <= patience && r.longestPause <= patience
}

// givenUp returns a run whose server would have ended the whole answer in time, if the client has got no
// whole answer.
func (p *heldPlay) givenUp(got *scriptedReply) *run {
	if got.isWhole() || got.hasLeft {
		return nil
	}
	runs := p.runs[got.id]
	for _, r := range runs {
		if r.endsWhole() && inTime(r, runs, got) && !replaced(r, runs) {
			return r
		}
	}
	return nil
}

// reasonOf returns the reason in the log for which a request ended.
func (p *heldPlay) reasonOf(id string) any {
	for n, logged := range p.lines.of("request_ended", "request") {
		if logged == id {
			return p.lines.of("request_ended", "reason")[n]
		}
	}
	return "none logged"
}

// Answers were cut or replaced by a 502 that a server which had begun to run the request would have ended
// in time. The scripts depend on the seed alone; which server an instance asks doesn't.
func TestNoAnswerIsGivenUpThatItsServerWouldEnd(t *testing.T) {
	for seed := range heldSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			inVirtualTime(t, func(t *testing.T) {
				p := newHeldPlay(t, seed, troubles)
				p.run()
				whole := 0
				for _, got := range p.replies {
					if got.isWhole() {
						whole++
					}
					assert.True(t, got.inOrder(), "%s %s: events with a gap or a repeat: %q", got.id, got.path, got.body)
					if got.status == http.StatusServiceUnavailable {
						assert.Zero(t, len(p.runs[got.id]), "%s %s: refused as not run", got.id, got.path)
					}
					if r := p.givenUp(&got); r != nil {
						t.Errorf("GIVEN UP: %s: %s closed %v status %d after %v, reason %q, runs %d: %s would have ended at %v of %v (a 500: %v), over %v",
							got.id, got.path, got.closed, got.status, got.ended.Sub(got.arrived), p.reasonOf(got.id), len(p.runs[got.id]),
							r.server.entry.ID, r.ends.Sub(got.arrived), got.deadline.Sub(got.arrived), r.fails, r.over.Sub(got.arrived))
					}
				}
				assert.Equal(t, heldSeries*heldSeriesLength+heldBursts*heldBurstSize, len(p.replies))
				assert.Greater(t, whole, len(p.replies)/10, "requests that were answered")
				t.Logf("%s, extra %v, attempts %d, sharing %d: %d of %d answered", p.trouble.name, p.retryExtra, p.maxAttempts, p.sharing, whole, len(p.replies))
			})
		})
	}
}
