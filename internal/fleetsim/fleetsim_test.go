package fleetsim

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var results = map[string]*Result{}

// result runs a comparison once.
func result(t *testing.T, deployment string) *Result {
	if results[deployment] == nil {
		r, err := Run(Options{Deployment: deployment, Seed: 1})
		require.NoError(t, err)
		results[deployment] = r
	}
	return results[deployment]
}

func TestSameSeedSameBytes(t *testing.T) {
	var first, second, table bytes.Buffer
	require.NoError(t, result(t, "shoalmark").WriteJSON(&first))
	again, err := Run(Options{Deployment: "shoalmark", Seed: 1})
	require.NoError(t, err)
	require.NoError(t, again.WriteJSON(&second))
	require.Equal(t, first.String(), second.String())
	require.NoError(t, again.WriteTable(&table))
	assert.Contains(t, table.String(), "lodged-summary")
	var png bytes.Buffer
	require.NoError(t, again.WritePNG(&png))
	assert.True(t, bytes.HasPrefix(png.Bytes(), []byte("\x89PNG")))
}

// TestEveryRequestHasOneEnding, and no policy passes the bound or takes from the store
// more than it allows.
func TestEveryRequestHasOneEnding(t *testing.T) {
	for _, name := range Deployments() {
		for _, s := range result(t, name).Scenarios {
			for _, row := range s.Rows {
				for _, k := range row.Kinds {
					ended := k.InAim + k.Late + k.Refused
					assert.LessOrEqual(t, ended, k.Asked, "%s %s %s", name, row.Policy, k.Kind)
					// The rest had a server, but no answer before its client left.
					assert.InDelta(t, k.Asked, ended, 0.2*float64(k.Asked), "%s %s %s", name, row.Policy, k.Kind)
				}
				assert.LessOrEqual(t, row.Worth, s.Bound+1e-9)
				assert.LessOrEqual(t, row.StoreLoads, row.Loads)
			}
		}
	}
}

// TestOursEarnsMost: the policy in production isn't worse than any baseline by more than
// what one seed varies.
func TestOursEarnsMost(t *testing.T) {
	const varies = 0.02
	for _, name := range Deployments() {
		for _, s := range result(t, name).Scenarios {
			for _, row := range s.Rows[1:] {
				assert.Greater(t, s.Rows[0].Worth, row.Worth-varies, "%s %s: %s", name, s.Scenario, row.Policy)
			}
		}
	}
}

// TestMemoryHolds: no plan makes a server hold more than fits.
func TestMemoryHolds(t *testing.T) {
	d, err := deploymentNamed("oarworks")
	require.NoError(t, err)
	for _, p := range policies() {
		s := newSimulation(d, p, newTrace(d, Overload, rand.New(rand.NewPCG(1, 1))), 1)
		for _, e := range s.engines {
			require.LessOrEqual(t, len(e.models), places)
		}
		s.run()
		for _, e := range s.engines {
			held := len(e.models)
			if e.loading != "" && e.dropping == "" {
				held++
			}
			assert.LessOrEqual(t, held, places, p.name)
		}
	}
}

func TestBoundIsPassedByNobodyWhoHasNoPlace(t *testing.T) {
	d, err := deploymentNamed("oarworks")
	require.NoError(t, err)
	trace := newTrace(d, Overload, rand.New(rand.NewPCG(1, 1)))
	last := 0.0
	for _, servers := range []int{1, 4, 12} {
		few := *d
		few.servers = servers
		b := bound(&few, trace)
		assert.Greater(t, b, last)
		assert.LessOrEqual(t, b, 1.0)
		last = b
	}
	assert.Greater(t, last, 0.9)
}

// TestBoundOfOneModel: with a place for it, all of a model's requests can be on time.
func TestBoundOfOneModel(t *testing.T) {
	d := &deployment{servers: 1, models: 1}
	k := &kind{worth: 3, late: 1, aim: time.Second}
	var trace []arrival
	for n := range 30 {
		trace = append(trace, arrival{at: time.Duration(n) * time.Second, kind: k, model: modelName(0)})
	}
	assert.InDelta(t, 1, bound(d, trace), 1e-9)
	d.servers = 0
	assert.InDelta(t, 1.0/3, bound(d, trace), 0.05, "without a server only what comes late is left")
}

func TestUnknownDeployment(t *testing.T) {
	_, err := Run(Options{Deployment: "none"})
	require.ErrorIs(t, err, ErrDeployment)
}
