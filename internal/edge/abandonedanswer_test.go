package edge_test

import (
	"fmt"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

// refusingServer refuses requests as a full one does, from its first request on for a time; then it
// answers.
type refusingServer struct {
	silentServer

	refuses time.Duration
	since   atomic.Pointer[time.Time]
}

func (s *refusingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	s.since.CompareAndSwap(nil, &now)
	if now.Sub(*s.since.Load()) < s.refuses {
		refuseFull(w, r)
		return
	}
	s.silentServer.ServeHTTP(w, r)
}

// refuseFull answers as a server that has no room.
func refuseFull(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(standin.HeaderID, r.Header.Get(standin.HeaderID))
	w.Header().Set(standin.HeaderNotExecuted, "full")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// A sound server that was silent for a second lost its request to servers that refused it, and then to an
// empty retry budget.
func TestSilentAnswerWasGivenUpForRefusals(t *testing.T) {
	for _, path := range []string{"/stream/x", "/read/x"} {
		for _, before := range []bool{false, true} {
			for _, refuses := range []time.Duration{300 * time.Millisecond, time.Second, 10 * time.Second} {
				for _, extra := range []float64{1, 2, 4, 200} {
					for _, stops := range []bool{false, true} {
						name := fmt.Sprintf("%s before %v refuses %v extra %v stops %v", path, before, refuses, extra, stops)
						t.Run(name, func(t *testing.T) {
							inVirtualTime(t, func(t *testing.T) {
								playSilenceBesideRefusals(t, path, before, refuses, extra, stops)
							})
						})
					}
				}
			}
		}
	}
}

// playSilenceBesideRefusals sends four requests, one after the other, to an instance with a server that
// falls silent and two that refuse.
func playSilenceBesideRefusals(t *testing.T, path string, before bool, refuses time.Duration, extra float64, stops bool) {
	f := newVirtualFleet(t)
	f.retryExtra = extra
	var runs sync.Map
	for _, service := range []string{plain, engine} {
		count := 0
		if service == engine {
			count = 6
		}
		add := func(id string, handler http.Handler) {
			f.addServer(&fleet.Server{
				ID: fleet.ServerID(service + id), Service: service, Zone: "zone-a", Version: "v1", Slots: 8,
				Models: []fleet.Resident{{Model: "m"}},
			}, handler)
		}
		silent := &silentServer{before: before, events: count}
		add("silent", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			runs.Store(r.Header.Get(standin.HeaderID), true)
			silent.ServeHTTP(w, r)
		}))
		for _, id := range []string{"full0", "full1"} {
			add(id, &refusingServer{silentServer: silentServer{events: count}, refuses: refuses})
		}
	}
	e := f.newInstance("i0", f.newViews(testManifest()), 1)
	want := "first second"
	if path == "/stream/x" {
		want = events(1, 6)
	}
	for i := range 4 {
		if stops && i == 1 {
			now := time.Now()
			e.Drain(now.Add(8*time.Second), now.Add(8*time.Second), now.Add(8*time.Second))
		}
		id := fmt.Sprint("id", i)
		got := f.send(t.Context(), e, id, path, map[string]string{standin.HeaderModel: "m"})
		if _, ran := runs.Load(id); !ran && got.Code == http.StatusServiceUnavailable {
			continue // refused by the full servers alone
		}
		assert.Equal(t, http.StatusOK, got.Code, "request %d", i)
		assert.Equal(t, want, got.Body.String(), "request %d", i)
	}
}

// A stream that its server had broken off was cut because attempts at servers that weren't reached had used the
// retry budget up.
func TestUnreachableServersUsedTheRetryBudgetUp(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newVirtualFleet(t)
		f.retryExtra = 1
		add := func(id, zone string, handler http.Handler) {
			server := &fleet.Server{
				ID: fleet.ServerID(id), Service: engine, Zone: zone, Version: "v1", Slots: 8, Models: []fleet.Resident{{Model: "m"}},
			}
			if handler == nil {
				server.Address = fmt.Sprintf("10.0.1.%d:80", len(f.servers))
				f.servers[server.ID] = server
				return
			}
			f.addServer(server, handler)
		}
		add("breaks off", "zone-a", serveScript(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
		views := f.newViews(testManifest())
		e := f.newInstance("i0", views, 1)
		add("unreached0", "zone-a", nil)
		add("unreached1", "zone-a", nil)
		add("sound", "zone-b", &silentServer{events: 6})
		time.AfterFunc(time.Millisecond, func() { views.SetServers(maps.Clone(f.servers)) })
		got := f.send(t.Context(), e, "id", "/stream/x", map[string]string{standin.HeaderModel: "m"})
		assert.Equal(t, events(1, 6), got.Body.String())
	})
}

