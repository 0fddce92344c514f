package fleetsim

import (
	"math/rand/v2"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/modelplan"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/serverpick"
)

// policy is a combination of the decisions that the simulation compares.
type policy struct {
	name string
	// fairQueueing assigns free slots by the weighted fair queueing of pkg/slotqueue,
	// otherwise first come, first served.
	fairQueueing bool
	pickServer   func(candidates []serverpick.Candidate, random *rand.Rand) int
	planModels   func(now time.Time, state modelplan.State) []modelplan.Action
}

func leastLoaded(candidates []serverpick.Candidate, _ *rand.Rand) int {
	return serverpick.Pick(serverpick.Request{WaitForSlot: true}, candidates)
}

// randomWithFreeSlot returns the index of a random candidate with a free slot, -1 if
// there is none.
func randomWithFreeSlot(candidates []serverpick.Candidate, random *rand.Rand) int {
	for _, i := range random.Perm(len(candidates)) {
		if candidates[i].Load.InFlight < int64(candidates[i].Slots) {
			return i
		}
	}
	return -1
}

// planNoChanges neither loads nor unloads models.
func planNoChanges(time.Time, modelplan.State) []modelplan.Action { return nil }

// planLeastRecentlyUsed loads each model that requests wait for immediately, and evicts
// the model that was used least recently.
func planLeastRecentlyUsed(_ time.Time, state modelplan.State) []modelplan.Action {
	present := map[string]bool{}
	for _, s := range state.Servers {
		present[s.Loading] = true
		for _, resident := range s.Models {
			present[resident.Model] = true
		}
	}
	var actions []modelplan.Action
	claimed := map[string]bool{}
	for _, model := range waitingModels(state.Demand) {
		if present[model] {
			continue
		}
		var target *modelplan.Server
		var victim modelplan.Resident
		for i := range state.Servers {
			s := &state.Servers[i]
			if s.Busy || claimed[s.ID] {
				continue
			}
			for _, resident := range s.Models {
				if target == nil || resident.LastUsed.Before(victim.LastUsed) {
					target, victim = s, resident
				}
			}
		}
		if target == nil {
			break
		}
		claimed[target.ID] = true
		actions = append(actions, modelplan.Action{Server: target.ID, Kind: modelplan.UnloadModel, Model: victim.Model, EvictedFor: model})
	}
	return actions
}

// policies returns the policies to compare. The first is the one in production.
func policies() []policy {
	return []policy{
		{name: "ours", fairQueueing: true, pickServer: leastLoaded, planModels: modelplan.Plan},
		{name: "first come first served", pickServer: leastLoaded, planModels: modelplan.Plan},
		{name: "any server with room", fairQueueing: true, pickServer: randomWithFreeSlot, planModels: modelplan.Plan},
		{name: "least recently used, load at once", fairQueueing: true, pickServer: leastLoaded, planModels: planLeastRecentlyUsed},
		{name: "models stay", fairQueueing: true, pickServer: leastLoaded, planModels: planNoChanges},
	}
}
