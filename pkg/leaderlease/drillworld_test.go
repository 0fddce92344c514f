package leaderlease_test

import (
	"cmp"
	"fmt"
	"slices"
	"time"

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
