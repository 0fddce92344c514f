// Package logclient maintains an instance's replica of the platform's log. It
// reads the log continuously, folds the records into a state, publishes that
// state as an immutable snapshot, and appends records.
//
// # Appends
//
// Append returns once the record has been read back from the log, with its
// offset and the verdict of the fold. The response of the log service does not
// settle an append, because the verdict depends on the records that precede it.
// If the outcome of a call is unknown, the client reads to the end of the log.
// If the record is found, its append is settled. If not, the client appends the
// same record again; it never sends a different record in its place. If the
// caller's context ends first, Append returns ErrUnsettled, or ErrNotAppended
// if it is certain that the record is not on the log and will not appear there.
//
// A retry can put a second copy of a record on the log, and the first copy can
// still appear there after the second one. Duplicates are harmless for each kind
// of record:
//
//   - Claim: it names the epoch that it supersedes. Accepting one copy changes
//     the epoch, so every later copy is void.
//   - Intent: the fold remembers the ids of open and recently closed intents
//     and rejects a duplicate. If the first copy was void because another
//     intent for the model and server was open, a later copy can be accepted.
//     An intent that is open in the fold counts as decided, whatever its Append
//     returned, so a lease holder must act on the state and not on the verdict
//     alone.
//   - Outcome: it closes an intent once. A duplicate finds the intent closed
//     and is void.
//   - Member: adding or removing a member is idempotent. A late copy can undo a
//     newer record about the same instance, so an instance that is missing from
//     the member list appends a new record to add itself again.
//   - Release: it names the epoch, and a released epoch stays released.
//   - Targets: accepted publications are identified by record id. A copy of a
//     rejected publication is based on a version that is no longer accepted.
//   - Snapshot: it does not change a state that has already been folded.
//
// # Conditions of the log
//
// An outage, a slow service, records that were trimmed before they were read
// and a log that ends before the folded offset are conditions with metrics, not
// errors. Run continues through all of them. Condition describes each one.
package logclient
