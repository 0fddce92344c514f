package edge_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

const (
	// crashesUntilKnown is the number of crashes after which the part is to be known, and
	// knownAfter the time until all instances act on it. Then up to lateArrivals more requests
	// with the part can reach servers.
	crashesUntilKnown = 5
	knownAfter        = 3 * time.Second
	lateArrivals      = 3
	// servedShare is the least share of sound requests that are served meanwhile.
	servedShare = 0.5
	// crashDelay is the time from the start of a request to the crash of its server, and
	// restartTime the time until the server runs again.
	crashDelay  = 50 * time.Millisecond
	restartTime = 3 * time.Second
	// listLag is the time for which a crashed server stays in the server list.
	listLag = 3600 * time.Millisecond
)

// crashFleet is a set of instances before engines that crash under some prompts.
type crashFleet struct {
	*virtualFleet

	manifest *fleet.Manifest
	service  string

	mu      sync.Mutex
	views   []*edge.Views
	started int
	running map[string]*http.Server
	// crashTimes are the times of crashes.
	crashTimes []time.Time
	// arrivals are the times at which requests with a deadly part reached servers.
	arrivals []time.Time
	// repeats are the deadly requests that come again, by their bodies, and crashDelay the time
	// after which a server that runs one crashes.
	repeats    map[string]*deadlyRequest
	crashDelay time.Duration
	// keepAlive is false if servers close the connection after each answer. Whether they have
	// closed an idle one can't be seen in memory.
	keepAlive bool
}

const (
	deadlyPart = "dead"
	// caller is the first part of deadly prompts, which sound ones have as well.
	caller = "caller0"
)

func newCrashFleet(t *testing.T, instances, servers int) *crashFleet {
	f := newCrashServers(t, engine, servers, true)
	f.manifest = fleet.NewManifest(1, []fleet.Route{{
		Name: "stream", Host: host, PathPrefix: "/stream/", Kind: fleet.KindStream, CanResume: true,
		Shares: []fleet.Share{{Service: engine, Weight: 1}}, MaxAttempts: 2, Timeout: 5 * time.Second,
		TargetLatency: 500 * time.Millisecond, GapTarget: 600 * time.Millisecond,
	}}, []fleet.Service{{Name: engine, Engine: &fleet.Engine{Slots: 64, Models: map[string]fleet.Model{"m": {Name: "m"}}}}},
		fleet.CallerLimits{MaxBodyBytes: 1000})
	for n := range instances {
		f.addInstance(instanceName(n))
	}
	return f
}

// newCrashServers starts the servers of a service, without instances.
func newCrashServers(t *testing.T, service string, servers int, keepAlive bool) *crashFleet {
	f := &crashFleet{virtualFleet: newVirtualFleet(t), service: service, running: map[string]*http.Server{}, repeats: map[string]*deadlyRequest{}, crashDelay: crashDelay, keepAlive: keepAlive}
	for range servers {
		f.startServer()
	}
	return f
}

func (f *crashFleet) addInstance(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	views := f.newViews(f.manifest)
	views.SetServers(maps.Clone(f.servers))
	f.views = append(f.views, views)
	f.instances = append(f.instances, f.newInstance(name, views, len(f.instances)+1))
}

func (f *crashFleet) runningServers() map[string]*http.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.running)
}

// startServer starts a server under a new ID and lists it.
func (f *crashFleet) startServer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started++
	id := fmt.Sprint("e", f.started)
	server := &fleet.Server{
		ID: fleet.ServerID(id), Service: f.service, Zone: "zone-a", Version: "v1", Slots: 64, Models: []fleet.Resident{{Model: "m"}},
		Address: fmt.Sprintf("10.0.1.%d:80", f.started),
	}
	listener := f.listeners.listen(server.Address)
	httpServer := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { f.answer(id, w, r) })}
	httpServer.SetKeepAlivesEnabled(f.keepAlive)
	go func() { _ = httpServer.Serve(listener) }()
	f.Cleanup(func() { _ = httpServer.Close() })
	f.running[id] = httpServer
	f.servers[server.ID] = server
	f.publishLocked()
}

func (f *crashFleet) publishLocked() {
	for _, views := range f.views {
		views.SetServers(maps.Clone(f.servers))
	}
}

