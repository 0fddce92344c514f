package fleetsim

import (
	"math/rand/v2"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/modelplan"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/serverpick"
)

// policy is one way to decide.
type policy struct {
	name string
	// inTurn gives slots by pkg/slotturns, else first come first served.
	inTurn bool
	pick   func(candidates []serverpick.Candidate, random *rand.Rand) int
	plan   func(now time.Time, state modelplan.State) []modelplan.Action
}

func leastLoaded(candidates []serverpick.Candidate, _ *rand.Rand) int {
	return serverpick.Pick(serverpick.Request{Patient: true}, candidates)
}

// anyWithRoom draws a candidate with a free slot.
func anyWithRoom(candidates []serverpick.Candidate, random *rand.Rand) int {
	for _, i := range random.Perm(len(candidates)) {
		if candidates[i].Load.Own < int64(candidates[i].Slots) {
			return i
		}
	}
	return -1
}

// planNothing leaves the models where they are.
func planNothing(time.Time, modelplan.State) []modelplan.Action { return nil }

// planLeastRecent loads whatever is waited for at once, in place of the model that
// was asked for least recently.
func planLeastRecent(_ time.Time, state modelplan.State) []modelplan.Action {
	there := map[string]bool{}
	for _, s := range state.Servers {
		there[s.Loading] = true
		for _, held := range s.Models {
			there[held.Model] = true
		}
	}
	var actions []modelplan.Action
	used := map[string]bool{}
	for _, model := range sortedWaiting(state.Demand) {
		if there[model] {
			continue
		}
		var best *modelplan.Server
		var victim modelplan.Held
		for i := range state.Servers {
			s := &state.Servers[i]
			if s.Busy || used[s.ID] {
				continue
			}
			for _, held := range s.Models {
				if best == nil || held.LastUsed.Before(victim.LastUsed) {
					best, victim = s, held
				}
			}
		}
		if best == nil {
			break
		}
		used[best.ID] = true
		actions = append(actions, modelplan.Action{Server: best.ID, Kind: modelplan.UnloadModel, Model: victim.Model, For: model})
	}
	return actions
}

// policies are what is compared; the first is the one in production.
func policies() []policy {
	return []policy{
		{name: "ours", inTurn: true, pick: leastLoaded, plan: modelplan.Plan},
		{name: "first come first served", pick: leastLoaded, plan: modelplan.Plan},
		{name: "any server with room", inTurn: true, pick: anyWithRoom, plan: modelplan.Plan},
		{name: "least recently used, load at once", inTurn: true, pick: leastLoaded, plan: planLeastRecent},
		{name: "models stay", inTurn: true, pick: leastLoaded, plan: planNothing},
	}
}
