package leaderlease_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/leaderlease"
)

const (
	smallCapacity = 0.2 // 0.192 cores and 20 Mbit/s
	largeCapacity = 1.0
)

func TestCapacityIsThatOfTheScarcerResource(t *testing.T) {
	assert.InDelta(t, 0.2, leaderlease.Capacity(0.192, 20), 0.01)
	assert.InDelta(t, 0.2, leaderlease.Capacity(0.8, 20), 0.01)
	assert.InDelta(t, 1, leaderlease.Capacity(0.8, 200), 0.01)
	assert.InDelta(t, 1, leaderlease.Capacity(0, 0), 0.01, "nothing is known")
}

// unequalInstances returns 18 large and 277 small instances, known for a while.
func unequalInstances() []leaderlease.Candidate {
	out := make([]leaderlease.Candidate, 0, 295)
	for i := range 295 {
		c := leaderlease.Candidate{Name: fmt.Sprintf("i%03d", i), Capacity: smallCapacity, Known: time.Minute}
		if i < 18 {
			c.Capacity = largeCapacity
		}
		out = append(out, c)
	}
	return out
}

// TestHundredsOfInstancesClaimTogether: the instance that had been added two seconds before took
// the lease, one of the many with a tenth of the former holder's link; at the start, 227 of 295
// instances claimed it in one moment.
func TestHundredsOfInstancesClaimTogether(t *testing.T) {
	candidates := unequalInstances()
	candidates = append(candidates, leaderlease.Candidate{Name: "just added", Capacity: largeCapacity, Known: 2 * time.Second})
	const readLag = 15 * time.Millisecond // until the others have read a claim
	for name, successors := range map[string][]string{
		"at the start": nil, "after the holder has failed": leaderlease.Successors("i000", candidates),
	} {
		t.Run(name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			delays := map[string]time.Duration{}
			first := ""
			for _, c := range candidates[1:] {
				delays[c.Name] = leaderlease.ClaimDelay(c.Name, c.Capacity, successors, random.Float64())
				if first == "" || delays[c.Name] < delays[first] {
					first = c.Name
				}
			}
			together := 0
			for _, delay := range delays {
				if delay < delays[first]+readLag {
					together++
				}
			}
			best := slices.IndexFunc(candidates, func(c leaderlease.Candidate) bool { return c.Name == first })
			assert.InDelta(t, largeCapacity, candidates[best].Capacity, 0.01)
			assert.LessOrEqual(t, together, 3)
			if successors != nil {
				assert.NotEqual(t, "just added", first)
				assert.Zero(t, delays[first], "the first successor waits for nobody")
			}
		})
	}
}

func TestSuccessorsAreAlive(t *testing.T) {
	candidates := unequalInstances()[:3]
	candidates[1].Silent = time.Minute
	assert.Equal(t, []string{"i002"}, leaderlease.Successors("i000", candidates))
}

func TestLeaseIsHandedToAMuchBetterInstance(t *testing.T) {
	candidates := unequalInstances()
	assert.Empty(t, leaderlease.HandoverTo("i100", smallCapacity, time.Second, candidates), "only in calm")
	assert.Equal(t, "i000", leaderlease.HandoverTo("i100", smallCapacity, time.Minute, candidates))
	assert.Empty(t, leaderlease.HandoverTo("i000", largeCapacity, time.Minute, candidates), "not among equal ones")
	assert.Empty(t, leaderlease.HandoverTo("i100", smallCapacity, time.Minute, candidates[18:]), "none is better")
	unknown := []leaderlease.Candidate{{Name: "a", Known: time.Minute}, {Name: "b", Known: time.Minute}}
	assert.Empty(t, leaderlease.HandoverTo("a", 0, time.Minute, unknown), "capacities aren't known")
}

// The successor that a releasing holder names claims the lease at once, and the others leave it
// the time to do so.
func TestReleaseToASuccessor(t *testing.T) {
	released := record("a")
	released.Released, released.Successor = true, "b"
	for _, c := range []struct {
		name   string
		claims time.Duration
	}{{"b", time.Second}, {"c", time.Second + 500*time.Millisecond + 40*time.Millisecond}} {
		s := newState(c.name, true)
		s.Observe(4, record("a"), 0)
		s.Observe(5, released, time.Second)
		require.Equal(t, c.claims, s.NextAppend(40*time.Millisecond), c.name)
	}
}