// answer streams a few events, or crashes the server before the first one.
func (f *crashFleet) answer(id string, w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set(standin.HeaderID, r.Header.Get(standin.HeaderID))
	header.Set(standin.HeaderSignature, "signed")
	if f.crashesUnder(id, r) {
		panic(http.ErrAbortHandler)
	}
	if f.service == plain {
		time.Sleep(30 * time.Millisecond)
		_, _ = fmt.Fprint(w, "answer")
		return
	}
	header.Set("Content-Type", "text/event-stream")
	deadly := strings.Contains(r.Header.Get(standin.HeaderPrefix), deadlyPart+":")
	if deadly {
		f.mu.Lock()
		f.arrivals = append(f.arrivals, time.Now())
		f.mu.Unlock()
	}
	_ = http.NewResponseController(w).Flush()
	time.Sleep(crashDelay)
	if deadly && r.Context().Err() == nil {
		f.crash(id)
		panic(http.ErrAbortHandler)
	}
	for i := 1; i <= streamEvents; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: x\n\n", i); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

// crash ends a server. A new one starts after restartTime, and the old one is removed from the
// list after listLag.
func (f *crashFleet) crash(id string) {
	f.mu.Lock()
	server := f.running[id]
	delete(f.running, id)
	if server != nil {
		f.crashTimes = append(f.crashTimes, time.Now())
	}
	f.mu.Unlock()
	if server == nil {
		return
	}
	_ = server.Close()
	time.AfterFunc(restartTime, f.startServer)
	time.AfterFunc(listLag, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.servers, fleet.ServerID(id))
		f.publishLocked()
	})
}

// load is the requests that clients send to a crashFleet.
type load struct {
	duration time.Duration
	// perSecond are sound requests, and deadlyPerSecond those with the part, which come from
	// deadlyFrom on.
	perSecond, deadlyPerSecond float64
	deadlyFrom                 time.Duration
	// prompt returns the parts before the last one. A deadly request has deadlyPart among them.
	prompt func(random *rand.Rand, deadly bool) []string
}

// outcomes are the first attempts of sound requests whose first part is that of deadly ones.
type outcomes struct {
	mu   sync.Mutex
	sent []time.Time
	ok   []bool
}

func (o *outcomes) add(sent time.Time, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sent, o.ok = append(o.sent, sent), append(o.ok, ok)
}

// share returns the share that was served of what was sent from one time to another, and the
// number of these requests.
func (o *outcomes) share(from, to time.Time) (float64, int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	ok, all := 0, 0
	for i, at := range o.sent {
		if at.Before(from) || !at.Before(to) {
			continue
		}
		all++
		if o.ok[i] {
			ok++
		}
	}
	return float64(ok) / float64(max(all, 1)), all
}

// play sends the load and returns the outcomes of sound requests. Clients repeat what isn't
// answered once.
func (f *crashFleet) play(l load, seed uint64) *outcomes {
	random := rand.New(rand.NewPCG(seed, 1))
	end := time.Now().Add(l.duration)
	deadlyFrom := time.Now().Add(l.deadlyFrom)
	out := &outcomes{}
	var group sync.WaitGroup
	for n := 0; time.Now().Before(end); n++ {
		rate := l.perSecond
		if !time.Now().Before(deadlyFrom) {
			rate += l.deadlyPerSecond
		}
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		deadly := random.Float64()*rate > l.perSecond
		parts := l.prompt(random, deadly)
		prefix := ""
		for _, part := range parts {
			prefix += part + ":100,"
		}
		prefix += fmt.Sprintf("own%d:50", n)
		first, second := random.IntN(len(f.instances)), random.IntN(len(f.instances))
		group.Go(func() {
			sent := time.Now()
			header := map[string]string{standin.HeaderModel: "m", standin.HeaderPrefix: prefix}
			served := f.served(f.instances[first], fmt.Sprint("id", n), header)
			if !deadly && parts[0] == caller {
				out.add(sent, served)
			}
			if !served {
				time.Sleep(100 * time.Millisecond)
				f.served(f.instances[second], fmt.Sprint("id", n, "-again"), header)
			}
		})
	}
	group.Wait()
	return out
}

func (f *crashFleet) served(e *edge.Edge, id string, header map[string]string) bool {
	ctx, cancel := context.WithTimeout(f.Context(), 5*time.Second)
	defer cancel()
	got := f.send(ctx, e, id, "/stream/x", header)
	return got.Code == http.StatusOK && strings.Contains(got.Body.String(), fmt.Sprintf("id: %d\n", streamEvents))
}

// knownAt returns when all instances are to refuse requests with the part: some time after the
// crash that makes it known, or after the last if there are fewer.
func (f *crashFleet) knownAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashTimes[min(crashesUntilKnown, len(f.crashTimes))-1].Add(knownAfter)
}

// arrivedAfter returns how many requests with the part have reached servers after a time.
func (f *crashFleet) arrivedAfter(at time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, arrival := range f.arrivals {
		if arrival.After(at) {
			n++
		}
	}
	return n
}

