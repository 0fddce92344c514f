package placer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/internal/edge"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/modelplan"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
	"github.com/cyclamenhoist/cyclamenhoist/platform/standin"
)

// startListening starts instances that apply what the others tell of servers, and waits until they
// know each other.
func (c *cluster) startListening(n int) []*instance {
	var all []*instance
	for n := range n {
		all = append(all, c.startListener(fmt.Sprint("i", n)))
	}
	for _, i := range all {
		c.eventually("the instances know each other", func() bool { return len(i.OtherInstances()) == len(all)-1 })
	}
	return all
}

func (c *cluster) startListener(name string) *instance {
	i := c.start(name)
	i.Standings().OnTold(func(said edge.Standing) { i.views.SetStanding(said, time.Now()) })
	return i
}

// knowsServers reports whether the instance has read the reports of all servers as the holder.
func (i *instance) knowsServers() bool {
	i.holder.mu.Lock()
	defer i.holder.mu.Unlock()
	for _, t := range i.holder.servers {
		if !t.known {
			return false
		}
	}
	return len(i.holder.servers) > 0
}

// One instance hears that an engine leaves, which is listed as ready. All others learn it, and the
// holder loads the model elsewhere.
func TestModelOfALeavingServerIsLoadedElsewhere(t *testing.T) {
	c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0", Models: []string{"a"}, OnDisk: []string{"a"}}, standin.ServerConfig{ID: "s1", OnDisk: []string{"a"}})
	all := c.startListening(3)
	for _, i := range all {
		c.eventually("the placement is known", func() bool { return i.views.Load().Holders(summaries, "a") == 1 })
	}
	said := edge.Standing{Server: "s0", Leaving: true}
	all[1].views.SetStanding(said, time.Now())
	all[1].Standings().TellAll(said)
	for _, i := range all {
		c.eventually("the server isn't used", func() bool { return i.views.Load().Holders(summaries, "a") == 0 || c.holds(1, "a") })
	}
	defer all[1].collector.Wait(wantModel("a"))()
	c.eventually("the model is loaded elsewhere", func() bool { return c.holds(1, "a") })
	for _, i := range all {
		c.eventually("the other server is used", func() bool { return i.views.Load().Holders(summaries, "a") == 1 })
	}
}

// For how long a server wants no requests is told to the instance that relayed the rejection alone.
func TestRestIsToldToTheRelay(t *testing.T) {
	c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0"})
	first, relay := c.start("i0"), c.start("i1")
	said := edge.Standing{Server: "s0", StartedAt: 7, RestUntil: time.Now().Add(time.Minute)}
	told := make(chan edge.Standing, 1)
	relay.Standings().OnTold(func(said edge.Standing) { told <- said })
	first.Standings().Tell(relay.address, said)
	got := <-told
	assert.WithinDuration(t, said.RestUntil, got.RestUntil, testTimeout)
	got.RestUntil = said.RestUntil
	assert.Equal(t, said, got)
}

// A server that serves no requests says that it leaves in its answers to reports and orders alone.
func TestServerSaysInReportsAndOrdersThatItLeaves(t *testing.T) {
	t.Run("report", func(t *testing.T) {
		c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0", Models: []string{"a"}, OnDisk: []string{"a"}}, standin.ServerConfig{ID: "s1", OnDisk: []string{"a"}})
		all := c.startListening(3)
		c.eventually("the holder has read the reports", func() bool { return slices.ContainsFunc(all, (*instance).knowsServers) })
		c.servers[0].SetFaults(standin.ServerFaults{Leaving: true})
		// The holder reads the report of a server again that should hold the model.
		defer all[1].collector.Wait(wantModel("a"))()
		c.eventually("the model is loaded elsewhere", func() bool { return c.holds(1, "a") })
		for _, i := range all {
			c.eventually("the other server alone is used", func() bool {
				return i.views.Load().Holders(summaries, "a") == 1 && i.views.Load().Services()[summaries].Servers == 1
			})
		}
	})
	t.Run("order", func(t *testing.T) {
		c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0", OnDisk: []string{"a"}})
		all := c.startListening(2)
		c.eventually("the holder has read the report", func() bool { return slices.ContainsFunc(all, (*instance).knowsServers) })
		c.servers[0].SetFaults(standin.ServerFaults{Leaving: true})
		defer all[1].collector.Wait(wantModel("a"))()
		for _, i := range all {
			c.eventually("the server isn't used", func() bool { return i.views.Load().Services()[summaries].Servers == 0 })
		}
	})
}

