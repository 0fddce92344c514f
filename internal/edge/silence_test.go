package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

// silence is the time for which a sound server falls silent.
const silence = 1200 * time.Millisecond

// silentServer falls silent once within each answer: before it, or after its first part.
type silentServer struct {
	events int
	// before means that it is silent before the answer begins.
	before bool
}

func (s *silentServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.before {
		time.Sleep(silence)
	}
	header := w.Header()
	header.Set(standin.HeaderID, r.Header.Get(standin.HeaderID))
	header.Set(standin.HeaderSignature, "signed")
	if s.events == 0 {
		_, _ = fmt.Fprint(w, "first ")
		_ = http.NewResponseController(w).Flush()
		if !s.before {
			time.Sleep(silence)
		}
		_, _ = fmt.Fprint(w, "second")
		return
	}
	header.Set("Content-Type", "text/event-stream")
	after := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &after)
	for i := after + 1; i <= s.events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d\n\n", i, i); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
		if i == 1 && !s.before {
			time.Sleep(silence)
		}
	}
}

// A server that falls silent for a second and goes on breaks off no answer, whether or not
// another server could be asked.
func TestServerIsSilentForASecond(t *testing.T) {
	for _, servers := range []int{1, 3} {
		for _, before := range []bool{true, false} {
			for _, path := range []string{"/read/x", "/write/x", "/stream/x", "/once/x"} {
				t.Run(fmt.Sprint(path, " servers ", servers, " before ", before), func(t *testing.T) {
					inVirtualTime(t, func(t *testing.T) {
						f := newVirtualFleet(t)
						list, services := manifestParts()
						for n := range servers {
							for _, service := range []string{plain, engine} {
								server := &silentServer{before: before}
								if service == engine {
									server.events = 6
								}
								f.addServer(&fleet.Server{
									ID: fleet.ServerID(fmt.Sprint(service, n)), Service: service, Zone: "zone-a", Version: "v1", Slots: 8,
									Models: []fleet.Resident{{Model: "m"}},
								}, server)
							}
						}
						manifest := fleet.NewManifest(1, list, services, fleet.CallerLimits{MaxBodyBytes: 1000})
						e := f.newInstance("i0", f.newViews(manifest), 1)
						for i := range 5 {
							got := f.send(t.Context(), e, fmt.Sprint("id", i), path, map[string]string{standin.HeaderModel: "m"})
							assert.Equal(t, http.StatusOK, got.Code)
							want := "first second"
							if path == "/stream/x" || path == "/once/x" {
								want = events(1, 6)
							}
							assert.Equal(t, want, got.Body.String())
						}
					})
				})
			}
		}
	}
}

// manifestParts returns the routes, with the objectives of a short summary, and the services of
// the tests.
func manifestParts() ([]fleet.Route, []fleet.Service) {
	list := make([]fleet.Route, len(routes))
	copy(list, routes)
	for i := range list {
		list[i].Host, list[i].Timeout, list[i].TargetLatency = host, 5*time.Second, 500*time.Millisecond
		list[i].GapTarget = 400 * time.Millisecond
	}
	return list, []fleet.Service{{Name: plain}, {Name: engine, Engine: &fleet.Engine{
		Slots: 8, WeightsMB: 100, Models: map[string]fleet.Model{"m": {Name: "m", WeightsMB: 10}},
	}}}
}

func testManifest() *fleet.Manifest {
	list, services := manifestParts()
	return fleet.NewManifest(1, list, services, fleet.CallerLimits{MaxBodyBytes: 1000})
}
