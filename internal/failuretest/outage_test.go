package failuretest

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/internal/standin"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// logAway takes the log service down, or brings it back, and waits until all
// running instances know.
func (c *cluster) logAway(away bool) {
	c.Helper()
	c.platform.SetFaults(func(f *standin.Faults) { f.Log.Down = away })
	for _, n := range c.running() {
		c.eventually(func() bool { return (c.status(n).Log.State != "up") == away }, "instance knows of the log")
	}
}

func TestLogAwayWakesByCopies(t *testing.T) {
	t.Parallel()
	fencing(t, func(t *testing.T, checks bool) {
		c := startForBurst(t, checks)
		zone := replicaZone(model)
		caller, other := c.caller(), manyModel(zone)
		require.Equal(t, answered, caller.ask(c.nodes[0], model, "before").how)
		c.logAway(true)
		requests := newTally()
		caller.burst(requests, 20, model, c.nodes...)
		assert.Equal(t, 20, requests.wait()[answered], "what is loaded is served")
		// All eligible instances acknowledge copies of the decision.
		woken := newTally()
		caller.burst(woken, 40, other, c.nodes...)
		assert.Equal(t, 40, woken.wait()[answered], woken.details)
		end := c.platform.Counters().LogEnd
		c.logAway(false)
		c.eventually(func() bool { return c.platform.Counters().LogEnd > end }, "copies land")
		c.eventually(func() bool { return c.status(c.holder(zone)).Deciding.Open == 2 }, "both replicas are held")
		late := newTally()
		caller.burst(late, 20, other, c.nodes...)
		assert.Equal(t, 20, late.wait()[answered], late.details)
		c.oneLoad(model, 1)
		c.oneLoad(port.ModelID(other), 1)
		c.balanced()
	})
}

// manyModel returns a model of the extended catalogue whose replica belongs to
// the zone.
func manyModel(zone port.Zone) string {
	for n := 0; ; n++ {
		if id := "survey-" + strconv.Itoa(n); replicaZone(port.ModelID(id)) == zone {
			return id
		}
	}
}

func TestLogAwayRefusesWithoutEveryCopy(t *testing.T) {
	t.Parallel()
	fencing(t, func(t *testing.T, checks bool) {
		c := startForBurst(t, checks)
		zone := replicaZone(model)
		caller := c.caller()
		require.Equal(t, answered, caller.ask(c.nodes[0], model, "before").how)
		holder, silent := c.holder(zone), c.other(zone)
		c.logAway(true)
		silent.pause()
		refused := caller.ask(holder, manyModel(zone), "file")
		assert.Equal(t, notRun, refused.how, refused.detail)
		assert.NotEmpty(t, refused.retryAfter, "when to come back")
		assert.Zero(t, c.platform.LoadsSeen(port.ModelID(manyModel(zone))))
		assert.Equal(t, answered, caller.ask(holder, model, "loaded").how)
		silent.resume()
		c.logAway(false)
		c.eventually(func() bool { return caller.ask(holder, manyModel(zone), "file").how == answered }, "served after the outage")
		c.oneLoad(port.ModelID(manyModel(zone)), 1)
		c.balanced()
	})
}

func TestHolderKilledWhileLogIsAway(t *testing.T) {
	t.Parallel()
	fencing(t, func(t *testing.T, checks bool) {
		c := startForBurst(t, checks)
		zone := replicaZone(model)
		caller, other := c.caller(), manyModel(zone)
		require.Equal(t, answered, caller.ask(c.nodes[0], model, "before").how)
		holder, survivor := c.holder(zone), c.other(zone)
		c.logAway(true)
		require.Equal(t, answered, caller.ask(holder, other, "copied").how)
		holder.end()
		requests := newTally()
		caller.burst(requests, 20, model, c.running()...)
		caller.burst(requests, 20, other, c.running()...)
		assert.Equal(t, 40, requests.wait()[answered], requests.details)
		c.logAway(false)
		// The survivor knows the decision that never reached the log.
		c.eventually(func() bool {
			s := c.status(survivor).Deciding
			return s.Ready && s.Open == 2
		}, "survivor holds both replicas")
		late := newTally()
		caller.burst(late, 20, other, c.running()...)
		assert.Equal(t, 20, late.wait()[answered], late.details)
		c.oneLoad(model, 1)
		c.oneLoad(port.ModelID(other), 1)
		c.balanced()
	})
}
