package placer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/demand"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/modelplan"
	"github.com/cyclamenhoist/cyclamenhoist/platform"
)

// The planner keeps an adapter that has just been loaded, and keeps one away that has just been
// unloaded, by what the holder tells it.
func TestPlannerLearnsWhenAdaptersCameAndLeft(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tr := newTrackedServer(&fleet.Server{ID: "s", Service: summaries}, start)
	adapter := func(name string) modelplan.AdapterID { return modelplan.AdapterID{Model: "a", Adapter: name} }
	report := func(sequence int64, now time.Time, adapters ...string) {
		tr.applyReport(platform.Report{Sequence: sequence, Models: []fleet.Resident{{Model: "a", Adapters: adapters}}}, now)
	}
	since := func() map[string]time.Time {
		out := map[string]time.Time{}
		for _, held := range tr.planServer(&fleet.Engine{}, demand.NewTracker(waitingTTL), nil).Models[0].Adapters {
			out[held.Name] = held.Since
		}
		return out
	}

	report(1, at(0), "x", "y")
	assert.Equal(t, map[string]time.Time{"x": {}, "y": {}}, since(), "held before the first report")

	tr.applyOrder(modelplan.Action{Kind: modelplan.UnloadAdapter, Model: "a", Adapter: "x"}, true, at(10))
	tr.applyOrder(modelplan.Action{Kind: modelplan.LoadAdapter, Model: "a", Adapter: "z"}, false, at(20))
	report(3, at(120), "y", "z")
	assert.Equal(t, map[string]time.Time{"y": {}, "z": at(20)}, since())
	assert.Equal(t, map[modelplan.AdapterID]time.Time{adapter("x"): at(10)}, tr.unloaded)

	tr.applyOrder(modelplan.Action{Kind: modelplan.UnloadAdapter, Model: "a", Adapter: "y"}, false, at(130))
	report(4, at(230), "y", "z")
	assert.Equal(t, at(130), tr.unloaded[adapter("y")], "requests still use it")
	report(4, at(2000), "z")
	assert.Equal(t, at(2000), tr.unloaded[adapter("y")], "its absence begins when its requests have ended")
	report(4, at(3000), "z")
	assert.Equal(t, map[modelplan.AdapterID]time.Time{adapter("x"): at(10), adapter("y"): at(2000)}, tr.unloaded)

	tr.applyOrder(modelplan.Action{Kind: modelplan.LoadAdapter, Model: "a", Adapter: "y"}, false, at(3010))
	report(5, at(4000))
	assert.Equal(t, at(2000), tr.unloaded[adapter("y")], "an adapter that is missing without an order wasn't unloaded for another")
}
