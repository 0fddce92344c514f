// Package lease decides which instance may give orders to the backend servers
// of an availability zone, and when a decision has become an order that may be
// sent. It is the pure state machine of one instance: events and the time go
// in, effects come out. It starts no goroutine, reads no clock and does no I/O.
//
// # With the log
//
// A claim that supersedes the current epoch makes its writer the holder. The
// holder appends an intent for every load and unload and sends the order only
// after it has read the intent back, valid, in the log's order. A successor has
// read every such intent by the time it holds its own claim, so an order that
// an old holder sends late is one that the successor already counts.
//
// # Without the log
//
// The members at the time of the claim are the epoch's copy holders. They are a
// function of the log prefix through the claim, so nobody who knows the epoch
// can be wrong about them; later members join at the next claim, which the
// holder makes itself when the members have changed. While the log is away the
// holder may send an order after every other copy holder has stored a copy of
// its intent. A claimant seals one copy holder, itself if it is one: a sealed
// instance stores no more copies of the epoch and hands over those it has. A
// decided copy is at every copy holder, so one seal finds all of them, and it
// stops the old holder. The claim carries the copies found.
//
// A holder that is the only copy holder may decide without the log on servers
// that check fencing numbers only. A claimant raises the number at every such
// server and reads it before its first decision there.
//
// A claimant that isn't a copy holder and reaches none is left to time at
// servers that don't check: it waits until the live list names no copy holder,
// and then for the list's lag and the life of an order. See docs/decisions.md.
package lease
