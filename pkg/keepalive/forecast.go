package keepalive

import (
	"math"
	"time"
)

const (
	// priorWeight is how many gaps, spread evenly over all buckets, are added to
	// what was seen.
	priorWeight = 1.0
	// neverWeight is the weight, in gaps, of the model never coming back.
	neverWeight = 0.5
	// leastShare is the least share of days on which a model comes, or doesn't
	// come, in any half hour.
	leastShare = 0.01
)

// horizon holds the offsets at which the future is looked at.
var horizon = func() []time.Duration {
	steps := []time.Duration{
		15 * time.Second, 30 * time.Second, time.Minute, 2 * time.Minute, 4 * time.Minute,
		7 * time.Minute, 10 * time.Minute, 15 * time.Minute, 20 * time.Minute,
	}
	for t := slotLength; t <= day; t += slotLength {
		steps = append(steps, t)
	}
	return append(steps, 36*time.Hour, 2*day, 3*day, 4*day, 6*day, 8*day)
}()

// forecast gives the chance of the next arrival, for one model at one moment.
type forecast struct {
	h        *history
	now      time.Duration
	age      time.Duration
	rhythmic bool
	// above holds the weight of gaps in the bucket and all longer ones.
	above [gapBuckets + 1]float64
	// known is the survival at knownAt, since steps follow one another.
	knownAt time.Duration
	known   float64
}

func (h *history) forecast(now time.Duration) forecast {
	h.roll(now)
	f := forecast{h: h, now: now, age: max(0, now-h.last), rhythmic: h.rhythmic()}
	f.above[gapBuckets] = neverWeight
	for i := gapBuckets - 1; i >= 0; i-- {
		f.above[i] = f.above[i+1] + float64(h.gaps[i])/gapUnit + priorWeight/gapBuckets
	}
	return f
}

// survival is the weight of gaps longer than t.
func (f *forecast) survival(t time.Duration) float64 {
	if t <= shortestGap {
		return f.above[0]
	}
	position := 2 * math.Log2(float64(t)/float64(shortestGap))
	bucket := int(position)
	if bucket >= gapBuckets {
		return f.above[gapBuckets]
	}
	within := position - float64(bucket)
	return f.above[bucket] + within*(f.above[bucket+1]-f.above[bucket])
}

// arrival is the chance of an arrival between two offsets from now, given that
// there is none before.
func (f *forecast) arrival(from, to time.Duration) float64 {
	if f.known == 0 || f.knownAt != from {
		f.known = f.survival(f.age + from)
	}
	after := f.survival(f.age + to)
	byGap := 1 - after/f.known
	f.knownAt, f.known = to, after
	if !f.rhythmic {
		return byGap
	}
	share := f.h.slot(f.now + (from+to)/2)
	chance := min(max(share, leastShare), 1-leastShare)
	byDay := 1 - math.Pow(1-chance, min(1, float64(to-from)/float64(slotLength)))
	switch {
	case share >= regular:
		return max(byGap, byDay)
	case share < quiet:
		return min(byGap, byDay)
	default:
		return byGap
	}
}

// within is the chance of an arrival within a time from now.
func (f *forecast) within(t time.Duration) float64 {
	left, from := 1.0, time.Duration(0)
	for _, to := range horizon {
		if to >= t {
			return 1 - left*(1-f.arrival(from, t))
		}
		left *= 1 - f.arrival(from, to)
		from = to
	}
	return 1 - left
}
