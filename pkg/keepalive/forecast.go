package keepalive

import (
	"math"
	"time"
)

const (
	// priorWeight is the weight, in gaps, of a uniform prior over all buckets.
	priorWeight = 1.0
	// neverWeight is the weight, in gaps, of the case that the model is never
	// requested again.
	neverWeight = 0.5
	// minShare bounds the share of days with an arrival in any half hour away from 0
	// and 1.
	minShare = 0.01
)

// forecastOffsets are the offsets from now at which the forecast is evaluated.
var forecastOffsets = func() []time.Duration {
	steps := []time.Duration{
		15 * time.Second, 30 * time.Second, time.Minute, 2 * time.Minute, 4 * time.Minute,
		7 * time.Minute, 10 * time.Minute, 15 * time.Minute, 20 * time.Minute,
	}
	for t := slotLength; t <= day; t += slotLength {
		steps = append(steps, t)
	}
	return append(steps, 36*time.Hour, 2*day, 3*day, 4*day, 6*day, 8*day)
}()

// forecast computes the probability of the next arrival, for one model at one
// time.
type forecast struct {
	h            *history
	now          time.Duration
	age          time.Duration
	dailyPattern bool
	// survivalWeights holds, for each bucket, the weight of all gaps in it and in
	// longer buckets.
	survivalWeights [gapBuckets + 1]float64
	// lastSurvival is the survival at lastOffset. It is cached because consecutive
	// intervals share a bound.
	lastOffset   time.Duration
	lastSurvival float64
}

func (h *history) forecast(now time.Duration) forecast {
	h.advanceTo(now)
	f := forecast{h: h, now: now, age: max(0, now-h.last), dailyPattern: h.hasDailyPattern()}
	f.survivalWeights[gapBuckets] = neverWeight
	for i := gapBuckets - 1; i >= 0; i-- {
		f.survivalWeights[i] = f.survivalWeights[i+1] + float64(h.gaps[i])/gapUnit + priorWeight/gapBuckets
	}
	return f
}

// survival returns the weight of gaps longer than t.
func (f *forecast) survival(t time.Duration) float64 {
	if t <= shortestGap {
		return f.survivalWeights[0]
	}
	position := 2 * math.Log2(float64(t)/float64(shortestGap))
	bucket := int(position)
	if bucket >= gapBuckets {
		return f.survivalWeights[gapBuckets]
	}
	within := position - float64(bucket)
	return f.survivalWeights[bucket] + within*(f.survivalWeights[bucket+1]-f.survivalWeights[bucket])
}

// arrival returns the probability of an arrival between two offsets from now,
// given that there is none before.
func (f *forecast) arrival(from, to time.Duration) float64 {
	if f.lastSurvival == 0 || f.lastOffset != from {
		f.lastSurvival = f.survival(f.age + from)
	}
	after := f.survival(f.age + to)
	byGap := 1 - after/f.lastSurvival
	f.lastOffset, f.lastSurvival = to, after
	if !f.dailyPattern {
		return byGap
	}
	share := f.h.slotShare(f.now + (from+to)/2)
	chance := min(max(share, minShare), 1-minShare)
	byDay := 1 - math.Pow(1-chance, min(1, float64(to-from)/float64(slotLength)))
	switch {
	case share >= activeShare:
		return max(byGap, byDay)
	case share < inactiveShare:
		return min(byGap, byDay)
	default:
		return byGap
	}
}

// within returns the probability of an arrival within the duration t from now.
func (f *forecast) within(t time.Duration) float64 {
	left, from := 1.0, time.Duration(0)
	for _, to := range forecastOffsets {
		if to >= t {
			return 1 - left*(1-f.arrival(from, t))
		}
		left *= 1 - f.arrival(from, to)
		from = to
	}
	return 1 - left
}
