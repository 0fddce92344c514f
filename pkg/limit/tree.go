package limit

import (
	"cmp"
	"slices"
	"time"
)

// node shares turns out among its children by start-time fair queueing: each
// child has a pass, which grows by cost over weight with each turn; the least pass
// goes next.
type node struct {
	key    string
	parent *node
	weight float64
	pass   float64
	// virtual is the pass of the child that went last.
	virtual float64
	// queued is the number of items below.
	queued   int
	children map[string]*node
	// active are the children with items below. They are few enough to search:
	// a queue is bounded, and most flows are idle.
	active []*node
	leaf   *leaf
}

// leaf holds the items of one flow, earliest deadline first.
type leaf struct {
	node  *node
	items []*Item
}

func newNode(key string, parent *node, weight float64) *node {
	return &node{key: key, parent: parent, weight: weight}
}

// child finds or makes a child. A flow that went idle keeps its pass while that is
// ahead of the others, so that it gains nothing by sending one item at a time.
func (n *node) child(key string, weight float64) *node {
	c := n.children[key]
	if c == nil {
		if n.children == nil {
			n.children = make(map[string]*node)
		}
		n.sweep()
		c = newNode(key, n, weight)
		n.children[key] = c
	}
	c.weight = weight
	return c
}

// idleNodes is how many idle children a node keeps before it looks for those that
// it can forget.
const idleNodes = 64

// sweep forgets idle children. Those whose pass is ahead go last, and only when
// there are too many of them.
func (n *node) sweep() {
	if len(n.children)-len(n.active) < idleNodes {
		return
	}
	for key, c := range n.children {
		if c.queued == 0 && c.pass <= n.virtual {
			delete(n.children, key)
		}
	}
	for key, c := range n.children {
		if len(n.children)-len(n.active) < idleNodes/2 {
			return
		}
		if c.queued == 0 {
			delete(n.children, key)
		}
	}
}

// grow adds to the number of items below n, up to the root.
func (n *node) grow(by int) {
	for ; n != nil; n = n.parent {
		before := n.queued
		n.queued += by
		if n.parent == nil {
			return
		}
		if before == 0 && n.queued > 0 {
			n.pass = max(n.pass, n.parent.virtual)
			n.parent.active = append(n.parent.active, n)
		}
		if before > 0 && n.queued == 0 {
			i := slices.Index(n.parent.active, n)
			n.parent.active = slices.Delete(n.parent.active, i, i+1)
		}
	}
}

// next finds the leaf whose turn it is.
func (n *node) next() *leaf {
	for n.leaf == nil {
		n = slices.MinFunc(n.active, func(a, b *node) int { return cmp.Compare(a.pass, b.pass) })
	}
	return n.leaf
}

// charge makes a leaf and its ancestors pay for a turn.
func (l *leaf) charge(cost float64) {
	for n := l.node; n.parent != nil; n = n.parent {
		n.parent.virtual = max(n.parent.virtual, n.pass)
		n.pass += cost / n.weight
	}
}

// longest finds the leaf with the most items for its share.
func (n *node) longest() *leaf {
	for n.leaf == nil {
		n = slices.MaxFunc(n.active, func(a, b *node) int {
			return cmp.Compare(float64(a.queued)/a.weight, float64(b.queued)/b.weight)
		})
	}
	return n.leaf
}

// share is the part of all turns that a leaf is sure of.
func (l *leaf) share() float64 {
	share := 1.0
	for n := l.node; n.parent != nil; n = n.parent {
		sum := 0.0
		for _, sibling := range n.parent.active {
			sum += sibling.weight
		}
		if n.queued == 0 {
			sum += n.weight
		}
		share *= n.weight / sum
	}
	return share
}

func (l *leaf) insert(it *Item) {
	i, _ := slices.BinarySearchFunc(l.items, it, func(a, b *Item) int {
		if c := a.Deadline.Compare(b.Deadline); c != 0 {
			return c
		}
		return -1 // after those with an equal deadline
	})
	l.items = slices.Insert(l.items, i, it)
	it.leaf = l
	l.node.grow(1)
}

func (l *leaf) remove(it *Item) bool {
	i := slices.Index(l.items, it)
	if i < 0 {
		return false
	}
	l.items = slices.Delete(l.items, i, i+1)
	it.leaf = nil
	l.node.grow(-1)
	return true
}

// pace is how soon the items of a leaf get their turns: one each interval, and all
// within the time that the whole queue takes.
type pace struct {
	interval, whole time.Duration
}

// wait is the time until the item at a position gets its turn.
func (p pace) wait(position int) time.Duration {
	return min(time.Duration(position)*p.interval, p.whole)
}

// leastLikely finds the item with the least time to spare, and that time.
func (l *leaf) leastLikely(now time.Time, p pace) (*Item, time.Duration) {
	var least *Item
	var spare time.Duration
	for i, it := range l.items {
		s := it.Deadline.Sub(now) - it.Service - p.wait(i)
		if least == nil || s < spare {
			least, spare = it, s
		}
	}
	return least, spare
}
