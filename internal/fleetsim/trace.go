package fleetsim

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// Scenario names an arrival pattern.
type Scenario string

// The scenarios.
const (
	// Calm has constant arrival rates.
	Calm Scenario = "calm"
	// Overload has a burst at twice the arrival rate, and its set of popular models
	// changes during the trace.
	Overload Scenario = "overload"
)

const (
	traceLength = 40 * time.Second
	burstStart  = 10 * time.Second
	burstEnd    = 18 * time.Second
	burstFactor = 2.0
	// hotShiftInterval is the interval after which other models become popular in an
	// overload.
	hotShiftInterval = 13 * time.Second
)

// arrival is the first attempt of a client at one request.
type arrival struct {
	at    time.Duration
	class *requestClass
	model string
}

// newTrace generates the arrivals of a scenario, each class a Poisson process, in the
// order of time.
func newTrace(d *deployment, scenario Scenario, random *rand.Rand) []arrival {
	var arrivals []arrival
	order := random.Perm(d.models)
	for i := range d.classes {
		class := &d.classes[i]
		for at := time.Duration(0); ; {
			rate := class.requestsPerSecond
			if scenario == Overload && at >= burstStart && at < burstEnd {
				rate *= burstFactor
			}
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at >= traceLength {
				break
			}
			firstHot := 0
			if scenario == Overload {
				firstHot = int(at/hotShiftInterval) * hotModels
			}
			arrivals = append(arrivals, arrival{at: at, class: class, model: modelName(order[pickModelIndex(d, class, firstHot, random)])})
		}
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return arrivals
}

// pickModelIndex draws an index into the random order of the models. The hotModels
// models from firstHot on are popular.
func pickModelIndex(d *deployment, class *requestClass, firstHot int, random *rand.Rand) int {
	if class.hot && random.Float64() < hotShare {
		return firstHot + random.IntN(hotModels)
	}
	return random.IntN(d.models)
}

func modelName(n int) string { return "m" + strconv.Itoa(n) }
