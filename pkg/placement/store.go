package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// StoreLoad is a load that reads from the weight store.
type StoreLoad struct {
	// ID identifies the load: the model ID while it waits, the intent ID while it runs.
	ID    string
	Model port.ModelID
	// Estimate is the estimated duration.
	Estimate time.Duration
	// Deadline is the latest time at which the end of the load is useful; zero if no caller
	// waits.
	Deadline time.Time
	Waiting  int
	Priority int
}

// StoreQueue holds the loads that wait for the weight store. It admits them within the zone's
// share of the limits on starts per second and on concurrent loads. It isn't safe for
// concurrent use.
type StoreQueue struct {
	perSecond float64
	atOnce    int
	nextStart time.Time
	waiting   []StoreLoad
	running   []runningLoad
}

type runningLoad struct {
	StoreLoad
	started time.Time
}

// NewStoreQueue returns a queue with the zone's share of the limits: perSecond starts per
// second and atOnce concurrent loads. It admits no load before one start interval has passed,
// since the previous holder may just have started one.
func NewStoreQueue(now time.Time, perSecond float64, atOnce int) *StoreQueue {
	q := &StoreQueue{}
	q.SetShare(perSecond, atOnce)
	q.nextStart = now.Add(q.interval())
	return q
}

// SetShare changes the zone's share of the limits. Running loads above a smaller share aren't
// interrupted, and no load starts until their number is below it.
func (q *StoreQueue) SetShare(perSecond float64, atOnce int) {
	q.perSecond, q.atOnce = perSecond, atOnce
}

const maxInterval = time.Hour

func (q *StoreQueue) interval() time.Duration {
	if q.perSecond <= 0 {
		return maxInterval
	}
	return min(maxInterval, time.Duration(float64(time.Second)/q.perSecond))
}

// Add adds a load to the queue, or replaces the waiting load with the same ID.
func (q *StoreQueue) Add(l StoreLoad) {
	at := slices.IndexFunc(q.waiting, func(w StoreLoad) bool { return w.ID == l.ID })
	if at >= 0 {
		q.waiting[at] = l
		return
	}
	q.waiting = append(q.waiting, l)
}

// Remove removes a waiting load, for example when no caller waits for it any more.
func (q *StoreQueue) Remove(id string) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w StoreLoad) bool { return w.ID == id })
}

// Next removes and returns the first waiting load if it may start now. The caller records the
// decision and calls Start with the ID of the intent. If no load may start, again is when to
// call Next again; it is zero if no load waits or only the end of a running load can change
// the result.
func (q *StoreQueue) Next(now time.Time) (l StoreLoad, again time.Time, ok bool) {
	if len(q.waiting) == 0 || len(q.running) >= q.atOnce {
		return StoreLoad{}, time.Time{}, false
	}
	if now.Before(q.nextStart) {
		return StoreLoad{}, q.nextStart, false
	}
	first := q.startOrder(now, q.waiting)[0]
	q.Remove(first.ID)
	return first, time.Time{}, true
}

// Start records a load as running. It must be called for every decided load from the weight
// store, including those that Next didn't return, such as loads decided by an earlier holder.
func (q *StoreQueue) Start(now time.Time, l StoreLoad) {
	if slices.ContainsFunc(q.running, func(r runningLoad) bool { return r.ID == l.ID }) {
		return
	}
	q.running = append(q.running, runningLoad{StoreLoad: l, started: now})
	q.nextStart = now.Add(q.interval())
}

// End releases the slot of a running load. It must only be called when the load is known to
// have ended: ready, refused, or lost with its engine. An overdue load retains its slot, since
// it may still be reading from the store.
func (q *StoreQueue) End(id string) {
	q.running = slices.DeleteFunc(q.running, func(r runningLoad) bool { return r.ID == id })
}

// Running returns the number of running loads.
func (q *StoreQueue) Running() int { return len(q.running) }

// Waiting returns the number of waiting loads.
func (q *StoreQueue) Waiting() int { return len(q.waiting) }

// Slowdown returns the largest ratio of elapsed to estimated duration among the running loads;
// at least 1.
func (q *StoreQueue) Slowdown(now time.Time) float64 {
	slowest := 1.0
	for _, r := range q.running {
		if r.Estimate > 0 {
			slowest = max(slowest, now.Sub(r.started).Seconds()/r.Estimate.Seconds())
		}
	}
	return slowest
}

