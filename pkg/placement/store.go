package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/port"
)

// StoreLoad is a load that reads from the weight store.
type StoreLoad struct {
	// ID names the load: the model while it waits, the intent once it runs.
	ID    string
	Model port.ModelID
	// Took is the estimated duration.
	Took time.Duration
	// Deadline is the latest useful end; zero if nobody waits.
	Deadline time.Time
	Waiting  int
	Priority int
}

// StoreQueue holds the loads that wait for the weight store and admits them
// within the zone's share of starts per second and of loads at once. It isn't
// safe for concurrent use.
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

// NewStoreQueue returns a queue with the zone's share. The first start isn't
// admitted before one interval has passed, since a predecessor may just have
// used one.
func NewStoreQueue(now time.Time, perSecond float64, atOnce int) *StoreQueue {
	q := &StoreQueue{}
	q.SetShare(perSecond, atOnce)
	q.nextStart = now.Add(q.interval())
	return q
}

// SetShare changes the zone's share. Loads that run above a smaller share end by
// themselves; none starts before the number is below it.
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

// Enter adds a load to those that wait, or replaces the one with its ID.
func (q *StoreQueue) Enter(l StoreLoad) {
	at := slices.IndexFunc(q.waiting, func(w StoreLoad) bool { return w.ID == l.ID })
	if at >= 0 {
		q.waiting[at] = l
		return
	}
	q.waiting = append(q.waiting, l)
}

// Leave takes a waiting load away, such as when its callers have gone.
func (q *StoreQueue) Leave(id string) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w StoreLoad) bool { return w.ID == id })
}

// Next admits the load that goes first, if one may start now, and takes it off
// the waiting ones. The caller records the decision and calls Start with the
// intent's ID. Without one, again is when to ask next; zero if nothing waits or
// only the end of a running load can change that.
func (q *StoreQueue) Next(now time.Time) (l StoreLoad, again time.Time, ok bool) {
	if len(q.waiting) == 0 || len(q.running) >= q.atOnce {
		return StoreLoad{}, time.Time{}, false
	}
	if now.Before(q.nextStart) {
		return StoreLoad{}, q.nextStart, false
	}
	first := q.order(now, q.waiting)[0]
	q.Leave(first.ID)
	return first, time.Time{}, true
}

// Start counts a load as running. It is called for every load from the store
// that was decided, also for those that a predecessor decided, whether or not
// Next admitted it.
func (q *StoreQueue) Start(now time.Time, l StoreLoad) {
	if slices.ContainsFunc(q.running, func(r runningLoad) bool { return r.ID == l.ID }) {
		return
	}
	q.running = append(q.running, runningLoad{StoreLoad: l, started: now})
	q.nextStart = now.Add(q.interval())
}

// End gives the slot of a running load back. It is called only when the load is
// proved to have ended: ready, refused, or lost with its engine. A load that is
// merely late keeps its slot, since it may still read from the store.
func (q *StoreQueue) End(id string) {
	q.running = slices.DeleteFunc(q.running, func(r runningLoad) bool { return r.ID == id })
}

// Running is the number of loads at once.
func (q *StoreQueue) Running() int { return len(q.running) }

// Waiting is the number of loads that wait.
func (q *StoreQueue) Waiting() int { return len(q.waiting) }

// Slowdown is how many times longer than estimated the slowest running load has
// taken so far; at least 1.
func (q *StoreQueue) Slowdown(now time.Time) float64 {
	slowest := 1.0
	for _, r := range q.running {
		if r.Took > 0 {
			slowest = max(slowest, now.Sub(r.started).Seconds()/r.Took.Seconds())
		}
	}
	return slowest
}

// left estimates how long a running load still takes.
func (r *runningLoad) left(now time.Time) time.Duration {
	return progress{started: r.started, took: r.Took}.left(now)
}

// StartIn estimates how long a load would wait before it starts, if it were
// entered now. Without any share it never does; that is maxInterval.
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
	for _, w := range q.order(now, append(others, l)) {
		start := slots.take(w.Took)
		if w.ID == l.ID {
			return start
		}
	}
	return 0
}

// slots foretells when loads can start.
type slots struct {
	free     []time.Duration // when each slot becomes free
	next     time.Duration   // when the rate admits the next start
	interval time.Duration
}

// slots returns the slots as far as loads can use them.
func (q *StoreQueue) slots(now time.Time, loads int) slots {
	s := slots{interval: q.interval(), next: max(0, q.nextStart.Sub(now))}
	for i := range q.running {
		s.free = append(s.free, q.running[i].left(now))
	}
	slices.Sort(s.free)
	// Above the share, the first to end free no slot.
	if extra := len(s.free) - q.atOnce; extra > 0 {
		s.free = s.free[extra:]
	}
	for len(s.free) < min(q.atOnce, len(q.running)+loads) {
		s.free = append(s.free, 0)
	}
	return s
}

func (s *slots) take(took time.Duration) time.Duration {
	first := 0
	for i := range s.free {
		if s.free[i] < s.free[first] {
			first = i
		}
	}
	start := max(s.free[first], s.next)
	s.free[first] = start + took
	s.next = start + s.interval
	return start
}

// order sorts loads in the order in which they should start: by deadline, as
// long as all can meet theirs. Where that isn't so, the loads that give up the
// least go behind all others: lower priority first, then fewer waiting callers
// per second of load (Moore and Hodgson's rule with weights).
func (q *StoreQueue) order(now time.Time, loads []StoreLoad) []StoreLoad {
	sorted := slices.Clone(loads)
	slices.SortFunc(sorted, compareDeadline)
	var inTime, late []StoreLoad
	for _, l := range sorted {
		if l.Deadline.IsZero() {
			late = append(late, l)
			continue
		}
		inTime = append(inTime, l)
		for !q.meets(now, inTime) {
			least := slices.MinFunc(inTime, compareGain)
			late = append(late, least)
			inTime = slices.DeleteFunc(inTime, func(l StoreLoad) bool { return l.ID == least.ID })
		}
	}
	slices.SortFunc(late, func(a, b StoreLoad) int { return compareGain(b, a) })
	return append(inTime, late...)
}

// meets reports whether the loads, started in the order given, all end in time.
func (q *StoreQueue) meets(now time.Time, loads []StoreLoad) bool {
	if q.atOnce <= 0 {
		return len(loads) == 0
	}
	s := q.slots(now, len(loads))
	for _, l := range loads {
		if end := s.take(l.Took) + l.Took; end > l.Deadline.Sub(now) {
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

// compareGain is negative if starting a serves callers less than starting b.
func compareGain(a, b StoreLoad) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.gain(), b.gain()),
		cmp.Compare(b.ID, a.ID),
	)
}

func (l *StoreLoad) gain() float64 {
	return float64(l.Waiting) / max(l.Took.Seconds(), 0.001)
}
