package retry

import (
	"cmp"
	"math"
	"sync/atomic"
	"time"
)

// HedgeConfig configures hedged requests. Zero fields select the defaults.
type HedgeConfig struct {
	// MinDelay is the minimum delay, for servers with few samples.
	MinDelay time.Duration
}

// DefaultHedgeMinDelay is the default of HedgeConfig.MinDelay.
const DefaultHedgeMinDelay = 20 * time.Millisecond

// Delay returns how long to wait for the first byte before a second attempt is started in
// parallel: the tail latency of the server. It reports false if a second attempt is not
// allowed, if the tail latency is unknown, or if too little time remains. The second
// attempt must be withdrawn from the budget when it starts, not earlier.
func (c HedgeConfig) Delay(repeatable, hedge bool, tail, remaining time.Duration) (time.Duration, bool) {
	c.MinDelay = cmp.Or(c.MinDelay, DefaultHedgeMinDelay)
	if !repeatable || !hedge || tail <= 0 {
		return 0, false
	}
	delay := max(tail, c.MinDelay)
	return delay, delay+c.MinDelay < remaining
}

// Quantile estimates a quantile of a stream of durations in constant memory. Each sample
// above the estimate raises it by a step, and each sample below lowers it by a step. The
// ratio of the two steps makes the estimate converge to the quantile. Quantile is safe
// for concurrent use; the zero value has no samples.
type Quantile struct {
	bits atomic.Uint64
}

// quantileStep is the size of a step relative to the estimate.
const quantileStep = 0.05

// Observe adds a sample for the quantile p, between 0 and 1. Samples that are not
// positive are ignored.
func (q *Quantile) Observe(p float64, sample time.Duration) {
	if sample <= 0 {
		return
	}
	for {
		old := q.bits.Load()
		next := float64(sample)
		if old != 0 {
			next = moveQuantile(math.Float64frombits(old), p, float64(sample))
		}
		if q.bits.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

func moveQuantile(estimate, p, sample float64) float64 {
	if sample > estimate {
		return estimate * (1 + quantileStep*p)
	}
	return estimate * (1 - quantileStep*(1-p))
}

// Value returns the estimate, or zero if there are no samples.
func (q *Quantile) Value() time.Duration {
	return time.Duration(math.Float64frombits(q.bits.Load()))
}
