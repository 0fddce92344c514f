// Package slotturns decides which waiting request gets a slot that frees. It answers
// a burst, or a model that many ask for at once, whose servers are full for some
// seconds: first come first served would then make every request late, and strict
// priority would starve some.
//
// Requests of one route, model and lateness form a flow, the most urgent first. The
// flows share what frees by weight, so each of them is served.
package slotturns

import (
	"sort"
	"time"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/queue"
)

const (
	// lastingWeight is the share of requests that can't be repeated against others:
	// they are lost for good if they aren't served.
	lastingWeight = 4
	// onTimeWeight is the share of requests that can still be on time against those
	// that are late already, which keep a quarter of their worth.
	onTimeWeight = 4
	// lowestPriority is the priority from which on requests weigh no less. Each
	// priority above it doubles the share.
	lowestPriority = 3
)

// Request is a request that waits for a slot.
type Request struct {
	Route, Model string
	// Priority is 0 for the most important routes.
	Priority int
	// Lasting requests can't be repeated or resumed.
	Lasting bool
	// Due is until when an answer is on time, Limit until when it is of use.
	Due, Limit time.Time
}

// Ticket is a request's place among the turns.
type Ticket struct {
	Request

	late bool
	turn *queue.Ticket
}

// Turns holds the requests that wait for the slots of one service. It isn't safe for
// concurrent use.
type Turns struct {
	queue   *queue.Queue
	tickets map[*queue.Ticket]*Ticket
}

// New returns turns that nobody waits for.
func New() *Turns {
	return &Turns{queue: queue.New(), tickets: map[*queue.Ticket]*Ticket{}}
}

// Join lets a request wait.
func (t *Turns) Join(now time.Time, r Request) *Ticket {
	ticket := &Ticket{Request: r}
	t.push(now, ticket)
	return ticket
}

func (t *Turns) push(now time.Time, ticket *Ticket) {
	ticket.late = !now.Before(ticket.Due)
	turn := queue.Request{
		Class: "on time " + ticket.Route, Caller: ticket.Model, Deadline: ticket.Due,
		Weight: weight(ticket.Priority, ticket.Lasting, ticket.late),
	}
	if ticket.late {
		turn.Class, turn.Deadline = "late "+ticket.Route, ticket.Limit
	}
	ticket.turn = t.queue.Push(turn)
	t.tickets[ticket.turn] = ticket
}

// weight is the share of a flow against the others.
func weight(priority int, lasting, late bool) int {
	w := 1 << (lowestPriority - min(max(priority, 0), lowestPriority))
	if lasting {
		w *= lastingWeight
	}
	if !late {
		w *= onTimeWeight
	}
	return w
}

// Leave takes a request out that needs no slot any more.
func (t *Turns) Leave(ticket *Ticket) {
	t.queue.Remove(ticket.turn)
	delete(t.tickets, ticket.turn)
}

// GiveOut gives slots to the requests in turn for as long as take accepts one. take
// reports whether the request got a slot; if not, it reports whether the others of
// its model wouldn't either.
func (t *Turns) GiveOut(now time.Time, take func(*Ticket) (given, full bool)) {
	t.sortLate(now)
	full := map[string]bool{}
	for t.giveOne(full, take) {
	}
}

func (t *Turns) giveOne(full map[string]bool, take func(*Ticket) (given, full bool)) bool {
	for _, turn := range t.queue.Heads() {
		ticket := t.tickets[turn]
		if full[ticket.Model] {
			continue
		}
		given, noneLeft := take(ticket)
		if given {
			t.queue.Serve(turn)
			delete(t.tickets, turn)
			return true
		}
		full[ticket.Model] = noneLeft
	}
	return false
}

// sortLate moves requests that have become late to the flow of those.
func (t *Turns) sortLate(now time.Time) {
	var late []*Ticket
	for _, ticket := range t.tickets {
		if !ticket.late && !now.Before(ticket.Due) {
			late = append(late, ticket)
		}
	}
	// Tickets of a flow are ordered by when they must be served, but for ties.
	sort.Slice(late, func(i, j int) bool { return late[i].Limit.Before(late[j].Limit) })
	for _, ticket := range late {
		t.Leave(ticket)
		t.push(now, ticket)
	}
}
