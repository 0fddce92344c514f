// Package logclient keeps an instance's view of the platform's log: it tails and
// folds the log, publishes the state as an immutable snapshot, and appends
// records whose fate is known when Append returns.
//
// # Appends
//
// Append returns once the record was read back through the tail, with its offset
// and the fold's verdict. An answer of the log service alone settles nothing:
// the verdict depends on what precedes the record. If the outcome of an append
// is unknown, the client reads the log to its end. Found there, the record is
// settled; not found, the very same record is appended again. A different record
// never takes its place. If the caller's context ends first, Append returns
// ErrUnsettled, or ErrNotAppended where it is proved that nothing was sent.
//
// The first copy of a record may still land after the second one. That copies of
// one record do no harm, by kind:
//
//   - Claim: it names the epoch that it supersedes. Once a copy was accepted the
//     epoch is another, so the second is void.
//   - Intent: the fold knows the ids of open and recently closed intents, and the
//     second is void. If the first copy was void because the place was occupied,
//     a later one may be accepted: an open intent in the fold counts as decided
//     whatever its Append returned, so a holder goes by the state and not by the
//     verdict alone.
//   - Outcome: it closes an intent once; after that the intent isn't open.
//   - Member: adding or removing a member twice leaves the same members. A late
//     copy can undo a later record on the same instance, so an instance that
//     finds itself off the list adds itself again with a new record.
//   - Release: it names the epoch, and a released epoch stays released.
//   - Targets: accepted publishes are known by record id; a copy of one that lost
//     is based on a version that is accepted no more.
//   - Snapshot: it changes nothing in a state that is folded already.
//
// # States of the log
//
// An outage, a slow service, records that were forgotten before they were read
// and a log that ends before the folded offset are states with metrics, not
// errors: Run goes on through all of them. See State for what each one means.
package logclient
