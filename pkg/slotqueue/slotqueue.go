// Package slotqueue decides which waiting request gets a slot that becomes free. It is made
// for bursts, and for models with high demand, that fill all servers for some seconds. In that
// situation first-come, first-served would make nearly every request miss its objective, and
// strict priority would starve some requests.
//
// Waiting requests form flows by route, model, and whether they have missed their objective. A
// flow is ordered by deadline, and the flows share the free slots by weighted fair queueing,
// so that none of them starves. The weight stands for what an answer in time is worth to the
// caller, and a flow is charged the server time that its requests take.
package slotqueue

import (
	"sort"
	"strconv"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/queue"
)

const (
	// nonRepeatableWeight is the factor on the weight of requests that can't be repeated: they
	// are lost if they aren't served.
	nonRepeatableWeight = 4
	// onTimeWeight is the factor on the weight of requests that can still meet their
	// objective. A late answer has a quarter of the worth of one on time.
	onTimeWeight = 4
	// LateSlowdown is the factor by which requests that have missed their objective are served
	// more slowly while others of the same priority can still meet theirs.
	LateSlowdown = 1 + onTimeWeight
	// lowestPriority is the priority with the lowest weight, the last one that exists. Each step
	// towards 0 doubles the weight.
	lowestPriority = 9
	// minCost and maxCost bound the server time that a request is charged, relative to the mean:
	// the times are estimates.
	minCost, maxCost = 0.25, 4.0
	// meanWorkGain is the weight of a request in the mean server time.
	meanWorkGain = 1.0 / 32
)

// Request is a request that waits for a slot.
type Request struct {
	Route, Model string
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// NonRepeatable requests can't be repeated or resumed.
	NonRepeatable bool
	// Objective is the time until which an answer meets the latency objective. Deadline is the
	// time after which an answer is useless.
	Objective, Deadline time.Time
	// Spent is the time that the client has spent on earlier attempts. It moves the request
	// forward in its flow, so that clients that were refused don't wait behind those that came
	// meanwhile.
	Spent time.Duration
	// Work is the server time that the request takes; 0 if unknown.
	Work time.Duration
}

// Ticket is the queue position of a request.
type Ticket struct {
	Request

	late   bool
	queued *queue.Ticket
}

// Queue is the queue of requests that wait for the slots of one service. It isn't safe for
// concurrent use.
type Queue struct {
	queue   *queue.Queue
	tickets map[*queue.Ticket]*Ticket
	models  map[string]*pace
	// meanWork is the mean server time of requests, in seconds.
	meanWork float64
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{queue: queue.New(), tickets: map[*queue.Ticket]*Ticket{}, models: map[string]*pace{}}
}

// Enqueue adds a request to the queue.
func (q *Queue) Enqueue(now time.Time, r Request) *Ticket {
	ticket := &Ticket{Request: r}
	if work := r.Work.Seconds(); work > 0 {
		if q.meanWork == 0 {
			q.meanWork = work
		}
		q.meanWork += meanWorkGain * (work - q.meanWork)
	}
	q.paceOf(r.Model, now).waiting++
	q.push(now, ticket)
	return ticket
}

func (q *Queue) push(now time.Time, ticket *Ticket) {
	ticket.late = !now.Before(ticket.Objective)
	// A flow has one weight, so accounts of other ranks than their route's are flows of their own.
	class := strconv.Itoa(ticket.Priority) + " " + ticket.Route
	entry := queue.Request{
		Class: "on time " + class, Caller: ticket.Model, Deadline: ticket.Objective.Add(-ticket.Spent),
		Cost: q.cost(ticket.Work), Weight: weight(ticket.Priority, ticket.NonRepeatable, ticket.late),
	}
	if ticket.late {
		entry.Class, entry.Deadline = "late "+class, ticket.Deadline
	}
	ticket.queued = q.queue.Push(entry)
	q.tickets[ticket.queued] = ticket
}

// weight returns the weight of a flow in the fair queue.
func weight(priority int, nonRepeatable, late bool) int {
	w := 1 << (lowestPriority - min(max(priority, 0), lowestPriority))
	if nonRepeatable {
		w *= nonRepeatableWeight
	}
	if !late {
		w *= onTimeWeight
	}
	return w
}

// cost returns what a slot for a request is charged.
func (q *Queue) cost(work time.Duration) float64 {
	if work <= 0 || q.meanWork <= 0 {
		return 1
	}
	return min(max(work.Seconds()/q.meanWork, minCost), maxCost)
}

// Remove removes a request that no longer needs a slot.
func (q *Queue) Remove(now time.Time, ticket *Ticket) {
	q.remove(ticket)
	q.models[ticket.Model].left(now)
}

func (q *Queue) remove(ticket *Ticket) {
	q.queue.Remove(ticket.queued)
	delete(q.tickets, ticket.queued)
}

// Dispatch offers free slots to the requests in queue order until no request is accepted.
// assign tries to assign a slot to a request: assigned reports whether it succeeded, and full
// whether other requests for the same model would fail too.
func (q *Queue) Dispatch(now time.Time, assign func(*Ticket) (assigned, full bool)) {
	q.requeueLate(now)
	full := map[string]bool{}
	for q.dispatchOne(now, full, assign) {
	}
}

// dispatchOne offers a slot to the head of each flow in queue order until assign succeeds, and
// reports whether it did. Models in full are skipped.
func (q *Queue) dispatchOne(now time.Time, full map[string]bool, assign func(*Ticket) (assigned, full bool)) bool {
	for _, head := range q.queue.Heads() {
		ticket := q.tickets[head]
		if full[ticket.Model] {
			continue
		}
		assigned, modelFull := assign(ticket)
		if assigned {
			q.queue.Serve(head)
			delete(q.tickets, head)
			q.models[ticket.Model].granted(now)
			return true
		}
		full[ticket.Model] = modelFull
	}
	return false
}

// requeueLate moves requests that have missed their objective to the flow of late requests.
func (q *Queue) requeueLate(now time.Time) {
	var late []*Ticket
	for _, ticket := range q.tickets {
		if !ticket.late && !now.Before(ticket.Objective) {
			late = append(late, ticket)
		}
	}
	// Add them in the order of their deadlines, which is the order of the flow except for
	// equal deadlines.
	sort.Slice(late, func(i, j int) bool { return late[i].Deadline.Before(late[j].Deadline) })
	for _, ticket := range late {
		q.remove(ticket)
		q.push(now, ticket)
	}
}
