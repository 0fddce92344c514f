package lease

import (
	"testing"
)

// tries is how many orders of steps are tried to find a planted fault.
const tries = 40

// TestPlantedFaults takes one rule of the protocol away at a time: the
// exploration must find a broken promise.
func TestPlantedFaults(t *testing.T) {
	two := scenario{nodes: 2, holders: 2, models: 1, servers: 2, share: 1, budget: budget{loads: 2, jumps: 1}}
	for name, plant := range map[string]struct {
		scenario
		change func(*scenario)
	}{
		"order before the intent is read back": {two, func(s *scenario) {
			s.faults.orderBeforeReadBack = true
		}},
		"claim without a seal": {two, func(s *scenario) {
			s.faults.skipSeal, s.nodes, s.cuts = true, 3, 1
		}},
		"lone holder decides on any server": {two, func(s *scenario) {
			s.faults.aloneAnywhere, s.holders, s.cuts = true, 1, 1
		}},
		"read without a raised fence": {two, func(s *scenario) {
			s.faults.skipFence, s.holders, s.cuts, s.checks = true, 1, 1, true
		}},
	} {
		t.Run(name, func(t *testing.T) {
			sc := plant.scenario
			plant.change(&sc)
			states := 0
			for seed := range uint64(tries) {
				e := sc.explore(t, maxStates, seed+1)
				states += e.states
				if e.broken != "" {
					t.Logf("found after %d states\n%s", states, e.trace())
					return
				}
			}
			t.Fatalf("the fault was not found in %d states", states)
		})
	}
}
