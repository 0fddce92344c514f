package queue

import (
	"container/heap"
	"slices"
	"sort"
	"time"
)

// Request describes a waiting request.
type Request struct {
	Class, Caller string
	// Weight is the weight of the request's flow relative to other flows; values below 1
	// count as 1.
	Weight int
	// Cost is what serving the request is charged to its flow, relative to other requests; 0
	// counts as 1.
	Cost float64
	// Deadline is the time after which it is useless to start the request.
	Deadline time.Time
	// Bytes is the memory that the request occupies while it waits.
	Bytes int64
}

// Ticket represents a request in a queue.
type Ticket struct {
	Request
	seq    uint64
	flow   *flow
	signal chan struct{}
	// refusal is written before the ticket's signal is sent, and read after the signal is
	// received.
	refusal error
}

// before reports whether t precedes u within a flow.
func (t *Ticket) before(u *Ticket) bool {
	if !t.Deadline.Equal(u.Deadline) {
		return t.Deadline.Before(u.Deadline)
	}
	return t.seq < u.seq
}

type flowKey struct{ class, caller string }

// flow holds the waiting requests of one class and caller, earliest deadline first.
type flow struct {
	key     flowKey
	weight  float64
	tickets []*Ticket
	// start is the virtual start time of the flow's next request.
	start float64
	index int
}

func (f *flow) head() *Ticket { return f.tickets[0] }
func (f *flow) tail() *Ticket { return f.tickets[len(f.tickets)-1] }

// position returns the index of the first ticket that does not precede t.
func (f *flow) position(t *Ticket) int {
	return sort.Search(len(f.tickets), func(i int) bool { return !f.tickets[i].before(t) })
}

func (f *flow) insert(t *Ticket) {
	at := f.position(t)
	f.tickets = append(f.tickets, nil)
	copy(f.tickets[at+1:], f.tickets[at:])
	f.tickets[at] = t
}

func (f *flow) remove(t *Ticket) {
	at := f.position(t)
	if at == 0 {
		f.tickets[0] = nil
		f.tickets = f.tickets[1:]
		return
	}
	copy(f.tickets[at:], f.tickets[at+1:])
	f.tickets[len(f.tickets)-1] = nil
	f.tickets = f.tickets[:len(f.tickets)-1]
}

// flowHeap orders flows by virtual start time, then by their first requests.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].head().before(h[j].head())
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}

// dispatchOrder sorts flows in the order of flowHeap without changing their heap indexes.
type dispatchOrder []*flow

func (b dispatchOrder) Len() int           { return len(b) }
func (b dispatchOrder) Less(i, j int) bool { return flowHeap(b).Less(i, j) }
func (b dispatchOrder) Swap(i, j int)      { b[i], b[j] = b[j], b[i] }

// finishSlack is the number of empty flows whose finish times are retained before expired
// ones are removed.
const finishSlack = 64

// Queue holds the waiting requests of one model. It is not safe for concurrent use.
type Queue struct {
	flows map[flowKey]*flow
	order flowHeap
	// finish holds the virtual finish times of flows that have become empty. Without
	// them, a flow that sends its next request only after the last was served would
	// always go first.
	finish map[flowKey]float64
	// virtual is the virtual time: the start time of the flow that was served last.
	virtual float64
	rate    rateEstimator
	seq     uint64
	len     int
}

// New returns an empty Queue.
func New() *Queue {
	return &Queue{flows: map[flowKey]*flow{}, finish: map[flowKey]float64{}}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.len }

// Push adds a request and returns its ticket.
func (q *Queue) Push(r Request) *Ticket {
	q.seq++
	t := &Ticket{Request: r, seq: q.seq}
	key := flowKey{r.Class, r.Caller}
	f := q.flows[key]
	if f == nil {
		f = &flow{key: key, weight: float64(max(r.Weight, 1)), start: max(q.virtual, q.finish[key])}
		q.flows[key] = f
		f.insert(t)
		heap.Push(&q.order, f)
	} else {
		f.insert(t)
		heap.Fix(&q.order, f.index)
	}
	t.flow = f
	q.len++
	return t
}

