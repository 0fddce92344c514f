package edge_test

import (
	"fmt"
	"maps"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
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
