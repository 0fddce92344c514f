package fleetsim

import (
	"cmp"
	"slices"
	"time"
)

// statistics collects the outcomes of the requests and the loads of one simulation.
type statistics struct {
	deployment      *deployment
	classes         map[string]*ClassRow
	latencies       map[string][]time.Duration
	offered, earned float64
	refused         int
	loads           int
	storeLoads      int
	// offeredByWindow and earnedByWindow are the worths by the time window in which the
	// client sent its first attempt.
	offeredByWindow, earnedByWindow [windowCount]float64
}

// A trace is divided into windowCount windows of windowLength.
const (
	windowLength = 2 * time.Second
	windowCount  = int(traceLength / windowLength)
)

func newStatistics(d *deployment) *statistics {
	s := &statistics{
		deployment: d, classes: map[string]*ClassRow{}, latencies: map[string][]time.Duration{},
	}
	for _, class := range d.classes {
		s.classes[class.name] = &ClassRow{Class: class.name}
	}
	return s
}

// recordRequest counts a client's first attempt at the given time.
func (s *statistics) recordRequest(class *requestClass, at time.Duration) {
	s.classes[class.name].Requests++
	s.offered += class.worth
	s.offeredByWindow[at/windowLength] += class.worth
}

// recordFirstEvent counts an answered request and its latency from the client's first
// attempt.
func (s *statistics) recordFirstEvent(r *request, now time.Duration) {
	row := s.classes[r.class.name]
	latency := now - r.firstArrivedAt
	s.latencies[r.class.name] = append(s.latencies[r.class.name], latency)
	worth := r.class.lateWorth
	if latency <= r.class.objective {
		row.OnTime++
		worth = r.class.worth
	} else {
		row.Late++
	}
	s.earned += worth
	s.earnedByWindow[r.firstArrivedAt/windowLength] += worth
}

func (s *statistics) recordRefusal(r *request) {
	s.classes[r.class.name].Refused++
	s.refused++
}

func (s *statistics) recordLoad(fromStore bool) {
	s.loads++
	if fromStore {
		s.storeLoads++
	}
}

// ClassRow holds the outcomes of the requests of one class.
type ClassRow struct {
	Class    string `json:"kind"`
	Requests int    `json:"asked"`
	OnTime   int    `json:"in_aim"`
	Late     int    `json:"late"`
	Refused  int    `json:"refused"`
	// P50, P95 and P99 are percentiles of the time from the client's first attempt to
	// the first event of the answer, in milliseconds.
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
}

// Row is the result of one policy.
type Row struct {
	Policy string `json:"policy"`
	// Worth is the worth earned, as a fraction of the worth of all requests.
	Worth      float64    `json:"worth"`
	Refused    int        `json:"refused"`
	Loads      int        `json:"loads"`
	StoreLoads int        `json:"store_loads"`
	Classes    []ClassRow `json:"kinds"`
	// Windows is the worth earned as a fraction of the worth of the requests, for each
	// window of two seconds by the time of the client's first attempt.
	Windows []float64 `json:"windows"`
}

func (s *statistics) row(policy string) Row {
	row := Row{Policy: policy, Worth: s.earned / s.offered, Refused: s.refused, Loads: s.loads, StoreLoads: s.storeLoads}
	for _, class := range s.deployment.classes {
		classRow := *s.classes[class.name]
		latencies := s.latencies[class.name]
		slices.SortFunc(latencies, func(a, b time.Duration) int { return cmp.Compare(a, b) })
		classRow.P50, classRow.P95, classRow.P99 = percentile(latencies, 50), percentile(latencies, 95), percentile(latencies, 99)
		row.Classes = append(row.Classes, classRow)
	}
	for i, offered := range s.offeredByWindow {
		row.Windows = append(row.Windows, s.earnedByWindow[i]/max(offered, 1))
	}
	return row
}

// percentile returns the p-th percentile of sorted durations in milliseconds, 0 if
// there are none.
func percentile(sorted []time.Duration, p int) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[(len(sorted)-1)*p/100].Microseconds()) / 1000
}