// Next returns the request to be started next, or nil if the queue is empty.
func (q *Queue) Next() *Ticket {
	if q.len == 0 {
		return nil
	}
	return q.order[0].head()
}

// Heads returns the first request of each flow in dispatch order, for callers that cannot
// start every request.
func (q *Queue) Heads() []*Ticket {
	flows := slices.Clone(q.order)
	sort.Sort(dispatchOrder(flows))
	heads := make([]*Ticket, len(flows))
	for i, f := range flows {
		heads[i] = f.head()
	}
	return heads
}

// Serve removes a request that is being started and charges it to its flow. It reports
// whether the request was in the queue.
func (q *Queue) Serve(t *Ticket) bool {
	f := t.flow
	if f == nil {
		return false
	}
	q.virtual = max(q.virtual, f.start)
	cost := t.Cost
	if cost <= 0 {
		cost = 1
	}
	f.start += cost / f.weight
	return q.Remove(t)
}

// Position returns how many requests of its flow precede a waiting request, and the share of its
// flow among the flows of the same caller.
func (q *Queue) Position(t *Ticket) (ahead int, share float64) {
	if t.flow == nil {
		return 0, 1
	}
	sum := 0.0
	for _, other := range q.order {
		if other.key.caller == t.flow.key.caller {
			sum += other.weight
		}
	}
	return t.flow.position(t), t.flow.weight / sum
}

// Remove removes a request that will not be started. It reports whether the request was
// in the queue.
func (q *Queue) Remove(t *Ticket) bool {
	f := t.flow
	if f == nil {
		return false
	}
	t.flow = nil
	q.len--
	if len(f.tickets) == 1 {
		// Remove the flow from the heap while it still has a ticket to be compared by.
		heap.Remove(&q.order, f.index)
		delete(q.flows, f.key)
		f.remove(t)
		q.retainFinish(f)
		return true
	}
	f.remove(t)
	heap.Fix(&q.order, f.index)
	return true
}

// retainFinish stores the finish time of a flow that has become empty, and removes
// expired finish times once there are too many.
func (q *Queue) retainFinish(f *flow) {
	if f.start > q.virtual {
		q.finish[f.key] = f.start
	}
	if len(q.finish) <= 2*len(q.flows)+finishSlack {
		return
	}
	for key, virtualFinish := range q.finish {
		if virtualFinish <= q.virtual {
			delete(q.finish, key)
		}
	}
}

// RemoveExpired removes and returns every request whose deadline is earlier than before.
func (q *Queue) RemoveExpired(before time.Time) []*Ticket {
	var refused []*Ticket
	for _, f := range q.flows {
		for _, t := range f.tickets {
			if !t.Deadline.Before(before) {
				break
			}
			refused = append(refused, t)
		}
	}
	for _, t := range refused {
		q.Remove(t)
	}
	return refused
}

// Drain removes and returns every request.
func (q *Queue) Drain() []*Ticket {
	tickets := make([]*Ticket, 0, q.len)
	for t := q.Next(); t != nil; t = q.Next() {
		q.Remove(t)
		tickets = append(tickets, t)
	}
	return tickets
}

// Worst returns the request that is least likely to meet its deadline if the model
// becomes ready at readyAt: one that cannot meet it at all, or else the last request of
// the flow with the most requests relative to its weight. It returns nil if the queue is
// empty.
func (q *Queue) Worst(readyAt time.Time) *Ticket {
	var longest *flow
	for _, f := range q.flows {
		if f.head().Deadline.Before(readyAt) {
			return f.head()
		}
		if longest == nil || f.load() > longest.load() ||
			f.load() == longest.load() && longest.tail().before(f.tail()) {
			longest = f
		}
	}
	if longest == nil {
		return nil
	}
	return longest.tail()
}

func (f *flow) load() float64 { return float64(len(f.tickets)) / f.weight }

// LatestDeadline returns the latest deadline of all requests, or the zero time if the
// queue is empty.
func (q *Queue) LatestDeadline() time.Time {
	var latest time.Time
	for _, f := range q.flows {
		if deadline := f.tail().Deadline; deadline.After(latest) {
			latest = deadline
		}
	}
	return latest
}
