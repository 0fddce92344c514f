package failuretest

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/internal/settings"
	"github.com/cyclamenhoist/cyclamenhoist/internal/standin"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/jsonc"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// oneReplica asserts that no two replicas of the model were there at once.
func (c *cluster) oneReplica(id port.ModelID) {
	c.Helper()
	assert.Equal(c, 1, c.platform.MaxReplicasSeen(id))
	assert.Zero(c, c.platform.Overcommits())
}

// twoReplicas lets a model have a replica in each zone.
func twoReplicas(d map[string]any) {
	d["limits"].(map[string]any)["replicas_per_model"] = 2
}

// slowly makes every engine generate one token in so long.
func (c *cluster) slowly(perToken time.Duration) {
	for _, id := range engineIDs(c.platform) {
		c.platform.SetServerFaults(id, func(f *standin.ServerFaults) { f.TokenDelay = jsonc.Duration(perToken) })
	}
}

// busiest returns the server that began the most answers.
func (c *cluster) busiest() port.ServerID {
	var most port.ServerID
	generations := c.platform.Counters().Generations
	for id, n := range generations {
		if most == "" || n > generations[most] {
			most = id
		}
	}
	return most
}

// unroutable reports whether no instance sends new work to the server.
func (c *cluster) unroutable(id port.ServerID) bool {
	for _, n := range c.running() {
		for _, s := range c.status(n).Servers {
			if s.ID == id && s.Routable {
				return false
			}
		}
	}
	return true
}

func TestLeavingServerGetsNoNewWork(t *testing.T) {
	t.Parallel()
	for name, logAway := range map[string]bool{"log up": false, "log away": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := start(t, platformSettings(), nil, document(t, true, nil), zoneA, zoneA, zoneB, zoneB)
			caller := c.caller()
			require.Equal(t, answered, caller.ask(c.nodes[0], model, "before").how)
			leaving := c.busiest()
			if logAway {
				c.logAway(true)
			}
			c.slowly(100 * time.Millisecond)
			inProgress := newTally()
			for n := range 12 {
				to := c.nodes[n%len(c.nodes)]
				inProgress.run(func() ending { return caller.stream(to, model, fmt.Sprintf("slow %d", n), 40) })
			}
			c.eventually(func() bool { return c.platform.Counters().Generations[leaving] == 13 }, "streams began")
			require.NoError(t, c.platform.Leave(leaving))
			c.eventually(func() bool { return c.unroutable(leaving) }, "all instances know")
			began := c.platform.Counters().Generations[leaving]
			c.slowly(0)
			requests := newTally()
			caller.burst(requests, 40, model, c.nodes...)
			assert.Equal(t, 40, requests.wait()[answered], requests.details)
			assert.Equal(t, 12, inProgress.wait()[answered], inProgress.details)
			assert.Equal(t, began, c.platform.Counters().Generations[leaving], "answers that the leaving server began")
			c.oneReplica(model)
			c.balanced()
		})
	}
}

func TestEngineRestartsWhileLoaded(t *testing.T) {
	t.Parallel()
	c := start(t, platformSettings(), nil, document(t, true, nil), zoneA, zoneA, zoneB)
	caller := c.caller()
	require.Equal(t, answered, caller.ask(c.nodes[0], model, "before").how)
	server := c.busiest()
	// Reports from before the restart go on arriving for a while.
	c.platform.SetServerFaults(server, func(f *standin.ServerFaults) { f.ReportLag = jsonc.Duration(500 * time.Millisecond) })
	require.NoError(t, c.platform.RestartEngine(server))
	for _, n := range c.nodes {
		c.eventually(func() bool { return caller.ask(n, model, "after").how == answered }, "served again")
	}
	counters := c.platform.Counters()
	assert.Equal(t, 2, counters.Loads[model])
	assert.Equal(t, 1, counters.MaxReplicas[model])
	assert.Zero(t, counters.Overcommits)
	c.balanced()
}

func TestEngineRestartsWhileLoading(t *testing.T) {
	fencing(t, func(t *testing.T, checks bool) {
		c := startForBurst(t, checks)
		caller, requests := c.caller(), newTally()
		c.hangLoads(true)
		caller.burst(requests, 60, model, c.nodes...)
		c.eventually(func() bool { return c.platform.LoadsSeen(model) == 1 }, "load began")
		c.inProgress(60)
		for _, id := range engineIDs(c.platform) {
			require.NoError(t, c.platform.RestartEngine(id))
		}
		c.hangLoads(false)
		assert.Equal(t, 60, requests.wait()[answered], requests.details)
		counters := c.platform.Counters()
		assert.Equal(t, 2, counters.Loads[model])
		assert.Equal(t, 1, counters.MaxReplicas[model])
		assert.Zero(t, counters.Overcommits)
		c.balanced()
	})
}

