package edge

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/retry"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

// A request that can't be served in time must be refused at once with the time at which it can, but
// not for an estimate that may be wrong, nor if it may have run.
func TestRequestsBehindALongQueueAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newSlotHarness(t, 1)
		b.edge.refusedEarly = metrics.NewCounter()
		check := func(expected time.Duration, runs int) (outcome, bool) {
			q := b.request(quick, "m")
			q.leavesAt, q.expectedWait, q.runs = q.deadline, expected, runs
			return q.checkRefusal(waitSlot, b.edge.views.Load())
		}
		out, refuse := check(3*harnessTimeout, 0)
		assert.True(t, refuse)
		assert.Equal(t, http.StatusServiceUnavailable, out.status)
		assert.Greater(t, out.retryAfter, 2*harnessTimeout)
		assert.Less(t, out.retryAfter, 3*harnessTimeout)
		for _, c := range []struct {
			expected time.Duration
			runs     int
		}{{0, 0}, {harnessTimeout, 0}, {3 * harnessTimeout, 1}} {
			_, refuse := check(c.expected, c.runs)
			assert.False(t, refuse, "%+v", c)
		}
		assert.Equal(t, int64(1), b.edge.refusedEarly.Count())
	})
}

// The queue of the instance gives what a request is expected to wait, once grants show it.
func TestWaitingRequestsLearnWhatTheyWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newSlotHarness(t, 1)
		server := b.fill()
		var waits []*slotWait
		for range 20 {
			waits = append(waits, b.wait(quick, "m"))
		}
		assert.Zero(t, waits[19].request.expectedWait)
		for range 10 {
			time.Sleep(10 * time.Millisecond)
			b.edge.release("engine", server)
		}
		w := b.wait(quick, "m")
		assert.InDelta(t, 110*time.Millisecond, w.request.expectedWait, float64(20*time.Millisecond))
	})
}

// A client that comes back has less time than the route gives. One that states a short deadline at once must
// not pass all others, so no more than the objective counts.
func TestTimeSpentBefore(t *testing.T) {
	route := *quick
	route.Timeout, route.TargetLatency = 5*time.Second, 2500*time.Millisecond
	for deadline, want := range map[time.Duration]time.Duration{
		0: 0, 3 * time.Second: 2 * time.Second, time.Second: 2500 * time.Millisecond, 5 * time.Second: 0, time.Minute: 0,
	} {
		q := &request{route: &route, head: platform.RequestHead{Deadline: deadline}}
		assert.Equal(t, want, q.spentBefore(), "%v", deadline)
	}
}

// BenchmarkChoose200 measures the choice among 200 servers that hold the model, with the collection
// of what is known of them.
func BenchmarkChoose200(b *testing.B) {
	views := NewViews()
	views.SetInstances(71)
	services := []fleet.Service{{Name: "engine", Engine: &fleet.Engine{Slots: 24, Models: map[string]fleet.Model{"m": {Name: "m"}}}}}
	views.SetManifest(fleet.NewManifest(1, nil, services, fleet.CallerLimits{}))
	servers := map[fleet.ServerID]*fleet.Server{}
	for n := range 200 {
		id := fleet.ServerID(fmt.Sprint("s", n))
		servers[id] = &fleet.Server{ID: id, Service: "engine", Slots: 24, Models: []fleet.Resident{{Model: "m"}}}
	}
	views.SetServers(servers)
	e := &Edge{views: views, started: time.Now(), budgets: map[string]*retry.Budget{}}
	for n, server := range views.Load().services["engine"] {
		e.recordLoad(server, platform.ServerLoad{Running: n % 20, Slots: 24, Slowdown: 1.2}, time.Now())
	}
	now := time.Now()
	q := &request{edge: e, route: quick, service: "engine", model: "m", arrived: now, deadline: now.Add(harnessTimeout)}
	b.ReportAllocs()
	for b.Loop() {
		q.choose(views.Load(), nil)
	}
}
