package leaderlease_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cyclamenhoist/cyclamenhoist/pkg/leaderlease"
)

// drillWorld is a log that can come back from an older copy, a server that gets orders, and instances
// that hold the lease by turns, in virtual time.
type drillWorld struct {
	now time.Duration
	// fenced means that the server rejects epochs lower than the highest one it has seen.
	fenced bool
	// era is the era of the log; 0 if it states none.
	era     int64
	log     []leaderlease.Record
	written []time.Duration
	// late are appends that were sent and are still on their way.
	late  []lateAppend
	nodes []*drillNode
	// underWay are orders that were sent and haven't arrived.
	underWay []drillOrder
	// seen maps each epoch of an order to the holder, and highest is the highest one.
	seen    map[int64]string
	highest int64
	broken  string
	appends int
	// last is who ordered last, and orderedAt when each instance did.
	last      string
	orderedAt map[string]time.Duration
	// mutation is the rule that isn't kept.
	mutation mutation
}

// Rules that a drill breaks.
const (
	// mutateUndue claims the lease whatever the state says, as from an older view.
	mutateUndue mutation = "claim that isn't due"
	// mutateRelease releases the lease while orders are under way.
	mutateRelease mutation = "release beside orders"
	// mutateReleaseLost goes on ordering after a release whose answer got lost.
	mutateReleaseLost mutation = "assume that an unanswered release failed"
)

type lateAppend struct {
	at     int64
	record leaderlease.Record
}

type drillOrder struct {
	name     string
	state    *leaderlease.State
	epoch    int64
	deadline time.Duration
}

// drillNode is one instance.
type drillNode struct {
	name    string
	process int
	state   *leaderlease.State
	// next is the offset to read next in the history of era; -1 to read the newest record.
	next, era int64
	// cutUntil is until when the instance doesn't reach the log, and darkUntil until when it has no power.
	cutUntil, darkUntil time.Duration
	retry               time.Duration
}

const drillOrderTimeout = 300 * time.Millisecond

func newDrillWorld(instances int, fenced bool, era int64) *drillWorld {
	w := &drillWorld{now: time.Hour, fenced: fenced, era: era, seen: map[int64]string{}, orderedAt: map[string]time.Duration{}}
	for i := range instances {
		w.nodes = append(w.nodes, &drillNode{name: fmt.Sprint("i", i)})
		w.restart(w.nodes[i])
	}
	return w
}

// restart starts a new process of an instance.
func (w *drillWorld) restart(n *drillNode) {
	n.process++
	self := leaderlease.Record{Holder: n.name, Incarnation: fmt.Sprint(n.name, "/", n.process), Address: n.name}
	n.state = leaderlease.New(leaderlease.Config{Self: self, LeaseDuration: lease, OrderTimeout: drillOrderTimeout, Fenced: w.fenced})
	n.next = -1
}

func (w *drillWorld) runs(n *drillNode) bool { return w.now >= n.darkUntil }

func (w *drillWorld) reachesLog(n *drillNode) bool { return w.runs(n) && w.now >= n.cutUntil }

// read plays a read of the log.
func (w *drillWorld) read(n *drillNode) {
	if !w.reachesLog(n) {
		return
	}
	end := int64(len(w.log))
	from := n.next
	if from < 0 || n.era != w.era || from > end {
		from = max(end-1, 0) // the newest record of the only key
		n.state.BeginHistory(w.era, end, w.now, w.now)
	}
	for ; from < end; from++ {
		n.state.Observe(from, w.log[from], w.now)
	}
	n.state.ObserveEnd(end, w.now)
	n.next, n.era = end, w.era
}

func (w *drillWorld) accept(at int64, r leaderlease.Record) bool {
	if at != int64(len(w.log)) {
		return false
	}
	w.log, w.written = append(w.log, r), append(w.written, w.now)
	w.appends++
	return true
}

// Fates of an append.
const (
	answered = iota
	answerLost
	neverArrives
	arrivesLate
	fates
)

// renew appends a record if one is due.
func (w *drillWorld) renew(n *drillNode, claimDelay time.Duration, fate int) {
	if !w.reachesLog(n) || n.next < 0 || w.now < n.retry {
		return
	}
	p, due := n.state.Propose(claimDelay, w.now)
	if !due && w.mutation != mutateUndue {
		return
	}
	at, r := p.At, p.Record
	n.retry = w.now + 300*time.Millisecond
	switch fate {
	case neverArrives:
	case arrivesLate:
		w.late = append(w.late, lateAppend{at, r})
	case answerLost:
		w.accept(at, r)
		n.next = -1
	default:
		accepted := w.accept(at, r)
		if accepted && n.state.Era() == w.era {
			n.state.Appended(at, r, w.now, w.now)
			n.retry = 0
			return
		}
		n.next = -1
	}
}

