package limit

import (
	"cmp"
	"time"
)

// QueueConfig bounds a Queue. Zero fields take the default.
type QueueConfig struct {
	// Items and Bytes bound what waits.
	Items int
	Bytes int64
}

// The defaults of QueueConfig.
const (
	DefaultQueueItems = 10_000
	DefaultQueueBytes = 64 << 20
)

// Queue decides who runs next and who is shed when more arrives than can be
// served. Turns are shared out among classes by weight, then evenly among callers
// and models; within a flow the earliest deadline goes first. Work that can no
// longer meet its deadline is shed rather than run, so that overload doesn't
// lower the work done in time.
//
// Queue is pure and not safe for concurrent use; Gate is its concurrent owner.
type Queue struct {
	cfg   QueueConfig
	root  *node
	bytes int64

	// interval is the mean time between two turns while something waits.
	interval time.Duration
	lastTurn time.Time
	busy     bool
}

// NewQueue returns an empty queue.
func NewQueue(cfg QueueConfig) *Queue {
	cfg.Items = cmp.Or(cfg.Items, DefaultQueueItems)
	cfg.Bytes = cmp.Or(cfg.Bytes, DefaultQueueBytes)
	return &Queue{cfg: cfg, root: newNode("", nil, 1)}
}

// Len is the number of items that wait.
func (q *Queue) Len() int { return q.root.queued }

// Bytes is the memory that waiting items hold.
func (q *Queue) Bytes() int64 { return q.bytes }

func (q *Queue) leafOf(it *Item) *leaf {
	n := q.root.child(it.Class, Weight(it.Priority)).child(it.Caller, 1).child(it.Model, 1)
	if n.leaf == nil {
		n.leaf = &leaf{node: n}
	}
	return n.leaf
}

// Offer adds an item and returns those that are shed for it, the item itself
// among them if it can't be served in time.
func (q *Queue) Offer(now time.Time, it *Item) (shed []*Item) {
	if it.hopeless(now) || it.Bytes > q.cfg.Bytes {
		return []*Item{it}
	}
	l := q.leafOf(it)
	l.insert(it)
	q.bytes += it.Bytes
	if least, spare := l.leastLikely(now, q.pace(l)); spare < 0 {
		q.drop(least)
		shed = append(shed, least)
	}
	for q.root.queued > q.cfg.Items || q.bytes > q.cfg.Bytes {
		l := q.root.longest()
		least, _ := l.leastLikely(now, q.pace(l))
		q.drop(least)
		shed = append(shed, least)
	}
	return shed
}

// Next takes out the item whose turn it is, nil if there is none. Items that can
// no longer meet their deadline are shed on the way; their flow doesn't pay.
func (q *Queue) Next(now time.Time) (run *Item, shed []*Item) {
	for q.root.queued > 0 {
		l := q.root.next()
		it := l.items[0]
		q.drop(it)
		if it.hopeless(now) {
			shed = append(shed, it)
			continue
		}
		l.charge(it.cost())
		q.turn(now)
		return it, shed
	}
	q.busy = false
	return nil, shed
}

// Remove takes out an item whose caller has gone. It reports whether the item was
// still waiting.
func (q *Queue) Remove(it *Item) bool {
	if it.leaf == nil {
		return false
	}
	q.drop(it)
	return true
}

func (q *Queue) drop(it *Item) {
	if it.leaf.remove(it) {
		q.bytes -= it.Bytes
	}
}

// Wait estimates how long a new item of the same flow would wait.
func (q *Queue) Wait(it *Item) time.Duration {
	l := q.leafOf(it)
	return q.pace(l).wait(len(l.items) + 1)
}

func (q *Queue) pace(l *leaf) pace {
	return pace{
		interval: time.Duration(float64(q.interval) / l.share()),
		whole:    time.Duration(q.root.queued+1) * q.interval,
	}
}

// turnWeight is the weight of the newest turn in the mean, as a part.
const turnWeight = 16

// turn takes the time since the last turn into the mean. The first turn after an
// idle time says nothing of the rate.
func (q *Queue) turn(now time.Time) {
	if q.busy {
		since := now.Sub(q.lastTurn)
		if q.interval == 0 {
			q.interval = since
		}
		q.interval += (since - q.interval) / turnWeight
	}
	q.lastTurn = now
	q.busy = q.root.queued > 0
}
