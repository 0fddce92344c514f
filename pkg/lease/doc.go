// Package lease implements the lease protocol that elects the holder of an
// availability zone: the one instance that can send load and unload orders to
// the zone's backend servers. It also decides when an order can be sent. It is
// the deterministic state machine of one instance: events and the current time
// are its input, effects are its output. It starts no goroutine, reads no clock
// and does no I/O.
//
// Package leaderlease is another protocol: its lease covers a whole deployment
// on the platform, and it records no intents.
//
// # With the log
//
// A claim record that supersedes the current epoch makes its writer the holder.
// The epoch, which is the claim's offset in the log, is the lease's fencing
// token. The holder appends an intent record for every load and unload. It sends
// the order only after it has read the intent back from the log and found it
// valid. A successor has read every such intent by the time it reads its own
// claim, so it has already counted any order that an old holder sends late.
//
// # Without the log
//
// The members at the time of the claim are the epoch's copy holders. They are a
// function of the log prefix up to the claim, so every instance that knows the
// epoch knows the same set. Members that join later become copy holders at the
// next claim, which the holder makes itself when the members have changed. While
// the log is unavailable, the holder can send an order after every other copy
// holder has stored a copy of its intent. A claimant seals one copy holder, or
// itself if it is one: a sealed instance stores no more copies of the epoch and
// returns the copies that it has. An intent that was decided by copies is stored
// at every copy holder, so one seal finds all of them and also stops the old
// holder. The claim carries the copies found.
//
// A holder that is the only copy holder can decide without the log only on
// servers that check fencing tokens. A claimant raises the token at every such
// server and reads the server before its first decision there.
//
// A claimant that isn't a copy holder and reaches none cannot seal the epoch, so
// the old holder may still decide by copies: the epoch stays suspect. On servers
// that don't check fencing tokens the claimant waits until the live list names
// no copy holder, and then for the lag of the list and the lifetime of an order.
// See docs/decisions.md.
package lease
