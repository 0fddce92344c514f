package edge_test

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

// TestClientLeavesBeforeItsDeadline: requests with a deadline of 17 s waited for a load that ended
// after 13.2 s. The clients of such streams left after 12 s without an event, untold.
func TestClientLeavesBeforeItsDeadline(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newVirtualFleet(t)
		f.addServer(&fleet.Server{ID: "s0", Service: "engine", Slots: 8}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set(standin.HeaderID, r.Header.Get(standin.HeaderID))
			w.Header().Set(standin.HeaderSignature, "s")
			w.Header().Set("Content-Length", "2")
			_, _ = io.WriteString(w, "ok")
		}))
		models := map[string]fleet.Model{"m": {Name: "m", WeightsMB: 100, StoreLoad: 13 * time.Second}}
		views := f.newViews(fleet.NewManifest(1, []fleet.Route{{
			Name: "r", Host: host, PathPrefix: "/s/", Kind: fleet.KindStream, Timeout: 17 * time.Second, TargetLatency: 3 * time.Second,
			MaxAttempts: 1, GapTarget: 600 * time.Millisecond, Shares: []fleet.Share{{Service: "engine", Weight: 1}},
		}}, []fleet.Service{{Name: "engine", Engine: &fleet.Engine{Slots: 8, WeightsMB: 200, Models: models}}}, fleet.CallerLimits{}))
		e := f.newInstance("i0", views, 1)
		header := map[string]string{standin.HeaderModel: "m", standin.HeaderDeadline: "17000"}
		loadEnds := func(in time.Duration) {
			views.SetResidency(map[fleet.ServerID]edge.Residency{"s0": {Sequence: 1, Loading: map[string]time.Time{"m": time.Now().Add(in)}}})
		}

		loadEnds(13200 * time.Millisecond)
		started := time.Now()
		refused := f.send(t.Context(), e, "1", "/s/1", header)
		assert.Equal(t, http.StatusServiceUnavailable, refused.Code)
		assert.Zero(t, time.Since(started), "it is known at once")
		back, err := strconv.ParseFloat(refused.Header().Get("Retry-After"), 64)
		require.NoError(t, err)
		assert.GreaterOrEqual(t, back, 13.2, "not before the model is there")

		// The client comes back after a third of its time.
		time.Sleep(5 * time.Second)
		header[standin.HeaderDeadline] = "12000"
		go func() {
			time.Sleep(8200 * time.Millisecond)
			views.SetResidency(map[fleet.ServerID]edge.Residency{"s0": {Sequence: 2, Models: []fleet.Resident{{Model: "m"}}}})
		}()
		assert.NotEqual(t, http.StatusServiceUnavailable, f.send(t.Context(), e, "2", "/s/1", header).Code, "it waits for the load")
	})
}

// A request for an adapter waits for it at a server that holds the model, while another one takes
// long to load the model.
func TestAdapterIsWaitedForBesideALongLoad(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newVirtualFleet(t)
		for _, id := range []fleet.ServerID{"s0", "s1"} {
			f.addServer(&fleet.Server{ID: id, Service: "engine", Slots: 8}, http.NotFoundHandler())
		}
		models := map[string]fleet.Model{"m": {Name: "m", WeightsMB: 100, StoreLoad: 13 * time.Second}}
		views := f.newViews(fleet.NewManifest(1, []fleet.Route{{
			Name: "r", Host: host, PathPrefix: "/s/", Kind: fleet.KindStream, Timeout: 5 * time.Second, TargetLatency: 600 * time.Millisecond,
			MaxAttempts: 1, Shares: []fleet.Share{{Service: "engine", Weight: 1}},
		}}, []fleet.Service{{Name: "engine", Engine: &fleet.Engine{Slots: 8, WeightsMB: 200, Models: models}}}, fleet.CallerLimits{}))
		e := f.newInstance("i0", views, 1)
		views.SetResidency(map[fleet.ServerID]edge.Residency{
			"s0": {Sequence: 1, Models: []fleet.Resident{{Model: "m"}}},
			"s1": {Sequence: 1, Loading: map[string]time.Time{"m": time.Now().Add(13 * time.Second)}},
		})
		started := time.Now()
		header := map[string]string{standin.HeaderModel: "m/a1", standin.HeaderDeadline: "5000"}
		assert.Equal(t, http.StatusServiceUnavailable, f.send(t.Context(), e, "1", "/s/1", header).Code)
		assert.Greater(t, time.Since(started), time.Second, "the adapter could have been loaded")
	})
}

// Routes whose objectives are missing or absurd leave the deadline as it is.
func TestPatienceOfARoute(t *testing.T) {
	assert.Equal(t, 12*time.Second, (&fleet.Route{Kind: fleet.KindStream, TargetLatency: 3 * time.Second, GapTarget: 600 * time.Millisecond}).Patience())
	assert.Equal(t, 8*time.Second, (&fleet.Route{Kind: fleet.KindStream, TargetLatency: time.Second, GapTarget: time.Second}).Patience())
	assert.Equal(t, 2*time.Second, (&fleet.Route{Kind: fleet.KindStream}).Patience())
	assert.Zero(t, (&fleet.Route{Kind: fleet.KindSafe, TargetLatency: time.Hour}).Patience())
}
