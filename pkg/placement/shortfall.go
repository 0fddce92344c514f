package placement

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/targets"
)

// Bottleneck is what keeps a class from its targets.
type Bottleneck string

// The bottlenecks.
const (
	BottleneckMemory    Bottleneck = "memory"
	BottleneckStore     Bottleneck = "store_queue"
	BottleneckTransfer  Bottleneck = "load_time"
	BottleneckReplicas  Bottleneck = "replicas"
	BottleneckNoServers Bottleneck = "no_servers"
)

const (
	// shortfallHalfLife is the time in which past wake-ups lose half of their
	// weight.
	shortfallHalfLife = time.Hour
	// shortfallMinimum is the weight of wake-ups below which nothing is said, so
	// that one late start doesn't count as a shortfall.
	shortfallMinimum = 3
)

// Wake is how one wake-up of a cold model ended for its callers.
type Wake struct {
	Class *targets.Class
	// Plan and Refusal are what Place returned.
	Plan    Plan
	Refusal *Refusal
}

// Shortfall says by how much a class misses its targets.
type Shortfall struct {
	Class string `json:"class"`
	// Missed is the share of recent wake-ups that missed start_within.
	Missed float64 `json:"missed"`
	// Refused is the share that was refused.
	Refused float64 `json:"refused"`
	// Excess is how much later than start_within the late ones are on average.
	Excess time.Duration `json:"excess"`
	// Bottleneck is the most frequent cause, and Needs what it would take.
	Bottleneck Bottleneck `json:"bottleneck"`
	Needs      string     `json:"needs"`
}

// Accounts keeps decaying counts of wake-ups by class. The zero value is ready to
// use.
type Accounts struct {
	classes map[string]*account
}

type account struct {
	at                    time.Time
	wakes, missed         float64
	refused, late, excess float64
	causes                map[Bottleneck]*cause
}

// cause sums up one bottleneck: how often, and how much was lacking.
type cause struct {
	weight float64
	// factor is the sum of how many times too slow, or of bytes lacking.
	factor float64
}

func (a *account) decay(now time.Time) {
	elapsed := now.Sub(a.at)
	if elapsed <= 0 {
		return
	}
	f := math.Exp2(-elapsed.Seconds() / shortfallHalfLife.Seconds())
	a.at = now
	for _, v := range []*float64{&a.wakes, &a.missed, &a.refused, &a.late, &a.excess} {
		*v *= f
	}
	for _, c := range a.causes {
		c.weight *= f
		c.factor *= f
	}
}

// Record takes in a wake-up.
func (a *Accounts) Record(now time.Time, w Wake) {
	if w.Class == nil {
		return
	}
	if a.classes == nil {
		a.classes = map[string]*account{}
	}
	acc := a.classes[w.Class.Name]
	if acc == nil {
		acc = &account{at: now, causes: map[Bottleneck]*cause{}}
		a.classes[w.Class.Name] = acc
	}
	acc.decay(now)
	acc.wakes++
	start := w.Class.StartWithin.D()
	if w.Refusal == nil && w.Plan.ReadyIn <= start {
		return
	}
	acc.missed++
	if w.Refusal != nil {
		acc.refused++
	}
	if w.Plan.Action != ActionNone {
		acc.late++
		acc.excess += (w.Plan.ReadyIn - start).Seconds()
	}
	bottleneck, factor := w.bottleneck(start)
	c := acc.causes[bottleneck]
	if c == nil {
		c = &cause{}
		acc.causes[bottleneck] = c
	}
	c.weight++
	c.factor += factor
}

// bottleneck returns the cause of a miss, with the bytes lacking for memory and
// how many times too slow for the rest.
func (w *Wake) bottleneck(start time.Duration) (Bottleneck, float64) {
	if w.Refusal != nil {
		switch w.Refusal.Word {
		case WordNoMemory:
			return BottleneckMemory, float64(w.Refusal.LackingBytes)
		case WordNoReplica:
			return BottleneckReplicas, 1
		case WordNoServer:
			return BottleneckNoServers, 1
		case WordTooLate:
		}
	}
	transfer := w.Plan.ReadyIn - w.Plan.StartIn
	if w.Plan.Store && w.Plan.StartIn > transfer {
		left := max(start-transfer, 100*time.Millisecond)
		return BottleneckStore, w.Plan.StartIn.Seconds() / left.Seconds()
	}
	left := max(start-w.Plan.StartIn, 100*time.Millisecond)
	return BottleneckTransfer, transfer.Seconds() / left.Seconds()
}

// Shortfalls returns the classes that miss their targets, in order of name.
func (a *Accounts) Shortfalls(now time.Time) []Shortfall {
	var list []Shortfall
	for name, acc := range a.classes {
		acc.decay(now)
		if acc.missed < shortfallMinimum {
			continue
		}
		s := Shortfall{Class: name, Missed: acc.missed / acc.wakes, Refused: acc.refused / acc.wakes}
		if acc.late > 0 {
			s.Excess = time.Duration(acc.excess / acc.late * float64(time.Second))
		}
		s.Bottleneck, s.Needs = acc.needs()
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Shortfall) int { return cmp.Compare(a.Class, b.Class) })
	return list
}

func (a *account) needs() (Bottleneck, string) {
	var most Bottleneck
	for b, c := range a.causes {
		if most == "" || c.weight > a.causes[most].weight || (c.weight == a.causes[most].weight && b < most) {
			most = b
		}
	}
	mean := a.causes[most].factor / a.causes[most].weight
	switch most {
	case BottleneckMemory:
		return most, fmt.Sprintf("%.1f GiB more memory on one server, by a larger memory_share or another server", mean/(1<<30))
	case BottleneckStore:
		return most, fmt.Sprintf("store_loads_per_second and store_loads_at_once %.1f times as large", mean)
	case BottleneckTransfer:
		return most, fmt.Sprintf("loads %.1f times as fast, or more idle_accelerators to keep models loaded", mean)
	case BottleneckReplicas:
		return most, "more replicas_per_model, so that each zone has a share"
	default:
		return most, "servers of the model's service that stay"
	}
}
