package tenure_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/tenure"
)

// The exploration drives real States of two instances against a log, a server
// with room for one model, and a network that loses answers and delays orders, in
// every order of steps up to a depth. Its plants are rules left out, each of which
// must be found.

// plant is a rule that the protocol is explored without.
type plant string

const (
	plantNone plant = ""
	// plantUnconditional appends without the condition on the log's end.
	plantUnconditional plant = "append unconditionally"
	// plantNoExpect orders without the sequence that the order was decided on.
	plantNoExpect plant = "order without a sequence"
	// plantTrustLost frees the memory of a model whose unload wasn't answered.
	plantTrustLost plant = "believe in an unload that was lost"
	// plantSameEpoch keeps the epoch when another instance takes over.
	plantSameEpoch plant = "claim with the same epoch"
)

// world is one state of the exploration; it is copied at each step.
type world struct {
	log    []tenure.Record
	server exploredServer
	nodes  [2]node
	// late are orders under way that may arrive at any later step.
	late []exploredOrder
}

type exploredServer struct {
	sequence int64
	fence    int64
	models   int
	// holderOf maps an epoch to the instance that used it, as the server saw.
	holderOf map[int64]int
}

type exploredOrder struct {
	node   int
	epoch  int64
	expect int64
	load   bool
}

// node is one instance: what it read of the log, and its books of the server.
type node struct {
	read     int
	known    bool
	sequence int64
	models   int
}

func (w world) clone() world {
	w.log = append([]tenure.Record(nil), w.log...)
	w.late = append([]exploredOrder(nil), w.late...)
	holders := make(map[int64]int, len(w.server.holderOf))
	for epoch, holder := range w.server.holderOf {
		holders[epoch] = holder
	}
	w.server.holderOf = holders
	return w
}

func (w world) key() string {
	var out strings.Builder
	for _, r := range w.log {
		out.WriteString(r.Life)
	}
	fmt.Fprint(&out, w.server.sequence, w.server.fence, w.server.models, w.server.holderOf, w.nodes, w.late)
	return out.String()
}

// state rebuilds an instance's State from the prefix of the log that it read.
func (w world) state(i int) *tenure.State {
	s := newState(fmt.Sprint(i), true)
	s.Empty(0, 0)
	for offset, r := range w.log[:w.nodes[i].read] {
		s.Observe(int64(offset), r, 0)
	}
	return s
}

// deliver gives the server an order and reports whether it was accepted.
func (w *world) deliver(o exploredOrder, p plant) bool {
	if o.epoch < w.server.fence {
		return false
	}
	w.server.fence = o.epoch
	if p != plantNoExpect && o.expect != w.server.sequence {
		return false
	}
	w.server.sequence++
	w.server.holderOf[o.epoch] |= 1 << o.node
	if o.load {
		w.server.models++
	} else {
		w.server.models--
	}
	return true
}

func (w *world) broken() string {
	if w.server.models > 1 {
		return "memory overcommitted"
	}
	for epoch, holders := range w.server.holderOf {
		if holders == 3 {
			return fmt.Sprint("two holders of epoch ", epoch)
		}
	}
	return ""
}

// steps returns every state that can follow.
func (w world) steps(p plant) []world {
	var out []world
	for i := range w.nodes {
		out = append(out, w.nodeSteps(i, p)...)
	}
	for i := range w.late {
		next := w.clone()
		o := next.late[i]
		next.late = append(next.late[:i], next.late[i+1:]...)
		next.deliver(o, p)
		out = append(out, next)
	}
	return out
}

func (w world) nodeSteps(i int, p plant) []world {
	var out []world
	if w.nodes[i].read < len(w.log) {
		next := w.clone()
		next.nodes[i].read = len(next.log)
		out = append(out, next)
	}
	state := w.state(i)
	if len(w.log) < maxRecords && (p == plantUnconditional || state.End() == int64(len(w.log))) {
		lost := w.clone()
		lost.log = append(lost.log, record(fmt.Sprint(i)))
		out = append(out, lost)
		answered := lost.clone()
		answered.nodes[i].read = len(answered.log)
		if p == plantUnconditional {
			answered.nodes[i].read = w.nodes[i].read
		}
		out = append(out, answered)
	}
	if !state.MayOrder(0) && p != plantUnconditional {
		return out
	}
	report := w.clone()
	report.nodes[i].known, report.nodes[i].sequence, report.nodes[i].models = true, w.server.sequence, w.server.models
	out = append(out, report)
	if w.nodes[i].known && w.server.sequence < maxOrders {
		out = append(out, w.orderSteps(i, state, p)...)
	}
	return out
}

func (w world) orderSteps(i int, state *tenure.State, p plant) []world {
	books := w.nodes[i]
	epoch := state.Epoch()
	if p == plantSameEpoch || p == plantUnconditional {
		epoch = 1
	}
	o := exploredOrder{node: i, epoch: epoch, expect: books.sequence, load: books.models == 0}
	answered := w.clone()
	if answered.deliver(o, p) {
		answered.nodes[i].sequence++
		answered.nodes[i].models = answered.nodes[i].models + map[bool]int{true: 1, false: -1}[o.load]
	} else {
		answered.nodes[i].known = false
	}
	// The answer is lost; the order may have been done, or is under way. Nothing
	// more is ordered until a report tells.
	lost := w.clone()
	lost.deliver(o, p)
	lost.forget(i, o, p)
	out := []world{answered, lost}
	if len(w.late) < maxLate {
		delayed := w.clone()
		delayed.late = append(delayed.late, o)
		delayed.forget(i, o, p)
		out = append(out, delayed)
	}
	return out
}

func (w *world) forget(i int, o exploredOrder, p plant) {
	w.nodes[i].known = false
	if p == plantTrustLost && !o.load {
		// The books say that there is room, and that the server is as it was.
		w.nodes[i].known, w.nodes[i].models = true, 0
	}
}

// Bounds of the exploration.
const (
	maxRecords = 3
	maxOrders  = 3
	maxLate    = 2
)

// explore visits every state and returns their number and the first fault.
func explore(p plant) (int, string) {
	first := world{server: exploredServer{holderOf: map[int64]int{}}}
	seen := map[string]bool{first.key(): true}
	queue := []world{first}
	for len(queue) > 0 {
		w := queue[0]
		queue = queue[1:]
		for _, next := range w.steps(p) {
			if fault := next.broken(); fault != "" {
				return len(seen), fault
			}
			if key := next.key(); !seen[key] {
				seen[key] = true
				queue = append(queue, next)
			}
		}
	}
	return len(seen), ""
}

func TestExploration(t *testing.T) {
	states, fault := explore(plantNone)
	t.Logf("%d states", states)
	require.Empty(t, fault)
	assert.Greater(t, states, 10_000)
}

func TestExplorationFindsPlants(t *testing.T) {
	for _, p := range []plant{plantUnconditional, plantNoExpect, plantTrustLost, plantSameEpoch} {
		t.Run(string(p), func(t *testing.T) {
			states, fault := explore(p)
			t.Logf("%s after %d states", fault, states)
			assert.NotEmpty(t, fault)
		})
	}
}
