package workload_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/workload"
)

const (
	objective = 800 * time.Millisecond
	slots     = 64
)

var kind = workload.Kind{Route: "reviews", Model: "m"}

func observe(e *workload.Estimator, k workload.Kind, reading time.Duration, n int) {
	for range n {
		e.Observe(k, workload.Observation{FirstEvent: reading, Generation: 640 * time.Millisecond, Alone: true})
	}
}

func TestEstimateFollowsObservations(t *testing.T) {
	e := workload.NewEstimator()
	assert.Equal(t, 100*time.Millisecond, e.Estimate(kind, objective).Reading, "before any observation")

	observe(e, kind, 240*time.Millisecond, 1)
	estimate := e.Estimate(kind, objective)
	assert.Equal(t, 240*time.Millisecond, estimate.Reading)
	assert.Equal(t, 250*time.Millisecond, estimate.Work(slots))
	assert.Equal(t, 280*time.Millisecond, estimate.Work(slots/4), "a server with few slots is full sooner")
	assert.Equal(t, 240*time.Millisecond, e.Estimate(workload.Kind{Route: "reviews", Model: "other"}, objective).Reading,
		"a model without observations is taken for one like the others")

	observe(e, kind, time.Second, 40)
	assert.Greater(t, e.Estimate(kind, objective).Reading, 950*time.Millisecond, "the servers have become slow")
	observe(e, kind, 50*time.Millisecond, 40)
	assert.Less(t, e.Estimate(kind, objective).Reading, 80*time.Millisecond, "and fast again")
}

// The time that a request waits for others isn't the time to read its prompt.
func TestWaitingIsntReading(t *testing.T) {
	e := workload.NewEstimator()
	observe(e, kind, 200*time.Millisecond, 1)
	for range 20 {
		e.Observe(kind, workload.Observation{FirstEvent: 5 * time.Second})
	}
	assert.Equal(t, 200*time.Millisecond, e.Estimate(kind, objective).Reading)
	e.Observe(kind, workload.Observation{FirstEvent: 100 * time.Millisecond})
	assert.Less(t, e.Estimate(kind, objective).Reading, 200*time.Millisecond, "although it waited")
}

// One absurd observation moves an estimate by at most as much as one eight times as long as
// usual, and no observations make an estimate negative.
func TestOneObservationMovesLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := workload.NewEstimator()
		observe(e, kind, 100*time.Millisecond, 1)
		e.Observe(kind, workload.Observation{
			FirstEvent: time.Duration(rapid.Int64Range(0, int64(1000*time.Hour)).Draw(t, "first event")),
			Generation: time.Duration(rapid.Int64Range(0, int64(1000*time.Hour)).Draw(t, "generation")),
			Alone:      rapid.Bool().Draw(t, "alone"),
		})
		estimate := e.Estimate(kind, objective)
		assert.LessOrEqual(t, estimate.Reading, 190*time.Millisecond)
		assert.GreaterOrEqual(t, estimate.Reading, 85*time.Millisecond)
		assert.GreaterOrEqual(t, estimate.Work(slots), estimate.Reading)
		assert.GreaterOrEqual(t, estimate.Work(0), estimate.Reading, "unknown slots")
	})
}
