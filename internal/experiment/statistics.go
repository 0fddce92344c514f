package experiment

import (
	"slices"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/keepalive"
)

// statistics collects the measurements of one run after the warm-up period.
type statistics struct {
	measureFrom time.Duration
	waits       []time.Duration // of all requests, refused ones with maxWait
	cold        int             // requests that waited, including refused ones
	refused     int
	loads       int
	idleHours   float64
}

// measured reports whether a moment is after the warm-up period.
func (s *statistics) measured(at time.Duration) bool { return at >= s.measureFrom }

func (s *statistics) recordStart(arrived, waited time.Duration) {
	if !s.measured(arrived) {
		return
	}
	s.waits = append(s.waits, waited)
	if waited > 0 {
		s.cold++
	}
}

func (s *statistics) recordRefusal(arrived time.Duration) {
	if !s.measured(arrived) {
		return
	}
	s.refused++
	s.cold++
	s.waits = append(s.waits, maxWait)
}

func (s *statistics) recordLoad(at time.Duration) {
	if s.measured(at) {
		s.loads++
	}
}

// Row holds the measurements of one policy on one trace.
type Row struct {
	Policy string `json:"policy"`
	// Setting is the cold-start weight or the idle timeout of the policy.
	Setting  string `json:"setting"`
	Requests int    `json:"requests"`
	// Cold is the number of requests that waited, including refused ones.
	Cold    int `json:"cold"`
	Refused int `json:"refused"`
	// P50, P95 and P99 are percentiles of the wait of all requests before their start,
	// in seconds.
	P50 float64 `json:"p50_s"`
	P95 float64 `json:"p95_s"`
	P99 float64 `json:"p99_s"`
	// ColdP50, ColdP95 and ColdP99 are percentiles of the wait of the cold requests, in
	// seconds.
	ColdP50 float64 `json:"cold_p50_s"`
	ColdP95 float64 `json:"cold_p95_s"`
	ColdP99 float64 `json:"cold_p99_s"`
	// WaitHours is the sum of all waits in hours.
	WaitHours float64 `json:"wait_hours"`
	// WaitCost is the sum of keepalive.WaitCost over all requests, in hours.
	WaitCost float64 `json:"wait_cost_hours"`
	// IdleHours is the time for which models were loaded without work, in hours of one
	// accelerator.
	IdleHours float64 `json:"idle_accelerator_hours"`
	Loads     int     `json:"loads"`
}

func (s *statistics) row(policy, setting string) Row {
	slices.Sort(s.waits)
	var totalWait time.Duration
	var cost float64
	for _, w := range s.waits {
		totalWait += w
		cost += keepalive.WaitCost(w)
	}
	cold := s.waits[len(s.waits)-s.cold:]
	return Row{
		Policy: policy, Setting: setting, Requests: len(s.waits), Cold: s.cold, Refused: s.refused,
		P50: percentile(s.waits, 50), P95: percentile(s.waits, 95), P99: percentile(s.waits, 99),
		ColdP50: percentile(cold, 50), ColdP95: percentile(cold, 95), ColdP99: percentile(cold, 99),
		WaitHours: totalWait.Hours(), WaitCost: cost / time.Hour.Seconds(), IdleHours: s.idleHours, Loads: s.loads,
	}
}

// percentile returns the p-th percentile of sorted durations by the nearest-rank
// method, in seconds. It returns 0 if there are none.
func percentile(sorted []time.Duration, p int) float64 {
	if len(sorted) == 0 {
		return 0
	}
	rank := (len(sorted)*p + 99) / 100
	return sorted[max(rank-1, 0)].Seconds()
}

// cost returns the weighted cost of waiting and of idle accelerators, as the keep-alive
// policy computes it, in hours of one idle accelerator.
func (r *Row) cost(weight float64) float64 {
	return weight*idleSecondsPerWaitSecond*r.WaitCost + (1-weight)*r.IdleHours
}