// A server's whole error was replaced by one of the instance when the retry budget didn't allow the repeat.
func TestServersErrorWasLostForARepeat(t *testing.T) {
	for _, extra := range []float64{0, 1, 200} {
		t.Run(fmt.Sprint("extra ", extra), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				f := newVirtualFleet(t)
				f.retryExtra = extra
				var received atomic.Int64
				failOnce := func(w http.ResponseWriter, r *http.Request) {
					if received.Add(1) > 1 {
						refuseFull(w, r)
						return
					}
					w.Header().Set(standin.HeaderID, r.Header.Get(standin.HeaderID))
					w.Header().Set(standin.HeaderSignature, "signed")
					w.WriteHeader(http.StatusInternalServerError)
					_, _ = fmt.Fprint(w, "the server's error")
				}
				for n := range 3 {
					f.addServer(&fleet.Server{ID: fleet.ServerID(fmt.Sprint("s", n)), Service: plain, Zone: "zone-a", Slots: 8}, http.HandlerFunc(failOnce))
				}
				e := f.newInstance("i0", f.newViews(testManifest()), 1)
				sent := time.Now()
				got := f.send(t.Context(), e, "id", "/read/x", nil)
				assert.Less(t, time.Since(sent), 500*time.Millisecond, "the route's objective")
				assert.Equal(t, http.StatusInternalServerError, got.Code)
				assert.Equal(t, "the server's error", got.Body.String())
				assert.Equal(t, "signed", got.Header().Get(standin.HeaderSignature))
			})
		})
	}
}

// A request that had run, and whose server broke off, was answered 502 at once while the retry budget was empty,
// though it had seconds left and each further request adds to the budget.
func TestRequestThatHadRunDidNotWaitForTheRetryBudget(t *testing.T) {
	for _, path := range []string{"/stream/x", "/read/x"} {
		t.Run(path, func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				f := newVirtualFleet(t)
				f.retryExtra = 0
				// The first attempts of two requests are broken off; the first retry takes what the budget holds.
				var brokenOff sync.Map
				sound := [2]http.Handler{&silentServer{}, &silentServer{events: 6}}
				for i, service := range []string{plain, engine} {
					for n := range 2 {
						f.addServer(&fleet.Server{
							ID: fleet.ServerID(fmt.Sprint(service, n)), Service: service, Zone: "zone-a", Version: "v1", Slots: 8,
							Models: []fleet.Resident{{Model: "m"}},
						}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
							id := r.Header.Get(standin.HeaderID)
							if _, again := brokenOff.LoadOrStore(id, true); !again && (id == "id0" || id == "id1") {
								panic(http.ErrAbortHandler)
							}
							sound[i].ServeHTTP(w, r)
						}))
					}
				}
				e := f.newInstance("i0", f.newViews(testManifest()), 1)
				var all sync.WaitGroup
				for i := range 12 {
					all.Go(func() {
						time.Sleep(time.Duration(i) * 100 * time.Millisecond)
						got := f.send(t.Context(), e, fmt.Sprint("id", i), path, map[string]string{standin.HeaderModel: "m"})
						assert.Equal(t, http.StatusOK, got.Code, "request %d", i)
					})
				}
				all.Wait()
			})
		})
	}
}

// A stream that had begun was cut at once because no server held its model, or none was listed, for a moment.
func TestBegunStreamWasCutForWantOfAServer(t *testing.T) {
	server := func(id string, models ...fleet.Resident) *fleet.Server {
		return &fleet.Server{ID: fleet.ServerID(id), Service: engine, Zone: "zone-a", Version: "v1", Slots: 8, Models: models}
	}
	for _, other := range []bool{true, false} {
		t.Run(fmt.Sprint("another server is listed ", other), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				f := newVirtualFleet(t)
				f.addServer(server("first", fleet.Resident{Model: "m"}), serveScript(func(w http.ResponseWriter, _ *http.Request) {
					for i := 2; i <= 18; i++ {
						time.Sleep(200 * time.Millisecond)
						_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i, i)
						_ = http.NewResponseController(w).Flush()
					}
					panic(http.ErrAbortHandler)
				}))
				views := f.newViews(testManifest())
				e := f.newInstance("i0", views, 1)
				f.addServer(server("second", fleet.Resident{Model: "m"}), &silentServer{events: 20})
				without := map[fleet.ServerID]*fleet.Server{}
				if other {
					empty := *f.servers["second"]
					empty.Models = nil
					without["second"] = &empty
				}
				time.AfterFunc(3390*time.Millisecond, func() { views.SetServers(without) })
				time.AfterFunc(3900*time.Millisecond, func() {
					listed := *f.servers["second"]
					listed.Sequence++
					views.SetServers(map[fleet.ServerID]*fleet.Server{"second": &listed})
				})
				got := f.send(t.Context(), e, "id", "/stream/x", map[string]string{standin.HeaderModel: "m"})
				assert.Equal(t, events(1, 20), got.Body.String())
			})
		})
	}
}

// A stopping instance cut a stream that it had to resume, two seconds before its end.
func TestStoppingInstanceDidNotResumeAStream(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newVirtualFleet(t)
		add := func(id string, handler http.Handler) {
			f.addServer(&fleet.Server{
				ID: fleet.ServerID(id), Service: engine, Zone: "zone-a", Version: "v1", Slots: 8, Models: []fleet.Resident{{Model: "m"}},
			}, handler)
		}
		add("breaks off", serveScript(func(http.ResponseWriter, *http.Request) {
			time.Sleep(time.Second)
			panic(http.ErrAbortHandler)
		}))
		views := f.newViews(testManifest())
		e := f.newInstance("i0", views, 1)
		add("full", &refusingServer{silentServer: silentServer{events: 6}, refuses: time.Second})
		delete(f.servers, "breaks off")
		time.AfterFunc(time.Millisecond, func() { views.SetServers(maps.Clone(f.servers)) })
		now := time.Now()
		e.Drain(now.Add(time.Second), now.Add(500*time.Millisecond), now.Add(4*time.Second))
		got := f.send(t.Context(), e, "id", "/stream/x", map[string]string{standin.HeaderModel: "m"})
		assert.Equal(t, events(1, 6), got.Body.String())
	})
}
