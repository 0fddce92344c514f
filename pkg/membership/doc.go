// Package membership maintains the state of the other entry instances and of the
// backend servers as one entry instance observes it. It merges three sources: the
// platform's lagging live list, the deltas of other instances, and direct contact
// with instances and servers.
//
// Table is pure: the methods that depend on time have a parameter for the current
// time, and none starts a goroutine or does I/O. Only differences between times
// are used. A Table is not safe for concurrent use; its owner serialises calls
// and publishes views.
//
// Merging is idempotent and commutative, so deltas can be lost, repeated or
// reordered:
//
//   - Leaving only ever changes from false to true for an ID. A restarted process
//     uses a new ID.
//   - A heartbeat is a counter that only the instance itself advances; the larger
//     value wins.
//   - Reports are ordered by generation, incarnation and sequence. The generation
//     counts the engine restarts that any instance has observed by reading
//     reports.
//
// Delta and its parts are plain types; the owner encodes them as messages.
package membership
