package fleetsim

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Scenario is a pattern of arrivals.
type Scenario string

// The scenarios.
const (
	Calm Scenario = "calm"
	// Overload has a burst, and hot models that change twice.
	Overload Scenario = "overload"
)

const (
	length     = 40 * time.Second
	burstFrom  = 10 * time.Second
	burstUntil = 18 * time.Second
	burstTimes = 2.0
	// shiftEvery is how often other models are hot in an overload.
	shiftEvery = 13 * time.Second
)

// arrival is one client's wish.
type arrival struct {
	at    time.Duration
	kind  *kind
	model string
}

// newTrace draws the arrivals of a scenario in order of time.
func newTrace(d *deployment, scenario Scenario, random *rand.Rand) []arrival {
	var out []arrival
	order := random.Perm(d.models)
	for i := range d.kinds {
		k := &d.kinds[i]
		for at := time.Duration(0); ; {
			rate := k.perSecond
			if scenario == Overload && at >= burstFrom && at < burstUntil {
				rate *= burstTimes
			}
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at >= length {
				break
			}
			hot := 0
			if scenario == Overload {
				hot = int(at/shiftEvery) * hotModels
			}
			out = append(out, arrival{at: at, kind: k, model: modelName(order[pickModel(d, k, hot, random)])})
		}
	}
	slices.SortStableFunc(out, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return out
}

// pickModel draws a place in the order of models; those from hot on are hot.
func pickModel(d *deployment, k *kind, hot int, random *rand.Rand) int {
	if k.hot && random.Float64() < hotShare {
		return hot + random.IntN(hotModels)
	}
	return random.IntN(d.models)
}

func modelName(n int) string { return "m" + strconv.Itoa(n) }
