package placement

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/targets"
)

// Bottleneck is the cause of a missed objective of a class.
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
	// shortfallHalfLife is the half-life of the weight of past wakes.
	shortfallHalfLife = time.Hour
	// minMissedWakes is the decayed number of missed wakes from which a shortfall is reported,
	// so that a single late start isn't reported.
	minMissedWakes = 3
)

// Wake is the result of loading a cold model for its callers.
type Wake struct {
	Class *targets.Class
	// Plan and Refusal are what Place returned.
	Plan    Plan
	Refusal *Refusal
}

// Shortfall describes by how much a class misses its objectives.
type Shortfall struct {
	Class string `json:"class"`
	// Missed is the fraction of recent wakes that missed start_within.
	Missed float64 `json:"missed"`
	// Refused is the fraction that was refused.
	Refused float64 `json:"refused"`
	// Excess is the mean time by which late wakes exceeded start_within.
	Excess time.Duration `json:"excess"`
	// Bottleneck is the most frequent cause, and Needs describes what would remove it.
	Bottleneck Bottleneck `json:"bottleneck"`
	Needs      string     `json:"needs"`
}

// WakeStats counts wakes by class, with exponential decay. The zero value is ready to use.
type WakeStats struct {
	classes map[string]*classStats
}

type classStats struct {
	updatedAt             time.Time
	wakes, missed         float64
	refused, late, excess float64
	causes                map[Bottleneck]*bottleneckStats
}

// bottleneckStats aggregates the misses with one cause.
type bottleneckStats struct {
	weight float64
	// factor is the sum of the factors by which the resource was too slow or, for memory, of
	// the bytes lacking.
	factor float64
}

func (s *classStats) decay(now time.Time) {
	elapsed := now.Sub(s.updatedAt)
	if elapsed <= 0 {
		return
	}
	f := math.Exp2(-elapsed.Seconds() / shortfallHalfLife.Seconds())
	s.updatedAt = now
	for _, v := range []*float64{&s.wakes, &s.missed, &s.refused, &s.late, &s.excess} {
		*v *= f
	}
	for _, b := range s.causes {
		b.weight *= f
		b.factor *= f
	}
}

// Record adds a wake.
func (s *WakeStats) Record(now time.Time, w Wake) {
	if w.Class == nil {
		return
	}
	if s.classes == nil {
		s.classes = map[string]*classStats{}
	}
	class := s.classes[w.Class.Name]
	if class == nil {
		class = &classStats{updatedAt: now, causes: map[Bottleneck]*bottleneckStats{}}
		s.classes[w.Class.Name] = class
	}
	class.decay(now)
	class.wakes++
	start := w.Class.StartWithin.D()
	if w.Refusal == nil && w.Plan.ReadyIn <= start {
		return
	}
	class.missed++
	if w.Refusal != nil {
		class.refused++
	}
	if w.Plan.Action != ActionNone {
		class.late++
		class.excess += (w.Plan.ReadyIn - start).Seconds()
	}
	bottleneck, factor := w.bottleneck(start)
	stats := class.causes[bottleneck]
	if stats == nil {
		stats = &bottleneckStats{}
		class.causes[bottleneck] = stats
	}
	stats.weight++
	stats.factor += factor
}

// bottleneck returns the cause of a miss. The number is the bytes lacking for memory, and
// otherwise the factor by which the resource was too slow.
func (w *Wake) bottleneck(start time.Duration) (Bottleneck, float64) {
	if w.Refusal != nil {
		switch w.Refusal.Reason {
		case ReasonNoMemory:
			return BottleneckMemory, float64(w.Refusal.LackingBytes)
		case ReasonNoReplica:
			return BottleneckReplicas, 1
		case ReasonNoServer:
			return BottleneckNoServers, 1
		case ReasonTooLate:
		}
	}
	transfer := w.Plan.ReadyIn - w.Plan.StartIn
	if w.Plan.Store && w.Plan.StartIn > transfer {
		remaining := max(start-transfer, 100*time.Millisecond)
		return BottleneckStore, w.Plan.StartIn.Seconds() / remaining.Seconds()
	}
	remaining := max(start-w.Plan.StartIn, 100*time.Millisecond)
	return BottleneckTransfer, transfer.Seconds() / remaining.Seconds()
}

// Shortfalls returns the classes that miss their objectives, sorted by name.
func (s *WakeStats) Shortfalls(now time.Time) []Shortfall {
	var list []Shortfall
	for name, class := range s.classes {
		class.decay(now)
		if class.missed < minMissedWakes {
			continue
		}
		shortfall := Shortfall{Class: name, Missed: class.missed / class.wakes, Refused: class.refused / class.wakes}
		if class.late > 0 {
			shortfall.Excess = time.Duration(class.excess / class.late * float64(time.Second))
		}
		shortfall.Bottleneck, shortfall.Needs = class.mainBottleneck()
		list = append(list, shortfall)
	}
	slices.SortFunc(list, func(a, b Shortfall) int { return cmp.Compare(a.Class, b.Class) })
	return list
}

// mainBottleneck returns the most frequent cause and what would remove it.
func (s *classStats) mainBottleneck() (Bottleneck, string) {
	var most Bottleneck
	for b, stats := range s.causes {
		if most == "" || stats.weight > s.causes[most].weight || (stats.weight == s.causes[most].weight && b < most) {
			most = b
		}
	}
	mean := s.causes[most].factor / s.causes[most].weight
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
