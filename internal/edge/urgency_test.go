package edge

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/account"
	"github.com/cyclamenhoist/cyclamenhoist/pkg/fleet"
)

// Servers preempted 237 requests, the newest of the least urgent ones. Requests that can't be repeated
// were sent with the same priority as others and were lost.
func TestRepeatableRequestsArePreemptedFirst(t *testing.T) {
	b := newSlotHarness(t, 1)
	directory, err := account.NewDirectory([]account.Keys{{Account: account.Account{Name: "a", Priority: 7, HasPriority: true}, Keys: []string{"k"}}})
	require.NoError(t, err)
	once, again := *nonRepeatable, *quick
	once.Priority, again.Priority = 2, 2
	manifest := fleet.NewManifest(2, []fleet.Route{once, again, {Name: "urgent", Priority: 0}}, nil, fleet.CallerLimits{})
	manifest.Accounts = directory
	require.Equal(t, []int{0, 2, 7}, manifest.Priorities())
	require.True(t, b.edge.views.SetManifest(manifest))
	urgency := func(route *fleet.Route, priority int, lastEvent int64) int {
		q := b.request(route, "m")
		q.priority, q.lastEvent = priority, lastEvent
		return q.urgency()
	}
	assert.Less(t, urgency(&once, 2, -1), urgency(&again, 2, -1), "it would be lost")
	assert.Less(t, urgency(&again, 2, 40), urgency(&again, 2, -1), "its client has a part of the answer")
	assert.Less(t, urgency(&again, 0, -1), urgency(&once, 2, -1), "more urgent")
	assert.Less(t, urgency(&again, 2, -1), urgency(&once, 7, -1), "an account's priority")
	assert.Equal(t, lowestUrgency, urgency(&again, 30, -1), "a priority of another manifest")
}

// Whatever the priorities, a more urgent request is never sent as less urgent, and what is sent is
// valid.
func TestUrgencyKeepsTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		priorities := rapid.SliceOfNDistinct(rapid.IntRange(0, lowestUrgency), 1, 10, rapid.ID[int]).Draw(t, "priorities")
		routes := make([]fleet.Route, 0, len(priorities))
		for _, p := range priorities {
			routes = append(routes, fleet.Route{Priority: p})
		}
		known := fleet.NewManifest(1, routes, nil, fleet.CallerLimits{}).Priorities()
		u := newUrgencies(known)
		for i, p := range known {
			require.LessOrEqual(t, u.of(p, false), u.of(p, true))
			require.LessOrEqual(t, u.of(p, true), lowestUrgency)
			if i > 0 {
				require.Less(t, u.of(known[i-1], true), u.of(p, false))
			}
		}
	})
}
