package slotturns_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/slotturns"
)

var start = time.Unix(1_800_000_000, 0)

const (
	aim   = 500 * time.Millisecond
	limit = 5 * time.Second
)

func request(at time.Time, model string) slotturns.Request {
	return slotturns.Request{Route: "quick", Model: model, Due: at.Add(aim), Limit: at.Add(limit)}
}

// TestBurst replays two seconds of twice what the slots can take. In the order of
// arrival nearly all would be late until the burst has been worked off.
func TestBurst(t *testing.T) {
	const (
		tick     = 10 * time.Millisecond
		arrivals = 2 // each tick while the burst lasts
		burst    = 200
		span     = 1000
	)
	turns := slotturns.New()
	var line []time.Time // the same burst, first come first served
	onTime, onTimeInLine, served := 0, 0, 0
	for n := range span {
		now := start.Add(time.Duration(n) * tick)
		for range arrivals {
			if n < burst || n%2 == 0 {
				turns.Join(now, request(now, fmt.Sprint("m", n%3)))
				line = append(line, now)
			}
		}
		given := 0
		turns.GiveOut(now, func(ticket *slotturns.Ticket) (bool, bool) {
			if given == 1 {
				return false, true
			}
			given++
			served++
			if now.Before(ticket.Due) {
				onTime++
			}
			return true, false
		})
		if len(line) > 0 {
			if now.Before(line[0].Add(aim)) {
				onTimeInLine++
			}
			line = line[1:]
		}
	}
	require.Equal(t, span, served, "a slot never stays free while somebody waits")
	assert.Greater(t, onTime, 2*onTimeInLine, "most can be on time")
}

// TestEveryFlowIsServed: whatever keeps coming, each flow gets its share.
func TestEveryFlowIsServed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		turns := slotturns.New()
		flows := rapid.IntRange(2, 5).Draw(t, "flows")
		served := make([]int, flows)
		route := func(f int) slotturns.Request {
			r := request(start, "m")
			r.Route, r.Priority, r.Lasting = fmt.Sprint(f), f, f%2 == 0
			return r
		}
		for f := range flows {
			turns.Join(start, route(f))
		}
		const rounds = 1000
		for range rounds {
			turns.GiveOut(start, oneOf(func(ticket *slotturns.Ticket) {
				var f int
				_, err := fmt.Sscan(ticket.Route, &f)
				require.NoError(t, err)
				served[f]++
				turns.Join(start, route(f))
			}))
		}
		for f, n := range served {
			require.Positive(t, n, "flow %d of %v", f, served)
		}
	})
}

// oneOf takes the first request that is offered.
func oneOf(taken func(*slotturns.Ticket)) func(*slotturns.Ticket) (bool, bool) {
	done := false
	return func(ticket *slotturns.Ticket) (bool, bool) {
		if done {
			return false, true
		}
		done = true
		taken(ticket)
		return true, false
	}
}

func TestFullModelsAreAskedAboutOnce(t *testing.T) {
	turns := slotturns.New()
	for range 5 {
		turns.Join(start, request(start, "full"))
	}
	free := turns.Join(start, request(start, "free"))
	asked := 0
	turns.GiveOut(start, func(ticket *slotturns.Ticket) (bool, bool) {
		if ticket == free {
			return true, false
		}
		asked++
		return false, true
	})
	assert.Equal(t, 1, asked)
}

func TestLeave(t *testing.T) {
	turns := slotturns.New()
	gone, stays := turns.Join(start, request(start, "m")), turns.Join(start, request(start, "m"))
	late := start.Add(aim)
	turns.GiveOut(late, func(*slotturns.Ticket) (bool, bool) { return false, true })
	turns.Leave(gone)
	var got []*slotturns.Ticket
	turns.GiveOut(late, func(ticket *slotturns.Ticket) (bool, bool) {
		got = append(got, ticket)
		return true, false
	})
	assert.Equal(t, []*slotturns.Ticket{stays}, got)
}
