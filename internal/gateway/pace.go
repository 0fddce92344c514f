package gateway

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	paceWeight    = 0.05
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// pace tracks how long requests take, as an exponentially weighted mean. It
// tells a refused caller when a place is likely to be free. A lost update under
// contention only makes the mean a little older.
type pace struct {
	bits atomic.Uint64
}

func (p *pace) observe(d time.Duration) {
	old := p.bits.Load()
	mean := math.Float64frombits(old)
	if mean == 0 {
		mean = d.Seconds()
	}
	mean += paceWeight * (d.Seconds() - mean)
	p.bits.CompareAndSwap(old, math.Float64bits(mean))
}

// retryAfter is the mean time that a request holds its place.
func (p *pace) retryAfter() time.Duration {
	mean := time.Duration(math.Float64frombits(p.bits.Load()) * float64(time.Second))
	return min(max(mean, minRetryAfter), maxRetryAfter)
}
