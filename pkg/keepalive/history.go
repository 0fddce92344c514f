package keepalive

import (
	"math"
	"math/bits"
	"time"
)

const (
	gapBuckets = 32
	// shortestGap is the gap below which arrivals belong to one burst. The bounds of
	// the buckets grow by a factor of the square root of two from here, to about
	// eight days.
	shortestGap = 15 * time.Second
	// gapUnit is the weight that a new gap adds to its bucket, after all buckets
	// were scaled by 31/32. The weight of a bucket therefore reaches at most 32
	// units, which fit 16 bits.
	gapUnit  = 2047
	gapDecay = 32

	slotLength = 30 * time.Minute
	slotCount  = 48
	day        = slotCount * slotLength
	// maxDays bounds the weight of earlier days: the last day has at least the
	// weight 1/maxDays.
	maxDays = 8
	// patternDays is the number of days of history from which a daily pattern is
	// recognised.
	patternDays = 3

	// minGaps is the number of gaps from which a history is used for forecasts.
	minGaps = 3
)

// history is the arrival history of one model. Times are offsets from the
// tracker's origin.
type history struct {
	last  time.Duration
	today uint64 // bit set of the current day's slots with an arrival
	day   int32
	// bursts holds the average number of callers that wait for a cold start, by the
	// class of the gap before it, in units of 1/burstUnit.
	bursts    [gapClasses]uint16
	gaps      [gapBuckets]uint16
	slots     [slotCount]uint8 // share of days with an arrival, in units of 1/255
	days      uint8
	gapCount  uint8 // number of recorded gaps, up to 255
	lastClass uint8 // class of the last gap
	// evaluatedAt is the second in which the gain of keeping the model was last
	// computed, and gain the result; zero if it must be computed again.
	evaluatedAt int32
	gain        float32
}

const (
	// gapClasses is the number of gap classes for which burst sizes are averaged.
	gapClasses = 3
	burstUnit  = 16
	// burstDecay is the divisor of an exponential moving average: a new burst has
	// the weight 1/burstDecay.
	burstDecay = 4
)

func gapClass(gap time.Duration) uint8 {
	switch {
	case gap < 10*time.Minute:
		return 0
	case gap < 3*time.Hour:
		return 1
	default:
		return 2
	}
}

// expectedCallers returns the average number of callers that wait for a cold
// start after a gap.
func (h *history) expectedCallers(gap time.Duration) float64 {
	return float64(h.bursts[gapClass(gap)]) / burstUnit
}

// recordBurst records how many callers waited after the last gap.
func (h *history) recordBurst(callers float64) {
	was := int(h.bursts[h.lastClass])
	now := int(min(max(callers, 1)*burstUnit, math.MaxUint16))
	h.bursts[h.lastClass] = uint16(was + (now-was)/burstDecay)
}

func newHistory(at time.Duration) history {
	return history{
		last: at, day: int32(at / day), lastClass: gapClasses - 1,
		bursts: [gapClasses]uint16{burstUnit, burstUnit, burstUnit},
	}
}

func bucketOf(gap time.Duration) int {
	b := int(2 * math.Log2(float64(gap)/float64(shortestGap)))
	return min(max(b, 0), gapBuckets-1)
}

func (h *history) recordArrival(at time.Duration) {
	h.advanceTo(at)
	h.today |= 1 << (at % day / slotLength)
	gap := at - h.last
	h.last = max(h.last, at)
	h.gain = 0
	if gap < shortestGap {
		return
	}
	for i := range h.gaps {
		h.gaps[i] -= (h.gaps[i] + gapDecay - 1) / gapDecay
	}
	h.gaps[bucketOf(gap)] += gapUnit
	h.lastClass = gapClass(gap)
	if h.gapCount < math.MaxUint8 {
		h.gapCount++
	}
}

// advanceTo closes the days that have ended before at.
func (h *history) advanceTo(at time.Duration) {
	now := int32(at / day)
	for passed := 0; h.day < now; h.day++ {
		if passed++; passed > 4*maxDays {
			h.day = now
			break
		}
		h.closeDay()
	}
}

func (h *history) closeDay() {
	if h.days < maxDays {
		h.days++
	}
	for i := range h.slots {
		hit := 0
		if h.today&(1<<i) != 0 {
			hit = math.MaxUint8
		}
		was := int(h.slots[i])
		h.slots[i] = uint8(was + (hit-was)/int(h.days))
	}
	h.today = 0
}

// slotShare returns the share of days with an arrival in the half hour at the
// offset.
func (h *history) slotShare(at time.Duration) float64 {
	return float64(h.slots[at%day/slotLength]) / math.MaxUint8
}

const (
	// activeShare is the share of days from which a slot belongs to the daily
	// pattern. Below inactiveShare, a slot counts as a time without arrivals.
	activeShare   = 0.5
	inactiveShare = 0.1
)

// hasDailyPattern reports whether the model is requested in the same few half
// hours on most days. A model that is requested all day has no such pattern.
func (h *history) hasDailyPattern() bool {
	if h.days < patternDays {
		return false
	}
	var on uint64
	for i, share := range h.slots {
		if float64(share) >= activeShare*math.MaxUint8 {
			on |= 1 << i
		}
	}
	n := bits.OnesCount64(on)
	return n > 0 && n <= slotCount*2/3
}
