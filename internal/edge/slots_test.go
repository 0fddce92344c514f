package edge

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/retry"
)

// burst is an edge before one engine with few slots.
type burst struct {
	*testing.T

	edge *Edge
}

var (
	quick   = &fleet.Route{Name: "quick", Kind: fleet.KindStream, CanResume: true, TargetLatency: 500 * time.Millisecond}
	lasting = &fleet.Route{Name: "lasting", Kind: fleet.KindStream, TargetLatency: 3 * time.Second}
)

const burstLimit = 5 * time.Second

// fairTurns bounds how often others may go first: the weight of what can be on time and
// not be repeated against that of neither.
const fairTurns = 1 + 4*4

func newBurst(t *testing.T, slots int) *burst {
	views := NewViews()
	services := []fleet.Service{{Name: "engine", Engine: &fleet.Engine{Slots: slots, Models: map[string]fleet.Model{"m": {Name: "m"}, "n": {Name: "n"}}}}}
	views.SetManifest(fleet.NewManifest(1, nil, services, fleet.CallerLimits{}))
	views.SetServers(map[fleet.ServerID]*fleet.Server{"s": {
		ID: "s", Service: "engine", Slots: slots, Models: []fleet.Resident{{Model: "m"}, {Model: "n"}},
	}})
	e := &Edge{views: views, started: time.Now(), budgets: map[string]*retry.Budget{}}
	return &burst{T: t, edge: e}
}

func (b *burst) request(route *fleet.Route, model string) *request {
	now := time.Now()
	return &request{
		edge: b.edge, route: route, service: "engine", model: model, arrived: now, deadline: now.Add(burstLimit),
		tried: map[fleet.ServerID]bool{},
	}
}

// wait lets a request wait in the queue.
func (b *burst) wait(route *fleet.Route, model string) *slotWait {
	return b.edge.slots("engine").join(b.request(route, model))
}

// fill takes all slots and returns the server.
func (b *burst) fill() *backend {
	server := b.edge.views.Load().services["engine"][0]
	server.stats.own.Store(int64(server.server.Slots))
	return server
}

func given(w *slotWait) bool { return len(w.given) == 1 }

// order frees one slot after the other and tells which route got each.
func (b *burst) order(server *backend, waits []*slotWait) string {
	order := ""
	done := map[*slotWait]bool{}
	for range waits {
		b.edge.release("engine", server)
		for _, w := range waits {
			if given(w) && !done[w] {
				done[w] = true
				order += w.request.route.Name[:1]
			}
		}
	}
	return order
}

func TestSlotsGoToThoseThatCanBeOnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBurst(t, 2)
		server := b.fill()
		var waits []*slotWait
		for range 10 {
			waits = append(waits, b.wait(quick, "m"))
		}
		time.Sleep(quick.TargetLatency) // now these are late
		fresh := b.wait(quick, "n")
		b.edge.release("engine", server)
		require.True(t, given(fresh), "one that can still be on time goes first")
		for range 10 {
			b.edge.release("engine", server)
		}
		for _, w := range waits {
			require.True(t, given(w), "late requests are served all the same")
		}
		assert.Zero(t, b.edge.slots("engine").waiting.Load())
	})
}

func TestSlotsKeepNobodyWaitingForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBurst(t, 1)
		server := b.fill()
		late := b.wait(quick, "m")
		time.Sleep(quick.TargetLatency)
		turns := 0
		for ; !given(late); turns++ {
			require.Less(t, turns, fairTurns, "more urgent work keeps coming")
			b.wait(lasting, "m")
			b.edge.release("engine", server)
		}
	})
}

func TestSlotsPreferWhatCantBeRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBurst(t, 1)
		server := b.fill()
		var waits []*slotWait
		for range 4 {
			waits = append(waits, b.wait(quick, "m"))
		}
		for range 4 {
			waits = append(waits, b.wait(lasting, "m"))
		}
		got := b.order(server, waits)
		assert.Contains(t, []string{"qllllqqq", "lqlllqqq", "lllqlqqq", "llqllqqq", "llllqqqq"}, got)
	})
}

func TestSlotsOfOtherModelsDontWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBurst(t, 1)
		server := b.fill()
		blocked := b.wait(lasting, "absent")
		w := b.wait(quick, "m")
		b.edge.release("engine", server)
		assert.True(t, given(w))
		assert.False(t, given(blocked))
	})
}

func TestSlotGivenToOneThatLeavesIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBurst(t, 1)
		server := b.fill()
		leaving, staying := b.wait(quick, "m"), b.wait(quick, "m")
		b.edge.release("engine", server)
		require.True(t, given(leaving))
		unused := b.edge.slots("engine").leave(leaving)
		require.Same(t, server, unused)
		b.edge.release("engine", unused)
		assert.Len(t, staying.given, 1)
		assert.Equal(t, int64(1), server.stats.own.Load(), "one slot, one request")
		assert.Nil(t, b.edge.slots("engine").leave(b.wait(quick, "m")))
	})
}