// tainted is a load of which some requests have the deadly part.
func tainted(perSecond, deadlyPerSecond float64) load {
	return load{
		duration: 20 * time.Second, perSecond: perSecond, deadlyPerSecond: deadlyPerSecond, deadlyFrom: 2 * time.Second,
		prompt: func(random *rand.Rand, deadly bool) []string {
			if deadly {
				return []string{caller, "topic0", deadlyPart}
			}
			return []string{fmt.Sprint("caller", random.IntN(3)), fmt.Sprint("topic", random.IntN(500))}
		},
	}
}

// TestPromptPartCrashesServersOneAfterTheOther: requests with one part in their prompts crashed
// one server after the other, without end.
func TestPromptPartCrashesServersOneAfterTheOther(t *testing.T) {
	for name, c := range map[string]struct {
		instances, servers         int
		perSecond, deadlyPerSecond float64
	}{
		"some":         {6, 12, 80, 4},
		"few":          {6, 12, 80, 1},
		"many":         {6, 12, 80, 20},
		"few servers":  {8, 9, 60, 3},
		"few requests": {8, 12, 15, 1},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				f := newCrashFleet(t, c.instances, c.servers)
				start := time.Now()
				served := f.play(tainted(c.perSecond, c.deadlyPerSecond), 1)
				known := f.knownAt()
				assert.GreaterOrEqual(t, len(f.crashTimes), 3)
				assert.LessOrEqual(t, f.arrivedAfter(known), lateArrivals, "requests that reached servers")
				before, _ := served.share(start, start.Add(2*time.Second))
				after, n := served.share(known.Add(knownAfter), time.Now())
				assert.GreaterOrEqual(t, n, 20)
				assert.GreaterOrEqual(t, after, servedShare*before, "sound requests")
			})
		})
	}
}

// What is known to crash servers is refused at once, by each instance, as not run. An instance
// that doesn't reach the others finds out by itself.
func TestPromptPartIsRefusedAsNotRun(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newCrashFleet(t, 4, 12)
		f.crashes.cutOff(instanceName(3))
		f.play(tainted(80, 4), 2)
		f.addInstance("late")
		arrivals, began := len(f.arrivals), time.Now()
		header := map[string]string{standin.HeaderModel: "m", standin.HeaderPrefix: caller + ":10," + deadlyPart + ":10,own:10"}
		for n, e := range f.instances {
			got := f.send(t.Context(), e, fmt.Sprint("known", n), "/stream/x", header)
			assert.Equal(t, http.StatusServiceUnavailable, got.Code)
			assert.Zero(t, time.Since(began))
		}
		assert.Len(t, f.arrivals, arrivals)
	})
}

// Servers that crash for other reasons, several at once, don't lead to the refusal of anything.
func TestServersCrashForOtherReasons(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newCrashFleet(t, 6, 12)
		for n := range 6 {
			time.AfterFunc(time.Duration(2+3*n)*time.Second, func() {
				for id := range f.runningServers() {
					if len(id)%2 == n%2 {
						f.crash(id)
					}
				}
			})
		}
		start := time.Now()
		served := f.play(tainted(80, 0), 3)
		got, _ := served.share(start.Add(19*time.Second), time.Now())
		assert.Greater(t, got, 0.9)
		for caller := range 3 {
			for n, e := range f.instances {
				header := map[string]string{standin.HeaderModel: "m", standin.HeaderPrefix: fmt.Sprintf("caller%d:10,own:10", caller)}
				assert.True(t, f.served(e, fmt.Sprint("after", caller, n), header))
			}
		}
	})
}

// TestRequestsAreSentToACrashedServer: until a crashed server was removed from the list, requests
// were sent there again and again.
func TestRequestsAreSentToACrashedServer(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newCrashFleet(t, 1, 2)
		dials := map[string]int{}
		var mu sync.Mutex
		servers := platform.NewServersWithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := f.dial(ctx, network, address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				dials[address]++
			}
			return conn, err
		})
		views := f.newViews(f.manifest)
		f.views = append(f.views, views)
		e := f.newInstanceWith("i", views, 1, servers)
		f.crash("e1")
		began := time.Now()
		for n := range 100 {
			assert.True(t, f.served(e, fmt.Sprint("id", n), map[string]string{standin.HeaderModel: "m"}))
		}
		assert.Greater(t, time.Since(began), listLag)
		mu.Lock()
		defer mu.Unlock()
		assert.LessOrEqual(t, dials["10.0.1.1:80"], 12, "one request, and checks whether it runs again")
	})
}