// A server has said that it leaves before the instance that heard it knew the others.
func TestInstancesThatAreKnownLaterLearnThatAServerLeaves(t *testing.T) {
	c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0", Models: []string{"a"}, OnDisk: []string{"a"}}, standin.ServerConfig{ID: "s1", OnDisk: []string{"a"}})
	c.servers[0].SetFaults(standin.ServerFaults{Leaving: true})
	all := c.startListening(3)
	defer all[1].collector.Wait(wantModel("a"))()
	c.eventually("the model is loaded elsewhere", func() bool { return c.holds(1, "a") })
	for _, i := range append(all, c.startListener("late")) {
		c.eventually("the other server alone is used", func() bool {
			return i.views.Load().Holders(summaries, "a") == 1 && i.views.Load().Services()[summaries].Servers == 1
		})
	}
}

// A server that rejects a report with a Retry-After wants no requests of the holder either.
func TestRetryAfterOfAReportAppliesToRequests(t *testing.T) {
	c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0", Models: []string{"a"}})
	c.servers[0].SetFaults(standin.ServerFaults{Rest: time.Hour})
	i := c.start("i0")
	c.eventually("requests aren't accepted", func() bool { return !i.views.AcceptsRequests(c.servers[0].Address()) })
}

// A server that wants nothing of the holder for a time got reports and orders all the while.
func TestReportsAndOrdersReachAServerDuringItsRetryAfter(t *testing.T) {
	c := newCluster(t, []string{"a", "b"}, standin.ServerConfig{ID: "s0", OnDisk: []string{"a", "b"}}, standin.ServerConfig{ID: "s1", OnDisk: []string{"a", "b"}})
	i := c.start("i0")
	c.eventually("the holder has read the reports", i.knowsServers)
	i.views.SetStanding(edge.Standing{Server: "s0", RestUntil: time.Now().Add(time.Hour)}, time.Now())
	calls := c.servers[0].Calls()
	for _, model := range c.models {
		defer i.collector.Wait(wantModel(model))()
		c.eventually("the model is loaded elsewhere", func() bool { return c.holds(1, model) })
	}
	assert.LessOrEqual(t, c.servers[0].Calls(), calls+1, "one report can have been on its way")
}

// Each call that the holder can make is held back while the server wants nothing of it.
func TestEachCallIsHeldBackDuringARetryAfter(t *testing.T) {
	c := newCluster(t, []string{"a"}, standin.ServerConfig{ID: "s0", OnDisk: []string{"a"}}, standin.ServerConfig{ID: "s1", OnDisk: []string{"a"}})
	i := c.start("i0")
	c.eventually("the holder has read the reports", i.knowsServers)
	i.views.SetStanding(edge.Standing{Server: "s0", RestUntil: time.Now().Add(time.Hour)}, time.Now())
	calls := c.servers[0].Calls()
	t.Run("reports", func(t *testing.T) {
		others := c.servers[1].Calls()
		i.changeServers(func(t *trackedServer) { t.nextReportAt = time.Now() })
		c.eventually("the report of the other server is read", func() bool { return c.servers[1].Calls() > others })
		assert.Equal(t, calls, c.servers[0].Calls())
	})
	t.Run("confirmations of loads", func(t *testing.T) {
		others := c.servers[1].Calls()
		i.changeServers(func(t *trackedServer) {
			t.busy, t.loading, t.expectedLoadEnd, t.nextReportAt = true, "a", time.Now(), time.Now().Add(time.Hour)
		})
		c.eventually("the load of the other server is confirmed", func() bool { return c.servers[1].Calls() > others })
		assert.Equal(t, calls, c.servers[0].Calls())
	})
	t.Run("orders", func(t *testing.T) {
		i.holder.mu.Lock()
		tracked := i.holder.servers["s0"]
		order := platform.Order{Server: tracked.server, Model: "a", Expect: tracked.sequence, Holder: i.name, Epoch: i.holder.epoch}
		i.holder.mu.Unlock()
		err := i.holder.sendOrder(t.Context(), tracked, modelplan.Action{Server: "s0", Kind: modelplan.LoadModel, Model: "a"}, order)
		require.ErrorIs(t, err, platform.ErrOrderBusy)
		assert.Equal(t, calls, c.servers[0].Calls())
	})
	t.Run("plans", func(t *testing.T) {
		i.holder.mu.Lock()
		defer i.holder.mu.Unlock()
		for _, tracked := range i.holder.servers {
			tracked.busy, tracked.uncertain, tracked.callInFlight = false, false, false
		}
		view := i.views.Load()
		for _, server := range i.holder.planState(summaries, view.Manifest.Services[summaries].Engine, time.Now()).Servers {
			assert.Equal(t, server.ID == "s0", server.Busy, server.ID)
		}
	})
}

// changeServers changes what the holder knows of all servers.
func (i *instance) changeServers(change func(*trackedServer)) {
	i.holder.mu.Lock()
	defer i.holder.mu.Unlock()
	for _, t := range i.holder.servers {
		change(t)
	}
}
