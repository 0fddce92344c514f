package modelplan_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/modelplan"
)

func versioned(s modelplan.Server, version string) modelplan.Server {
	s.Version = version
	return s
}

// A stream has to go on at a server of the version that began it, where no server holds its
// model and adapter any longer.
func TestModelIsLoadedOnTheVersionThatAStreamNeeds(t *testing.T) {
	servers := []modelplan.Server{
		versioned(newServer("a", []string{"m0", "m1", "m2"}), "v1"),
		versioned(newServer("b", []string{"m3", "m4", "m5"}, "m0"), "v2"),
	}
	servers[0].Models[0].Adapters = []modelplan.Adapter{{Name: "x"}}
	needed := map[string]modelplan.Demand{"m0": {
		Rate: 1, Versions: map[string]modelplan.VersionDemand{"v2": {Waiting: 1, Adapters: map[string]float64{"x": 1}}},
	}}
	actions := modelplan.Plan(now, state(servers, needed))
	require.NotEmpty(t, actions)
	assert.Equal(t, "b", actions[0].Server)
	assert.Equal(t, "m0", actions[0].EvictedFor)

	servers[1].Models = append(servers[1].Models[:2], modelplan.Resident{Model: "m0"})
	actions = modelplan.Plan(now, state(servers, needed))
	assert.Equal(t, []modelplan.Action{{Server: "b", Kind: modelplan.LoadAdapter, Model: "m0", Adapter: "x"}}, actions)

	needed["m0"] = modelplan.Demand{Rate: 1, Versions: map[string]modelplan.VersionDemand{"v3": {Waiting: 1}}}
	assert.Empty(t, modelplan.Plan(now, state(servers, needed)), "no server has the version")
}
