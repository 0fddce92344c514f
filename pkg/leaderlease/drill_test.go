package leaderlease_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/leaderlease"
)

// requireOneHolder lets all troubles end, and checks that one instance then places models, and doesn't write more
// than renewals.
func (w *drillWorld) requireOneHolder(t require.TestingT) {
	for _, n := range w.nodes {
		n.cutUntil, n.darkUntil = 0, min(n.darkUntil, w.now)
	}
	w.step(5 * lease) // a holder that is superseded keeps the lease until it ends by itself
	w.appends = 0
	w.step(lease)
	require.Empty(t, w.broken)
	assert.LessOrEqual(t, w.appends, 6, "appends in one lease duration")
	placing := 0
	for _, n := range w.nodes {
		if n.state.CanOrder(w.now) {
			placing++
		}
	}
	assert.Equal(t, 1, placing, "instances that place models")
}

func (w *drillWorld) node(t *rapid.T) *drillNode {
	return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "instance")]
}

func duration(t *rapid.T, most time.Duration, what string) time.Duration {
	return time.Duration(rapid.Int64Range(1, int64(most/time.Millisecond)).Draw(t, what)) * time.Millisecond
}

type action struct {
	name string
	do   func(*rapid.T)
}

// String implements fmt.Stringer.
func (a action) String() string { return a.name }

// actions returns what can happen in the world.
func (w *drillWorld) actions() []action {
	drills := w.era > 0
	lose := func(t *rapid.T, n *drillNode) {
		n.darkUntil = w.now + duration(t, 5*time.Second, "for")
		w.restart(n)
	}
	passes := action{"time passes", func(t *rapid.T) { w.step(duration(t, 4*time.Second, "for")) }}
	return []action{
		passes, passes, passes, passes,
		{"pause", func(t *rapid.T) { w.pass(duration(t, 4*time.Second, "for")) }},
		{"read", func(t *rapid.T) { w.read(w.node(t)) }},
		{"renew", func(t *rapid.T) {
			w.renew(w.node(t), duration(t, 500*time.Millisecond, "claim delay"), rapid.IntRange(0, fates-1).Draw(t, "fate"))
		}},
		{"order", func(t *rapid.T) { w.sendOrder(w.node(t), rapid.Bool().Draw(t, "later")) }},
		{"an order arrives", func(*rapid.T) {
			if len(w.underWay) > 0 {
				w.arrive(w.underWay[0])
				w.underWay = w.underWay[1:]
			}
		}},
		{"release", func(t *rapid.T) { w.release(w.node(t), rapid.IntRange(0, fates-1).Draw(t, "fate")) }},
		{"tell", func(t *rapid.T) { w.tell(w.node(t), w.node(t)) }},
		{"tell derived", func(t *rapid.T) { w.tellDerived(w.node(t), rapid.IntRange(0, max(len(w.log)-1, 0)).Draw(t, "offset")) }},
		{"cut off", func(t *rapid.T) { w.node(t).cutUntil = w.now + duration(t, 20*time.Second, "for") }},
		{"power lost", func(t *rapid.T) { lose(t, w.node(t)) }},
		{"power lost everywhere", func(t *rapid.T) {
			for _, n := range w.nodes {
				lose(t, n)
			}
		}},
		{"a late append arrives", func(*rapid.T) {
			if len(w.late) > 0 {
				w.accept(w.late[0].at, w.late[0].record)
				w.late = w.late[1:]
			}
		}},
		{"drill", func(t *rapid.T) {
			if drills {
				w.goBack(duration(t, 12*time.Second, "age of the copy"))
			}
		}},
	}
}

func playDrill(t *rapid.T, m mutation) *drillWorld {
	w := newDrillWorld(rapid.IntRange(2, 4).Draw(t, "instances"), rapid.Bool().Draw(t, "fenced"), rapid.Int64Range(0, 3).Draw(t, "era"))
	w.mutation = m
	actions := w.actions()
	for range rapid.IntRange(20, 120).Draw(t, "steps") {
		rapid.SampledFrom(actions).Draw(t, "action").do(t)
		if w.broken != "" {
			break
		}
	}
	return w
}

// Drills of the log, instances that lose power, are cut off or start at any point of the log, appends and releases that
// get lost or arrive late, orders that take their time, and peers that tell, in any order: epochs neither repeat nor
// fall, and one instance places models afterwards.
func TestEpochsRiseWhateverTheLogLoses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := playDrill(t, mutateNone)
		require.Empty(t, w.broken)
		w.requireOneHolder(t)
	})
}

func TestDrillDetectsMutations(t *testing.T) {
	const mostPlays = 20_000
	for _, m := range []mutation{mutateUndue, mutateRelease, mutateReleaseLost} {
		t.Run(string(m), func(t *testing.T) {
			plays := rapid.Custom(func(t *rapid.T) string { return playDrill(t, m).broken })
			for seed := range mostPlays {
				if broken := plays.Example(seed); broken != "" {
					t.Logf("%s in play %d", broken, seed)
					return
				}
			}
			assert.Fail(t, "no violation was found")
		})
	}
}

