package limit

import "time"

// Item is one request that waits for its turn. Its fields must not change while
// it is queued.
type Item struct {
	// Class, Caller and Model say whose work it is: turns are shared out among
	// classes by weight, then evenly among the callers of a class, then among
	// the models of a caller.
	Class, Caller, Model string
	// Priority sets the weight of the class, see Weight.
	Priority int
	// Deadline is when the work must be done, and Service how long it is
	// expected to run.
	Deadline time.Time
	Service  time.Duration
	// Cost is the item's size as a part of its flow's turn; zero means 1.
	Cost float64
	// Bytes is the memory that the item holds while it waits.
	Bytes int64

	leaf *leaf
}

// Weight is the share of a class with the priority, relative to others: each
// step doubles it. Higher classes go first by far, and none is starved.
func Weight(priority int) float64 {
	return float64(int64(1) << max(min(priority, maxPriority), 0))
}

const maxPriority = 9

func (it *Item) cost() float64 {
	if it.Cost <= 0 {
		return 1
	}
	return it.Cost
}

// hopeless reports whether the item would miss its deadline if it started now.
func (it *Item) hopeless(now time.Time) bool {
	return now.Add(it.Service).After(it.Deadline)
}