// release releases the lease, and reports whether it tried.
func (w *drillWorld) release(n *drillNode, fate int) bool {
	if !w.reachesLog(n) {
		return false
	}
	p, due := n.state.ProposeRelease("")
	if !due && (w.mutation != mutateRelease || !n.state.IsHolder()) {
		return false
	}
	refused := w.mutation == mutateReleaseLost
	switch fate {
	case neverArrives:
		n.state.NotAppended(p, refused)
	case arrivesLate:
		w.late = append(w.late, lateAppend{p.At, p.Record})
		n.state.NotAppended(p, refused)
	case answerLost:
		w.accept(p.At, p.Record)
		n.state.NotAppended(p, refused)
	default:
		if w.accept(p.At, p.Record) && n.state.Era() == w.era {
			n.state.Appended(p.At, p.Record, w.now, w.now)
		} else {
			n.state.NotAppended(p, true)
		}
	}
	return true
}

// sendOrder sends an order that arrives at once, or later.
func (w *drillWorld) sendOrder(n *drillNode, later bool) {
	if !w.runs(n) {
		return
	}
	epoch := n.state.Epoch()
	left, allowed := n.state.BeginOrder(epoch, w.now)
	if !allowed {
		return
	}
	o := drillOrder{n.name, n.state, epoch, w.now + min(left, drillOrderTimeout)}
	if later {
		w.underWay = append(w.underWay, o)
	} else {
		w.arrive(o)
	}
}

// arrive plays the arrival of an order at the server, which sees who sends which epoch.
func (w *drillWorld) arrive(o drillOrder) {
	defer o.state.EndOrder(w.now)
	if w.fenced && o.epoch < w.highest {
		if o.state.Epoch() == o.epoch {
			o.state.MarkSuperseded()
		}
		return
	}
	if before := w.seen[o.epoch]; before != "" && before != o.name {
		w.broken = fmt.Sprintf("%v: %s orders with epoch %d of %s", w.now-time.Hour, o.name, o.epoch, before)
	}
	if o.epoch < w.highest {
		w.broken = fmt.Sprintf("%v: %s orders with epoch %d after %d", w.now-time.Hour, o.name, o.epoch, w.highest)
	}
	if before, ordered := w.orderedAt[o.name]; ordered && !w.fenced && w.last != o.name && w.now-before < lease {
		w.broken = fmt.Sprintf("%v: %s takes turns with %s, %v after its order before", w.now-time.Hour, o.name, w.last, w.now-before)
	}
	w.last, w.orderedAt[o.name] = o.name, w.now
	w.seen[o.epoch], w.highest = o.name, max(w.highest, o.epoch)
}

// pass lets time pass, in which orders that are under way arrive at the latest at their deadlines.
func (w *drillWorld) pass(d time.Duration) {
	end := w.now + d
	slices.SortStableFunc(w.underWay, func(a, b drillOrder) int { return cmp.Compare(a.deadline, b.deadline) })
	for len(w.underWay) > 0 && w.underWay[0].deadline <= end {
		w.now = w.underWay[0].deadline
		w.arrive(w.underWay[0])
		w.underWay = w.underWay[1:]
	}
	w.now = end
}

// tell lets one instance tell another one of the lease, and answer it if it is the holder.
func (w *drillWorld) tell(from, to *drillNode) {
	if from == to || !w.runs(from) || !w.runs(to) {
		return
	}
	if r, epoch, held := from.state.Holder(); held {
		to.state.ObservePeer(r, epoch)
	}
	if from.state.CanOrder(w.now) {
		to.state.HolderResponded(from.state.Epoch(), w.now)
	}
}

// tellDerived lets an instance hear what a build tells that states no epochs, and has started when the
// record at the offset was the newest one.
func (w *drillWorld) tellDerived(to *drillNode, offset int) {
	if offset < len(w.log) && w.runs(to) && !w.log[offset].Released {
		ordered := to.state.CanOrder(w.now)
		to.state.ObservePeer(w.log[offset], int64(offset)+1)
		own := fmt.Sprint(to.name, "/", to.process) == w.log[offset].Incarnation
		if own && ordered && !to.state.CanOrder(w.now) {
			w.broken = fmt.Sprintf("%v: %s doesn't order any more, as it is told of its own lease", w.now-time.Hour, to.name)
		}
	}
}

// goBack lets the log come back from a copy.
func (w *drillWorld) goBack(age time.Duration) {
	n := len(w.log)
	for n > 0 && w.written[n-1] > w.now-age {
		n--
	}
	w.log, w.written = w.log[:n:n], w.written[:n:n]
	w.era++
}

// step lets some time pass in which every instance reads, renews and orders.
func (w *drillWorld) step(d time.Duration) {
	const tick = 100 * time.Millisecond
	for end := w.now + d; w.now < end; w.pass(tick) {
		for i, n := range w.nodes {
			if !w.runs(n) {
				continue
			}
			w.read(n)
			w.renew(n, time.Duration(i)*40*time.Millisecond, answered)
			n.state.KeepLease()
			w.sendOrder(n, false)
		}
	}
}

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
