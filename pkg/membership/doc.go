// Package membership keeps what one entry instance knows of the other instances
// and of the backend servers, and merges it from three sources: the platform's
// lagging live list, the deltas of other instances, and its own contact with
// them.
//
// Table is pure: every method takes the present time, none starts a goroutine or
// does I/O, and only differences between times are used. A Table is not safe for
// concurrent use; its owner serialises calls and publishes views.
//
// Merging is idempotent and commutative, so deltas may be lost, repeated or
// reordered:
//
//   - Leaving only ever goes from false to true for an ID. A restarted process
//     takes a new ID.
//   - A heartbeat is a counter of the instance itself; the larger one wins.
//   - Reports are ordered by generation, incarnation and sequence. The generation
//     counts the restarts of the engine that anyone has seen by reading it.
//
// Delta and its parts are plain types; the owner turns them into messages.
package membership
