package demand

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
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
