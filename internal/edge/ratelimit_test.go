package edge_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

const (
	// rateLimitGrace is the time after a server first states a limit from which on the limit
	// binds. toldAfter is the time after which an instance has to obey a limit that it was told.
	rateLimitGrace = 3 * time.Second
	toldAfter      = 500 * time.Millisecond
	// rateLimitWindow is the time over which requests are counted. A server can get
	// rateLimitExcess times what its limit allows, and rateLimitExtra requests.
	rateLimitWindow = 4 * time.Second
	rateLimitExcess = 1.5
	rateLimitExtra  = 5
)

// limitedServer answers plain requests and states a rate limit.
type limitedServer struct {
	id       string
	duration time.Duration

	mu       sync.Mutex
	limit    float64 // 0: none
	statedAt time.Time
	told     map[string]time.Time // by instance
	arrivals []arrival
	// refuses makes the server refuse every second request, without its limit.
	refuses bool
}

type arrival struct {
	at time.Time
	// bound means that the request came from an instance that had been told of the limit.
	bound bool
	limit float64
}

// setLimit changes the limit. Instances have to obey it once they have been told.
func (s *limitedServer) setLimit(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = perSecond
	s.told = map[string]time.Time{}
	if perSecond == 0 {
		s.statedAt = time.Time{}
	}
}

