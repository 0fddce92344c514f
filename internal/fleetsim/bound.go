package fleetsim

import (
	"math"
	"time"
)

const (
	// boundGridStep is the time resolution of the upper bound. All rounding is in
	// favor of the policies, so that the bound stays valid.
	boundGridStep = 400 * time.Millisecond
	// priceSearchRounds is how often the two prices are minimized in alternation, and
	// priceSearchSteps the number of ternary search steps of each minimization.
	priceSearchRounds, priceSearchSteps = 2, 8
	// maxPrice is the highest price of one second, in units of worth: the worth of a
	// lodged summary, the most valuable request.
	maxPrice = 62.0
)

// upperBound returns an upper bound on the worth that any policy can earn, as a
// fraction of the worth of all requests.
//
// A request is on time only if its model is in memory at some moment between the
// request's arrival and its latency objective. A model in memory occupies one of the
// server's model places. Each load occupies a place and the server's loader, which
// loads one model at a time, for at least the duration of the fastest load.
//
// The bound is a Lagrangian relaxation: a second of a place and a second of a loader
// each have a price. At these prices a clairvoyant planner chooses the residency
// intervals of each model independently of the other models. The sum of these optima
// and of the prices of all places and loaders is at least the worth of any policy.
// The result is the lowest sum that the search over the prices finds. The relaxation
// doesn't charge for late answers, for the first load of each model and for capacity
// in the batches.
func upperBound(d *deployment, trace []arrival) float64 {
	offeredWorth, lateWorth := 0.0, 0.0
	byModel := map[string][]arrival{}
	for _, a := range trace {
		offeredWorth += a.class.worth
		lateWorth += a.class.lateWorth
		byModel[a.model] = append(byModel[a.model], a)
	}
	var planners []*residencyPlanner
	for n := range d.models {
		if arrivals := byModel[modelName(n)]; len(arrivals) > 0 {
			planners = append(planners, newResidencyPlanner(arrivals))
		}
	}
	serverSeconds := float64(d.servers) * traceLength.Seconds()
	relaxedWorth := func(placePrice, loadPrice float64) float64 {
		sum := lateWorth + serverSeconds*(modelsPerServer*placePrice+loadPrice)
		for _, p := range planners {
			sum += p.maxGain(placePrice, loadPrice)
		}
		return sum
	}
	// The sum is convex in each price.
	placePrice, loadPrice := 0.0, 0.0
	for range priceSearchRounds {
		placePrice = minimize(func(p float64) float64 { return relaxedWorth(p, loadPrice) })
		loadPrice = minimize(func(p float64) float64 { return relaxedWorth(placePrice, p) })
	}
	return min(relaxedWorth(placePrice, loadPrice), relaxedWorth(0, 0), offeredWorth) / offeredWorth
}

// minimize returns the price between 0 and maxPrice at which the convex function f is
// lowest, by ternary search.
func minimize(f func(float64) float64) float64 {
	low, high := 0.0, maxPrice
	for range priceSearchSteps {
		third := (high - low) / 3
		if f(low+third) < f(high-third) {
			high -= third
		} else {
			low += third
		}
	}
	return (low + high) / 2
}

// residencyPlanner finds the best intervals in which one model is in memory.
type residencyPlanner struct {
	steps int
	// onTimeGain is the additional worth if all requests are answered on time rather
	// than late.
	onTimeGain float64
	// lostGain[x][y] is the part of onTimeGain that is lost if the model is absent
	// between the steps x and y.
	lostGain [][]float64
}

func newResidencyPlanner(arrivals []arrival) *residencyPlanner {
	latest := time.Duration(0)
	for _, a := range arrivals {
		latest = max(latest, a.at+a.class.objective)
	}
	p := &residencyPlanner{steps: int(latest/boundGridStep) + 2}
	p.lostGain = make([][]float64, p.steps)
	for x := range p.lostGain {
		p.lostGain[x] = make([]float64, p.steps)
	}
	for _, a := range arrivals {
		gain := a.class.worth - a.class.lateWorth
		p.onTimeGain += gain
		// The gain is lost if the model is absent from before the arrival until after
		// the latency objective.
		from, until := int(a.at/boundGridStep), int((a.at+a.class.objective)/boundGridStep)+1
		p.lostGain[from][min(until, p.steps-1)] += gain
	}
	// A gap loses the gains of all gaps inside it: two-dimensional prefix sums.
	for x := p.steps - 1; x >= 0; x-- {
		for y := range p.steps {
			if x+1 < p.steps {
				p.lostGain[x][y] += p.lostGain[x+1][y]
			}
			if y > 0 {
				p.lostGain[x][y] += p.lostGain[x][y-1]
			}
			if x+1 < p.steps && y > 0 {
				p.lostGain[x][y] -= p.lostGain[x+1][y-1]
			}
		}
	}
	return p
}

// maxGain returns the highest net gain over all choices of residency intervals, by
// dynamic programming. placePrice is the price of a second of a model place, loadPrice
// that of a second of a server's loader.
func (p *residencyPlanner) maxGain(placePrice, loadPrice float64) float64 {
	loadSeconds := (hostLoadTime + unloadTime).Seconds()
	loadCost := loadSeconds * (placePrice + loadPrice)
	last := p.steps - 1
	best := p.onTimeGain - p.lostGain[0][last] // never loaded
	bestEnding := make([]float64, p.steps)     // best gain with an interval that ends at a step
	bestStarting := make([]float64, p.steps)   // best gain with an interval that starts at a step
	for step := range p.steps {
		bestStarting[step] = p.onTimeGain - p.lostGain[0][step]
		for previousEnd := range step {
			bestStarting[step] = max(bestStarting[step], bestEnding[previousEnd]-p.lostGain[previousEnd][step]-loadCost)
		}
		bestEnding[step] = math.Inf(-1)
		for start := range step + 1 {
			resident := time.Duration(max(step-start-2, 0)) * boundGridStep
			bestEnding[step] = max(bestEnding[step], bestStarting[start]-placePrice*resident.Seconds())
		}
		best = max(best, bestEnding[step]-p.lostGain[step][last])
	}
	return best
}
