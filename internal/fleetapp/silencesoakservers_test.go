package fleetapp_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

// soakKind is a kind of requests.
type soakKind struct {
	name, service      string
	stream, repeatable bool
	// maxAttempts is the number of servers that may run a request.
	maxAttempts int
}

const soakEngine, soakPlain, soakModel, soakHost = "engine", "plain", "m", "shop.example"

var soakKinds = []soakKind{
	{name: "stream", service: soakEngine, stream: true, repeatable: true, maxAttempts: 3},
	{name: "once", service: soakEngine, stream: true, maxAttempts: 1},
	{name: "read", service: soakPlain, repeatable: true, maxAttempts: 3},
	{name: "write", service: soakPlain, maxAttempts: 1},
}

const (
	// soakLatency and soakGap are the objectives of the routes: for the answer or the first event, and
	// for the gap between events.
	soakLatency = 300 * time.Millisecond
	soakGap     = 200 * time.Millisecond
)

func soakRoutes() []standin.Route {
	var list []standin.Route
	for _, kind := range soakKinds {
		r := standin.Route{
			Name: kind.name, Host: soakHost, PathPrefix: "/" + kind.name + "/", Kind: "unsafe", TimeoutMs: 10000,
			TargetLatencyMs: int(soakLatency.Milliseconds()), Service: kind.service, MaxAttempts: kind.maxAttempts,
		}
		switch {
		case kind.stream:
			r.Kind, r.CanResume, r.GapTargetMs = "streaming", kind.repeatable, int(soakGap.Milliseconds())
		case kind.repeatable:
			r.Kind = "safe"
		}
		list = append(list, r)
	}
	return list
}

// soakWave is a span in which one server of each service falls silent in most of its runs, and others
// refuse.
type soakWave struct {
	begins, ends time.Duration
	silent       int
	// refusesFrom is when servers begin to refuse, and refuses for how long each does; 0 for not at all.
	refusesFrom time.Duration
	refuses     []time.Duration
}

// soakScript is what a server does with a request that it runs. The places are counted in parts of the
// answer: events, or the two halves of a plain answer.
type soakScript struct {
	// from is the first part, parts the number of the last.
	from, parts int
	pause       time.Duration
	// The server falls silent before the part silentAt, and breaks off before the part breaksAt; the
	// first part follows the head of the answer at once. 0 means never.
	silentAt, breaksAt int
	silence            time.Duration
	// fails means that the server answers with a signed status 500.
	fails bool
}

// lasts returns the time until the answer is complete.
func (s soakScript) lasts() time.Duration {
	d := time.Duration(s.parts-s.from+1) * s.pause
	if s.silentAt > 0 {
		d += s.silence
	}
	return d
}

// soakArrival is a request at a server.
type soakArrival struct {
	server string
	// nth counts the arrivals of this request at this server.
	nth     int
	at      time.Time
	refused bool
	script  soakScript
	// due is when the server ends the answer by its script, ended when it did, and canceled when its
	// connection was closed before.
	due, ended, canceled time.Time
}

// sound reports whether the server completes the answer unless it is stopped.
func (a *soakArrival) sound() bool { return !a.refused && a.script.breaksAt == 0 }

// run identifies a run in its answer.
func (a *soakArrival) run() string { return fmt.Sprint(a.server, "/", a.nth) }

// soakServers are the servers of a play. What each does with a request follows from the seed, the
// request and the waves.
type soakServers struct {
	plan  *soakPlan
	began time.Time

	mu       sync.Mutex
	arrivals map[string][]*soakArrival
}

// startSoakServers starts and registers the servers of both services.
func startSoakServers(t *testing.T, plan *soakPlan, store *standin.Store) *soakServers {
	s := &soakServers{plan: plan, began: time.Now(), arrivals: map[string][]*soakArrival{}}
	for _, service := range []string{soakEngine, soakPlain} {
		for n := range plan.servers {
			id := fmt.Sprint(service, n)
			cfg := standin.ServerConfig{
				ID: id, Service: service, Zone: "zone-a", Slots: 32,
				Handle: func(w http.ResponseWriter, r *http.Request) { s.handle(w, r, id, n) },
			}
			if service == soakEngine {
				cfg.Models, cfg.OnDisk, cfg.ModelCapacity = []string{soakModel}, []string{soakModel}, 2
			}
			server := standin.NewServer(cfg)
			t.Cleanup(server.Close)
			server.Register(store, "ready")
		}
	}
	store.Publish(1, soakRoutes(), soakEngine, []string{soakModel}, 2, soakPlain)
	return s
}

// begin starts the waves.
func (s *soakServers) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.began = time.Now()
}

// of returns copies of the arrivals of a request.
func (s *soakServers) of(id string) []soakArrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []soakArrival
	for _, a := range s.arrivals[id] {
		out = append(out, *a)
	}
	return out
}

// soakParts returns the number of parts of the answer to a request, the same at all servers.
func soakParts(seed uint64, kind soakKind, id string) int {
	if !kind.stream {
		return 2
	}
	return 4 + soakRandom(seed, id).IntN(26)
}