func (s *limitedServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(standin.HeaderID)
	instance, _, _ := strings.Cut(id, "-")
	s.mu.Lock()
	now := time.Now()
	told, isTold := s.told[instance]
	s.arrivals = append(s.arrivals, arrival{
		at: now, limit: s.limit,
		bound: s.limit > 0 && isTold && now.Sub(told) >= toldAfter && now.Sub(s.statedAt) >= rateLimitGrace,
	})
	refused := s.refuses && len(s.arrivals)%2 == 0
	s.mu.Unlock()
	if refused {
		w.Header().Set(standin.HeaderID, id)
		w.Header().Set(standin.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(s.duration)
	s.mu.Lock()
	if s.limit > 0 {
		w.Header().Set(standin.HeaderRateLimit, fmt.Sprint(s.limit))
		if s.statedAt.IsZero() {
			s.statedAt = time.Now()
		}
		if _, known := s.told[instance]; !known {
			s.told[instance] = time.Now()
		}
	}
	s.mu.Unlock()
	w.Header().Set(standin.HeaderID, id)
	w.Header().Set(standin.HeaderSignature, "signed-by-"+s.id)
	_, _ = w.Write([]byte("ok"))
}

// mostOverLimit returns the largest number of requests in a window beyond those allowed under
// the highest limit in it.
func (s *limitedServer) mostOverLimit() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := -1 << 30
	for i, first := range s.arrivals {
		count, highest := 0, 0.0
		for _, a := range s.arrivals[i:] {
			if a.at.Sub(first.at) >= rateLimitWindow {
				break
			}
			if a.bound {
				count, highest = count+1, max(highest, a.limit)
			}
		}
		allowed := int(rateLimitExcess*highest*rateLimitWindow.Seconds() + rateLimitExtra)
		most = max(most, count-allowed)
	}
	return most
}

// arrivalsWithin returns the number of requests that arrived in a time before now.
func (s *limitedServer) arrivalsWithin(last time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, a := range s.arrivals {
		if time.Since(a.at) < last {
			n++
		}
	}
	return n
}

// atOnce is the longest time until a request is refused that can't be served in time.
const atOnce = 100 * time.Millisecond

// limitFleet is a set of instances before a server that states a limit and one that doesn't.
type limitFleet struct {
	*virtualFleet

	limited, free *limitedServer
	instances     []*edge.Edge
	sending       sync.WaitGroup

	mu       sync.Mutex
	statuses map[int]int
	// lateRefusals is the number of refusals that took longer than atOnce.
	lateRefusals int
}

// newLimitFleet starts a fleet whose two servers belong to a plain service.
func newLimitFleet(t *testing.T, instances int) *limitFleet {
	f := &limitFleet{
		virtualFleet: newVirtualFleet(t), statuses: map[int]int{},
		limited: &limitedServer{id: "limited", duration: 20 * time.Millisecond, told: map[string]time.Time{}},
		free:    &limitedServer{id: "free", duration: 20 * time.Millisecond, told: map[string]time.Time{}},
	}
	// The instances are in the zone of the limited server, so that they prefer it.
	f.addServer(&fleet.Server{ID: "limited", Service: plain, Zone: "zone-a", Slots: 8}, f.limited)
	f.addServer(&fleet.Server{ID: "free", Service: plain, Zone: "zone-b", Slots: 8}, f.free)
	for n := range instances {
		f.instances = append(f.instances, f.newInstance(instanceName(n), f.newViews(limitManifest()), instances))
	}
	return f
}

func limitManifest() *fleet.Manifest {
	return readManifest(fleet.Service{Name: plain}, time.Second, 150*time.Millisecond)
}

// readManifest has one route, to the given service.
func readManifest(service fleet.Service, timeout, objective time.Duration) *fleet.Manifest {
	return fleet.NewManifest(1, []fleet.Route{{
		Name: "read", Host: host, PathPrefix: "/read/", Kind: fleet.KindSafe, Shares: []fleet.Share{{Service: service.Name, Weight: 1}},
		MaxAttempts: 2, Timeout: timeout, TargetLatency: objective,
	}}, []fleet.Service{service}, fleet.CallerLimits{MaxBodyBytes: 1000})
}

func instanceName(n int) string { return fmt.Sprint("i", n) }

// load sends requests through an instance at a steady rate.
func (f *limitFleet) load(name string, instance *edge.Edge, perSecond float64, during time.Duration) {
	f.sending.Go(func() {
		interval := time.Duration(float64(time.Second) / perSecond)
		for i := range int(during / interval) {
			f.sending.Go(func() {
				sent := time.Now()
				got := f.send(f.Context(), instance, fmt.Sprintf("%s-%d", name, i), "/read/x", map[string]string{
					standin.HeaderModel: fmt.Sprint("m", i%10),
				})
				f.mu.Lock()
				defer f.mu.Unlock()
				f.statuses[got.Code]++
				if got.Code == http.StatusServiceUnavailable && time.Since(sent) > atOnce {
					f.lateRefusals++
				}
			})
			time.Sleep(interval)
		}
	})
}

// loadAll sends requests through all instances.
func (f *limitFleet) loadAll(perSecond float64, during time.Duration) {
	for n, instance := range f.instances {
		f.load(instanceName(n), instance, perSecond, during)
	}
}

func (f *limitFleet) names() []string {
	var names []string
	for n := range f.instances {
		names = append(names, instanceName(n))
	}
	return names
}

// TestLimitStatedByServerIsSharedByInstances: a server that states a limit on its rate of
// requests got as many as before from each of the instances that it had told.
func TestLimitStatedByServerIsSharedByInstances(t *testing.T) {
	const (
		instances = 6
		perSecond = 10
		during    = 20 * time.Second
	)
	for name, play := range map[string]func(*limitFleet){
		"steady": func(f *limitFleet) { f.limited.setLimit(4) },
		"lowered and raised": func(f *limitFleet) {
			for _, perSecond := range []float64{9, 3, 6, 2.5} {
				f.limited.setLimit(perSecond)
				time.Sleep(4 * time.Second)
			}
		},
		"gone and back": func(f *limitFleet) {
			f.limited.setLimit(4)
			time.Sleep(6 * time.Second)
			f.limited.setLimit(0)
			time.Sleep(3 * time.Second)
			assert.Greater(f, f.limited.arrivalsWithin(time.Second), 50, "the limit is gone")
			f.limited.setLimit(3)
		},
		"none at all": func(f *limitFleet) {
			f.limited.setLimit(1e-9)
			time.Sleep(8 * time.Second)
			assert.LessOrEqual(f, f.limited.arrivalsWithin(4*time.Second), 1, "only probes")
			f.limited.setLimit(0)
			time.Sleep(7500 * time.Millisecond)
			assert.Greater(f, f.limited.arrivalsWithin(time.Second), 50, "the limit is gone")
		},
		"refusals don't tell it": func(f *limitFleet) {
			f.limited.setLimit(4)
			f.limited.mu.Lock()
			defer f.limited.mu.Unlock()
			f.limited.refuses = true
		},
		"told late": func(f *limitFleet) {
			f.limited.setLimit(4)
			time.Sleep(6 * time.Second)
			late := f.newInstance("late", f.newViews(limitManifest()), instances+1)
			f.load("late", late, perSecond, 10*time.Second)
		},
		"holder replaced": func(f *limitFleet) {
			f.limited.setLimit(4)
			for range 5 {
				time.Sleep(3 * time.Second)
				f.permits.restart()
			}
		},
		"holder cut off from some": func(f *limitFleet) {
			f.limited.setLimit(4)
			for range 3 {
				time.Sleep(3 * time.Second)
				f.permits.cutOff(true, f.names()[:3]...)
				time.Sleep(2 * time.Second)
				f.permits.cutOff(false, f.names()...)
			}
		},
		"holder gone": func(f *limitFleet) {
			f.limited.setLimit(4)
			time.Sleep(4 * time.Second)
			f.permits.cutOff(true, f.names()...)
			time.Sleep(8 * time.Second)
			assert.Positive(f, f.limited.arrivalsWithin(4*time.Second), "each instance uses its share")
			f.permits.cutOff(false, f.names()...)
		},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				f := newLimitFleet(t, instances)
				f.loadAll(perSecond, during)
				time.Sleep(2 * time.Second)
				play(f)
				f.sending.Wait()
				assert.LessOrEqual(t, f.limited.mostOverLimit(), 0, "requests beyond those allowed in 4 s")
				assert.Len(t, f.statuses, 1, "the other server has room: %v", f.statuses)
			})
		})
	}
}

