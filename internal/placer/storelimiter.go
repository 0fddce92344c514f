package placer

import "time"

const (
	// storeWindow is the sliding window of the rate limit on loads from the weight store. The
	// platform measures the rate over five seconds.
	storeWindow = 5 * time.Second
	// loadsAfterTakeover is how many loads the previous holder is assumed to have started just
	// before a takeover: the maximum number of concurrent loads.
	loadsAfterTakeover = 4
)

// storeLimiter is a sliding-window rate limiter for loads from the weight store. A new holder
// doesn't know the loads of the previous one and starts with part of the window used.
type storeLimiter struct {
	starts []time.Time
}

// newStoreLimiter returns a limiter for an instance that has just become the holder.
func newStoreLimiter(now time.Time) *storeLimiter {
	l := &storeLimiter{}
	for range loadsAfterTakeover {
		l.record(now)
	}
	return l
}

// record counts a load that starts now.
func (l *storeLimiter) record(now time.Time) { l.starts = append(l.starts, now) }

// available returns how many loads may start now at a rate of perSecond. In an empty window it
// is at least one, however low the rate.
func (l *storeLimiter) available(perSecond float64, now time.Time) int {
	recent := l.starts[:0]
	for _, at := range l.starts {
		if now.Sub(at) < storeWindow {
			recent = append(recent, at)
		}
	}
	l.starts = recent
	return max(int(perSecond*storeWindow.Seconds()), 1) - len(l.starts)
}