func soakRandom(seed uint64, name string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

func soakKindOf(path string) soakKind {
	for _, kind := range soakKinds {
		if len(path) > len(kind.name)+1 && path[1:len(kind.name)+2] == kind.name+"/" {
			return kind
		}
	}
	panic("no kind of request at " + path)
}

// arrive records a request and returns what the server does with it.
func (s *soakServers) arrive(r *http.Request, server string, n int) *soakArrival {
	id, kind, now := r.Header.Get(standin.HeaderID), soakKindOf(r.URL.Path), time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	a := &soakArrival{server: server, at: now}
	for _, other := range s.arrivals[id] {
		if other.server == server {
			a.nth++
		}
	}
	s.arrivals[id] = append(s.arrivals[id], a)
	random := soakRandom(s.plan.seed, fmt.Sprint(id, " ", server, " ", a.nth))
	silent, refuses := s.plan.at(now.Sub(s.began), n)
	if refuses {
		a.refused = true
		return a
	}
	after := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &after)
	a.script = newSoakScript(random, kind, after+1, soakParts(s.plan.seed, kind, id), silent)
	a.due = now.Add(a.script.lasts())
	return a
}

func newSoakScript(random *rand.Rand, kind soakKind, from, parts int, silent bool) soakScript {
	s := soakScript{from: from, parts: parts, pause: time.Duration(20+random.IntN(60)) * time.Millisecond}
	silentPercent := 8
	if silent {
		silentPercent = 80
	}
	place := func() int { return from + random.IntN(max(parts-from+1, 1)) }
	if random.IntN(100) < silentPercent {
		s.silence = time.Duration(800+random.IntN(800)) * time.Millisecond
		if s.silentAt = place(); random.IntN(3) == 0 {
			s.silentAt = from
		}
	}
	switch random.IntN(25) {
	case 0:
		s.breaksAt = place()
	case 1:
		s.fails = !kind.stream
	}
	return s
}

func (s *soakServers) handle(w http.ResponseWriter, r *http.Request, server string, n int) {
	a := s.arrive(r, server, n)
	if a.refused {
		w.Header().Set(standin.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !a.play(w, r) {
		s.mu.Lock()
		a.canceled = time.Now()
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	a.ended = time.Now()
	s.mu.Unlock()
}

// play answers by the script. It reports false if the connection is closed before the end.
func (a *soakArrival) play(w http.ResponseWriter, r *http.Request) bool {
	kind, id, s := soakKindOf(r.URL.Path), r.Header.Get(standin.HeaderID), a.script
	pause := func(d time.Duration) bool { wait(r.Context(), d); return r.Context().Err() == nil }
	w.Header().Set(standin.HeaderSignature, "signed-by-"+a.server)
	if kind.stream {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	for part := s.from; part <= s.parts; part++ {
		if part == s.silentAt && !pause(s.silence) {
			return false
		}
		switch {
		case part == s.breaksAt && part == s.from:
			resetSoakConnection(w)
		case part == s.breaksAt:
			_, _ = fmt.Fprintf(w, "id: %d\nda", part)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		case s.fails && part == s.from:
			w.WriteHeader(http.StatusInternalServerError)
		}
		text := soakPart(kind, id, part, a.run())
		if _, err := w.Write([]byte(text)); err != nil || http.NewResponseController(w).Flush() != nil || !pause(s.pause) {
			return false
		}
	}
	return true
}

// soakPart returns a part of an answer, which names the request and the run.
func soakPart(kind soakKind, id string, part int, run string) string {
	if kind.stream {
		return fmt.Sprintf("id: %d\ndata: %s %d %s\n\n", part, id, part, run)
	}
	return fmt.Sprintf("%s %d %s\n", id, part, run)
}

func resetSoakConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
	panic(http.ErrAbortHandler)
}

// soakPlan is what a seed decides about a play.
type soakPlan struct {
	seed uint64
	// instances and servers of each service, and clients of each instance.
	instances, servers, clients int
	// retryExtra and retryRatio limit the retries of all instances.
	retryExtra int
	retryRatio float64
	// overlapping means that instances are stopped while others stop.
	overlapping bool
	waves       []soakWave
}

const (
	// soakDuration is the time for which clients send requests.
	soakDuration = 12 * time.Second
	// manyInstancesEvery is the distance of the seeds with manyInstances.
	manyInstancesEvery, manyInstances = 4, 8
)

func newSoakPlan(seed uint64) *soakPlan {
	random := soakRandom(seed, "plan")
	p := &soakPlan{
		seed: seed, instances: 2 + random.IntN(3), servers: 3 + random.IntN(2), clients: 20,
		retryExtra: 2 + random.IntN(7), retryRatio: []float64{0.05, 0.1, 0.2}[random.IntN(3)], overlapping: random.IntN(2) == 0,
	}
	if seed%manyInstancesEvery == 0 {
		p.instances, p.clients, p.overlapping = manyInstances, 10, true
	}
	for at := 300 * time.Millisecond; at < soakDuration; {
		w := soakWave{begins: at, silent: random.IntN(p.servers), refuses: make([]time.Duration, p.servers)}
		w.ends = at + time.Duration(500+random.IntN(1500))*time.Millisecond
		w.refusesFrom = at + time.Duration(random.IntN(600))*time.Millisecond
		for n := range w.refuses {
			if n != w.silent && random.IntN(8) > 0 {
				w.refuses[n] = time.Duration(300+random.IntN(2700)) * time.Millisecond
			}
		}
		p.waves = append(p.waves, w)
		at = max(w.ends, w.refusesFrom+slices.Max(w.refuses)) + time.Duration(500+random.IntN(1500))*time.Millisecond
	}
	return p
}

// at returns what the server n of each service does at a time after the beginning.
func (p *soakPlan) at(elapsed time.Duration, n int) (silent, refuses bool) {
	for _, w := range p.waves {
		if elapsed < w.begins {
			break
		}
		silent = silent || n == w.silent && elapsed < w.ends
		refuses = refuses || elapsed >= w.refusesFrom && elapsed < w.refusesFrom+w.refuses[n]
	}
	return silent, refuses
}