// Each of many instances has a small part of the limit, and a burst reaches all of them after
// a pause.
func TestLimitIsKeptByManyInstancesInABurst(t *testing.T) {
	for name, cut := range map[string]bool{"with the holder": false, "without the holder": true} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				f := newLimitFleet(t, 68)
				f.limited.setLimit(3)
				f.loadAll(1, 3*time.Second)
				f.sending.Wait()
				if cut {
					f.permits.cutOff(true, f.names()...)
				}
				time.Sleep(30 * time.Second)
				f.loadAll(5, 6*time.Second)
				f.sending.Wait()
				assert.LessOrEqual(t, f.limited.mostOverLimit(), 0, "requests beyond those allowed in 4 s")
				assert.Len(t, f.statuses, 1, "%v", f.statuses)
			})
		})
	}
}

// A server that starts again under its ID has no limit until it states one.
func TestLimitEndsWithTheServersProcess(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newLimitFleet(t, 1)
		delete(f.servers, "free")
		views := f.newViews(limitManifest())
		instance := f.newInstance("i", views, 1)
		f.limited.setLimit(1)
		f.load("i", instance, 20, 10*time.Second)
		time.Sleep(6 * time.Second)
		assert.LessOrEqual(t, f.limited.arrivalsWithin(time.Second), 2)
		f.limited.setLimit(0)
		restarted := *f.servers["limited"]
		restarted.StartedAt++
		views.SetServers(map[fleet.ServerID]*fleet.Server{"limited": &restarted})
		time.Sleep(time.Second)
		assert.GreaterOrEqual(t, f.limited.arrivalsWithin(time.Second), 19)
		f.sending.Wait()
	})
}

// If all servers state limits, what the limits allow is served, and the rest is refused at
// once. Only requests that could have been served, but were overtaken by others that still met
// their objective, are refused later.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newLimitFleet(t, 4)
		f.limited.setLimit(6)
		f.free.setLimit(6)
		f.loadAll(1, 2*time.Second)
		f.sending.Wait()
		f.statuses = map[int]int{}
		f.loadAll(10, 20*time.Second)
		f.sending.Wait()
		assert.LessOrEqual(t, f.limited.mostOverLimit(), 0)
		assert.LessOrEqual(t, f.free.mostOverLimit(), 0)
		assert.GreaterOrEqual(t, f.statuses[http.StatusOK], 12*20*9/10, "%v", f.statuses)
		assert.Less(t, 10*f.lateRefusals, f.statuses[http.StatusServiceUnavailable])
	})
}

// Requests for many models share the permits of the server that holds all of them.
func TestRequestsForAllModelsOfALimitedServerCount(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newLimitFleet(t, 0)
		models, residents := map[string]fleet.Model{}, []fleet.Resident{}
		for n := range 10 {
			name := fmt.Sprint("m", n)
			models[name] = fleet.Model{Name: name}
			residents = append(residents, fleet.Resident{Model: name})
		}
		f.servers = map[fleet.ServerID]*fleet.Server{}
		f.addServer(&fleet.Server{ID: "limited", Service: engine, Zone: "zone-a", Slots: 8, Models: residents}, f.limited)
		manifest := readManifest(fleet.Service{Name: engine, Engine: &fleet.Engine{Slots: 8, Models: models}}, 3*time.Second, 500*time.Millisecond)
		f.limited.setLimit(4)
		for n := range 2 {
			instance := f.newInstance(instanceName(n), f.newViews(manifest), 2)
			f.load(instanceName(n), instance, 20, 20*time.Second)
		}
		f.sending.Wait()
		assert.LessOrEqual(t, f.limited.mostOverLimit(), 0)
		assert.GreaterOrEqual(t, f.statuses[http.StatusOK], 4*20*9/10, "%v", f.statuses)
		assert.Less(t, 10*f.lateRefusals, f.statuses[http.StatusServiceUnavailable])
	})
}

