package slotqueue_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/slotqueue"
)

// overload plays ten seconds of arrivals at three times the rate at which slots become free, with
// requests that leave after two seconds. refuse decides whether a request is refused while it waits.
func overload(refuse func(expected, left time.Duration) bool) (served int, refusedAfter []time.Duration, left int) {
	const tick, patience = 10 * time.Millisecond, 2 * time.Second
	queue := slotqueue.New()
	waiting := map[*slotqueue.Ticket]time.Time{}
	for n := range 1000 {
		now := start.Add(time.Duration(n) * tick)
		for ticket, arrived := range waiting {
			switch remaining := arrived.Add(patience).Sub(now); {
			case remaining <= 0:
				left++
			case refuse(queue.Expect(now, ticket), remaining):
				refusedAfter = append(refusedAfter, now.Sub(arrived))
			default:
				continue
			}
			queue.Remove(now, ticket)
			delete(waiting, ticket)
		}
		for range 3 {
			waiting[queue.Enqueue(now, slotqueue.Request{Route: "r", Model: "m", Objective: now.Add(objective), Deadline: now.Add(patience)})] = now
		}
		queue.Dispatch(now, acceptOne(func(ticket *slotqueue.Ticket) {
			served++
			delete(waiting, ticket)
		}))
	}
	return served, refusedAfter, left
}

// Requests that won't be served must be refused soon, not held until their clients leave, and no
// slot may stay free for that.
func TestReplayOfAnOverload(t *testing.T) {
	served, _, left := overload(func(time.Duration, time.Duration) bool { return false })
	assert.Greater(t, left, 1000, "without an estimate all others are held")
	servedToo, refused, leftToo := overload(func(expected, left time.Duration) bool { return expected > 2*left })
	t.Logf("served %d and %d, left late %d and %d, refused %d", served, servedToo, left, leftToo, len(refused))
	assert.Equal(t, served, servedToo)
	assert.Less(t, leftToo, left/10)
	early := 0
	for _, after := range refused {
		if after < time.Second {
			early++
		}
	}
	assert.Greater(t, early, len(refused)/2)
}

// Nothing is known without grants, and a rate of the past doesn't count after a pause.
func TestExpectNeedsGrants(t *testing.T) {
	queue := slotqueue.New()
	grant := func(now time.Time) { queue.Dispatch(now, acceptOne(func(*slotqueue.Ticket) {})) }
	for range 20 {
		queue.Enqueue(start, request(start, "m"))
	}
	last := queue.Enqueue(start, request(start, "m"))
	assert.Zero(t, queue.Expect(start, last))
	now := start
	for range 10 {
		now = now.Add(10 * time.Millisecond)
		grant(now)
	}
	assert.InDelta(t, 110*time.Millisecond, queue.Expect(now, last), float64(20*time.Millisecond))
	assert.Greater(t, queue.Expect(now.Add(time.Second), last), 5*time.Second, "nothing has been granted for a second")
	for range 11 {
		grant(now)
	}
	later := now.Add(time.Minute)
	assert.Zero(t, queue.Expect(later, queue.Enqueue(later, request(later, "m"))))
}

// A client that was refused before must not wait behind all that came meanwhile.
func TestReturningClientsAreNotPutLast(t *testing.T) {
	queue := slotqueue.New()
	for range 5 {
		queue.Enqueue(start, request(start, "m"))
	}
	returning := request(start.Add(100*time.Millisecond), "m")
	returning.Spent = time.Second
	ticket := queue.Enqueue(start, returning)
	queue.Dispatch(start, acceptOne(func(first *slotqueue.Ticket) { assert.Same(t, ticket, first) }))
}

// Flows of equal weight share the server time, not the number of slots: a route whose requests take
// four times as long must not get four times as much of the servers.
func TestFlowsAreChargedTheServerTime(t *testing.T) {
	queue := slotqueue.New()
	served := map[string]int{}
	add := func(route string, work time.Duration) {
		r := request(start, "m")
		r.Route, r.Work = route, work
		queue.Enqueue(start, r)
	}
	works := map[string]time.Duration{"long": 400 * time.Millisecond, "short": 100 * time.Millisecond}
	add("long", works["long"])
	add("short", works["short"])
	for range 1000 {
		queue.Dispatch(start, acceptOne(func(ticket *slotqueue.Ticket) {
			served[ticket.Route]++
			add(ticket.Route, works[ticket.Route])
		}))
	}
	assert.InDelta(t, 4, float64(served["short"])/float64(served["long"]), 0.6)
}

// A more urgent account or route is served at least as often, down to the last priority.
func TestMoreUrgentIsServedMoreOften(t *testing.T) {
	for p := range 9 {
		queue := slotqueue.New()
		served := [2]int{}
		add := func(priority int) {
			r := request(start, "m")
			r.Route, r.Priority = string(rune('a'+priority)), priority
			queue.Enqueue(start, r)
		}
		add(p)
		add(p + 1)
		for range 100 {
			queue.Dispatch(start, acceptOne(func(ticket *slotqueue.Ticket) {
				served[ticket.Priority-p]++
				add(ticket.Priority)
			}))
		}
		assert.Greater(t, served[0], served[1], "priority %d", p)
		assert.Positive(t, served[1])
	}
}

// Time in which nobody waited was taken for time without grants, so that the first requests of the next
// burst were refused.
func TestPauseOfTheQueueIsNoPauseOfTheGrants(t *testing.T) {
	queue := slotqueue.New()
	now := start
	for range 20 {
		queue.Enqueue(now, request(now, "m"))
		now = now.Add(20 * time.Millisecond)
		queue.Dispatch(now, acceptOne(func(*slotqueue.Ticket) {}))
	}
	now = now.Add(900 * time.Millisecond)
	var last *slotqueue.Ticket
	for range 20 {
		last = queue.Enqueue(now, request(now, "m"))
	}
	assert.Less(t, queue.Expect(now, last), time.Second)
}

// One interval of a few means was taken for the mean of all, so that those at the back of the queue were
// refused.
func TestOneLongIntervalIsNotTheMean(t *testing.T) {
	queue := slotqueue.New()
	var last *slotqueue.Ticket
	for range 60 {
		last = queue.Enqueue(start, request(start, "m"))
	}
	now := start
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		queue.Dispatch(now, acceptOne(func(*slotqueue.Ticket) {}))
	}
	before := queue.Expect(now, last)
	require.Positive(t, before)
	assert.Equal(t, before, queue.Expect(now.Add(400*time.Millisecond), last))
}

// Accounts of different ranks on one route shared a flow, whose weight was that of whoever came first.
func TestRanksOfAccountsOnOneRoute(t *testing.T) {
	queue := slotqueue.New()
	for i := range 20 {
		r := request(start, "m")
		r.Priority = i % 2 * 3
		queue.Enqueue(start, r)
	}
	served := map[int]int{}
	for range 10 {
		queue.Dispatch(start, acceptOne(func(ticket *slotqueue.Ticket) { served[ticket.Priority]++ }))
	}
	assert.GreaterOrEqual(t, served[0], 8)
}
