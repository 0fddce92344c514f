package edge

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
)

// A draining server receives no new requests, although it still executes those it has.
func TestDrainingServersReceiveNoRequests(t *testing.T) {
	b := newSlotHarness(t, 4)
	require.NotNil(t, b.chosen())
	draining := &fleet.Server{ID: "s", Service: "engine", Slots: 4, Draining: true, Models: []fleet.Resident{{Model: "m"}}}
	b.edge.views.SetServers(map[fleet.ServerID]*fleet.Server{"s": draining})
	assert.Nil(t, b.chosen())
	assert.Zero(t, b.edge.views.Load().Holders("engine", "m"))
	assert.Contains(t, b.edge.views.Load().Engines(), fleet.ServerID("s"), "its replicas and orders are still tracked")
}

func (b *slotHarness) chosen() *backend {
	q := b.request(quick, "m")
	server, _ := q.choose(b.edge.views.Load(), nil)
	return server
}

func TestManifestVersionNeverDecreases(t *testing.T) {
	views := NewViews()
	manifest := func(version int64) *fleet.Manifest {
		return fleet.NewManifest(version, nil, nil, fleet.CallerLimits{})
	}
	require.True(t, views.SetManifest(manifest(7)))
	for _, version := range []int64{6, 7, 0} {
		assert.False(t, views.SetManifest(manifest(version)))
		assert.Equal(t, int64(7), views.Load().Manifest.Version)
	}
	require.True(t, views.SetManifest(manifest(8)))
}

// The residency of a later incarnation or sequence must not be replaced by an earlier
// one.
func TestStaleResidencyIsIgnored(t *testing.T) {
	b := newSlotHarness(t, 4)
	set := func(startedAt, sequence int64, models ...string) []string {
		r := Residency{StartedAt: startedAt, Sequence: sequence}
		for _, m := range models {
			r.Models = append(r.Models, fleet.Resident{Model: m})
		}
		b.edge.views.SetResidency(map[fleet.ServerID]Residency{"s": r})
		var held []string
		for _, m := range []string{"m", "n"} {
			if b.edge.views.Load().Holders("engine", m) > 0 {
				held = append(held, m)
			}
		}
		return held
	}
	assert.Equal(t, []string{"m"}, set(0, 5, "m"))
	assert.Equal(t, []string{"m"}, set(0, 4, "n"), "an earlier sequence")
	assert.Equal(t, []string{"n"}, set(0, 6, "n"))
}

// What is known of servers that are no longer listed is bounded in number and time, and that of a listed
// one stays.
func TestUnlistedServersAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		views := NewViews()
		list := func(from, to int) {
			servers := map[fleet.ServerID]*fleet.Server{"listed": {ID: "listed", Service: "plain", Slots: 4, StartedAt: 1}}
			for n := from; n < to; n++ {
				id := fleet.ServerID(fmt.Sprint("s", n))
				servers[id] = &fleet.Server{ID: id, Service: "plain", Slots: 4, StartedAt: 1}
			}
			views.SetServers(servers)
		}
		list(0, maxUnlistedStats)
		listed, first := views.stats[statsKey{"listed", 1}], views.stats[statsKey{"s0", 1}]
		first.inFlight.Add(1)
		time.Sleep(time.Second)
		list(0, 0)
		time.Sleep(time.Second)
		list(0, 1)
		assert.Same(t, first, views.stats[statsKey{"s0", 1}], "with its requests")
		assert.Same(t, first.standing, views.standings[statsKey{"s0", 1}])
		list(maxUnlistedStats, maxUnlistedStats+10)
		time.Sleep(time.Second)
		list(0, 0)
		assert.Len(t, views.stats, maxUnlistedStats+1)
		assert.Same(t, first, views.stats[statsKey{"s0", 1}], "it was listed later than others")
		time.Sleep(statsTTL)
		list(0, 0)
		assert.Equal(t, map[statsKey]*stats{{"listed", 1}: listed}, views.stats)
		list(0, 0)
		assert.Len(t, views.standings, 1)
	})
}

// A request whose service has exhausted its retry budget gets only its first attempt.
func TestNoRetryBeyondBudget(t *testing.T) {
	b := newSlotHarness(t, 4)
	b.edge.cfg = Config{RetryRatio: 0.2, RetryExtra: 5, RetryWindow: 10 * time.Second, Instances: 1}
	b.edge.repeats = metrics.NewCounter()
	retries := 0
	for range 10 {
		q := b.request(quick, "m")
		require.True(t, q.reserveAttempt(), "the first attempt is free")
		for q.sends = 1; q.reserveAttempt(); q.sends++ {
			retries++
		}
	}
	assert.Positive(t, retries)
	assert.LessOrEqual(t, retries, 7, "five extra retries and a fifth of ten requests")
}