// Requests beyond the limit of their model's only server wait while another server can load the
// model, which takes less time than they have.
func TestRequestsBeyondALimitWaitForAnotherServerToLoadTheModel(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newLimitFleet(t, 0)
		f.servers = map[fleet.ServerID]*fleet.Server{}
		f.addServer(&fleet.Server{ID: "limited", Service: engine, Zone: "zone-a", Slots: 8, Models: []fleet.Resident{{Model: "m0"}}}, f.limited)
		f.addServer(&fleet.Server{ID: "free", Service: engine, Zone: "zone-a", Slots: 8}, f.free)
		models := map[string]fleet.Model{"m0": {Name: "m0"}}
		manifest := readManifest(fleet.Service{Name: engine, Engine: &fleet.Engine{Slots: 8, Models: models}}, 3*time.Second, 500*time.Millisecond)
		f.limited.setLimit(2)
		views := f.newViews(manifest)
		instance := f.newInstance("i", views, 1)
		send := func(id string) {
			got := f.send(f.Context(), instance, id, "/read/x", map[string]string{standin.HeaderModel: "m0"})
			assert.Equal(t, http.StatusOK, got.Code, id)
		}
		send("i-first")
		for n := range 20 {
			f.sending.Go(func() { send(fmt.Sprint("i-", n)) })
		}
		time.Sleep(700 * time.Millisecond)
		views.SetResidency(map[fleet.ServerID]edge.Residency{"free": {Sequence: 1, Models: []fleet.Resident{{Model: "m0"}}}})
		f.sending.Wait()
		assert.LessOrEqual(t, f.limited.mostOverLimit(), 0)
	})
}

// Requests that have another server don't take the permits that others wait for.
func TestPermitsGoToRequestsWithoutAnotherServer(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newLimitFleet(t, 0)
		f.servers = map[fleet.ServerID]*fleet.Server{}
		f.addServer(&fleet.Server{ID: "limited", Service: engine, Zone: "zone-a", Slots: 8, Models: []fleet.Resident{{Model: "m0"}, {Model: "m1"}}}, f.limited)
		f.addServer(&fleet.Server{ID: "free", Service: engine, Zone: "zone-b", Slots: 8, Models: []fleet.Resident{{Model: "m0"}}}, f.free)
		models := map[string]fleet.Model{"m0": {Name: "m0"}, "m1": {Name: "m1"}}
		manifest := readManifest(fleet.Service{Name: engine, Engine: &fleet.Engine{Slots: 8, Models: models}}, 3*time.Second, 500*time.Millisecond)
		f.limited.setLimit(3)
		const instances, alone = 6, 5
		late := 0
		for n := range instances {
			instance := f.newInstance(instanceName(n), f.newViews(manifest), instances)
			model, interval := "m0", 100*time.Millisecond
			if n == alone {
				model, interval = "m1", 500*time.Millisecond
			}
			f.sending.Go(func() {
				for i := range int(20 * time.Second / interval) {
					f.sending.Go(func() {
						sent := time.Now()
						got := f.send(f.Context(), instance, fmt.Sprintf("%s-%d", instanceName(n), i), "/read/x", map[string]string{standin.HeaderModel: model})
						f.mu.Lock()
						defer f.mu.Unlock()
						if got.Code != http.StatusOK || time.Since(sent) > 500*time.Millisecond {
							late++
						}
					})
					time.Sleep(interval)
				}
			})
		}
		f.sending.Wait()
		assert.LessOrEqual(t, f.limited.mostOverLimit(), 0)
		assert.LessOrEqual(t, late, 1)
	})
}

// TestRelayExceedsALimitThatItPassedOn: an instance that had relayed answers with the servers' rate
// limits sent its own requests without regard to them.
func TestRelayExceedsALimitThatItPassedOn(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		const perSecond, requests = 2, 120
		f := newStandingFleet(t, plain, 2, 0)
		var servers []*limitedServer
		for _, id := range []string{"s0", "s1"} {
			server := &limitedServer{id: id, duration: 20 * time.Millisecond, limit: perSecond, told: map[string]time.Time{}}
			f.addServer(&fleet.Server{ID: fleet.ServerID(id), Service: plain, Zone: "zone-a", Slots: 100}, server)
			servers = append(servers, server)
		}
		f.publish()
		f.paths.setPaths(pathRefuses, 0)
		for n := range 15 {
			f.request(0, fmt.Sprint("relay-", n))
			time.Sleep(500 * time.Millisecond)
		}
		var group sync.WaitGroup
		for n := range requests {
			group.Go(func() { f.request(1, fmt.Sprint("relay-own-", n)) })
		}
		group.Wait()
		for _, server := range servers {
			assert.NotEmpty(t, server.told)
			assert.LessOrEqual(t, server.mostOverLimit(), 0, "requests beyond those allowed")
		}
	})
}
