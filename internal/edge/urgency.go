package edge

import "slices"

// lowestUrgency is the numerically highest urgency that servers accept; 0 is the most urgent.
const lowestUrgency = 9

// urgencies maps the priorities of a manifest to what servers are sent. When its memory runs out, a
// server preempts the newest of its least urgent requests. Of two requests of the same priority the
// one that can be repeated must be preempted, since the other one is lost.
type urgencies struct {
	// ranked are the priorities of the manifest in ascending order; nil if they are too many for
	// two urgencies each.
	ranked []int
}

func newUrgencies(priorities []int) urgencies {
	if 2*len(priorities) > lowestUrgency+1 {
		return urgencies{}
	}
	return urgencies{ranked: priorities}
}

// of returns the urgency of a request. yields means that it is preempted before others of its
// priority.
func (u urgencies) of(priority int, yields bool) int {
	rank, known := slices.BinarySearch(u.ranked, priority)
	if !known {
		return min(max(priority, 0), lowestUrgency)
	}
	if yields {
		return 2*rank + 1
	}
	return 2 * rank
}

// urgency returns what a server is told of the request. A request yields to others of its priority
// if it can be repeated and the client has got nothing yet; a stream that has begun would pause,
// and has less left to generate.
func (q *request) urgency() int {
	yields := q.route.Idempotent() && q.lastEvent < 0
	return q.edge.views.Load().urgencies.of(q.priority, yields)
}
