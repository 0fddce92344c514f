package demand

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/modelplan"
)

const (
	service = "summaries"
	ttl     = 2 * time.Second
)

func TestTracker(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	tracker := NewTracker(ttl)
	key := Key{Service: service, Model: "a", Adapter: "x"}
	tracker.Report("i0", Report{Tallies: map[Key]Tally{key: {Arrived: 6, ArrivedNonRepeatable: 2, Waiting: 2, WaitingNonRepeatable: 1}}}, start)
	d := tracker.Of(service, start)["a"]
	assert.InDelta(t, 6/rateDecay.Seconds(), d.Rate, 1e-9)
	assert.InDelta(t, (4+2*nonRepeatableWorth)/worthDecay.Seconds(), d.WorthRate, 1e-9)
	assert.InDelta(t, 1+nonRepeatableWorth, d.Waiting, 1e-9)
	assert.InDelta(t, 1+nonRepeatableWorth, d.Adapters["x"], 1e-9)

	later := tracker.Of(service, start.Add(rateDecay))["a"]
	assert.Less(t, later.Rate, d.Rate)
	tracker.Report("i0", Report{}, start.Add(time.Second))
	assert.Zero(t, tracker.Of(service, start.Add(time.Second))["a"].Waiting, "a report replaces the previous one")
	tracker.Report("i1", Report{Tallies: map[Key]Tally{key: {Waiting: 1}}}, start)
	assert.Zero(t, tracker.Of(service, start.Add(time.Minute))["a"].Waiting, "the report of an idle instance expires")
}

// A new holder of the lease knows the demand of the past seconds from the histories of the
// instances, each of which counted its own requests.
func TestHistoryTellsAnotherTracker(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	key := Key{Service: service, Model: "a", Adapter: "x"}
	tally := Tally{Arrived: 6, ArrivedNonRepeatable: 2, Work: 3 * time.Second, RunTime: 12 * time.Second}
	before, instances := NewTracker(ttl), []*Tracker{NewTracker(ttl), NewTracker(ttl)}
	for _, own := range instances {
		own.Record(key, tally, start)
		before.Report("i", Report{Tallies: map[Key]Tally{key: tally}}, start)
	}
	now := start.Add(2 * time.Second)
	after := NewTracker(ttl)
	for i, own := range instances {
		report := Report{Tallies: map[Key]Tally{key: tally}, Running: map[Placement]uint32{{Server: "s", Model: "a"}: 2}}
		after.Report([]string{"i0", "i1"}[i], report.WithHistory(own.History(now)), now)
	}
	want, got := before.Of(service, now)["a"], after.Of(service, now)["a"]
	assert.InDelta(t, want.Rate, got.Rate, 1e-6)
	assert.InDelta(t, want.WorthRate, got.WorthRate, 1e-6)
	assert.InDelta(t, want.WorkRate, got.WorkRate, 1e-6)
	assert.InDelta(t, 2, got.RunTime.Seconds(), 1e-6)
	assert.Equal(t, start, after.LastUsed(key))
	assert.Equal(t, map[Placement]int{{Server: "s", Model: "a"}: 4}, after.Running(now))
	assert.Empty(t, after.Running(now.Add(ttl+1)), "reports expire")
	assert.Empty(t, instances[0].History(start.Add(time.Hour)), "old demand is forgotten")
}

// Requests that need a software version are kept apart from those that any server can serve.
func TestWaitingForAVersion(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tracker := NewTracker(time.Second)
	key := Key{Service: "s", Model: "m", Adapter: "x"}
	versioned := key
	versioned.ServerVersion = "v2"
	tracker.Report("i", Report{Tallies: map[Key]Tally{
		key: {Arrived: 1, Waiting: 1}, versioned: {Waiting: 2},
	}}, now)
	got := tracker.Of("s", now)["m"]
	assert.Equal(t, 1.0, got.Waiting)
	assert.Equal(t, map[string]float64{"x": 1}, got.Adapters)
	assert.Equal(t, map[string]modelplan.VersionDemand{"v2": {Waiting: 2, Adapters: map[string]float64{"x": 2}}}, got.Versions)
}
