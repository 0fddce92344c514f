package edge_test

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

// modelServer returns the entry of a server that holds the model m.
func modelServer(id string) *fleet.Server {
	return &fleet.Server{ID: fleet.ServerID(id), Service: engine, Zone: "zone-a", Version: "v1", Slots: 8, Models: []fleet.Resident{{Model: "m"}}}
}

func signedHead(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(standin.HeaderID, r.Header.Get(standin.HeaderID))
	w.Header().Set(standin.HeaderSignature, "signed")
}

func writeEvent(w http.ResponseWriter, i int) {
	_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i, i)
	_ = http.NewResponseController(w).Flush()
}

// A begun stream was cut at its next wait because a successor had answered 500 before its first event.
func TestSuccessorsErrorCutABegunStream(t *testing.T) {
	for _, fails := range []bool{false, true} {
		t.Run(fmt.Sprint("successor answers 500: ", fails), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				f := newVirtualFleet(t)
				f.addServer(modelServer("a"), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					time.Sleep(1200 * time.Millisecond)
					signedHead(w, r)
					w.Header().Set("Content-Type", "text/event-stream")
					for i := 1; i <= 3; i++ {
						writeEvent(w, i)
					}
					time.Sleep(10 * time.Millisecond)
					panic(http.ErrAbortHandler)
				}))
				list, services := manifestParts()
				for i := range list {
					list[i].MaxAttempts += 4
				}
				views := f.newViews(fleet.NewManifest(1, list, services, fleet.CallerLimits{MaxBodyBytes: 1000}))
				e := f.newInstance("i0", views, 1)
				var n atomic.Int64
				sound := &silentServer{events: 6}
				f.addServer(modelServer("b"), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if i := n.Add(1); i <= 2 {
						if !fails || i == 2 {
							refuseFull(w, r)
							return
						}
						signedHead(w, r)
						w.WriteHeader(http.StatusInternalServerError)
						_, _ = fmt.Fprint(w, "error")
						return
					}
					sound.ServeHTTP(w, r)
				}))
				time.AfterFunc(time.Millisecond, func() { views.SetServers(maps.Clone(f.servers)) })
				got := f.send(t.Context(), e, "id", "/stream/x", map[string]string{standin.HeaderModel: "m"})
				t.Log("requests at b", n.Load())
				assert.Equal(t, events(1, 6), got.Body.String())
			})
		})
	}
}

// Successors of a silent stream, which a full server refused, took the retry that another stream needed whose server had
// broken off.
func TestSuccessorsTookTheRetriesOfLostAnswers(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprint("beside a silent request: ", silent), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				f := newVirtualFleet(t)
				f.retryExtra = 16
				with := func(id, model string) *fleet.Server {
					s := modelServer(id)
					s.Models = []fleet.Resident{{Model: model}}
					return s
				}
				list, _ := manifestParts()
				manifest := fleet.NewManifest(1, list, []fleet.Service{{Name: plain}, {Name: engine, Engine: &fleet.Engine{
					Slots: 8, WeightsMB: 100, Models: map[string]fleet.Model{"m": {Name: "m", WeightsMB: 10}, "n": {Name: "n", WeightsMB: 10}},
				}}}, fleet.CallerLimits{MaxBodyBytes: 1000})
				f.addServer(with("silent", "m"), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					time.Sleep(2500 * time.Millisecond)
					(&silentServer{events: 6}).ServeHTTP(w, r)
				}))
				f.addServer(with("breaks off", "n"), serveScript(func(w http.ResponseWriter, r *http.Request) {
					time.Sleep(200 * time.Millisecond)
					panic(http.ErrAbortHandler)
				}))
				views := f.newViews(manifest)
				e := f.newInstance("i0", views, 1)
				f.addServer(with("full", "m"), &refusingServer{silentServer: silentServer{events: 6}, refuses: time.Minute})
				views.SetServers(maps.Clone(f.servers))
				f.addServer(with("sound", "n"), &silentServer{events: 6})
				done := make(chan string, 1)
				go func() {
					if !silent {
						done <- events(1, 6)
						return
					}
					done <- f.send(t.Context(), e, "id0", "/stream/x", map[string]string{standin.HeaderModel: "m"}).Body.String()
				}()
				time.Sleep(1500 * time.Millisecond)
				time.AfterFunc(time.Millisecond, func() { views.SetServers(maps.Clone(f.servers)) })
				got := f.send(t.Context(), e, "id1", "/stream/x", map[string]string{standin.HeaderModel: "n"})
				assert.Equal(t, events(1, 6), got.Body.String(), "stream whose server broke off")
				assert.Equal(t, events(1, 6), <-done, "silent stream")
			})
		})
	}
}

// A stream whose server went on and fell silent again wasn't watched if its successor was canceled while connecting.
func TestCanceledSuccessorLeftTheServerUnwatched(t *testing.T) {
	for _, at := range []time.Duration{350 * time.Millisecond, 550 * time.Millisecond} {
		t.Run(fmt.Sprint("second event at ", at), func(t *testing.T) {
			inVirtualTime(t, func(t *testing.T) {
				f := newVirtualFleet(t)
				f.addServer(modelServer("a"), serveScript(func(w http.ResponseWriter, r *http.Request) {
					time.Sleep(at)
					writeEvent(w, 2)
					time.Sleep(20 * time.Second) // dark
				}))
				list, services := manifestParts()
				for i := range list {
					list[i].GapTarget = 0
				}
				views := f.newViews(fleet.NewManifest(1, list, services, fleet.CallerLimits{MaxBodyBytes: 1000}))
				dark := modelServer("b")
				dark.Address = "10.0.1.1:80"
				servers := platform.NewServersWithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
					if address == dark.Address {
						select {
						case <-ctx.Done():
						case <-time.After(300 * time.Millisecond):
						}
						return nil, context.DeadlineExceeded
					}
					return f.dial(ctx, network, address)
				})
				e := f.newInstanceWith("i0", views, 1, servers)
				withB := maps.Clone(f.servers)
				withB["b"] = dark
				time.AfterFunc(time.Millisecond, func() { views.SetServers(withB) })
				f.addServer(modelServer("c"), &silentServer{events: 6})
				time.AfterFunc(700*time.Millisecond, func() { views.SetServers(maps.Clone(f.servers)) })
				sent := time.Now()
				got := f.send(t.Context(), e, "id", "/stream/x", map[string]string{standin.HeaderModel: "m"})
				assert.LessOrEqual(t, time.Since(sent), at+2*400*time.Millisecond, "twice the least stall")
				assert.Equal(t, events(1, 6), got.Body.String())
			})
		})
	}
}
