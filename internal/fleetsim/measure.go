package fleetsim

import (
	"cmp"
	"slices"
	"time"
)

// measure counts what becomes of the requests.
type measure struct {
	deployment *deployment
	kinds      map[string]*KindRow
	waits      map[string][]time.Duration
	owed, got  float64
	refused    int
	loads      int
	storeLoads int
	// owedIn and gotIn are by the window of the first wish.
	owedIn, gotIn [windows]float64
}

// windows is how many windows of windowLength a trace has.
const (
	windowLength = 2 * time.Second
	windows      = int(length / windowLength)
)

func newMeasure(d *deployment) *measure {
	m := &measure{
		deployment: d, kinds: map[string]*KindRow{}, waits: map[string][]time.Duration{},
	}
	for _, k := range d.kinds {
		m.kinds[k.name] = &KindRow{Kind: k.name}
	}
	return m
}

func (m *measure) owe(k *kind, at time.Duration) {
	m.kinds[k.name].Asked++
	m.owed += k.worth
	m.owedIn[at/windowLength] += k.worth
}

func (m *measure) begin(r *request, now time.Duration) {
	row := m.kinds[r.kind.name]
	took := now - r.wished
	m.waits[r.kind.name] = append(m.waits[r.kind.name], took)
	worth := r.kind.late
	if took <= r.kind.aim {
		row.InAim++
		worth = r.kind.worth
	} else {
		row.Late++
	}
	m.got += worth
	m.gotIn[r.wished/windowLength] += worth
}

func (m *measure) refuse(r *request) {
	m.kinds[r.kind.name].Refused++
	m.refused++
}

func (m *measure) load(fromStore bool) {
	m.loads++
	if fromStore {
		m.storeLoads++
	}
}

// KindRow is what became of one kind of requests.
type KindRow struct {
	Kind    string `json:"kind"`
	Asked   int    `json:"asked"`
	InAim   int    `json:"in_aim"`
	Late    int    `json:"late"`
	Refused int    `json:"refused"`
	// Times to the first event in milliseconds, from the first wish on.
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
}

// Row is one policy's result.
type Row struct {
	Policy string `json:"policy"`
	// Worth is the part earned of what was owed.
	Worth      float64   `json:"worth"`
	Refused    int       `json:"refused"`
	Loads      int       `json:"loads"`
	StoreLoads int       `json:"store_loads"`
	Kinds      []KindRow `json:"kinds"`
	// Windows is the worth by the two seconds in which clients asked first.
	Windows []float64 `json:"windows"`
}

func (m *measure) row(policy string) Row {
	row := Row{Policy: policy, Worth: m.got / m.owed, Refused: m.refused, Loads: m.loads, StoreLoads: m.storeLoads}
	for _, k := range m.deployment.kinds {
		kindRow := *m.kinds[k.name]
		waits := m.waits[k.name]
		slices.SortFunc(waits, func(a, b time.Duration) int { return cmp.Compare(a, b) })
		kindRow.P50, kindRow.P95, kindRow.P99 = percentile(waits, 50), percentile(waits, 95), percentile(waits, 99)
		row.Kinds = append(row.Kinds, kindRow)
	}
	for i, owed := range m.owedIn {
		row.Windows = append(row.Windows, m.gotIn[i]/max(owed, 1))
	}
	return row
}

// percentile returns a percentile of sorted times in milliseconds, 0 of none.
func percentile(sorted []time.Duration, p int) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[(len(sorted)-1)*p/100].Microseconds()) / 1000
}