func TestGracefulShutdownUnderLoad(t *testing.T) {
	t.Parallel()
	late := func(s *settings.Settings) { s.Shutdown.Delay = jsonc.Duration(time.Second) }
	c := start(t, platformSettings(), late, document(t, true, twoReplicas), zoneA, zoneA, zoneB, zoneB)
	caller := c.caller()
	for _, n := range c.nodes {
		require.Equal(t, answered, caller.ask(n, model, "before").how)
	}
	leaving := c.holder(zoneA)
	c.slowly(100 * time.Millisecond)
	streams := newTally()
	for n := range 20 {
		streams.run(func() ending { return caller.stream(leaving, model, fmt.Sprintf("slow %d", n), 30) })
	}
	c.inProgress(20)
	leaving.stop()
	c.eventually(func() bool { return caller.get(leaving, "/readyz") == http.StatusServiceUnavailable }, "readiness fails")
	assert.Equal(t, http.StatusOK, caller.get(leaving, "/livez"), "requests in progress are still served")
	assert.Less(t, streams.ended(), 20, "readiness fails before the streams end")
	c.slowly(0)
	assert.Equal(t, answered, caller.ask(leaving, model, "late arrival").how)
	assert.Equal(t, 20, streams.wait()[answered], streams.details)
	<-leaving.ended
	require.NoError(t, leaving.err)
	c.eventually(func() bool { return c.takenOver(leaving) }, "another instance decides")
	c.balanced()
}

func (c *caller) get(from *node, path string) int {
	response, err := c.client.Get("http://" + from.CallersAddress() + path)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// chaos is one change to one server.
var chaos = []func(*standin.ServerFaults){
	func(f *standin.ServerFaults) { f.StallAt = 4 },
	func(f *standin.ServerFaults) { f.ResetAt = 3 },
	func(f *standin.ServerFaults) { f.DuplicateAt = 5 },
	func(f *standin.ServerFaults) { f.ReorderAt = 2 },
	func(f *standin.ServerFaults) { f.DropAt = 6 },
	func(f *standin.ServerFaults) { f.CutAt = 7 },
	func(f *standin.ServerFaults) { f.LoseAnswers = 3 },
	func(f *standin.ServerFaults) { f.ResetBefore = 3 },
	func(f *standin.ServerFaults) { f.Malformed = 2 },
	func(f *standin.ServerFaults) { f.TokenDelay = jsonc.Duration(5 * time.Millisecond) },
	func(f *standin.ServerFaults) { f.Delay = jsonc.Duration(20 * time.Millisecond) },
}

const (
	chaosSeed     = 7
	chaosSteps    = 24
	chaosRequests = 20
)

func TestChaosAtTheServers(t *testing.T) {
	t.Parallel()
	c := start(t, platformSettings(), nil, document(t, true, twoReplicas), zoneA, zoneA, zoneB, zoneB)
	caller, random, requests := c.caller(), rand.New(rand.NewPCG(chaosSeed, 0)), newTally()
	engines := engineIDs(c.platform)
	for step := range chaosSteps {
		id := engines[random.IntN(len(engines))]
		switch kind := random.IntN(len(chaos) + 1); {
		case kind < len(chaos):
			c.platform.SetServerFaults(id, func(f *standin.ServerFaults) {
				*f = standin.ServerFaults{}
				chaos[kind](f)
			})
		default:
			require.NoError(t, c.platform.RestartEngine(id))
		}
		before := requests.ended()
		for n := range chaosRequests {
			to, prompt := c.nodes[random.IntN(len(c.nodes))], fmt.Sprintf("step %d file %d", step, n)
			if random.IntN(2) == 0 {
				requests.run(func() ending { return caller.ask(to, model, prompt) })
			} else {
				requests.run(func() ending { return caller.stream(to, model, prompt, answerTokens) })
			}
		}
		// A stalled server holds some of them until its fault is lifted.
		c.eventually(func() bool { return requests.ended() > before }, "some request ended")
	}
	require.NoError(t, c.platform.Leave(engines[0]))
	for _, id := range engines {
		c.platform.SetServerFaults(id, func(f *standin.ServerFaults) { *f = standin.ServerFaults{} })
	}
	counts := requests.wait()
	t.Log(requests.details)
	assert.Equal(t, chaosSteps*chaosRequests, len(requests.ends))
	assert.Equal(t, chaosSteps*chaosRequests, counts[answered]+counts[notRun]+counts[unknown]+counts[lost])
	assert.Greater(t, counts[answered], chaosSteps*chaosRequests/2, requests.details)
	for _, n := range c.nodes {
		c.eventually(func() bool { return caller.ask(n, model, "after").how == answered }, "served after the faults")
	}
	assert.Zero(t, c.platform.Overcommits())
	c.balanced()
}