// remaining estimates the remaining duration of a running load.
func (r *runningLoad) remaining(now time.Time) time.Duration {
	return progress{started: r.started, estimate: r.Estimate}.remaining(now)
}

// StartIn estimates how long a load would wait until it starts if it were added now. If the
// zone has no share it returns maxInterval.
func (q *StoreQueue) StartIn(now time.Time, l StoreLoad) time.Duration {
	if q.atOnce <= 0 {
		return maxInterval
	}
	others := make([]StoreLoad, 0, len(q.waiting)+1)
	for _, w := range q.waiting {
		if w.ID != l.ID {
			others = append(others, w)
		}
	}
	slots := q.slots(now, len(others)+1)
	for _, w := range q.startOrder(now, append(others, l)) {
		start := slots.reserve(w.Estimate)
		if w.ID == l.ID {
			return start
		}
	}
	return 0
}

// slotSchedule predicts when loads can start.
type slotSchedule struct {
	freeAt   []time.Duration // when each slot becomes free
	next     time.Duration   // when the rate admits the next start
	interval time.Duration
}

// slots returns the schedule of the slots that the given number of waiting loads can use.
func (q *StoreQueue) slots(now time.Time, loads int) slotSchedule {
	s := slotSchedule{interval: q.interval(), next: max(0, q.nextStart.Sub(now))}
	for i := range q.running {
		s.freeAt = append(s.freeAt, q.running[i].remaining(now))
	}
	slices.Sort(s.freeAt)
	// If more loads run than the share allows, the first to end free no slot.
	if extra := len(s.freeAt) - q.atOnce; extra > 0 {
		s.freeAt = s.freeAt[extra:]
	}
	for len(s.freeAt) < min(q.atOnce, len(q.running)+loads) {
		s.freeAt = append(s.freeAt, 0)
	}
	return s
}

// reserve assigns a load to the slot that becomes free first, and returns when the load
// starts.
func (s *slotSchedule) reserve(estimate time.Duration) time.Duration {
	first := 0
	for i := range s.freeAt {
		if s.freeAt[i] < s.freeAt[first] {
			first = i
		}
	}
	start := max(s.freeAt[first], s.next)
	s.freeAt[first] = start + estimate
	s.next = start + s.interval
	return start
}

// startOrder returns the loads in the order in which they should start: by deadline, as long
// as all can meet theirs. Otherwise the loads with the lowest gain are moved behind all
// others: first those with lower priority, then those with fewer waiting callers per second of
// load (a weighted variant of the Moore-Hodgson algorithm).
func (q *StoreQueue) startOrder(now time.Time, loads []StoreLoad) []StoreLoad {
	sorted := slices.Clone(loads)
	slices.SortFunc(sorted, compareDeadline)
	var inTime, late []StoreLoad
	for _, l := range sorted {
		if l.Deadline.IsZero() {
			late = append(late, l)
			continue
		}
		inTime = append(inTime, l)
		for !q.meetsDeadlines(now, inTime) {
			least := slices.MinFunc(inTime, compareGain)
			late = append(late, least)
			inTime = slices.DeleteFunc(inTime, func(l StoreLoad) bool { return l.ID == least.ID })
		}
	}
	slices.SortFunc(late, func(a, b StoreLoad) int { return compareGain(b, a) })
	return append(inTime, late...)
}

// meetsDeadlines reports whether all loads end before their deadlines if they start in the
// given order.
func (q *StoreQueue) meetsDeadlines(now time.Time, loads []StoreLoad) bool {
	if q.atOnce <= 0 {
		return len(loads) == 0
	}
	s := q.slots(now, len(loads))
	for _, l := range loads {
		if end := s.reserve(l.Estimate) + l.Estimate; end > l.Deadline.Sub(now) {
			return false
		}
	}
	return true
}

func compareDeadline(a, b StoreLoad) int {
	if c := a.Deadline.Compare(b.Deadline); c != 0 {
		return c
	}
	return cmp.Or(-compareGain(a, b), cmp.Compare(a.ID, b.ID))
}

// compareGain is negative if starting a has a lower gain for callers than starting b.
func compareGain(a, b StoreLoad) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.gain(), b.gain()),
		cmp.Compare(b.ID, a.ID),
	)
}

// gain returns the number of waiting callers per second of load.
func (l *StoreLoad) gain() float64 {
	return float64(l.Waiting) / max(l.Estimate.Seconds(), 0.001)
}
