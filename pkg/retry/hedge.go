package retry

import (
	"cmp"
	"math"
	"sync/atomic"
	"time"
)

// HedgeConfig sets up hedging. Zero fields take the default.
type HedgeConfig struct {
	// Least bounds the delay from below, for servers with little known.
	Least time.Duration
}

// DefaultHedgeLeast is the least delay before a second attempt.
const DefaultHedgeLeast = 20 * time.Millisecond

// Delay says how long to wait for the first byte before a second attempt starts
// beside the first: the tail latency of the server. It is false where a second
// attempt must not or can't help. The second attempt takes a token of the budget
// when it starts, not before.
func (c HedgeConfig) Delay(repeatable, hedge bool, tail, remaining time.Duration) (time.Duration, bool) {
	c.Least = cmp.Or(c.Least, DefaultHedgeLeast)
	if !repeatable || !hedge || tail <= 0 {
		return 0, false
	}
	delay := max(tail, c.Least)
	return delay, delay+c.Least < remaining
}

// Quantile follows a quantile of a stream of durations in one word: each sample
// moves the estimate up by a step if it lies above, and down if below, in the
// proportion that balances at the quantile. It is safe for concurrent use; its
// zero value is empty.
type Quantile struct {
	bits atomic.Uint64
}

// quantileStep is the relative step of the estimate.
const quantileStep = 0.05

// Observe takes in a sample for the quantile p, from 0 to 1.
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

// Value is the estimate; zero if there was no sample.
func (q *Quantile) Value() time.Duration {
	return time.Duration(math.Float64frombits(q.bits.Load()))
}
