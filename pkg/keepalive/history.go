package keepalive

import (
	"math"
	"math/bits"
	"time"
)

const (
	gapBuckets = 32
	// shortestGap is the gap below which arrivals belong to one burst. Buckets
	// grow by the root of two from here, to about eight days.
	shortestGap = 15 * time.Second
	// gapUnit is what a new gap adds to its bucket; all buckets are first scaled
	// by 31/32. A bucket can so reach 32 units, which fit 16 bits.
	gapUnit  = 2047
	gapDecay = 32

	slotLength = 30 * time.Minute
	slotCount  = 48
	day        = slotCount * slotLength
	// maxDays bounds the weight of the past: a day counts for at least 1/maxDays.
	maxDays = 8
	// rhythmDays is how many days a rhythm needs before it is believed.
	rhythmDays = 3

	// knownGaps is how many gaps a history needs before it is believed.
	knownGaps = 3
)

// history is what is known of one model's arrivals. Times are offsets from the
// tracker's origin.
type history struct {
	last  time.Duration
	today uint64 // slots of the current day with an arrival
	day   int32
	// bursts holds how many callers wait for a cold start, on average, by the
	// length of the gap before it, in units of 1/burstUnit.
	bursts [gapClasses]uint16
	gaps   [gapBuckets]uint16
	slots  [slotCount]uint8 // share of days with an arrival, in 1/255
	days   uint8
	seen   uint8 // gaps taken in, up to 255
	class  uint8 // of the last gap
	// judged is the second in which the gain of keeping was last worked out, and
	// gain the result; zero if it has to be worked out anew.
	judged int32
	gain   float32
}

const (
	// gapClasses is how many lengths of gaps are told apart for bursts.
	gapClasses = 3
	burstUnit  = 16
	// burstDecay is the part of the past that a new burst replaces.
	burstDecay = 4
)

func classOf(gap time.Duration) uint8 {
	switch {
	case gap < 10*time.Minute:
		return 0
	case gap < 3*time.Hour:
		return 1
	default:
		return 2
	}
}

// callers is how many wait for a cold start after a gap, on average.
func (h *history) callers(gap time.Duration) float64 {
	return float64(h.bursts[classOf(gap)]) / burstUnit
}

// burst takes in how many callers waited after the last gap.
func (h *history) burst(callers float64) {
	was := int(h.bursts[h.class])
	now := int(min(max(callers, 1)*burstUnit, math.MaxUint16))
	h.bursts[h.class] = uint16(was + (now-was)/burstDecay)
}

func newHistory(at time.Duration) history {
	return history{
		last: at, day: int32(at / day), class: gapClasses - 1,
		bursts: [gapClasses]uint16{burstUnit, burstUnit, burstUnit},
	}
}

func bucketOf(gap time.Duration) int {
	b := int(2 * math.Log2(float64(gap)/float64(shortestGap)))
	return min(max(b, 0), gapBuckets-1)
}

func (h *history) arrive(at time.Duration) {
	h.roll(at)
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
	h.class = classOf(gap)
	if h.seen < math.MaxUint8 {
		h.seen++
	}
}

// roll closes the days that have passed.
func (h *history) roll(at time.Duration) {
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

// slot is the share of days with an arrival in the half hour at the offset.
func (h *history) slot(at time.Duration) float64 {
	return float64(h.slots[at%day/slotLength]) / math.MaxUint8
}

const (
	// regular is the share of days from which a slot counts as part of a rhythm,
	// quiet the one below which it counts as a time without arrivals.
	regular = 0.5
	quiet   = 0.1
)

// rhythmic reports whether the model is asked for in the same few half hours on
// most days. A model that is asked for all day long has no rhythm to wait for.
func (h *history) rhythmic() bool {
	if h.days < rhythmDays {
		return false
	}
	var on uint64
	for i, share := range h.slots {
		if float64(share) >= regular*math.MaxUint8 {
			on |= 1 << i
		}
	}
	n := bits.OnesCount64(on)
	return n > 0 && n <= slotCount*2/3
}
