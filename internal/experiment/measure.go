package experiment

import (
	"slices"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/keepalive"
)

// measure collects what one run is judged by, after the days of learning.
type measure struct {
	from      time.Duration
	waits     []time.Duration // of every request
	cold      int             // requests that waited
	refused   int
	loads     int
	idleHours float64
}

func (m *measure) counts(at time.Duration) bool { return at >= m.from }

func (m *measure) start(arrived, waited time.Duration) {
	if !m.counts(arrived) {
		return
	}
	m.waits = append(m.waits, waited)
	if waited > 0 {
		m.cold++
	}
}

func (m *measure) refuse(arrived time.Duration) {
	if !m.counts(arrived) {
		return
	}
	m.refused++
	m.cold++
	m.waits = append(m.waits, maxWait)
}

func (m *measure) load(at time.Duration) {
	if m.counts(at) {
		m.loads++
	}
}

// Row is the measurement of one policy over one trace. Times are in seconds.
type Row struct {
	Policy string `json:"policy"`
	// Setting is the policy's weight or timeout.
	Setting  string `json:"setting"`
	Requests int    `json:"requests"`
	// Cold is how many requests had to wait, refused ones included.
	Cold    int `json:"cold"`
	Refused int `json:"refused"`
	// P50, P95 and P99 are of the wait of every request before its start.
	P50 float64 `json:"p50_s"`
	P95 float64 `json:"p95_s"`
	P99 float64 `json:"p99_s"`
	// ColdP50, ColdP95 and ColdP99 are of the requests that waited only.
	ColdP50 float64 `json:"cold_p50_s"`
	ColdP95 float64 `json:"cold_p95_s"`
	ColdP99 float64 `json:"cold_p99_s"`
	// WaitHours is the sum of all waits, IdleHours of idle accelerators, and
	// WaitCost the sum of keepalive.WaitCost in hours.
	WaitHours float64 `json:"wait_hours"`
	WaitCost  float64 `json:"wait_cost_hours"`
	IdleHours float64 `json:"idle_accelerator_hours"`
	Loads     int     `json:"loads"`
}

func (m *measure) row(policy, setting string) Row {
	slices.Sort(m.waits)
	var sum time.Duration
	var cost float64
	for _, w := range m.waits {
		sum += w
		cost += keepalive.WaitCost(w)
	}
	cold := m.waits[len(m.waits)-m.cold:]
	return Row{
		Policy: policy, Setting: setting, Requests: len(m.waits), Cold: m.cold, Refused: m.refused,
		P50: percentile(m.waits, 50), P95: percentile(m.waits, 95), P99: percentile(m.waits, 99),
		ColdP50: percentile(cold, 50), ColdP95: percentile(cold, 95), ColdP99: percentile(cold, 99),
		WaitHours: sum.Hours(), WaitCost: cost / time.Hour.Seconds(), IdleHours: m.idleHours, Loads: m.loads,
	}
}

// percentile returns the nearest rank of sorted values, in seconds.
func percentile(sorted []time.Duration, p int) float64 {
	if len(sorted) == 0 {
		return 0
	}
	rank := (len(sorted)*p + 99) / 100
	return sorted[max(rank-1, 0)].Seconds()
}

// cost weighs waiting against idling as the keep-alive policy does, in hours of
// one idle accelerator.
func (r *Row) cost(weight float64) float64 {
	return weight*exchange*r.WaitCost + (1-weight)*r.IdleHours
}
