package fleetapp_test

import (
	"fmt"
	"slices"
	"time"
)

const (
	// soakBudgetWindow is the window of the retry budget.
	soakBudgetWindow = 10 * time.Second
	// soakOverlap is the time for which a run may go on after the next one of its request has begun.
	soakOverlap = 400 * time.Millisecond
)

// soakFigures counts what servers saw of all requests.
type soakFigures struct {
	runs, refusals int
	// overlaps are the runs that went on for longer than soakOverlap beside another one of their request.
	overlaps int
	// excess is by how many repeats the budget of a service was exceeded in its worst window; negative
	// if it never was.
	excess float64
}

// String implements fmt.Stringer.
func (f soakFigures) String() string {
	return fmt.Sprintf("%d runs, %d refusals by servers, %d overlapping runs, retry budget exceeded by %.1f", f.runs, f.refusals, f.overlaps, f.excess)
}

func newSoakFigures(plan *soakPlan, views []soakView, servers *soakServers) soakFigures {
	f := soakFigures{excess: -float64(plan.retryExtra)}
	requests, repeats := map[string][]time.Time{}, map[string][]time.Time{}
	for _, v := range views {
		requests[v.kind.service] = append(requests[v.kind.service], v.sent)
		var running []soakArrival
		for n, a := range servers.of(v.id) {
			if n > 0 {
				repeats[v.kind.service] = append(repeats[v.kind.service], a.at)
			}
			if a.refused {
				f.refusals++
				continue
			}
			f.runs++
			for _, before := range running {
				if before.worksAt(a.at.Add(soakOverlap)) {
					f.overlaps++
				}
			}
			running = append(running, a)
		}
	}
	for service, times := range repeats {
		slices.SortFunc(times, time.Time.Compare)
		for _, end := range times {
			within := func(from, to time.Duration) float64 {
				return float64(countWithin(requests[service], end.Add(-from), end.Add(-to)))
			}
			// The requests are counted in this window, the one before it or the one half a window before it.
			counted := max(within(soakBudgetWindow, 0), within(2*soakBudgetWindow, soakBudgetWindow), within(soakBudgetWindow*3/2, soakBudgetWindow/2))
			arrived := countWithin(times, end.Add(-soakBudgetWindow), end)
			f.excess = max(f.excess, float64(arrived)-plan.retryRatio*counted-float64(plan.retryExtra))
		}
	}
	return f
}

// worksAt reports whether the server has neither ended nor been canceled at a time.
func (a *soakArrival) worksAt(at time.Time) bool {
	end := a.ended
	if end.IsZero() {
		end = a.canceled
	}
	return a.script.breaksAt == 0 && (end.IsZero() || end.After(at))
}

// countWithin returns how many of the times are after from and not after to.
func countWithin(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}
