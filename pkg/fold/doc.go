// Package fold computes the shared state of all instances from a prefix of the
// log. The fold is deterministic: two readers of the same prefix compute the
// same state without a clock and without exchanging messages.
//
// # Rules
//
// A record that can't be decoded is void for every reader. Records at or below
// the folded offset are ignored. A record beyond the next offset is a gap and
// isn't folded.
//
// Claim: valid if its writer is a member of the zone and it names the zone's
// current epoch as superseded. Its offset becomes the new epoch. The members at
// that offset are the epoch's copy holders until the next claim, even if members
// join or leave in between, so that every reader of the claim knows the same
// set. The copies that the claim carries become open intents. An unload among
// them proves that its load was loaded, because holders decide only such
// unloads. A claimant that could seal none of the superseded epoch's copy
// holders names that epoch as doubtful. The epoch stays suspect until a later
// claim no longer names it.
//
// Intent: valid if its epoch is the zone's current one and its id is neither
// open nor recently closed. A load is void if an intent for the same model and
// server is open. An unload is void unless a loaded replica exists and no other
// unload is open. An open load counts as a replica and as reserved memory from
// its offset on.
//
// Outcome: valid if its epoch is the zone's current one and its intent is open.
// Outcomes of earlier epochs are void, because a late FREED of an old holder may
// describe an order that its successor has since sent again. LOADED marks a load
// as loaded, and cancels an unload. FREED and LOST close a load. For an unload
// they close the unload and the loaded loads of its model and server.
//
// Release: valid for the current epoch. The next claim clears it.
//
// Targets: valid if it is based on the accepted version and the document passes
// the validation. Its offset is the accepted version, so the version never
// decreases. A record id that was accepted recently is recognised and not
// applied twice.
//
// # Start and truncation
//
// Snapshots don't change the state of a reader that has the full prefix. Any
// other reader starts from a peer's encoded state or from the newest snapshot
// that the retained records continue without a gap (Scan.Newest). If no reader
// has the full prefix and no such snapshot exists, all readers rebase on the
// first snapshot in the log (Scan.Rebase): they continue from the offset of the
// snapshot record, adopt its open intents, and retain their own accepted
// configuration if that is newer than the snapshot's. If the log ends before the
// folded offset, it has lost records; see ErrRegressed.
package fold
