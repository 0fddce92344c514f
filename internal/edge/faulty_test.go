package edge_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

// faultyServer is a plain server that fails a part of its requests in one way, while it is listed as
// ready.
type faultyServer struct {
	part float64
	way  string

	mu       sync.Mutex
	random   *rand.Rand
	received int
}

func (s *faultyServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.received++
	fails := s.random.Float64() < s.part
	s.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	header := w.Header()
	header.Set(standin.HeaderID, r.Header.Get(standin.HeaderID))
	if fails && s.way == "reset" {
		panic(http.ErrAbortHandler)
	}
	if !fails || s.way == "error" {
		header.Set(standin.HeaderSignature, "signed")
	}
	if fails {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = fmt.Fprint(w, "answer")
}

// TestPlainServersThatFailAPartOfTheirRequests: all three servers of a plain service failed 14 % of
// their requests while their health checks passed. Repeatable requests must be answered by another
// server within the retry budget, and ejection must not leave too few servers.
func TestPlainServersThatFailAPartOfTheirRequests(t *testing.T) {
	const servers, part, perSecond, duration = 3, 0.14, 60, 20 * time.Second
	for _, instances := range []int{1, 18, 71} {
		for _, way := range []string{"error", "reset", "unsigned"} {
			t.Run(fmt.Sprint(way, " at ", instances), func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T) {
					f := newStandingFleet(t, plain, instances, 0)
					var faulty []*faultyServer
					for n := range servers {
						s := &faultyServer{part: part, way: way, random: rand.New(rand.NewPCG(1, uint64(n)))}
						faulty = append(faulty, s)
						f.addServer(&fleet.Server{ID: fleet.ServerID(fmt.Sprint("s", n)), Service: plain, Zone: "zone-a", Slots: 16}, s)
					}
					f.publish()
					statuses := f.play(duration, perSecond, 1)
					all, received, most := 0, 0, 0
					for _, n := range statuses {
						all += n
					}
					for _, s := range faulty {
						received, most = received+s.received, max(most, s.received)
					}
					t.Logf("%v, %d sent, at most %d to one", statuses, received, most)
					// With two attempts 0.02 fail at two servers. At 71 instances, each with a retry or two
					// to spend, the budget costs some more.
					assert.Less(t, float64(all-statuses[http.StatusOK]), part/3*float64(all))
					// 200 extra retries in 10 s, beside a fifth of the requests.
					assert.LessOrEqual(t, float64(received-all), 0.2*float64(all)+200*2)
					assert.Less(t, most, received*6/10, "the servers share the requests")
				})
			})
		}
	}
}
