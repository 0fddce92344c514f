package gateway

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	meanWeight    = 0.05
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// durationMean is the exponentially weighted mean duration of requests. It is
// the basis of the Retry-After of refused requests. An update that is lost to a
// concurrent one only delays the mean a little.
type durationMean struct {
	bits atomic.Uint64
}

func (m *durationMean) observe(d time.Duration) {
	old := m.bits.Load()
	mean := math.Float64frombits(old)
	if mean == 0 {
		mean = d.Seconds()
	}
	mean += meanWeight * (d.Seconds() - mean)
	m.bits.CompareAndSwap(old, math.Float64bits(mean))
}

// retryAfter returns the mean duration of a request, between minRetryAfter and
// maxRetryAfter.
func (m *durationMean) retryAfter() time.Duration {
	mean := time.Duration(math.Float64frombits(m.bits.Load()) * float64(time.Second))
	return min(max(mean, minRetryAfter), maxRetryAfter)
}
