package slotqueue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/slotqueue"
)

var start = time.Unix(1_800_000_000, 0)

const (
	objective = 500 * time.Millisecond
	deadline  = 5 * time.Second
)

func request(at time.Time, model string) slotqueue.Request {
	return slotqueue.Request{Route: "quick", Model: model, Objective: at.Add(objective), Deadline: at.Add(deadline)}
}

// TestBurst simulates two seconds of arrivals at twice the service rate. In arrival order
// nearly all requests would miss their objective until the backlog has been served.
func TestBurst(t *testing.T) {
	const (
		tick     = 10 * time.Millisecond
		arrivals = 2 // each tick while the burst lasts
		burst    = 200
		span     = 1000
	)
	queue := slotqueue.New()
	var fifo []time.Time // arrivals of the same burst, served first come, first served
	onTime, onTimeFIFO, served := 0, 0, 0
	for n := range span {
		now := start.Add(time.Duration(n) * tick)
		for range arrivals {
			if n < burst || n%2 == 0 {
				queue.Enqueue(now, request(now, fmt.Sprint("m", n%3)))
				fifo = append(fifo, now)
			}
		}
		assigned := 0
		queue.Dispatch(now, func(ticket *slotqueue.Ticket) (bool, bool) {
			if assigned == 1 {
				return false, true
			}
			assigned++
			served++
			if now.Before(ticket.Objective) {
				onTime++
			}
			return true, false
		})
		if len(fifo) > 0 {
			if now.Before(fifo[0].Add(objective)) {
				onTimeFIFO++
			}
			fifo = fifo[1:]
		}
	}
	require.Equal(t, span, served, "no slot stays free while a request waits")
	assert.Greater(t, onTime, 2*onTimeFIFO, "most requests meet their objective")
}

// TestEveryFlowIsServed checks that no flow starves while all flows stay backlogged.
func TestEveryFlowIsServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := slotqueue.New()
		flows := rapid.IntRange(2, 5).Draw(t, "flows")
		served := make([]int, flows)
		route := func(f int) slotqueue.Request {
			r := request(start, "m")
			r.Route, r.Priority, r.NonRepeatable = fmt.Sprint(f), f, f%2 == 0
			return r
		}
		for f := range flows {
			queue.Enqueue(start, route(f))
		}
		const rounds = 1000
		for range rounds {
			queue.Dispatch(start, acceptOne(func(ticket *slotqueue.Ticket) {
				var f int
				_, err := fmt.Sscan(ticket.Route, &f)
				require.NoError(t, err)
				served[f]++
				queue.Enqueue(start, route(f))
			}))
		}
		for f, n := range served {
			require.Positive(t, n, "flow %d of %v", f, served)
		}
	})
}

// acceptOne accepts the first request that is offered a slot and rejects all others.
func acceptOne(accepted func(*slotqueue.Ticket)) func(*slotqueue.Ticket) (bool, bool) {
	done := false
	return func(ticket *slotqueue.Ticket) (bool, bool) {
		if done {
			return false, true
		}
		done = true
		accepted(ticket)
		return true, false
	}
}

func TestFullModelsAreOfferedASlotOnce(t *testing.T) {
	queue := slotqueue.New()
	for range 5 {
		queue.Enqueue(start, request(start, "full"))
	}
	free := queue.Enqueue(start, request(start, "free"))
	offers := 0
	queue.Dispatch(start, func(ticket *slotqueue.Ticket) (bool, bool) {
		if ticket == free {
			return true, false
		}
		offers++
		return false, true
	})
	assert.Equal(t, 1, offers)
}

func TestRemove(t *testing.T) {
	queue := slotqueue.New()
	removed, waiting := queue.Enqueue(start, request(start, "m")), queue.Enqueue(start, request(start, "m"))
	late := start.Add(objective)
	queue.Dispatch(late, func(*slotqueue.Ticket) (bool, bool) { return false, true })
	queue.Remove(late, removed)
	var got []*slotqueue.Ticket
	queue.Dispatch(late, func(ticket *slotqueue.Ticket) (bool, bool) {
		got = append(got, ticket)
		return true, false
	})
	assert.Equal(t, []*slotqueue.Ticket{waiting}, got)
}