// The holder lost power, another instance took over, and the store came back from a copy without its claim: the
// former holder claimed the lease with an epoch that was lower than the other one's, and both ordered by turns.
func TestEpochRisesAfterADrill(t *testing.T) {
	for _, age := range []time.Duration{3 * time.Second, 7 * time.Second, 12 * time.Second, time.Hour} {
		for _, fenced := range []bool{false, true} {
			w := newDrillWorld(3, fenced, 1)
			w.step(15 * time.Second)
			first := w.nodes[0]
			require.True(t, first.state.CanOrder(w.now))
			first.darkUntil = w.now + 3500*time.Millisecond
			w.restart(first)
			w.step(3300 * time.Millisecond)
			before := w.highest
			w.goBack(age)
			w.step(10 * time.Second)
			require.Empty(t, w.broken, "a copy of %v", age)
			w.requireOneHolder(t)
			assert.Greater(t, w.highest, before)
		}
	}
}

// No instance knows which epochs were used: the store came back from a copy without the last claim, and all machines
// had lost power.
func TestEpochRisesWhenNobodyKnowsIt(t *testing.T) {
	w := newDrillWorld(3, false, 1)
	w.step(10 * time.Second)
	w.restart(w.nodes[0])
	w.nodes[0].darkUntil = w.now + time.Hour
	w.step(10 * time.Second)
	before := w.highest
	w.goBack(12 * time.Second)
	for _, n := range w.nodes {
		w.restart(n)
	}
	w.step(10 * time.Second)
	w.requireOneHolder(t)
	assert.Greater(t, w.highest, before)
}

// The holder doesn't reach the store when that comes back from a copy without its claim. Until its lease ends nobody
// else orders.
func TestCutOffHolderOfAFormerHistory(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		w := newDrillWorld(3, false, 1)
		w.step(10 * time.Second)
		holder := w.nodes[0]
		require.True(t, holder.state.CanOrder(w.now))
		holder.cutUntil = w.now + 20*time.Second
		w.goBack(time.Hour)
		for _, n := range w.nodes[1:] {
			if restarted {
				w.restart(n)
			}
		}
		w.step(10 * time.Second)
		require.Empty(t, w.broken, "others started anew: %v", restarted)
		w.requireOneHolder(t)
	}
}

// What a store can state as its era, and what happens to epochs then. Whatever it is, the lease can be held.
func TestUnusualEras(t *testing.T) {
	for name, eras := range map[string][2]int64{
		"missing at first": {0, 5}, "missing later": {5, 0}, "falls": {5, 2}, "jumps": {5, 1 << 50}, "stays": {5, 5},
	} {
		t.Run(name, func(t *testing.T) {
			w := newDrillWorld(3, false, eras[0])
			w.step(15 * time.Second)
			w.goBack(7 * time.Second)
			w.era = eras[1]
			w.step(15 * time.Second)
			w.requireOneHolder(t)
			assert.LessOrEqual(t, w.highest, int64(leaderlease.MaxEpoch))
		})
	}
}

// A holder that couldn't claim the lease in a new history before the next drill waits like the others, once
// its lease has ended.
func TestOnlyARunningLeaseIsClaimedAtOnce(t *testing.T) {
	s := newState("a", false)
	s.BeginHistory(1, 0, 0, 0)
	s.Appended(0, record("a"), 0, 0)
	s.BeginHistory(2, 1, time.Second, time.Second)
	assert.False(t, s.CanOrder(time.Second), "the lease of a former history")
	assert.Equal(t, time.Second, s.NextAppend(0))
	s.BeginHistory(3, 1, 10*time.Second, 10*time.Second)
	assert.Equal(t, 10*time.Second+lease, s.NextAppend(0))
}

// Builds run side by side: without a drill, epochs are those that a build derives which states and reads none.
func TestEpochsBesideFormerBuilds(t *testing.T) {
	s := newState("b", false)
	s.BeginHistory(1, 5, 0, 0)
	former := record("a")
	s.Observe(4, former, 0)
	p, _ := s.Propose(0, 0)
	assert.Equal(t, p.At+1, p.Record.Epoch)

	s.BeginHistory(2, 4, time.Second, time.Second)
	s.Observe(3, former, time.Second)
	p, _ = s.Propose(0, time.Second)
	claim := p.Record
	assert.Greater(t, claim.Epoch, int64(2<<20), "the copied record is of the former history")
	s.Appended(p.At, claim, 5*time.Second, 5*time.Second)
	assert.Equal(t, claim.Epoch, s.Epoch())

	written, err := json.Marshal(claim)
	require.NoError(t, err)
	var read struct{ Holder, Life, Address string }
	require.NoError(t, json.Unmarshal(written, &read))
	assert.Equal(t, claim.Incarnation, read.Life)
}
